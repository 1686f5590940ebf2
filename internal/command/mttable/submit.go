package mttable

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"os"
	"os/user"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/mustardtide/mustardtide/internal/command/mtfailure"
	"github.com/mustardtide/mustardtide/internal/observe/mtcode"
	"github.com/mustardtide/mustardtide/internal/outside/mtplatform"
	"github.com/mustardtide/mustardtide/internal/role/mtnet"
	"github.com/mustardtide/mustardtide/internal/settings/mtcheck"
	"github.com/mustardtide/mustardtide/internal/settings/mtmanifest"
)

// platformFlags name the platform that a command speaks to.
type platformFlags struct {
	url       *string
	namespace *string
}

func bindPlatform(c *kingpin.CmdClause) platformFlags {
	return platformFlags{
		url:       c.Flag("platform", "URL of the platform's object API.").Envar("MUSTARDTIDE_PLATFORM").Required().String(),
		namespace: c.Flag("namespace", "Namespace of the system's objects.").Default("default").Envar("MUSTARDTIDE_NAMESPACE").String(),
	}
}

func (p platformFlags) client() *mtplatform.Client {
	return mtplatform.New(*p.url, *p.namespace, mtnet.System().Outside())
}

// submission is one operator's submit.
type submission struct {
	files    settingsFiles
	removed  *[]string
	revision *int64
	out      io.Writer
	client   *mtplatform.Client
}

// anyRevision stands for a submit that is not bound to a revision.
const anyRevision = "-1"

func bindSubmit(c *kingpin.CmdClause) action {
	platform := bindPlatform(c)
	s := submission{
		files:    bindFiles(c),
		removed:  c.Flag("remove", "A data centre whose overlay is taken out of force; may be given more than once.").Strings(),
		revision: c.Flag("revision", "Submit only if this revision is in force: the one that the edit is based on, as printed by show.").Default(anyRevision).Int64(),
	}
	return func(ctx context.Context, out io.Writer) error {
		s.out = out
		s.client = platform.client()
		return s.submit(ctx)
	}
}

func (s submission) submit(ctx context.Context) error {
	held, err := load(ctx, s.client)
	if err != nil {
		return trace.Wrap(err)
	}
	checker := mtcheck.New()
	texts, err := s.files.read(checker, held, *s.removed)
	if err != nil {
		return trace.Wrap(err)
	}
	if *s.revision >= 0 && uint64(*s.revision) != held.Revision() {
		return raced(held, held.Next("", "", texts), fmt.Sprintf("revision %d is in force, not %d", held.Revision(), *s.revision))
	}
	if err := invalid(checker.Check()); err != nil {
		return trace.Wrap(err)
	}
	next := held.Next(rand.Text(), author(), texts)
	if err := held.Save(ctx, s.client, next); err != nil {
		return s.failed(ctx, held, next, err)
	}
	fmt.Fprintf(s.out, "revision %d is accepted: %s\n", next.Revision(), checker.Summary())
	if err := held.Retire(ctx, s.client, next); err != nil {
		fmt.Fprintf(s.out, "chunks that are no longer needed stay for now: %s\n", trace.UserMessage(err))
	}
	return nil
}

// failed tells an operator whose submit was not accepted why.
func (s submission) failed(ctx context.Context, held, next *mtmanifest.Manifest, err error) error {
	text := trace.UserMessage(err)
	switch {
	case trace.IsCompareFailed(err):
		newer, loadErr := load(ctx, s.client)
		if loadErr != nil {
			return mtfailure.New(mtcode.SettingsRaced, text)
		}
		return raced(held, newer, fmt.Sprintf("revision %d came before this submit, which was based on %d", newer.Revision(), held.Revision()))
	case trace.IsConnectionProblem(err):
		return mtfailure.New(mtcode.SettingsUnsure, fmt.Sprintf("submission %s, revision %d: %s", next.Head().GetSubmission(), next.Revision(), text))
	case trace.IsLimitExceeded(err):
		return mtfailure.New(mtcode.SettingsTooLarge, text)
	case trace.IsNotFound(err):
		return mtfailure.New(mtcode.PlatformDown, "nothing was submitted: "+text)
	default:
		return trace.Wrap(err)
	}
}

// raced tells the difference between two manifests.
func raced(before, after *mtmanifest.Manifest, text string) error {
	return mtfailure.New(mtcode.SettingsRaced, text+"\n"+difference(before, after))
}

// loadTime bounds reading the settings in force: 12,000 accounts are 350 calls
// of some milliseconds.
const loadTime = 15 * time.Second

// load reads the manifest in force.
func load(ctx context.Context, client *mtplatform.Client) (*mtmanifest.Manifest, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTime)
	defer cancel()
	held, err := mtmanifest.Load(ctx, client, nil)
	switch {
	case err == nil:
		return held, nil
	case trace.IsLimitExceeded(err):
		return nil, mtfailure.New(mtcode.PlatformLimited, trace.UserMessage(err))
	case trace.IsConnectionProblem(err):
		return nil, mtfailure.New(mtcode.PlatformDown, trace.UserMessage(err))
	default:
		return nil, trace.Wrap(err)
	}
}

// author names who submits, for the others to ask.
func author() string {
	if name := os.Getenv("USER"); name != "" {
		return name
	}
	if known, err := user.Current(); err == nil {
		return known.Username
	}
	return "unknown"
}

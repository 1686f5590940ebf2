package mttable

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/mustardtide/mustardtide/internal/command/mtfailure"
	"github.com/mustardtide/mustardtide/internal/observe/mtcode"
	"github.com/mustardtide/mustardtide/internal/settings/mtcheck"
	"github.com/mustardtide/mustardtide/internal/settings/mtmanifest"
	"github.com/mustardtide/mustardtide/internal/settings/mtmerge"
)

// settingsFiles are the files that a command line names.
type settingsFiles struct {
	base     *string
	overlays *[]string
}

// settingsFile is one settings file as read.
type settingsFile struct {
	label string
	text  []byte
}

func bindFiles(c *kingpin.CmdClause) settingsFiles {
	return settingsFiles{
		base:     c.Flag("base", "The base file.").String(),
		overlays: c.Flag("overlay", "An overlay; may be given more than once.").Strings(),
	}
}

func bindCheck(c *kingpin.CmdClause) action {
	files := bindFiles(c)
	boot := c.Flag("boot", "Settings of a process as the users' platform gives them.").String()
	catalog := c.Flag("catalog", "A configuration as operators write it to the platform's store.").String()
	return func(_ context.Context, out io.Writer) error {
		switch {
		case *boot != "":
			return checkBoot(*boot, out)
		case *catalog != "":
			return checkCatalog(*catalog, out)
		}
		checker := mtcheck.New()
		if _, err := files.read(checker, nil, nil); err != nil {
			return trace.Wrap(err)
		}
		if err := invalid(checker.Check()); err != nil {
			return trace.Wrap(err)
		}
		fmt.Fprintf(out, "the settings are valid: %s\n", checker.Summary())
		return nil
	}
}

// read gives the files' texts to a checker, with those in force where the
// command line names none, and returns the named ones by their names in a
// manifest. Overlays of the removed data centres are left out.
func (f settingsFiles) read(checker *mtcheck.Checker, held *mtmanifest.Manifest, removed []string) (map[string][]byte, error) {
	texts := map[string][]byte{}
	for _, name := range removed {
		texts[name] = nil
	}
	if *f.base != "" {
		file, err := readFile(*f.base)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		checker.Base(file.label, file.text)
		texts[mtmerge.BaseName] = file.text
	}
	for _, path := range *f.overlays {
		file, err := readFile(path)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if name := checker.Overlay(file.label, file.text); name != "" {
			texts[name] = file.text
		}
	}
	inForce(checker, held, texts)
	return texts, nil
}

// inForce gives a checker the files in force that texts do not replace.
func inForce(checker *mtcheck.Checker, held *mtmanifest.Manifest, texts map[string][]byte) {
	if held == nil {
		return
	}
	for _, file := range held.Head().GetFiles() {
		name := file.GetName()
		if _, replaced := texts[name]; replaced {
			continue
		}
		label := fmt.Sprintf("%s of revision %d", name, file.GetRevision())
		if name == mtmerge.BaseName {
			checker.Base(label, held.Text(name))
			continue
		}
		checker.Overlay(label, held.Text(name))
	}
}

func readFile(path string) (settingsFile, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return settingsFile{}, trace.ConvertSystemError(err)
	}
	return settingsFile{label: path, text: text}, nil
}

// invalid gives a checker's error its code.
func invalid(err error) error {
	if err == nil {
		return nil
	}
	return mtfailure.New(mtcode.SettingsInvalid, "the files have these faults:\n"+trace.UserMessage(err))
}

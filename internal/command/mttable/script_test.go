package mttable

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/mustardtide/mustardtide/internal/outside/mtplatform"
	"github.com/mustardtide/mustardtide/internal/settings/mtmanifest"
	"github.com/mustardtide/mustardtide/internal/settings/mtmerge"

	standin "github.com/mustardtide/mustardtide/internal/standin/mtplatform"
)

const platformKey = "platform"

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"mustardtide": func() { os.Exit(Run(os.Args[1:])) },
	})
}

// TestScripts runs testdata/script: each file has a platform of its own, whose
// URL is in MUSTARDTIDE_PLATFORM.
//
//	race FILE       another operator submits FILE as the base just before the next manifest is written
//	fault lose|down|none   make the platform fail from now on
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			p := &racedPlatform{store: standin.New()}
			server := httptest.NewServer(p)
			env.Defer(server.Close)
			p.url = server.URL
			env.Values[platformKey] = p
			env.Setenv("MUSTARDTIDE_PLATFORM", server.URL)
			env.Setenv("USER", "operator")
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"race":  race,
			"fault": fault,
		},
	})
}

// racedPlatform lets another operator's submit come before the next write of
// the manifest.
type racedPlatform struct {
	store *standin.Server
	url   string
	rival atomic.Pointer[[]byte]
}

func (p *racedPlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut && strings.HasSuffix(r.URL.Path, "/settings.manifest") {
		if text := p.rival.Swap(nil); text != nil {
			if err := p.submit(r.Context(), *text); err != nil {
				http.Error(w, err.Error(), http.StatusTeapot)
				return
			}
		}
	}
	p.store.ServeHTTP(w, r)
}

func (p *racedPlatform) submit(ctx context.Context, text []byte) error {
	client := mtplatform.New(p.url, "default", http.DefaultTransport)
	held, err := mtmanifest.Load(ctx, client, nil)
	if err != nil {
		return err
	}
	return held.Save(ctx, client, held.Next("rival", "rival", map[string][]byte{mtmerge.BaseName: text}))
}

func race(ts *testscript.TestScript, _ bool, args []string) {
	text := []byte(ts.ReadFile(args[0]))
	ts.Value(platformKey).(*racedPlatform).rival.Store(&text)
}

func fault(ts *testscript.TestScript, _ bool, args []string) {
	faults := ts.Value(platformKey).(*racedPlatform).store.Faults()
	faults.Down(args[0] == "down")
	faults.Lose(0)
	if args[0] == "lose" {
		faults.Lose(1)
	}
}

// TestUsage: a wrong flag is told apart from a failed command.
func TestUsage(t *testing.T) {
	if code := Run([]string{"submit", "--no-such-flag"}); code != 2 {
		t.Errorf("exit code %d", code)
	}
}

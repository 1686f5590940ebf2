package mtfleet_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/gen/mustardtide/v1/mustardtidev1connect"
	"github.com/mustardtide/mustardtide/internal/prefix/mtchain"
	"github.com/mustardtide/mustardtide/internal/standin/mtfleet"
	"github.com/mustardtide/mustardtide/internal/standin/mtproof"
)

// histories is the number of random histories: each is some hundred
// milliseconds under the race detector.
const histories = "30"

// cacheBase has two accounts, whose keys are their names followed by -key.
func cacheBase(weights string) string {
	return strings.Replace(`
datacentres: [imanta]
accounts:
  - name: schools
    hashes: [c2b2c8d9d0bbecf03be7238fcd16281cf54e084a4bcdd02cd5fd0a7fd1dd6b3c]
  - name: marche-sandaga
    hashes: [17ebe7d465e9ce8d8be46dc2a6b4350c529a7945421f7fe6ecab04e42bcd0129]
services:
  - {name: trip, kind: model, model: dossier, weights: WEIGHTS, deadline: 60s, granule: 64, stride: 4}
`, "WEIGHTS", weights, 1)
}

var cacheAccounts = []string{"schools", "marche-sandaga"}

// cacheStep is one operation of a history.
type cacheStep struct {
	kind    string
	account string
	prompt  int
	fault   cacheFault
}

func (s cacheStep) String() string {
	return fmt.Sprintf("%s %s %d %v", s.kind, s.account, s.prompt, s.fault)
}

func cacheSteps(t *rapid.T) []cacheStep {
	one := rapid.Custom(func(t *rapid.T) cacheStep {
		kinds := []string{"ask", "ask", "ask", "ask", "ask", "ask", "ask", "ask", "burst", "restart", "silent-restart", "weights", "fault", "fault"}
		return cacheStep{
			kind:    rapid.SampledFrom(kinds).Draw(t, "kind"),
			account: rapid.SampledFrom(cacheAccounts).Draw(t, "account"),
			prompt:  rapid.IntRange(0, 5).Draw(t, "prompt"),
			fault: cacheFault{
				drop:   rapid.IntRange(0, 2).Draw(t, "drop"),
				repeat: rapid.IntRange(0, 1).Draw(t, "repeat"),
				late:   time.Duration(rapid.IntRange(0, 3).Draw(t, "late")) * 200 * time.Millisecond,
			},
		}
	})
	return rapid.SliceOfN(one, 10, 40).Draw(t, "steps")
}

// cacheHistory is one run of the fleet beside what its engine in fact cached.
type cacheHistory struct {
	fleet   *mtfleet.Fleet
	engine  *restartable
	client  *http.Client
	sidecar mustardtidev1connect.SidecarServiceClient
	inner   *http.Transport
	weights int
	version string
	faults  int
	checks  int
	wrong   []string
}

// A parent's question lands on an engine because its sidecar says that the
// dossier is cached. The engine has crashed since and restarted; or the entry
// belongs to another account, or to weights that were replaced; or the events
// that removed it were lost. The answer comes late, or from a cache that must
// not be used. The cause is a view that outlives what it saw.
func TestProofCacheTruth(t *testing.T) {
	proof := mtproof.New(t, "cache-truth")
	g := NewWithT(t)
	g.Expect(flag.Set("rapid.checks", histories)).To(Succeed())
	rapid.Check(t, func(r *rapid.T) {
		steps := cacheSteps(r)
		var h *cacheHistory
		synctest.Test(t, func(t *testing.T) { h = runCacheHistory(t, steps) })
		proof.Add("histories", 1)
		proof.Add("operations", len(steps))
		proof.Add("checks", h.checks)
		proof.Add("faults", h.faults)
		if len(h.wrong) > 0 {
			r.Fatalf("after %v: %s", steps, strings.Join(h.wrong, "; "))
		}
	})
}

func runCacheHistory(t *testing.T, steps []cacheStep) *cacheHistory {
	g := NewWithT(t)
	h := &cacheHistory{engine: newRestartable(), version: "v0"}
	var err error
	h.fleet, err = mtfleet.New()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(h.fleet.Submit(cacheBase(h.version))).To(Succeed())
	g.Expect(h.fleet.AddTarget("trip-0", "trip", "imanta", h.engine)).To(Succeed())
	g.Expect(h.fleet.AddEntry("entry-0", "imanta")).To(Succeed())
	outside := h.fleet.Wire().Transport()
	h.client = &http.Client{Transport: outside, Timeout: 10 * time.Minute}
	h.inner = h.fleet.Wire().Net().Internal()
	h.sidecar = mustardtidev1connect.NewSidecarServiceClient(&http.Client{Transport: h.inner}, "http://"+h.fleet.Address("trip-0"))
	time.Sleep(5 * time.Second)
	for i, step := range steps {
		h.apply(step)
		h.check(fmt.Sprintf("step %d", i), h.engine.ever)
	}
	h.settle()
	outside.CloseIdleConnections()
	h.inner.CloseIdleConnections()
	g.Expect(h.fleet.Close()).To(Succeed())
	return h
}

func (h *cacheHistory) apply(step cacheStep) {
	switch step.kind {
	case "ask":
		h.ask(step.account, step.prompt)
	case "burst":
		var group sync.WaitGroup
		for i := range 4 {
			group.Go(func() { h.ask(cacheAccounts[i%2], step.prompt) })
		}
		group.Wait()
	case "restart":
		h.faults++
		h.engine.restart()
		h.fleet.Wire().Cut(h.fleet.Address("trip-0-program"))
		synctest.Wait()
	case "silent-restart":
		// The old connections stay open and say nothing more: the next probe
		// finds the new incarnation.
		h.faults++
		h.engine.restart()
		time.Sleep(2 * time.Second)
	case "weights":
		h.weights++
		h.version = fmt.Sprintf("v%d", h.weights)
		if err := h.fleet.Submit(cacheBase(h.version)); err != nil {
			h.wrong = append(h.wrong, err.Error())
		}
		time.Sleep(10 * time.Second)
	case "fault":
		h.faults++
		h.engine.setFault(step.fault)
	}
}

// cachePrompt differs from its neighbours behind a common half.
func cachePrompt(n int) string {
	return strings.Repeat("Every slip is signed by one parent. ", 60) + strings.Repeat(fmt.Sprintf("Pupil %03d. ", n), 180)
}

// ask sends a prompt. An engine that restarts meanwhile makes it fail, which
// is another proof's matter.
func (h *cacheHistory) ask(account string, prompt int) {
	body := fmt.Sprintf(`{"model":"dossier","max_tokens":2,"prompt":%q}`, cachePrompt(prompt))
	request, err := http.NewRequest(http.MethodPost, h.fleet.Entry("entry-0")+"/v1/completions", strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Header.Set("Authorization", "Bearer "+account+"-key")
	response, err := h.client.Do(request)
	if err != nil {
		if os.IsTimeout(err) {
			h.wrong = append(h.wrong, "a request hung: "+err.Error())
		}
		return
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
}

// check compares what the sidecar says of each prompt with the truth, for the
// settings in force and for those before.
func (h *cacheHistory) check(when string, truth func(salt, prompt string) int) {
	for _, account := range cacheAccounts {
		for prompt := range 6 {
			for _, version := range []string{h.version, "v0"} {
				h.checks++
				salt := mtchain.Salt(account, "dossier", version, "")
				matched := h.matched(account, salt, cachePrompt(prompt))
				most := truth(salt, cachePrompt(prompt))
				if version != h.version {
					most = 0
				}
				if matched > most {
					h.wrong = append(h.wrong, fmt.Sprintf("%s: %s %d %s: %d tokens promised, %d cached", when, account, prompt, version, matched, most))
				}
			}
		}
	}
}

func (h *cacheHistory) matched(account, salt, prompt string) int {
	chain := mtchain.New(salt, 64, 4, []byte(prompt))
	work := &mustardtidev1.Work{Run: "check", Attempt: 1, Account: account, Service: "trip", Salt: salt, Chain: chain.Bytes(), Prompt: uint64(len(prompt) / 4)}
	reply, err := h.sidecar.Offer(context.Background(), connect.NewRequest(&mustardtidev1.OfferRequest{Work: work}))
	if err != nil {
		return 0
	}
	return int(reply.Msg.GetMatched())
}

// settle ends the faults: then the view holds no more than the cache does.
// A last prompt that no one asked for makes an event, behind which a gap shows.
func (h *cacheHistory) settle() {
	h.engine.setFault(cacheFault{})
	time.Sleep(5 * time.Second)
	h.ask(cacheAccounts[0], 1000)
	time.Sleep(time.Second)
	salt := mtchain.Salt(cacheAccounts[0], "dossier", h.version, "")
	if h.matched(cacheAccounts[0], salt, cachePrompt(1000)) == 0 {
		h.wrong = append(h.wrong, "the view stays blind")
	}
	time.Sleep(15 * time.Second)
	h.check("settled", h.engine.cached)
	for _, salt := range h.engine.foreign(h.version) {
		h.wrong = append(h.wrong, "the engine was asked under "+salt)
	}
}

package mtfleet_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/standin/mtengine"
	"github.com/mustardtide/mustardtide/internal/standin/mtfleet"
	"github.com/mustardtide/mustardtide/internal/standin/mtproof"
)

const (
	poisonMarker = "crash-the-engine"
	entriesUsed  = 3
)

const poisonBase = `
datacentres: [imanta]
accounts:
  - name: schools
    hashes: [c2b2c8d9d0bbecf03be7238fcd16281cf54e084a4bcdd02cd5fd0a7fd1dd6b3c]
services:
  - name: trip
    kind: model
    model: dossier
    deadline: 60s
    granule: 64
    stride: 16
    slots: 8
    prefill: 20000
    decode: 10ms
`

// poisonFleet is three entries before four engines, each of which a marked
// prompt crashes.
type poisonFleet struct {
	*mtfleet.Fleet
	g       *WithT
	engines []*mtengine.Engine
	client  *http.Client
	gone    int // the entry that was killed, or none
}

func newPoisonFleet(g *WithT) *poisonFleet {
	fleet, err := mtfleet.New()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(fleet.Submit(poisonBase)).To(Succeed())
	p := &poisonFleet{Fleet: fleet, g: g, client: &http.Client{Transport: fleet.Wire().Transport()}, gone: -1}
	for i := range 4 {
		engine := mtengine.New(8, 20000, 10*time.Millisecond, 1000)
		engine.CrashOn(poisonMarker)
		p.engines = append(p.engines, engine)
		g.Expect(fleet.AddTarget(fmt.Sprintf("trip-%d", i), "trip", "imanta", engine)).To(Succeed())
	}
	for i := range entriesUsed {
		g.Expect(fleet.AddEntry(fmt.Sprintf("entry-%d", i), "imanta")).To(Succeed())
	}
	time.Sleep(5 * time.Second)
	return p
}

func (p *poisonFleet) close() {
	p.client.CloseIdleConnections()
	p.g.Expect(p.Fleet.Close()).To(Succeed())
}

func (p *poisonFleet) crashes() int {
	n := 0
	for _, engine := range p.engines {
		n += int(engine.Crashes())
	}
	return n
}

// killCrashed kills the sidecar of the first engine that crashes.
func (p *poisonFleet) killCrashed() {
	for p.crashes() == 0 {
		time.Sleep(time.Millisecond)
	}
	for i, engine := range p.engines {
		if engine.Crashes() > 0 {
			p.g.Expect(p.Kill(fmt.Sprintf("trip-%d", i))).To(Succeed())
			return
		}
	}
}

// ask sends a prompt through an entry.
func (p *poisonFleet) ask(entry int, prompt string) reply {
	return p.send(entry, fmt.Sprintf(`{"model":"dossier","max_tokens":40,"prompt":%q}`, prompt))
}

func (p *poisonFleet) send(entry int, body string) reply {
	request, err := http.NewRequest(http.MethodPost, p.Entry(fmt.Sprintf("entry-%d", entry))+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	request.Header.Set("Authorization", "Bearer schools-key")
	response, err := p.client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, code: response.Header.Get("Mustardtide-Code"), ran: response.Header.Get("Mustardtide-Ran"), body: string(text), err: err}
}

// insist resends a prompt through one entry after another until it is answered
// or refused for good, and returns all replies.
func (p *poisonFleet) insist(entry int, prompt string) []reply {
	var replies []reply
	for i := range 12 {
		got := p.ask((entry+i)%entriesUsed, prompt)
		replies = append(replies, got)
		if got.status == http.StatusOK || got.code == "207" {
			return replies
		}
		time.Sleep(time.Second)
	}
	return replies
}

// poisoned is one history: a poison sent by so many callers at once, among
// neighbours in the same batches.
type poisoned struct {
	name    string
	callers int
	before  func(*poisonFleet)
	during  func(*poisonFleet)
	crashes int
}

// A teacher's dossier holds what crashes the engine that reads it, and the
// teacher's program sends it again, by whatever entry the balancer picks. The
// fleet must lose two engines at most, the other teachers in the same batches
// must get their answers, and the sender a final refusal at once from each
// entry. Cause: the request itself; each retry and resend carries it further.
func TestProofPoisonStops(t *testing.T) {
	proof := mtproof.New(t, "poison-stops")
	for _, history := range []poisoned{
		{name: "one caller", callers: 1, crashes: 2},
		{name: "two entries at once", callers: 2, crashes: 2},
		{name: "platform down", callers: 1, crashes: 2, before: func(p *poisonFleet) { p.Platform().Faults().Down(true) }},
		{name: "platform's answers lost", callers: 1, crashes: 2, before: func(p *poisonFleet) { p.Platform().Faults().Lose(1) }},
		{name: "the sidecar killed too", callers: 1, crashes: 2, during: func(p *poisonFleet) { p.killCrashed() }},
		{name: "an entry killed", callers: 1, crashes: 2, during: func(p *poisonFleet) {
			time.Sleep(300 * time.Millisecond)
			p.g.Expect(p.Kill("entry-2")).To(Succeed())
			p.gone = 2
		}},
	} {
		t.Run(history.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				p := newPoisonFleet(g)
				defer p.close()
				if history.before != nil {
					history.before(p)
				}
				p.play(proof, &history)
			})
		})
	}
}

func (p *poisonFleet) play(proof *mtproof.Proof, history *poisoned) {
	var group sync.WaitGroup
	neighbours := make([][]reply, 12)
	for i := range neighbours {
		group.Go(func() { neighbours[i] = p.insist(i%2, fmt.Sprintf("Is list %d complete?", i)) })
	}
	time.Sleep(10 * time.Millisecond)
	senders := make([][]reply, history.callers)
	for i := range senders {
		group.Go(func() { senders[i] = p.insist(i, "Read this: "+poisonMarker) })
	}
	if history.during != nil {
		history.during(p)
	}
	group.Wait()
	for i, replies := range neighbours {
		p.g.Expect(replies[len(replies)-1].status).To(Equal(http.StatusOK), "neighbour %d: %v", i, replies)
	}
	for _, replies := range senders {
		p.g.Expect(replies[len(replies)-1].code).To(Equal("207"), "%v", replies)
	}
	p.g.Expect(p.crashes()).To(BeNumerically("<=", history.crashes))
	// Piggybacked, the quarantine is known to every entry that has spoken with a
	// sidecar since; each refuses for good, at once.
	for entry := range entriesUsed {
		if entry == p.gone {
			continue
		}
		asked := time.Now()
		got := p.ask(entry, "Read this: "+poisonMarker)
		p.g.Expect(got.code).To(Equal("207"), "entry-%d: %v", entry, got)
		p.g.Expect(time.Since(asked)).To(BeNumerically("<", 100*time.Millisecond))
		proof.Add("operations", 1)
	}
	p.g.Expect(p.crashes()).To(BeNumerically("<=", history.crashes))
	proof.Add("histories", 1)
	proof.Add("operations", len(neighbours)+len(senders))
	proof.Add("crashes", p.crashes())
}

// A teacher's request was running when its engine died of something else. Its
// rerun is under way when the teacher's browser hangs up and asks again through
// another entry: the resend must be answered, not refused as being tried still.
// Cause: a claim of the one rerun whose holder is gone.
func TestSuspectReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := newPoisonFleet(g)
		defer p.close()
		const body = `{"model":"dossier","max_tokens":500,"prompt":"Is the list complete?"}`
		ctx, hangUp := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() {
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, p.Entry("entry-0")+"/v1/completions", strings.NewReader(body))
			g.Expect(err).NotTo(HaveOccurred())
			request.Header.Set("Authorization", "Bearer schools-key")
			response, err := p.client.Do(request)
			if err == nil {
				_, err = io.ReadAll(response.Body)
				response.Body.Close()
			}
			ended <- err
		}()
		time.Sleep(time.Second)
		for _, engine := range p.engines {
			if engine.Begun() > 0 {
				engine.Crash()
			}
		}
		time.Sleep(time.Second)
		hangUp()
		g.Expect(<-ended).To(HaveOccurred())
		time.Sleep(500 * time.Millisecond)
		got := p.send(1, body)
		g.Expect(got.status).To(Equal(http.StatusOK), got.body)
		begun := 0
		for _, engine := range p.engines {
			begun += int(engine.Begun())
		}
		g.Expect(begun).To(Equal(3), "the first run, its rerun and the resend")
	})
}

// Guards against prompts that begin with the same deadly text, no two of them alike, that crash one
// target after another, as each crash is held against the whole request.
func TestDeadlyPrefixIsContained(t *testing.T) {
	const (
		crashesAllowed = 5
		repeatsAllowed = 3
	)
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := newPoisonFleet(g)
		defer p.close()
		prefix := poisonMarker + strings.Repeat(" and so on", 400)
		for i := range 20 {
			p.ask(i%entriesUsed, fmt.Sprint(prefix, i))
			time.Sleep(time.Second)
		}
		g.Expect(p.crashes()).To(BeNumerically("<=", crashesAllowed+repeatsAllowed))
	})
}

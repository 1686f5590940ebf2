// Package mtlab is the laboratory in which placement and admission are
// measured: the modules of the product on fake targets, in one goroutine
// under a paused clock, so that a run is the same every time.
package mtlab

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/mustardtide/mustardtide/internal/lab/mtfake"
	"github.com/mustardtide/mustardtide/internal/lab/mtloop"
	"github.com/mustardtide/mustardtide/internal/lab/mtpattern"
	"github.com/mustardtide/mustardtide/internal/lab/mtrequest"
	"github.com/mustardtide/mustardtide/internal/lab/mtresult"
	"github.com/mustardtide/mustardtide/internal/lab/mtsize"
	"github.com/mustardtide/mustardtide/internal/placement/mtchoice"
)

// attempts is the number of targets tried for a request, as at a real entry.
const attempts = 3

// Lab is one run.
type Lab struct {
	loop     *mtloop.Loop
	size     *mtsize.Size
	pattern  *mtpattern.Pattern
	targets  []*mtfake.Target
	entries  []*entry
	random   *rand.Rand
	requests []*mtrequest.Request
}

// Policies lists the policies' names; the last is the bound.
func Policies() []string {
	return []string{"mustardtide", "random", "roundrobin", "leastloaded", "prefixhash", "sq2", "sqdn", "oracle"}
}

// New prepares a run of a pattern on a fleet under a policy. It must run in a
// synctest bubble.
func New(size *mtsize.Size, pattern *mtpattern.Pattern, policy string) (*Lab, error) {
	l := &Lab{
		loop:     mtloop.New(),
		size:     size,
		pattern:  pattern,
		random:   rand.New(rand.NewPCG(7, 7)),
		requests: pattern.Arrivals(size.Engines()),
	}
	for i := range size.Engines() {
		l.targets = append(l.targets, mtfake.New(l.loop, fmt.Sprintf("engine-%02d", i), i, i, size.Slots(),
			size.Prefill(), size.Decode(), size.Memory(), pattern.Slowness, l.wasted))
	}
	for i := range size.Entries() {
		chooser, err := newChooser(l, i, policy)
		if err != nil {
			return nil, err
		}
		l.entries = append(l.entries, &entry{lab: l, site: i, chooser: chooser})
	}
	return l, nil
}

// Run runs the pattern to its end and judges it.
func (l *Lab) Run(policy string) *mtresult.Result {
	for _, t := range l.targets {
		t.Report(l.pattern.Length())
	}
	for _, r := range l.requests {
		// The platform's balancer spreads callers over the entries.
		e := l.entries[l.random.IntN(len(l.entries))]
		l.loop.After(r.At()+l.size.Caller(), func() { e.arrive(r) })
	}
	l.loop.Run()
	return l.Judge(policy, l.pattern.Warm())
}

// Judge gives the result for what arrived from a time on.
func (l *Lab) Judge(policy string, from time.Duration) *mtresult.Result {
	return mtresult.New(l.pattern.Name()+"/"+l.size.Name(), policy, l.requests, from)
}

// wasted counts the blocks that a target computes though another has them.
func (l *Lab) wasted(at *mtfake.Target, blocks []uint64, matched int) int {
	best := matched
	for _, t := range l.targets {
		if t != at {
			best = max(best, t.Peek(blocks))
		}
	}
	return best - matched
}

// entry is one entry instance.
type entry struct {
	lab     *Lab
	site    int
	chooser chooser
}

func (e *entry) trip(t *mtfake.Target) time.Duration { return e.lab.size.Trip(e.site, t.Site()) }

func (e *entry) arrive(r *mtrequest.Request) {
	e.choose(r, func(order []*mtfake.Target, choice *mtchoice.Choice) { e.try(r, order, choice, 0) })
}

// try sends a request to its next target.
func (e *entry) try(r *mtrequest.Request, order []*mtfake.Target, choice *mtchoice.Choice, attempt int) {
	if attempt == min(attempts, len(order)) {
		r.Refuse(e.lab.loop.Now() + e.lab.size.Caller())
		return
	}
	t := order[attempt]
	a := &attemptOf{entry: e, request: r, order: order, choice: choice, number: attempt, sent: e.lab.loop.Now()}
	e.lab.loop.After(e.trip(t), func() { a.arrive(t) })
}

// attemptOf is a request's way on one target.
type attemptOf struct {
	entry    *entry
	request  *mtrequest.Request
	order    []*mtfake.Target
	number   int
	sent     time.Duration
	choice   *mtchoice.Choice
	uncached uint64
}

func (a *attemptOf) target() *mtfake.Target { return a.order[a.number] }

// arrive hands the request to the sidecar, whose first frame goes back.
func (a *attemptOf) arrive(t *mtfake.Target) {
	work := a.request.Left(a.entry.lab.loop.Now())
	a.uncached = a.request.Work().GetPrompt() - t.Promised(a.request.Chain())
	t.Run(a.request, work, a)
	state := t.State()
	a.back(func() { a.entry.heard(state) })
}

// back calls do when a frame has travelled from target to entry.
func (a *attemptOf) back(do func()) { a.entry.lab.loop.After(a.entry.trip(a.target()), do) }

// First is the first token at the target.
func (a *attemptOf) First(cached uint64) {
	state := a.target().State()
	a.back(func() {
		now := a.entry.lab.loop.Now()
		a.request.Begin(now + a.entry.lab.size.Caller())
		a.entry.heard(state)
		a.entry.first(a, now-a.sent, cached)
	})
}

// End is the last token.
func (a *attemptOf) End() {
	a.back(func() { a.request.End(a.entry.lab.loop.Now() + a.entry.lab.size.Caller()) })
}

// Refuse is the target's refusal.
func (a *attemptOf) Refuse() {
	a.back(func() { a.entry.try(a.request, a.order, a.choice, a.number+1) })
}

// Package mtfake is the laboratory's target: an engine with batch slots, one
// prefill line and a block cache in limited memory, behind the decisions that
// a sidecar makes.
package mtfake

import (
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtqueue"
	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
	"github.com/mustardtide/mustardtide/internal/lab/mtloop"
	"github.com/mustardtide/mustardtide/internal/lab/mtrequest"
	"github.com/mustardtide/mustardtide/internal/prefix/mtchain"
	"github.com/mustardtide/mustardtide/internal/prefix/mtview"
	"github.com/mustardtide/mustardtide/internal/standin/mtblocks"
)

const (
	// reportEvery and reportLag are how engines report their load.
	reportEvery = time.Second
	reportLag   = 500 * time.Millisecond
	// eventLag is how late cache events come.
	eventLag = 50 * time.Millisecond
	// incarnation is the one that all fakes have.
	incarnation = "1"
)

// answer is told of a request's way on a target.
type answer interface {
	First(cached uint64)
	End()
	Refuse()
}

// job is a request on this target.
type job struct {
	request *mtrequest.Request
	answer  answer
	plan    func() bool
	work    *mustardtidev1.Work
}

// Target runs requests. It belongs to its loop.
type Target struct {
	name    string
	number  int
	site    int
	loop    *mtloop.Loop
	slots   int
	prefill float64
	decode  time.Duration
	speed   func(number int, at time.Duration) float64
	wasted  func(t *Target, blocks []uint64, matched int) int

	cache *mtblocks.Cache
	view  *mtview.View
	marks map[uint64][mtchain.MarkSize]byte
	queue *mtqueue.Queue
	jobs  map[string]*job

	line     []*job
	busy     bool
	wake     time.Time
	reported int
}

// New returns an idle target. speed gives the factor by which it runs slower
// at a time; wasted counts how many more blocks another target holds.
func New(loop *mtloop.Loop, name string, number, site, slots int, prefill float64, decode time.Duration, memory int,
	speed func(int, time.Duration) float64, wasted func(*Target, []uint64, int) int,
) *Target {
	t := &Target{
		name: name, number: number, site: site, loop: loop, slots: slots, prefill: prefill, decode: decode,
		speed: speed, wasted: wasted,
		cache: mtblocks.New(memory / mtrequest.SpanTokens),
		view:  mtview.New(),
		marks: map[uint64][mtchain.MarkSize]byte{},
		queue: mtqueue.New(&mustardtidev1.Service{
			Slots: proto.Uint32(uint32(slots)), Memory: proto.Uint64(uint64(memory)), Prefill: proto.Float64(prefill), Decode: durationpb.New(decode),
		}, nil),
		jobs: map[string]*job{},
	}
	t.view.SetIncarnation(incarnation)
	t.view.Open(incarnation)
	return t
}

// Name is the target's name.
func (t *Target) Name() string { return t.name }

// Site is the number of its data centre.
func (t *Target) Site() int { return t.site }

// Reported is the load that the engine last reported: requests running and
// waiting.
func (t *Target) Reported() int { return t.reported }

// Load is the requests running and waiting now.
func (t *Target) Load() int { return t.queue.Running() + t.queue.Queued() }

// Report publishes the load every second, late, until the time given.
func (t *Target) Report(until time.Duration) {
	load := t.Load()
	t.loop.After(reportLag, func() { t.reported = load })
	if t.loop.Now() < until {
		t.loop.After(reportEvery, func() { t.Report(until) })
	}
}

// Peek counts the leading blocks that the engine holds.
func (t *Target) Peek(blocks []uint64) int { return t.cache.Peek(blocks) }

// Promised is the tokens of a chain that the sidecar expects to be cached.
func (t *Target) Promised(chain mtchain.Chain) uint64 {
	return uint64(t.view.MatchWithPending(chain) * mtrequest.SpanTokens)
}

// State is the sidecar's word.
func (t *Target) State() *mustardtidev1.State {
	return &mustardtidev1.State{
		Target:      t.name,
		Incarnation: incarnation,
		Ready:       true,
		Wait:        durationpb.New(t.queue.PredictWait(&mustardtidev1.Work{Class: mustardtidev1.Class_SHORT}, 0)),
		Running:     uint32(t.queue.Running()),
		Queued:      uint32(t.queue.Queued()),
		Backlog:     t.queue.BacklogCost(),
		Prefill:     t.queue.PrefillRate(),
	}
}

// Offer is the sidecar's word on a request: the tokens that it expects to be
// cached, and a reservation or refusal.
func (t *Target) Offer(work *mustardtidev1.Work, chain mtchain.Chain) *mustardtidev1.OfferReply {
	matched := t.Promised(chain)
	wait, refusal := t.queue.Reserve(work, matched)
	state := t.State()
	state.Wait = durationpb.New(wait)
	return &mustardtidev1.OfferReply{State: state, Matched: matched, Refusal: refusal.Message()}
}

// Wait is the sidecar's estimate of a request's time in queue.
func (t *Target) Wait(work *mustardtidev1.Work, chain mtchain.Chain) time.Duration {
	return t.queue.PredictWait(work, t.Promised(chain))
}

// Rate is the prefill rate that the target has now, tokens a second.
func (t *Target) Rate() float64 { return t.prefill / t.speed(t.number, t.loop.Now()) }

// Run takes a request that arrived over the network.
func (t *Target) Run(r *mtrequest.Request, work *mustardtidev1.Work, a answer) {
	if t.queue.Add(work, t.Promised(r.Chain())) != nil {
		a.Refuse()
		return
	}
	t.jobs[work.GetRun()] = &job{request: r, work: work, answer: a, plan: t.view.AddPending(r.Chain())}
	t.step()
}

// step lets the queue start and give up what it will, and comes back at its
// next change.
func (t *Target) step() {
	t.queue.Expire(func(work *mustardtidev1.Work, _ *mtrefusal.Refusal) {
		j := t.jobs[work.GetRun()]
		delete(t.jobs, work.GetRun())
		j.plan()
		j.answer.Refuse()
	})
	for work := t.queue.Next(); work != nil; work = t.queue.Next() {
		t.line = append(t.line, t.jobs[work.GetRun()])
	}
	t.compute()
	wake := t.queue.WakeTime()
	if wake.IsZero() || wake.Equal(t.wake) {
		return
	}
	t.wake = wake
	t.loop.After(time.Until(wake), func() {
		if t.wake.Equal(wake) {
			t.wake = time.Time{}
			t.step()
		}
	})
}

// compute prefills the next prompt of the line.
func (t *Target) compute() {
	if t.busy || len(t.line) == 0 {
		return
	}
	j := t.line[0]
	t.line = t.line[1:]
	t.busy = true
	blocks := j.request.Blocks()
	matched := t.cache.Match(blocks)
	cached := uint64(matched * mtrequest.SpanTokens)
	missing := j.request.Work().GetPrompt() - cached
	j.request.Compute(cached, uint64(t.wasted(t, blocks, matched)*mtrequest.SpanTokens))
	took := time.Duration(float64(missing) / t.prefill * t.speed(t.number, t.loop.Now()) * float64(time.Second))
	t.loop.After(took, func() { t.computed(j, blocks, cached) })
}

func (t *Target) computed(j *job, blocks []uint64, cached uint64) {
	t.busy = false
	t.store(blocks, j.request.Chain())
	j.plan()
	// The end of the prefill gives the first token.
	t.queue.FirstOutput(j.work.GetRun(), j.work.GetAttempt())
	j.answer.First(cached)
	step := time.Duration(float64(t.decode) * t.speed(t.number, t.loop.Now()))
	t.loop.After(step*time.Duration(j.work.GetOutput()-1), func() { t.end(j, cached) })
	t.step()
}

// store caches a prompt and tells the view, late.
func (t *Target) store(blocks []uint64, chain mtchain.Chain) {
	_, evicted := t.cache.Store(blocks)
	t.loop.After(eventLag, func() {
		for i := range chain.Len() {
			t.marks[blocks[i]] = chain.At(i)
			t.view.Store(incarnation, chain.At(i))
		}
		for _, block := range evicted {
			t.view.Remove(t.marks[block])
			delete(t.marks, block)
		}
	})
}

func (t *Target) end(j *job, cached uint64) {
	delete(t.jobs, j.work.GetRun())
	finish := &mustardtidev1.Finish{Complete: true, Prompt: j.work.GetPrompt(), Cached: cached, Output: j.work.GetOutput()}
	t.queue.Done(j.work.GetRun(), j.work.GetAttempt(), finish)
	j.answer.End()
	t.step()
}

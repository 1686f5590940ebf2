// Package mtfake is the laboratory's target: an engine with batch slots, one
// prefill line and a block cache in limited memory, behind the decisions that
// a sidecar makes.
package mtfake

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
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
	// measured is the least computing from which a prefill rate is taken.
	measured = 4 * mtrequest.SpanTokens
	// gain is the share of one observation in the sidecar's averages.
	gain = 0.3
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
	missing uint64
	began   time.Duration
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
	queue *queue

	running  int
	line     []*job
	busy     bool
	pending  uint64
	rate     float64
	hold     time.Duration
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
		queue: newQueue(slots),
		rate:  prefill,
		hold:  time.Second,
	}
	t.view.Start(incarnation)
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
func (t *Target) Load() int { return t.running + t.queue.len() }

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
	return uint64(t.view.Promise(chain) * mtrequest.SpanTokens)
}

// State is the sidecar's word.
func (t *Target) State() *mustardtidev1.State {
	return &mustardtidev1.State{
		Target:      t.name,
		Incarnation: incarnation,
		Ready:       true,
		Wait:        durationpb.New(t.Wait()),
		Running:     uint32(t.running),
		Queued:      uint32(t.queue.len()),
		Prefill:     t.rate,
	}
}

// Rate is the prefill rate that the target has now, tokens a second.
func (t *Target) Rate() float64 { return t.prefill / t.speed(t.number, t.loop.Now()) }

// Wait is the sidecar's estimate of the time until one more request is
// computed: the prefill line, and the turns of the batch before its own.
func (t *Target) Wait() time.Duration {
	line := time.Duration(float64(t.pending) / t.rate * float64(time.Second))
	ahead := t.running + t.queue.len() - t.slots + 1
	if ahead <= 0 {
		return line
	}
	return max(line, time.Duration(ahead)*t.hold/time.Duration(t.slots))
}

// Run takes a request that arrived over the network.
func (t *Target) Run(r *mtrequest.Request, a answer) {
	matched := t.Promised(r.Chain())
	j := &job{request: r, answer: a, missing: r.Work().GetPrompt() - matched}
	if !t.queue.add(j, t.Wait()) {
		a.Refuse()
		return
	}
	j.plan = t.view.Plan(r.Chain())
	t.pending += j.missing
	t.fill()
}

// fill moves requests from the queue into the batch.
func (t *Target) fill() {
	for _, j := range t.queue.next(t.loop.Now()) {
		t.running++
		j.began = t.loop.Now()
		t.line = append(t.line, j)
	}
	for _, j := range t.queue.expired(t.loop.Now()) {
		t.drop(j)
		j.answer.Refuse()
	}
	t.compute()
}

func (t *Target) drop(j *job) {
	t.pending -= j.missing
	j.plan()
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
	t.loop.After(took, func() { t.computed(j, blocks, cached, missing, took) })
}

func (t *Target) computed(j *job, blocks []uint64, cached, missing uint64, took time.Duration) {
	t.busy = false
	t.store(blocks, j.request.Chain())
	if missing >= measured && took > 0 {
		t.rate += (float64(missing)/took.Seconds() - t.rate) * gain
	}
	t.drop(j)
	step := time.Duration(float64(t.decode) * t.speed(t.number, t.loop.Now()))
	t.loop.After(step, func() { j.answer.First(cached) })
	t.loop.After(step*time.Duration(j.request.Work().GetOutput()), func() { t.end(j) })
	t.compute()
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

func (t *Target) end(j *job) {
	t.running--
	t.queue.done(j)
	t.hold += time.Duration(float64(t.loop.Now()-j.began-t.hold) * gain)
	j.answer.End()
	t.fill()
}

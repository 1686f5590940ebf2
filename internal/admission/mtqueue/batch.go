package mtqueue

import (
	"math"
	"time"
)

// longMaxShare is the largest share of slots and memory that long requests may use. Running
// requests are not preempted, so a target full of long ones would block a short one until the
// first of them ends. Reserving a quarter bounds that wait to the run time of short requests.
const longMaxShare = 0.75

// prefillWindow is how much outstanding prefill time a target may have when the next request
// starts. Requests queued here can still be reordered or refused; requests queued in the engine
// cannot. The window must cover the delay between a first token and the next start, about 1 ms
// on one instance. 100 ms tolerates estimation errors and stays far below the 1.6 s limit for a
// first token.
const prefillWindow = 100 * time.Millisecond

// pin is a cached prefix used by running requests.
type pin struct {
	count  int
	tokens float64
}

// batch tracks the requests that are running on the target.
type batch struct {
	count      int
	long       int
	memory     float64
	longMemory float64
	pinned     map[string]*pin
	exclusive  bool // a suspect request is running and excludes all others

	prefillTokens   float64   // prompt tokens of started requests without a first output
	prefillEnd      time.Time // when the outstanding prefill is expected to be complete
	lastFirstOutput time.Time
	endSum          float64 // sum of the expected end times, in seconds since epoch
	epoch           time.Time
}

// fits reports whether an item can start now. A request larger than the target's memory can
// only start when nothing else runs.
func (b *batch) fits(it *item, l *limits, r *rates) bool {
	if b.count == 0 {
		return true
	}
	if b.exclusive || it.work.GetSuspect() || b.count >= l.slots {
		return false
	}
	if l.memory > 0 && b.memory+b.addedMemory(it) > l.memory {
		return false
	}
	return b.prefillOpen(r)
}

// longLaneFits reports whether the long lane has a slot and memory left.
func (b *batch) longLaneFits(l *limits) bool {
	if b.count == 0 || l.slots == 1 {
		return true
	}
	if b.long >= max(1, int(float64(l.slots)*longMaxShare)) {
		return false
	}
	return l.memory == 0 || b.longMemory < l.memory*longMaxShare
}

// prefillOpen reports whether the target's outstanding prefill is within prefillWindow. Overdue
// prefill means that the target is slower than estimated, so the next request waits for a first
// output.
func (b *batch) prefillOpen(r *rates) bool {
	if b.prefillTokens == 0 {
		return true
	}
	left := time.Until(b.prefillEnd)
	return left >= 0 && left <= prefillWindow || b.prefillTokens <= r.prefill*prefillWindow.Seconds()
}

// prefillOpensAt returns when the outstanding prefill is expected to fall within prefillWindow.
func (b *batch) prefillOpensAt() time.Time {
	return b.prefillEnd.Add(-prefillWindow)
}

// addedMemory returns the memory that an item adds. A prefix that another running request has
// pinned is already in memory and not counted again.
func (b *batch) addedMemory(it *item) float64 {
	if it.prefix == "" || b.pinned[it.prefix] == nil {
		return it.demand.prompt + it.demand.output
	}
	return it.ownMemory()
}

func (b *batch) start(it *item, r *rates) {
	now := time.Now()
	if b.count == 0 {
		b.epoch, b.endSum = now, 0
	}
	r.meanMemory = ewma(r.meanMemory, max(1, b.addedMemory(it)))
	b.pin(it)
	b.count++
	b.memory += it.ownMemory()
	b.exclusive = it.work.GetSuspect()
	if it.lane == longLane {
		b.long++
		b.longMemory += it.ownMemory()
	}
	if b.prefillEnd.Before(now) {
		b.prefillEnd = now
	}
	b.prefillEnd = b.prefillEnd.Add(seconds(it.demand.fresh / r.prefill))
	b.prefillTokens += it.demand.fresh
	it.startedAt = now
	it.expectedEnd = now.Add(seconds(r.slotTime(it.demand)))
	b.endSum += it.expectedEnd.Sub(b.epoch).Seconds()
}

// firstOutput records an item's first output: its prefill is complete, and its time is a sample
// of the prefill rate.
func (b *batch) firstOutput(it *item, r *rates) {
	if it.hasFirstOutput {
		return
	}
	now := time.Now()
	it.hasFirstOutput, it.firstOutputAt = true, now
	since := it.startedAt
	if b.lastFirstOutput.After(since) {
		since = b.lastFirstOutput
	}
	r.measurePrefill(it.demand.fresh, now.Sub(since))
	b.lastFirstOutput = now
	b.finishPrefill(it, r)
}

// finishPrefill removes an item's prompt from the outstanding prefill.
func (b *batch) finishPrefill(it *item, r *rates) {
	b.prefillTokens = max(0, b.prefillTokens-it.demand.fresh)
	b.prefillEnd = time.Now().Add(seconds(b.prefillTokens / r.prefill))
}

func (b *batch) end(it *item, r *rates) {
	b.count--
	b.memory -= it.ownMemory()
	b.endSum -= it.expectedEnd.Sub(b.epoch).Seconds()
	b.exclusive = false
	if it.lane == longLane {
		b.long--
		b.longMemory -= it.ownMemory()
	}
	if !it.hasFirstOutput {
		b.finishPrefill(it, r)
	}
	b.unpin(it)
	if b.count == 0 {
		b.memory, b.longMemory, b.prefillTokens = 0, 0, 0
	}
}

// pin adds a reference to an item's cached prefix; its memory is counted once for all the items
// that share it.
func (b *batch) pin(it *item) {
	if it.prefix == "" {
		return
	}
	p := b.pinned[it.prefix]
	if p == nil {
		p = &pin{tokens: it.matched}
		b.pinned[it.prefix] = p
		b.memory += p.tokens
	}
	p.count++
}

func (b *batch) unpin(it *item) {
	p := b.pinned[it.prefix]
	if p == nil {
		return
	}
	p.count--
	if p.count == 0 {
		delete(b.pinned, it.prefix)
		b.memory -= p.tokens
	}
}

// slotTimeRemaining returns the slot time, in seconds, that the running requests are expected
// to need. Requests past their expected end count with the time by which they are late, so
// predicted waits grow while a target is stalled.
func (b *batch) slotTimeRemaining(now time.Time) float64 {
	if b.count == 0 {
		return 0
	}
	return math.Abs(b.endSum - now.Sub(b.epoch).Seconds()*float64(b.count))
}

// prefillRemaining returns the expected time, in seconds, until the outstanding prefill is
// complete. Overdue prefill counts with the time by which it is late.
func (b *batch) prefillRemaining(now time.Time) float64 {
	if b.prefillTokens == 0 {
		return 0
	}
	return math.Abs(b.prefillEnd.Sub(now).Seconds())
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

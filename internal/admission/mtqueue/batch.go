package mtqueue

import (
	"math"
	"time"
)

// longShare is the part of slots and memory that long requests may fill. A
// running request is not taken back, so that a target full of long ones would
// hold a short one until the first of them ends; a quarter kept free bounds
// that wait to the short ones' own times.
const longShare = 0.75

// prefillWindow is how much computing of prompts a target may have before it
// when the next request starts. What waits here can be overtaken or refused;
// what waits in the engine can't. The window must outlast the way from a first
// token to the next start, about a millisecond on one instance; a tenth of a
// second leaves room for a wrong estimate and stays far below the 1.6 s in
// which a first token is due.
const prefillWindow = 100 * time.Millisecond

// pin is a cached prefix in use by running requests.
type pin struct {
	count  int
	tokens float64
}

// batch is what runs on the target.
type batch struct {
	count   int
	long    int
	memory  float64
	longMem float64
	pinned  map[string]*pin
	alone   bool // a suspect runs by itself

	computing float64   // prompt tokens given to the target and not known done
	free      time.Time // when they are expected to be done
	lastFirst time.Time
	ends      float64 // sum of the expected ends, in seconds after epoch
	epoch     time.Time
}

// fits says whether an item can start now. A request larger than the memory
// starts when nothing else runs.
func (b *batch) fits(it *item, l *limits, r *rates) bool {
	if b.count == 0 {
		return true
	}
	if b.alone || it.work.GetSuspect() || b.count >= l.slots {
		return false
	}
	if l.memory > 0 && b.memory+b.memoryOf(it) > l.memory {
		return false
	}
	return b.open(r)
}

// longFits says whether the long lane has a slot and memory left.
func (b *batch) longFits(l *limits) bool {
	if b.count == 0 || l.slots == 1 {
		return true
	}
	if b.long >= max(1, int(float64(l.slots)*longShare)) {
		return false
	}
	return l.memory == 0 || b.longMem < l.memory*longShare
}

// open says whether the target's prefill is close to done. One that is overdue
// is slower than was estimated: the next waits for its first output.
func (b *batch) open(r *rates) bool {
	if b.computing == 0 {
		return true
	}
	left := time.Until(b.free)
	return left >= 0 && left <= prefillWindow || b.computing <= r.prefill*prefillWindow.Seconds()
}

// opens is when the window opens by time alone.
func (b *batch) opens() time.Time {
	return b.free.Add(-prefillWindow)
}

// memoryOf is what an item adds to the memory in use: a prefix that another
// running request has pinned is there already.
func (b *batch) memoryOf(it *item) float64 {
	if it.prefix == "" || b.pinned[it.prefix] == nil {
		return it.need.prompt + it.need.output
	}
	return it.own()
}

func (b *batch) start(it *item, r *rates) {
	now := time.Now()
	if b.count == 0 {
		b.epoch, b.ends = now, 0
	}
	r.memory = blend(r.memory, max(1, b.memoryOf(it)))
	b.pin(it)
	b.count++
	b.memory += it.own()
	b.alone = it.work.GetSuspect()
	if it.lane == longLane {
		b.long++
		b.longMem += it.own()
	}
	if b.free.Before(now) {
		b.free = now
	}
	b.free = b.free.Add(seconds(it.need.fresh / r.prefill))
	b.computing += it.need.fresh
	it.begun = now
	it.expect = now.Add(seconds(r.hold(it.need)))
	b.ends += it.expect.Sub(b.epoch).Seconds()
}

// first takes in that an item's prompt is computed.
func (b *batch) first(it *item, r *rates) {
	if it.seen {
		return
	}
	now := time.Now()
	it.seen, it.firstAt = true, now
	since := it.begun
	if b.lastFirst.After(since) {
		since = b.lastFirst
	}
	r.measurePrefill(it.need.fresh, now.Sub(since))
	b.lastFirst = now
	b.computed(it, r)
}

// computed takes an item's prompt off what the target computes.
func (b *batch) computed(it *item, r *rates) {
	b.computing = max(0, b.computing-it.need.fresh)
	b.free = time.Now().Add(seconds(b.computing / r.prefill))
}

func (b *batch) end(it *item, r *rates) {
	b.count--
	b.memory -= it.own()
	b.ends -= it.expect.Sub(b.epoch).Seconds()
	b.alone = false
	if it.lane == longLane {
		b.long--
		b.longMem -= it.own()
	}
	if !it.seen {
		b.computed(it, r)
	}
	b.unpin(it)
	if b.count == 0 {
		b.memory, b.longMem, b.computing = 0, 0, 0
	}
}

// pin counts an item's cached prefix once, whoever else runs behind it.
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

// remaining is the slot time still expected of the running requests, in
// seconds. One that is past its expected end counts as far as it is late: a
// target that stands still makes the waits grow.
func (b *batch) remaining(now time.Time) float64 {
	if b.count == 0 {
		return 0
	}
	return math.Abs(b.ends - now.Sub(b.epoch).Seconds()*float64(b.count))
}

// computingLeft is the expected time, in seconds, until the target's prefill is
// free; overdue work counts as far as it is late.
func (b *batch) computingLeft(now time.Time) float64 {
	if b.computing == 0 {
		return 0
	}
	return math.Abs(b.free.Sub(now).Seconds())
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

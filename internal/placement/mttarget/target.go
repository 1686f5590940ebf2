// Package mttarget is what an entry knows of one target.
package mttarget

import (
	"math"
	"sync/atomic"
	"time"
)

// muteFor is how long a target that did not answer an offer gets no other:
// each would cost its caller the offer's timeout. A busy moment, such as a
// collection of garbage, is over by then.
const muteFor = 2 * time.Second

// Target joins a target's own last word with what this entry has sent since.
// Requests read and write it without a lock.
type Target struct {
	name       string
	datacentre string
	id         uint32
	distance   time.Duration

	seen    atomic.Int64
	wait    atomic.Int64
	sent    atomic.Int64
	prefill atomic.Uint64
	leaving atomic.Bool

	muted atomic.Int64

	incarnation atomic.Pointer[string]
}

// New returns a target of which nothing is known. id is not 0 and differs
// between the targets of an entry; distance is the round trip to it.
func New(name, datacentre string, id uint32, distance time.Duration) *Target {
	return &Target{name: name, datacentre: datacentre, id: id, distance: distance}
}

// Name is the target's name.
func (t *Target) Name() string { return t.name }

// Datacentre is where the target stands.
func (t *Target) Datacentre() string { return t.datacentre }

// ID is the target's number at this entry.
func (t *Target) ID() uint32 { return t.id }

// Distance is the round trip to the target.
func (t *Target) Distance() time.Duration { return t.distance }

// Mute notes that the target did not answer an offer.
func (t *Target) Mute() { t.muted.Store(time.Now().Add(muteFor).UnixNano()) }

// Usable says that the target may be offered work: it did not say that it
// leaves and answered the last offer.
func (t *Target) Usable() bool {
	return !t.leaving.Load() && time.Now().UnixNano() >= t.muted.Load()
}

// Prefill is the target's prefill rate in tokens a second; 0 if unknown.
func (t *Target) Prefill() float64 { return math.Float64frombits(t.prefill.Load()) }

// Say takes in the target's own word: expected wait, prefill rate in tokens a
// second (0: not measured) and whether it leaves.
func (t *Target) Say(wait time.Duration, prefill float64, leaving bool) {
	t.wait.Store(int64(wait))
	t.sent.Store(0)
	t.seen.Store(time.Now().UnixNano())
	t.leaving.Store(leaving)
	if prefill > 0 {
		t.prefill.Store(math.Float64bits(prefill))
	}
}

// Send counts the computing time of a request sent to the target since its
// last word; without it a burst that arrives between two words goes to one
// target.
func (t *Target) Send(cost time.Duration) { t.sent.Add(int64(cost)) }

// Wait is the expected wait now: the last word and what was sent since, less
// what the target has worked off in the meantime.
func (t *Target) Wait() time.Duration {
	worked := time.Now().UnixNano() - t.seen.Load()
	return time.Duration(max(0, t.wait.Load()+t.sent.Load()-worked))
}

// Age is the time since the target's last word.
func (t *Target) Age() time.Duration { return time.Duration(time.Now().UnixNano() - t.seen.Load()) }

// Restarted takes in the target's incarnation and reports whether its program
// started anew since the last word.
func (t *Target) Restarted(incarnation string) bool {
	before := t.incarnation.Load()
	if incarnation == "" || before != nil && *before == incarnation {
		return false
	}
	t.incarnation.Store(&incarnation)
	return before != nil
}

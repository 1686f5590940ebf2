// Package mttarget holds the state that an entry keeps for one target.
package mttarget

import (
	"math"
	"sync/atomic"
	"time"
)

// unresponsiveBackoff is how long a target that did not answer an offer gets no
// further offers, as each would cost its caller the offer's timeout. A short stall,
// such as a garbage collection, is over by then.
const unresponsiveBackoff = 2 * time.Second

// Target combines a target's last report with the work that this entry has sent
// since. Requests read and write it without a lock.
type Target struct {
	name       string
	datacentre string
	id         uint32
	distance   time.Duration

	// reportedAt is the time of the last report in Unix nanoseconds; reportedWait
	// is its wait and sentCost the computing time sent since, in nanoseconds.
	reportedAt   atomic.Int64
	reportedWait atomic.Int64
	sentCost     atomic.Int64
	// prefillRate holds the bits of a float64.
	prefillRate atomic.Uint64
	leaving     atomic.Bool

	// backoffUntil is the time in Unix nanoseconds until which no offers are sent.
	backoffUntil atomic.Int64

	incarnation atomic.Pointer[string]
}

// New returns a target that has not reported yet. id is not 0 and is unique
// among the targets of an entry; distance is the round-trip time to the target.
func New(name, datacentre string, id uint32, distance time.Duration) *Target {
	return &Target{name: name, datacentre: datacentre, id: id, distance: distance}
}

// Name returns the target's name.
func (t *Target) Name() string { return t.name }

// Datacentre returns the data centre that the target runs in.
func (t *Target) Datacentre() string { return t.datacentre }

// ID returns the number that this entry has given to the target.
func (t *Target) ID() uint32 { return t.id }

// RoundTrip returns the round-trip time to the target.
func (t *Target) RoundTrip() time.Duration { return t.distance }

// MarkUnresponsive records that the target did not answer an offer, and suspends offers to it.
func (t *Target) MarkUnresponsive() {
	t.backoffUntil.Store(time.Now().Add(unresponsiveBackoff).UnixNano())
}

// Usable reports whether the target may be offered work: it has not announced
// that it is leaving, and no offer to it went unanswered recently.
func (t *Target) Usable() bool {
	return !t.leaving.Load() && time.Now().UnixNano() >= t.backoffUntil.Load()
}

// PrefillRate returns the target's prefill rate in tokens per second; 0 if unknown.
func (t *Target) PrefillRate() float64 { return math.Float64frombits(t.prefillRate.Load()) }

// Update applies a report of the target: its expected wait, its prefill rate in
// tokens per second (0 if not measured) and whether it is leaving.
func (t *Target) Update(wait time.Duration, prefillRate float64, leaving bool) {
	t.reportedWait.Store(int64(wait))
	t.sentCost.Store(0)
	t.reportedAt.Store(time.Now().UnixNano())
	t.leaving.Store(leaving)
	if prefillRate > 0 {
		t.prefillRate.Store(math.Float64bits(prefillRate))
	}
}

// AddSentCost adds the computing time of a request sent to the target. Without it, a
// burst that arrives between two reports would go to a single target.
func (t *Target) AddSentCost(cost time.Duration) { t.sentCost.Add(int64(cost)) }

// Wait returns the expected wait now: the reported wait plus the computing time
// sent since, less the time elapsed since the report.
func (t *Target) Wait() time.Duration {
	elapsed := time.Now().UnixNano() - t.reportedAt.Load()
	return time.Duration(max(0, t.reportedWait.Load()+t.sentCost.Load()-elapsed))
}

// ReportAge returns the time since the target's last report.
func (t *Target) ReportAge() time.Duration {
	return time.Duration(time.Now().UnixNano() - t.reportedAt.Load())
}

// RecordIncarnation records the target's incarnation and reports whether its process
// has restarted since the last report.
func (t *Target) RecordIncarnation(incarnation string) bool {
	previous := t.incarnation.Load()
	if incarnation == "" || previous != nil && *previous == incarnation {
		return false
	}
	t.incarnation.Store(&incarnation)
	return previous != nil
}

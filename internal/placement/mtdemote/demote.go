// Package mtdemote finds targets that run behind their fleet.
//
// It answers the slow target: one with a failing accelerator or a cold start
// answers each probe as the others do, so that queue lengths alone keep sending
// it a full share and every request that lands there shapes the tail.
//
// A target's slowness is its time to the first token over the time that its
// queue and the prompt made expect at the fleet's rate. Only targets far from the fleet's median are demoted and
// never more than a share of the fleet, since a whole fleet that is slow is
// overload. A demoted target keeps getting a trickle, which finds its recovery.
package mtdemote

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// halfLife is the time in which an average wears off by half without answers:
	// long enough for two probes.
	halfLife = time.Minute
	// gain is the share of one answer: a target at a fifth of its speed is found
	// after four, and one late answer among sound ones does not demote.
	gain = 0.2
	// reviewEvery bounds the sorting of the fleet, 0.2 ms at 2,700 targets.
	reviewEvery = time.Second
	// behind is how far from the median a target is demoted. Batches and
	// chunked prefill spread healthy targets by up to a factor of two.
	behind = 2
	// most is the largest share of the fleet that is demoted.
	most = 0.25
	// trickle is the time between an entry's probes of a demoted target: from
	// three entries 0.1 a second, too few to shape the 99th percentile of the 9
	// requests a second of the smallest fleet.
	trickle = 30 * time.Second
	// ceiling bounds one answer's weight: below the answer that alone would
	// demote a target, 1 + behind / gain.
	ceiling = 6
	// slowStart is the time in which a target that started anew grows from
	// coldFactor to its full share: its caches are empty and its first prompts
	// all compute.
	slowStart  = 10 * time.Second
	coldFactor = 2
)

// pace is one target's record. Requests use it without a lock.
type pace struct {
	average atomic.Uint64
	seen    atomic.Int64
	factor  atomic.Uint64
	probed  atomic.Int64
	started atomic.Int64
}

// Demote holds the paces of an entry's targets. It is safe for concurrent use.
type Demote struct {
	mu       sync.Mutex
	paces    atomic.Pointer[map[uint32]*pace]
	reviewed atomic.Int64
}

// New returns a state in which no target is slow.
func New() *Demote {
	d := &Demote{}
	d.paces.Store(&map[uint32]*pace{})
	return d
}

// Keep forgets the targets that are not among ids and adds those that are new.
func (d *Demote) Keep(ids []uint32) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := make(map[uint32]*pace, len(ids))
	for _, id := range ids {
		known := (*d.paces.Load())[id]
		if known == nil {
			known = &pace{}
			known.average.Store(math.Float64bits(1))
			known.factor.Store(math.Float64bits(1))
		}
		next[id] = known
	}
	d.paces.Store(&next)
}

// Start notes that a target's program started anew.
func (d *Demote) Start(id uint32) {
	if p := (*d.paces.Load())[id]; p != nil {
		p.started.Store(time.Now().UnixNano())
	}
}

// Observe takes in a first token that came after took where expected was
// forecast.
func (d *Demote) Observe(id uint32, took, expected time.Duration) {
	p := (*d.paces.Load())[id]
	if p == nil {
		return
	}
	now := time.Now()
	p.observe(now, min(ceiling, float64(took)/float64(max(expected, time.Millisecond))))
	last := d.reviewed.Load()
	if now.UnixNano()-last >= int64(reviewEvery) && d.reviewed.CompareAndSwap(last, now.UnixNano()) {
		d.review(now)
	}
}

// observe moves the average. Two racing observations may lose one: it is an
// average.
func (p *pace) observe(now time.Time, ratio float64) {
	average := p.now(now)
	p.average.Store(math.Float64bits(average + (ratio-average)*gain))
	p.seen.Store(now.UnixNano())
}

// now is the average worn off towards 1 since the last observation.
func (p *pace) now(now time.Time) float64 {
	average := math.Float64frombits(p.average.Load())
	if average <= 1 {
		return average
	}
	halves := float64(now.UnixNano()-p.seen.Load()) / float64(halfLife)
	return 1 + (average-1)*math.Exp2(-halves)
}

// review sets the factors of the whole fleet.
func (d *Demote) review(now time.Time) {
	paces := *d.paces.Load()
	type entry struct {
		id      uint32
		average float64
	}
	order := make([]entry, 0, len(paces))
	for id, p := range paces {
		order = append(order, entry{id: id, average: p.now(now)})
	}
	slices.SortFunc(order, func(a, b entry) int {
		switch {
		case a.average > b.average:
			return -1
		case a.average < b.average:
			return 1
		default:
			return int(a.id) - int(b.id)
		}
	})
	median := max(1, order[len(order)/2].average)
	allowed := int(float64(len(order)) * most)
	for i, e := range order {
		factor := 1.0
		if i < allowed && e.average > behind*median {
			factor = e.average / median
		}
		paces[e.id].factor.Store(math.Float64bits(factor))
	}
}

// Slowness is the factor by which a target's waits and computing are to be
// counted: 1, or more for a target that is demoted or has just started.
func (d *Demote) Slowness(id uint32) float64 {
	p := (*d.paces.Load())[id]
	if p == nil {
		return 1
	}
	factor := math.Float64frombits(p.factor.Load())
	started := p.started.Load()
	if started == 0 {
		return factor
	}
	age := float64(time.Now().UnixNano()-started) / float64(slowStart)
	if age >= 1 {
		return factor
	}
	return max(factor, coldFactor-(coldFactor-1)*age)
}

// Demoted says that a target is far behind its fleet.
func (d *Demote) Demoted(id uint32) bool {
	p := (*d.paces.Load())[id]
	return p != nil && math.Float64frombits(p.factor.Load()) > 1
}

// Probe says that a demoted target's next trial is due, and counts it as
// taken.
func (d *Demote) Probe(id uint32) bool {
	p := (*d.paces.Load())[id]
	if p == nil {
		return false
	}
	now, last := time.Now().UnixNano(), p.probed.Load()
	return now-last >= int64(trickle) && p.probed.CompareAndSwap(last, now)
}

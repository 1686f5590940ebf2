// Package mtdemote detects targets that are slower than the rest of their fleet and demotes them.
//
// A target with a failing accelerator or a cold start answers each probe like the others, so that
// balancing by queue length alone keeps sending it a full share, and its requests dominate the tail
// latency.
//
// The slowness of a target is its time to first token divided by the time expected from its queue
// and the prompt at the fleet's mean rate. Only targets far from the fleet's median are demoted,
// and never more than a share of the fleet, since a fleet that is slow as a whole is overloaded. A
// demoted target still gets a few requests, which reveal its recovery.
package mtdemote

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// halfLife is the time in which an average above 1 decays half of the way to 1 without
	// answers. It is long enough for two probes.
	halfLife = time.Minute
	// gain is the weight of one answer: a target at a fifth of its normal speed is detected after
	// four answers, and a single late answer does not demote.
	gain = 0.2
	// reviewEvery is the least time between two sorts of the fleet, 0.2 ms each at 2,700 targets.
	reviewEvery = time.Second
	// demoteRatio is the ratio to the median above which a target is demoted. Batches and chunked
	// prefill spread healthy targets by up to a factor of two.
	demoteRatio = 2
	// maxShare is the largest share of the fleet that is demoted.
	maxShare = 0.25
	// probeInterval is the time between the probes of a demoted target by one entry. Three entries
	// make 0.1 probes per second, too few to affect the 99th percentile of the 9 requests per
	// second of the smallest fleet.
	probeInterval = 30 * time.Second
	// maxRatio limits the ratio of one answer. It stays below the one at which a single answer
	// would demote a target, 1 + demoteRatio / gain.
	maxRatio = 6
	// slowStart is the time in which the factor of a restarted target falls from coldFactor to 1.
	// Its caches are empty and its first prompts are all computed.
	slowStart  = 10 * time.Second
	coldFactor = 2
)

// pace is the record of one target. Requests use it without a lock. average and factor hold the
// bits of a float64, the others Unix times in nanoseconds.
type pace struct {
	average  atomic.Uint64
	observed atomic.Int64
	factor   atomic.Uint64
	probed   atomic.Int64
	started  atomic.Int64
}

// Detector tracks the speed of an entry's targets. It is safe for concurrent use.
type Detector struct {
	mu       sync.Mutex
	paces    atomic.Pointer[map[uint32]*pace]
	reviewed atomic.Int64
}

// New returns a detector without targets.
func New() *Detector {
	d := &Detector{}
	d.paces.Store(&map[uint32]*pace{})
	return d
}

// SetTargets removes the targets that are not among ids and adds those that are new.
func (d *Detector) SetTargets(ids []uint32) {
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

// RecordRestart records that a target's program restarted.
func (d *Detector) RecordRestart(id uint32) {
	if p := (*d.paces.Load())[id]; p != nil {
		p.started.Store(time.Now().UnixNano())
	}
}

// Observe records that a first token came after took, where expected was the estimate.
func (d *Detector) Observe(id uint32, took, expected time.Duration) {
	p := (*d.paces.Load())[id]
	if p == nil {
		return
	}
	now := time.Now()
	p.observe(now, min(maxRatio, float64(took)/float64(max(expected, time.Millisecond))))
	last := d.reviewed.Load()
	if now.UnixNano()-last >= int64(reviewEvery) && d.reviewed.CompareAndSwap(last, now.UnixNano()) {
		d.review(now)
	}
}

// observe updates the average. Of two concurrent observations one may be lost, which an average
// tolerates.
func (p *pace) observe(now time.Time, ratio float64) {
	average := p.averageAt(now)
	p.average.Store(math.Float64bits(average + (ratio-average)*gain))
	p.observed.Store(now.UnixNano())
}

// averageAt returns the average decayed towards 1 since the last observation.
func (p *pace) averageAt(now time.Time) float64 {
	average := math.Float64frombits(p.average.Load())
	if average <= 1 {
		return average
	}
	halves := float64(now.UnixNano()-p.observed.Load()) / float64(halfLife)
	return 1 + (average-1)*math.Exp2(-halves)
}

// review updates the factors of all targets.
func (d *Detector) review(now time.Time) {
	paces := *d.paces.Load()
	type entry struct {
		id      uint32
		average float64
	}
	order := make([]entry, 0, len(paces))
	for id, p := range paces {
		order = append(order, entry{id: id, average: p.averageAt(now)})
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
	maxDemoted := int(float64(len(order)) * maxShare)
	for i, e := range order {
		factor := 1.0
		if i < maxDemoted && e.average > demoteRatio*median {
			factor = e.average / median
		}
		paces[e.id].factor.Store(math.Float64bits(factor))
	}
}

// Slowness returns the factor by which the waits and the computing time of a target are multiplied:
// 1, or more for a target that is demoted or has just restarted.
func (d *Detector) Slowness(id uint32) float64 {
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

// Demoted reports whether a target is demoted.
func (d *Detector) Demoted(id uint32) bool {
	p := (*d.paces.Load())[id]
	return p != nil && math.Float64frombits(p.factor.Load()) > 1
}

// TakeProbe reports whether a probe of a demoted target is due, and if so counts it as made.
func (d *Detector) TakeProbe(id uint32) bool {
	p := (*d.paces.Load())[id]
	if p == nil {
		return false
	}
	now, last := time.Now().UnixNano(), p.probed.Load()
	return now-last >= int64(probeInterval) && p.probed.CompareAndSwap(last, now)
}

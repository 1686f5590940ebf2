package mtboard

import (
	"math"
	"time"
)

const (
	// faultHalfLife is the half-life of a target's failure rate. Engines are back some seconds
	// after a crash, and one that fails only sometimes must be tried now and then for its
	// recovery to be seen.
	faultHalfLife = 2 * time.Second
	// faultWeight is the weight of one outcome in the failure rate.
	faultWeight = 0.3
	// faultPenalty is the cost of a failure rate of 1. It is high enough that no healthy target
	// is passed over for one that fails every request.
	faultPenalty = 3 * time.Second
	// minExclusion and maxExclusion bound how long an unreachable target is left out. An engine's
	// restart takes about a second; the maximum is short compared with the seconds in which an
	// entry expires.
	minExclusion = 300 * time.Millisecond
	maxExclusion = 2 * time.Second
)

// failureRate is the recent rate of a target's failures.
type failureRate struct {
	rate          float64
	updatedAt     time.Time
	excludedUntil time.Time
	exclusion     time.Duration
}

// decayed returns the rate, decayed to the present.
func (f *failureRate) decayed() float64 {
	if f.rate == 0 {
		return 0
	}
	return f.rate * decay(f.updatedAt, faultHalfLife)
}

// decay returns the remaining weight of a value observed at a time.
func decay(at time.Time, halfLife time.Duration) float64 {
	return math.Exp2(-time.Since(at).Seconds() / halfLife.Seconds())
}

func (f *failureRate) recordSuccess() {
	f.rate = f.decayed() * (1 - faultWeight)
	f.updatedAt = time.Now()
	f.exclusion = 0
	f.excludedUntil = time.Time{}
}

func (f *failureRate) recordFailure() {
	f.rate = f.decayed()*(1-faultWeight) + faultWeight
	f.updatedAt = time.Now()
}

// recordUnreachable leaves the target out for a time that doubles.
func (f *failureRate) recordUnreachable() {
	f.recordFailure()
	f.exclusion = min(max(minExclusion, 2*f.exclusion), maxExclusion)
	f.excludedUntil = time.Now().Add(f.exclusion)
}

func (f *failureRate) penalty() time.Duration {
	return time.Duration(f.decayed() * float64(faultPenalty))
}

const (
	// latencyRatioWeight is the weight of one measured first token in a target's ratio.
	latencyRatioWeight = 0.2
	// minLatencyRatio and maxLatencyRatio bound a sample: a single late packet must not make a
	// target look stalled.
	minLatencyRatio = 0.7
	maxLatencyRatio = 8
)

// latencyRatio is the mean ratio of a target's measured to its estimated times; a mean of 0 means
// not measured.
type latencyRatio struct {
	mean float64
}

func (l *latencyRatio) value() float64 {
	if l.mean == 0 {
		return 1
	}
	return l.mean
}

// learn adds a sample: an estimate and the time measured.
func (l *latencyRatio) learn(estimate, took time.Duration) {
	if estimate <= 0 {
		return
	}
	ratio := min(maxLatencyRatio, max(minLatencyRatio, float64(took)/float64(estimate)))
	l.mean = l.value()*(1-latencyRatioWeight) + ratio*latencyRatioWeight
}

package mtboard

import (
	"math"
	"time"
)

const (
	// faultHalf is the time in which a target's share of failures counts half:
	// engines are back some seconds after a crash, and one that fails in part
	// must be tried again now and then to be seen well.
	faultHalf = 2 * time.Second
	// faultStep is how far one outcome moves the share.
	faultStep = 0.3
	// faultCost is the cost of a share of 1: above it no target in sound state
	// is passed over for one that fails each request.
	faultCost = 3 * time.Second
	// outFirst and outLast bound how long a target that can't be reached is left
	// out: an engine's restart takes about a second; the last is short beside
	// the seconds in which an entry lapses.
	outFirst = 300 * time.Millisecond
	outLast  = 2 * time.Second
)

// faults is the recent share of a target's failures.
type faults struct {
	share float64
	at    time.Time
	out   time.Time
	pause time.Duration
}

// now is the share, which fades with time.
func (f *faults) now() float64 {
	if f.share == 0 {
		return 0
	}
	return f.share * fade(f.at, faultHalf)
}

// fade is the part that counts of what was seen at a time and counts half after
// each half.
func fade(at time.Time, half time.Duration) float64 {
	return math.Exp2(-time.Since(at).Seconds() / half.Seconds())
}

func (f *faults) good() {
	f.share = f.now() * (1 - faultStep)
	f.at = time.Now()
	f.pause = 0
	f.out = time.Time{}
}

func (f *faults) bad() {
	f.share = f.now()*(1-faultStep) + faultStep
	f.at = time.Now()
}

// unreached leaves the target out for a time that doubles.
func (f *faults) unreached() {
	f.bad()
	f.pause = min(max(outFirst, 2*f.pause), outLast)
	f.out = time.Now().Add(f.pause)
}

func (f *faults) cost() time.Duration {
	return time.Duration(f.now() * float64(faultCost))
}

const (
	// paceStep is how far one measured first token moves a target's pace.
	paceStep = 0.2
	// paceLeast and paceMost bound it: a single late packet must not make a
	// target look stopped.
	paceLeast = 0.7
	paceMost  = 8
)

// pace is how much longer a target takes than estimated; 0 means not measured.
type pace struct {
	factor float64
}

func (p *pace) now() float64 {
	if p.factor == 0 {
		return 1
	}
	return p.factor
}

// learn takes in one estimate and what it took.
func (p *pace) learn(estimate, took time.Duration) {
	if estimate <= 0 {
		return
	}
	ratio := min(paceMost, max(paceLeast, float64(took)/float64(estimate)))
	p.factor = p.now()*(1-paceStep) + ratio*paceStep
}

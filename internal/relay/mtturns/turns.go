// Package mtturns computes the order in which a fleet's engines load new weights.
//
// It is designed for new weights for a whole fleet, which may be published again
// before the previous ones are in place. Engines refuse requests while they load, and
// above some number of simultaneous loads each load takes longer. Turns fixed in
// advance pile up where loads take longer than expected: every engine then loads at
// the same time, and an idle fleet refuses requests. There is therefore one queue for
// all weights, ordered by the time since the engine last loaded, longest first, and
// paced by the observed loads.
//
// Nobody owns the queue: each entry computes it from the state reported by the
// sidecars, and sends each sidecar its engine's position. Entries that see the same
// loads compute the same order.
package mtturns

import (
	"cmp"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
)

const (
	// defaultLoadTime is assumed until a load has been observed: it lies between the half
	// second of small weights and the two seconds of large ones. The queue advances as
	// soon as loads are seen to end.
	defaultLoadTime = time.Second
	// initialGroups is the number of groups that a fleet is initially divided into: with a
	// sixth unavailable, the others carry the load of a busy day.
	initialGroups = 6
	// maxUnavailableDivisor limits the engines that load at once to one in this many of
	// the fleet, unless the grace period requires more.
	maxUnavailableDivisor = 3
	// deadlineShare is the share of the grace period within which the last engine
	// should have loaded. The rest is a reserve for crashes, lost orders and entries
	// with outdated state.
	deadlineShare = 0.75
	// slowdownRatio is the ratio of the typical to the shortest load time from which on
	// simultaneous loads are taken to slow each other down.
	slowdownRatio = 1.15
	// concurrencyMargin corrects the measured mean concurrency, which is below the intended
	// one: engines start slightly late, and the first and last loads of a rollout have
	// fewer others beside them.
	concurrencyMargin = 0.25
	// maxLead and maxLeadShare, a share of the grace period, limit how long engines
	// wait for their runs to end. Where answers last for many seconds, waiting for them
	// would leave no time for the loads, and all engines would have to load at once.
	maxLead      = 2 * time.Second
	maxLeadShare = 1.0 / 6
	// minRecentShare is the share of the engines whose state must be recent for the
	// queue to count as live. State is recent if it is no older than the grace period
	// divided by maxAgeDivisor.
	minRecentShare = 0.75
	maxAgeDivisor  = 2
	// maxSamples limits the loads from which the pace is estimated: comparing each with
	// each then takes some 10 us.
	maxSamples = 48
	// minLoadTime and maxLoadTime bound the reported load times that are accepted.
	minLoadTime = 20 * time.Millisecond
	maxLoadTime = time.Minute
)

// Turns is the load queue of one service's engines as one entry sees it. It is not
// safe for concurrent use.
type Turns struct {
	gracePeriod time.Duration
	lead        time.Duration
	// overdue reports whether the deadline for all engines to have loaded has passed.
	overdue bool
	// saturation is the number of concurrent loads above which engines were observed
	// to slow each other down; 0 if none were.
	saturation int

	engines []engine
	// loads holds the last load of each engine, minTimes the shortest load time of each.
	loads    []load
	minTimes []time.Duration
	// inProgress holds the times since the start of the loads that have not ended.
	inProgress []time.Duration
	positions  map[string]int
	// recent, unavailable and behind count engines; lastStart is the time since the most
	// recent start of a load.
	recent      int
	unavailable int
	behind      int
	lastStart   time.Duration
	// concurrency is the number of engines that load at once, loadTime the estimated
	// duration of a load.
	concurrency int
	loadTime    time.Duration
}

// engine is a queued engine.
type engine struct {
	id         string
	behind     bool
	startedAgo time.Duration
}

// load is an observed load; its times are relative to now.
type load struct {
	startedAgo time.Duration
	endedAgo   time.Duration
}

func (l load) duration() time.Duration { return l.startedAgo - l.endedAgo }

// never is the time since the last load of an engine without an observed load.
const never = time.Duration(math.MaxInt64)

// New returns an empty queue. Every engine must have new weights within gracePeriod of
// their publication, sincePublished is the time since then, and lead is the time that
// an engine's runs are given to end before its order.
//
// saturation is the value found by the previous queue of the same engines, initially 0.
func New(gracePeriod, sincePublished, lead time.Duration, saturation int) *Turns {
	return &Turns{
		saturation:  saturation,
		gracePeriod: gracePeriod,
		lead:        min(lead, maxLead, time.Duration(maxLeadShare*float64(gracePeriod))),
		overdue:     gracePeriod > 0 && sincePublished > time.Duration(deadlineShare*float64(gracePeriod)),
		positions:   map[string]int{},
		lastStart:   never,
	}
}

// Put adds an engine. behind reports whether it is up and has older weights than the
// newest published ones, away whether it takes no requests because of its load. last is
// nil if no recent state of the engine is known, and age is the age of that state.
func (t *Turns) Put(id string, behind, away bool, last *fleetv1.Load, age time.Duration) {
	e := engine{id: id, behind: behind && !away, startedAgo: never}
	if away {
		t.unavailable++
	}
	if e.behind {
		t.behind++
	}
	if last != nil && (t.gracePeriod <= 0 || age <= t.gracePeriod/maxAgeDivisor) {
		t.recent++
	}
	if last.GetBegun() != nil {
		e.startedAgo = age + last.GetBegun().AsDuration()
		t.lastStart = min(t.lastStart, e.startedAgo)
		if away && last.GetEnded() == nil {
			t.inProgress = append(t.inProgress, e.startedAgo)
		}
	}
	if took := last.GetTook().AsDuration(); took >= minLoadTime && took <= maxLoadTime {
		ended := age + last.GetEnded().AsDuration()
		t.loads = append(t.loads, load{startedAgo: ended + took, endedAgo: ended})
		t.minTimes = append(t.minTimes, min(took, max(minLoadTime, last.GetLeast().AsDuration())))
	}
	t.engines = append(t.engines, e)
}

// Arrange computes positions and pace. hash breaks ties between engines with no observed
// load, identically at all entries.
func (t *Turns) Arrange(hash func(id string) uint64) {
	slices.SortFunc(t.engines, func(a, b engine) int {
		if a.behind != b.behind {
			if a.behind {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.startedAgo, a.startedAgo), cmp.Compare(hash(a.id), hash(b.id)))
	})
	for i, e := range t.engines {
		t.positions[e.id] = i
	}
	t.estimate()
}

// Concurrency returns the number of engines that load at once.
func (t *Turns) Concurrency() int { return t.concurrency }

// LoadTime returns the estimated duration of a load.
func (t *Turns) LoadTime() time.Duration { return t.loadTime }

// interval returns the time from one engine's turn to the next, derived from the loads.
// Where loads are short compared with the time that an engine waits for its runs, most
// unavailable engines are waiting, so their number is limited too.
func (t *Turns) interval() time.Duration {
	total := t.lead + t.loadTime
	availabilityInterval := time.Duration(float64(total) / float64(t.maxUnavailable()))
	deadlineInterval := (t.deadline() - total) / time.Duration(max(1, len(t.engines)))
	return max(t.loadTime/time.Duration(max(1, t.concurrency)), min(availabilityInterval, deadlineInterval))
}

// deadline returns the time within which the last engine should have loaded.
func (t *Turns) deadline() time.Duration {
	return time.Duration(deadlineShare * float64(t.gracePeriod))
}

// maxUnavailable returns how many engines may refuse requests while the deadline can
// still be met.
func (t *Turns) maxUnavailable() int { return max(1, len(t.engines)/maxUnavailableDivisor) }

// Of returns an engine's turn.
func (t *Turns) Of(id string) *fleetv1.Turn {
	interval := t.interval()
	turn := &fleetv1.Turn{
		Place:    uint32(t.positions[id]),
		Queue:    uint32(t.queueLength()),
		Interval: durationpb.New(interval),
		Lead:     durationpb.New(t.lead),
		Full:     t.full(),
		Live:     float64(t.recent) >= minRecentShare*float64(len(t.engines)),
	}
	if head := t.untilNext(interval) - t.lastStart; t.lastStart != never && head > 0 {
		turn.Head = durationpb.New(head)
	}
	return turn
}

// queueLength returns the number of engines that are still to load: all of them until
// newer weights are published.
func (t *Turns) queueLength() int {
	if t.behind == 0 {
		return len(t.engines)
	}
	return t.behind
}

// untilNext returns the time from the most recent start to the turn of the first in the
// queue: shorter than the interval while fewer engines are unavailable than should load.
func (t *Turns) untilNext(interval time.Duration) time.Duration {
	return interval * time.Duration(min(t.unavailable, t.concurrency)) / time.Duration(max(1, t.concurrency))
}

// full reports whether more engines are unavailable than should load: one more is
// accepted, as its runs end in the meantime.
func (t *Turns) full() bool { return !t.overdue && t.unavailable > t.concurrency }

// estimate computes how many engines load at once, and how long a load takes. Engines
// share the bandwidth that delivers their weights: up to some number of simultaneous
// loads the load time is constant, above it loads take longer and throughput no longer
// grows. That number is where the shortest load time meets the highest throughput.
func (t *Turns) estimate() {
	size := len(t.engines)
	t.loadTime = defaultLoadTime
	t.concurrency = max(1, (size+initialGroups-1)/initialGroups)
	if len(t.loads) > 0 {
		t.estimateSaturation()
	} else {
		t.loadTime = max(t.loadTime, t.minInProgressTime())
	}
	t.concurrency = max(t.requiredConcurrency(), min(t.concurrency, t.maxUnavailable()))
	if t.saturation > 0 {
		// More simultaneous loads would not finish any sooner.
		t.concurrency = min(t.concurrency, t.saturation)
	}
}

// minInProgressTime returns a lower bound of the load time from the loads in progress.
// The oldest of them is ignored: a single false report must not decide.
func (t *Turns) minInProgressTime() time.Duration {
	if len(t.inProgress) < 2 {
		return 0
	}
	slices.Sort(t.inProgress)
	return min(t.inProgress[len(t.inProgress)-2]-t.lead, maxLoadTime)
}

// Saturation returns the number of concurrent loads above which engines were observed
// to slow each other down; 0 if none were.
func (t *Turns) Saturation() int { return t.saturation }

// requiredConcurrency returns how many engines must load at once for the last to meet the
// deadline.
func (t *Turns) requiredConcurrency() int {
	remaining := t.deadline() - t.loadTime - t.lead
	if t.gracePeriod <= 0 || len(t.engines) == 0 {
		return 1
	}
	if remaining <= 0 {
		return len(t.engines)
	}
	return min(len(t.engines), int(math.Ceil(float64(len(t.engines))*float64(t.loadTime)/float64(remaining))))
}

// estimateSaturation estimates the load time from the observed loads, and the saturation
// if some of them were slowed down.
func (t *Turns) estimateSaturation() {
	slices.SortFunc(t.loads, func(a, b load) int { return cmp.Compare(a.endedAgo, b.endedAgo) })
	loads := t.loads[:min(len(t.loads), maxSamples)]
	scale := float64(len(t.loads)) / float64(len(loads))
	durations := make([]time.Duration, len(loads))
	timesPerLoad := make([]float64, len(loads))
	for i, l := range loads {
		atOnce := 1 + scale*(meanConcurrency(l, loads)-1)
		durations[i] = l.duration()
		timesPerLoad[i] = float64(l.duration()) / atOnce
	}
	slices.Sort(durations)
	slices.Sort(timesPerLoad)
	slices.Sort(t.minTimes)
	shortest, timePerLoad := lowPercentile(t.minTimes), lowPercentile(timesPerLoad)
	t.loadTime = durations[len(durations)/2]
	if float64(t.loadTime) >= slowdownRatio*float64(shortest) {
		t.saturation = max(1, int(math.Ceil(float64(shortest)/timePerLoad-concurrencyMargin)))
		t.loadTime = shortest
	}
}

// lowPercentile returns the 20th percentile of a sorted list rather than the minimum: a
// single false report must not decide.
func lowPercentile[T any](sorted []T) T { return sorted[len(sorted)/5] }

// meanConcurrency returns the mean number of loads in progress during l, itself included.
func meanConcurrency(l load, loads []load) float64 {
	var sum time.Duration
	for _, other := range loads {
		sum += max(0, min(l.startedAgo, other.startedAgo)-max(l.endedAgo, other.endedAgo))
	}
	return float64(sum) / float64(l.duration())
}

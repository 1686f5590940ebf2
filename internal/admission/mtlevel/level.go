// Package mtlevel decides which requests of a service are admitted while it is overloaded.
//
// It answers a burst of less urgent requests, a loss of targets, or an account that sends many
// times its usual, in any combination. An estimate for one request tells whether that request
// would be late, not that it makes more urgent ones late. Without a level, background work fills
// the targets' memory and every kind of request is late. The level says which requests may still
// come in: the most urgent rank always, of the others first those of a more urgent rank, and within
// a rank first those of accounts that send little.
//
// Each entry measures the queueing times of its requests and tells the others its level. The level in force is the mean of all recent ones, weighted by the requests that they
// rest on, so that all entries admit alike and one that sees little follows the others. An entry
// that hears nobody uses its own.
package mtlevel

import (
	"math/rand/v2"
	"slices"
	"time"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
)

const (
	// window is the time over which queueing times are compared with the objectives. It is half of
	// the shortest objective in use, so that the level moves several times while a queue builds up.
	window = 250 * time.Millisecond
	// queueShare is the share of its objective that a request may queue on average. The rest is
	// needed for the prompt itself.
	queueShare = 0.5
	// decrease is the part of the admitted requests by which the level falls in an overloaded
	// window: to an eighth in two seconds. increase is the part of the whole scale by which it rises
	// in each other window: in five seconds from end to end, as callers that were refused return
	// meanwhile.
	decrease = 0.25
	increase = 0.05
	// priorSamples is the weight, in responses, of the assumption that a window is not overloaded.
	// In a large fleet an entry sees one request in a window or none, and the mean over the entries
	// evens single ones out.
	priorSamples = 0.25
	// minWeight is the weight, in responses, of a level that rests on none.
	minWeight = 0.25
	// minAdmitted is the share of a rank's requests, and of an account's, that is admitted at any
	// level, so that none is starved.
	minAdmitted = 0.3
	// freeShare is the share of free places from which nothing is refused: the queues are then
	// elsewhere.
	freeShare = 0.5
	// maxIdleWindows bounds the rise after a time without requests.
	maxIdleWindows = 20
	// reportTTL is how long another entry's level counts.
	reportTTL = time.Second
	// maxReports bounds the levels that are kept; a sample of a large fleet suffices for a mean.
	maxReports = 64
	// shareWindow is the time over which accounts' shares are counted.
	shareWindow = 2 * time.Second
	// maxAccounts bounds the accounts that are counted in a window. The others count as one.
	maxAccounts = 4096
)

// Level is one entry's admission level of one service. It is not safe for concurrent use.
type Level struct {
	// ranks are the service's ranks, the most urgent first.
	ranks []int32
	level float64
	// began is when the current window began; waits and count sum up its queueing times as shares of
	// the objectives, by rank.
	began   time.Time
	waits   []float64
	count   []int
	samples int
	// measuredAt is when the level was measured last, measured how many responses it rests on.
	measuredAt time.Time
	measured   int
	reports    map[string]report
	accounts   accounts
}

// report is another entry's level.
type report struct {
	level   float64
	samples int
	at      time.Time
}

// New returns a level at which all requests of a service with some ranks are admitted.
func New(ranks []int32) *Level {
	ranks = slices.Compact(slices.Sorted(slices.Values(ranks)))
	return &Level{
		ranks: ranks, level: float64(len(ranks) - 1), began: time.Now(),
		waits: make([]float64, len(ranks)), count: make([]int, len(ranks)), reports: map[string]report{},
		accounts: newAccounts(),
	}
}

// Serves reports whether the level is one of these ranks.
func (l *Level) Serves(ranks []int32) bool {
	return slices.Equal(l.ranks, slices.Compact(slices.Sorted(slices.Values(ranks))))
}

// top is the level at which all ranks are admitted.
func (l *Level) top() float64 { return float64(len(l.ranks) - 1) }

// index is the position of a rank among the service's: of one that no route has, that of the next
// less urgent one.
func (l *Level) index(rank int32) int {
	i, _ := slices.BinarySearch(l.ranks, rank)
	return min(i, len(l.ranks)-1)
}

// Observe records a queueing time, and the objective of its route: that of a response, or the one
// that the best target's queue means for a request, which shows a queue before its responses come.
func (l *Level) Observe(rank int32, queued, objective time.Duration) {
	l.advance()
	if objective <= 0 {
		return
	}
	i := l.index(rank)
	l.waits[i] += max(0, queued.Seconds()/objective.Seconds())
	l.count[i]++
	l.samples++
}

// advance ends the windows that are over.
func (l *Level) advance() {
	now := time.Now()
	if now.Sub(l.began) < window {
		return
	}
	var fall float64
	for i, count := range l.count {
		if count > 0 && l.waits[i]/float64(count) > queueShare {
			fall = max(fall, decrease*float64(count)/(float64(count)+priorSamples))
		}
	}
	current := l.current()
	windows := min(maxIdleWindows, now.Sub(l.began).Seconds()/window.Seconds())
	switch {
	case fall > 0:
		// The window may have ended long ago, without a request since.
		l.level = min(l.top(), current*(1-fall)+increase*l.top()*(windows-1))
	case l.samples > 0 || len(l.reports) == 0:
		l.level = min(l.top(), current+increase*l.top()*windows)
	default:
		l.level = current
	}
	l.measuredAt, l.measured = now, l.samples
	clear(l.waits)
	clear(l.count)
	l.samples, l.began = 0, now
}

// current returns the level in force.
func (l *Level) current() float64 {
	sum, weight := 0.0, 0.0
	add := func(level float64, samples int) {
		w := max(minWeight, float64(samples))
		sum += level * w
		weight += w
	}
	add(l.level, l.measured)
	for from, r := range l.reports {
		if time.Since(r.at) > reportTTL {
			delete(l.reports, from)
			continue
		}
		add(r.level, r.samples)
	}
	return sum / weight
}

// Value returns the level in force: from 0, at which only the most urgent rank is admitted in full,
// to the number of the other ranks, at which all are.
func (l *Level) Value() float64 {
	l.advance()
	return l.current()
}

// Admit reports whether a request of an account is admitted. free returns the share of the service's
// places that is free; it is called only if the level would refuse requests of the rank.
func (l *Level) Admit(rank int32, account string, free func() float64) bool {
	l.advance()
	i := l.index(rank)
	l.accounts.count(i, account)
	admitted := l.current() - float64(i-1)
	if i == 0 || admitted >= 1 || free() >= freeShare {
		return true
	}
	below, width := l.accounts.position(i, account)
	return below+width*rand.Float64() < admitted || rand.Float64() < minAdmitted
}

// AdmitPromised reports whether a request is admitted that Admit has refused, if it was refused
// before and returns when it was told to. It goes before those of its rank that come for the first
// time, in their place: admitted on top of them, such requests would keep the service overloaded.
func (l *Level) AdmitPromised(rank int32, account string) bool {
	i := l.index(rank)
	l.accounts.promise(i, account)
	return l.accounts.positionPromised(i)*rand.Float64() < l.current()-float64(i-1)
}

// Hear takes in another entry's level.
func (l *Level) Hear(from string, message *fleetv1.Level) {
	level := message.GetLevel()
	at := time.Now().Add(-time.Duration(message.GetAge()) * time.Millisecond)
	if !(level >= 0 && level <= l.top()) || time.Since(at) > reportTTL {
		return
	}
	if _, known := l.reports[from]; !known && len(l.reports) >= maxReports {
		return
	}
	l.reports[from] = report{level: level, samples: int(min(message.GetSamples(), maxSamples)), at: at}
}

// maxSamples bounds the weight of one report.
const maxSamples = 1000

// Message returns the entry's own level for the others, nil if it was not measured recently or
// admits all.
func (l *Level) Message(service string) *fleetv1.Level {
	l.advance()
	age := time.Since(l.measuredAt)
	if l.measuredAt.IsZero() || age > reportTTL || l.level >= l.top() && l.current() >= l.top() {
		return nil
	}
	return &fleetv1.Level{Service: service, Level: l.level, Samples: uint32(l.measured), Age: uint32(age.Milliseconds())}
}

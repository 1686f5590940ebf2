// Package mtlimit tracks the limits that targets name: the requests per second that each target
// accepts from all entries together.
//
// A limit stays in force until an answer without a limit arrives for a request that was sent
// after the limit was received, or until another process starts under the target's id. Entries
// gossip the limits they know with their age; the newest statement wins.
package mtlimit

import (
	"maps"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
)

const (
	// maxTargets bounds the number of tracked targets.
	maxTargets = 8192
	// gossipTTL is how long after a target's statement it is sent to other entries.
	gossipTTL = 20 * time.Second
	// endedRetention is how long an ended limit is remembered, because other entries may still
	// send it.
	endedRetention = time.Minute
	// recentChangeTime is how long a change takes precedence in gossip.
	recentChangeTime = time.Second
	// mergeMargin is by how much another entry's statement must be newer to replace the known
	// one. Otherwise the transit time of gossip would make the same statement look newer.
	mergeMargin = 100 * time.Millisecond
	// endSpread is the time over which entries that learn of a limit's end from others resume
	// sending to the target.
	endSpread = time.Second
	// minNewsChange is the smallest relative change of a limit that counts as news.
	minNewsChange = 0.25
)

// Limits holds the limits known to one process. It is safe for concurrent use.
type Limits struct {
	count   atomic.Int64
	mu      sync.RWMutex
	targets map[string]*limit
}

// limit is the latest statement of a target.
type limit struct {
	// born is the start time of the target's process in Unix milliseconds, 0 if unknown.
	born int64
	rate float64
	// active is set while the target names the rate. After that, the rate stays in force until
	// endsAt.
	active bool
	endsAt time.Time
	// statedAt is when the target made the statement, changedAt when it last was news and
	// announcedRate the rate at that time.
	statedAt      time.Time
	changedAt     time.Time
	announcedRate float64
}

// New returns an empty set of limits.
func New() *Limits { return &Limits{targets: map[string]*limit{}} }

// RecordAnswer records an answer of a target to a request that was sent at the given time. born is the
// start time of the target's process, 0 if unknown. It reports whether the answer is news.
func (l *Limits) RecordAnswer(target string, born int64, answer *fleetv1.Answer, sent time.Time) bool {
	if answer.Limit == nil && l.count.Load() == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now, known := time.Now(), l.targets[target]
	switch {
	case answer.Limit != nil:
		rate := answer.GetLimit()
		if known != nil && known.active && sent.Before(known.statedAt) {
			// It is unknown which of the two answers is newer, so the lower limit wins.
			rate = min(rate, known.rate)
		}
		return l.set(target, born, rate, now)
	case answer.GetLimited() || !answer.GetSealed() || known == nil || !known.active || !sent.After(known.statedAt):
		return false
	default:
		known.end(sent, now)
		return true
	}
}

// set records the rate that a target named and reports whether it is news.
func (l *Limits) set(target string, born int64, rate float64, statedAt time.Time) bool {
	known := l.targets[target]
	if known == nil {
		l.evictOldest()
		known = &limit{}
		l.targets[target] = known
		l.count.Store(int64(len(l.targets)))
	}
	news := !known.active || math.Abs(rate-known.announcedRate) > minNewsChange*known.announcedRate
	known.born = max(known.born, born)
	known.rate, known.active, known.statedAt = rate, true, statedAt
	if news {
		known.changedAt, known.announcedRate = time.Now(), rate
	}
	return news
}

// end records that the target named no limit at statedAt. The limit stays in force until
// endsAt.
func (k *limit) end(statedAt, endsAt time.Time) {
	k.active, k.statedAt, k.endsAt, k.changedAt = false, statedAt, endsAt, time.Now()
}

// inForce reports whether the limit is in force.
func (k *limit) inForce(now time.Time) bool { return k.active || now.Before(k.endsAt) }

// evictOldest drops the limit with the oldest statement if the bound is reached.
func (l *Limits) evictOldest() {
	if len(l.targets) < maxTargets {
		return
	}
	oldest := ""
	for target, known := range l.targets {
		if oldest == "" || known.statedAt.Before(l.targets[oldest].statedAt) {
			oldest = target
		}
	}
	delete(l.targets, oldest)
}

// Expire drops limits that ended so long ago that no entry sends them any more.
func (l *Limits) Expire() {
	if l.count.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(l.targets, func(_ string, known *limit) bool {
		return !known.inForce(now) && now.Sub(known.statedAt) > endedRetention
	})
	l.count.Store(int64(len(l.targets)))
}

// Merge takes over newer limits from another entry. It returns those that were news.
func (l *Limits) Merge(limits []*fleetv1.Limit) []*fleetv1.Limit {
	if len(limits) == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var news []*fleetv1.Limit
	for _, update := range limits {
		if l.mergeOne(update) {
			news = append(news, update)
		}
	}
	return news
}

func (l *Limits) mergeOne(update *fleetv1.Limit) bool {
	now := time.Now()
	statedAt := now.Add(-max(0, update.GetAge().AsDuration()))
	known := l.targets[update.GetTarget()]
	switch {
	case now.Sub(statedAt) > endedRetention || update.Rate != nil && !(update.GetRate() >= 0 && update.GetRate() <= math.MaxFloat64):
		return false
	case known == nil:
		return update.Rate != nil && l.set(update.GetTarget(), update.GetBorn(), update.GetRate(), statedAt)
	case update.GetBorn() > 0 && update.GetBorn() < known.born || statedAt.Sub(known.statedAt) <= mergeMargin:
		return false
	case update.Rate != nil:
		return l.set(update.GetTarget(), update.GetBorn(), update.GetRate(), statedAt)
	case known.active:
		known.end(statedAt, now.Add(rand.N(endSpread)))
		return true
	default:
		known.statedAt = statedAt
		return false
	}
}

// SetStartTime records the start time of a target's process, 0 if unknown. If it is later than the
// known one, another process has started that has named no limit, so the limit ends.
func (l *Limits) SetStartTime(target string, born int64) {
	if born == 0 || l.count.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.targets[target]
	switch {
	case known == nil || born <= known.born:
	case known.born == 0:
		known.born = born
	default:
		known.born = born
		now := time.Now()
		known.end(now, now)
	}
}

// Rate returns a target's limit in requests per second and whether one is in force.
func (l *Limits) Rate(target string) (float64, bool) {
	if l.count.Load() == 0 {
		return 0, false
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	known := l.targets[target]
	if known == nil || !known.inForce(time.Now()) {
		return 0, false
	}
	return known.rate, true
}

// Count returns the number of targets with a limit in force.
func (l *Limits) Count() int {
	if l.count.Load() == 0 {
		return 0
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	now, count := time.Now(), 0
	for _, known := range l.targets {
		if known.inForce(now) {
			count++
		}
	}
	return count
}

// Of returns the known limit of a target, nil if there is none. It is also returned after its
// end, without a rate, until it expires.
func (l *Limits) Of(target string) *fleetv1.Limit {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if known := l.targets[target]; known != nil {
		return known.toProto(target)
	}
	return nil
}

// Recent returns at most count limits to gossip: recent changes first, then some of the others.
func (l *Limits) Recent(count int) []*fleetv1.Limit {
	if l.count.Load() == 0 {
		return nil
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	var recent, older []*fleetv1.Limit
	for target, known := range l.targets {
		switch {
		case time.Since(known.statedAt) > gossipTTL:
		case time.Since(known.changedAt) < recentChangeTime:
			recent = append(recent, known.toProto(target))
		case len(older) < count:
			older = append(older, known.toProto(target))
		}
	}
	recent = append(recent, older...)
	return recent[:min(count, len(recent))]
}

func (k *limit) toProto(target string) *fleetv1.Limit {
	message := &fleetv1.Limit{Target: target, Born: k.born, Age: durationpb.New(time.Since(k.statedAt))}
	if k.active {
		message.Rate = proto.Float64(k.rate)
	}
	return message
}

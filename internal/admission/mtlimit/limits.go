// Package mtlimit tracks the limits that targets name: the requests a second that each takes
// from all entries together.
//
// A limit holds until an answer to a request that was sent after it was heard names none, or
// until another program is started under the target's id. Entries tell each other what they
// have heard and how long ago; the newest word holds.
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
	// most bounds the number of targets that are tracked.
	most = 8192
	// toldTime is how long others are told of what a target has said.
	toldTime = 20 * time.Second
	// liftedTime is how long a limit that no longer holds is remembered: others may still
	// tell of it.
	liftedTime = time.Minute
	// newsTime is how long something counts as new when others are told.
	newsTime = time.Second
	// mergeMargin is by how much another entry's word must be newer to replace what is
	// known: the transit of what both tell each other must not make it look newer.
	mergeMargin = 100 * time.Millisecond
	// liftSpread is the time over which entries that are told of a limit's end go back to
	// the target.
	liftSpread = time.Second
	// newsPart is the least part by which a changed limit is news.
	newsPart = 0.25
)

// Limits are the ones known to one process. It is safe for concurrent use.
type Limits struct {
	count   atomic.Int64
	mu      sync.RWMutex
	targets map[string]*limit
}

// limit is what a target has said last.
type limit struct {
	// born is the start of the target's program in Unix milliseconds, 0 where not known.
	born int64
	rate float64
	// named says that the target names the rate; where it does not any more, the rate holds
	// until a time.
	named bool
	until time.Time
	// said is when the target said so; changed when that was news, reported the rate then.
	said     time.Time
	changed  time.Time
	reported float64
}

// New returns a list of none.
func New() *Limits { return &Limits{targets: map[string]*limit{}} }

// Hear takes in what an answer of a target says, whose program was started at born, 0 for
// unknown, to a request that was sent at a time. It reports whether that is news.
func (l *Limits) Hear(target string, born int64, answer *fleetv1.Answer, sent time.Time) bool {
	if answer.Limit == nil && l.count.Load() == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now, known := time.Now(), l.targets[target]
	switch {
	case answer.Limit != nil:
		rate := answer.GetLimit()
		if known != nil && known.named && sent.Before(known.said) {
			// Which of the two answers is the newer one is not known.
			rate = min(rate, known.rate)
		}
		return l.name(target, born, rate, now)
	case answer.GetLimited() || !answer.GetSealed() || known == nil || !known.named || !sent.After(known.said):
		return false
	default:
		known.lift(sent, now)
		return true
	}
}

// name notes that a target has named a rate; it reports whether that is news.
func (l *Limits) name(target string, born int64, rate float64, said time.Time) bool {
	known := l.targets[target]
	if known == nil {
		l.makeRoom()
		known = &limit{}
		l.targets[target] = known
		l.count.Store(int64(len(l.targets)))
	}
	news := !known.named || math.Abs(rate-known.reported) > newsPart*known.reported
	known.born = max(known.born, born)
	known.rate, known.named, known.said = rate, true, said
	if news {
		known.changed, known.reported = time.Now(), rate
	}
	return news
}

// lift notes that a target named no limit at a time; the limit holds on until another.
func (k *limit) lift(said, until time.Time) {
	k.named, k.said, k.until, k.changed = false, said, until, time.Now()
}

// holds says that the limit is in force.
func (k *limit) holds(now time.Time) bool { return k.named || now.Before(k.until) }

// makeRoom drops the oldest word where there are too many.
func (l *Limits) makeRoom() {
	if len(l.targets) < most {
		return
	}
	oldest := ""
	for target, known := range l.targets {
		if oldest == "" || known.said.Before(l.targets[oldest].said) {
			oldest = target
		}
	}
	delete(l.targets, oldest)
}

// Expire drops limits that ended so long ago that nobody tells of them any more.
func (l *Limits) Expire() {
	if l.count.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(l.targets, func(_ string, known *limit) bool {
		return !known.holds(now) && now.Sub(known.said) > liftedTime
	})
	l.count.Store(int64(len(l.targets)))
}

// Merge takes in what another entry has heard. It returns what was news.
func (l *Limits) Merge(limits []*fleetv1.Limit) []*fleetv1.Limit {
	if len(limits) == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var news []*fleetv1.Limit
	for _, told := range limits {
		if l.merge(told) {
			news = append(news, told)
		}
	}
	return news
}

func (l *Limits) merge(told *fleetv1.Limit) bool {
	now := time.Now()
	said := now.Add(-max(0, told.GetAge().AsDuration()))
	known := l.targets[told.GetTarget()]
	switch {
	case now.Sub(said) > liftedTime || told.Rate != nil && !(told.GetRate() >= 0 && told.GetRate() <= math.MaxFloat64):
		return false
	case known == nil:
		return told.Rate != nil && l.name(told.GetTarget(), told.GetBorn(), told.GetRate(), said)
	case told.GetBorn() > 0 && told.GetBorn() < known.born || said.Sub(known.said) <= mergeMargin:
		return false
	case told.Rate != nil:
		return l.name(told.GetTarget(), told.GetBorn(), told.GetRate(), said)
	case known.named:
		known.lift(said, now.Add(rand.N(liftSpread)))
		return true
	default:
		known.said = said
		return false
	}
}

// Started takes in when a target's program was started, 0 for unknown. A later start than
// that of the program that named a limit is another program's, which has named none.
func (l *Limits) Started(target string, born int64) {
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
		known.lift(now, now)
	}
}

// Rate is a target's limit in requests a second; false for none.
func (l *Limits) Rate(target string) (float64, bool) {
	if l.count.Load() == 0 {
		return 0, false
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	known := l.targets[target]
	if known == nil || !known.holds(time.Now()) {
		return 0, false
	}
	return known.rate, true
}

// Count is the number of targets whose limits hold.
func (l *Limits) Count() int {
	if l.count.Load() == 0 {
		return 0
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	now, count := time.Now(), 0
	for _, known := range l.targets {
		if known.holds(now) {
			count++
		}
	}
	return count
}

// Of lists what is known of a target; nil for nothing.
func (l *Limits) Of(target string) *fleetv1.Limit {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if known := l.targets[target]; known != nil {
		return known.told(target)
	}
	return nil
}

// Recent lists at most so many to be told to others: what is new, then some of the others.
func (l *Limits) Recent(count int) []*fleetv1.Limit {
	if l.count.Load() == 0 {
		return nil
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	var list, rest []*fleetv1.Limit
	for target, known := range l.targets {
		switch {
		case time.Since(known.said) > toldTime:
		case time.Since(known.changed) < newsTime:
			list = append(list, known.told(target))
		case len(rest) < count:
			rest = append(rest, known.told(target))
		}
	}
	list = append(list, rest...)
	return list[:min(count, len(list))]
}

func (k *limit) told(target string) *fleetv1.Limit {
	told := &fleetv1.Limit{Target: target, Born: k.born, Age: durationpb.New(time.Since(k.said))}
	if k.named {
		told.Rate = proto.Float64(k.rate)
	}
	return told
}

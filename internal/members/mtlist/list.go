// Package mtlist keeps the platform's list of live and leaving instances.
package mtlist

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/xxh3"
	"google.golang.org/protobuf/proto"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/observe/mtevent"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
)

// List is the last known list. It lags behind the instances, and while the
// platform is down it stays as it was: an instance is never taken off because
// the list can't be read. Requests read it without a lock.
type List struct {
	log  *mtevent.Log
	held atomic.Pointer[held]

	mu      sync.Mutex
	changed chan struct{}
	steps   []step
}

// held is one state of the list. It is immutable.
type held struct {
	byName map[string]*mustardtidev1.Member
	sorted []*mustardtidev1.Member
	hash   uint64
	known  bool
	at     time.Time
}

// New returns an empty list.
func New(log *mtevent.Log) *List {
	l := &List{log: log, changed: make(chan struct{})}
	l.held.Store(build(map[string]*mustardtidev1.Member{}))
	return l
}

// All returns the members in the order of their names. The slice is the
// caller's own: callers filter it in place. The members must not be changed.
func (l *List) All() []*mustardtidev1.Member { return slices.Clone(l.held.Load().sorted) }

// Find returns the member of a name, or nil.
func (l *List) Find(name string) *mustardtidev1.Member { return l.held.Load().byName[name] }

// Hash is the same for the same members.
func (l *List) Hash() uint64 { return l.held.Load().hash }

// Known says whether the platform's list was read, here or by a peer.
func (l *List) Known() bool { return l.held.Load().known }

// Age is the time since the platform confirmed the members, here or to the
// peer that they came from; zero where it never did.
func (l *List) Age() time.Duration {
	now := l.held.Load()
	if !now.known {
		return 0
	}
	return time.Since(now.at)
}

// Changed closes at the next change of the list.
func (l *List) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// Take takes a peer's list that the platform confirmed age ago, if that is
// later than this list's own confirmation: what a peer knew before can't bring
// back an instance that is gone. Ages are compared, never two clocks.
func (l *List) Take(members []*mustardtidev1.Member, age time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := time.Now().Add(-age)
	before := l.held.Load()
	if before.known && !at.After(before.at) {
		return
	}
	l.publish(byName(members), at)
}

// replace takes the platform's whole list.
func (l *List) replace(members []*mustardtidev1.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.publish(byName(members), time.Now())
}

// change takes one slice of the platform's list; an empty one is deleted.
func (l *List) change(name string, members []*mustardtidev1.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := maps.Clone(l.held.Load().byName)
	if len(members) == 0 {
		maps.DeleteFunc(next, func(_ string, m *mustardtidev1.Member) bool {
			return strings.EqualFold(m.GetName(), name)
		})
	}
	for _, m := range members {
		next[m.GetName()] = m
	}
	l.publish(next, time.Now())
}

// confirm notes that the members were the platform's at a time. The lock is
// held.
func (l *List) confirm(before *held, at time.Time) {
	next := *before
	next.known = true
	next.at = at
	l.held.Store(&next)
}

// publish puts members in force. The lock is held.
func (l *List) publish(members map[string]*mustardtidev1.Member, at time.Time) {
	l.report(l.held.Load().byName, members)
	next := build(members)
	l.step(l.held.Load(), next)
	next.known = true
	next.at = at
	l.held.Store(next)
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *List) report(before, after map[string]*mustardtidev1.Member) {
	for name, m := range after {
		old, known := before[name]
		switch {
		case !known:
			l.log.Add(mtkind.MemberSeen, &mustardtidev1.Event{Target: name})
		case m.GetLeaving() && !old.GetLeaving():
			l.log.Add(mtkind.MemberLeaving, &mustardtidev1.Event{Target: name})
		}
	}
	for name := range before {
		if _, known := after[name]; !known {
			l.log.Add(mtkind.MemberGone, &mustardtidev1.Event{Target: name})
		}
	}
}

func byName(members []*mustardtidev1.Member) map[string]*mustardtidev1.Member {
	index := make(map[string]*mustardtidev1.Member, len(members))
	for _, m := range members {
		index[m.GetName()] = m
	}
	return index
}

func build(members map[string]*mustardtidev1.Member) *held {
	sorted := slices.SortedFunc(maps.Values(members), func(a, b *mustardtidev1.Member) int {
		return strings.Compare(a.GetName(), b.GetName())
	})
	h := xxh3.New()
	options := proto.MarshalOptions{Deterministic: true}
	for _, m := range sorted {
		// A member is a flat message; marshalling it can't fail.
		data, _ := options.Marshal(m)
		_, _ = h.Write(data)
	}
	return &held{byName: members, sorted: sorted, hash: h.Sum64()}
}

// Package mtlist keeps the platform's list of live and leaving instances.
package mtlist

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/observe/mtevent"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	"github.com/mustardtide/mustardtide/internal/outside/mtplatform"
)

// pollEvery is the mean time between two tries at a platform that is down.
const pollEvery = 5 * time.Second

// List is the last known list. It lags behind the instances, and while the
// platform is down it stays as it was: an instance is never taken off because
// the list can't be read. Requests read it without a lock.
type List struct {
	log     *mtevent.Log
	members atomic.Pointer[map[string]*mustardtidev1.Member]
	mu      sync.Mutex
	changed chan struct{}
}

// New returns an empty list.
func New(log *mtevent.Log) *List {
	l := &List{log: log, changed: make(chan struct{})}
	l.members.Store(&map[string]*mustardtidev1.Member{})
	return l
}

// All returns the members in the order of their names.
func (l *List) All() []*mustardtidev1.Member {
	members := slices.Collect(maps.Values(*l.members.Load()))
	slices.SortFunc(members, func(a, b *mustardtidev1.Member) int {
		return strings.Compare(a.GetName(), b.GetName())
	})
	return members
}

// Find returns the member of a name, or nil.
func (l *List) Find(name string) *mustardtidev1.Member { return (*l.members.Load())[name] }

// Changed closes at the next change of the list.
func (l *List) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// Seed fills an empty list with what a peer knew, so that a process which
// starts while the platform is down finds its targets.
func (l *List) Seed(members []*mustardtidev1.Member) {
	if len(*l.members.Load()) > 0 {
		return
	}
	l.replace(members)
}

// Follow watches the platform's list until ctx ends and closes the channel it
// returns at the end.
func (l *List) Follow(ctx context.Context, client *mtplatform.Client) <-chan error {
	done := make(chan error, 1)
	go func() {
		defer close(done)
		l.follow(ctx, client)
	}()
	return done
}

func (l *List) follow(ctx context.Context, client *mtplatform.Client) {
	for {
		err := l.watch(ctx, client)
		if ctx.Err() != nil {
			return
		}
		l.log.Add(mtkind.WatchLost, &mustardtidev1.Event{Text: err.Error()})
		select {
		case <-ctx.Done():
			return
		case <-time.After(pollEvery/2 + rand.N(pollEvery)):
		}
	}
}

func (l *List) watch(ctx context.Context, client *mtplatform.Client) error {
	members, version, err := client.Instances(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	l.replace(members)
	return client.WatchInstances(ctx, version, l.change)
}

func (l *List) replace(members []*mustardtidev1.Member) {
	next := map[string]*mustardtidev1.Member{}
	for _, m := range members {
		next[m.GetName()] = m
	}
	l.publish(next)
}

// change takes in one slice of the platform's list; an empty one is deleted.
func (l *List) change(name string, members []*mustardtidev1.Member) {
	next := maps.Clone(*l.members.Load())
	if len(members) == 0 {
		maps.DeleteFunc(next, func(_ string, m *mustardtidev1.Member) bool {
			return strings.EqualFold(m.GetName(), name)
		})
	}
	for _, m := range members {
		next[m.GetName()] = m
	}
	l.publish(next)
}

func (l *List) publish(next map[string]*mustardtidev1.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report(*l.members.Load(), next)
	l.members.Store(&next)
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

// Package mtevidence joins the platform's list of instances, which lags, with
// what this process has seen of each target itself.
package mtevidence

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/members/mtlist"
)

// Times after which direct evidence lapses, so that a target which came back
// is used again although nobody said so. A target that is still gone costs one
// refused try each time, which is repeated elsewhere.
const (
	// leavingFor is about a restart of a sidecar. Each reply of one that still
	// drains renews it.
	leavingFor = 4 * time.Second
	// refusedFor is a process's restart: a refused dial costs a round trip, so a
	// short time suffices.
	refusedFor = 2 * time.Second
	// silentFor is longer: finding silence costs seconds.
	silentFor = 10 * time.Second
)

// fact is what this process knows of one target at first hand.
type fact struct {
	address string
	leaving bool
	until   time.Time
}

// Evidence tells which targets are usable. Requests read it without a lock.
type Evidence struct {
	list *mtlist.List
	view atomic.Pointer[view]
	// boots are apart from the view: a fleet of new sidecars changes thousands
	// of them, and none of the lists.
	boots sync.Map

	mu    sync.Mutex
	facts map[string]fact
	kick  chan struct{}
}

// New returns evidence over a list.
func New(list *mtlist.List) *Evidence {
	e := &Evidence{list: list, facts: map[string]fact{}, kick: make(chan struct{}, 1)}
	e.view.Store(newView(nil, e.facts, time.Now()))
	return e
}

// Usable returns a service's targets that take work as far as is known, in
// the order of their names. Where direct evidence speaks against all of them,
// it returns all that the list has: one may be back, and one that is leaving
// refuses by itself. The caller must not change the slice.
func (e *Evidence) Usable(service string) []*mustardtidev1.Member {
	return e.view.Load().usable[service]
}

// Boot is the boot of a target's sidecar as last heard, or empty.
func (e *Evidence) Boot(target string) string {
	boot, _ := e.boots.Load(target)
	known, _ := boot.(string)
	return known
}

// Heard takes in a sidecar's own word about its target.
func (e *Evidence) Heard(address string, state *mustardtidev1.State) {
	if state == nil {
		return
	}
	if e.Boot(state.GetTarget()) != state.GetBoot() {
		e.boots.Store(state.GetTarget(), state.GetBoot())
	}
	if !state.GetLeaving() && !e.view.Load().leaving[state.GetTarget()] {
		return
	}
	next := fact{address: address, leaving: state.GetLeaving()}
	if next.leaving {
		next.until = time.Now().Add(leavingFor)
	}
	e.learn(state.GetTarget(), next)
}

// Refused takes in that nobody listens at a target's address.
func (e *Evidence) Refused(target, address string) { e.shun(target, address, refusedFor) }

// Silent takes in that a target's sidecar gave no sign of life.
func (e *Evidence) Silent(target, address string) { e.shun(target, address, silentFor) }

// Follow rebuilds the view at each change of the list and each lapse until
// ctx ends, and closes the channel it returns at the end.
func (e *Evidence) Follow(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		defer close(done)
		for e.wait(ctx) {
			continue
		}
	}()
	return done
}

func (e *Evidence) wait(ctx context.Context) bool {
	changed := e.list.Changed()
	lapse := e.rebuild()
	timer := time.NewTimer(lapse)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-timer.C:
	case <-e.kick:
	}
	return true
}

func (e *Evidence) shun(target, address string, d time.Duration) {
	e.learn(target, fact{address: address, until: time.Now().Add(d)})
}

// learn replaces a fact; the view has it when learn returns.
func (e *Evidence) learn(target string, next fact) {
	e.mu.Lock()
	e.facts[target] = next
	e.mu.Unlock()
	e.rebuild()
	select {
	case e.kick <- struct{}{}:
	default:
	}
}

// rebuild publishes a new view and returns the time to the next lapse.
func (e *Evidence) rebuild() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	members := e.list.All()
	e.forget(members)
	next := newView(members, e.facts, now)
	e.view.Store(next)
	return next.lapse
}

// forget drops what is known of targets that are off the list. The lock is held.
func (e *Evidence) forget(members []*mustardtidev1.Member) {
	listed := make(map[string]bool, len(members))
	for _, m := range members {
		listed[m.GetName()] = true
	}
	for name := range e.facts {
		if !listed[name] {
			delete(e.facts, name)
		}
	}
	e.boots.Range(func(name, _ any) bool {
		if !listed[name.(string)] {
			e.boots.Delete(name)
		}
		return true
	})
}

// Package mtroster keeps which targets there are, from the entries that they
// keep in the platform's store.
package mtroster

import (
	"iter"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/xxh3"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
)

// backTime is how long a target whose entry vanished with an outage of the
// store is kept after the store's return: living targets have written
// themselves down again within two seconds, and a tenth is for the watch.
const backTime = 2200 * time.Millisecond

// Roster is the list of targets. Readers take an immutable view; one follower
// writes.
type Roster struct {
	view atomic.Pointer[View]

	mu      sync.Mutex
	targets map[string]*fleetv1.Target
	// missing are targets whose entry is gone since an outage, and until when
	// they are kept.
	missing map[string]time.Time
	// doubtful ends when entries that are gone count as gone at once.
	doubtful time.Time
	away     bool
	// complete is the store's revision up to which the list is complete.
	complete int64
	// settled is the view's: it stands still while some are missing.
	settled int64
	// gone are the targets that were dropped last, in the order of their dropping.
	gone []drop
	// known is the revision after which every drop is among them.
	known int64
}

// drop is a target that was dropped, and the revision up to which the list was
// complete then.
type drop struct {
	id       string
	revision int64
}

// keptDrops bounds the drops that are remembered: a release replaces every target
// of a service within a minute, and entries ask each other within seconds.
const keptDrops = 1024

// View is the list at one moment.
type View struct {
	targets  map[string]*fleetv1.Target
	services map[string][]*fleetv1.Target
	// newest are the targets listed last, by their addresses.
	newest   map[string]*fleetv1.Target
	number   uint64
	complete int64
	settled  int64
	sum      uint64
	gone     []drop
	known    int64
}

// New returns an empty roster.
func New() *Roster {
	r := &Roster{targets: map[string]*fleetv1.Target{}, missing: map[string]time.Time{}}
	r.view.Store(&View{})
	return r
}

// View returns the list of the moment.
func (r *Roster) View() *View { return r.view.Load() }

// Target returns a target by its id, or nil.
func (v *View) Target(id string) *fleetv1.Target { return v.targets[id] }

// Service lists a service's targets in the order of their ids, leaving ones too.
func (v *View) Service(name string) []*fleetv1.Target { return v.services[name] }

// Replaced says that another target was listed at the target's address after it:
// a program that has started anew stands beside its former self until that
// one's entry lapses.
func (v *View) Replaced(target *fleetv1.Target) bool {
	return v.newest[target.GetAddress()].GetId() != target.GetId()
}

// Listed says that some target stands at an address.
func (v *View) Listed(address string) bool { return v.newest[address] != nil }

// All lists every target.
func (v *View) All() map[string]*fleetv1.Target { return v.targets }

// Number grows with each change of the list.
func (v *View) Number() uint64 { return v.number }

// Complete is the store's revision up to which the list is complete.
func (v *View) Complete() int64 { return v.complete }

// Settled is the revision up to which others may take the list for complete: while targets
// whose entries are gone are kept, the one before that. Others would never hear of their end.
func (v *View) Settled() int64 { return v.settled }

// Since lists what changed after a revision up to which another list is complete:
// the targets that are new or differ, and the ids of those that were dropped. It
// reports false where it does not remember as far back.
func (v *View) Since(revision int64) (changed []*fleetv1.Target, gone []string, ok bool) {
	if revision < v.known {
		return nil, nil, false
	}
	for _, target := range v.targets {
		if target.GetRevision() > revision {
			changed = append(changed, target)
		}
	}
	for _, d := range v.gone {
		if d.revision > revision && v.targets[d.id] == nil {
			gone = append(gone, d.id)
		}
	}
	return changed, gone, true
}

// Sum is a checksum of the list, by which entries compare theirs.
func (v *View) Sum() uint64 { return v.sum }

// Replace takes in a complete list at a revision. It returns the ids that it
// dropped. A list that is older than what is known changes nothing.
func (r *Roster) Replace(list map[string]*fleetv1.Target, revision int64) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision < r.complete {
		return nil
	}
	// What was dropped before another's list is not known.
	r.complete, r.known, r.gone = revision, revision, nil
	var dropped []string
	for id := range r.targets {
		if _, ok := list[id]; !ok && r.remove(id) {
			dropped = append(dropped, id)
		}
	}
	for id, target := range list {
		r.put(id, target)
	}
	r.publish()
	return dropped
}

// Begin takes in a part of the first list. Once a complete list is known it changes
// nothing and reports false: the part may be older.
func (r *Roster) Begin(part []*fleetv1.Target) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.complete > 0 {
		return false
	}
	for _, target := range part {
		r.put(target.GetId(), target)
	}
	r.publish()
	return true
}

// Change takes in entries' new values in their order, nil for one that is gone,
// up to a revision. It tells of each target that vanished whether it is dropped
// at once. A rollout changes every target's entry: readers get one new view for
// all that came together.
func (r *Roster) Change(updates iter.Seq2[string, *fleetv1.Target], revision int64) map[string]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.complete = max(r.complete, revision)
	vanished := map[string]bool{}
	changed := false
	for id, target := range updates {
		changed = true
		if target != nil {
			r.put(id, target)
		} else if r.targets[id] != nil {
			vanished[id] = r.remove(id)
		}
	}
	if changed {
		r.publish()
	} else if view := *r.view.Load(); r.complete > view.complete {
		// The list is the same: the view's maps, which do not change, serve on.
		view.number++
		r.settle()
		view.complete, view.settled = r.complete, r.settled
		r.view.Store(&view)
	}
	return vanished
}

// Away notes that the store can't be reached: what it knew stays in force.
func (r *Roster) Away() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.away = true
}

// Back notes that the store answers. After an outage, entries that lapsed
// meanwhile are missing for up to two seconds although their targets live:
// dropping those at once would refuse every request of a healthy service.
func (r *Roster) Back() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.away {
		r.away = false
		r.doubtful = time.Now().Add(backTime)
	}
}

// Expire drops targets whose entries did not come back in time, and returns
// their ids.
func (r *Roster) Expire() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var dropped []string
	if r.away {
		return nil
	}
	for id, until := range r.missing {
		if time.Now().After(until) {
			delete(r.missing, id)
			r.drop(id)
			dropped = append(dropped, id)
		}
	}
	if len(dropped) > 0 {
		r.publish()
	}
	return dropped
}

func (r *Roster) put(id string, target *fleetv1.Target) {
	delete(r.missing, id)
	if old := r.targets[id]; old != nil && old.GetRevision() > target.GetRevision() {
		return
	}
	r.targets[id] = target
}

// remove drops a target, or only marks it where its entry may have lapsed with
// the store's outage. One that was leaving is dropped: it has gone.
func (r *Roster) remove(id string) bool {
	target := r.targets[id]
	if target == nil {
		return false
	}
	if time.Now().Before(r.doubtful) && !target.GetLeaving() {
		if _, ok := r.missing[id]; !ok {
			r.missing[id] = r.doubtful
		}
		return false
	}
	if _, ok := r.missing[id]; ok {
		return false
	}
	r.drop(id)
	return true
}

// settle moves the settled revision up to the complete one where no target is missing.
func (r *Roster) settle() {
	if len(r.missing) == 0 {
		r.settled = r.complete
	}
}

// drop forgets a target, and remembers that it did.
func (r *Roster) drop(id string) {
	delete(r.targets, id)
	r.gone = append(r.gone, drop{id, r.complete})
	if over := len(r.gone) - keptDrops; over > 0 {
		r.known = r.gone[over-1].revision
		r.gone = slices.Clone(r.gone[over:])
	}
}

func (r *Roster) publish() {
	r.settle()
	view := &View{
		targets:  maps.Clone(r.targets),
		services: map[string][]*fleetv1.Target{},
		newest:   map[string]*fleetv1.Target{},
		number:   r.view.Load().number + 1,
		complete: r.complete,
		settled:  r.settled,
		gone:     r.gone,
		known:    r.known,
	}
	for _, id := range slices.Sorted(maps.Keys(r.targets)) {
		target := r.targets[id]
		if newest := view.newest[target.GetAddress()]; newest == nil || newest.GetRevision() < target.GetRevision() {
			view.newest[target.GetAddress()] = target
		}
		view.services[target.GetService()] = append(view.services[target.GetService()], target)
		view.sum += xxh3.HashStringSeed(id, uint64(target.GetRevision()))
	}
	r.view.Store(view)
}

package mtlist

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
)

// maxSteps bounds the changes kept for peers that are a few behind: a peer
// pulls every 5 s, and at a thousand restarts a day a change comes every 28 s.
const maxSteps = 32

// step is one change of the list. The whole list of 3,120 instances is 165 KB;
// sent at each change it would take more than a node's 5 KB a second.
type step struct {
	before  uint64
	changed map[string]*mustardtidev1.Member
	gone    []string
}

// step keeps what differs between two states. The lock is held.
func (l *List) step(before, after *held) {
	if before.hash == after.hash {
		return
	}
	s := step{before: before.hash, changed: map[string]*mustardtidev1.Member{}}
	for name, m := range after.byName {
		if old := before.byName[name]; old != m && !proto.Equal(old, m) {
			s.changed[name] = m
		}
	}
	for name := range before.byName {
		if after.byName[name] == nil {
			s.gone = append(s.gone, name)
		}
	}
	l.steps = append(l.steps, s)
	if len(l.steps) > maxSteps {
		l.steps = slices.Clone(l.steps[len(l.steps)-maxSteps:])
	}
}

// Since gives what changed since the list had a hash: members that are new or
// differ, and the names of those gone. It is false where that is too long ago.
func (l *List) Since(hash uint64) ([]*mustardtidev1.Member, []string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held.Load().hash == hash {
		return nil, nil, true
	}
	from := -1
	for i, s := range l.steps {
		if s.before == hash {
			from = i
		}
	}
	if from < 0 {
		return nil, nil, false
	}
	changed, gone := map[string]*mustardtidev1.Member{}, map[string]bool{}
	for _, s := range l.steps[from:] {
		for name, m := range s.changed {
			changed[name] = m
			delete(gone, name)
		}
		for _, name := range s.gone {
			delete(changed, name)
			gone[name] = true
		}
	}
	return slices.Collect(maps.Values(changed)), slices.Sorted(maps.Keys(gone)), true
}

// Patch takes what a peer's list changed since this one had a hash, confirmed
// age ago. A list that has moved on meanwhile takes nothing.
func (l *List) Patch(hash uint64, changed []*mustardtidev1.Member, gone []string, age time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.held.Load()
	at := time.Now().Add(-age)
	if before.hash != hash || before.known && !at.After(before.at) {
		return
	}
	if len(changed)+len(gone) == 0 {
		l.confirm(before, at)
		return
	}
	next := maps.Clone(before.byName)
	for _, name := range gone {
		delete(next, name)
	}
	maps.Copy(next, byName(changed))
	l.publish(next, at)
}

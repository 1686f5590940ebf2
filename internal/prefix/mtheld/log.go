// Package mtheld tracks the contents of one engine's cache, so that entries can be sent the
// changes since their last update.
package mtheld

import (
	"container/list"
	"time"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
)

const (
	// maxParts bounds the number of parts in the log, both cached and evicted ones. An engine
	// caches some hundred, and entries receive each change within a second.
	maxParts = 4096
	// maxChangesPerState bounds the changes in one datagram: at about 50 bytes each they fit
	// beside the other fields.
	maxChangesPerState = 16
)

// Log holds each part once, ordered by its latest change. It is not safe for concurrent use.
type Log struct {
	epoch      int64
	lastNumber uint64
	// lastDropped is the number of the newest change that has been dropped.
	lastDropped uint64
	elements    map[key]*list.Element
	order       *list.List
}

type key struct{ salt, part string }

type change struct {
	number uint64
	held   *fleetv1.Held
}

// New returns an empty log. Its first epoch is the current time, so that it differs from the
// epochs before a restart of the sidecar.
func New() *Log {
	return &Log{epoch: time.Now().UnixNano(), elements: map[key]*list.Element{}, order: list.New()}
}

// Epoch identifies the current contents of the log. It changes when they become invalid.
func (l *Log) Epoch() int64 { return l.epoch }

// Clear empties the log after a restart of the engine or a loss of events.
func (l *Log) Clear() {
	l.epoch++
	l.lastNumber, l.lastDropped = 0, 0
	clear(l.elements)
	l.order.Init()
}

// Record records one change.
func (l *Log) Record(held *fleetv1.Held) {
	l.lastNumber++
	k := key{held.GetSalt(), held.GetPart()}
	if old := l.elements[k]; old != nil {
		l.order.Remove(old)
	}
	l.elements[k] = l.order.PushBack(&change{number: l.lastNumber, held: held})
	for l.order.Len() > maxParts {
		oldest := l.order.Remove(l.order.Front()).(*change)
		l.lastDropped = oldest.number
		delete(l.elements, key{oldest.held.GetSalt(), oldest.held.GetPart()})
	}
}

// Find returns the given parts that are cached under the given salts.
func (l *Log) Find(salts, parts []string) []*fleetv1.Held {
	var found []*fleetv1.Held
	for _, salt := range salts {
		for _, part := range parts {
			if e := l.elements[key{salt, part}]; e != nil && e.Value.(*change).held.GetTokens() > 0 {
				found = append(found, e.Value.(*change).held)
			}
		}
	}
	return found
}

// AppendChanges adds to a state the changes after change number since of an epoch, which is the
// last one that the receiver knows. If some of them have been dropped, it starts from the
// beginning.
func (l *Log) AppendChanges(state *fleetv1.State, epoch int64, since uint64) {
	if epoch != l.epoch || since > l.lastNumber {
		since = 0
	}
	if since < l.lastDropped {
		// Some later changes have been dropped, so the receiver's contents are invalid.
		state.Reset_ = since > 0
		since = 0
	}
	state.Epoch, state.Since, state.Upto = l.epoch, since, since
	// The newest changes are at the end: walk back to the first one after since.
	first := l.order.Back()
	for first != nil && first.Prev() != nil && first.Prev().Value.(*change).number > since {
		first = first.Prev()
	}
	for e := first; e != nil; e = e.Next() {
		c := e.Value.(*change)
		if c.number <= since || since == 0 && c.held.GetTokens() == 0 {
			// A receiver that starts from the beginning doesn't need evictions.
			continue
		}
		if len(state.Changes) == maxChangesPerState {
			state.More = true
			return
		}
		state.Changes = append(state.Changes, c.held)
		state.Upto = c.number
	}
	state.Upto = l.lastNumber
}

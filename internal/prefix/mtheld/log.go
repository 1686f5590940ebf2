// Package mtheld keeps what one engine's cache holds, so that entries can be
// told the changes since they last heard.
package mtheld

import (
	"container/list"
	"time"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
)

const (
	// kept bounds the parts, held ones and those that are gone: an engine holds
	// some hundred, and entries hear of each change within a second.
	kept = 4096
	// perState bounds the changes in one datagram: at about 50 bytes each they
	// fit beside the rest.
	perState = 16
)

// Log holds each part once, at the place of its last change. It is not safe for
// concurrent use.
type Log struct {
	epoch int64
	last  uint64
	// dropped is the number of the newest change that is no longer kept.
	dropped uint64
	parts   map[key]*list.Element
	order   *list.List
}

type key struct{ salt, part string }

type change struct {
	number uint64
	held   *fleetv1.Held
}

// New returns an empty log. Its first epoch is the time, so that a restarted
// sidecar's differs from those before.
func New() *Log {
	return &Log{epoch: time.Now().UnixNano(), parts: map[key]*list.Element{}, order: list.New()}
}

// Epoch names the log's present contents: it changes when they are void.
func (l *Log) Epoch() int64 { return l.epoch }

// Clear empties the log: the engine has started anew, or events were lost.
func (l *Log) Clear() {
	l.epoch++
	l.last, l.dropped = 0, 0
	clear(l.parts)
	l.order.Init()
}

// Put takes in one change.
func (l *Log) Put(held *fleetv1.Held) {
	l.last++
	k := key{held.GetSalt(), held.GetPart()}
	if old := l.parts[k]; old != nil {
		l.order.Remove(old)
	}
	l.parts[k] = l.order.PushBack(&change{number: l.last, held: held})
	for l.order.Len() > kept {
		oldest := l.order.Remove(l.order.Front()).(*change)
		l.dropped = oldest.number
		delete(l.parts, key{oldest.held.GetSalt(), oldest.held.GetPart()})
	}
}

// Find returns those of some parts that are held.
func (l *Log) Find(salts, parts []string) []*fleetv1.Held {
	var found []*fleetv1.Held
	for _, salt := range salts {
		for _, part := range parts {
			if e := l.parts[key{salt, part}]; e != nil && e.Value.(*change).held.GetTokens() > 0 {
				found = append(found, e.Value.(*change).held)
			}
		}
	}
	return found
}

// Fill adds to a state the changes after a number that the asker knows of an
// epoch. Where they are no longer kept, it begins anew.
func (l *Log) Fill(state *fleetv1.State, epoch int64, since uint64) {
	if epoch != l.epoch || since > l.last {
		since = 0
	}
	if since < l.dropped {
		// Some changes after it are gone: what the asker knows is void.
		state.Reset_ = since > 0
		since = 0
	}
	state.Epoch, state.Since, state.Upto = l.epoch, since, since
	// Newest changes stand at the end; walk back to the first that is news.
	first := l.order.Back()
	for first != nil && first.Prev() != nil && first.Prev().Value.(*change).number > since {
		first = first.Prev()
	}
	for e := first; e != nil; e = e.Next() {
		c := e.Value.(*change)
		if c.number <= since || since == 0 && c.held.GetTokens() == 0 {
			// Who knows nothing yet need not hear of what is gone.
			continue
		}
		if len(state.Changes) == perState {
			state.More = true
			return
		}
		state.Changes = append(state.Changes, c.held)
		state.Upto = c.number
	}
	state.Upto = l.last
}

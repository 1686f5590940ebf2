package mtrollout

import (
	"cmp"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
)

// load is what is seen of an engine's loads. The zero value has seen none.
type load struct {
	seen bool
	away bool
	busy bool
	// since is when the engine got no more requests, ordered when its load began.
	since   time.Time
	ordered time.Time
	ended   time.Time
	took    time.Duration
	least   time.Duration
	// served is the sum of the versions that the engine had when its load began.
	served int64
}

// waiting says that the engine gets no requests while its runs end.
func (l *load) waiting() bool { return l.away && !l.busy }

// see takes in whether the engine loads, whether it gets no requests, and the sum of the
// versions that it serves. An engine that crashes in the middle of its load comes back
// with the weights of before: what that took says nothing of loads, and would look as if
// they slowed each other down.
func (l *load) see(busy, away bool, serves int64) {
	now := time.Now()
	if away && !l.away {
		l.since, l.ended, l.took = now, time.Time{}, 0
	}
	if busy && !l.busy {
		l.ordered, l.served = now, serves
	}
	if !busy && l.busy {
		l.ended = now
		if l.seen && !l.ordered.IsZero() && serves > l.served {
			l.took = now.Sub(l.ordered)
			l.least = min(cmp.Or(l.least, l.took), l.took)
		}
	}
	if !l.seen && busy {
		// A restarted sidecar meets an engine that loads: how long is not known.
		l.ordered = time.Time{}
	}
	l.seen, l.busy, l.away = true, busy, away
}

func (l *load) tell() *fleetv1.Load {
	told := &fleetv1.Load{}
	if l.since.IsZero() {
		return told
	}
	told.Begun = durationpb.New(time.Since(l.since))
	if !l.ended.IsZero() {
		told.Ended = durationpb.New(time.Since(l.ended))
	}
	if l.took > 0 {
		told.Took, told.Least = durationpb.New(l.took), durationpb.New(l.least)
	}
	return told
}

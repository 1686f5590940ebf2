package mtrollout

import (
	"cmp"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
)

// load tracks the loads of an engine as they are observed. The zero value has observed none.
type load struct {
	observed    bool
	unavailable bool
	busy        bool
	// unavailableSince is when the engine stopped getting requests, startedAt when its load
	// began.
	unavailableSince time.Time
	startedAt        time.Time
	endedAt          time.Time
	duration         time.Duration
	minDuration      time.Duration
	// versionSum is the sum of the engine's versions when its load began.
	versionSum int64
}

// draining reports whether the engine gets no requests so that its runs can end before
// the load.
func (l *load) draining() bool { return l.unavailable && !l.busy }

// observe records whether the engine loads, whether it gets no requests, and the sum of
// the versions that it serves. An engine that crashes during its load comes back with its
// previous weights: the time of such a load is discarded, as it says nothing about loads
// and would look as if they slowed each other down.
func (l *load) observe(busy, unavailable bool, versions int64) {
	now := time.Now()
	if unavailable && !l.unavailable {
		l.unavailableSince, l.endedAt, l.duration = now, time.Time{}, 0
	}
	if busy && !l.busy {
		l.startedAt, l.versionSum = now, versions
	}
	if !busy && l.busy {
		l.endedAt = now
		if l.observed && !l.startedAt.IsZero() && versions > l.versionSum {
			l.duration = now.Sub(l.startedAt)
			l.minDuration = min(cmp.Or(l.minDuration, l.duration), l.duration)
		}
	}
	if !l.observed && busy {
		// A restarted sidecar finds an engine loading: the start of that load is unknown.
		l.startedAt = time.Time{}
	}
	l.observed, l.busy, l.unavailable = true, busy, unavailable
}

func (l *load) toProto() *fleetv1.Load {
	out := &fleetv1.Load{}
	if l.unavailableSince.IsZero() {
		return out
	}
	out.Begun = durationpb.New(time.Since(l.unavailableSince))
	if !l.endedAt.IsZero() {
		out.Ended = durationpb.New(time.Since(l.endedAt))
	}
	if l.duration > 0 {
		out.Took, out.Least = durationpb.New(l.duration), durationpb.New(l.minDuration)
	}
	return out
}

package mtsidecar

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
	"github.com/mustardtide/mustardtide/internal/observe/mtcode"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
)

const (
	// drainPoll is how often a drain looks whether the runs have ended.
	drainPoll = 50 * time.Millisecond
	// keepDrained is how long a drain waits for entries to fetch ended answers:
	// the three seconds in which one finds a silent connection, and its resume.
	keepDrained = 5 * time.Second
	// cutTime lets entries read the last word about runs that a drain's bound
	// has cut.
	cutTime = time.Second
)

// Drain refuses new work at once, hands back what never ran and returns when
// the last run has ended and its answer is fetched. Where ctx ends first, the
// runs that are left are cut, each with an explicit end.
func (s *Sidecar) Drain(ctx context.Context) error {
	s.drain()
	err := until(ctx, func() bool { return s.runs.live() == 0 })
	if err != nil {
		s.runs.cut(mtrefusal.New(mtcode.Leaving, s.process.GetName()))
		time.Sleep(cutTime)
		return trace.Wrap(err)
	}
	fetched, cancel := context.WithTimeout(ctx, keepDrained)
	defer cancel()
	// An entry that is gone never fetches: that is no failure of the drain.
	_ = until(fetched, func() bool { return s.runs.unread() == 0 })
	s.log.Add(mtkind.SidecarStopped, &mustardtidev1.Event{Target: s.process.GetName()})
	return nil
}

func (s *Sidecar) drain() uint32 {
	if s.leaving.CompareAndSwap(false, true) {
		s.log.Add(mtkind.SidecarDraining, &mustardtidev1.Event{Target: s.process.GetName()})
		s.runs.handBack(mtrefusal.New(mtcode.Leaving, s.process.GetName()))
	}
	return uint32(s.runs.live())
}

// until polls a condition until it holds or ctx ends.
func until(ctx context.Context, done func() bool) error {
	for !done() {
		select {
		case <-time.After(drainPoll):
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		}
	}
	return nil
}

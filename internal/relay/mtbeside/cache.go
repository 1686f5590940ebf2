package mtbeside

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
)

const (
	// eventsWait is how long a call for events waits: less than a call's bound.
	eventsWait = 900 * time.Millisecond
	// fullPage is the number of events from which on an answer may have left
	// some out: engines tell 500 at once.
	fullPage = 400
	// eventsPause is the wait after a call that failed or brought events: at
	// most so many calls a second, each with what came meanwhile.
	eventsPause = 50 * time.Millisecond
)

// follow keeps what the engine's cache holds in step with its events.
func (s *Sidecar) follow(ctx context.Context) error {
	var since, epoch int64
	for ctx.Err() == nil {
		events, err := s.engine.CacheEvents(ctx, since, eventsWait)
		if err == nil {
			if events.GetLost() || events.GetEpoch() != epoch {
				s.trail.Say(mtkind.CacheVoid, zap.Bool("lost", events.GetLost()),
					zap.Int64("epoch", events.GetEpoch()), zap.Int64("before", epoch))
			}
			s.mu.Lock()
			if events.GetLost() || events.GetEpoch() != epoch {
				// What is held now is told by the events to come: the list of all
				// would stall the engine.
				s.held.Clear()
			}
			for _, change := range events.GetChanges() {
				s.held.Record(change)
			}
			s.mu.Unlock()
			epoch, since = events.GetEpoch(), events.GetNext()
			if len(events.GetChanges()) >= fullPage {
				// More are waiting: a restarted sidecar catches up.
				continue
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(eventsPause):
		}
	}
	return ctx.Err()
}

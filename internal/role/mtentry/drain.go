package mtentry

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
)

const (
	// drainPoll is how often a drain looks whether the requests have ended.
	drainPoll = 50 * time.Millisecond
	// cutTime is how long requests that the drain's bound cut have to tell
	// their callers.
	cutTime = 2 * time.Second
)

// Drain turns the entry unready, serves until the balancer has seen it and
// returns when the last request has ended. Where ctx ends first, the requests
// that are left end with an explicit error.
func (e *Entry) Drain(ctx context.Context) error {
	e.drain()
	err := pause(ctx, e.process.GetLag().AsDuration())
	for err == nil && e.live.Load() > 0 {
		err = pause(ctx, drainPoll)
	}
	if err != nil {
		e.cutAll()
		return trace.Wrap(err)
	}
	e.log.Add(mtkind.EntryStopped, &mustardtidev1.Event{})
	return nil
}

// cutAll ends the requests under way and waits until their callers are told.
func (e *Entry) cutAll() {
	e.cut()
	bound := time.Now().Add(cutTime)
	for e.live.Load() > 0 && time.Now().Before(bound) {
		time.Sleep(drainPoll)
	}
}

func (e *Entry) drain() uint32 {
	if e.draining.CompareAndSwap(false, true) {
		e.log.Add(mtkind.EntryDraining, &mustardtidev1.Event{})
	}
	return uint32(e.live.Load())
}

// pause waits; it fails where ctx ends first.
func pause(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

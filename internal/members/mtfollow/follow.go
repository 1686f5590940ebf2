// Package mtfollow keeps a process's knowledge of one kind of objects in step
// with the platform's store: a list, then watches, through outages.
package mtfollow

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"time"

	"github.com/gravitational/trace"
)

const (
	// probeTime is how long a watch waits while the store is away.
	probeTime = time.Millisecond
	// firstPause is the wait after the first failed call; half of each is random, so
	// that a fleet does not return to the store as one.
	firstPause = 50 * time.Millisecond
)

// Source is a kind of objects in the store; C is its type of change.
type Source[C any] interface {
	// List reads a page after a name, and returns where the next begins. A page that may be
	// old is cheaper.
	List(ctx context.Context, after string, old bool) ([]C, string, int64, error)
	Watch(ctx context.Context, after int64, wait time.Duration) ([]C, int64, error)
}

// Sink takes in what the store says. Its calls come one after another.
type Sink[C any] interface {
	// Wait is how long the next watch may wait.
	Wait() time.Duration
	// Shorter returns a channel that is closed when watches are to wait for less than they
	// did; nil where that never comes.
	Shorter() <-chan struct{}
	// Pause is how long changes may gather before the next watch after some.
	Pause() time.Duration
	// Retry is the longest wait between calls while the store does not answer.
	Retry() time.Duration
	// Await returns when the process is to watch the store itself, or when ctx ends.
	Await(ctx context.Context)
	// Revision is the store's up to which the process knows the objects from anywhere; 0
	// where it does not.
	Revision() int64
	// Replace gets the complete list, at a revision of the store.
	Replace(list []C, revision int64)
	// Changes gets what changed up to a revision.
	Changes(changes []C, revision int64)
	// Away is called when the store stops to answer, Back when it answers again.
	Away(err error)
	Back()
}

// Pager is a Sink that has use for a part of a list before it is complete.
type Pager[C any] interface {
	// Page gets each page but the last, after which Replace gets them all.
	Page(list []C)
}

// Follow runs until ctx ends.
func Follow[C any](ctx context.Context, source Source[C], sink Sink[C]) error {
	f := follower[C]{source: source, sink: sink, revision: unknown, gone: unknown, pause: firstPause}
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			f.failed(ctx, err)
		}
	}
	return ctx.Err()
}

// unknown says that the objects must be listed before they can be watched.
const unknown = -1

type follower[C any] struct {
	source   Source[C]
	sink     Sink[C]
	revision int64
	// gone is the last revision after which the store has forgotten what changed.
	gone int64
	// listed are the pages read so far, after where the next begins, and first the
	// revision of the first.
	listed   []C
	after    string
	first    int64
	pause    time.Duration
	failures int
	away     bool
}

// step makes one call.
func (f *follower[C]) step(ctx context.Context) error {
	if f.revision == unknown && f.sink.Revision() <= max(0, f.gone) {
		return f.list(ctx)
	}
	f.sink.Await(ctx)
	if ctx.Err() != nil {
		return trace.Wrap(ctx.Err())
	}
	f.revision, f.listed, f.after = max(f.revision, f.sink.Revision()), nil, ""
	// Before the time, so that none that becomes shorter in between is missed.
	shorter := f.sink.Shorter()
	bound := f.sink.Wait()
	if f.away {
		// A call that a silent store has swallowed is not answered when the store
		// is back: short calls find its return at once.
		bound = probeTime
	}
	changes, revision, interrupted, err := f.watch(ctx, bound, shorter)
	if interrupted {
		return nil
	}
	if err != nil {
		return trace.Wrap(err)
	}
	f.answered()
	// A replica that lags may name an older revision than one already seen.
	f.revision = max(f.revision, revision)
	f.sink.Changes(changes, f.revision)
	if len(changes) > 0 {
		wait(ctx, f.sink.Pause())
	}
	return nil
}

// watch makes one call, which it gives up where the next is to wait for less.
func (f *follower[C]) watch(ctx context.Context, bound time.Duration, shorter <-chan struct{}) (changes []C, revision int64, interrupted bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	end := make(chan bool, 1)
	go func() {
		select {
		case <-shorter:
			cancel()
			end <- true
		case <-ctx.Done():
			end <- false
		}
	}()
	changes, revision, err = f.source.Watch(ctx, f.revision, bound)
	cancel()
	return changes, revision, <-end && err != nil, trace.Wrap(err)
}

// list reads one page. A page that fails is asked for again, not all before it:
// when a whole fleet restarts, the store turns many calls away, and lists begun
// anew each time would never end. Watching goes on from the least of the pages'
// revisions, as later ones may miss what changed on earlier pages.
func (f *follower[C]) list(ctx context.Context) error {
	page, next, revision, err := f.source.List(ctx, f.after, f.gone == unknown)
	if err != nil {
		return trace.Wrap(err)
	}
	f.answered()
	if f.after == "" {
		f.listed, f.first = nil, revision
	}
	// Another replica of the store may answer each page, and lag.
	f.first = min(f.first, revision)
	f.listed = append(f.listed, page...)
	f.after = next
	if next == "" {
		f.sink.Replace(f.listed, f.first)
		f.revision, f.listed = f.first, nil
		return nil
	}
	if pager, ok := f.sink.(Pager[C]); ok {
		pager.Page(page)
	}
	return nil
}

func (f *follower[C]) answered() {
	f.failures = 0
	f.pause = firstPause
	if f.away {
		f.away = false
		f.sink.Back()
	}
}

// failed waits before the next call. A watch that was cut is no outage: the
// next call tells. A call that nobody answered in time is one.
func (f *follower[C]) failed(ctx context.Context, err error) {
	if trace.IsCompareFailed(err) {
		f.revision, f.gone = unknown, f.revision
		return
	}
	f.failures++
	if !f.away && (f.failures > 1 || silent(err) || trace.IsLimitExceeded(err)) {
		f.away = true
		f.sink.Away(err)
	}
	wait(ctx, f.pause/2+rand.N(f.pause/2))
	f.pause = min(2*f.pause, f.sink.Retry())
}

// silent says that the call ended by its own bound.
func silent(err error) bool {
	var timeout net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout()
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

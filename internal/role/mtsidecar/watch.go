package mtsidecar

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	"github.com/mustardtide/mustardtide/internal/prefix/mtchain"
)

// Times of watching a target on the same instance: a probe costs it one small
// read each second; one that does not answer within probeTimeout is down.
const (
	probeEvery   = time.Second
	probeTimeout = 2 * time.Second
)

// watchTarget follows the target's health, incarnation and cache events until
// ctx ends and reports its end on the channel it returns.
func (s *Sidecar) watchTarget(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		select {
		case <-s.spread.Ready():
			done <- s.watch(ctx)
		case <-ctx.Done():
			done <- nil
		}
	}()
	return done
}

func (s *Sidecar) watch(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return repeat(ctx, s.probe) })
	group.Go(func() error { return repeat(ctx, s.followCache) })
	return group.Wait()
}

// repeat calls step until ctx ends, with a pause between.
func repeat(ctx context.Context, step func(context.Context)) error {
	for {
		step(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(probeEvery):
		}
	}
}

// probe asks the target whether it answers and which incarnation it is.
func (s *Sidecar) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	service := s.service()
	if service == nil {
		return
	}
	switch t := s.program(service).(type) {
	case engineTarget:
		incarnation, err := t.Incarnation(ctx)
		if err == nil {
			s.incarnate(incarnation)
		}
		s.report(err == nil)
	case serviceTarget:
		s.report(t.Healthy(ctx) == nil)
	}
}

// incarnate takes in the target's incarnation. A new one empties the view and
// ends the cache event stream: its connection may lead to the dead engine's
// and stay silent for good.
func (s *Sidecar) incarnate(incarnation string) {
	if !s.view.SetIncarnation(incarnation) {
		return
	}
	s.log.Add(mtkind.TargetIncarnation, &mustardtidev1.Event{Target: s.process.GetName(), Text: incarnation})
	s.reread()
}

// reread ends the cache event stream; followCache opens the next one.
func (s *Sidecar) reread() {
	if cancel := s.reading.Load(); cancel != nil {
		(*cancel)()
	}
}

func (s *Sidecar) report(up bool) {
	if s.up.Swap(up) == up {
		return
	}
	s.admit.target(up)
	kind := mtkind.TargetDown
	if up {
		kind = mtkind.TargetUp
	}
	s.log.Add(kind, &mustardtidev1.Event{Target: s.process.GetName()})
}

// followCache reads the cache events of one connection. The view is emptied
// when it ends: the engine may have died, and what it cached is not known.
func (s *Sidecar) followCache(ctx context.Context) {
	service := s.service()
	if service == nil {
		return
	}
	engine, ok := s.program(service).(engineTarget)
	if !ok {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.reading.Store(&cancel)
	reader := &cacheReader{sidecar: s, engine: engine, incarnation: s.view.Incarnation()}
	// The end is reported by the probe as well, which knows its cause.
	_ = engine.Follow(ctx, int(service.GetGranule()), int(service.GetStride()), reader)
	s.view.Close()
}

// cacheReader passes one stream's events to the view.
type cacheReader struct {
	sidecar     *Sidecar
	engine      engineTarget
	incarnation string
}

// Opened asks for the incarnation again once the event stream is open. The
// engine may have restarted since the last probe; the stream belongs to an
// incarnation only if that was the one before the stream opened and after it.
// Otherwise a dead engine's events would count as the new one's, or the other
// way round, until the next restart.
func (r *cacheReader) Opened(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	now, err := r.engine.Incarnation(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	if now != r.incarnation {
		r.sidecar.incarnate(now)
	}
	if now != r.incarnation || !r.sidecar.view.Open(now) {
		return trace.CompareFailed("the engine restarted while its cache events were opened")
	}
	return nil
}

// Stored takes in a mark that the engine cached.
func (r *cacheReader) Stored(mark [mtchain.MarkSize]byte) { r.sidecar.view.Store(r.incarnation, mark) }

// Removed takes in a mark that the engine evicted.
func (r *cacheReader) Removed(mark [mtchain.MarkSize]byte) { r.sidecar.view.Remove(mark) }

// Gap empties the view.
func (r *cacheReader) Gap() {
	r.sidecar.view.Invalidate()
	r.sidecar.log.Add(mtkind.CacheGap, &mustardtidev1.Event{Target: r.sidecar.process.GetName()})
}

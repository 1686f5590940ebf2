package mtsidecar

import (
	"context"
	"time"

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
		s.report(err == nil)
		if err == nil && s.view.Start(incarnation) {
			s.log.Add(mtkind.TargetIncarnation, &mustardtidev1.Event{Target: s.process.GetName(), Text: incarnation})
		}
	case serviceTarget:
		s.report(t.Healthy(ctx) == nil)
	}
}

func (s *Sidecar) report(up bool) {
	if s.up.Swap(up) == up {
		return
	}
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
	incarnation := s.view.Incarnation()
	stored := func(mark [mtchain.MarkSize]byte) { s.view.Store(incarnation, mark) }
	gap := func() {
		s.view.Void()
		s.log.Add(mtkind.CacheGap, &mustardtidev1.Event{Target: s.process.GetName()})
	}
	// The end is reported by the probe as well, which knows its cause.
	_ = engine.Follow(ctx, int(service.GetGranule()), int(service.GetStride()), stored, s.view.Remove, gap)
	s.view.Void()
}

package mtspread

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	"github.com/mustardtide/mustardtide/internal/outside/mtplatform"
	"github.com/mustardtide/mustardtide/internal/outside/mtrecord"
	"github.com/mustardtide/mustardtide/internal/settings/mtmanifest"
)

// pollEvery is the mean time between two tries at a platform that is down: at
// 420 nodes this is 84 reads a second of the platform's two thousand.
const pollEvery = 5 * time.Second

// Follow watches the platform until ctx ends and closes the channel it
// returns at the end.
func (s *Spread) Follow(ctx context.Context, client *mtplatform.Client) <-chan error {
	done := make(chan error, 1)
	go func() {
		defer close(done)
		s.follow(ctx, client)
	}()
	return done
}

func (s *Spread) follow(ctx context.Context, client *mtplatform.Client) {
	for {
		err := s.watch(ctx, client)
		if ctx.Err() != nil {
			return
		}
		s.log.Add(mtkind.WatchLost, &mustardtidev1.Event{Text: err.Error()})
		select {
		case <-ctx.Done():
			return
		case <-time.After(jitter(pollEvery)):
		}
	}
}

// watch reads the manifest and follows its changes until the watch breaks.
func (s *Spread) watch(ctx context.Context, client *mtplatform.Client) error {
	_, version, err := client.List(ctx, mtmanifest.Group)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := s.fetch(ctx, client); err != nil {
		return trace.Wrap(err)
	}
	return client.Watch(ctx, mtmanifest.Group, version, func(mtrecord.Record) {
		if err := s.fetch(ctx, client); err != nil {
			s.log.Add(mtkind.WatchLost, &mustardtidev1.Event{Text: err.Error()})
		}
	})
}

func (s *Spread) fetch(ctx context.Context, client *mtplatform.Client) error {
	m, err := mtmanifest.Load(ctx, client, s.Manifest())
	if err != nil {
		return trace.Wrap(err)
	}
	return s.Adopt(m)
}

// jitter spreads a wait over half to one and a half of it, so that processes
// that lost the platform together don't come back together.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

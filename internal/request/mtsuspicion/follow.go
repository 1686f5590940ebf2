package mtsuspicion

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/outside/mtrecord"
)

// retryEvery is the mean time between two tries at a platform that is down.
const retryEvery = 5 * time.Second

// Follow passes every suspicion in force to each, those written before first,
// until ctx ends; the channel closes at the end. Only entries follow: a watch
// counts as a call, and every request passes an entry.
func (s *Store) Follow(ctx context.Context, each func(*mustardtidev1.Suspicion)) <-chan error {
	done := make(chan error, 1)
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			// Its end only says that the platform can't be reached now.
			_ = s.watch(ctx, each)
			select {
			case <-ctx.Done():
			case <-time.After(retryEvery/2 + rand.N(retryEvery)):
			}
		}
	}()
	return done
}

func (s *Store) watch(ctx context.Context, each func(*mustardtidev1.Suspicion)) error {
	records, version, err := s.client.List(ctx, group)
	if err != nil {
		return trace.Wrap(err)
	}
	pass := func(record mtrecord.Record) {
		if m, err := decode(record.Data()); err == nil && len(m.GetPrint()) > 0 && !lapsed(m) {
			each(m)
		}
	}
	for _, record := range records {
		pass(record)
		if m, err := decode(record.Data()); err == nil && lapsed(m) {
			// Another entry may have deleted it first.
			_ = s.client.Delete(ctx, record)
		}
	}
	return s.client.Watch(ctx, group, version, pass)
}

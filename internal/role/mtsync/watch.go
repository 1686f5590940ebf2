package mtsync

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	"github.com/mustardtide/mustardtide/internal/outside/mtrecord"
	"github.com/mustardtide/mustardtide/internal/settings/mtmanifest"
)

// Figures of watching the platform.
//
// watchTime bounds one watch, by half to one and a half of it: a connection
// that went silent shows no error, and a watch on it would wait for ever. A new
// one goes on from the last version; 420 entries open 42 a second.
//
// tryAgain is the mean time before the next try after a failure: 84 calls a
// second over 420 entries.
//
// readSpacing spreads the entries' reads of a change's chunks: 400 a second, a
// fifth of the platform's reads. Most entries hear of the change from a peer
// before their turn.
const (
	watchTime   = 10 * time.Second
	tryAgain    = 5 * time.Second
	readSpacing = 2500 * time.Microsecond
)

// watch follows the platform's manifest until ctx ends.
func (s *Sync) watch(ctx context.Context) error {
	s.awaitTurn(ctx)
	for ctx.Err() == nil {
		err := s.watchUntilLost(ctx)
		if ctx.Err() == nil {
			s.log.Add(mtkind.WatchLost, &mustardtidev1.Event{Text: trace.UserMessage(err)})
			sleep(ctx, tryAgain)
		}
	}
	return nil
}

func (s *Sync) watchUntilLost(ctx context.Context) error {
	version, err := s.read(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	s.log.Add(mtkind.WatchBack, &mustardtidev1.Event{})
	for {
		if err := s.watchOnce(ctx, &version); err != nil {
			return trace.Wrap(err)
		}
	}
}

// read takes the manifest and returns the version to watch from.
func (s *Sync) read(ctx context.Context) (string, error) {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	records, version, err := s.platform.List(bounded, mtmanifest.Group)
	if err != nil {
		return "", trace.Wrap(err)
	}
	for _, record := range records {
		s.see(ctx, record)
	}
	return version, nil
}

// watchOnce returns nil at the end of a bounded watch.
func (s *Sync) watchOnce(ctx context.Context, version *string) error {
	bounded, cancel := context.WithTimeout(ctx, jitter(watchTime))
	defer cancel()
	err := s.platform.Watch(bounded, mtmanifest.Group, *version, func(record mtrecord.Record) {
		*version = record.Version()
		s.see(ctx, record)
	})
	if bounded.Err() != nil && ctx.Err() == nil {
		return nil
	}
	return trace.Wrap(err)
}

// see takes the manifest of a platform object, at this entry's turn.
func (s *Sync) see(ctx context.Context, record mtrecord.Record) {
	m, err := mtmanifest.Parse(record)
	if err != nil || !s.spread.Wants(m.Revision()) {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(rand.N(time.Duration(1+s.entries()) * readSpacing)):
		// What fails here is tried again by the exchange with peers, and by
		// the platform's next watch.
		_ = s.take(ctx, m)
	}
}

// entries counts the entries of the list.
func (s *Sync) entries() int {
	count := 0
	for _, m := range s.list.All() {
		if m.GetRole() == roleEntry {
			count++
		}
	}
	return count
}

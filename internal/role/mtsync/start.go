package mtsync

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/mustardtide/mustardtide/internal/settings/mtmanifest"
)

// Figures of a start. startPeers are asked at once, so that one stale peer does
// not decide; startWait bounds the wait for those that hang, the platform
// among them; startAgain is the mean time between two rounds: 420 entries that
// restart together make 840 platform reads a second at most, of two thousand.
const (
	startPeers = 8
	startWait  = 500 * time.Millisecond
	startAgain = 500 * time.Millisecond
	// startSpread spreads what an entry that peers have served can do later:
	// reading the list of instances, about a megabyte, and opening watches.
	// 420 entries that restart together make 420 calls a second for it.
	startSpread = 4 * time.Second
)

// start repeats a round until settings and a list of instances are there. No
// word of a single peer is followed before: it may be behind what this process
// served before its restart.
func (s *Sync) start(ctx context.Context, round func(context.Context)) {
	var once sync.Once
	for {
		round(ctx)
		once.Do(func() { close(s.begun) })
		if s.spread.Snapshot().Revision() > 0 && s.list.Known() {
			return
		}
		if !sleep(ctx, startAgain) {
			return
		}
	}
}

// startEntry asks the platform and several peers at once and takes the highest
// revision of all, so that neither a platform that is away nor a stale peer
// puts this process behind what it served before its restart.
func (s *Sync) startEntry(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()
	var group sync.WaitGroup
	var platform *mtmanifest.Manifest
	group.Go(func() {
		if m, err := mtmanifest.Head(bounded, s.platform); err == nil {
			platform = m
		}
	})
	best, holders := s.askPeers(bounded, s.seeds())
	group.Wait()
	if platform != nil && (best == nil || platform.Revision() > best.Revision()) {
		best, holders = platform, nil
	}
	if best != nil {
		// What fails here is tried again by the next round.
		_ = s.take(ctx, best, holders...)
	}
}

// startSidecar asks peers alone and turns to the platform where none has
// settings: 2,700 sidecars that restart together would take all of the
// platform's reads.
func (s *Sync) startSidecar(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()
	best, holders := s.askPeers(bounded, s.seeds())
	if !s.list.Known() {
		_ = s.list.Read(ctx, s.platform)
	}
	if best == nil {
		s.readManifest(ctx)
		return
	}
	// What fails here is tried again by the next round.
	_ = s.take(ctx, best, holders...)
}

// awaitTurn waits for the first round of the start and, where peers gave all
// that it takes to serve, for a turn among a herd that restarts.
func (s *Sync) awaitTurn(ctx context.Context) {
	select {
	case <-s.begun:
	case <-ctx.Done():
		return
	}
	if s.spread.Snapshot().Revision() > 0 && s.list.Known() {
		select {
		case <-time.After(rand.N(startSpread)):
		case <-ctx.Done():
		}
	}
}

// seeds are the peers of the process's settings and some of the list.
func (s *Sync) seeds() []string {
	seeds := slices.Clone(s.process.GetPeers())
	shuffle(seeds)
	for _, address := range s.choose(startPeers) {
		if !slices.Contains(seeds, address) {
			seeds = append(seeds, address)
		}
	}
	return seeds[:min(len(seeds), startPeers)]
}

package mtsync

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/settings/mtmanifest"
	"github.com/mustardtide/mustardtide/internal/settings/mtword"
)

// Figures of the exchange between peers.
//
// pullEvery is the mean time between two pulls of one process. 2,700 sidecars
// pull 540 times a second, 1.3 at each of 420 entries; a pull that brings
// nothing is about 150 bytes each way. It finds what every other message lost.
//
// fanout is the peers told of an adoption: each tells as many, so that 3,120
// processes hear within four steps, and a process is told eight times: the
// share that nobody tells, e^-8, is one process, which pulls.
//
// otherPeers are asked for chunks that the teller no longer has; triedPeers
// before a process that gets no answer turns to the platform.
const (
	pullEvery  = 5 * time.Second
	fanout     = 8
	otherPeers = 2
	triedPeers = 3
)

// Shares of the rounds that go to the platform though a peer answered. One in
// twelve reads the manifest: each process once a minute, 52 calls a second of
// 3,120. A list that the platform did not confirm for staleList is read in one
// round of sixty, 9 times a second by 2,700 sidecars: it is about a megabyte.
// With a thousand restarts a day some change confirms it every half minute.
const (
	platformShare = 12
	staleList     = 5 * time.Minute
	staleShare    = 60
)

// exchange pulls from whoever is known to be ahead, and from time to time from
// any peer, until ctx ends.
func (s *Sync) exchange(ctx context.Context) {
	next := time.NewTimer(jitter(pullEvery))
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case word := <-s.spread.Heard():
			s.follow(ctx, word)
		case <-next.C:
			s.round(ctx)
			next.Reset(jitter(pullEvery))
		}
	}
}

// follow pulls from a peer that said that it is ahead.
func (s *Sync) follow(ctx context.Context, word mtword.Word) {
	if !s.spread.Wants(word.Revision()) {
		return
	}
	address := word.Address()
	if address == "" {
		address = s.list.Find(word.Source()).GetAddress()
	}
	if address != "" && s.pull(ctx, address) == nil {
		return
	}
	s.round(ctx)
}

// round pulls from the first of a few peers that answers, and reads the
// platform where none does, and now and then in any case: processes that know
// only each other would agree for ever on what is long past.
func (s *Sync) round(ctx context.Context) {
	answered := false
	for _, address := range s.choose(triedPeers) {
		if s.pull(ctx, address) == nil {
			answered = true
			break
		}
	}
	if !answered || rand.N(platformShare) == 0 {
		s.readManifest(ctx)
	}
	if s.needsList(answered) {
		// What fails is tried again by the next round.
		_ = s.list.Read(ctx, s.platform)
	}
}

// needsList says whether to read the platform's whole list. An entry has a
// watch for it; a sidecar has its peers' list, unless it knows no entry, no
// peer answers, or the list was confirmed long ago.
func (s *Sync) needsList(answered bool) bool {
	switch {
	case s.process.GetService() == "" && s.list.Known():
		return false
	case !s.list.Known() || s.entries() == 0:
		return true
	default:
		return s.list.Age() > staleList && (!answered || rand.N(staleShare) == 0)
	}
}

// announce tells a few peers of each adoption after the first: they pull.
func (s *Sync) announce(ctx context.Context) {
	told := uint64(0)
	for {
		changed := s.spread.Changed()
		revision := s.spread.Snapshot().Revision()
		if told != 0 && revision > told {
			s.tell(ctx)
		}
		told = revision
		if s.spread.Snapshot().Revision() > revision {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// tell sends this process's revision to a few peers and waits for them.
func (s *Sync) tell(ctx context.Context) {
	var group sync.WaitGroup
	for _, address := range s.draw(fanout) {
		group.Go(func() {
			// Whoever can't be told pulls by itself.
			_ = s.pull(ctx, address)
		})
	}
	group.Wait()
}

// draw gives up to n other processes, each as likely as any: who is told must
// not depend on the role.
func (s *Sync) draw(n int) []string {
	entries, sidecars := s.others()
	all := slices.Concat(entries, sidecars)
	shuffle(all)
	return all[:min(n, len(all))]
}

// choose draws up to n other processes: entries first in three draws of four,
// since their list of instances comes from the platform. Before a list is
// known, the peers of the process's settings stand in.
func (s *Sync) choose(n int) []string {
	entries, sidecars := s.others()
	if len(entries)+len(sidecars) == 0 {
		entries = slices.Clone(s.process.GetPeers())
	}
	shuffle(entries)
	shuffle(sidecars)
	chosen := make([]string, 0, n)
	for len(chosen) < n && len(entries)+len(sidecars) > 0 {
		from := &entries
		if len(entries) == 0 || len(sidecars) > 0 && rand.N(entryShare) == 0 {
			from = &sidecars
		}
		chosen = append(chosen, (*from)[0])
		*from = (*from)[1:]
	}
	return chosen
}

// others lists the addresses of the other processes.
func (s *Sync) others() (entries, sidecars []string) {
	for _, m := range s.list.All() {
		switch {
		case m.GetName() == s.process.GetName():
		case m.GetRole() == roleEntry:
			entries = append(entries, m.GetAddress())
		default:
			sidecars = append(sidecars, m.GetAddress())
		}
	}
	return entries, sidecars
}

// entryShare is how many draws of choose have one sidecar among them.
const entryShare = 4

// roleEntry is an entry's role in the list of instances.
const roleEntry = "entry"

func shuffle(list []string) {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

// askPeers asks several peers at once and returns what the highest has, with
// the addresses of all that have it.
func (s *Sync) askPeers(ctx context.Context, addresses []string) (*mtmanifest.Manifest, []string) {
	var group sync.WaitGroup
	var mu sync.Mutex
	var best *mustardtidev1.Manifest
	var holders []string
	for _, address := range addresses {
		group.Go(func() {
			head, err := s.ask(ctx, address)
			if err != nil || head == nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if head.GetRevision() > best.GetRevision() {
				best, holders = head, nil
			}
			if head.GetRevision() == best.GetRevision() {
				holders = append(holders, address)
			}
		})
	}
	group.Wait()
	if best == nil {
		return nil, nil
	}
	return mtmanifest.New(best), holders
}

// readManifest takes the platform's manifest.
func (s *Sync) readManifest(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if m, err := mtmanifest.Head(bounded, s.platform); err == nil {
		// What fails is tried again by the next round.
		_ = s.take(ctx, m)
	}
}

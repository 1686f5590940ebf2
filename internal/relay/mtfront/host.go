package mtfront

import (
	"context"
	"time"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/relay/mtcustody"
)

// Named implements mtstandby.Host.
func (s *standbys) Named() []*fleetv1.Weights { return s.front.board.NewestWeights() }

// Turn implements mtstandby.Host.
func (s *standbys) Turn(target string) *fleetv1.Turn {
	listed := s.front.roster.View().Target(target)
	service := s.front.catalog.Load().Service(listed.GetService())
	if service == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.arranged) > standbyTime/2 {
		s.arranged = time.Now()
		clear(s.queues)
	}
	if s.queues[service.GetName()] == nil {
		s.queues[service.GetName()] = s.front.queues(service)
	}
	return s.queues[service.GetName()].Of(listed)
}

// May implements mtstandby.Host.
func (s *standbys) May(target string) bool {
	address := s.address(target)
	s.mu.Lock()
	may := s.custody.May(address)
	s.mu.Unlock()
	// Last, as it looks at all targets: mostly no engine is taken.
	return may && s.front.board.SinceHeartbeat(address) >= spokeTime
}

// Fence implements mtstandby.Host.
func (s *standbys) Fence(ctx context.Context, target string) int64 {
	address := s.address(target)
	renew := func() mtcustody.Step { return s.custody.Renew(address) }
	if !s.May(target) || !s.write(ctx, renew) {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.custody.Fence(address)
}

// Hear implements mtstandby.Host.
func (s *standbys) Hear(state *fleetv1.State, news bool) {
	f := s.front
	f.board.UpdateState(state)
	if news {
		f.peers.tell(f.words, &fleetv1.Word{Word: &fleetv1.Word_State{State: state}}, maxPeers, f.site.GetDatacentre())
	}
}

package mtfront

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/members/mtfollow"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	"github.com/mustardtide/mustardtide/platform/mtobjects"
)

// follow keeps the custody in step with the store where this entry is one of those that
// look often; the others hear from these. An entry that is cut off from the others may
// take engines, and only the store tells: without this the others would go on to let
// those engines' sidecars order.
func (s *standbys) follow(ctx context.Context) error {
	for ctx.Err() == nil {
		if s.front.looksOften() {
			s.followWhile(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(roleTime):
		}
	}
	return ctx.Err()
}

// followWhile follows the custody until other entries look often.
func (s *standbys) followWhile(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sink := &custodies{follower: follower{s.front}}
	end := make(chan error, 1)
	go func() { end <- mtfollow.Follow(ctx, s.front.store.Custodies(), sink) }()
	for {
		select {
		case err := <-end:
			if sink.away {
				// Nobody will say that the store is back.
				sink.Back()
			}
			if err != nil && !errors.Is(err, context.Canceled) {
				s.front.trail.Warn(mtkind.StoreLost, zap.String("kind", "custody"), zap.Error(err))
			}
			return
		case <-time.After(roleTime):
			if !s.front.looksOften() {
				cancel()
			}
		}
	}
}

// custodies takes in the fleet's custody.
type custodies struct {
	follower
	// away says that the store does not answer.
	away bool
}

// Replace gets the custody, if there is one.
func (s *custodies) Replace(list []mtobjects.Change[*fleetv1.Custody], revision int64) {
	if len(list) == 0 {
		s.front.standbys.adopt(&fleetv1.Custody{}, "store")
	}
	s.Changes(list, revision)
}

// Changes gets new versions. One that is gone or unreadable changes nothing.
func (s *custodies) Changes(changes []mtobjects.Change[*fleetv1.Custody], _ int64) {
	for _, change := range changes {
		if !change.Gone() {
			s.front.standbys.adopt(change.Value(), "store")
		}
	}
}

// Revision is not known from other entries.
func (s *custodies) Revision() int64 { return 0 }

// Await does not wait: only entries that look often follow the custody.
func (s *custodies) Await(context.Context) {}

// Shorter never tells: the custody's watches always wait for the same time.
func (s *custodies) Shorter() <-chan struct{} { return nil }

// Wait lets a watch wait long also where others look often: it standbys in for words
// between the entries, which come within a second.
func (s *custodies) Wait() time.Duration { return slowWatch }

// Away keeps what is known.
func (s *custodies) Away(err error) {
	s.away = true
	s.front.lost("custody", err)
}

// Back says that the store answers.
func (s *custodies) Back() {
	s.away = false
	s.front.back("custody")
}

func (s *standbys) known() *fleetv1.Custody {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.custody.Known()
}

// holds says that this entry is the holder.
func (s *standbys) holds() bool { return s.known().GetHolder() == s.front.site.GetName() }

// version is one more than that of the custody that is known; 0 for none.
func (s *standbys) version() int64 {
	if known := s.known(); known != nil {
		return known.GetVersion() + 1
	}
	return 0
}

// adopt takes over what the store or another entry says.
func (s *standbys) adopt(custody *fleetv1.Custody, source string) {
	if custody == nil {
		return
	}
	s.mu.Lock()
	news := s.custody.Learn(custody)
	s.mu.Unlock()
	if custody.GetAddress() != "" {
		s.front.peers.see([]string{custody.GetAddress()}, s.front.socket.Address())
	}
	if news {
		s.told(custody, source)
	}
}

// told logs a new version and passes it on.
func (s *standbys) told(custody *fleetv1.Custody, source string) {
	taken := 0
	for _, charge := range custody.GetCharges() {
		if charge.GetTaken() {
			taken++
		}
	}
	s.front.trail.Say(mtkind.CustodyKnown, zap.String("holder", custody.GetHolder()), zap.Int64("version", custody.GetVersion()),
		zap.Int("taken", taken), zap.Int("engines", len(custody.GetCharges())), zap.String("from", source))
	s.front.digest()
}

// fill says in a hello who gives the engine its orders.
func (s *standbys) fill(hello *fleetv1.Hello) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.custody.Known(); known != nil {
		charge := s.custody.Charge(s.address(hello.GetTarget()))
		hello.Custody, hello.Taken, hello.Fence = known.GetVersion()+1, charge.GetTaken(), charge.GetFence()
	}
}

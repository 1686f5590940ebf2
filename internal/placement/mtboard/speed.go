package mtboard

import (
	"time"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/placement/mtspeed"
)

// speed is that of a service's engines, of which the operators say what a transfer
// needs; the board is locked.
func (b *Board) speed(service string, transfer time.Duration) *mtspeed.Speed {
	s := b.speeds[service]
	if s == nil {
		s = mtspeed.New(transfer)
		b.speeds[service] = s
	}
	return s
}

// Speeds are what was learned of the services' engines, where enough answers were
// seen.
func (b *Board) Speeds() []*fleetv1.Speed {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []*fleetv1.Speed
	for service, s := range b.speeds {
		if told := s.Tell(); told != nil {
			told.Service = service
			list = append(list, told)
		}
	}
	return list
}

// Speed is what was learned of one service's engines, and whether that is enough
// to be relied on.
func (b *Board) Speed(service string) (*fleetv1.Speed, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	told := b.speed(service, 0).Tell()
	if told == nil {
		return nil, false
	}
	told.Service = service
	return told, true
}

// Adopt takes over what another process has learned of a service's engines, where
// this one knows too little itself: a restarted entry would choose and refuse by
// the figures of engines that do not stand here. It reports whether it did.
func (b *Board) Adopt(told *fleetv1.Speed) bool {
	if told.GetService() == "" {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.without.speeds && b.speed(told.GetService(), 0).Adopt(told)
}

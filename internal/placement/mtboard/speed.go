package mtboard

import (
	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/placement/mtspeed"
)

// speed is that of a service's engines; the board is locked.
func (b *Board) speed(service *fleetv1.Service) *mtspeed.Speed {
	s := b.speeds[service.GetName()]
	if s == nil {
		s = mtspeed.New(service.GetTransfer().AsDuration())
		b.speeds[service.GetName()] = s
	}
	return s
}

// Speeds are what was learned of the services' engines, where enough answers were
// seen.
func (b *Board) Speeds() []*fleetv1.Speed {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []*fleetv1.Speed
	for service := range b.speeds {
		if told := b.learned(service); told != nil {
			list = append(list, told)
		}
	}
	return list
}

// Speed is what was learned of one service's engines; nil until that is enough to
// be relied on.
func (b *Board) Speed(service string) *fleetv1.Speed {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.learned(service)
}

// learned is Speed for a board that is locked.
func (b *Board) learned(service string) *fleetv1.Speed {
	s := b.speeds[service]
	if s == nil {
		return nil
	}
	told := s.Tell()
	if told != nil {
		told.Service = service
	}
	return told
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
	return !b.without.speeds && b.speed(&fleetv1.Service{Name: told.GetService()}).Adopt(told)
}

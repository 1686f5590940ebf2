package mtboard

import (
	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/placement/mtspeed"
)

// speedOf returns the speed of a service's engines. The caller holds the board's lock.
func (b *Board) speedOf(service *fleetv1.Service) *mtspeed.Speed {
	s := b.speeds[service.GetName()]
	if s == nil {
		s = mtspeed.New(service.GetTransfer().AsDuration())
		b.speeds[service.GetName()] = s
	}
	return s
}

// Speeds returns the learned speeds of the services' engines, where enough answers were seen.
func (b *Board) Speeds() []*fleetv1.Speed {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []*fleetv1.Speed
	for service := range b.speeds {
		if speed := b.learned(service); speed != nil {
			list = append(list, speed)
		}
	}
	return list
}

// Speed returns the learned speed of one service's engines, nil until it is reliable.
func (b *Board) Speed(service string) *fleetv1.Speed {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.learned(service)
}

// learned implements Speed. The caller holds the board's lock.
func (b *Board) learned(service string) *fleetv1.Speed {
	s := b.speeds[service]
	if s == nil {
		return nil
	}
	speed := s.Snapshot()
	if speed != nil {
		speed.Service = service
	}
	return speed
}

// Adopt takes over the speed that another process has learned of a service's engines, if this one
// knows too little itself. Otherwise a restarted entry would choose and refuse by figures of
// engines that are not in this fleet. It reports whether it did.
func (b *Board) Adopt(speed *fleetv1.Speed) bool {
	if speed.GetService() == "" {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.disabled.speeds && b.speedOf(&fleetv1.Service{Name: speed.GetService()}).Adopt(speed)
}

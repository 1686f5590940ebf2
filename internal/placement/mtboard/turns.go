package mtboard

import (
	"time"

	"github.com/zeebo/xxh3"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/relay/mtturns"
)

// maxSingleQueue is the largest number of engines that load weights in one queue: an entry hears
// from that many within a second. In a larger fleet, each data centre has its own queue, whose
// progress its entries can see.
const maxSingleQueue = 60

// lateTolerance is by how much a sidecar's heartbeat may be late, as a part of its interval.
const lateTolerance = 0.25

// Queues are the queues in which a service's engines load weights.
type Queues struct {
	fleetWide bool
	byGroup   map[string]*mtturns.Turns
}

// FleetWide reports whether there is one queue for the whole fleet.
func (q *Queues) FleetWide() bool { return q.fleetWide }

// Of returns an engine's position in its queue.
func (q *Queues) Of(target *fleetv1.Target) *fleetv1.Turn {
	turns := q.byGroup[q.group(target)]
	if turns == nil {
		return nil
	}
	return turns.Of(target.GetId())
}

// group returns the key of the queue that an engine belongs to: its data centre, or "" for one
// queue in the whole fleet.
func (q *Queues) group(target *fleetv1.Target) string {
	if q.fleetWide {
		return ""
	}
	return target.GetDatacentre()
}

// Queues computes the order in which the service's engines load weights. near is the heartbeat
// interval of sidecars in the entry's data centre, far that of the others.
func (b *Board) Queues(service *fleetv1.Service, near, far time.Duration) *Queues {
	b.mu.Lock()
	defer b.mu.Unlock()
	records := b.services[service.GetName()]
	q := &Queues{fleetWide: len(records) <= maxSingleQueue, byGroup: map[string]*mtturns.Turns{}}
	groups := map[string][]*record{}
	for _, r := range records {
		group := q.group(r.target)
		groups[group] = append(groups[group], r)
	}
	for group, list := range groups {
		q.byGroup[group] = b.arrangeQueue(service, group, list, near, far)
	}
	return q
}

// arrangeQueue computes the order of one queue. An engine's runs get the mean length of an answer
// to finish. With more, engines wait on a busy day for a few long answers; with less, more of the
// work begun is lost.
func (b *Board) arrangeQueue(service *fleetv1.Service, group string, records []*record, near, far time.Duration) *mtturns.Turns {
	naming := b.naming(service.GetModel())
	key := queueKey{service.GetName(), group}
	turns := mtturns.New(b.gracePeriod, naming.Age(), b.speedOf(service).MeanAnswer(), b.saturation[key])
	newest := naming.Newest().GetVersion()
	for _, r := range records {
		if r.replaced || r.leaving() {
			continue
		}
		round := far
		if r.target.GetDatacentre() == b.datacentre {
			round = near
		}
		if !r.positionCurrent(round) {
			turns.Put(r.target.GetId(), false, false, nil, 0)
			continue
		}
		// An engine that is down gets no turn: at the head of the queue it would block all
		// others.
		behind := r.state.GetAnswers() && r.weightsVersion(service.GetModel()) < newest
		last := r.state.GetLoad()
		if last == nil {
			last = &fleetv1.Load{}
		}
		turns.Put(r.target.GetId(), behind, r.state.GetOrdering(), last, time.Since(r.stateAt))
	}
	seed := uint64(naming.Newest().GetRevision())
	turns.Arrange(func(id string) uint64 { return xxh3.HashStringSeed(id, seed) })
	b.saturation[key] = turns.Saturation()
	return turns
}

// positionCurrent reports whether the sidecar's last state still gives the engine's position in
// its queue: until the next one is due, after round plus some tolerance.
func (r *record) positionCurrent(round time.Duration) bool {
	late := time.Duration(lateTolerance * float64(round))
	return r.fresh() || r.state != nil && time.Since(r.stateAt) < round+late
}

// Outdated returns the service's engines that are not known to have the newest weights. It
// returns none once these were published longer ago than the grace period.
func (b *Board) Outdated(service *fleetv1.Service) []*fleetv1.Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	naming := b.naming(service.GetModel())
	if naming.Age() > b.gracePeriod {
		return nil
	}
	newest := naming.Newest().GetVersion()
	var list []*fleetv1.Target
	for _, r := range b.services[service.GetName()] {
		if !r.replaced && !r.leaving() && r.weightsVersion(service.GetModel()) < newest {
			list = append(list, r.target)
		}
	}
	return list
}

package mtboard

import (
	"time"

	"github.com/zeebo/xxh3"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/relay/mtturns"
)

// Turns works out in which order the service's engines load weights. An engine's
// runs are given the mean length of an answer to end: longer, and engines wait on a
// heavy day for a few long answers; shorter, and more of what was begun counts for
// nothing.
func (b *Board) Turns(service *fleetv1.Service) *mtturns.Turns {
	b.mu.Lock()
	defer b.mu.Unlock()
	naming := b.named[service.GetModel()]
	turns := mtturns.New(b.allowed, naming.age(), b.speed(service).Answer(), b.knees[service.GetName()])
	newest := naming.weights.GetVersion()
	for _, r := range b.services[service.GetName()] {
		if r.replaced || r.target.GetLeaving() {
			continue
		}
		if !r.fresh() {
			turns.Put(r.target.GetId(), false, false, nil, 0)
			continue
		}
		// An engine that is down takes no turn: as the first of the queue it would
		// hold all others up.
		behind := r.state.GetAnswers() && r.weights(service.GetModel()) < newest
		last := r.state.GetLoad()
		if last == nil {
			last = &fleetv1.Load{}
		}
		turns.Put(r.target.GetId(), behind, r.state.GetOrdering(), last, time.Since(r.heard))
	}
	seed := uint64(naming.weights.GetRevision())
	turns.Arrange(func(id string) uint64 { return xxh3.HashStringSeed(id, seed) })
	b.knees[service.GetName()] = turns.Knee()
	return turns
}

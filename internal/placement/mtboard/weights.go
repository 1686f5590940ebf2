package mtboard

import (
	"time"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/placement/mtnaming"
)

// MergeWeights merges a model's newest weights and their ages. It reports whether they are new to
// the board.
func (b *Board) MergeWeights(weights *fleetv1.Weights) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.weightsByModel[weights.GetModel()] == nil {
		b.weightsByModel[weights.GetModel()] = mtnaming.New(b.gracePeriod)
	}
	return b.weightsByModel[weights.GetModel()].Merge(weights)
}

// naming returns what is known of a model's weights.
func (b *Board) naming(model string) *mtnaming.Naming {
	if naming := b.weightsByModel[model]; naming != nil {
		return naming
	}
	return b.unknownWeights
}

// NewestWeightsAge returns how long ago the latest weights were published.
func (b *Board) NewestWeightsAge() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	var newest time.Duration
	for _, n := range b.weightsByModel {
		age := n.Age()
		if newest == 0 || age < newest {
			newest = age
		}
	}
	return newest
}

// NewestWeightsRevision returns the highest revision of the published weights, 0 if there are
// none.
func (b *Board) NewestWeightsRevision() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	var newest int64
	for _, n := range b.weightsByModel {
		newest = max(newest, n.Newest().GetRevision())
	}
	return newest
}

// NewestWeights returns the newest weights of all models, with their ages.
func (b *Board) NewestWeights() []*fleetv1.Weights {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]*fleetv1.Weights, 0, len(b.weightsByModel))
	for _, n := range b.weightsByModel {
		list = append(list, n.Snapshot())
	}
	return list
}

package mtfront

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	"github.com/mustardtide/mustardtide/internal/placement/mtledger"
)

// namingTime is how often an entry looks whether the ages of named weights are to be
// written to the store.
const namingTime = 500 * time.Millisecond

// persistNamings reads the ages of named weights where this entry has not seen them named,
// and writes them where it is the first.
func (f *Front) persistNamings(ctx context.Context) error {
	ledger := mtledger.New(f.site.GetBounds().GetWeights().AsDuration())
	read := false
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(namingTime):
		}
		if f.away.Load() > 0 {
			continue
		}
		if !read {
			read = f.needsNamings() && f.readNamings(ctx, ledger)
			continue
		}
		if !f.first() {
			continue
		}
		if named := f.board.NewestWeights(); ledger.WriteDue(named) {
			read = f.writeNamings(ctx, ledger, &fleetv1.Namings{Weights: named})
		}
	}
}

// needsNamings says that the entry has to know the ages that the store has: it is the one
// to write them, or weights were named before it could see that.
func (f *Front) needsNamings() bool {
	return f.board.NewestWeightsRevision() > 0 && (f.first() || f.weightsListed.Load())
}

// readNamings takes in the ages that the store has; it reports whether it answered.
func (f *Front) readNamings(ctx context.Context, ledger *mtledger.Ledger) bool {
	namings, revision, err := f.store.Namings(ctx)
	if err != nil {
		f.trail.Warn(mtkind.StoreLost, zap.String("kind", "namings"), zap.Error(err))
		return false
	}
	ledger.RecordStored(namings, revision)
	for _, weights := range namings.GetWeights() {
		for _, age := range weights.GetAges() {
			// The time since the write is unknown.
			age.Certain = false
		}
		f.named(weights, "store")
	}
	return true
}

// writeNamings writes the ages. It reports false where the store has to be read again.
func (f *Front) writeNamings(ctx context.Context, ledger *mtledger.Ledger, namings *fleetv1.Namings) bool {
	revision, err := f.store.PutNamings(ctx, namings, ledger.Revision())
	if err != nil {
		if !trace.IsCompareFailed(err) {
			f.trail.Warn(mtkind.StoreLost, zap.String("kind", "namings"), zap.Error(err))
		}
		return false
	}
	ledger.RecordStored(namings, revision)
	return true
}

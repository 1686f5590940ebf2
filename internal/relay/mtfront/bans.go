package mtfront

import (
	"context"
	"fmt"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
)

// banTime is how often an entry looks whether bans are to be read from the store or written there.
const banTime = time.Second

// storedBans is what an entry knows of the store's bans.
type storedBans struct {
	revision int64
	bans     *fleetv1.Bans
	read     bool
}

// persistBans keeps the bans in the store, so that they outlast a restart of all entries. The
// first entry that follows the store reads and writes for all.
func (f *Front) persistBans(ctx context.Context) error {
	stored := &storedBans{}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(banTime):
		}
		f.culprits.Expire()
		f.logBans("own")
		if !f.first() {
			continue
		}
		if !stored.read {
			f.readBans(ctx, stored)
			continue
		}
		if bans := f.culprits.Stored(); stored.differ(bans) {
			f.writeBans(ctx, stored, bans)
		}
	}
}

// differ reports whether the store lacks a ban, a crash or a component of one, or has a ban that
// is lifted. The ages of those in both differ at any time.
func (s *storedBans) differ(bans *fleetv1.Bans) bool {
	if len(bans.GetBans()) != len(s.bans.GetBans()) {
		return true
	}
	known := keys(s.bans)
	for key := range keys(bans) {
		if !known[key] {
			return true
		}
	}
	return false
}

// keys identify bans with how often they were renewed, and crashes with their components.
func keys(bans *fleetv1.Bans) map[string]bool {
	known := map[string]bool{}
	for _, ban := range bans.GetBans() {
		known[fmt.Sprint(ban.GetTimes(), ban.GetTrials(), ban.GetComponents())] = true
	}
	for _, crash := range bans.GetCrashes() {
		for _, name := range crash.GetComponents() {
			known[fmt.Sprint(crash.GetTarget(), crash.GetBorn(), name)] = true
		}
	}
	return known
}

func (f *Front) readBans(ctx context.Context, stored *storedBans) {
	bans, revision, err := f.store.Bans(ctx)
	if err != nil {
		f.trail.Warn(mtkind.StoreLost, zap.String("kind", "bans"), zap.Error(err))
		return
	}
	stored.bans, stored.revision, stored.read = bans, revision, true
	f.culprits.Adopt(bans)
	f.logBans("store")
}

// writeBans writes the bans; where another entry has written, or the answer was lost, they are
// read first.
func (f *Front) writeBans(ctx context.Context, stored *storedBans, bans *fleetv1.Bans) {
	revision, err := f.store.PutBans(ctx, bans, stored.revision)
	if err != nil {
		if !trace.IsCompareFailed(err) {
			f.trail.Warn(mtkind.StoreLost, zap.String("kind", "bans"), zap.Error(err))
		}
		stored.read = false
		return
	}
	stored.revision, stored.bans = revision, proto.CloneOf(bans)
}

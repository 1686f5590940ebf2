package mtfront

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
)

const (
	// sizeTime is how often an entry looks after the fleet's size in the store.
	sizeTime = time.Second
	// sizeReads bounds how often an entry that starts asks the store for it.
	sizeReads = 8
	// steadyTime is how long an entry must have allocated, and seen a fleet of
	// one size, to write it.
	steadyTime = 6 * time.Second
)

// keepSize reads the fleet's size at the start, and writes it where it has changed and
// this entry allocates by it.
func (f *Front) keepSize(ctx context.Context) error {
	reads, stored, seen := 0, 0, 0
	read := false
	since := time.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(sizeTime):
		}
		if f.limited() == 0 && f.limits.Count() == 0 {
			continue
		}
		if !read && reads < sizeReads {
			reads++
			stored, read = f.readSize(ctx)
		}
		if size := max(f.quota.ObservedSize(), f.limiter.ObservedSize()); size != seen {
			seen, since = size, time.Now()
		}
		charge, allocates := f.allocating()
		if allocates && min(charge, time.Since(since)) > steadyTime && seen != stored && f.writeSize(ctx, seen) {
			stored = seen
		}
	}
}

// allocating says that this entry allocates the quotas or, where there are none, the targets'
// limits, and for how long it has.
func (f *Front) allocating() (time.Duration, bool) {
	if f.limited() > 0 {
		return f.quota.Allocating()
	}
	return f.limiter.Allocating()
}

// readSize takes in the size that the store has; it reports whether the store answered.
func (f *Front) readSize(ctx context.Context) (int, bool) {
	size, _, err := f.store.Size(ctx)
	if err != nil {
		f.trail.Metrics().Add("size_unread_total", 1)
		return 0, false
	}
	f.quota.SetStoredSize(size)
	f.limiter.SetStoredSize(size)
	return size, true
}

// writeSize writes the size; one that another entry has just written is left.
func (f *Front) writeSize(ctx context.Context, entries int) bool {
	_, revision, err := f.store.Size(ctx)
	if err == nil {
		err = f.store.PutSize(ctx, entries, revision)
	}
	if err != nil && !trace.IsCompareFailed(err) {
		f.trail.Warn(mtkind.StoreLost, zap.String("kind", "size"), zap.Error(err))
		return false
	}
	return err == nil
}

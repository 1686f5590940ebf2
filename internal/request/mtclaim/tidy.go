package mtclaim

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/outside/mtrecord"
)

// Times and sizes of packing; each step is one write.
const (
	// tidyEvery between two steps makes 64 writes a second over all shards.
	tidyEvery = 250 * time.Millisecond
	// backlog segments speed the steps up to the pace of the appends, so that
	// a long burst does not outrun them.
	backlog = 256
	// packAt segments begin a pack, so that a list of a shard stays short, and
	// keepUnpacked stay for writers that are a little behind.
	packAt       = 64
	keepUnpacked = 8
)

// doomed is a packed segment that is to be deleted.
type doomed struct {
	number uint64
	record mtrecord.Record
}

func (k *keeper) tidyPause() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.doomed)+k.core.Unpacked() > backlog {
		return gap
	}
	return tidyEvery
}

// tidy makes one step: a delete of a packed segment, lowest first, a new pack,
// or a delete of an outdated pack. It is false when there is nothing to do. A
// step that fails is made again later.
func (k *keeper) tidy(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, batchTimeout)
	defer cancel()
	if len(k.doomed) > 0 {
		if gone(k.store.Delete(ctx, k.doomed[0].record)) {
			k.doomed = k.doomed[1:]
		}
		return true
	}
	var pack *mustardtidev1.Pack
	k.locked(func() { pack = k.core.Pack(time.Now(), packAt, keepUnpacked) })
	if pack != nil {
		// A failure leaves the segments where they are.
		_ = k.pack(ctx, pack)
		return true
	}
	return k.forget(ctx)
}

// gone says that an object with this version exists no longer.
func gone(err error) bool {
	return err == nil || trace.IsNotFound(err) || trace.IsCompareFailed(err)
}

// pack writes a pack, whose segments may then be deleted.
func (k *keeper) pack(ctx context.Context, pack *mustardtidev1.Pack) error {
	data, err := proto.Marshal(pack)
	if err != nil {
		return trace.Wrap(err)
	}
	name := objectName(k.packs(), pack.GetUpto())
	if _, err := k.store.Create(ctx, name, data); err != nil && !trace.IsAlreadyExists(err) {
		return trace.Wrap(err)
	}
	var versions []string
	k.locked(func() { versions = k.core.Packed(name, pack) })
	first := pack.GetUpto() + 1 - uint64(len(versions))
	for i, version := range versions {
		number := first + uint64(i)
		record := mtrecord.New(objectName(k.segments(), number), version, nil)
		k.doomed = append(k.doomed, doomed{number: number, record: record})
	}
	return nil
}

// forget deletes a pack whose claims have all expired.
func (k *keeper) forget(ctx context.Context) bool {
	var name string
	k.locked(func() { name = k.core.Outdated(time.Now(), objectName(k.packs(), k.core.Newest())) })
	if name == "" {
		return false
	}
	record, err := k.store.Get(ctx, name)
	if err == nil {
		err = k.store.Delete(ctx, record)
	}
	if gone(err) {
		k.locked(func() { k.core.Forget(name) })
	}
	return true
}

// doom lists the segments that a pack holds already, as after their packer
// died. The lock is held.
func (k *keeper) doom(records []mtrecord.Record) {
	k.doomed = nil
	for _, record := range records {
		number, err := strconv.ParseUint(record.Name()[len(k.segments())+1:], 10, 64)
		if err == nil && number <= k.core.Newest() {
			k.doomed = append(k.doomed, doomed{number: number, record: record})
		}
	}
	slices.SortFunc(k.doomed, func(a, b doomed) int { return cmp.Compare(a.number, b.number) })
}

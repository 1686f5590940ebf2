package mtclaim

import (
	"context"
	"crypto/rand"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	"github.com/mustardtide/mustardtide/internal/request/mtstep"
)

// Groups of objects: CLAIMS.SHARD.NUMBER and PACKS.SHARD.UPTO.
const (
	segmentGroup = "claims."
	packGroup    = "packs."
)

func (k *keeper) segments() string { return segmentGroup + strconv.Itoa(k.shard) }

func (k *keeper) packs() string { return packGroup + strconv.Itoa(k.shard) }

func objectName(group string, number uint64) string {
	return group + "." + strconv.FormatUint(number, 10)
}

// settle makes the calls that the shard's state asks for until each claim has
// a record.
func (k *keeper) settle(ctx context.Context, claims []*mustardtidev1.Claim) error {
	k.locked(func() { k.core.Propose(time.Now(), rand.Text(), claims) })
	for {
		step, number := k.next()
		var err error
		switch step {
		case mtstep.Idle:
			return nil
		case mtstep.Load:
			err = k.load(ctx)
		case mtstep.Create:
			err = k.create(ctx, number)
		case mtstep.Read:
			err = k.read(ctx, number)
		case mtstep.Verify:
			err = k.read(ctx, number-1)
		}
		if err != nil {
			k.locked(k.core.Drop)
			return trace.Wrap(err)
		}
	}
}

func (k *keeper) next() (mtstep.Step, uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.core.Step(), k.core.Number()
}

func (k *keeper) locked(change func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	change()
}

// create appends the draft. A lost answer is no failure yet: the object is
// read back, and names its writer.
func (k *keeper) create(ctx context.Context, number uint64) error {
	var data []byte
	var err error
	k.locked(func() { data, err = proto.Marshal(k.core.Draft()) })
	if err != nil {
		return trace.Wrap(err)
	}
	record, err := k.store.Create(ctx, objectName(k.segments(), number), data)
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case err == nil:
		k.core.Created(record.Version())
	case trace.IsAlreadyExists(err):
		k.note(mtkind.ClaimFenced, strconv.FormatUint(number, 10))
		k.core.Taken()
	case trace.IsConnectionProblem(err) && ctx.Err() == nil:
		k.core.Unsure()
	default:
		return trace.Wrap(err)
	}
	return nil
}

// read answers the shard's Read and Verify.
func (k *keeper) read(ctx context.Context, number uint64) error {
	record, err := k.store.Get(ctx, objectName(k.segments(), number))
	if trace.IsNotFound(err) {
		k.locked(k.core.Missing)
		return nil
	}
	if err != nil {
		return trace.Wrap(err)
	}
	segment := &mustardtidev1.Segment{}
	if err := proto.Unmarshal(record.Data(), segment); err != nil {
		return trace.Wrap(err)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.core.Settled(segment) {
		k.note(mtkind.ClaimSettled, strconv.FormatUint(number, 10))
	}
	k.core.Found(record.Version(), segment)
	return nil
}

// load reads the whole shard: the segments before the packs, since a segment
// is deleted only after a pack holds it.
func (k *keeper) load(ctx context.Context) error {
	records, _, err := k.store.List(ctx, k.segments())
	if err != nil {
		return trace.Wrap(err)
	}
	packed, _, err := k.store.List(ctx, k.packs())
	if err != nil {
		return trace.Wrap(err)
	}
	segments := map[string]*mustardtidev1.Segment{}
	for _, record := range records {
		segment := &mustardtidev1.Segment{}
		if err := proto.Unmarshal(record.Data(), segment); err != nil {
			return trace.Wrap(err)
		}
		segments[record.Version()] = segment
	}
	packs := map[string]*mustardtidev1.Pack{}
	for _, record := range packed {
		pack := &mustardtidev1.Pack{}
		if err := proto.Unmarshal(record.Data(), pack); err != nil {
			return trace.Wrap(err)
		}
		packs[record.Name()] = pack
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.core.Load(segments, packs); err != nil {
		return trace.Wrap(err)
	}
	k.doom(records)
	return nil
}

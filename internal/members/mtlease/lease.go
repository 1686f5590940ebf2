// Package mtlease says who may give a target orders, by one conditionally
// updated object for each target.
//
// A lease that its holder does not give back lapses by the clock of whoever
// wants it next: the object's version has not changed for TTL. No clocks are
// compared, and a holder that was paused may still believe that it holds the
// lease. What makes that harmless is the number: it grows each time the lease
// changes hands, every order carries it, and the target's side refuses lower
// ones.
package mtlease

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
	"github.com/mustardtide/mustardtide/internal/observe/mtcode"
	"github.com/mustardtide/mustardtide/internal/outside/mtrecord"
)

// TTL is how long an unchanged lease is respected: an order that loads no
// weights takes well under a second, and an operator who died must not hold
// up the next for long.
const TTL = 10 * time.Second

// group is the objects' group: LEASES.TARGET.
const group = "leases."

// store is the part of the platform's client that leases need.
type store interface {
	Get(ctx context.Context, name string) (mtrecord.Record, error)
	Create(ctx context.Context, name string, data []byte) (mtrecord.Record, error)
	Update(ctx context.Context, old mtrecord.Record, data []byte) (mtrecord.Record, error)
}

// Lease is held by one holder. It is not safe for concurrent use.
type Lease struct {
	store  store
	record mtrecord.Record
	number uint64
}

// Number is the fencing number that orders under this lease carry.
func (l *Lease) Number() uint64 { return l.number }

// Highest reads the number of a target's newest lease; 0 if none was taken.
func Highest(ctx context.Context, platform store, target string) (uint64, error) {
	_, lease, err := read(ctx, platform, target)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	return lease.GetNumber(), nil
}

// Take gets the lease of a target; holder must be unique to this call. A live
// holder is waited for until its lease lapses; another taker that comes first
// gives a refusal with mtcode.LeaseLost.
func Take(ctx context.Context, platform store, target, holder string) (*Lease, error) {
	record, held, err := read(ctx, platform, target)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if held.GetHolder() != "" {
		if err := lapse(ctx, platform, target, record); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	next := &mustardtidev1.Lease{Holder: holder, Number: held.GetNumber() + 1}
	return write(ctx, platform, target, record, next)
}

// Release gives the lease back; its number stays. A lease that passed to
// another is left alone.
func (l *Lease) Release(ctx context.Context) error {
	data, err := proto.Marshal(&mustardtidev1.Lease{Number: l.number})
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = l.store.Update(ctx, l.record, data)
	if trace.IsCompareFailed(err) {
		return nil
	}
	return trace.Wrap(err)
}

// lapse waits until a held lease was unchanged for TTL, by this clock.
func lapse(ctx context.Context, platform store, target string, seen mtrecord.Record) error {
	select {
	case <-time.After(TTL):
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
	now, held, err := read(ctx, platform, target)
	if err != nil {
		return trace.Wrap(err)
	}
	if now.Version() != seen.Version() {
		return lost(held.GetHolder())
	}
	return nil
}

func read(ctx context.Context, platform store, target string) (mtrecord.Record, *mustardtidev1.Lease, error) {
	lease := &mustardtidev1.Lease{}
	record, err := platform.Get(ctx, group+target)
	if trace.IsNotFound(err) {
		return mtrecord.Record{}, lease, nil
	}
	if err != nil {
		return record, nil, trace.Wrap(err)
	}
	return record, lease, trace.Wrap(proto.Unmarshal(record.Data(), lease))
}

// write takes the lease if nobody else did. A lost answer is settled by
// reading back: the object names its holder.
func write(ctx context.Context, platform store, target string, old mtrecord.Record, next *mustardtidev1.Lease) (*Lease, error) {
	data, err := proto.Marshal(next)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var record mtrecord.Record
	if old.Version() == "" {
		record, err = platform.Create(ctx, group+target, data)
	} else {
		record, err = platform.Update(ctx, old, data)
	}
	if trace.IsConnectionProblem(err) {
		var held *mustardtidev1.Lease
		record, held, err = read(ctx, platform, target)
		if err == nil && held.GetHolder() != next.GetHolder() {
			return nil, lost(held.GetHolder())
		}
	}
	if trace.IsCompareFailed(err) || trace.IsAlreadyExists(err) {
		return nil, lost("another")
	}
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Lease{store: platform, record: record, number: next.GetNumber()}, nil
}

func lost(holder string) error {
	return trace.Wrap(mtrefusal.New(mtcode.LeaseLost, "held by "+holder).WithRetryAfter(TTL))
}

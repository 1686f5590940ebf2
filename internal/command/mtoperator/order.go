package mtoperator

import (
	"context"
	"crypto/rand"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/gen/mustardtide/v1/mustardtidev1connect"
	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
	"github.com/mustardtide/mustardtide/internal/members/mtlease"
)

// Order takes a target's lease, lets its sidecar carry the order out, and gives
// the lease back. It returns the order's fencing number.
func (o *Operator) Order(ctx context.Context, name string, order *mustardtidev1.Order) (uint64, error) {
	member, err := o.find(ctx, name)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	lease, err := mtlease.Take(ctx, o.platform, name, rand.Text())
	if err != nil {
		return 0, trace.Wrap(err)
	}
	sidecar := mustardtidev1connect.NewSidecarServiceClient(o.http, o.net.Scheme()+"://"+member.GetAddress())
	reply, err := sidecar.Order(ctx, connect.NewRequest(&mustardtidev1.OrderRequest{Number: lease.Number(), Order: order}))
	// A lease that can't be given back lapses.
	_ = lease.Release(ctx)
	if err != nil {
		return lease.Number(), trace.ConnectionProblem(err, "%s did not answer; order %d may be carried out", name, lease.Number())
	}
	if refusal := mtrefusal.FromMessage(reply.Msg.GetRefusal()); refusal != nil {
		return lease.Number(), trace.Wrap(refusal)
	}
	return lease.Number(), nil
}

// find returns the process of a name.
func (o *Operator) find(ctx context.Context, name string) (*mustardtidev1.Member, error) {
	members, err := o.members(ctx)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	for _, m := range members {
		if m.GetName() == name {
			return m, nil
		}
	}
	return nil, trace.NotFound("no process is named %s; look at `mustardtide status`", name)
}

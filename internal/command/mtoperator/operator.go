// Package mtoperator is the operator's side of the control service: it finds
// the processes and asks them.
package mtoperator

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/gen/mustardtide/v1/mustardtidev1connect"
	"github.com/mustardtide/mustardtide/internal/observe/mttimeline"
	"github.com/mustardtide/mustardtide/internal/outside/mtplatform"
	"github.com/mustardtide/mustardtide/internal/role/mtnet"
)

// Bounds of asking a fleet: one process that hangs does not hold the answer,
// and at most so many are asked at once.
const (
	askTimeout = 3 * time.Second
	atOnce     = 64
)

// Operator asks the processes of a fleet.
type Operator struct {
	net      *mtnet.Net
	platform *mtplatform.Client
	peers    []string
	http     *http.Client
}

// New returns an operator who finds the processes in the platform's list, or
// asks the given addresses alone.
func New(network *mtnet.Net, platform *mtplatform.Client, peers []string) *Operator {
	return &Operator{net: network, platform: platform, peers: peers, http: &http.Client{Transport: network.Internal()}}
}

// Close ends the connections.
func (o *Operator) Close() { o.http.CloseIdleConnections() }

// Statuses asks every process for its status. A process that does not answer
// has a status with its name and role only.
func (o *Operator) Statuses(ctx context.Context) ([]*mustardtidev1.StatusReply, error) {
	members, err := o.members(ctx)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	statuses := make([]*mustardtidev1.StatusReply, len(members))
	o.each(ctx, members, func(ctx context.Context, i int, client mustardtidev1connect.ControlServiceClient) {
		reply, err := client.Status(ctx, connect.NewRequest(&mustardtidev1.StatusRequest{}))
		if err != nil {
			statuses[i] = &mustardtidev1.StatusReply{Name: members[i].GetName(), Role: members[i].GetRole()}
			return
		}
		statuses[i] = reply.Msg
	})
	slices.SortFunc(statuses, func(a, b *mustardtidev1.StatusReply) int {
		return strings.Compare(a.GetRole()+a.GetName(), b.GetRole()+b.GetName())
	})
	return statuses, nil
}

// Timeline collects the events that match ask from every process. It returns
// the names of those that did not answer as well.
func (o *Operator) Timeline(ctx context.Context, ask *mustardtidev1.EventsRequest) (*mttimeline.Timeline, []string, error) {
	members, err := o.members(ctx)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	replies := make([]*mustardtidev1.EventsReply, len(members))
	o.each(ctx, members, func(ctx context.Context, i int, client mustardtidev1connect.ControlServiceClient) {
		if reply, err := client.Events(ctx, connect.NewRequest(ask)); err == nil {
			replies[i] = reply.Msg
		}
	})
	timeline := mttimeline.New()
	var silent []string
	for i, reply := range replies {
		if reply == nil {
			silent = append(silent, members[i].GetName())
			continue
		}
		timeline.Add(members[i].GetName(), reply)
	}
	return timeline, silent, nil
}

// Drain starts the graceful stop of one process and returns the requests that
// it still has.
func (o *Operator) Drain(ctx context.Context, name string) (uint32, error) {
	m, err := o.find(ctx, name)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	reply, err := o.client(m).Drain(ctx, connect.NewRequest(&mustardtidev1.DrainRequest{}))
	if err != nil {
		return 0, trace.ConnectionProblem(err, "%s did not answer; look at `mustardtide status`", name)
	}
	return reply.Msg.GetRunning(), nil
}

// members lists whom to ask.
func (o *Operator) members(ctx context.Context) ([]*mustardtidev1.Member, error) {
	if len(o.peers) == 0 {
		members, _, err := o.platform.Instances(ctx)
		return members, trace.Wrap(err, "the list of instances can't be read; name processes with --peer")
	}
	members := make([]*mustardtidev1.Member, 0, len(o.peers))
	for _, address := range o.peers {
		members = append(members, &mustardtidev1.Member{Name: address, Address: address})
	}
	return members, nil
}

func (o *Operator) client(m *mustardtidev1.Member) mustardtidev1connect.ControlServiceClient {
	return mustardtidev1connect.NewControlServiceClient(o.http, o.net.Scheme()+"://"+m.GetAddress())
}

// each calls ask for every member, some at once, and waits for all.
func (o *Operator) each(ctx context.Context, members []*mustardtidev1.Member, ask func(context.Context, int, mustardtidev1connect.ControlServiceClient)) {
	var group errgroup.Group
	group.SetLimit(atOnce)
	for i, m := range members {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			ask(ctx, i, o.client(m))
			return nil
		})
	}
	_ = group.Wait()
}

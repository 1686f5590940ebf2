// Package mtcontrol is the control service that every daemon answers: settings
// for peers, status, drain and events for operators.
package mtcontrol

import (
	"context"

	"connectrpc.com/connect"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/members/mtlist"
	"github.com/mustardtide/mustardtide/internal/observe/mtevent"
	"github.com/mustardtide/mustardtide/internal/request/mtculprit"
	"github.com/mustardtide/mustardtide/internal/settings/mtspread"
)

// Control implements the generated ControlServiceHandler.
type Control struct {
	log    *mtevent.Log
	spread *mtspread.Spread
	list   *mtlist.List
	status func() *mustardtidev1.StatusReply
	drain  func() uint32
	bans   func() [][]byte
	// culprits are told in every message.
	culprits *mtculprit.Culprits
}

// New returns the control service of one process. status describes it; drain
// starts its graceful stop and returns the requests still under way.
func New(log *mtevent.Log, spread *mtspread.Spread, list *mtlist.List, status func() *mustardtidev1.StatusReply, drain func() uint32) *Control {
	return &Control{log: log, spread: spread, list: list, status: status, drain: drain}
}

// Carry adds to every message what this process has quarantined of late, and what it knows of
// crashes.
func (c *Control) Carry(bans func() [][]byte, culprits *mtculprit.Culprits) {
	c.bans, c.culprits = bans, culprits
}

// Peer is what every message of this process carries.
func (c *Control) Peer() *mustardtidev1.Peer {
	peer := &mustardtidev1.Peer{
		Stamp:    c.log.Clock().Now(),
		Revision: c.spread.Snapshot().Revision(),
		Source:   c.log.Source(),
	}
	if c.bans != nil {
		peer.Bans = c.bans()
	}
	if c.culprits != nil && c.culprits.Suspecting() {
		peer.Culprits = &fleetv1.Digest{}
		c.culprits.Tell(peer.Culprits)
	}
	return peer
}

// Status describes the process.
func (c *Control) Status(_ context.Context, ask *connect.Request[mustardtidev1.StatusRequest]) (*connect.Response[mustardtidev1.StatusReply], error) {
	c.log.Clock().See(ask.Msg.GetPeer().GetStamp())
	reply := c.status()
	reply.Peer = c.Peer()
	reply.Members = c.list.All()
	return connect.NewResponse(reply), nil
}

// Drain starts the process's graceful stop.
func (c *Control) Drain(_ context.Context, ask *connect.Request[mustardtidev1.DrainRequest]) (*connect.Response[mustardtidev1.DrainReply], error) {
	c.log.Clock().See(ask.Msg.GetPeer().GetStamp())
	return connect.NewResponse(&mustardtidev1.DrainReply{Peer: c.Peer(), Running: c.drain()}), nil
}

// Events gives the process's share of the timeline.
func (c *Control) Events(_ context.Context, ask *connect.Request[mustardtidev1.EventsRequest]) (*connect.Response[mustardtidev1.EventsReply], error) {
	c.log.Clock().See(ask.Msg.GetPeer().GetStamp())
	events, dropped := c.log.Events(ask.Msg)
	return connect.NewResponse(&mustardtidev1.EventsReply{Peer: c.Peer(), Events: events, Dropped: dropped}), nil
}

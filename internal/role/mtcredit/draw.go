package mtcredit

import (
	"context"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtquota"
)

// Draw answers another entry's draws. An entry without settings knows no rate and would
// grant whatever it is asked.
func (c *Credit) Draw(_ context.Context, ask *connect.Request[mustardtidev1.DrawRequest]) (*connect.Response[mustardtidev1.DrawReply], error) {
	if c.spread.Snapshot().Revision() == 0 {
		return nil, connect.NewError(connect.CodeUnavailable, trace.NotFound("no settings yet"))
	}
	c.quota.SetPeerSize(int(ask.Msg.GetEntries()))
	reply := &mustardtidev1.DrawReply{Peer: c.control.Peer(), Entries: uint32(c.quota.ObservedSize())}
	for _, draw := range ask.Msg.GetDraws() {
		if grant := c.allocator.Answer(ask.Msg.GetPeer().GetSource(), draw, c.quota.Entries(), c.account); grant != nil {
			reply.Grants = append(reply.Grants, grant)
		}
	}
	return connect.NewResponse(reply), nil
}

// drawHere answers a draw of this entry's own.
func (c *Credit) drawHere(message mtquota.Message) {
	if grant := c.allocator.Answer(c.name, message.Draw(), c.quota.Entries(), c.account); grant != nil {
		c.quota.Receive(c.name, grant)
	}
}

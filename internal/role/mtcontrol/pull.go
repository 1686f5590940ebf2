package mtcontrol

import (
	"context"
	"encoding/hex"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
)

// Pull gives a peer that is behind the manifest in force, the chunks that it
// wants, and the list of instances where it has another one.
func (c *Control) Pull(_ context.Context, ask *connect.Request[mustardtidev1.PullRequest]) (*connect.Response[mustardtidev1.PullReply], error) {
	c.log.Clock().See(ask.Msg.GetPeer().GetStamp())
	manifest := c.spread.Manifest()
	reply := &mustardtidev1.PullReply{Peer: c.Peer()}
	if manifest.Revision() > ask.Msg.GetPeer().GetRevision() {
		reply.Manifest = manifest.Head()
	}
	for _, digest := range ask.Msg.GetWant() {
		name := hex.EncodeToString(digest)
		if text := manifest.Chunk(name); text != nil {
			reply.Chunks = append(reply.Chunks, &mustardtidev1.Chunk{Digest: name, Text: text})
		}
	}
	if len(ask.Msg.GetWant()) == 0 {
		c.members(ask.Msg.GetList(), reply)
	}
	return connect.NewResponse(reply), nil
}

// members adds what the asker's list of instances lacks, or the whole list
// where the asker is too far behind.
func (c *Control) members(has uint64, reply *mustardtidev1.PullReply) {
	reply.Known = c.list.Known()
	reply.Age = durationpb.New(c.list.Age())
	changed, gone, ok := c.list.Since(has)
	if !ok {
		reply.Members = c.list.All()
		return
	}
	reply.Partial = true
	reply.Members = changed
	reply.Gone = gone
}

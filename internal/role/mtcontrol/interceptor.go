package mtcontrol

import (
	"context"

	"connectrpc.com/connect"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/settings/mtword"
)

// carrier is every message between the system's processes.
type carrier interface {
	GetPeer() *mustardtidev1.Peer
}

// Interceptor takes in what each received message says of its sender: the
// logical clock and the settings revision. It serves handlers and clients, so
// that a process which is behind learns of it from whatever it receives.
func (c *Control) Interceptor() connect.Interceptor { return interceptor{control: c} }

type interceptor struct {
	control *Control
}

func (i interceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, ask connect.AnyRequest) (connect.AnyResponse, error) {
		if !ask.Spec().IsClient {
			i.control.hear(ask.Any())
		}
		reply, err := next(ctx, ask)
		if err == nil && ask.Spec().IsClient {
			i.control.hear(reply.Any())
		}
		return reply, err
	}
}

func (i interceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		return clientConn{StreamingClientConn: next(ctx, spec), control: i.control}
	}
}

func (i interceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, conn connect.StreamingHandlerConn) error {
		return next(ctx, handlerConn{StreamingHandlerConn: conn, control: i.control})
	}
}

// clientConn hears what a stream receives.
type clientConn struct {
	connect.StreamingClientConn
	control *Control
}

func (c clientConn) Receive(message any) error {
	err := c.StreamingClientConn.Receive(message)
	if err == nil {
		c.control.hear(message)
	}
	return err
}

// handlerConn hears what a stream receives.
type handlerConn struct {
	connect.StreamingHandlerConn
	control *Control
}

func (c handlerConn) Receive(message any) error {
	err := c.StreamingHandlerConn.Receive(message)
	if err == nil {
		c.control.hear(message)
	}
	return err
}

// from is the sender's address where a message tells it.
func from(message any) string {
	if m, ok := message.(*mustardtidev1.PullRequest); ok {
		return m.GetFrom()
	}
	return ""
}

func (c *Control) hear(message any) {
	if m, ok := message.(carrier); ok {
		c.log.Clock().See(m.GetPeer().GetStamp())
		c.spread.Hear(mtword.New(m.GetPeer(), from(message)))
	}
}

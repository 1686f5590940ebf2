package mtserver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// resting knows which connections wait for their next request, so that they can
// be closed without a doubt about the requests that cross the close: such a
// request is read, and must not be begun, as its answer goes nowhere.
type resting struct {
	mu sync.Mutex
	// conns are the open connections.
	conns map[net.Conn]*conn
}

// conn is one connection.
type conn struct {
	rests bool
	// closed is set before the connection is closed at rest.
	closed atomic.Bool
}

// connKey is that of a request's connection in its context.
type connKey struct{}

// watch lets the server tell of its connections.
func (r *resting) watch(server *http.Server) {
	r.conns = map[net.Conn]*conn{}
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		r.mu.Lock()
		defer r.mu.Unlock()
		known := &conn{}
		r.conns[c] = known
		return context.WithValue(ctx, connKey{}, known)
	}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		r.mu.Lock()
		defer r.mu.Unlock()
		known := r.conns[c]
		switch {
		case state == http.StateClosed || state == http.StateHijacked:
			delete(r.conns, c)
		case known != nil:
			known.rests = state == http.StateIdle
		}
	}
}

// closeAll closes what rests. A connection whose request is noted as begun only
// afterwards is among the closed.
func (r *resting) closeAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c, known := range r.conns {
		if known.rests {
			known.closed.Store(true)
			// Its reader notes the end and forgets the connection.
			_ = c.Close()
		}
	}
}

// Closed says that a request's connection was closed at rest while the request
// came in.
func Closed(ctx context.Context) bool {
	known, ok := ctx.Value(connKey{}).(*conn)
	return ok && known.closed.Load()
}

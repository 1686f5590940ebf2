package mtserver

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/mustardtide/mustardtide/internal/admission/mtconnection"
	"github.com/mustardtide/mustardtide/internal/role/mtnet"
)

// guard is a listener whose connections are those of a table.
type guard struct {
	net.Listener
	table *mtconnection.Table
}

// Accept returns the next connection for which there is room.
func (g *guard) Accept() (net.Conn, error) {
	for {
		c, err := g.Listener.Accept()
		if err != nil {
			return nil, err
		}
		known := g.table.Open(func() { _ = c.Close() })
		if known == nil {
			_ = c.Close()
			continue
		}
		// Where the system refuses, its own bound holds.
		_ = mtnet.Widen(c, known.Buffer())
		return &conn{Conn: c, known: known}, nil
	}
}

// conn counts what comes of requests' heads.
type conn struct {
	net.Conn
	known *mtconnection.Connection
}

// largeHead is the answer to a head over the configured limit, as net/http gives it.
const largeHead = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n"

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(c.known.Read(n), mtconnection.ErrHead) {
		// A client that has gone does not read it.
		_, _ = io.WriteString(c.Conn, largeHead)
		return 0, io.EOF
	}
	return n, err
}

func (c *conn) Write(p []byte) (int, error) {
	c.known.Writing()
	defer c.known.Written()
	return c.Conn.Write(p)
}

func (c *conn) Close() error {
	c.known.Close()
	return c.Conn.Close()
}

// CloseWrite lets the server end its side first, so that a refusal is read.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetLinger is the connection's, where it has one.
func (c *conn) SetLinger(seconds int) error {
	if lingering, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return lingering.SetLinger(seconds)
	}
	return nil
}

// connKey is that of a request's connection in its context.
type connKey struct{}

// watch lets the server tell of its connections.
func watch(server *http.Server) {
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if guarded, ok := c.(*conn); ok {
			return context.WithValue(ctx, connKey{}, guarded.known)
		}
		return ctx
	}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		guarded, ok := c.(*conn)
		if !ok {
			return
		}
		switch state {
		case http.StateIdle:
			guarded.known.Rest()
		case http.StateClosed, http.StateHijacked:
			guarded.known.Close()
		case http.StateNew, http.StateActive:
		}
	}
}

// Connection returns the connection of a request's context, nil if it has no bounds.
func Connection(ctx context.Context) *mtconnection.Connection {
	known, _ := ctx.Value(connKey{}).(*mtconnection.Connection)
	return known
}

// Closed says that a request's connection was closed while the request came in.
func Closed(ctx context.Context) bool { return Connection(ctx).Crossed() }

// begin passes on the requests for which there is room, and refuses the others: they have not run.
func begin(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, in *http.Request) {
		known := Connection(in.Context())
		if !known.Begin() {
			known.Refused()
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", fullAgain)
			http.Error(w, "too many requests are being served", http.StatusServiceUnavailable)
			// The server would wait for the rest of the body.
			StopReading(http.NewResponseController(w))
			return
		}
		handler.ServeHTTP(w, in)
	})
}

// StopReading ends the reading of a request's body, now and from now on.
func StopReading(control *http.ResponseController) {
	// A writer without deadlines is a test's recorder.
	_ = control.SetReadDeadline(time.Unix(1, 0))
}

// fullAgain is when a caller that found no room should ask again, in seconds.
const fullAgain = "1"

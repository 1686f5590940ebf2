package mtwire

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
)

// pair is both ends of one connection.
type pair struct {
	client *conn
	server *conn
}

// conn is one end. A silent one swallows what is written and reads nothing,
// until it is closed.
type conn struct {
	net.Conn
	remote net.Addr
	gate   *gate
	far    *gate
	held   held
	silent atomic.Bool
	// abrupt says that closing this end resets the connection; other is the other end.
	abrupt atomic.Bool
	other  *conn
	once   sync.Once
	closed chan struct{}
}

func newPair(address net.Addr, dialer, listener *gate) *pair {
	client, server := net.Pipe()
	p := &pair{
		client: &conn{Conn: client, remote: address, gate: dialer, far: listener, closed: make(chan struct{})},
		server: &conn{Conn: server, remote: address, gate: listener, far: dialer, closed: make(chan struct{})},
	}
	p.client.other, p.server.other = p.server, p.client
	return p
}

// SetLinger with 0 seconds lets Close reset the connection, as that of a net.TCPConn does.
func (c *conn) SetLinger(seconds int) error {
	c.abrupt.Store(seconds == 0)
	return nil
}

// Read reads from the other end; a silent connection's reader waits until it
// gives up and closes.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		c.gate.wait(c.closed)
		if errors.Is(err, io.EOF) && c.other.abrupt.Load() {
			err = syscall.ECONNRESET
		}
		if !c.silent.Load() || errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if err != nil {
			<-c.closed
			return 0, net.ErrClosed
		}
	}
}

// Write writes to the other end, or to nowhere.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	if c.hold(p) {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes this end.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// RemoteAddr is the listener's address.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// LocalAddr is the listener's address too: no dialer here has one of its own.
func (c *conn) LocalAddr() net.Addr { return c.remote }

func (c *conn) silence() { c.silent.Store(true) }

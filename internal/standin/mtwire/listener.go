package mtwire

import (
	"net"
	"sync"
)

type listener struct {
	wire    *Wire
	address *net.TCPAddr
	conns   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close refuses further connections.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.wire.drop(l)
	})
	return nil
}

// Addr is the address listened on.
func (l *listener) Addr() net.Addr { return l.address }

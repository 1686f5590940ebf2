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

// Close refuses further connections and closes those that were not accepted.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.wire.drop(l)
		l.closeQueued()
	})
	return nil
}

func (l *listener) closeQueued() {
	for {
		select {
		case c := <-l.conns:
			_ = c.Close()
		default:
			return
		}
	}
}

// Addr is the address listened on.
func (l *listener) Addr() net.Addr { return l.address }

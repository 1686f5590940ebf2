// Package mtproxy is a TCP proxy on loopback that misbehaves on demand, for
// faults that are injected into real processes from outside.
package mtproxy

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Mode is how a proxy treats its connections.
type Mode int

// Modes: bytes pass; pass late; are swallowed on the way there, on the way back,
// or both; new connections are refused.
const (
	Pass Mode = iota
	Delay
	SwallowThere
	SwallowBack
	Silence
	Refuse
)

// delay is what Delay adds to each piece.
const delay = 80 * time.Millisecond

// pieceSize is how much is passed on at once.
const pieceSize = 16 << 10

// Proxy passes connections from its address on to another.
type Proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  Mode
	conns map[net.Conn]bool
	ended chan struct{}
}

// Listen opens a proxy.
func Listen(ctx context.Context, address, target string) (*Proxy, error) {
	config := net.ListenConfig{}
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, conns: map[net.Conn]bool{}, ended: make(chan struct{})}
	go p.accept(ctx)
	return p, nil
}

// Address is where it listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes how connections are treated, open ones too.
func (p *Proxy) Set(mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
}

// Reset breaks all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		reset(conn)
	}
}

// reset closes a connection with a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// Close ends the proxy.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset()
	<-p.ended
}

func (p *Proxy) accept(ctx context.Context) {
	defer close(p.ended)
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.now() == Refuse {
			_ = conn.Close()
			continue
		}
		far, err := (&net.Dialer{}).DialContext(ctx, "tcp", p.target)
		if err != nil {
			_ = conn.Close()
			continue
		}
		p.hold(conn, far)
		go p.pass(conn, far, SwallowThere)
		go p.pass(far, conn, SwallowBack)
	}
}

func (p *Proxy) now() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *Proxy) hold(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		p.conns[conn] = true
	}
}

// pass copies one way until either end closes; swallow is the mode that drops
// this way's bytes.
func (p *Proxy) pass(from, to net.Conn, swallow Mode) {
	defer p.drop(from, to)
	buffer := make([]byte, pieceSize)
	for {
		n, err := from.Read(buffer)
		mode := p.now()
		if mode == Delay {
			time.Sleep(delay)
		}
		if n > 0 && mode != swallow && mode != Silence {
			if _, failure := to.Write(buffer[:n]); failure != nil {
				return
			}
		}
		if errors.Is(err, io.EOF) {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
		if errors.Is(err, syscall.ECONNRESET) {
			reset(to)
			return
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// drop forgets a pair once both ways have ended; the second call closes it.
func (p *Proxy) drop(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		if p.conns[conn] {
			p.conns[conn] = false
			continue
		}
		_ = conn.Close()
		delete(p.conns, conn)
	}
}

// Package mtwire is a network in memory, whose connections can be cut or
// silenced, so that the real roles run under a paused clock.
package mtwire

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"

	"github.com/mustardtide/mustardtide/internal/role/mtnet"
)

// backlog is the number of connections that wait for an accept.
const backlog = 64

// errRefused is what a dial to an address without a listener gets.
var errRefused = errors.New("connection refused")

// Wire connects listeners and dialers by their addresses, IP:port each.
type Wire struct {
	mu        sync.Mutex
	listeners map[string]*listener
	pairs     map[string][]*pair
	down      map[string]bool
	gates     map[string]*gate
}

// New returns a network without listeners.
func New() *Wire {
	return &Wire{listeners: map[string]*listener{}, pairs: map[string][]*pair{}, down: map[string]bool{}, gates: map[string]*gate{}}
}

// Net is this network as roles take it.
func (w *Wire) Net() *mtnet.Net { return mtnet.New(w.Listen, w.Dial) }

// Listen opens an address.
func (w *Wire) Listen(address string) (net.Listener, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	l := &listener{wire: w, address: net.TCPAddrFromAddrPort(at), conns: make(chan net.Conn, backlog), closed: make(chan struct{})}
	w.listeners[address] = l
	return l, nil
}

// Dial connects to an address.
func (w *Wire) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	return w.dial(ctx, "", address)
}

func (w *Wire) dial(ctx context.Context, party, address string) (net.Conn, error) {
	client, server := w.gate(party), w.gate(address)
	w.mu.Lock()
	l := w.listeners[address]
	down := w.down[address]
	w.mu.Unlock()
	if l == nil || down {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errRefused}
	}
	p := newPair(l.address, client, server)
	select {
	case l.conns <- p.server:
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errRefused}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	w.mu.Lock()
	w.pairs[address] = append(w.pairs[address], p)
	w.mu.Unlock()
	return p.client, nil
}

// Cut breaks every open connection to an address; new ones work.
func (w *Wire) Cut(address string) {
	for _, p := range w.take(address) {
		_ = p.client.Close()
		_ = p.server.Close()
	}
}

// Silence makes every open connection to an address lose all that is sent from
// now on, both ways, without an error; new ones work.
func (w *Wire) Silence(address string) {
	for _, p := range w.take(address) {
		p.client.silence()
		p.server.silence()
	}
}

// Down makes dials to an address fail, or work again.
func (w *Wire) Down(address string, down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down[address] = down
}

func (w *Wire) take(address string) []*pair {
	w.mu.Lock()
	defer w.mu.Unlock()
	taken := w.pairs[address]
	delete(w.pairs, address)
	return taken
}

func (w *Wire) drop(l *listener) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.listeners[l.address.String()] == l {
		delete(w.listeners, l.address.String())
	}
}

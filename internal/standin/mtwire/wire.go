// Package mtwire is a network in memory, whose connections can be cut or
// silenced, so that the real roles run under a paused clock.
package mtwire

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/mustardtide/mustardtide/internal/role/mtnet"
)

// callerIdle is the number of idle connections that callers keep.
const callerIdle = 64

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
	// delays are how long dials take.
	delays map[route]time.Duration
	gates  map[string]*gate
	// parted are the routes that lead nowhere, each with a channel that is closed when it
	// is mended.
	parted map[route]chan struct{}
}

// route leads from a dialing party to an address.
type route struct{ party, address string }

// New returns a network without listeners.
func New() *Wire {
	return &Wire{
		listeners: map[string]*listener{}, pairs: map[string][]*pair{}, down: map[string]bool{}, delays: map[route]time.Duration{}, gates: map[string]*gate{},
		parted: map[route]chan struct{}{},
	}
}

// Net is this network as roles take it.
func (w *Wire) Net() *mtnet.Net { return mtnet.New(w.Listen, w.Dial) }

// Transport is that of net/http on this network, for callers of the system.
func (w *Wire) Transport() *http.Transport {
	return &http.Transport{DialContext: w.Dial, MaxIdleConnsPerHost: callerIdle, DisableCompression: true}
}

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
	down, parted, delay := w.down[address], w.parted[route{party, address}], w.delays[route{party, address}]
	w.mu.Unlock()
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if parted != nil {
		select {
		case <-parted:
		case <-ctx.Done():
		}
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errRefused}
	}
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
	select {
	case <-l.closed:
		// The listener was closed while the connection was queued, perhaps too late for
		// its Close to see it.
		l.closeQueued()
	default:
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

// Part separates a party that NetOf names from an address: its open connections there
// lose all that is sent, and its dials get no answer. What it returns mends that: those
// connections break, and new ones work.
func (w *Wire) Part(party, address string) (mend func()) {
	gate := w.gate(party)
	w.mu.Lock()
	defer w.mu.Unlock()
	way := route{party, address}
	mended := make(chan struct{})
	w.parted[way] = mended
	var silent []*pair
	for _, p := range w.pairs[address] {
		if p.client.gate == gate {
			p.client.silence()
			p.server.silence()
			silent = append(silent, p)
		}
	}
	return func() {
		w.mu.Lock()
		delete(w.parted, way)
		w.mu.Unlock()
		close(mended)
		for _, p := range silent {
			_ = p.client.Close()
			_ = p.server.Close()
		}
	}
}

// Delay lets the dials of a party that NetOf names to an address take a time.
func (w *Wire) Delay(party, address string, delay time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.delays[route{party, address}] = delay
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

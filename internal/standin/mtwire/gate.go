package mtwire

import (
	"context"
	"net"
	"sync"

	"github.com/mustardtide/mustardtide/internal/role/mtnet"
)

// gate holds up what one party reads and writes while it is paused.
type gate struct {
	mu     sync.Mutex
	paused chan struct{}
}

func (g *gate) pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.paused == nil {
		g.paused = make(chan struct{})
	}
}

func (g *gate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.paused != nil {
		close(g.paused)
		g.paused = nil
	}
}

// isPaused says whether the party is paused.
func (g *gate) isPaused() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.paused != nil
}

// wait returns when the party is not paused, or when closed closes.
func (g *gate) wait(closed <-chan struct{}) {
	g.mu.Lock()
	paused := g.paused
	g.mu.Unlock()
	if paused == nil {
		return
	}
	select {
	case <-paused:
	case <-closed:
	}
}

// NetOf is this network as the named party takes it, which Pause can hold up.
func (w *Wire) NetOf(party string) *mtnet.Net {
	dial := func(ctx context.Context, _, address string) (net.Conn, error) {
		w.gate(party).wait(ctx.Done())
		return w.dial(ctx, party, address)
	}
	return mtnet.New(w.Listen, dial)
}

// Pause holds up all that parties read and write from now on: the dialers
// named by NetOf, and whoever listens at an address. Nothing is lost; others
// can't tell a paused party from a slow one.
func (w *Wire) Pause(parties ...string) {
	for _, party := range parties {
		w.gate(party).pause()
	}
}

// Resume lets paused parties go on.
func (w *Wire) Resume(parties ...string) {
	for _, party := range parties {
		w.gate(party).resume()
	}
}

func (w *Wire) gate(party string) *gate {
	w.mu.Lock()
	defer w.mu.Unlock()
	g, ok := w.gates[party]
	if !ok {
		g = &gate{}
		w.gates[party] = g
	}
	return g
}

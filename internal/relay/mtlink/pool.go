// Package mtlink pools connections to targets and sends requests over them.
//
// It does not use net/http's transport, which retries some requests by itself when a
// kept connection breaks: that could run a request twice that must run at most once.
// The transport also hides how much of a request was sent.
package mtlink

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

const (
	// maxIdleTime is how long an idle connection is kept unless the target's own time-out
	// is shorter. It is short compared with usual server idle time-outs, as a request that
	// coincides with the target's close may have run.
	maxIdleTime = 4 * time.Second
	// idleShare is the share of the target's own idle time-out that is used.
	idleShare = 0.6
	// maxIdlePerTarget limits the idle connections kept per address, unless KeepIdle says otherwise.
	maxIdlePerTarget = 32
)

// Pool holds idle connections by address. It is safe for concurrent use.
type Pool struct {
	dial func(ctx context.Context, address string) (net.Conn, error)

	// maxIdle limits the idle connections to all targets, 0 for no limit.
	maxIdle int
	// idleTime and idlePerTarget limit how long an idle connection is kept, and how many of them per
	// address.
	idleTime      time.Duration
	idlePerTarget int

	mu   sync.Mutex
	idle map[string][]*Link
	// kept is the number of idle connections.
	kept int

	dialed func()
}

// NewPool returns an empty pool; dialed is called for each new connection.
func NewPool(dial func(ctx context.Context, address string) (net.Conn, error), dialed func()) *Pool {
	return &Pool{dial: dial, idleTime: maxIdleTime, idlePerTarget: maxIdlePerTarget, idle: map[string][]*Link{}, dialed: dialed}
}

// KeepIdle sets for how long idle connections are kept unless their targets say less, and how many per
// address. It is called before Take.
func (p *Pool) KeepIdle(idle time.Duration, perTarget int) {
	p.idleTime, p.idlePerTarget = idle, perTarget
}

// BoundIdle limits the idle connections to all targets, 0 for no limit. It is called before Take.
func (p *Pool) BoundIdle(limit int) { p.maxIdle = limit }

// Idle is the number of idle connections.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.kept
}

// Take returns an idle connection that is still usable, or a new one. An error means that
// nothing was sent.
func (p *Pool) Take(ctx context.Context, address string) (*Link, error) {
	for {
		link := p.pop(address)
		if link == nil {
			break
		}
		if link.usable() {
			return link, nil
		}
		link.Close()
	}
	conn, err := p.dial(ctx, address)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "%s can't be reached", address)
	}
	p.dialed()
	return newLink(p, address, conn), nil
}

// Sweep closes connections that have been idle for too long, and those to addresses that
// are not in use.
func (p *Pool) Sweep(used func(address string) bool) {
	now := time.Now()
	var closing []*Link
	p.mu.Lock()
	for address, links := range p.idle {
		kept := links[:0]
		for _, link := range links {
			if now.Before(link.expires) && used(address) {
				kept = append(kept, link)
			} else {
				closing = append(closing, link)
				p.kept--
			}
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, link := range closing {
		link.Close()
	}
}

// pop removes and returns the most recently used connection, so that the others expire.
func (p *Pool) pop(address string) *Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	links := p.idle[address]
	if len(links) == 0 {
		return nil
	}
	link := links[len(links)-1]
	p.idle[address] = links[:len(links)-1]
	p.kept--
	return link
}

func (p *Pool) push(link *Link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[link.address]) >= p.idlePerTarget || p.maxIdle > 0 && p.kept >= p.maxIdle {
		return false
	}
	p.kept++
	p.idle[link.address] = append(p.idle[link.address], link)
	return true
}

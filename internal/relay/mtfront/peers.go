package mtfront

import (
	"sync"
	"time"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/relay/mtpulse"
)

const (
	// peerTime is how long another entry counts as live after a sidecar named it.
	peerTime = 2 * time.Second
	// maxPeers bounds the entries that are told: in a larger fleet each tells a
	// few, and the sidecars tell the rest.
	maxPeers = 32
)

// peers are the other entries, as the sidecars name them. The zero value is
// ready for use.
type peers struct {
	mu   sync.Mutex
	last map[string]time.Time
}

// see takes in entries that a sidecar has heard of late.
func (p *peers) see(list []string, self string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.last == nil {
		p.last = map[string]time.Time{}
	}
	for _, address := range list {
		if address != self && (p.last[address] != time.Time{} || len(p.last) < maxPeers) {
			p.last[address] = time.Now()
		}
	}
}

// list names the live ones and forgets the others.
func (p *peers) list() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var live []string
	for address, last := range p.last {
		if time.Since(last) > peerTime {
			delete(p.last, address)
			continue
		}
		live = append(live, address)
	}
	return live
}

// tell sends a word to all. A notice that is lost costs a part read twice; a
// digest is made up for by the next.
func (p *peers) tell(socket mtpulse.Socket, word *fleetv1.Word) {
	for _, address := range p.list() {
		_ = socket.Send(address, word)
	}
}

package mtfront

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/relay/mtpulse"
)

const (
	// peerTime is how long another entry counts as live after it was heard of: in a
	// fleet of a hundred entries each is heard of every second or two, as sidecars
	// name a few with each word and entries speak to a few at a time.
	peerTime = 5 * time.Second
	// maxPeers bounds the entries that are known.
	maxPeers = 1024
	// noticePeers bounds the entries that are told what an engine reads.
	noticePeers = 32
)

// peers are the other entries, as the sidecars name them and as they say
// themselves. The zero value is ready for use.
type peers struct {
	mu    sync.Mutex
	known map[string]peer
}

// peer is another entry.
type peer struct {
	// last is when it was heard of.
	last time.Time
	// ends is when it ends at the latest; the zero time while it takes requests.
	ends time.Time
}

// see takes in entries that a sidecar has heard of late.
func (p *peers) see(list []string, self string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, address := range list {
		if address != self {
			p.note(address, p.known[address].ends)
		}
	}
}

// hear takes in an entry that speaks for itself; left is nil while it takes
// requests.
func (p *peers) hear(from string, left *durationpb.Duration) {
	var ends time.Time
	if left != nil {
		ends = time.Now().Add(left.AsDuration())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.note(from, ends)
}

func (p *peers) note(address string, ends time.Time) {
	if p.known == nil {
		p.known = map[string]peer{}
	}
	if _, ok := p.known[address]; ok || len(p.known) < maxPeers {
		p.known[address] = peer{last: time.Now(), ends: ends}
	}
}

// list names the live ones and forgets the others.
func (p *peers) list() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forget()
	return slices.Collect(maps.Keys(p.known))
}

// ends tells when the live ones end, the zero time for those that take requests.
func (p *peers) ends() []time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forget()
	var list []time.Time
	for _, other := range p.known {
		list = append(list, other.ends)
	}
	return list
}

func (p *peers) forget() {
	maps.DeleteFunc(p.known, func(_ string, other peer) bool { return time.Since(other.last) > peerTime })
}

// count is the number of the live ones.
func (p *peers) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forget()
	return len(p.known)
}

// tell sends a word to at most so many, drawn at random. A notice that is lost costs
// a part read twice; a digest is made up for by the next.
func (p *peers) tell(socket mtpulse.Socket, word *fleetv1.Word, most int) {
	list := p.list()
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	for _, address := range list[:min(most, len(list))] {
		_ = socket.Send(address, word)
	}
}

package mtfront

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/relay/mtwords"
)

const (
	// peerTime is how long another entry counts as live after it was heard of: in a
	// fleet of a hundred entries each is heard of every second or two, as sidecars
	// name a few with each word and entries speak to a few at a time.
	peerTime = 5 * time.Second
	// maxPeers bounds the entries that are known.
	maxPeers = 1024
)

// peers are the other entries, as the sidecars name them and as they say
// themselves. The zero value is ready for use.
type peers struct {
	mu    sync.Mutex
	known map[string]peer
	// last is when any of them was heard of.
	last time.Time
}

// peer is another entry.
type peer struct {
	// last is when it was heard of.
	last time.Time
	// ends is when it ends at the latest; the zero time while it takes requests.
	ends time.Time
	// name is the entry's instance; empty until it has spoken itself.
	name string
	// datacentre is where it stands; empty until it has spoken itself.
	datacentre string
	// away says that the store does not answer it.
	away bool
	// spoke is when it spoke itself.
	spoke time.Time
}

// see takes in entries that a sidecar has heard of late.
func (p *peers) see(list []string, self string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, address := range list {
		if address != self {
			p.note(address, p.known[address])
		}
	}
}

// hear takes in an entry that speaks for itself.
func (p *peers) hear(from string, digest *fleetv1.Digest) {
	other := peer{name: digest.GetEntry(), datacentre: digest.GetDatacentre(), away: digest.GetAway(), spoke: time.Now()}
	if digest.GetLeft() != nil {
		other.ends = time.Now().Add(digest.GetLeft().AsDuration())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.note(from, other)
}

func (p *peers) note(address string, other peer) {
	if p.known == nil {
		p.known = map[string]peer{}
	}
	if _, ok := p.known[address]; ok || len(p.known) < maxPeers {
		other.last = time.Now()
		p.last = other.last
		p.known[address] = other
	}
}

// reaching names the live entries that the store answers.
func (p *peers) reaching() map[string]bool {
	return p.named(func(other *peer) bool { return !other.away })
}

// heard names those of them that have spoken themselves in a time.
func (p *peers) heard(within time.Duration) map[string]bool {
	return p.named(func(other *peer) bool { return !other.away && time.Since(other.spoke) < within })
}

func (p *peers) named(fits func(*peer) bool) map[string]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forget()
	names := map[string]bool{}
	for _, other := range p.known {
		if other.name != "" && fits(&other) {
			names[other.name] = true
		}
	}
	return names
}

// list names the live ones and forgets the others.
func (p *peers) list() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forget()
	return slices.Collect(maps.Keys(p.known))
}

// open names the live ones that are not about to end.
func (p *peers) open() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forget()
	var list []string
	for address, other := range p.known {
		if other.ends.IsZero() {
			list = append(list, address)
		}
	}
	return list
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

// lately names those that were heard of within a time.
func (p *peers) lately(within time.Duration) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []string
	for address, other := range p.known {
		if time.Since(other.last) < within {
			list = append(list, address)
		}
	}
	return list
}

// heardWithin reports whether any was heard of within a time, those that have gone since among them.
func (p *peers) heardWithin(d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.last.IsZero() && time.Since(p.last) < d
}

// count is the number of the live ones.
func (p *peers) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forget()
	return len(p.known)
}

// nearest is the live entry, or this one, to which a part hashes: all agree on it.
func (p *peers) nearest(part, own string) string {
	best, score := own, xxh3.HashString(part+own)
	for _, address := range p.list() {
		if s := xxh3.HashString(part + address); s > score {
			best, score = address, s
		}
	}
	return best
}

// fresh draws at most so many of those that have spoken themselves of late. Entries that
// named each other what they were told would keep one that is gone alive for ever.
func (p *peers) fresh(most int) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []string
	for address, other := range p.known {
		if time.Since(other.spoke) < peerTime && len(list) < most {
			list = append(list, address)
		}
	}
	return list
}

// tell sends a word to at most so many, drawn at random. A notice that is lost costs
// a part read twice; a digest is made up for by the next.
func (p *peers) tell(words *mtwords.Words, word *fleetv1.Word, most int, datacentre string) {
	for _, address := range p.some(most, datacentre) {
		words.Send(address, word)
	}
}

// some draws at most so many of the live ones. All but one are in a data centre where
// there are enough: bytes between data centres are dear, and one from each entry brings
// everything across.
func (p *peers) some(most int, datacentre string) []string {
	near, far := p.parted(datacentre)
	shuffle(near)
	shuffle(far)
	if len(near)+len(far) <= most {
		return append(near, far...)
	}
	inner := min(len(near), max(most-1, most-len(far)))
	return append(near[:inner], far[:most-inner]...)
}

// parted names the live ones in a data centre, and the others.
func (p *peers) parted(datacentre string) (near, far []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forget()
	for address, other := range p.known {
		if other.datacentre == datacentre {
			near = append(near, address)
		} else {
			far = append(far, address)
		}
	}
	return near, far
}

func shuffle(list []string) {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

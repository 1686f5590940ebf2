// Package mtreader decides which entries of a fleet follow the platform's store, and
// which learn from those.
//
// The pattern it answers is a fleet of hundreds of entries over a list that always
// moves: if each of them watches the store, its calls grow with the fleet. So a few
// entries follow it for all, whatever the fleet's size. Each entry tells the others
// which readers it knows and how long ago each of them has spoken, and keeps those of
// the lowest ranks, so that all come to the same few however little each hears itself.
package mtreader

import (
	"cmp"
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
)

const (
	// Most is how many entries follow the store: two data centres may be lost, a third of
	// the entries turned away, and single ones killed at the same time.
	Most = 8
	// Quick is how many of them look often: two, as one may be cut off.
	Quick = 2
	// startPause is how long an entry that starts waits to hear of others: how many there
	// are is not known yet.
	startPause = time.Second
	// likely is up to which multiple of Most an entry's expected place makes it a reader at
	// once.
	likely = 2
	// rankBits is the size of a rank.
	rankBits = 32
	// kept bounds what is kept until the best are chosen, as a multiple of Most.
	kept = 4
	// spare rounds cover datagrams that are lost on their way.
	spare = 2
)

// Readers is what one entry knows of the readers. It is safe for concurrent use.
type Readers struct {
	address string
	rank    uint32
	// interval is the time from one digest to the next, fanout to how many entries each
	// goes.
	interval time.Duration
	fanout   int

	mu    sync.Mutex
	known map[uint32]reader
	// turned is closed when this entry is found to read.
	turned chan struct{}
	// hurried is closed when it comes to look often.
	often   bool
	hurried chan struct{}
	// joined is since when this entry may be a reader, away that the store does not answer it.
	joined time.Time
	away   bool
	// leaving says that it may no longer be one.
	leaving bool
	// entries is the size of the fleet.
	entries int
	// among is since when this entry is one of the readers.
	among time.Time
}

// reader is another entry.
type reader struct {
	// spoke is when it said last that it is a reader, at the latest.
	spoke time.Time
	away  bool
	// address is where it takes datagrams, "" where nobody has told.
	address string
}

// New returns an entry that knows no others. Digests go out each interval, to as many
// entries as fanout says.
func New(address string, interval time.Duration, fanout int) *Readers {
	return &Readers{
		address: address, rank: uint32(xxh3.HashString(address)), interval: interval, fanout: fanout,
		known: map[uint32]reader{}, turned: make(chan struct{}), hurried: make(chan struct{}), entries: 1,
	}
}

// spread is how long it takes until all entries have heard what one of them knows: each
// digest tells fanout others, so that in a round 1+fanout times as many know.
func (r *Readers) spread() time.Duration {
	rounds := math.Ceil(math.Log(float64(r.entries)) / math.Log(float64(1+r.fanout)))
	return time.Duration(1+rounds) * r.interval
}

// life is how long a reader counts as live after it has spoken.
func (r *Readers) life() time.Duration { return r.spread() + spare*r.interval }

// Resize takes in the number of entries in the fleet.
func (r *Readers) Resize(entries int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = max(1, entries)
}

// Join says that this entry may be a reader, and whether the store does not answer it:
// such an entry stands behind all others.
func (r *Readers) Join(away bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.joined.IsZero() {
		r.joined = time.Now()
	}
	r.away = away
}

// Leave says that this entry is about to end.
func (r *Readers) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.joined, r.leaving = time.Time{}, true
}

// Hear takes in the readers that another entry knows.
func (r *Readers) Hear(list []*fleetv1.Reader) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, heard := range list {
		spoke := time.Now().Add(-time.Duration(heard.GetAge()) * time.Millisecond)
		known := r.known[heard.GetRank()]
		if heard.GetRank() == r.rank {
			continue
		}
		if spoke.After(known.spoke) {
			known.spoke, known.away = spoke, heard.GetAway()
		}
		if heard.GetAddress() != "" {
			known.address = heard.GetAddress()
		}
		r.known[heard.GetRank()] = known
	}
	if len(r.known) > kept*Most {
		r.first()
	}
}

// Meet takes in the address of an entry that has spoken itself.
func (r *Readers) Meet(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rank := uint32(xxh3.HashString(address))
	if known, ok := r.known[rank]; ok && known.address == "" {
		known.address = address
		r.known[rank] = known
	}
}

// Known lists the readers for another entry, this one among them where it is one.
func (r *Readers) Known() []*fleetv1.Reader {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*fleetv1.Reader
	for _, c := range r.first() {
		list = append(list, &fleetv1.Reader{Rank: c.rank, Age: uint32(time.Since(c.spoke).Milliseconds()), Away: c.away, Address: c.address})
	}
	return list
}

// Addresses are those of the readers, as far as they are known, this entry's among them where
// it is one.
func (r *Readers) Addresses() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []string
	for _, c := range r.first() {
		if c.address != "" {
			list = append(list, c.address)
		}
	}
	return list
}

// Reads says that this entry is to call the store itself: it is a reader, or is about to
// end and knows none. A reader begins a little after it has come among them, until others
// have told of better ones: where all entries start at once each is the first that it
// knows.
func (r *Readers) Reads() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.place() < Most || r.deserted()
}

// deserted says that this entry is about to end, and that nobody reads; r is locked.
func (r *Readers) deserted() bool { return r.leaving && len(r.first()) == 0 }

// Often says that this entry is one of the readers that look often.
func (r *Readers) Often() bool { return r.Before() < Quick }

// Hurried returns a channel that is closed when this entry comes to look often.
func (r *Readers) Hurried() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hurried
}

// Look ends the waiting of those that Await where this entry reads now, and tells those
// that wait long where it has come to look often.
func (r *Readers) Look() {
	r.mu.Lock()
	defer r.mu.Unlock()
	place := r.place()
	often := place < Quick
	if often && !r.often {
		close(r.hurried)
		r.hurried = make(chan struct{})
	}
	r.often = often
	if place < Most || r.deserted() {
		close(r.turned)
		r.turned = make(chan struct{})
	}
}

// Await returns when this entry is to call the store itself, or when ctx ends.
func (r *Readers) Await(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		turned := r.turned
		r.mu.Unlock()
		if r.Reads() {
			return
		}
		select {
		case <-ctx.Done():
		case <-turned:
		}
	}
}

// Before counts the readers before this one; Most where this entry does not
// read.
func (r *Readers) Before() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.place()
}

// place is this entry's among the readers; Most where it does not act as one. r is locked.
func (r *Readers) place() int {
	first := r.first()
	place := slices.IndexFunc(first, func(c candidate) bool { return c.rank == r.rank })
	if place < 0 {
		r.among = time.Time{}
		return Most
	}
	if r.among.IsZero() {
		r.among = time.Now()
	}
	if time.Since(r.among) < r.pause() || time.Since(r.joined) < startPause {
		return Most
	}
	return place
}

// pause is how long this entry waits once it is among the readers that it knows: until it
// would have heard of better ones. Where many readers fail at once all others come among
// them; those that their rank alone, as ranks are spread evenly, puts among the first do
// not wait.
func (r *Readers) pause() time.Duration {
	expected := uint64(r.rank) * uint64(r.entries) >> rankBits
	if expected < likely*Most && time.Since(r.joined) > r.spread() {
		return 0
	}
	return r.spread()
}

// candidate is a reader with its rank.
type candidate struct {
	reader
	rank uint32
}

// first lists the readers in their order and forgets all others; r is locked.
func (r *Readers) first() []candidate {
	var list []candidate
	for rank, other := range r.known {
		if time.Since(other.spoke) > r.life() {
			delete(r.known, rank)
			continue
		}
		list = append(list, candidate{other, rank})
	}
	if !r.joined.IsZero() {
		list = append(list, candidate{reader{spoke: time.Now(), away: r.away, address: r.address}, r.rank})
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(compareAway(a.away, b.away), cmp.Compare(a.rank, b.rank))
	})
	for len(list) > Most {
		last := list[len(list)-1]
		delete(r.known, last.rank)
		list = list[:len(list)-1]
	}
	return list
}

// compareAway orders those that the store answers before the others.
func compareAway(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

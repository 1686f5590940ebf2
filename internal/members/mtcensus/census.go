// Package mtcensus counts the entries of a fleet.
//
// The pattern it answers is a bound that all entries share, such as that of repeated
// sends: an entry that has heard of half of the others takes twice its part. An entry
// hears of all others in its own data centre within a second, and of few elsewhere. So
// each counts its own data centre, and passes on what it heard of the others.
package mtcensus

import (
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
)

// life is how long a data centre counts after its last word. One that is gone may count
// for too long: the parts of a bound are then too small, never too large.
const life = 15 * time.Second

// Census is what one entry knows. It is safe for concurrent use.
type Census struct {
	own uint32

	mu    sync.Mutex
	known map[uint32]count
}

// count is a data centre's.
type count struct {
	entries uint32
	// taken is when an entry there counted, at the latest.
	taken time.Time
}

// New returns the census of an entry that stands in a data centre.
func New(datacentre string) *Census {
	c := &Census{own: uint32(xxh3.HashString(datacentre)), known: map[uint32]count{}}
	c.Count(1)
	return c
}

// Count takes in the number of live entries in the entry's own data centre.
func (c *Census) Count(entries int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known[c.own] = count{uint32(max(1, entries)), time.Now()}
}

// Hear takes in what another entry knows.
func (c *Census) Hear(list []*fleetv1.Count) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, heard := range list {
		taken := time.Now().Add(-time.Duration(heard.GetAge()) * time.Millisecond)
		if heard.GetPlace() != c.own && taken.After(c.known[heard.GetPlace()].taken) {
			c.known[heard.GetPlace()] = count{heard.GetEntries(), taken}
		}
	}
}

// Known lists the data centres' counts for another entry.
func (c *Census) Known() []*fleetv1.Count {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forget()
	list := make([]*fleetv1.Count, 0, len(c.known))
	for place, known := range c.known {
		list = append(list, &fleetv1.Count{Place: place, Entries: known.entries, Age: uint32(time.Since(known.taken).Milliseconds())})
	}
	return list
}

// Lives says that a data centre has an entry: one there has counted within a time.
func (c *Census) Lives(datacentre string, within time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	place := uint32(xxh3.HashString(datacentre))
	known, ok := c.known[place]
	return place == c.own || ok && known.entries > 0 && time.Since(known.taken) < within
}

// Size is the number of entries in the fleet.
func (c *Census) Size() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forget()
	size := 0
	for _, known := range c.known {
		size += int(known.entries)
	}
	return size
}

// forget drops data centres of which nothing was heard for long.
func (c *Census) forget() {
	for place, known := range c.known {
		if place != c.own && time.Since(known.taken) > life {
			delete(c.known, place)
		}
	}
}

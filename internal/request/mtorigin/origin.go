// Package mtorigin stores which service and software version began each stream.
//
// A caller may resume a broken stream at any entry, but only a target of the version that began it
// can continue it. As the first entry may be gone by then, several processes store each stream's
// origin until its caller's time is over. An origin reported in two versions stays disputed.
package mtorigin

import (
	"crypto/sha256"
	"sync"
	"time"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
)

const (
	// capacity is the number of streams stored: a few megabytes.
	capacity = 20_000
	// maxLifetime bounds how long an origin is stored.
	maxLifetime = 10 * time.Minute
	// sweepInterval is the least time between two removals of expired origins.
	sweepInterval = time.Second
	// streamSize is the length of a stream's digest.
	streamSize = 16
)

// Origins is one process's store. It is safe for concurrent use.
type Origins struct {
	mu      sync.Mutex
	entries map[string]entry
	swept   time.Time
}

type entry struct {
	service  string
	build    string
	disputed bool
	until    time.Time
}

// New returns an empty store.
func New() *Origins { return &Origins{entries: map[string]entry{}} }

// Stream is the digest of a stream, by the client account and the id of the request that brought
// its first event. Callers choose ids: no account can name the stream of another.
func Stream(account, id string) []byte {
	sum := sha256.Sum256([]byte(account + "\x00" + id))
	return sum[:streamSize]
}

// Take stores an origin. It reports false where the store is full.
func (o *Origins) Take(origin *fleetv1.Origin) bool {
	left := min(maxLifetime, time.Duration(origin.GetLeft())*time.Millisecond)
	if len(origin.GetStream()) != streamSize || left <= 0 {
		return true
	}
	now := time.Now()
	next := entry{origin.GetService(), origin.GetBuild(), origin.GetDisputed(), now.Add(left)}
	stream := string(origin.GetStream())
	o.mu.Lock()
	defer o.mu.Unlock()
	if before, ok := o.entries[stream]; ok && before.until.After(now) {
		if before.service != next.service || before.build != next.build {
			next.disputed = true
		}
		next.disputed = next.disputed || before.disputed
		if before.until.After(next.until) {
			next.until = before.until
		}
	} else if len(o.entries) >= capacity && !o.sweep(now) {
		return false
	}
	o.entries[stream] = next
	return true
}

// sweep removes expired origins, and reports whether there is room.
func (o *Origins) sweep(now time.Time) bool {
	if now.Sub(o.swept) < sweepInterval {
		return false
	}
	o.swept = now
	for stream, e := range o.entries {
		if !e.until.After(now) {
			delete(o.entries, stream)
		}
	}
	return len(o.entries) < capacity
}

// Find returns the origin of a stream; nil where it is unknown or expired.
func (o *Origins) Find(stream []byte) *fleetv1.Origin {
	o.mu.Lock()
	defer o.mu.Unlock()
	e, ok := o.entries[string(stream)]
	left := time.Until(e.until).Milliseconds()
	if !ok || left <= 0 {
		return nil
	}
	return &fleetv1.Origin{Stream: stream, Service: e.service, Build: e.build, Disputed: e.disputed, Left: uint32(left)}
}

// Len is the number of origins stored, expired ones included.
func (o *Origins) Len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.entries)
}

// Package mtorigin keeps which service and software version began streams.
//
// A caller whose stream broke off takes it up at any entry, and only a program of the version
// that began the stream may go on with it. The entry that began it may be gone by then, so that
// several processes keep each stream's origin for as long as its caller may come back. What is
// told differently of one stream is disputed for good: no program is known to fit.
package mtorigin

import (
	"crypto/sha256"
	"sync"
	"time"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
)

const (
	// most bounds the streams that are kept: a few megabytes.
	most = 20_000
	// longest bounds how long one is kept, whatever is told.
	longest = 10 * time.Minute
	// sweepTime is how often lapsed ones are looked for while there is no room.
	sweepTime = time.Second
	// streamSize is the length of a stream's digest.
	streamSize = 16
)

// Origins is what one process keeps. It is safe for concurrent use.
type Origins struct {
	mu    sync.Mutex
	kept  map[string]kept
	swept time.Time
}

type kept struct {
	service  string
	build    string
	disputed bool
	until    time.Time
}

// New keeps nothing yet.
func New() *Origins { return &Origins{kept: map[string]kept{}} }

// Stream is the digest of a stream, by the client account and the id of the request that brought
// its first event. Callers choose ids: no account can name the stream of another.
func Stream(account, id string) []byte {
	sum := sha256.Sum256([]byte(account + "\x00" + id))
	return sum[:streamSize]
}

// Take keeps an origin. It reports false where there is no room.
func (o *Origins) Take(origin *fleetv1.Origin) bool {
	left := min(longest, time.Duration(origin.GetLeft())*time.Millisecond)
	if len(origin.GetStream()) != streamSize || left <= 0 {
		return true
	}
	now := time.Now()
	next := kept{origin.GetService(), origin.GetBuild(), origin.GetDisputed(), now.Add(left)}
	stream := string(origin.GetStream())
	o.mu.Lock()
	defer o.mu.Unlock()
	if before, ok := o.kept[stream]; ok && before.until.After(now) {
		if before.service != next.service || before.build != next.build {
			next.disputed = true
		}
		next.disputed = next.disputed || before.disputed
		if before.until.After(next.until) {
			next.until = before.until
		}
	} else if len(o.kept) >= most && !o.sweep(now) {
		return false
	}
	o.kept[stream] = next
	return true
}

// sweep forgets the lapsed ones, and reports whether there is room.
func (o *Origins) sweep(now time.Time) bool {
	if now.Sub(o.swept) < sweepTime {
		return false
	}
	o.swept = now
	for stream, k := range o.kept {
		if !k.until.After(now) {
			delete(o.kept, stream)
		}
	}
	return len(o.kept) < most
}

// Find returns what is kept of a stream; nil for nothing.
func (o *Origins) Find(stream []byte) *fleetv1.Origin {
	o.mu.Lock()
	defer o.mu.Unlock()
	k, ok := o.kept[string(stream)]
	left := time.Until(k.until).Milliseconds()
	if !ok || left <= 0 {
		return nil
	}
	return &fleetv1.Origin{Stream: stream, Service: k.service, Build: k.build, Disputed: k.disputed, Left: uint32(left)}
}

// Len is the number of streams that are kept, lapsed ones too.
func (o *Origins) Len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.kept)
}

// Package mtgate decides whether a sidecar may give its engine orders.
//
// It is the other half of mtcustody: an entry takes engines whose sidecars are gone,
// and what is gone for the entries may live. So a sidecar orders only while it is told
// that its engine is not taken, and with no lower fencing number than an entry has used.
package mtgate

import (
	"time"

	"github.com/mustardtide/mustardtide/internal/members/mtsuspend"
	"github.com/mustardtide/mustardtide/internal/relay/mtcustody"
)

const (
	// staleTime is how long after a suspension nothing counts that is heard: datagrams
	// from before wait in the socket.
	staleTime = 250 * time.Millisecond
)

// Gate is one engine's. It is not safe for concurrent use.
type Gate struct {
	version int64
	taken   bool
	fence   int64
	// cleared is when the engine was last said not to be taken.
	cleared   time.Time
	suspended *mtsuspend.Detector
	// stale is until when nothing counts.
	stale time.Time
}

// New returns a gate that is shut: an entry may have taken the engine while this
// process was not there.
func New() *Gate { return &Gate{suspended: mtsuspend.New()} }

// Hear takes in what an entry, or the store, says: the version of the custody on which
// it rests, whether the engine is taken, and the least fencing number.
func (g *Gate) Hear(version int64, taken bool, fence int64) {
	g.look()
	if version < g.version || time.Now().Before(g.stale) {
		return
	}
	g.version, g.taken = version, taken
	g.fence = max(g.fence, fence)
	if !taken {
		g.cleared = time.Now()
	}
}

// Open says that the sidecar may order.
func (g *Gate) Open() bool {
	g.look()
	return !g.taken && !g.cleared.IsZero() && time.Since(g.cleared) < mtcustody.ClearTime
}

// Taken says that an entry gives the engine its orders.
func (g *Gate) Taken() bool { return g.taken }

// Fence is the least fencing number to be used.
func (g *Gate) Fence() int64 { return g.fence }

// look shuts the gate where the process was suspended: an entry may have taken the
// engine meanwhile, and the steady clock says that it was cleared just now.
func (g *Gate) look() {
	if g.suspended.Suspended() {
		g.Resume()
	}
}

// Resume shuts the gate as the process was suspended or its clock was set.
func (g *Gate) Resume() {
	g.cleared = time.Time{}
	g.stale = time.Now().Add(staleTime)
}

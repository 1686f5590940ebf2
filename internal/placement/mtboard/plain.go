package mtboard

import (
	"time"

	"github.com/mustardtide/mustardtide/internal/placement/mtspeed"
)

const (
	// apartPlain is what another data centre costs a plain request, as a part of a
	// usual one's time: the way there and back.
	apartPlain = 0.15
	// loadTime is how long a target's word on its load counts.
	loadTime = 300 * time.Millisecond
)

// weighPlain makes out the bill of a plain service, in time to the answer.
func (b *Board) weighPlain(c *Choice) {
	r := c.record
	slots := max(1, int(r.target.GetSlots()))
	busy := r.running
	if r.loaded != nil && time.Since(r.loadAge) < loadTime {
		busy = max(busy, int(r.loaded.GetRunning()+r.loaded.GetWaiting()))
	}
	c.work = mtspeed.NewWork(0, 0)
	work := c.speed.Of(mtspeed.Start)
	c.estimate = work
	c.bill[itemQueue] = work * time.Duration(busy) / time.Duration(slots)
	if busy >= slots {
		c.bill[itemQueue] += work * time.Duration(busy-slots+1) / time.Duration(slots)
	}
	c.bill[itemStart] = share(r.pace.now(), work)
	if r.target.GetDatacentre() != b.datacentre {
		c.bill[itemApart] = share(apartPlain, work)
	}
	r.doubts(&c.bill)
}

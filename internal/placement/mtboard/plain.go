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
	// paceTime is how long its word on its machine's pace counts, which changes many times a
	// second, and usualPace what it says then of a machine as usual.
	paceTime  = 100 * time.Millisecond
	usualPace = 100
	// leastPace and mostPace bound what one such word does.
	leastPace, mostPace = 0.5, 4
)

// told is the target's own word on how long work takes there, as a multiple of the usual.
func (r *record) told() float64 {
	if r.loaded.GetPace() == 0 || time.Since(r.loadAge) > paceTime {
		return 1
	}
	return min(mostPace, max(leastPace, float64(r.loaded.GetPace())/usualPace))
}

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
	c.bill[itemStart] = share(r.pace.now()*r.told(), work)
	if r.target.GetDatacentre() != b.datacentre {
		c.bill[itemApart] = share(apartPlain, work)
	}
	r.doubts(&c.bill)
}

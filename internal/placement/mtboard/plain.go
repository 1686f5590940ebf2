package mtboard

import "time"

const (
	// workTime is the usual work of a plain request.
	workTime = 40 * time.Millisecond
	// apartPlain is what another data centre costs a plain request.
	apartPlain = 6 * time.Millisecond
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
	c.estimate = workTime
	c.bill[itemQueue] = workTime * time.Duration(busy) / time.Duration(slots)
	if busy >= slots {
		c.bill[itemQueue] += workTime * time.Duration(busy-slots+1) / time.Duration(slots)
	}
	c.bill[itemStart] = time.Duration(float64(workTime) * r.pace.now())
	if r.target.GetDatacentre() != b.datacentre {
		c.bill[itemApart] = apartPlain
	}
	r.doubts(&c.bill)
}

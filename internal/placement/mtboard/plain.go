package mtboard

import (
	"time"

	"github.com/mustardtide/mustardtide/internal/placement/mtspeed"
)

const (
	// distancePlainShare is the cost of another data centre to a plain request, the round trip,
	// as a part of the usual request's time.
	distancePlainShare = 0.15
	// loadTTL is how long a target's report of its load counts.
	loadTTL = 300 * time.Millisecond
	// paceTTL is how long a target's report of its machine's pace counts, which changes many
	// times a second. nominalPace is the value reported by a machine at its usual pace.
	paceTTL     = 100 * time.Millisecond
	nominalPace = 100
	// minPace and maxPace bound the effect of one report.
	minPace, maxPace = 0.5, 4
)

// reportedPace returns how long work takes on the target by its own report, as a multiple of the
// usual time.
func (r *record) reportedPace() float64 {
	if r.lastAnswer.GetPace() == 0 || time.Since(r.lastAnswerAt) > paceTTL {
		return 1
	}
	return min(maxPace, max(minPace, float64(r.lastAnswer.GetPace())/nominalPace))
}

// estimatePlain fills in the cost breakdown of a plain service, in time to the answer.
func (b *Board) estimatePlain(c *Choice) {
	r := c.record
	slots := max(1, int(r.target.GetSlots()))
	busy := r.running
	if r.lastAnswer != nil && time.Since(r.lastAnswerAt) < loadTTL {
		busy = max(busy, int(r.lastAnswer.GetRunning()+r.lastAnswer.GetWaiting()))
	}
	c.work = mtspeed.NewWork(0, 0)
	work := c.speed.Time(mtspeed.Start)
	c.baseEstimate = work
	c.breakdown[itemQueue] = work * time.Duration(busy) / time.Duration(slots)
	if busy >= slots {
		c.breakdown[itemQueue] += work * time.Duration(busy-slots+1) / time.Duration(slots)
	}
	c.breakdown[itemStart] = scale(r.latency.value()*r.reportedPace(), work)
	if r.target.GetDatacentre() != b.datacentre {
		c.breakdown[itemDistance] = scale(distancePlainShare, work)
	}
	r.addPenalties(&c.breakdown)
}

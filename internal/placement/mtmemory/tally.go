package mtmemory

import (
	"math"
	"time"
)

// counterHalfLife is the half-life of a count. It is long enough to see a few requests of
// a prefix that makes up one target's share, and short enough to follow a change
// of the hot prefixes.
const counterHalfLife = 10 * time.Second

// decayingCounter is a counter that decays exponentially.
type decayingCounter struct {
	// count is the value at updatedAt, in Unix nanoseconds.
	count     float64
	updatedAt int64
}

func (c *decayingCounter) value(now int64) float64 {
	return c.count * math.Exp2(-float64(now-c.updatedAt)/float64(counterHalfLife))
}

func (c *decayingCounter) add(now int64) {
	c.count = c.value(now) + 1
	c.updatedAt = now
}

// Package mtstamp orders events of different processes.
package mtstamp

import (
	"sync/atomic"
	"time"
)

// counterBits is the share of a stamp that counts events within one millisecond.
const counterBits = 16

// Clock is a hybrid logical clock: a stamp is the wall clock in milliseconds
// in its upper 48 bits and a counter in its lower 16. A message carries its
// sender's stamp, so that an effect is stamped after its cause even where the
// instances' wall clocks disagree. The zero Clock is ready for use.
type Clock struct {
	last atomic.Uint64
}

// Now returns a stamp above every stamp that this clock gave or saw.
func (c *Clock) Now() uint64 {
	for {
		last := c.last.Load()
		next := max(last+1, wall())
		if c.last.CompareAndSwap(last, next) {
			return next
		}
	}
}

// See takes in the stamp of a received message.
func (c *Clock) See(stamp uint64) {
	for {
		last := c.last.Load()
		if stamp <= last {
			return
		}
		if c.last.CompareAndSwap(last, stamp) {
			return
		}
	}
}

func wall() uint64 {
	return uint64(time.Now().UnixMilli()) << counterBits
}

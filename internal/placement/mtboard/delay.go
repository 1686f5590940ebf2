package mtboard

import "time"

const (
	// delayHalfLife is the half-life of a measured delay: the store's link is free again some
	// seconds after a burst, and only a fetch can show it.
	delayHalfLife = 2 * time.Second
	// delayWeight is the weight of one fetch in the moving average.
	delayWeight = 0.2
	// maxDelaySample bounds one sample: engines do not begin a transfer that would wait longer.
	maxDelaySample = 2 * time.Second
)

// fetchDelay is the recent mean of how much longer fetches from a store of cached parts take than
// their transfer.
//
// It matters when new weights arrive on a busy day. Every prompt is then cold at once, and what
// the engines save fills the store's link, which the whole fleet shares, so that a fetch takes
// longer than prefill. On other links, or on a quiet day, the store holds each part moments after
// its first prefill.
type fetchDelay struct {
	mean      time.Duration
	updatedAt time.Time
}

func (d *fetchDelay) decayed() time.Duration {
	if d.mean == 0 {
		return 0
	}
	return scale(decay(d.updatedAt, delayHalfLife), d.mean)
}

// learn adds a sample: by how much one fetch took longer than its transfer.
func (d *fetchDelay) learn(excess time.Duration) {
	excess = min(maxDelaySample, max(0, excess))
	d.mean = scale(1-delayWeight, d.decayed()) + scale(delayWeight, excess)
	d.updatedAt = time.Now()
}

// delayOf returns the delay of a store of cached parts. The caller holds the board's lock.
func (b *Board) delayOf(store string) *fetchDelay {
	d := b.delays[store]
	if d == nil {
		d = &fetchDelay{}
		b.delays[store] = d
	}
	return d
}

// missThreshold is by how much a first token must be late for the fetch to count as a miss, as a
// part of the time to prefill what should have been fetched.
const missThreshold = 0.6

// recordStoreFetch records the time to the first token after a fetch from the store. If the token
// is late by about the time to prefill the parts, they were gone: the store was restarted or has
// evicted them. If it is later still, the link was busy.
func (c *Choice) recordStoreFetch(took time.Duration) {
	store := c.query.store
	excess := took - c.expected + c.storeDelay
	prefill := c.speed.PrefillTime(float64(c.fetched))
	if excess > scale(missThreshold, prefill) && excess < 2*prefill {
		c.board.holders.Remove(c.salt, store, c.query.shared())
		return
	}
	c.board.delayOf(store).learn(excess)
	c.board.holders.RecordStored(c.salt, store, c.query.shared())
}

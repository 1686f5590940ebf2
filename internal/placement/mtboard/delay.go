package mtboard

import "time"

const (
	// delayHalf is the time in which a delay counts half: the store's link is free
	// again some seconds after a burst, and only a fetch shows it.
	delayHalf = 2 * time.Second
	// delayStep is how far one fetch moves it.
	delayStep = 0.2
	// delayMost bounds what one fetch says: a transfer that would wait longer is not
	// begun by the engines.
	delayMost = 2 * time.Second
)

// delay is how much longer than their transfer fetches from a store of cached
// parts take of late.
//
// The load it answers is new weights on a busy day: every prompt is cold at once, and
// what the engines save fills the store's link, which the whole fleet shares. A fetch
// then takes longer than reading. On other links, or on a quiet day, the store holds
// each part moments after its first reading.
type delay struct {
	mean time.Duration
	at   time.Time
}

func (d *delay) now() time.Duration {
	if d.mean == 0 {
		return 0
	}
	return share(fade(d.at, delayHalf), d.mean)
}

// learn takes in by how much one fetch took longer than its transfer.
func (d *delay) learn(excess time.Duration) {
	excess = min(delayMost, max(0, excess))
	d.mean = share(1-delayStep, d.now()) + share(delayStep, excess)
	d.at = time.Now()
}

// delay is that of a store of cached parts; the board is locked.
func (b *Board) delay(store string) *delay {
	d := b.delays[store]
	if d == nil {
		d = &delay{}
		b.delays[store] = d
	}
	return d
}

// missShare is the part of the reading of what should have been fetched by which a
// first token must come later for the fetch to count as a miss.
const missShare = 0.6

// fetchedIn takes in a first token after a fetch from the store. One that came later
// by about as much as the reading takes has found the parts gone: the store was
// restarted, or has dropped them. A later one met a busy link.
func (c *Choice) fetchedIn(took time.Duration) {
	store := c.query.cache
	excess := took - c.expected + c.slack
	reading := c.speed.Tokens(float64(c.fetched))
	if excess > share(missShare, reading) && excess < 2*reading {
		c.board.holders.Drop(c.salt, store, c.query.shared())
		return
	}
	c.board.delay(store).learn(excess)
	c.board.holders.Keep(c.salt, store, c.query.shared())
}

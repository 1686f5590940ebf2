package mtmemory

import (
	"math"
	"time"
)

// tallyHalf is the time in which a count wears off by half: long enough for a
// few requests of a prefix that makes up one target's share, short enough to
// follow a shift of the hot prefixes.
const tallyHalf = 10 * time.Second

// tally counts with old counts worn off.
type tally struct {
	count float64
	at    int64
}

func (t *tally) now(now int64) float64 {
	return t.count * math.Exp2(-float64(now-t.at)/float64(tallyHalf))
}

func (t *tally) add(now int64) {
	t.count = t.now(now) + 1
	t.at = now
}

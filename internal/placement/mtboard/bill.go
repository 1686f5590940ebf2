package mtboard

import (
	"strconv"
	"strings"
	"time"
)

// item is one thing that a target costs.
type item int

const (
	itemStart item = iota
	itemQueue
	itemRead
	itemFetch
	itemRuns
	itemApart
	itemStray
	itemWaste
	itemCopy
	itemOlder
	itemFull
	itemFaults
	itemReplaced
	items
)

// words are what the items are called in logs.
var words = [items]string{
	itemStart:    "to start",
	itemQueue:    "prompts waiting",
	itemRead:     "more to read",
	itemFetch:    "more to fetch",
	itemRuns:     "runs beside",
	itemApart:    "other data centre",
	itemStray:    "not the prompt's home",
	itemWaste:    "read again though held elsewhere",
	itemCopy:     "more to copy",
	itemOlder:    "older weights",
	itemFull:     "no room",
	itemFaults:   "failed of late",
	itemReplaced: "address given to another",
}

// bill is what a target would cost a request, item by item.
type bill [items]time.Duration

func (b *bill) sum() time.Duration {
	var sum time.Duration
	for _, part := range b {
		sum += part
	}
	return sum
}

// above names the item by which a bill exceeds another the most, and by how
// much.
func (b *bill) above(other *bill) (item, time.Duration) {
	most, excess := itemStart, time.Duration(0)
	for i := range b {
		if over := b[i] - other[i]; over > excess {
			most, excess = item(i), over
		}
	}
	return most, excess
}

// told is how many of the targets that lost are named in a log line.
const told = 3

// loser is a target that was considered and not chosen.
type loser struct {
	id   string
	cost time.Duration
	bill bill
}

// lose keeps another target among the cheapest of those that lost.
func (c *Choice) lose(other *Choice) {
	at := 0
	for at < len(c.lost) && c.lost[at].cost < other.cost {
		at++
	}
	if at >= told {
		return
	}
	if len(c.lost) < told {
		c.lost = append(c.lost, loser{})
	}
	copy(c.lost[at+1:], c.lost[at:])
	c.lost[at] = loser{other.id, other.cost, other.bill}
}

// Losers names the next best targets: what each would have cost, and the item by
// which it most exceeds the chosen one.
func (c *Choice) Losers() string {
	var b strings.Builder
	for i := range c.lost {
		l := &c.lost[i]
		if i > 0 {
			b.WriteString(", ")
		}
		b.WriteString(l.id + " " + millis(l.cost))
		if why, excess := l.bill.above(&c.bill); excess >= time.Millisecond {
			b.WriteString(" (" + words[why] + " +" + millis(excess) + ")")
		}
	}
	return b.String()
}

func millis(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) + "ms" }

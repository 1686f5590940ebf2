package mtboard

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// told is how many of the targets that lost are named in a log line.
const told = 3

// loser is a target that was considered and not chosen.
type loser struct {
	id   string
	cost time.Duration
}

// followed are the losers once a choice is itself one.
func (c *Choice) followed() []loser {
	if c.record == nil {
		return nil
	}
	c.lose(c)
	return c.lost
}

// lose keeps another target among the cheapest of those that lost.
func (c *Choice) lose(other *Choice) {
	at, _ := slices.BinarySearchFunc(c.lost, other.cost, func(l loser, cost time.Duration) int {
		return int(l.cost - cost)
	})
	if at >= told {
		return
	}
	c.lost = slices.Insert(c.lost, at, loser{other.id, other.cost})
	c.lost = c.lost[:min(told, len(c.lost))]
}

// Losers names the next best targets with what each would have cost.
func (c *Choice) Losers() string {
	var b strings.Builder
	for i, l := range c.lost {
		if i > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%s:%dms", l.id, l.cost.Milliseconds())
	}
	return b.String()
}

// Lacks says why no target could be chosen: how many of the service's are known
// and what keeps each from use.
func (b *Board) Lacks(q *Query) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var known, leaving, ordering, silent, out, replaced, tried int
	for _, r := range b.services[q.service.GetName()] {
		known++
		switch {
		case q.excluded[r.target.GetId()]:
			tried++
		case r.target.GetLeaving():
			leaving++
		case r.misplaced:
			replaced++
		case time.Now().Before(r.faults.out):
			out++
		case r.fresh() && !r.state.GetAnswers():
			silent++
		case r.fresh() && r.state.GetOrdering():
			ordering++
		}
	}
	return fmt.Sprintf("%d known: %d tried, %d leaving, %d loading weights, %d silent, %d unreached of late, %d replaced",
		known, tried, leaving, ordering, silent, out, replaced)
}

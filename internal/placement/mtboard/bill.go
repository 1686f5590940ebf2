package mtboard

import (
	"strconv"
	"strings"
	"time"
)

// costItem is one component of a target's estimated cost.
type costItem int

const (
	itemStart costItem = iota
	itemQueue
	itemPrefill
	itemFetch
	itemConcurrency
	itemDistance
	itemNotHome
	itemRedundant
	itemCopy
	itemOldWeights
	itemNoRoom
	itemPreempted
	itemFaults
	itemReplaced
	numCostItems
)

// itemNames are the names of the items in logs.
var itemNames = [numCostItems]string{
	itemStart:       "base time",
	itemQueue:       "prompts waiting",
	itemPrefill:     "more to prefill",
	itemFetch:       "more to fetch",
	itemConcurrency: "concurrent requests",
	itemDistance:    "other data centre",
	itemNotHome:     "not the prompt's home",
	itemRedundant:   "prefilled though cached elsewhere",
	itemCopy:        "more duplicate tokens",
	itemOldWeights:  "older weights",
	itemNoRoom:      "no room",
	itemPreempted:   "preempts less urgent runs",
	itemFaults:      "recent failures",
	itemReplaced:    "address reassigned",
}

// costBreakdown is the estimated cost of a request on a target, by item.
type costBreakdown [numCostItems]time.Duration

func (b *costBreakdown) sum() time.Duration {
	var sum time.Duration
	for _, part := range b {
		sum += part
	}
	return sum
}

// largestExcess returns the item by which this cost exceeds another the most, and by how much.
func (b *costBreakdown) largestExcess(other *costBreakdown) (costItem, time.Duration) {
	most, excess := itemStart, time.Duration(0)
	for i := range b {
		if over := b[i] - other[i]; over > excess {
			most, excess = costItem(i), over
		}
	}
	return most, excess
}

// maxRunnersUp is how many of the targets that were not chosen are named in a log line.
const maxRunnersUp = 3

// runnerUp is a target that was considered but not chosen.
type runnerUp struct {
	id        string
	cost      time.Duration
	breakdown costBreakdown
}

// addRunnerUp inserts a candidate if it is among the cheapest that were not chosen.
func (c *Choice) addRunnerUp(other *Choice) {
	at := 0
	for at < len(c.runnersUp) && c.runnersUp[at].cost < other.cost {
		at++
	}
	if at >= maxRunnersUp {
		return
	}
	if len(c.runnersUp) < maxRunnersUp {
		c.runnersUp = append(c.runnersUp, runnerUp{})
	}
	copy(c.runnersUp[at+1:], c.runnersUp[at:])
	c.runnersUp[at] = runnerUp{other.id, other.cost, other.breakdown}
}

// RunnersUp describes the next best targets: the cost of each, and the item by which it most
// exceeds the chosen one.
func (c *Choice) RunnersUp() string {
	var b strings.Builder
	for i := range c.runnersUp {
		r := &c.runnersUp[i]
		if i > 0 {
			b.WriteString(", ")
		}
		b.WriteString(r.id + " " + millis(r.cost))
		if why, excess := r.breakdown.largestExcess(&c.breakdown); excess >= time.Millisecond {
			b.WriteString(" (" + itemNames[why] + " +" + millis(excess) + ")")
		}
	}
	return b.String()
}

func millis(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) + "ms" }

package mtboard

import (
	"time"

	"github.com/mustardtide/mustardtide/internal/placement/mtholder"
	"github.com/mustardtide/mustardtide/internal/placement/mtspeed"
)

const (
	// fetchLeast is the least gain in tokens for which a fetch is asked: below
	// it reading takes no longer.
	fetchLeast = 64
	// wasteShare is what a token costs, in times of its reading, that is read
	// although another engine has it or is about to: the others' requests wait for
	// that reading too, most of all when every cache is empty at once.
	wasteShare = 2
	// copyShare is the same for a token that is fetched though it stays where it
	// was: the second copy displaces another token, which the next request for it
	// reads again, at three times its reading with what that delays. Caches are full
	// most of the time, and every other token that goes is asked for again.
	copyShare = 1.5
	// apartTokens is what another data centre costs, in tokens that are read: its
	// way is some milliseconds, its bytes are dear in some fleets, and the prompt's
	// parts are then kept in one data centre more.
	apartTokens = 2560
	// strayTokens is what a target that is not the prompt's home costs when nobody
	// is known to hold the prompt: the other entries look for it at its home.
	strayTokens = 800
	// runShare is what one more request beside the others costs them, as a part of
	// the time that a request needs besides its prompt: that is some ten steps of the
	// engine, each of which takes a little longer, over the some 70 tokens of a usual
	// answer.
	runShare = 0.03
	// olderShare is what weights cost that are no longer the newest, as a part of
	// the route's aim, from olderAfter on: the answer counts for a fifth less, one
	// that is late for two thirds less.
	olderShare = 0.2
	olderAfter = 1400 * time.Millisecond
	// fullAims is what an engine without room in its memory or batch costs, in the
	// route's aims: its newest runs would be preempted and read again, and be late.
	fullAims = 1
	// replacedCost is what a target costs at whose address another was listed
	// later: it is almost surely gone.
	replacedCost = 2 * time.Second
	// fullShare of an engine's memory is where preemption comes near.
	fullShare = 0.92
)

// weigh makes out the bill of a model engine, in time to the first token.
func (b *Board) weigh(c *Choice, matches map[string]mtholder.Match, home bool) {
	q, r, speed := c.query, c.record, c.speed
	own := matches[c.id]
	c.matched = own.Tokens
	c.kept = matches[q.cache].Tokens
	source, fetched := b.source(c, matches)
	c.fetch, c.fetched = source, fetched
	left := max(0, q.ask.GetPrompt()-own.Tokens-fetched)
	c.reads = left
	c.work = mtspeed.NewWork(r.queued()+left, fetched)
	c.bill[itemStart] = speed.Of(mtspeed.Start)
	c.bill[itemQueue] = speed.Tokens(float64(r.queued()))
	c.bill[itemRead] = speed.Tokens(float64(left))
	if fetched > 0 {
		c.bill[itemFetch] = speed.Of(mtspeed.Begin) + time.Duration(fetched)*speed.Of(mtspeed.Fetch)
	}
	c.estimate = c.bill.sum()
	pace := r.pace.now()
	for i := range c.bill {
		c.bill[i] = time.Duration(float64(c.bill[i]) * pace)
	}
	if fetched > 0 && source == q.cache {
		c.stored = true
		c.bill[itemFetch] += c.slack
	}
	c.expected = c.bill.sum()
	c.wait = c.bill[itemQueue]
	c.bill[itemRuns] = time.Duration(float64(r.others()+r.running) * runShare * float64(speed.Of(mtspeed.Start)))
	if r.target.GetDatacentre() != b.datacentre {
		c.bill[itemApart] = speed.Tokens(apartTokens)
	}
	if !home && own.Tokens == 0 && len(q.shared()) > 0 {
		c.bill[itemStray] = speed.Tokens(strayTokens)
	}
	c.bill[itemWaste] = speed.Tokens(wasteShare * float64(wasted(c, matches)))
	c.bill[itemCopy] = speed.Tokens(copyShare * float64(fetched))
	if c.behind > olderAfter {
		c.bill[itemOlder] = share(olderShare, q.aim)
	}
	if r.full(q) {
		c.bill[itemFull] = share(fullAims, q.aim)
	}
	r.doubts(&c.bill)
}

func share(of float64, d time.Duration) time.Duration { return time.Duration(of * float64(d)) }

// doubts are what speaks against a target besides its load.
func (r *record) doubts(b *bill) {
	b[itemFaults] = r.faults.cost()
	if r.replaced {
		b[itemReplaced] = replacedCost
	}
}

// wasted are the shared tokens that the target would read although another has
// them, or is about to.
func wasted(c *Choice, matches map[string]mtholder.Match) int64 {
	var known int64
	for _, match := range matches {
		known = max(known, match.Tokens)
	}
	return max(0, min(known, c.query.sharedTokens())-c.matched-c.fetched)
}

// source names whom to fetch from what the target lacks of the prompt's shared
// parts, and how many tokens that saves.
func (b *Board) source(c *Choice, matches map[string]mtholder.Match) (string, int64) {
	own := matches[c.id]
	var best mtholder.Match
	address, local := "", false
	for id, match := range matches {
		from, near := b.holder(c, id)
		if from == "" || match.Read < own.Tokens+fetchLeast {
			continue
		}
		if match.Read > best.Read || match.Read == best.Read && near && !local {
			best, address, local = match, from, near
		}
	}
	if address == "" && c.pays {
		// The store may hold parts that this process has not heard of; a miss costs a
		// millisecond.
		return c.query.cache, 0
	}
	if address == "" {
		return "", 0
	}
	return address, best.Read - own.Tokens
}

// storeAims is the part of the route's aim that fetches from a store may wait for its
// link: their answers are in time then, and while they wait their engines read other
// prompts.
const storeAims = 0.5

// holder returns the address of a holder that can be fetched from, "" where it
// can't, and whether it is in the target's data centre.
func (b *Board) holder(c *Choice, id string) (string, bool) {
	if id == c.query.cache {
		return id, false
	}
	r := b.records[id]
	if id == c.id || r == nil || time.Now().Before(r.faults.out) {
		return "", false
	}
	return r.target.GetAddress(), r.target.GetDatacentre() == c.record.target.GetDatacentre()
}

// others are the requests of other entries on the target, by its sidecar.
func (r *record) others() int {
	if !r.fresh() {
		return 0
	}
	report := r.state.GetReport()
	return max(0, int(report.GetRunning()+report.GetWaiting())-r.running)
}

// queued are the prompt tokens that wait to be read on the target.
func (r *record) queued() int64 {
	if !r.fresh() {
		return r.pending
	}
	return r.pending + r.state.GetPending()
}

// full says that the request would not fit beside what runs.
func (r *record) full(q *Query) bool {
	if !r.fresh() || r.state.GetReport().GetTotal() == 0 {
		return false
	}
	report := r.state.GetReport()
	need := float64(report.GetUsed() + r.queued() + q.ask.GetPrompt() + q.ask.GetOutput())
	if need > fullShare*float64(report.GetTotal()) {
		return true
	}
	slots := int(r.target.GetSlots())
	return slots > 0 && r.running+r.others() >= slots
}

// late says that the time allowed for weights is nearly over, where newer ones were named
// so long ago: their target is left out while another's are in time.
func (b *Board) late(behind time.Duration) bool { return behind > share(oldShare, b.allowed) }

// expires says that a run would begin after the time allowed for its weights.
func (b *Board) expires(c *Choice) bool {
	return b.allowed > 0 && c.behind > 0 && c.behind+c.expected > share(endShare, b.allowed)
}

package mtboard

import (
	"time"

	"github.com/mustardtide/mustardtide/internal/placement/mtholder"
)

const (
	// tokenTime is what an engine needs to read one token of a prompt: engines
	// of today read 32 in a millisecond.
	tokenTime = time.Second / 32_000
	// firstTime is what a request needs besides the reading of its prompt.
	firstTime = 70 * time.Millisecond
	// fetchBase and fetchToken are what a fetch of cached parts costs on a link
	// of 550 Gbit/s and 128 KB a token; twice as long between data centres.
	fetchBase  = 4 * time.Millisecond
	fetchToken = 2 * time.Microsecond
	// fetchLeast is the least gain in tokens for which a fetch is asked: below
	// it reading takes no longer.
	fetchLeast = 64
	// wasteTime is what a token costs that is read although another engine has it
	// or is about to: the others' requests wait for that reading too, most of all
	// when every cache is empty at once.
	wasteTime = 2 * tokenTime
	// copyTime is what a token costs that is fetched though it stays where it was:
	// the second copy displaces another token, which the next request for it reads
	// again. Caches are full most of the time, and every other token that goes is
	// asked for again.
	copyTime = 45 * time.Microsecond
	// stepTime is what one more running request costs each of the others' tokens,
	// over the some 70 tokens of a usual answer.
	stepTime = 2 * time.Millisecond
	// apartTime is what another data centre costs: a few milliseconds there and
	// back, and bytes that are dear in one fleet.
	apartTime = 80 * time.Millisecond
	// strayTime is what a target that is not the prompt's home costs when nobody
	// is known to hold the prompt: the other entries look for it at its home.
	strayTime = 25 * time.Millisecond
	// olderTime is what weights cost that are no longer the newest, from
	// olderAfter on: from then on the answers count for less.
	olderTime  = 120 * time.Millisecond
	olderAfter = 1400 * time.Millisecond
	// settleTime is how long after the naming of weights cold prompts go on to be
	// the rule: each of a hundred shared prompts is asked for every few seconds.
	settleTime = 4 * time.Second
	// fullCost is what an engine without room in its memory or batch costs: its
	// newest runs would be preempted and read again.
	fullCost = 700 * time.Millisecond
	// replacedCost is what a target costs at whose address another was listed
	// later: it is almost surely gone.
	replacedCost = 2 * time.Second
	// fullShare of an engine's memory is where preemption comes near.
	fullShare = 0.92
)

// weigh makes out the bill of a model engine, in time to the first token.
func (b *Board) weigh(c *Choice, matches map[string]mtholder.Match, home bool) {
	q, r := c.query, c.record
	own := matches[c.id]
	c.matched = own.Tokens
	c.kept = matches[storeHolder].Tokens
	source, fetched := b.source(c, matches)
	c.fetch, c.fetched = source, fetched
	left := max(0, q.ask.GetPrompt()-own.Tokens-fetched)
	c.reads = left
	c.bill[itemStart] = firstTime
	c.bill[itemQueue] = time.Duration(r.queued()) * tokenTime
	c.bill[itemRead] = time.Duration(left) * tokenTime
	if fetched > 0 {
		c.bill[itemFetch] = fetchBase + time.Duration(fetched)*fetchToken
	}
	c.estimate = c.bill.sum()
	pace := r.pace.now()
	for i := range c.bill {
		c.bill[i] = time.Duration(float64(c.bill[i]) * pace)
	}
	c.expected = c.bill.sum()
	c.wait = c.bill[itemQueue]
	c.bill[itemRuns] = time.Duration(r.others()+r.running) * stepTime
	if r.target.GetDatacentre() != b.datacentre {
		c.bill[itemApart] = apartTime
	}
	if !home && own.Tokens == 0 && len(q.shared()) > 0 {
		c.bill[itemStray] = strayTime
	}
	c.bill[itemWaste] = time.Duration(wasted(c, matches)) * wasteTime
	c.bill[itemCopy] = time.Duration(fetched) * copyTime
	if b.older(q.model(), c.version) {
		c.bill[itemOlder] = olderTime
	}
	if r.astray(q) {
		c.bill[itemLane] = laneTime
	}
	if r.full(q) {
		c.bill[itemFull] = fullCost
	}
	r.doubts(&c.bill)
}

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
	if address == "" && c.settled && c.query.sharedTokens() >= saveLeast {
		// The store may hold parts that this process has not heard of; a miss
		// costs a millisecond.
		return c.query.cache, 0
	}
	if address == "" {
		return "", 0
	}
	return address, best.Read - own.Tokens
}

// storeHolder stands for the store of cached parts among the holders.
const storeHolder = "store"

// holder returns the address of a holder that can be fetched from, "" where it
// can't, and whether it is in the target's data centre.
func (b *Board) holder(c *Choice, id string) (string, bool) {
	if id == storeHolder {
		return c.query.cache, false
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

// outdated says that the target's weights are too old for a run to begin on:
// others have the newest, and the time allowed for older ones is nearly over.
func (b *Board) outdated(model string, version int64, newest bool) bool {
	return newest && b.named[model].behind(version) > b.oldest
}

// older says that newer weights have been named for a while.
func (b *Board) older(model string, version int64) bool {
	return b.named[model].behind(version) > olderAfter
}

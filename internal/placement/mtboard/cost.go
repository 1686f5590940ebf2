package mtboard

import (
	"time"

	"github.com/mustardtide/mustardtide/internal/placement/mtbacklog"
	"github.com/mustardtide/mustardtide/internal/placement/mtholder"
	"github.com/mustardtide/mustardtide/internal/placement/mtspeed"
)

const (
	// minFetchTokens is the least gain in tokens for which a fetch is requested: below it,
	// prefill takes no longer.
	minFetchTokens = 64
	// redundantFactor is the cost of a token that is prefilled although another engine has it or
	// is about to, as a multiple of its prefill time. Other requests wait for that prefill too,
	// most of all when every cache is empty at once.
	redundantFactor = 2
	// copyFactor is the same for a token that is fetched while the source keeps it. The second
	// copy evicts another token, and the next request for that one prefills it again, which with
	// the delay to others costs three times its prefill. Caches are full most of the time, and
	// half of the evicted tokens are requested again.
	copyFactor = 1.5
	// distanceTokens is the cost of another data centre, in prefilled tokens. The way there takes
	// some milliseconds, its traffic is expensive in some fleets, and the prompt's parts are then
	// cached in one more data centre.
	distanceTokens = 2560
	// notHomeTokens is the cost, in prefilled tokens, of a target that is not the prompt's home
	// when it has none of the prompt cached: the other entries look for the prompt at its home.
	notHomeTokens = 800
	// concurrencyShare is the cost of a further concurrent request to the others, as a part of
	// the time that a request needs besides its prompt. That is some ten steps of the engine,
	// each of which takes a little longer, over the some 70 tokens of a usual answer.
	concurrencyShare = 0.03
	// oldWeightsShare is the cost of weights that are no longer the newest, as a part of the
	// route's aim, from oldWeightsAfter on. Such an answer is worth a fifth less; a late one is
	// worth two thirds less.
	oldWeightsShare = 0.2
	oldWeightsAfter = 1400 * time.Millisecond
	// noRoomAims is the cost of an engine without room in its memory or batch, as a multiple of
	// the route's aim: its newest runs would be preempted, prefilled again, and late.
	noRoomAims = 1
	// replacedPenalty is the cost of a target at whose address another was listed later: it is
	// almost certainly gone.
	replacedPenalty = 2 * time.Second
	// maxMemoryShare is the share of an engine's memory above which preemption is likely.
	maxMemoryShare = 0.92
)

// estimateModel fills in the cost breakdown of a model engine, in time to the first token.
func (b *Board) estimateModel(c *Choice, matches map[string]mtholder.Match, home bool) {
	q, r, speed := c.query, c.record, c.speed
	own := matches[c.id]
	c.matched = own.Tokens
	c.storedTokens = matches[q.store].Tokens
	source, fetched := b.source(c, matches)
	c.fetch, c.fetched = source, fetched
	left := max(0, q.ask.GetPrompt()-own.Tokens-fetched)
	c.prefillTokens = left
	queued := r.queuedAhead(q)
	c.work = mtspeed.NewWork(queued+left, fetched)
	c.breakdown[itemStart] = speed.Time(mtspeed.Start)
	c.breakdown[itemQueue] = speed.PrefillTime(float64(queued))
	c.breakdown[itemPrefill] = speed.PrefillTime(float64(left))
	if fetched > 0 {
		c.breakdown[itemFetch] = speed.Time(mtspeed.FetchSetup) + time.Duration(fetched)*speed.Time(mtspeed.Fetch)
	}
	c.baseEstimate = c.breakdown.sum()
	ratio := r.latency.value()
	for i := range c.breakdown {
		c.breakdown[i] = time.Duration(float64(c.breakdown[i]) * ratio)
	}
	if fetched > 0 && source == q.store {
		c.fromStore = true
		c.breakdown[itemFetch] += c.storeDelay
	}
	c.expected = c.breakdown.sum()
	c.wait = c.breakdown[itemQueue]
	c.breakdown[itemConcurrency] = time.Duration(float64(r.otherRequests()+r.running) * concurrencyShare * float64(speed.Time(mtspeed.Start)))
	if r.target.GetDatacentre() != b.datacentre {
		c.breakdown[itemDistance] = speed.PrefillTime(distanceTokens)
	}
	if !home && own.Tokens == 0 && len(q.shared()) > 0 {
		c.breakdown[itemNotHome] = speed.PrefillTime(notHomeTokens)
	}
	c.breakdown[itemRedundant] = speed.PrefillTime(redundantFactor * float64(redundantTokens(c, matches)))
	c.breakdown[itemCopy] = speed.PrefillTime(copyFactor * float64(fetched))
	if c.behind > oldWeightsAfter {
		c.breakdown[itemOldWeights] = scale(oldWeightsShare, q.aim)
	}
	if r.full(q) {
		c.breakdown[itemNoRoom] = scale(noRoomAims, q.aim)
	}
	c.breakdown[itemPreempted] = speed.PrefillTime(float64(r.preemptedTokens(q)))
	r.addPenalties(&c.breakdown)
}

func scale(of float64, d time.Duration) time.Duration { return time.Duration(of * float64(d)) }

// addPenalties adds the costs of a target that do not depend on its load.
func (r *record) addPenalties(b *costBreakdown) {
	b[itemFaults] = r.failures.penalty()
	if r.replaced {
		b[itemReplaced] = replacedPenalty
	}
}

// redundantTokens returns the number of shared tokens that the target would prefill although
// another has them, or is about to.
func redundantTokens(c *Choice, matches map[string]mtholder.Match) int64 {
	var known int64
	for _, match := range matches {
		known = max(known, match.Tokens)
	}
	return max(0, min(known, c.query.sharedTokens())-c.matched-c.fetched)
}

// source returns the address to fetch missing shared parts of the prompt from, and how many
// tokens that saves.
func (b *Board) source(c *Choice, matches map[string]mtholder.Match) (string, int64) {
	own := matches[c.id]
	var best mtholder.Match
	address, local := "", false
	for id, match := range matches {
		from, near := b.fetchAddress(c, id)
		if from == "" || match.Fetchable < own.Tokens+minFetchTokens {
			continue
		}
		if match.Fetchable > best.Fetchable || match.Fetchable == best.Fetchable && near && !local {
			best, address, local = match, from, near
		}
	}
	if address == "" && c.storeUseful {
		// The store may hold parts that this process does not know of; a miss costs a
		// millisecond.
		return c.query.store, 0
	}
	if address == "" {
		return "", 0
	}
	return address, best.Fetchable - own.Tokens
}

// maxStoreDelayAims is how long fetches from a store may wait for its link, as a part of the
// route's aim. Their answers are still in time then, and their engines prefill other prompts
// meanwhile.
const maxStoreDelayAims = 0.5

// fetchAddress returns the address of a holder of cached parts, "" if it can't be fetched from,
// and whether it is in the target's data centre.
func (b *Board) fetchAddress(c *Choice, id string) (string, bool) {
	if id == c.query.store {
		return id, false
	}
	r := b.records[id]
	if id == c.id || r == nil || time.Now().Before(r.failures.excludedUntil) {
		return "", false
	}
	return r.target.GetAddress(), r.target.GetDatacentre() == c.record.target.GetDatacentre()
}

// otherRequests returns the number of requests of other entries on the target, as its sidecar
// reports.
func (r *record) otherRequests() int {
	if !r.fresh() {
		return 0
	}
	report := r.state.GetReport()
	return max(0, int(report.GetRunning()+report.GetWaiting())-r.running)
}

// queuedTokens returns the number of prompt tokens that wait for prefill on the target.
func (r *record) queuedTokens() int64 {
	if !r.fresh() {
		return r.backlog.Queued()
	}
	return r.backlog.Queued() + r.state.GetPending()
}

// full reports whether the request would not fit beside those running that it does not preempt.
func (r *record) full(q *Query) bool {
	if !r.fresh() || r.state.GetReport().GetTotal() == 0 {
		return false
	}
	report := r.state.GetReport()
	used, runs := report.GetUsed(), r.running+r.otherRequests()
	if work := mtbacklog.Of(report.GetBacklog()); q.ranked && work.Known() {
		used, runs = work.UsedAhead(q.rank), work.RunsAhead(q.rank)
	}
	need := float64(used + r.queuedAhead(q) + q.ask.GetPrompt() + q.ask.GetOutput())
	if need > maxMemoryShare*float64(report.GetTotal()) {
		return true
	}
	slots := int(r.target.GetSlots())
	return slots > 0 && runs >= slots
}

// nearGracePeriodEnd reports whether weights superseded that long ago are close to the end of
// the grace period. Their targets are left out while others are in time.
func (b *Board) nearGracePeriodEnd(behind time.Duration) bool {
	return behind > scale(graceCutoffShare, b.gracePeriod)
}

// exceedsGracePeriod reports whether a run is expected to begin too late for its weights.
func (b *Board) exceedsGracePeriod(c *Choice) bool {
	return b.gracePeriod > 0 && c.behind > 0 && c.behind+c.expected > scale(graceDeadlineShare, b.gracePeriod)
}

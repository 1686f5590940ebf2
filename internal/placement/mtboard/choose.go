package mtboard

import (
	"iter"

	"time"

	"github.com/zeebo/xxh3"

	"github.com/mustardtide/mustardtide/internal/placement/mtholder"
	"github.com/mustardtide/mustardtide/internal/placement/mtspeed"
)

// Choose returns the target with the lowest cost, or nil if no target can take the request now.
// Targets with current state go before the others: after a probe, what looks better may only be
// what was not heard from for longest.
func (b *Board) Choose(q *Query) *Choice {
	b.mu.Lock()
	defer b.mu.Unlock()
	var best Choice
	var unfitCounts unfit
	runnersUp := make([]runnerUp, 0, maxRunnersUp)
	for c, why := range b.newEvaluation(q).candidates() {
		if why != unfitNone {
			unfitCounts[why]++
			continue
		}
		switch {
		case best.record == nil:
			best = *c
			best.runnersUp = runnersUp
		case c.betterThan(&best):
			c.runnersUp = best.runnersUp
			c.addRunnerUp(&best)
			best = *c
		default:
			best.addRunnerUp(c)
		}
	}
	if best.record == nil {
		return nil
	}
	best.unfit = unfitCounts
	best.begin()
	return &best
}

// betterThan reports whether a candidate is preferred to another.
func (c *Choice) betterThan(other *Choice) bool {
	if c.stateCurrent != other.stateCurrent {
		return c.stateCurrent
	}
	return c.cost < other.cost
}

// candidates iterates over the service's targets. The cost of each is estimated if it is fit to
// be considered. A Choice is valid only until the next iteration: it is large, and most are only
// looked at.
func (e *evaluation) candidates() iter.Seq2[*Choice, unfitReason] {
	return func(yield func(*Choice, unfitReason) bool) {
		var c Choice
		for _, r := range e.board.services[e.query.service.GetName()] {
			c = e.candidate(r)
			why := e.whyUnfit(&c)
			if why == unfitNone {
				e.estimate(&c)
				e.board.disabled.clearItems(&c.breakdown)
				c.cost = c.breakdown.sum()
				c.stateCurrent = e.query.current(r)
				if e.board.exceedsGracePeriod(&c) {
					why = unfitOutdated
				}
			}
			if !yield(&c, why) {
				return
			}
		}
	}
}

func (e *evaluation) candidate(r *record) Choice {
	return Choice{
		board: e.board, record: r, query: e.query, speed: e.speed,
		storeDelay: e.storeDelay, storeUseful: e.storeUseful,
		id: r.target.GetId(), address: r.target.GetAddress(),
	}
}

// evaluation is the state that all candidates of one choice share.
type evaluation struct {
	board *Board
	query *Query
	home  string
	// someInTime reports whether a run may still begin on the weights of some target, halfNewest
	// whether at least half of the targets have the newest.
	someInTime bool
	halfNewest bool
	// speed is the speed of the service's engines, storeDelay the delay of the store of cached
	// parts, and storeUseful whether the prompt's shared parts are worth the use of its link.
	speed       *mtspeed.Speed
	storeDelay  time.Duration
	storeUseful bool
	salts       map[int64]string
	matches     map[int64]map[string]mtholder.Match
}

func (b *Board) newEvaluation(q *Query) *evaluation {
	e := &evaluation{board: b, query: q, speed: b.speedOf(q.service)}
	if b.disabled.store {
		q.store = ""
	}
	if q.model() == "" {
		return e
	}
	if q.store != "" {
		e.storeDelay = b.delayOf(q.store).decayed()
		e.storeUseful = q.sharedTokens() >= minSaveTokens && e.storeDelay < scale(maxStoreDelayAims, q.aim)
	}
	e.home = b.home(q)
	e.surveyWeights()
	e.salts = map[int64]string{}
	e.matches = map[int64]map[string]mtholder.Match{}
	return e
}

// whyUnfit returns why a candidate is not to be considered. It sets the version of its weights.
func (e *evaluation) whyUnfit(c *Choice) unfitReason {
	if e.query.excluded[c.id] {
		return unfitTried
	}
	if e.query.wrongBuild(c.record) {
		return unfitBuild
	}
	if e.query.withheld[c.id] || e.query.skipLimited && e.board.limiter.Limited(c.id) {
		return unfitLimited
	}
	if why := c.record.whyUnfit(); why != unfitNone || e.query.model() == "" {
		return why
	}
	c.version = c.record.weightsVersion(e.query.model())
	naming := e.board.naming(e.query.model())
	c.behind = naming.OutdatedFor(c.version)
	if e.someInTime && e.board.nearGracePeriodEnd(c.behind) {
		return unfitOutdated
	}
	if e.halfNewest && naming.Uncertain(c.version) {
		return unfitOutdated
	}
	return unfitNone
}

// estimate fills in a candidate's cost breakdown.
func (e *evaluation) estimate(c *Choice) {
	q := e.query
	if q.model() == "" {
		e.board.estimatePlain(c)
		return
	}
	if e.matches[c.version] == nil {
		e.salts[c.version] = q.salt(c.version)
		e.matches[c.version] = e.board.holders.Matches(e.salts[c.version], q.ask.GetParts())
	}
	c.salt = e.salts[c.version]
	e.board.estimateModel(c, e.matches[c.version], c.id == e.home)
}

// home returns the target of the entry's data centre to which the request's deepest shared part
// hashes, so that all entries agree on it. A target with a limit is never a home: whether it can
// take a request changes many times a second.
func (b *Board) home(q *Query) string {
	part := deepest(q.ask)
	if part == nil {
		return ""
	}
	best, home := uint64(0), ""
	for _, r := range b.services[q.service.GetName()] {
		if r.target.GetDatacentre() != b.datacentre || b.limiter.Limited(r.target.GetId()) || !r.usable() {
			continue
		}
		if score := xxh3.HashStringSeed(part.GetId(), r.idHash); home == "" || score > best {
			best, home = score, r.target.GetId()
		}
	}
	return home
}

// surveyWeights compares the weights of the service's usable targets.
func (e *evaluation) surveyWeights() {
	naming := e.board.naming(e.query.model())
	usable, newest := 0, 0
	for _, r := range e.board.services[e.query.service.GetName()] {
		if !r.usable() {
			continue
		}
		usable++
		behind := naming.OutdatedFor(r.weightsVersion(e.query.model()))
		if behind == 0 {
			newest++
		}
		e.someInTime = e.someInTime || !e.board.nearGracePeriodEnd(behind)
	}
	e.halfNewest = 2*newest >= usable
}

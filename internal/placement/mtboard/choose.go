package mtboard

import (
	"iter"

	"time"

	"github.com/zeebo/xxh3"

	"github.com/mustardtide/mustardtide/internal/placement/mtholder"
	"github.com/mustardtide/mustardtide/internal/placement/mtspeed"
)

// Choose returns the target of the least cost, or nil where no target can take
// the request now. Where sidecars were asked, those whose word is of this moment go
// before the others: what looks better may be what was not heard of for longest.
func (b *Board) Choose(q *Query) *Choice {
	b.mu.Lock()
	defer b.mu.Unlock()
	var best Choice
	var out unfit
	lost := make([]loser, 0, told)
	for c, l := range b.weighing(q).candidates() {
		if l != lackNone {
			out[l]++
			continue
		}
		switch {
		case best.record == nil:
			best = *c
			best.lost = lost
		case c.before(&best):
			c.lost = best.lost
			c.lose(&best)
			best = *c
		default:
			best.lose(c)
		}
	}
	if best.record == nil {
		return nil
	}
	best.unfit = out
	best.begin()
	return &best
}

// before says that a candidate is the better one.
func (c *Choice) before(other *Choice) bool {
	if c.current != other.current {
		return c.current
	}
	return c.cost < other.cost
}

// candidates are the service's targets, weighed where nothing keeps them from being
// considered. Each stands until the next one comes: a candidate is large, and most are
// only looked at.
func (w *weighing) candidates() iter.Seq2[*Choice, lack] {
	return func(yield func(*Choice, lack) bool) {
		var c Choice
		for _, r := range w.board.services[w.query.service.GetName()] {
			c = w.candidate(r)
			l := w.lack(&c)
			if l == lackNone {
				w.weigh(&c)
				w.board.without.leave(&c.bill)
				c.cost = c.bill.sum()
				c.current = w.query.current(r)
				if w.board.expires(&c) {
					l = lackOutdated
				}
			}
			if !yield(&c, l) {
				return
			}
		}
	}
}

func (w *weighing) candidate(r *record) Choice {
	return Choice{
		board: w.board, record: r, query: w.query, speed: w.speed, slack: w.slack, pays: w.pays,
		id: r.target.GetId(), address: r.target.GetAddress(),
	}
}

// weighing is what all candidates of one choice share.
type weighing struct {
	board *Board
	query *Query
	home  string
	// inTime says that a run may still begin on some target's weights, halfNewest that
	// half of the targets or more have the newest.
	inTime     bool
	halfNewest bool
	// speed is that of the service's engines, slack the delay of the store of cached
	// parts, and pays that the prompt's shared parts are worth its link.
	speed   *mtspeed.Speed
	slack   time.Duration
	pays    bool
	salts   map[int64]string
	matches map[int64]map[string]mtholder.Match
}

func (b *Board) weighing(q *Query) *weighing {
	w := &weighing{board: b, query: q, speed: b.speed(q.service)}
	if b.without.store {
		q.cache = ""
	}
	if q.model() == "" {
		return w
	}
	if q.cache != "" {
		w.slack = b.delay(q.cache).now()
		w.pays = q.sharedTokens() >= saveLeast && w.slack < share(storeAims, q.aim)
	}
	w.home = b.home(q)
	w.look()
	w.salts = map[int64]string{}
	w.matches = map[int64]map[string]mtholder.Match{}
	return w
}

// lack says what keeps a candidate from being considered; it sets the version of
// its weights.
func (w *weighing) lack(c *Choice) lack {
	if w.query.excluded[c.id] {
		return lackTried
	}
	if w.query.foreign(c.record) {
		return lackBuild
	}
	if w.query.withheld[c.id] || w.query.unlimited && w.board.limiter.Limited(c.id) {
		return lackLimited
	}
	if l := c.record.lack(); l != lackNone || w.query.model() == "" {
		return l
	}
	c.version = c.record.weights(w.query.model())
	naming := w.board.naming(w.query.model())
	c.behind = naming.Behind(c.version)
	if w.inTime && w.board.late(c.behind) {
		return lackOutdated
	}
	if w.halfNewest && naming.Uncertain(c.version) {
		return lackOutdated
	}
	return lackNone
}

// weigh makes out a candidate's bill.
func (w *weighing) weigh(c *Choice) {
	q := w.query
	if q.model() == "" {
		w.board.weighPlain(c)
		return
	}
	if w.matches[c.version] == nil {
		w.salts[c.version] = q.salt(c.version)
		w.matches[c.version] = w.board.holders.Matches(w.salts[c.version], q.ask.GetParts())
	}
	c.salt = w.salts[c.version]
	w.board.weigh(c, w.matches[c.version], c.id == w.home)
}

// home is the target of the request's data centre to which its deepest shared
// part hashes, so that all entries agree on it. A limited target is nobody's: whether it
// takes a request changes many times a second.
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
		if score := xxh3.HashStringSeed(part.GetId(), r.hash); home == "" || score > best {
			best, home = score, r.target.GetId()
		}
	}
	return home
}

// look goes over the weights of the service's usable targets.
func (w *weighing) look() {
	naming := w.board.naming(w.query.model())
	usable, newest := 0, 0
	for _, r := range w.board.services[w.query.service.GetName()] {
		if !r.usable() {
			continue
		}
		usable++
		behind := naming.Behind(r.weights(w.query.model()))
		if behind == 0 {
			newest++
		}
		w.inTime = w.inTime || !w.board.late(behind)
	}
	w.halfNewest = 2*newest >= usable
}

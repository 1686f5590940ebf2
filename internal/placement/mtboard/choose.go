package mtboard

import (
	"time"

	"github.com/zeebo/xxh3"

	"github.com/mustardtide/mustardtide/internal/placement/mtholder"
)

// Choose returns the target of the least cost, or nil where no target can take
// the request now.
func (b *Board) Choose(q *Query) *Choice {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.weighing(q)
	var best, c Choice
	for _, r := range b.services[q.service.GetName()] {
		c = Choice{board: b, record: r, query: q, id: r.target.GetId(), address: r.target.GetAddress()}
		if q.excluded[c.id] || !r.usable() || !w.weigh(&c) {
			continue
		}
		if best.record == nil || c.cost < best.cost {
			c.lost = best.followed()
			best = c
		} else {
			best.lose(&c)
		}
	}
	if best.record == nil {
		return nil
	}
	best.begin()
	return &best
}

// weighing is what all candidates of one choice share.
type weighing struct {
	board   *Board
	query   *Query
	home    string
	newest  bool
	settled bool
	salts   map[int64]string
	matches map[int64]map[string]mtholder.Match
}

func (b *Board) weighing(q *Query) *weighing {
	w := &weighing{board: b, query: q}
	if q.model() == "" {
		return w
	}
	w.home = b.home(q)
	w.newest = b.anyNewest(q)
	w.settled = b.named[q.model()].settled() > settleTime
	w.salts = map[int64]string{}
	w.matches = map[int64]map[string]mtholder.Match{}
	return w
}

// weigh sets a candidate's cost; it reports whether the candidate may be chosen.
func (w *weighing) weigh(c *Choice) bool {
	q := w.query
	if q.model() == "" {
		w.board.weighPlain(c)
		return true
	}
	c.version = c.record.weights(q.model())
	if w.board.outdated(q.model(), c.version, w.newest) {
		return false
	}
	if w.matches[c.version] == nil {
		w.salts[c.version] = q.salt(c.version)
		w.matches[c.version] = w.board.holders.Matches(w.salts[c.version], q.ask.GetParts())
	}
	c.salt, c.settled = w.salts[c.version], w.settled
	w.board.weigh(c, w.matches[c.version], c.id == w.home)
	return true
}

// usable says that the target may be given requests at all.
func (r *record) usable() bool {
	if r.target.GetLeaving() || r.misplaced || time.Now().Before(r.faults.out) {
		return false
	}
	return !r.fresh() || r.state.GetAnswers() && !r.state.GetOrdering()
}

// home is the target of the request's data centre to which its deepest shared
// part hashes, so that all entries agree on it.
func (b *Board) home(q *Query) string {
	parts := q.shared()
	if len(parts) == 0 {
		return ""
	}
	part := parts[len(parts)-1].GetId()
	best, home := uint64(0), ""
	for _, r := range b.services[q.service.GetName()] {
		if r.target.GetDatacentre() != b.datacentre || !r.usable() || r.astray(q) {
			continue
		}
		if score := xxh3.HashStringSeed(part, r.hash); home == "" || score > best {
			best, home = score, r.target.GetId()
		}
	}
	return home
}

// anyNewest says that some usable target of the service has the newest weights.
func (b *Board) anyNewest(q *Query) bool {
	version := b.named[q.model()].weights.GetVersion()
	for _, r := range b.services[q.service.GetName()] {
		if r.usable() && r.weights(q.model()) >= version {
			return true
		}
	}
	return false
}

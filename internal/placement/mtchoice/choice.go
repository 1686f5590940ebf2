// Package mtchoice is one request's targets on their way from candidates to
// an order.
package mtchoice

import (
	"cmp"
	"slices"
	"time"

	"github.com/mustardtide/mustardtide/internal/placement/mtscore"
	"github.com/mustardtide/mustardtide/internal/placement/mttarget"
	"github.com/mustardtide/mustardtide/internal/prefix/mtchain"
)

// kind says why a target is a candidate.
type kind int

// Kinds of candidates. A reserve is the next home of a prefix: it is used when
// the others make the caller wait longer than computing anew. A neighbour is a
// home of a shorter or longer prefix: it gets the request only if it holds it.
const (
	home kind = iota
	remembered
	reserve
	neighbour
)

// candidate is one target.
type candidate struct {
	target  *mttarget.Target
	kind    kind
	matched uint64
	wait    time.Duration
	refused bool
	score   mtscore.Score
}

// Choice holds the candidates of one request. It belongs to one goroutine.
type Choice struct {
	chain  mtchain.Chain
	prompt uint64
	depth  int
	least  int
	fresh  bool
	list   []candidate
}

// New returns a choice without candidates; prompt is in tokens, depth the
// number of marks that name the homes.
func New(chain mtchain.Chain, prompt uint64, depth int) *Choice {
	return &Choice{chain: chain, prompt: prompt, depth: depth, list: make([]candidate, 0, 8)}
}

// Chain is the prompt's prefix chain.
func (c *Choice) Chain() mtchain.Chain { return c.chain }

// Prompt is the prompt's length in tokens.
func (c *Choice) Prompt() uint64 { return c.prompt }

// Depth is the number of marks that name the prompt's homes; 0 for none.
func (c *Choice) Depth() int { return c.depth }

// Least is the number of marks that make a target a holder of the prompt.
func (c *Choice) Least() int { return c.least }

// SetLeast sets the number of marks that make a target a holder.
func (c *Choice) SetLeast(marks int) { c.least = marks }

// Fresh says that what the entry knows is new enough to run without offers.
func (c *Choice) Fresh() bool { return c.fresh }

// SetFresh marks the choice as fresh or not.
func (c *Choice) SetFresh(fresh bool) { c.fresh = fresh }

// AddHome adds a home of the prompt.
func (c *Choice) AddHome(t *mttarget.Target) { c.add(t, home, 0) }

// AddReserve adds the home that comes next when the prompt's prefix widens.
func (c *Choice) AddReserve(t *mttarget.Target) { c.add(t, reserve, 0) }

// AddNeighbour adds a home of a shorter or longer prefix.
func (c *Choice) AddNeighbour(t *mttarget.Target) { c.add(t, neighbour, 0) }

// AddRemembered adds a target that was seen with so many tokens of the prompt.
func (c *Choice) AddRemembered(t *mttarget.Target, matched uint64) { c.add(t, remembered, matched) }

// add keeps a target once; a sighting goes before a home.
func (c *Choice) add(t *mttarget.Target, kind kind, matched uint64) {
	for i := range c.list {
		if c.list[i].target == t {
			c.list[i].matched = max(c.list[i].matched, matched)
			return
		}
	}
	c.list = append(c.list, candidate{target: t, kind: kind, matched: matched, wait: t.Wait()})
}

// Len is the number of candidates.
func (c *Choice) Len() int { return len(c.list) }

// Target is the i-th candidate.
func (c *Choice) Target(i int) *mttarget.Target { return c.list[i].target }

// Find returns the number of a target, or -1.
func (c *Choice) Find(name string) int {
	return slices.IndexFunc(c.list, func(known candidate) bool { return known.target.Name() == name })
}

// Matched is the tokens of the prompt that the i-th candidate has cached, as
// far as is known.
func (c *Choice) Matched(i int) uint64 { return c.list[i].matched }

// Wait is the expected wait at the i-th candidate.
func (c *Choice) Wait(i int) time.Duration { return c.list[i].wait }

// Reserve says whether the i-th candidate is a reserve.
func (c *Choice) Reserve(i int) bool { return c.list[i].kind == reserve }

// Neighbour says whether the i-th candidate is a neighbour.
func (c *Choice) Neighbour(i int) bool { return c.list[i].kind == neighbour }

// Refused says whether the i-th candidate refused or did not answer.
func (c *Choice) Refused(i int) bool { return c.list[i].refused }

// Offered takes in the i-th candidate's own word: tokens cached and wait.
func (c *Choice) Offered(i int, matched uint64, wait time.Duration) {
	c.list[i].matched = matched
	c.list[i].wait = wait
}

// Refuse marks the i-th candidate as one that refused or did not answer: it
// is tried last.
func (c *Choice) Refuse(i int) { c.list[i].refused = true }

// Price sets the i-th candidate's score.
func (c *Choice) Price(i int, score mtscore.Score) { c.list[i].score = score }

// Score is the i-th candidate's price.
func (c *Choice) Score(i int) mtscore.Score { return c.list[i].score }

// Sort orders the candidates: first those that first names, each part by
// score; those that refused come last.
func (c *Choice) Sort(first func(i int) bool) {
	ranks := make([]int, len(c.list))
	for i := range c.list {
		switch {
		case c.list[i].refused:
			ranks[i] = 2
		case !first(i):
			ranks[i] = 1
		}
	}
	order := make([]int, len(c.list))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		if r := ranks[a] - ranks[b]; r != 0 {
			return r
		}
		return cmp.Compare(c.list[a].score, c.list[b].score)
	})
	sorted := make([]candidate, len(order))
	for i, from := range order {
		sorted[i] = c.list[from]
	}
	c.list = sorted
}

// Cut keeps the first n candidates.
func (c *Choice) Cut(n int) { c.list = c.list[:min(n, len(c.list))] }

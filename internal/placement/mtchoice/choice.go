// Package mtchoice holds the candidate targets of one request and sorts them
// into the order in which they are tried.
package mtchoice

import (
	"cmp"
	"slices"
	"time"

	"github.com/mustardtide/mustardtide/internal/placement/mtscore"
	"github.com/mustardtide/mustardtide/internal/placement/mttarget"
	"github.com/mustardtide/mustardtide/internal/prefix/mtchain"
)

// kind is the reason why a target is a candidate.
type kind int

// Kinds of candidates. A reserve is the next home of a prefix. It is used when
// waiting for the other homes takes longer than computing the prefix again. A
// neighbour is a home of a shorter or longer prefix. It gets the request only if
// it has the prompt cached.
const (
	home kind = iota
	remembered
	reserve
	neighbour
)

// candidate is one target and what is known of it for this request.
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
	chain          mtchain.Chain
	promptTokens   uint64
	depth          int
	minHolderMarks int
	skipOffers     bool
	candidates     []candidate
}

// New returns a choice without candidates. depth is the number of marks in the
// prefix that determines the homes.
func New(chain mtchain.Chain, promptTokens uint64, depth int) *Choice {
	return &Choice{chain: chain, promptTokens: promptTokens, depth: depth, candidates: make([]candidate, 0, 8)}
}

// Chain returns the prompt's prefix chain.
func (c *Choice) Chain() mtchain.Chain { return c.chain }

// PromptTokens returns the prompt's length in tokens.
func (c *Choice) PromptTokens() uint64 { return c.promptTokens }

// Depth returns the number of marks in the prefix that determines the prompt's
// homes; 0 if it has none.
func (c *Choice) Depth() int { return c.depth }

// HolderMarks returns the number of marks that a target must have cached to count as
// a holder of the prompt.
func (c *Choice) HolderMarks() int { return c.minHolderMarks }

// SetHolderMarks sets the number of marks that a target must have cached to count as
// a holder of the prompt.
func (c *Choice) SetHolderMarks(marks int) { c.minHolderMarks = marks }

// SkipOffers reports whether the entry's knowledge is recent enough to send the
// request without offers.
func (c *Choice) SkipOffers() bool { return c.skipOffers }

// SetSkipOffers sets whether the request is sent without offers.
func (c *Choice) SetSkipOffers(skip bool) { c.skipOffers = skip }

// AddHome adds a home of the prompt.
func (c *Choice) AddHome(t *mttarget.Target) { c.add(t, home, 0) }

// AddReserve adds the home that is used next if the prefix gets one more home.
func (c *Choice) AddReserve(t *mttarget.Target) { c.add(t, reserve, 0) }

// AddNeighbour adds a home of a shorter or longer prefix.
func (c *Choice) AddNeighbour(t *mttarget.Target) { c.add(t, neighbour, 0) }

// AddRemembered adds a target that recently had the given number of the prompt's
// tokens cached.
func (c *Choice) AddRemembered(t *mttarget.Target, matched uint64) { c.add(t, remembered, matched) }

// add adds a target unless it is a candidate already. A target that is added
// again keeps its kind and the larger number of matched tokens.
func (c *Choice) add(t *mttarget.Target, kind kind, matched uint64) {
	for i := range c.candidates {
		if c.candidates[i].target == t {
			c.candidates[i].matched = max(c.candidates[i].matched, matched)
			return
		}
	}
	c.candidates = append(c.candidates, candidate{target: t, kind: kind, matched: matched, wait: t.Wait()})
}

// Len returns the number of candidates.
func (c *Choice) Len() int { return len(c.candidates) }

// Target returns the i-th candidate.
func (c *Choice) Target(i int) *mttarget.Target { return c.candidates[i].target }

// Index returns the index of the target with the given name, or -1.
func (c *Choice) Index(name string) int {
	return slices.IndexFunc(c.candidates, func(known candidate) bool { return known.target.Name() == name })
}

// Matched returns how many of the prompt's tokens the i-th candidate is known to
// have cached.
func (c *Choice) Matched(i int) uint64 { return c.candidates[i].matched }

// Wait returns the expected wait at the i-th candidate.
func (c *Choice) Wait(i int) time.Duration { return c.candidates[i].wait }

// IsReserve reports whether the i-th candidate is a reserve.
func (c *Choice) IsReserve(i int) bool { return c.candidates[i].kind == reserve }

// IsNeighbour reports whether the i-th candidate is a neighbour.
func (c *Choice) IsNeighbour(i int) bool { return c.candidates[i].kind == neighbour }

// Refused reports whether the i-th candidate refused its offer or did not answer.
func (c *Choice) Refused(i int) bool { return c.candidates[i].refused }

// ApplyOffer applies the i-th candidate's answer to an offer: the tokens that it has
// cached and its expected wait.
func (c *Choice) ApplyOffer(i int, matched uint64, wait time.Duration) {
	c.candidates[i].matched = matched
	c.candidates[i].wait = wait
}

// MarkRefused marks the i-th candidate as one that refused its offer or did not answer.
// Such candidates are tried last.
func (c *Choice) MarkRefused(i int) { c.candidates[i].refused = true }

// SetScore sets the i-th candidate's score.
func (c *Choice) SetScore(i int, score mtscore.Score) { c.candidates[i].score = score }

// Score returns the i-th candidate's score.
func (c *Choice) Score(i int) mtscore.Score { return c.candidates[i].score }

// Sort puts the candidates that are preferred first, then the others, and those
// that refused last. Each group is sorted by score.
func (c *Choice) Sort(preferred func(i int) bool) {
	ranks := make([]int, len(c.candidates))
	for i := range c.candidates {
		switch {
		case c.candidates[i].refused:
			ranks[i] = 2
		case !preferred(i):
			ranks[i] = 1
		}
	}
	order := make([]int, len(c.candidates))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		if difference := ranks[a] - ranks[b]; difference != 0 {
			return difference
		}
		return cmp.Compare(c.candidates[a].score, c.candidates[b].score)
	})
	sorted := make([]candidate, len(order))
	for i, from := range order {
		sorted[i] = c.candidates[from]
	}
	c.candidates = sorted
}

// Truncate keeps the first n candidates.
func (c *Choice) Truncate(n int) { c.candidates = c.candidates[:min(n, len(c.candidates))] }

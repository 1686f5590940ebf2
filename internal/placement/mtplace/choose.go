package mtplace

import (
	"math"
	"math/bits"
	"time"

	"github.com/mustardtide/mustardtide/internal/placement/mtchoice"
	"github.com/mustardtide/mustardtide/internal/placement/mtscore"
	"github.com/mustardtide/mustardtide/internal/placement/mttarget"
	"github.com/mustardtide/mustardtide/internal/placement/mtwiden"
	"github.com/mustardtide/mustardtide/internal/prefix/mtchain"
)

const (
	// MaxCandidates limits the candidates of one request: two homes, the homes one level up and down,
	// and two remembered targets. Each is asked for an offer, a small call of some 50
	// microseconds; the calls run in parallel.
	MaxCandidates = 6
	// uniqueShare is the share of a prompt assumed to be the caller's own question. The homes are
	// derived from the largest power-of-two number of marks that leaves it out.
	uniqueShare = 0.25
	// holderShare is the share of a prompt that a target must have cached to count as a holder
	// regardless of how hot the prefix is. Documents of one origin have less in common, and that
	// common part must not draw all of them to one target.
	holderShare = 0.5
	// hotShare is the fraction of one target's share of the requests up to which a shorter prefix
	// may concentrate its requests on one target. It leaves room for a prefix with twice the load
	// that it appears to have.
	hotShare = 0.5
	// minSamples is the number of requests per target needed to estimate the share of a prefix:
	// with fewer, a single further sighting would change the result.
	minSamples = 4
	// maxSightingAge and maxStateAge limit the age of information that is trusted without asking
	// for offers. Below maxIdleWait a wrong choice costs less than the offers would.
	maxSightingAge = time.Second
	maxStateAge    = 100 * time.Millisecond
	maxIdleWait    = 5 * time.Millisecond
	// plainSamples is the number of targets sampled for a request without a prefix.
	plainSamples = 2
)

// Choose returns the candidates of a request, ordered by the local estimate of their cost. The
// prompt length is in tokens.
func (p *Placer) Choose(chain mtchain.Chain, prompt uint64) *mtchoice.Choice {
	f := p.fleet.Load()
	depth := homeDepth(chain.Len())
	c := mtchoice.New(chain, prompt, depth)
	if len(f.list) == 0 {
		return c
	}
	if depth == 0 {
		p.addSamples(f, c)
	} else {
		c.SetHolderMarks(p.minDepth(f, chain))
		age := p.addRemembered(f, c)
		p.addHomes(f, c)
		defer func() { c.SetSkipOffers(p.fresh(c, age)) }()
	}
	p.updateScores(c)
	c.Sort(func(i int) bool { return c.Target(i).Usable() })
	c.Truncate(MaxCandidates)
	return c
}

// homeDepth returns the number of marks that determine a prompt's homes. It is a power of two so
// that prompts with the same document agree on it whatever their own length.
func homeDepth(markCount int) int {
	sharedMarks := markCount - int(float64(markCount)*uniqueShare)
	if sharedMarks == 0 {
		return 0
	}
	return 1 << (bits.Len(uint(sharedMarks)) - 1)
}

// addSamples adds sampled targets for a request without a prefix.
func (p *Placer) addSamples(f *fleet, c *mtchoice.Choice) {
	for range plainSamples {
		c.AddHome(p.sample(f))
	}
	for i := 0; c.Len() < plainSamples && i < len(f.list); i++ {
		c.AddHome(f.list[i])
	}
}

// addRemembered adds the targets that were last seen with the longest remembered prefix of the
// prompt. It returns the age of that sighting.
func (p *Placer) addRemembered(f *fleet, c *mtchoice.Choice) time.Duration {
	chain := c.Chain()
	for depth := chain.Len(); depth >= c.HolderMarks(); depth = below(depth) {
		targets, age := p.memory.Find(chain.At(depth - 1))
		if targets[0] == 0 {
			continue
		}
		for _, id := range targets {
			if t := f.byID[id]; t != nil && t.Usable() {
				c.AddRemembered(t, uint64(depth*chain.Span()/mtchain.BytesPerToken))
			}
		}
		if c.Len() > 0 {
			return age
		}
	}
	return never
}

// minDepth returns the number of marks of a prompt that a target must hold to count as a holder:
// half of them, or fewer if the shorter prefix accounts for less than one target's share of the
// requests.
func (p *Placer) minDepth(f *fleet, chain mtchain.Chain) int {
	least := int(math.Ceil(holderShare * float64(chain.Len())))
	requests := p.memory.RecentRequests()
	if requests < minSamples*float64(len(f.list)) {
		return least
	}
	limit := hotShare * requests / float64(len(f.list))
	for depth := below(least); depth > 0; depth = below(depth) {
		if p.memory.RecentRequestsFor(chain.At(depth-1)) > limit {
			break
		}
		least = depth
	}
	return least
}

// never is the age returned if there was no sighting.
const never = time.Hour

// below returns the next smaller depth at which prefixes are remembered. These depths are the
// powers of two and the midpoints between them.
func below(depth int) int {
	power := 1 << (bits.Len(uint(depth)) - 1)
	half := power + power/2
	switch {
	case depth > half:
		return half
	case depth > power:
		return power
	default:
		return power/2 + power/4
	}
}

// addHomes adds the current homes of the prompt's prefix, the next home as a reserve, and one home
// each a level up and down, where another entry may have placed a prompt of a different length.
func (p *Placer) addHomes(f *fleet, c *mtchoice.Choice) {
	chain, depth := c.Chain(), c.Depth()
	var space [mtwiden.MaxHomes + 1]int32
	mark := chain.At(depth - 1)
	width := p.widen.Width(mark)
	for i, home := range f.homes.Append(space[:0], mark, width+1) {
		if i < width {
			c.AddHome(f.list[home])
		} else {
			c.AddReserve(f.list[home])
		}
	}
	if 2*depth <= chain.Len() {
		p.addNeighbour(f, c, 2*depth)
	}
	if depth > 1 {
		p.addNeighbour(f, c, depth/2)
	}
}

func (p *Placer) addNeighbour(f *fleet, c *mtchoice.Choice, depth int) {
	var space [1]int32
	for _, home := range f.homes.Append(space[:0], c.Chain().At(depth-1), 1) {
		c.AddNeighbour(f.list[home])
	}
}

// fresh reports whether the best candidate is an idle holder whose sighting and state are recent,
// so that the request can run there without offers.
func (p *Placer) fresh(c *mtchoice.Choice, age time.Duration) bool {
	if c.Len() == 0 || age > maxSightingAge {
		return false
	}
	best := c.Target(0)
	return isHolder(c, 0) && !p.demote.Demoted(best.ID()) && best.ReportAge() < maxStateAge && best.Wait() < maxIdleWait
}

// isHolder reports whether a candidate has cached enough of the prompt.
func isHolder(c *mtchoice.Choice, i int) bool {
	return c.Matched(i) > 0 && c.Matched(i) >= uint64(c.HolderMarks()*c.Chain().Span()/mtchain.BytesPerToken)
}

// updateScores computes the scores of all candidates.
func (p *Placer) updateScores(c *mtchoice.Choice) {
	for i := range c.Len() {
		t := c.Target(i)
		uncached := c.PromptTokens()
		if isHolder(c, i) {
			uncached -= min(c.PromptTokens(), c.Matched(i))
		}
		c.SetScore(i, mtscore.Of(c.Wait(i), uncached, p.rate(), t.RoundTrip(), p.demote.Slowness(t.ID())))
	}
}

// Rank orders the candidates by preference once their offers are in.
//
// If no target holds the prefix, the cheapest of all comes first. Otherwise the others stay behind
// the holders until the prefix widens. A demoted target counts as a holder only for its probes:
// its prefixes move to other targets, each computed once there, since otherwise all requests for
// them would be late as long as it stays slow.
func (p *Placer) Rank(c *mtchoice.Choice) {
	p.updateScores(c)
	best, other := -1, -1
	preferred := make(map[*mttarget.Target]bool, c.Len())
	for i := range c.Len() {
		excluded := p.excluded(c, i)
		switch {
		case c.Refused(i):
		case isHolder(c, i) && !excluded:
			best = cheaper(c, best, i)
			preferred[c.Target(i)] = true
		case c.IsNeighbour(i), excluded:
		default:
			other = cheaper(c, other, i)
		}
	}
	if other >= 0 && (best < 0 || p.widens(c, best, other)) {
		preferred[c.Target(other)] = true
	}
	c.Sort(func(i int) bool { return preferred[c.Target(i)] })
}

// excluded reports whether a target is demoted and this request is not its probe.
func (p *Placer) excluded(c *mtchoice.Choice, i int) bool {
	id := c.Target(i).ID()
	return p.demote.Demoted(id) && (!isHolder(c, i) || !p.demote.TakeProbe(id))
}

// cheaper returns the index of the candidate with the lower score; best is -1 if there is none yet.
func cheaper(c *mtchoice.Choice, best, i int) int {
	if best < 0 || c.Score(i) < c.Score(best) {
		return i
	}
	return best
}

// widens updates the number of homes of the prefix and reports whether it gains one for this
// request.
func (p *Placer) widens(c *mtchoice.Choice, best, other int) bool {
	if c.Depth() == 0 {
		return false
	}
	mark := c.Chain().At(c.Depth() - 1)
	before := p.widen.Width(mark)
	after := p.widen.Observe(mark, time.Duration(c.Score(best)), time.Duration(c.Score(other)))
	return after > before
}

// Homes returns the names of the first n homes of a prompt, without remembered targets. It is meant
// for tests and operators.
func (p *Placer) Homes(chain mtchain.Chain, n int) []string {
	f := p.fleet.Load()
	depth := homeDepth(chain.Len())
	if depth == 0 {
		return nil
	}
	var list []string
	for _, home := range f.homes.Append(nil, chain.At(depth-1), n) {
		list = append(list, f.list[home].Name())
	}
	return list
}

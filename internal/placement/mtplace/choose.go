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
	// Probes bounds the targets that one request is offered to: two homes, the
	// homes a level up and down, two remembered ones. Each costs a small call
	// of some 50 microseconds; they run side by side.
	Probes = 6
	// tail is the share of a prompt taken for the caller's own question: the
	// homes are named by the deepest power of two marks that leaves it out.
	tail = 0.25
	// holds is the share of a prompt that a target must have cached to count
	// as a holder whatever the prefix. What the dossiers of one school share is
	// less, and must not draw all of them to one target.
	holds = 0.5
	// fair is the part of one target's share of the requests up to which a
	// shorter prefix may draw its requests to one target: twice the load that a
	// prefix seems to have still fits there.
	fair = 0.5
	// evidence is the requests per target that must have been seen to tell a
	// prefix's share: with fewer, one more sighting decides.
	evidence = 4
	// freshSighting and freshWord bound what may be trusted without an offer,
	// and idle the wait up to which a mistake costs less than the offer.
	freshSighting = time.Second
	freshWord     = 100 * time.Millisecond
	idle          = 5 * time.Millisecond
	// plainSamples is the number of targets tried for a request without prefix.
	plainSamples = 2
)

// Choose lists the candidates of a request, the best first by what this entry
// knows; prompt is in tokens.
func (p *Place) Choose(chain mtchain.Chain, prompt uint64) *mtchoice.Choice {
	f := p.fleet.Load()
	depth := homeDepth(chain.Len())
	c := mtchoice.New(chain, prompt, depth)
	if len(f.list) == 0 {
		return c
	}
	if depth == 0 {
		p.spread(f, c)
	} else {
		c.SetLeast(p.least(f, chain))
		age := p.recall(f, c)
		p.addHomes(f, c)
		defer func() { c.SetFresh(p.fresh(c, age)) }()
	}
	p.price(c)
	c.Sort(func(i int) bool { return c.Target(i).Usable() })
	c.Cut(Probes)
	return c
}

// homeDepth is the number of marks that name a prompt's homes: a power of
// two, so that prompts of one dossier agree on it whatever their own length.
func homeDepth(marks int) int {
	shared := marks - int(float64(marks)*tail)
	if shared == 0 {
		return 0
	}
	return 1 << (bits.Len(uint(shared)) - 1)
}

// spread adds samples for a request without a prefix.
func (p *Place) spread(f *fleet, c *mtchoice.Choice) {
	for range plainSamples {
		c.AddHome(p.sample(f))
	}
	for i := 0; c.Len() < plainSamples && i < len(f.list); i++ {
		c.AddHome(f.list[i])
	}
}

// recall adds the targets that were last seen with the deepest remembered
// part of the prompt and returns the sighting's age.
func (p *Place) recall(f *fleet, c *mtchoice.Choice) time.Duration {
	chain := c.Chain()
	for depth := chain.Len(); depth >= c.Least(); depth = below(depth) {
		targets, age := p.memory.Find(chain.At(depth - 1))
		if targets[0] == 0 {
			continue
		}
		for _, id := range targets {
			if t := f.byID[id]; t != nil && t.Usable() {
				c.AddRemembered(t, uint64(depth*chain.Span()/mtchain.TokenBytes))
			}
		}
		if c.Len() > 0 {
			return age
		}
	}
	return never
}

// least is the number of marks that a target must hold of a prompt to count as
// a holder: half of them, or fewer where the shorter prefix makes up less than
// one target's share of the requests.
func (p *Place) least(f *fleet, chain mtchain.Chain) int {
	least := int(math.Ceil(holds * float64(chain.Len())))
	requests := p.memory.Requests()
	if requests < evidence*float64(len(f.list)) {
		return least
	}
	limit := fair * requests / float64(len(f.list))
	for depth := below(least); depth > 0; depth = below(depth) {
		if p.memory.Sightings(chain.At(depth-1)) > limit {
			break
		}
		least = depth
	}
	return least
}

// never is the age of a sighting that never was.
const never = time.Hour

// below is the next depth, downwards, at which prefixes are remembered: the
// powers of two and the halves between them.
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

// addHomes adds the homes of the prompt: all that its prefix has now, the next
// one in reserve, and one each a level up and down, where another entry may
// have placed a prompt of another length.
func (p *Place) addHomes(f *fleet, c *mtchoice.Choice) {
	chain, depth := c.Chain(), c.Depth()
	var space [mtwiden.Most + 1]int32
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

func (p *Place) addNeighbour(f *fleet, c *mtchoice.Choice, depth int) {
	var space [1]int32
	for _, home := range f.homes.Append(space[:0], c.Chain().At(depth-1), 1) {
		c.AddNeighbour(f.list[home])
	}
}

// fresh says that the best candidate was seen with the prefix and heard from
// a moment ago, and is idle.
func (p *Place) fresh(c *mtchoice.Choice, age time.Duration) bool {
	if c.Len() == 0 || age > freshSighting {
		return false
	}
	best := c.Target(0)
	return holder(c, 0) && !p.demote.Demoted(best.ID()) && best.Age() < freshWord && best.Wait() < idle
}

// holder says that a candidate has cached enough of the prompt.
func holder(c *mtchoice.Choice, i int) bool {
	return c.Matched(i) > 0 && c.Matched(i) >= uint64(c.Least()*c.Chain().Span()/mtchain.TokenBytes)
}

func (p *Place) price(c *mtchoice.Choice) {
	for i := range c.Len() {
		t := c.Target(i)
		uncached := c.Prompt()
		if holder(c, i) {
			uncached -= min(c.Prompt(), c.Matched(i))
		}
		c.Price(i, mtscore.Of(c.Wait(i), uncached, p.rate(), t.Distance(), p.demote.Slowness(t.ID())))
	}
}

// Rank puts the candidates in the order to try them, after the offers.
//
// Where no target holds the prefix, the best of all gets it. Where some do,
// the others wait for their turn until the prefix widens. A target far behind
// its fleet is no holder but for a trickle: its prefixes move on, each computed
// once, or all who ask for them come late as long as it stays slow.
func (p *Place) Rank(c *mtchoice.Choice) {
	p.price(c)
	best, spare := -1, -1
	first := make(map[*mttarget.Target]bool, c.Len())
	for i := range c.Len() {
		shunned := p.shunned(c, i)
		switch {
		case c.Refused(i):
		case holder(c, i) && !shunned:
			best = cheaper(c, best, i)
			first[c.Target(i)] = true
		case c.Neighbour(i), shunned:
		default:
			spare = cheaper(c, spare, i)
		}
	}
	if spare >= 0 && (best < 0 || p.widens(c, best, spare)) {
		first[c.Target(spare)] = true
	}
	c.Sort(func(i int) bool { return first[c.Target(i)] })
}

// shunned says that a target is demoted and that this is not its trial.
func (p *Place) shunned(c *mtchoice.Choice, i int) bool {
	id := c.Target(i).ID()
	return p.demote.Demoted(id) && (!holder(c, i) || !p.demote.Probe(id))
}

func cheaper(c *mtchoice.Choice, best, i int) int {
	if best < 0 || c.Score(i) < c.Score(best) {
		return i
	}
	return best
}

// widens reports whether the prefix gets one more home for this request.
func (p *Place) widens(c *mtchoice.Choice, best, spare int) bool {
	if c.Depth() == 0 {
		return false
	}
	mark := c.Chain().At(c.Depth() - 1)
	before := p.widen.Width(mark)
	after := p.widen.Waited(mark, time.Duration(c.Score(best)), time.Duration(c.Score(spare)))
	return after > before
}

// Homes gives the first n homes of a prompt, without memory; for tests and
// operators.
func (p *Place) Homes(chain mtchain.Chain, n int) []string {
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

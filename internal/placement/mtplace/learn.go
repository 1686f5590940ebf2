package mtplace

import (
	"time"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/placement/mtchoice"
	"github.com/mustardtide/mustardtide/internal/placement/mtscore"
	"github.com/mustardtide/mustardtide/internal/prefix/mtchain"
)

// Heard takes in a target's own word, from whatever message brought it.
func (p *Place) Heard(state *mustardtidev1.State) {
	t := p.fleet.Load().byName[state.GetTarget()]
	if t == nil {
		return
	}
	if t.Restarted(state.GetIncarnation()) {
		p.demote.Start(t.ID())
	}
	t.Say(state.GetWait().AsDuration(), state.GetPrefill(), state.GetLeaving())
}

// Sent notes that a request goes to a candidate: from now on the target holds
// its prefix, or will before the next request can compute it. Other targets
// are ignored.
func (p *Place) Sent(c *mtchoice.Choice, target string) {
	i := c.Find(target)
	if i < 0 {
		return
	}
	t := c.Target(i)
	t.Send(mtscore.Compute(c.Prompt()-min(c.Prompt(), c.Matched(i)), t.Prefill()))
	p.memory.Count()
	chain := c.Chain()
	for depth := chain.Len(); depth > 0; depth = below(depth) {
		p.memory.See(chain.At(depth-1), t.ID())
	}
}

// Missed notes that a target turned out to have cached so many tokens of a
// chain and not more.
func (p *Place) Missed(chain mtchain.Chain, target string, matched uint64) {
	t := p.fleet.Load().byName[target]
	if t == nil {
		return
	}
	for depth := chain.Len(); depth*chain.Span()/bytesPerToken > int(matched); depth = below(depth) {
		p.memory.Forget(chain.At(depth-1), t.ID())
	}
}

// First takes in the time from sending to the first token, against the
// expected: the wait that the target named and its computing time.
func (p *Place) First(target string, took, wait time.Duration, uncached uint64) {
	t := p.fleet.Load().byName[target]
	if t == nil {
		return
	}
	p.demote.Observe(t.ID(), took, base+wait+mtscore.Compute(uncached, t.Prefill())+t.Distance())
}

// base is the time to a first token that is neither waiting nor computing:
// the step of a batch and the hops. It keeps short answers from looking slow.
const base = 50 * time.Millisecond

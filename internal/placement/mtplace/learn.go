package mtplace

import (
	"math"
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
	// The wait is that of an account that has nothing waiting; one that has
	// waits for its own backlog as well.
	wait := max(state.GetWait().AsDuration(), mtscore.Compute(state.GetBacklog(), state.GetPrefill()))
	p.hear(state.GetPrefill())
	t.Say(wait, state.GetPrefill(), state.GetLeaving())
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
	for depth := chain.Len(); depth*chain.Span()/mtchain.TokenBytes > int(matched); depth = below(depth) {
		p.memory.Forget(chain.At(depth-1), t.ID())
	}
}

// First takes in the time from a run's begin to its first token, against the
// expected: the wait that the target named when the choice was made and the
// time to compute what it had not cached. The wait named after the run was
// taken would hold the run's own computing at the target's own rate.
func (p *Place) First(c *mtchoice.Choice, target string, took time.Duration, uncached uint64) {
	i := c.Find(target)
	if i < 0 {
		return
	}
	t, wait := c.Target(i), c.Wait(i)
	p.demote.Observe(t.ID(), took, base+wait+mtscore.Compute(uncached, p.rate())+t.Distance())
}

const (
	// base is the time to a first token that is neither waiting nor computing:
	// the step of a batch and the hops. It keeps short answers from looking slow.
	base = 10 * time.Millisecond
	// rateGain is the share of one target's word in the fleet's prefill rate:
	// of one slow target in six the mean moves by less than a tenth.
	rateGain = 0.01
)

// rate is the fleet's mean prefill rate. A slow target must be held against the
// others: its own measured rate explains its late answers.
func (p *Place) rate() float64 { return math.Float64frombits(p.mean.Load()) }

func (p *Place) hear(rate float64) {
	mean := p.rate()
	switch {
	case rate <= 0:
	case mean == 0:
		p.mean.Store(math.Float64bits(rate))
	default:
		p.mean.Store(math.Float64bits(mean + (rate-mean)*rateGain))
	}
}

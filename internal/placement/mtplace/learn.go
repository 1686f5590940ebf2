package mtplace

import (
	"math"
	"time"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/placement/mtchoice"
	"github.com/mustardtide/mustardtide/internal/placement/mtscore"
	"github.com/mustardtide/mustardtide/internal/prefix/mtchain"
)

// UpdateState records the state reported by a target, in whichever message it arrived.
func (p *Placer) UpdateState(state *mustardtidev1.State) {
	t := p.fleet.Load().byName[state.GetTarget()]
	if t == nil {
		return
	}
	if t.RecordIncarnation(state.GetIncarnation()) {
		p.demote.RecordRestart(t.ID())
	}
	// The reported wait applies to a client account without waiting requests; one that has some
	// also waits for its own backlog.
	wait := max(state.GetWait().AsDuration(), mtscore.ComputeTime(state.GetBacklog(), state.GetPrefill()))
	p.observeRate(state.GetPrefill())
	t.Update(wait, state.GetPrefill(), state.GetLeaving())
}

// RecordSent records that a request is sent to a candidate. From now on the target counts as a
// holder of the prefix, since it will hold it before another request could compute it. A target
// that is not a candidate is ignored.
func (p *Placer) RecordSent(c *mtchoice.Choice, target string) {
	i := c.Index(target)
	if i < 0 {
		return
	}
	t := c.Target(i)
	t.AddSentCost(mtscore.ComputeTime(c.PromptTokens()-min(c.PromptTokens(), c.Matched(i)), t.PrefillRate()))
	p.memory.CountRequest()
	chain := c.Chain()
	for depth := chain.Len(); depth > 0; depth = below(depth) {
		p.memory.Record(chain.At(depth-1), t.ID())
	}
}

// RecordMiss records that a target had only the given number of tokens of a chain cached.
func (p *Placer) RecordMiss(chain mtchain.Chain, target string, matched uint64) {
	t := p.fleet.Load().byName[target]
	if t == nil {
		return
	}
	for depth := chain.Len(); depth*chain.Span()/mtchain.BytesPerToken > int(matched); depth = below(depth) {
		p.memory.Forget(chain.At(depth-1), t.ID())
	}
}

// RecordFirstToken compares the time from the start of a run to its first token with the expected
// time: the wait known when the choice was made plus the time to compute the uncached tokens. The
// wait reported after the run was accepted is not used: it would include the computing of the run
// itself at the target's own rate.
func (p *Placer) RecordFirstToken(c *mtchoice.Choice, target string, took time.Duration, uncached uint64) {
	i := c.Index(target)
	if i < 0 {
		return
	}
	t, wait := c.Target(i), c.Wait(i)
	p.demote.Observe(t.ID(), took, base+wait+mtscore.ComputeTime(uncached, p.rate())+t.RoundTrip())
}

const (
	// base is the time to first token without waiting or computing: one batch step and the network
	// hops. It keeps requests with a short time to first token from looking slow.
	base = 10 * time.Millisecond
	// rateGain is the weight of one state in the fleet's mean prefill rate. It is low enough that
	// one slow target in six moves the mean by less than a tenth.
	rateGain = 0.01
)

// rate returns the fleet's mean prefill rate. Slowness is measured against this rate, since a slow
// target's own rate would explain its late answers.
func (p *Placer) rate() float64 { return math.Float64frombits(p.meanRate.Load()) }

// observeRate adds a target's prefill rate to the fleet's mean; 0 means that it is unknown.
func (p *Placer) observeRate(rate float64) {
	mean := p.rate()
	switch {
	case rate <= 0:
	case mean == 0:
		p.meanRate.Store(math.Float64bits(rate))
	default:
		p.meanRate.Store(math.Float64bits(mean + (rate-mean)*rateGain))
	}
}

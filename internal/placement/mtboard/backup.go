package mtboard

import (
	"time"

	"github.com/zeebo/xxh3"

	"github.com/mustardtide/mustardtide/internal/placement/mtspeed"
)

const (
	// maxCopyShare is the share of an engine's memory that the copies of this entry's runs may
	// take there: they displace cached prompts.
	maxCopyShare = 0.1
	// maxBackupFailureRate is the failure rate above which an engine keeps no copies. One failure
	// counts for five seconds by it.
	maxBackupFailureRate = 0.05
)

// Backup is the second engine that keeps a copy of a run.
type Backup struct {
	first *Choice
	// choice is the send with which the run goes on there.
	choice *Choice
	// tokens is the size of the copy.
	tokens   int64
	released bool
}

// Engines returns the number of a service's targets.
func (b *Board) Engines(service string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.services[service])
}

// ChooseBackup returns the engine that is to keep a copy of the run of a choice, nil if there is
// none. Release must be called on it.
func (b *Board) ChooseBackup(first *Choice) *Backup {
	b.mu.Lock()
	defer b.mu.Unlock()
	if first.salt == "" || first.build == "" {
		return nil
	}
	tokens := first.query.ask.GetPrompt() + first.query.ask.GetOutput()
	e := b.newEvaluation(first.query)
	var best Choice
	for _, r := range b.services[first.query.service.GetName()] {
		c := e.candidate(r)
		if e.fitForCopy(&c, first, tokens) && (best.record == nil || c.betterBackup(&best)) {
			best = c
		}
	}
	if best.record == nil {
		return nil
	}
	best.record.copied += tokens
	return &Backup{first: first, choice: &best, tokens: tokens}
}

// fitForCopy reports whether a candidate may keep a copy of a run of a number of tokens.
func (e *evaluation) fitForCopy(c, first *Choice, tokens int64) bool {
	r := c.record
	if c.id == first.id || c.address == first.address || e.whyUnfit(c) != unfitNone || !r.fresh() {
		return false
	}
	if r.target.GetDatacentre() != e.board.datacentre || r.build() != first.build || r.successor != "" || r.replaced {
		return false
	}
	// An engine on older weights than the newest is about to load these.
	if c.version != first.version || c.behind > 0 || r.state.GetReport().GetBusy() {
		return false
	}
	if r.failures.decayed() > maxBackupFailureRate || e.board.limiter.Limited(c.id) {
		return false
	}
	return r.hasRoomForCopy(tokens)
}

// hasRoomForCopy reports whether a copy fits beside all runs of the target: unlike a run, it
// preempts none of a less urgent rank. It needs no slot.
func (r *record) hasRoomForCopy(tokens int64) bool {
	report := r.state.GetReport()
	total := float64(report.GetTotal())
	need := report.GetUsed() + r.queuedTokens() + r.copied + tokens
	return float64(need) <= maxMemoryShare*total && float64(r.copied+tokens) <= maxCopyShare*total
}

// betterBackup reports whether a candidate is preferred to another: it keeps fewer copies of this
// entry's runs. Of those with equally many, each run has an order of its own, so that entries do
// not all prefer the same.
func (c *Choice) betterBackup(other *Choice) bool {
	if c.record.copied != other.record.copied {
		return c.record.copied < other.record.copied
	}
	run := c.query.ask.GetId()
	return xxh3.HashStringSeed(run, c.record.idHash) > xxh3.HashStringSeed(run, other.record.idHash)
}

// Target returns the id of the engine that keeps the copy.
func (b *Backup) Target() string { return b.choice.id }

// Address returns its IP:PORT.
func (b *Backup) Address() string { return b.choice.address }

// Release ends the accounting of the copy.
func (b *Backup) Release() {
	b.choice.board.mu.Lock()
	defer b.choice.board.mu.Unlock()
	if !b.released {
		b.released = true
		b.choice.record.copied -= b.tokens
	}
}

// Continue returns the send with which the run goes on at the copy, nil if it can't: the engine's
// program, build or weights are no longer those that the copy was made on, or it takes no requests.
// It may be called once.
func (b *Backup) Continue() *Choice {
	c, r := b.choice, b.choice.record
	c.board.mu.Lock()
	defer c.board.mu.Unlock()
	if c.board.records[c.id] != r || c.query.wrongBuild(r) || r.build() != b.first.build || r.successor != "" || !r.usable() {
		return nil
	}
	if r.target.GetAddress() != c.address || r.weightsVersion(c.query.model()) != b.first.version {
		return nil
	}
	c.continued = true
	c.version, c.behind, c.salt = b.first.version, b.first.behind, b.first.salt
	c.matched = c.query.ask.GetPrompt()
	c.work = mtspeed.NewWork(0, 0)
	c.expected = c.speed.Time(mtspeed.Start)
	c.expectedID, c.build, c.born = c.id, r.build(), r.startMillis()
	c.sentAt = time.Now()
	r.running++
	return c
}

// Continued reports whether the choice is the engine with the copy of a run that broke off.
func (c *Choice) Continued() bool { return c.continued }

package mtboard

import (
	"time"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/placement/mtspeed"
)

// Choice is a target chosen for one send, and the accounting of that send. Its methods are called
// from one goroutine: Started at the first byte, then End.
type Choice struct {
	board  *Board
	record *record
	query  *Query
	id     string
	// address is copied here because the record's target is replaced when its entry changes.
	address string

	expectedID string
	build      string
	born       int64
	version    int64
	// behind is how long ago weights newer than the target's were published, 0 for the newest.
	behind       time.Duration
	salt         string
	fetch        string
	matched      int64
	fetched      int64
	storedTokens int64
	// fromStore reports whether the parts are fetched from the store, storeDelay is the store's
	// delay when the target was chosen, storeUseful whether the parts are worth the use of its
	// link, and saveToStore whether they should be saved there once prefilled.
	fromStore     bool
	storeDelay    time.Duration
	storeUseful   bool
	saveToStore   bool
	prefillTokens int64
	// work is the input of the estimate, speed the speed of the service's engines.
	work         mtspeed.Work
	speed        *mtspeed.Speed
	baseEstimate time.Duration
	expected     time.Duration
	wait         time.Duration
	breakdown    costBreakdown
	cost         time.Duration
	// permitted reports whether the target's limit allows the request.
	permitted bool
	// stateCurrent reports whether the cost rests on current state of the target.
	stateCurrent bool

	sentAt      time.Time
	firstByteAt time.Time
	// runnersUp are the cheapest of the other targets; unfit counts those that were not
	// considered.
	runnersUp []runnerUp
	unfit     unfit
	started   bool
	ended     bool
	// continued reports whether the send goes on with a copy of a run. It has nothing to prefill
	// and begins in the middle of an answer, so nothing is learned from its times.
	continued bool
}

// Target returns the chosen target's id.
func (c *Choice) Target() string { return c.id }

// ExpectedID returns the id that the program at the address must have to run the request: the
// target's, or that of its successor.
func (c *Choice) ExpectedID() string { return c.expectedID }

// Build returns the software version of the chosen target's program. It is "" if unknown, as for
// a successor that is not listed yet, or a program that was started after the choice.
func (c *Choice) Build() string {
	c.board.mu.Lock()
	defer c.board.mu.Unlock()
	if c.record.build() != c.build {
		return ""
	}
	return c.build
}

// Incarnation returns the target and the start of the program that was chosen, in Unix
// milliseconds, 0 if unknown.
func (c *Choice) Incarnation() (target string, born int64) { return c.id, c.born }

// Address returns the target's IP:PORT.
func (c *Choice) Address() string { return c.address }

// Version returns the version of the weights that the target serves, 0 if unknown or none.
func (c *Choice) Version() int64 { return c.version }

// Behind returns how long ago weights newer than the target's were published, 0 for the newest.
func (c *Choice) Behind() time.Duration { return c.behind }

// Salt returns the salt that separates the request's cached parts from others.
func (c *Choice) Salt() string { return c.salt }

// FetchFrom returns the address to fetch cached parts from, or "".
func (c *Choice) FetchFrom() string { return c.fetch }

// SaveTo returns the address of the store that the parts are to be sent to once they are
// prefilled, or "". They are saved if neither the target with its fetch source nor the store is
// known to hold all shared ones, and if the store's link is not too busy for a fetch to pay off.
func (c *Choice) SaveTo() string {
	if !c.saveToStore {
		return ""
	}
	return c.query.store
}

// minSaveTokens is the least number of shared tokens worth saving in the store: below it, prefill
// takes no longer than a transfer.
const minSaveTokens = 512

// Cost returns the estimated cost by which the target was chosen.
func (c *Choice) Cost() time.Duration { return c.cost }

// Estimate returns the expected time to the first byte.
func (c *Choice) Estimate() time.Duration { return c.expected }

// EstimateReliable reports whether the estimate rests on measured answers of the service's
// engines.
func (c *Choice) EstimateReliable() bool {
	c.board.mu.Lock()
	defer c.board.mu.Unlock()
	return c.speed.Reliable()
}

// QueueTime returns the part of the estimate spent queued behind other prompts.
func (c *Choice) QueueTime() time.Duration { return c.wait }

// PrefillTime returns the part of the estimate for the tokens that the target has to prefill.
func (c *Choice) PrefillTime() time.Duration { return c.breakdown[itemPrefill] }

// FetchTime returns the part of the estimate for the tokens that the target has to fetch.
func (c *Choice) FetchTime() time.Duration { return c.breakdown[itemFetch] }

// Matched returns how many tokens of the prompt the target is believed to have cached.
func (c *Choice) Matched() int64 { return c.matched }

// Fetched returns how many further tokens the fetch source is believed to have cached.
func (c *Choice) Fetched() int64 { return c.fetched }

// LargePrefill reports whether the target has so much to prefill that the other entries should be
// told.
func (c *Choice) LargePrefill() bool { return c.prefillTokens >= minLargePrefill }

// minLargePrefill is about 20 ms of an engine's prefill.
const minLargePrefill = 600

// CacheUse returns how the target gets the prompt's shared parts: "held", "fetched" or "read"
// (that is, prefilled); "plain" for a service without model engines.
func (c *Choice) CacheUse() string {
	switch shared := c.query.sharedTokens(); {
	case c.salt == "":
		return "plain"
	case c.matched >= shared:
		return "held"
	case c.matched+c.fetched >= shared:
		return "fetched"
	default:
		return "read"
	}
}

// begin records the start of the send. The caller holds the board's lock.
func (c *Choice) begin() {
	c.expectedID, c.build, c.born = c.record.expectedID(), c.record.build(), c.record.startMillis()
	c.sentAt = time.Now()
	c.record.running++
	c.record.backlog.Add(c.query.rank, c.prefillTokens)
	tokens := c.query.sharedTokens()
	c.saveToStore = c.salt != "" && c.matched+c.fetched < tokens && c.storedTokens < tokens && c.storeUseful
	if c.salt != "" {
		c.board.holders.RecordPrefill(c.salt, c.id, c.query.shared())
	}
}

// Holds reports whether the target is believed to have cached the prompt up to the given part.
func (c *Choice) Holds(part *fleetv1.Part) bool {
	var tokens int64
	for _, p := range c.query.upTo(part) {
		tokens += p.GetTokens()
	}
	return c.matched >= tokens
}

// Started records the first byte of the answer: the prompt has been prefilled.
func (c *Choice) Started(answer *fleetv1.Answer) {
	c.board.mu.Lock()
	defer c.board.mu.Unlock()
	c.markPrefilled()
	c.firstByteAt = time.Now()
	if c.continued {
		c.updateLoad(answer)
		return
	}
	took := c.firstByteAt.Sub(c.sentAt)
	if !c.board.disabled.pace {
		c.record.latency.learn(c.baseEstimate, took)
	}
	switch {
	case c.fromStore:
		c.recordStoreFetch(took)
	case !c.board.disabled.speeds:
		c.speed.ObserveFirstToken(c.work, took)
	}
	c.updateLoad(answer)
	if c.salt != "" {
		c.board.holders.RecordHeld(c.salt, c.id, c.query.ask.GetParts())
	}
	if c.SaveTo() != "" {
		c.board.holders.RecordStored(c.salt, c.query.store, c.query.shared())
	}
}

// NoteLeaving records an answer that reports that its target is leaving. It returns that target,
// as another program may answer at the address, and whether this is new.
func (c *Choice) NoteLeaving(answer *fleetv1.Answer) (string, bool) {
	c.board.mu.Lock()
	defer c.board.mu.Unlock()
	id, born := c.responder(answer)
	return id, c.board.departures.Add(id, born)
}

// Responder returns the target whose program gave the answer, as another program may answer at
// the address, and the start of that program in Unix milliseconds, 0 if unknown.
func (c *Choice) Responder(answer *fleetv1.Answer) (string, int64) {
	c.board.mu.Lock()
	defer c.board.mu.Unlock()
	return c.responder(answer)
}

func (c *Choice) responder(answer *fleetv1.Answer) (string, int64) {
	if other := answer.GetTarget(); other != "" && other != c.id && other != c.expectedID {
		return other, 0
	}
	return c.id, c.record.startMillis()
}

// NotePause records for how long an answer asks for no more requests to its target. It reports
// whether this is new.
func (c *Choice) NotePause(answer *fleetv1.Answer) bool {
	c.board.mu.Lock()
	defer c.board.mu.Unlock()
	return c.board.pauses.Add(c.id, answer.GetPause().AsDuration())
}

// Withdrawn reports whether the target must no longer get the request. This is so if, since the
// choice, it has asked for a pause or reported that it is leaving, if it has announced a limit
// and the request has no permit, or if its program is no longer known to run the pinned build.
func (c *Choice) Withdrawn() bool {
	c.board.mu.Lock()
	defer c.board.mu.Unlock()
	return c.record.leaving() || c.query.wrongBuild(c.record) || c.board.pauses.Remaining(c.id) > 0 || !c.permitted && c.board.limiter.Limited(c.id)
}

// Permit records that the target's limit allows the request.
func (c *Choice) Permit() { c.permitted = true }

// Permitted reports whether Permit was called.
func (c *Choice) Permitted() bool { return c.permitted }

// End records the outcome of the send.
func (c *Choice) End(outcome Outcome) {
	c.board.mu.Lock()
	defer c.board.mu.Unlock()
	if c.ended {
		return
	}
	c.ended = true
	hadStarted := c.started
	c.markPrefilled()
	c.record.running--
	switch o := outcome.(type) {
	case Succeeded:
		c.record.failures.recordSuccess()
		if hadStarted && !c.continued {
			c.speed.ObserveAnswer(time.Since(c.firstByteAt))
		}
	case Unreachable:
		c.record.failures.recordUnreachable()
	case Failed:
		c.record.failures.recordFailure()
	case Rejected:
		c.handleRejection(o.Answer)
	case Abandoned:
	}
}

// handleRejection records why a target did not run the request.
func (c *Choice) handleRejection(answer *fleetv1.Answer) {
	c.updateLoad(answer)
	if answer.GetTarget() != "" && answer.GetTarget() != c.expectedID {
		c.record.wrongProgram = true
		return
	}
	if answer.GetVersion() > c.version {
		c.record.answeredVersion = answer.GetVersion()
		return
	}
	if c.continued {
		// The engine has no copy, which is no failure of it.
		return
	}
	c.record.failures.recordFailure()
}

// markPrefilled subtracts the prompt from the tokens that wait for prefill, once.
func (c *Choice) markPrefilled() {
	if !c.started {
		c.started = true
		c.record.backlog.Add(c.query.rank, -c.prefillTokens)
	}
}

// updateLoad stores the load that an answer reports.
func (c *Choice) updateLoad(answer *fleetv1.Answer) {
	if answer.GetSlots() > 0 {
		c.record.lastAnswer = answer
		c.record.lastAnswerAt = time.Now()
	}
}

// Outcome is the result of a send.
type Outcome interface{ outcome() }

// Succeeded is a complete answer.
type Succeeded struct{}

// Unreachable is a target to which nothing could be sent.
type Unreachable struct{}

// Failed is a target that failed the request or broke off its answer.
type Failed struct{}

// Rejected is a target's answer that it did not run the request.
type Rejected struct{ Answer *fleetv1.Answer }

// Abandoned is a send ended by the caller or the deadline. It says nothing about the target.
type Abandoned struct{}

func (Succeeded) outcome()   {}
func (Unreachable) outcome() {}
func (Failed) outcome()      {}
func (Rejected) outcome()    {}
func (Abandoned) outcome()   {}

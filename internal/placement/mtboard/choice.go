package mtboard

import (
	"strconv"
	"time"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/placement/mtspeed"
)

// Choice is a target chosen for one send, and the book-keeping of that send.
// Its calls come from one goroutine: Started at the first byte, then End.
type Choice struct {
	board  *Board
	record *record
	query  *Query
	id     string
	// address is kept here, as the record's target is replaced when its entry
	// changes.
	address string

	build   string
	version int64
	// behind is how long newer weights had been named; 0 for the newest.
	behind  time.Duration
	salt    string
	fetch   string
	matched int64
	fetched int64
	kept    int64
	// stored says that the parts are fetched from the store, slack its delay when
	// the target was chosen, pays that they are worth its link, and save that it
	// should have them once they are read.
	stored bool
	slack  time.Duration
	pays   bool
	save   bool
	reads  int64
	// work is what the estimate was made of, by the speed of the service's engines.
	work     mtspeed.Work
	speed    *mtspeed.Speed
	estimate time.Duration
	expected time.Duration
	wait     time.Duration
	bill     bill
	cost     time.Duration
	// permitted says that the target's limit allows the request.
	permitted bool
	// current says that the cost rests on the sidecar's word of this moment.
	current bool

	since time.Time
	first time.Time
	// lost are the cheapest of the others, unfit those that were not considered.
	lost    []loser
	unfit   unfit
	started bool
	ended   bool
}

// Target is the chosen target's id.
func (c *Choice) Target() string { return c.id }

// Expected is the id that the program at the address must have to run the request; "" where
// it is the listed one's successor, whose id is not known.
func (c *Choice) Expected() string {
	c.board.mu.Lock()
	defer c.board.mu.Unlock()
	if c.record.successor() {
		return ""
	}
	return c.id
}

// Build is the software version of the chosen target's program; "" where it is unknown, as that
// of a successor that is not listed yet, or of one that has started since the choice.
func (c *Choice) Build() string {
	c.board.mu.Lock()
	defer c.board.mu.Unlock()
	if c.record.build() != c.build {
		return ""
	}
	return c.build
}

// Incarnation names the target and, where that is known, its start.
func (c *Choice) Incarnation() string {
	c.board.mu.Lock()
	defer c.board.mu.Unlock()
	return c.id + "/" + itoa(c.record.state.GetReport().GetBorn())
}

// Address is its IP:PORT.
func (c *Choice) Address() string { return c.address }

// Version is the weights that it serves; 0 if unknown or none.
func (c *Choice) Version() int64 { return c.version }

// Behind is how long weights newer than the target's had been named; 0 for the newest.
func (c *Choice) Behind() time.Duration { return c.behind }

// Salt separates the request's cached parts from others'.
func (c *Choice) Salt() string { return c.salt }

// Fetch is the address to fetch cached parts from, or "".
func (c *Choice) Fetch() string { return c.fetch }

// Save is the address of the store that the parts are to be sent to once they
// are read, or "". They are kept where nobody is known to hold all shared ones, nor
// the store, while its link is not too busy for a fetch to pay.
func (c *Choice) Save() string {
	if !c.save {
		return ""
	}
	return c.query.cache
}

// saveLeast is the least number of shared tokens that are worth a place in the
// store: below it reading takes no longer than a transfer.
const saveLeast = 512

// Cost is the estimate by which the target was chosen.
func (c *Choice) Cost() time.Duration { return c.cost }

// Estimate is the expected time to the first byte.
func (c *Choice) Estimate() time.Duration { return c.expected }

// Known says that the estimate rests on answers of the service's engines.
func (c *Choice) Known() bool {
	c.board.mu.Lock()
	defer c.board.mu.Unlock()
	return c.speed.Known()
}

// Wait is the part of it behind others' prompts.
func (c *Choice) Wait() time.Duration { return c.wait }

// Reading is the part of the estimate for what the target is to read.
func (c *Choice) Reading() time.Duration { return c.bill[itemRead] }

// Fetching is the part of the estimate for what the target is to fetch.
func (c *Choice) Fetching() time.Duration { return c.bill[itemFetch] }

// Matched is what the target is believed to hold of the prompt, in tokens.
func (c *Choice) Matched() int64 { return c.matched }

// Fetched is what the named source is believed to hold beyond, in tokens.
func (c *Choice) Fetched() int64 { return c.fetched }

// Burdens says that the target is given so much to read that the other entries
// should know.
func (c *Choice) Burdens() bool { return c.reads >= burdenLeast }

// burdenLeast is about 20 ms of an engine's reading.
const burdenLeast = 600

// How says in a word what becomes of the prompt's shared parts there.
func (c *Choice) How() string {
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

// begin counts the send; the board is locked.
func (c *Choice) begin() {
	c.build = c.record.build()
	c.since = time.Now()
	c.record.running++
	c.record.pending += c.reads
	tokens := c.query.sharedTokens()
	c.save = c.salt != "" && c.matched+c.fetched < tokens && c.kept < tokens && c.pays
	if c.salt != "" {
		c.board.holders.Read(c.salt, c.id, c.query.shared())
	}
}

// Holds says that the target is believed to hold the prompt up to one of its parts.
func (c *Choice) Holds(part *fleetv1.Part) bool {
	var tokens int64
	for _, p := range c.query.upTo(part) {
		tokens += p.GetTokens()
	}
	return c.matched >= tokens
}

// Started notes the first byte of the answer: the prompt has been read.
func (c *Choice) Started(answer *fleetv1.Answer) {
	c.board.mu.Lock()
	defer c.board.mu.Unlock()
	c.read()
	c.first = time.Now()
	took := c.first.Sub(c.since)
	if !c.board.without.pace {
		c.record.pace.learn(c.estimate, took)
	}
	switch {
	case c.stored:
		c.fetchedIn(took)
	case !c.board.without.speeds:
		c.speed.Learn(c.work, took)
	}
	c.note(answer)
	if c.salt != "" {
		c.board.holders.Note(c.salt, c.id, c.query.ask.GetParts())
	}
	if c.Save() != "" {
		c.board.holders.Keep(c.salt, c.query.cache, c.query.shared())
	}
}

// NoteLeaving takes in an answer that says that its target leaves. It returns that target, and
// whether it is news: another program may answer at the address.
func (c *Choice) NoteLeaving(answer *fleetv1.Answer) (string, bool) {
	c.board.mu.Lock()
	defer c.board.mu.Unlock()
	id, born := c.answerer(answer)
	return id, c.board.departures.Add(id, born)
}

// Answerer is the target whose program gave the answer, and that program's start in Unix
// milliseconds, 0 where it is not known: another program may answer at the address.
func (c *Choice) Answerer(answer *fleetv1.Answer) (string, int64) {
	c.board.mu.Lock()
	defer c.board.mu.Unlock()
	return c.answerer(answer)
}

func (c *Choice) answerer(answer *fleetv1.Answer) (string, int64) {
	if other := answer.GetTarget(); other != "" && other != c.id {
		return other, 0
	}
	return c.id, c.record.born()
}

// NotePause takes in for how long an answer says that its target wants no more requests. It
// reports whether that is news.
func (c *Choice) NotePause(answer *fleetv1.Answer) bool {
	c.board.mu.Lock()
	defer c.board.mu.Unlock()
	return c.board.pauses.Add(c.id, answer.GetPause().AsDuration())
}

// Withdrawn says that the target must not get the request any more, though it was chosen:
// it has asked for a pause or said that it leaves meanwhile, it has named a limit and there is
// no permit for the request, or its program is no longer known to run the pinned build.
func (c *Choice) Withdrawn() bool {
	c.board.mu.Lock()
	defer c.board.mu.Unlock()
	return c.record.leaves() || c.query.foreign(c.record) || c.board.pauses.Remaining(c.id) > 0 || !c.permitted && c.board.limiter.Limited(c.id)
}

// Permit notes that the target's limit allows the request.
func (c *Choice) Permit() { c.permitted = true }

// Permitted says that it was found to.
func (c *Choice) Permitted() bool { return c.permitted }

// End notes how the send ended.
func (c *Choice) End(outcome Outcome) {
	c.board.mu.Lock()
	defer c.board.mu.Unlock()
	if c.ended {
		return
	}
	c.ended = true
	begun := c.started
	c.read()
	c.record.running--
	switch o := outcome.(type) {
	case Good:
		c.record.faults.good()
		if begun {
			c.speed.Answered(time.Since(c.first))
		}
	case Unreached:
		c.record.faults.unreached()
	case Broken:
		c.record.faults.bad()
	case Rejected:
		c.rejected(o.Answer)
	case Left:
	}
}

// rejected takes in why a target did not run the request.
func (c *Choice) rejected(answer *fleetv1.Answer) {
	c.note(answer)
	if answer.GetTarget() != "" && answer.GetTarget() != c.id {
		c.record.misplaced = true
		return
	}
	if answer.GetVersion() > c.version {
		c.record.version = answer.GetVersion()
		return
	}
	c.record.faults.bad()
}

// read takes the prompt off what waits to be read.
func (c *Choice) read() {
	if !c.started {
		c.started = true
		c.record.pending -= c.reads
	}
}

// note keeps the load that an answer tells.
func (c *Choice) note(answer *fleetv1.Answer) {
	if answer.GetSlots() > 0 {
		c.record.loaded = answer
		c.record.loadAge = time.Now()
	}
}

// Outcome is how a send ended.
type Outcome interface{ outcome() }

// Good is an answer to its end.
type Good struct{}

// Unreached is a target to which nothing could be sent.
type Unreached struct{}

// Broken is a target that failed the request or broke off.
type Broken struct{}

// Rejected is a target's word that it did not run the request.
type Rejected struct{ Answer *fleetv1.Answer }

// Left is a send that the caller or the deadline ended: no word on the target.
type Left struct{}

func (Good) outcome()      {}
func (Unreached) outcome() {}
func (Broken) outcome()    {}
func (Rejected) outcome()  {}
func (Left) outcome()      {}

func itoa(n int64) string { return strconv.FormatInt(n, 10) }

package mtlimiter_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtlimit"
	"github.com/mustardtide/mustardtide/internal/admission/mtlimiter"
	"github.com/mustardtide/mustardtide/internal/admission/mtquota"
	"github.com/mustardtide/mustardtide/internal/members/mtreader"
	"github.com/mustardtide/mustardtide/internal/standin/mtwindow"
)

const (
	// step is the time resolution of the simulation.
	step = 2 * time.Millisecond
	// permitWait is how long a request waits for its permit, serviceTime how long a target
	// takes to answer.
	permitWait  = 15 * time.Millisecond
	serviceTime = 60 * time.Millisecond
	// digestInterval is how often entries gossip, and fanout to how many others at a time.
	// A peer that has not been heard from for peerTTL no longer counts as live.
	digestInterval = 300 * time.Millisecond
	fanout         = 6
	peerTTL        = 5 * time.Second
	// recoveryTime is how long after a restart, a freeze or a partition an entry's requests are
	// not checked.
	recoveryTime = 3 * time.Second
	target       = "target"
)

// message is a datagram in flight.
type message struct {
	deliverAt time.Time
	from, to  *entry
	draw      *fleetv1.Draw
	grant     *fleetv1.Grant
	digest    *fleetv1.Digest
}

// entry is one entry of the simulated fleet.
type entry struct {
	fleet      *fleet
	address    string
	limits     *mtlimit.Limits
	limiter    *mtlimiter.Limiter
	readers    *mtreader.Readers
	lastSeen   map[*entry]time.Time
	down       bool
	frozen     bool
	partition  int
	inbox      []message
	lastTick   time.Time
	nextDigest time.Time
}

// waiter is a request that waits for its permit.
type waiter struct {
	since   time.Time
	entry   *entry
	limiter *mtlimiter.Limiter
	ticket  *mtquota.Ticket
}

// answerInFlight is an answer that has not arrived yet.
type answerInFlight struct {
	dueAt   time.Time
	sentAt  time.Time
	entry   *entry
	limits  *mtlimit.Limits
	message *fleetv1.Answer
}

// fleet simulates the entries and one target.
type fleet struct {
	rng     *rand.Rand
	entries []*entry
	// byAddress maps the addresses at which entries receive datagrams.
	byAddress map[string]*entry
	inFlight  []message
	waiting   []waiter
	answers   []answerInFlight
	window    *mtwindow.Window
	// allWindow checks the requests of all entries, as if each had received the limit
	// limitSpreadTime after the target first named it.
	allWindow *mtwindow.Window
	// rate is the limit that the target names, nil for none. requestRate is the number of
	// requests per second that callers send.
	rate        *float64
	requestRate float64
	lossRate    float64
	partitioned bool
	// draws counts the draws sent, refused the requests refused for lack of a permit.
	draws   int
	refused int
	sent    int
}

func newFleet(seed uint64, entries int, requestRate float64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, seed)), requestRate: requestRate, byAddress: map[string]*entry{}}
	for i := range entries {
		e := &entry{fleet: f, address: fmt.Sprintf("10.1.%d.%d:7340", i/200, i%200+1)}
		f.entries = append(f.entries, e)
		f.byAddress[e.address] = e
	}
	for _, e := range f.entries {
		e.start()
	}
	return f
}

// setLimit makes the target name a limit from now on.
func (f *fleet) setLimit(rate float64) {
	f.rate, f.window, f.allWindow = &rate, mtwindow.New(rate), mtwindow.New(rate)
	for _, e := range f.entries {
		f.allWindow.Told(e.address, time.Now().Add(limitSpreadTime))
	}
}

// limitSpreadTime is how long it takes until gossip has spread a limit to all entries.
const limitSpreadTime = 2 * time.Second

func (e *entry) start() {
	e.down, e.frozen = false, false
	e.limits = mtlimit.New()
	e.limiter = mtlimiter.New(e.address, e.limits)
	e.readers = mtreader.New(e.address, digestInterval, fanout)
	e.lastSeen, e.inbox = map[*entry]time.Time{}, nil
	e.nextDigest = time.Now().Add(time.Duration(e.fleet.rng.Int64N(int64(digestInterval))))
	// A starting entry learns some of the others from sidecars.
	for range min(len(e.fleet.entries), 2*fanout) {
		if other := e.fleet.randomEntry(); other != e && !other.down {
			e.lastSeen[other] = time.Now()
		}
	}
}

func (f *fleet) randomEntry() *entry { return f.entries[f.rng.IntN(len(f.entries))] }

// run advances the simulation by d.
func (f *fleet) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(step)
		f.deliver()
		for _, e := range f.entries {
			if !e.down && !e.frozen {
				e.tick()
			}
		}
		for n := f.poisson(f.requestRate * step.Seconds()); n > 0; n-- {
			f.request(f.randomEntry())
		}
		f.resolveWaiting()
		f.deliverAnswers()
	}
}

// tick sends an entry's digests and draws that are due.
func (e *entry) tick() {
	if !time.Now().Before(e.nextDigest) {
		e.nextDigest = e.nextDigest.Add(digestInterval)
		e.sendDigest()
	}
	if time.Since(e.lastTick) < mtquota.TickInterval || !e.limiter.TickDue() {
		return
	}
	e.lastTick = time.Now()
	for _, m := range e.limiter.Tick(e.allocators(), e.knownPeers(), len(e.lastSeen)+1) {
		e.send(m)
	}
}

// knownPeers returns the other entries heard from within peerTTL.
func (e *entry) knownPeers() []string {
	var addresses []string
	for other, seen := range e.lastSeen {
		if time.Since(seen) > peerTTL {
			delete(e.lastSeen, other)
			continue
		}
		addresses = append(addresses, other.address)
	}
	return addresses
}

// allocators returns the entries that may allocate: the known store readers, or all known
// entries if there are none.
func (e *entry) allocators() []string {
	if list := e.readers.Addresses(); len(list) > 0 {
		return list
	}
	return append(e.knownPeers(), e.address)
}

// sendDigest sends a digest to random peers.
func (e *entry) sendDigest() {
	e.readers.Resize(len(e.fleet.entries))
	e.readers.Join(false)
	digest := &fleetv1.Digest{Limits: e.limits.Recent(12), Readers: e.digestReaders(), Entries: uint32(e.limiter.ObservedSize())}
	for range min(fanout, len(e.fleet.entries)-1) {
		if other := e.fleet.randomEntry(); other != e {
			e.fleet.post(message{from: e, to: other, digest: digest})
		}
	}
}

// digestReaders returns the readers for a digest, with addresses only while a target is
// limited.
func (e *entry) digestReaders() []*fleetv1.Reader {
	list := e.readers.Known()
	if e.limits.Count() == 0 {
		for _, reader := range list {
			reader.Address = ""
		}
	}
	return list
}

func (e *entry) send(m mtquota.Message) {
	if m.To() == e.address {
		if grant, _ := e.limiter.Answer(e.address, m.Draw()); grant != nil {
			e.limiter.Receive(e.address, grant)
		}
		return
	}
	e.fleet.draws++
	e.fleet.post(message{from: e, to: e.fleet.byAddress[m.To()], draw: m.Draw()})
}

// post sends a datagram with a random delay, unless it is lost or crosses a partition.
func (f *fleet) post(m message) {
	if f.partitioned && m.from.partition != m.to.partition || f.rng.Float64() < f.lossRate {
		return
	}
	m.deliverAt = time.Now().Add(time.Duration(f.rng.Int64N(int64(3 * time.Millisecond))))
	f.inFlight = append(f.inFlight, m)
}

// deliver passes on the datagrams that have arrived. A frozen entry processes them when it
// thaws.
func (f *fleet) deliver() {
	pending := f.inFlight
	f.inFlight = nil
	for _, m := range pending {
		switch {
		case time.Now().Before(m.deliverAt):
			f.inFlight = append(f.inFlight, m)
		case m.to.down:
		case m.to.frozen:
			m.to.inbox = append(m.to.inbox, m)
		default:
			m.to.receive(m)
		}
	}
}

func (e *entry) receive(m message) {
	e.lastSeen[m.from] = time.Now()
	switch {
	case m.digest != nil:
		e.limits.Merge(m.digest.GetLimits())
		e.readers.Hear(m.digest.GetReaders())
		e.readers.Meet(m.from.address)
		e.limiter.SetPeerSize(int(m.digest.GetEntries()))
	case m.grant != nil:
		e.limiter.Receive(m.from.address, m.grant)
	default:
		if grant, _ := e.limiter.Answer(m.from.address, m.draw); grant != nil {
			e.fleet.post(message{from: e, to: m.from, grant: grant})
		}
	}
}

// request simulates a caller's request to an entry.
func (f *fleet) request(e *entry) {
	if e.down || e.frozen {
		return
	}
	if e.limiter.BlockedFor(target) > 0 {
		f.refused++
		return
	}
	verdict := e.limiter.Admit(target)
	if waiting, ok := verdict.(mtquota.Waiting); ok {
		e.send(waiting.Ticket().Message())
		f.waiting = append(f.waiting, waiter{time.Now(), e, e.limiter, waiting.Ticket()})
		return
	}
	f.handleVerdict(e, verdict)
}

// resolveWaiting resolves the requests whose permit was answered or whose wait is over.
func (f *fleet) resolveWaiting() {
	var remaining []waiter
	for _, w := range f.waiting {
		resolved := false
		select {
		case <-w.ticket.Done():
			resolved = true
		default:
		}
		switch {
		case w.entry.limiter != w.limiter:
		case w.entry.frozen || !resolved && time.Since(w.since) < permitWait:
			remaining = append(remaining, w)
		default:
			f.handleVerdict(w.entry, w.limiter.Resolve(w.ticket))
		}
	}
	f.waiting = remaining
}

func (f *fleet) handleVerdict(e *entry, verdict mtquota.Verdict) {
	if _, refused := verdict.(mtquota.Refused); refused {
		f.refused++
		return
	}
	f.sent++
	if f.window != nil {
		f.window.Visit(e.address, time.Now())
		f.allWindow.Visit(e.address, time.Now())
	}
	reply := &fleetv1.Answer{Sealed: true}
	if f.rate != nil {
		reply.Limited, reply.Limit = true, proto.Float64(*f.rate)
	}
	f.answers = append(f.answers, answerInFlight{time.Now().Add(serviceTime), time.Now(), e, e.limits, reply})
}

// deliverAnswers delivers the target's answers that are due.
func (f *fleet) deliverAnswers() {
	var remaining []answerInFlight
	for _, a := range f.answers {
		switch {
		case a.entry.limits != a.limits:
		case a.entry.frozen || time.Now().Before(a.dueAt):
			remaining = append(remaining, a)
		default:
			a.limits.RecordAnswer(target, 0, a.message, a.sentAt)
			if a.message.Limit != nil && f.window != nil {
				f.window.Told(a.entry.address, time.Now())
			}
		}
	}
	f.answers = remaining
}

func (f *fleet) poisson(mean float64) int {
	n := 0
	for at := f.rng.ExpFloat64(); at < mean; at += f.rng.ExpFloat64() {
		n++
	}
	return n
}

// events are the events that a simulation applies to the fleet.
var events = []string{"restart of one", "restart of half", "restart of all", "freeze", "cut", "lossy", "flood", "calm", "steady"}

// event applies one event. Requests of the affected entries are excused from the check.
func (f *fleet) event(kind string) {
	switch kind {
	case "restart of one":
		f.restart([]*entry{f.randomEntry()})
	case "restart of half":
		f.restart(f.sample(0.5))
	case "restart of all":
		f.restart(f.entries)
	case "freeze":
		f.disrupt(f.sample(0.3), func(e *entry) { e.frozen = true }, (*entry).thaw)
	case "cut":
		f.partitioned = true
		f.disrupt(f.sample(0.3), func(e *entry) { e.partition = 1 }, func(e *entry) { e.partition = 0 })
		f.partitioned = false
	case "lossy":
		f.lossRate = 0.2
		f.run(3 * time.Second)
		f.lossRate = 0
	case "flood":
		f.requestRate *= 3
	case "calm":
		f.requestRate /= 3
	case "steady":
	}
	f.run(time.Duration(f.rng.Int64N(int64(5 * time.Second))))
}

func (f *fleet) sample(chance float64) []*entry {
	var list []*entry
	for _, e := range f.entries {
		if f.rng.Float64() < chance {
			list = append(list, e)
		}
	}
	return list
}

func (f *fleet) restart(list []*entry) {
	f.disrupt(list, func(e *entry) { e.down = true }, (*entry).start)
}

// disrupt applies a disruption to some entries and undoes it after a random time.
func (f *fleet) disrupt(list []*entry, apply, undo func(e *entry)) {
	from := time.Now()
	for _, e := range list {
		apply(e)
	}
	f.run(200*time.Millisecond + time.Duration(f.rng.Int64N(int64(5*time.Second))))
	for _, e := range list {
		undo(e)
		if f.window != nil {
			f.window.Excuse(e.address, from, time.Now().Add(recoveryTime))
		}
	}
}

// thaw resumes a frozen entry, which then processes its queued datagrams.
func (e *entry) thaw() {
	e.frozen = false
	inbox := e.inbox
	e.inbox = nil
	e.nextDigest = time.Now()
	for _, m := range inbox {
		e.receive(m)
	}
}

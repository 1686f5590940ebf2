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
	// step is the resolution of the model.
	step = 2 * time.Millisecond
	// waitTime is how long a request waits for its permit, workTime how long a target takes.
	waitTime = 15 * time.Millisecond
	workTime = 60 * time.Millisecond
	// digestTime and fanout are how often entries tell each other what they know, and how
	// many at a time; forgotten is when one that was not heard of no longer counts as live.
	digestTime = 300 * time.Millisecond
	fanout     = 6
	forgotten  = 5 * time.Second
	// stable is how long after a restart, a freeze or a cut an entry's requests do not count.
	stable = 3 * time.Second
	target = "target"
)

// message is a datagram under way.
type message struct {
	at       time.Time
	from, to *entry
	draw     *fleetv1.Draw
	grant    *fleetv1.Grant
	digest   *fleetv1.Digest
}

// entry is one entry of the modelled fleet.
type entry struct {
	fleet   *fleet
	address string
	limits  *mtlimit.Limits
	limiter *mtlimiter.Limiter
	readers *mtreader.Readers
	heard   map[*entry]time.Time
	down    bool
	frozen  bool
	side    int
	inbox   []message
	ticked  time.Time
	told    time.Time
}

// waiter is a request that waits for its permit.
type waiter struct {
	at      time.Time
	entry   *entry
	limiter *mtlimiter.Limiter
	ticket  *mtquota.Ticket
}

// answer is one that is to come.
type answer struct {
	at      time.Time
	sent    time.Time
	entry   *entry
	limits  *mtlimit.Limits
	message *fleetv1.Answer
}

// fleet is the modelled fleet and one target.
type fleet struct {
	r       *rand.Rand
	entries []*entry
	// byAddress are the entries by where they take datagrams.
	byAddress map[string]*entry
	wire      []message
	waiting   []waiter
	answers   []answer
	window    *mtwindow.Window
	// all checks the requests of all entries, as if each had passed on the limit when the
	// target named it.
	all *mtwindow.Window
	// rate is what the target names, nil for nothing; asked is how many requests callers
	// send in a second.
	rate    *float64
	asked   float64
	lost    float64
	divided bool
	// draws counts the draws that were sent, refused the requests without a permit.
	draws   int
	refused int
	sent    int
}

func newFleet(seed uint64, entries int, asked float64) *fleet {
	f := &fleet{r: rand.New(rand.NewPCG(seed, seed)), asked: asked, byAddress: map[string]*entry{}}
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

// limit lets the target name a limit from now on.
func (f *fleet) limit(rate float64) {
	f.rate, f.window, f.all = &rate, mtwindow.New(rate), mtwindow.New(rate)
	for _, e := range f.entries {
		f.all.Told(e.address, time.Now().Add(settleTime))
	}
}

// settleTime is how long entries take to tell each other of a limit.
const settleTime = 2 * time.Second

func (e *entry) start() {
	e.down, e.frozen = false, false
	e.limits = mtlimit.New()
	e.limiter = mtlimiter.New(e.address, e.limits)
	e.readers = mtreader.New(e.address, digestTime, fanout)
	e.heard, e.inbox = map[*entry]time.Time{}, nil
	e.told = time.Now().Add(time.Duration(e.fleet.r.Int64N(int64(digestTime))))
	// An entry that starts meets some of the others at sidecars.
	for range min(len(e.fleet.entries), 2*fanout) {
		if other := e.fleet.some(); other != e && !other.down {
			e.heard[other] = time.Now()
		}
	}
}

func (f *fleet) some() *entry { return f.entries[f.r.IntN(len(f.entries))] }

// run lets the model run for a time.
func (f *fleet) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(step)
		f.deliver()
		for _, e := range f.entries {
			if !e.down && !e.frozen {
				e.live()
			}
		}
		for n := f.poisson(f.asked * step.Seconds()); n > 0; n-- {
			f.ask(f.some())
		}
		f.settle()
		f.answered()
	}
}

// live does what is due at an entry.
func (e *entry) live() {
	if !time.Now().Before(e.told) {
		e.told = e.told.Add(digestTime)
		e.tell()
	}
	if time.Since(e.ticked) < mtquota.TickInterval || !e.limiter.Due() {
		return
	}
	e.ticked = time.Now()
	for _, m := range e.limiter.Tick(e.allocators(), e.known(), len(e.heard)+1) {
		e.send(m)
	}
}

// known are the other entries that were heard of.
func (e *entry) known() []string {
	var list []string
	for other, last := range e.heard {
		if time.Since(last) > forgotten {
			delete(e.heard, other)
			continue
		}
		list = append(list, other.address)
	}
	return list
}

// allocators are the entries that follow the store for all, as the entry knows them.
func (e *entry) allocators() []string {
	if list := e.readers.Addresses(); len(list) > 0 {
		return list
	}
	return append(e.known(), e.address)
}

// tell sends a digest to some of the others.
func (e *entry) tell() {
	e.readers.Resize(len(e.fleet.entries))
	e.readers.Join(false)
	digest := &fleetv1.Digest{Limits: e.limits.Recent(12), Readers: e.readersTold(), Entries: uint32(e.limiter.Observed())}
	for range min(fanout, len(e.fleet.entries)-1) {
		if other := e.fleet.some(); other != e {
			e.fleet.post(message{from: e, to: other, digest: digest})
		}
	}
}

// readersTold are the readers in a digest, with their addresses while some target is limited.
func (e *entry) readersTold() []*fleetv1.Reader {
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

// post puts a datagram on the wire: lost or late now and then.
func (f *fleet) post(m message) {
	if f.divided && m.from.side != m.to.side || f.r.Float64() < f.lost {
		return
	}
	m.at = time.Now().Add(time.Duration(f.r.Int64N(int64(3 * time.Millisecond))))
	f.wire = append(f.wire, m)
}

// deliver hands over what has arrived; a frozen entry takes it in when it wakes.
func (f *fleet) deliver() {
	under := f.wire
	f.wire = nil
	for _, m := range under {
		switch {
		case time.Now().Before(m.at):
			f.wire = append(f.wire, m)
		case m.to.down:
		case m.to.frozen:
			m.to.inbox = append(m.to.inbox, m)
		default:
			m.to.take(m)
		}
	}
}

func (e *entry) take(m message) {
	e.heard[m.from] = time.Now()
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

// ask lets a caller ask an entry for something that the target should serve.
func (f *fleet) ask(e *entry) {
	if e.down || e.frozen {
		return
	}
	if e.limiter.Wait(target) > 0 {
		f.refused++
		return
	}
	verdict := e.limiter.Admit(target)
	if waiting, ok := verdict.(mtquota.Waiting); ok {
		e.send(waiting.Ticket().Message())
		f.waiting = append(f.waiting, waiter{time.Now(), e, e.limiter, waiting.Ticket()})
		return
	}
	f.decided(e, verdict)
}

// settle decides on those that have waited long enough.
func (f *fleet) settle() {
	var left []waiter
	for _, w := range f.waiting {
		answered := false
		select {
		case <-w.ticket.Done():
			answered = true
		default:
		}
		switch {
		case w.entry.limiter != w.limiter:
		case w.entry.frozen || !answered && time.Since(w.at) < waitTime:
			left = append(left, w)
		default:
			f.decided(w.entry, w.limiter.Resolve(w.ticket))
		}
	}
	f.waiting = left
}

func (f *fleet) decided(e *entry, verdict mtquota.Verdict) {
	if _, refused := verdict.(mtquota.Refused); refused {
		f.refused++
		return
	}
	f.sent++
	if f.window != nil {
		f.window.Visit(e.address, time.Now())
		f.all.Visit(e.address, time.Now())
	}
	said := &fleetv1.Answer{Sealed: true}
	if f.rate != nil {
		said.Limited, said.Limit = true, proto.Float64(*f.rate)
	}
	f.answers = append(f.answers, answer{time.Now().Add(workTime), time.Now(), e, e.limits, said})
}

// answered lets entries pass on the answers that are due.
func (f *fleet) answered() {
	var left []answer
	for _, a := range f.answers {
		switch {
		case a.entry.limits != a.limits:
		case a.entry.frozen || time.Now().Before(a.at):
			left = append(left, a)
		default:
			a.limits.Hear(target, 0, a.message, a.sent)
			if a.message.Limit != nil && f.window != nil {
				f.window.Told(a.entry.address, time.Now())
			}
		}
	}
	f.answers = left
}

func (f *fleet) poisson(mean float64) int {
	n := 0
	for at := f.r.ExpFloat64(); at < mean; at += f.r.ExpFloat64() {
		n++
	}
	return n
}

// events are what may happen to a fleet.
var events = []string{"restart of one", "restart of half", "restart of all", "freeze", "cut", "lossy", "flood", "calm", "steady"}

// event lets one thing happen; those to which it happens are excused.
func (f *fleet) event(kind string) {
	switch kind {
	case "restart of one":
		f.restart([]*entry{f.some()})
	case "restart of half":
		f.restart(f.part(0.5))
	case "restart of all":
		f.restart(f.entries)
	case "freeze":
		f.hold(f.part(0.3), func(e *entry) { e.frozen = true }, (*entry).thaw)
	case "cut":
		f.divided = true
		f.hold(f.part(0.3), func(e *entry) { e.side = 1 }, func(e *entry) { e.side = 0 })
		f.divided = false
	case "lossy":
		f.lost = 0.2
		f.run(3 * time.Second)
		f.lost = 0
	case "flood":
		f.asked *= 3
	case "calm":
		f.asked /= 3
	case "steady":
	}
	f.run(time.Duration(f.r.Int64N(int64(5 * time.Second))))
}

func (f *fleet) part(chance float64) []*entry {
	var list []*entry
	for _, e := range f.entries {
		if f.r.Float64() < chance {
			list = append(list, e)
		}
	}
	return list
}

func (f *fleet) restart(list []*entry) {
	f.hold(list, func(e *entry) { e.down = true }, (*entry).start)
}

// hold does something to some entries, and undoes it after a time.
func (f *fleet) hold(list []*entry, do, undo func(e *entry)) {
	from := time.Now()
	for _, e := range list {
		do(e)
	}
	f.run(200*time.Millisecond + time.Duration(f.r.Int64N(int64(5*time.Second))))
	for _, e := range list {
		undo(e)
		if f.window != nil {
			f.window.Excuse(e.address, from, time.Now().Add(stable))
		}
	}
}

// thaw wakes a frozen entry.
func (e *entry) thaw() {
	e.frozen = false
	inbox := e.inbox
	e.inbox = nil
	e.told = time.Now()
	for _, m := range inbox {
		e.take(m)
	}
}

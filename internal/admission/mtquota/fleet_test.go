package mtquota_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtallocator"
	"github.com/mustardtide/mustardtide/internal/admission/mtquota"
)

const (
	// step is the resolution of the model.
	step = 2 * time.Millisecond
	// answerTime is how long a request waits for its credit.
	answerTime = 4 * time.Millisecond
	span       = 8 * time.Second
	overshoot  = 0.1
	surplus    = 72000.0
	// heardEach is how often entries hear of each other, forgotten when they no longer
	// count as live.
	heardEach = 300 * time.Millisecond
	meetEach  = 50 * time.Millisecond
	forgotten = 5 * time.Second
	// applied bounds how late an entry hears of a changed quota.
	applied = 3 * time.Second
)

var bounds = &fleetv1.Bounds{Span: durationpb.New(span), Overshoot: overshoot, Surplus: surplus}

// datagram is one under way.
type datagram struct {
	at       time.Time
	from, to *entry
	draw     *fleetv1.Draw
	grant    *fleetv1.Grant
}

// entry is one entry of the modelled fleet.
type entry struct {
	fleet   *fleet
	address string
	quota   *mtquota.Quota
	ledger  *mtallocator.Allocator
	down    bool
	frozen  bool
	ending  bool
	// side is the part of a divided fleet to which it belongs.
	side   int
	heard  map[*entry]time.Time
	inbox  []datagram
	limits map[string]*fleetv1.Account
	ticked time.Time
}

// waiter is a request that waits for its credit.
type waiter struct {
	at     time.Time
	entry  *entry
	quota  *mtquota.Quota
	load   *load
	ticket *mtquota.Ticket
	asked  ask
}

// ask is one request of the load.
type ask struct {
	cost      int64
	conformed bool
}

// use is a request that was admitted.
type use struct {
	at   time.Time
	cost int64
}

// load is what one account's callers ask.
type load struct {
	account *fleetv1.Account
	// lowest is the lowest quota since when, for the check of windows.
	changes []change
	used    []use
	// rate is the cost asked for in a second; large is the share of large requests.
	rate  float64
	large float64
	// within says that its callers never ask for more than the quota.
	within bool
	// entries are those that its callers reach.
	entries []*entry
	// bucket is what an exact limiter would have left.
	bucket  float64
	filled  time.Time
	conform struct{ asked, refused int }
}

// change is a quota from a time on.
type change struct {
	at          time.Time
	rate, burst float64
}

// fleet is the modelled fleet.
type fleet struct {
	r       *rand.Rand
	entries []*entry
	loads   []*load
	wire    []datagram
	waiting []waiter
	lost    float64
	doubled float64
	delay   time.Duration
	divided bool
	// away says that the store, which keeps the size of the fleet, does not answer.
	away bool
	met  time.Time
}

func newFleet(seed uint64, entries int) *fleet {
	f := &fleet{r: rand.New(rand.NewPCG(seed, seed)), delay: 1500 * time.Microsecond}
	for i := range entries {
		f.entries = append(f.entries, &entry{fleet: f, address: fmt.Sprintf("10.1.0.%d:7340", i+1), limits: map[string]*fleetv1.Account{}})
	}
	for _, e := range f.entries {
		e.start()
	}
	return f
}

// account adds an account and its callers.
func (f *fleet) account(name string, rate, burst, asked, large float64) *load {
	l := &load{
		account: &fleetv1.Account{Name: name, Rate: rate, Burst: burst, Unit: fleetv1.Unit_UNIT_TOKEN},
		rate:    asked, large: large, entries: f.entries, bucket: burst, filled: time.Now(),
		changes: []change{{time.Now(), rate, burst}},
	}
	f.loads = append(f.loads, l)
	for _, e := range f.entries {
		e.limits[name] = l.account
	}
	return l
}

func (e *entry) start() {
	e.down, e.frozen = false, false
	e.quota, e.ledger = mtquota.New(e.address, bounds), mtallocator.New(bounds)
	e.heard, e.inbox = map[*entry]time.Time{}, nil
	if !e.fleet.away {
		e.quota.SetStoredSize(len(e.fleet.entries))
	}
}

// run lets the model run for a time.
func (f *fleet) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(step)
		f.deliver()
		if time.Since(f.met) >= meetEach {
			f.met = time.Now()
			f.meet()
		}
		for _, e := range f.entries {
			if !e.down && !e.frozen && time.Since(e.ticked) >= mtquota.TickTime {
				e.tick()
			}
		}
		for _, l := range f.loads {
			f.arrive(l)
		}
		f.settle()
	}
}

// reach says that two entries see each other.
func (f *fleet) reach(a, b *entry) bool { return a == b || !f.divided || a.side == b.side }

// meet lets entries hear of each other.
func (f *fleet) meet() {
	for _, e := range f.entries {
		if e.down || e.frozen {
			continue
		}
		for _, other := range f.entries {
			if other == e || other.down || other.frozen || !f.reach(e, other) {
				continue
			}
			if f.r.Float64() < float64(meetEach)/float64(heardEach) {
				e.heard[other] = time.Now()
				e.quota.SetPeerSize(other.quota.ObservedSize())
			}
		}
		for other, last := range e.heard {
			if time.Since(last) > forgotten {
				delete(e.heard, other)
			}
		}
	}
}

func (e *entry) tick() {
	e.ticked = time.Now()
	var serving, live []string
	for _, other := range e.fleet.entries {
		if _, ok := e.heard[other]; ok {
			live = append(live, other.address)
			if !other.ending {
				serving = append(serving, other.address)
			}
		}
	}
	for _, message := range e.quota.Tick(len(e.limits), serving, live) {
		e.send(message)
	}
}

// send takes a draw to its allocator.
func (e *entry) send(message mtquota.Message) {
	if message.To() == e.address {
		if grant := e.answer(e.address, message.Draw()); grant != nil {
			e.quota.Receive(e.address, grant)
		}
		return
	}
	for _, other := range e.fleet.entries {
		if other.address == message.To() {
			e.fleet.post(datagram{from: e, to: other, draw: message.Draw()})
		}
	}
}

func (e *entry) answer(from string, draw *fleetv1.Draw) *fleetv1.Grant {
	return e.ledger.Answer(from, draw, e.quota.Entries(), func(name string) *fleetv1.Account { return e.limits[name] })
}

// post puts a message on the wire: lost, twice or late now and then.
func (f *fleet) post(m datagram) {
	if !f.reach(m.from, m.to) {
		return
	}
	for copies := 1 + f.happens(f.doubled); copies > 0; copies-- {
		if f.happens(f.lost) == 0 {
			m.at = time.Now().Add(time.Duration(f.r.Int64N(int64(f.delay))))
			f.wire = append(f.wire, m)
		}
	}
}

func (f *fleet) happens(chance float64) int {
	if f.r.Float64() < chance {
		return 1
	}
	return 0
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

func (e *entry) take(m datagram) {
	if m.grant != nil {
		e.quota.Receive(m.from.address, m.grant)
		return
	}
	if grant := e.answer(m.from.address, m.draw); grant != nil {
		e.fleet.post(datagram{from: e, to: m.from, grant: grant})
	}
}

// thaw wakes a frozen entry.
func (e *entry) thaw() {
	e.frozen = false
	inbox := e.inbox
	e.inbox = nil
	for _, m := range inbox {
		e.take(m)
	}
}

// arrive lets an account's callers send for one step.
func (f *fleet) arrive(l *load) {
	const small, large = 900.0, 9200.0
	mean := small*(1-l.large) + large*l.large
	l.bucket = min(l.changes[0].burst, l.bucket+l.changes[0].rate*time.Since(l.filled).Seconds())
	l.filled = time.Now()
	for n := f.poisson(l.rate / mean * step.Seconds()); n > 0; n-- {
		cost := int64(small * (0.3 + 1.4*f.r.Float64()))
		if f.r.Float64() < l.large {
			cost = int64(large * (0.3 + 1.4*f.r.Float64()))
		}
		a := ask{cost: cost}
		if l.bucket >= float64(cost) {
			l.bucket -= float64(cost)
			a.conformed = true
			l.conform.asked++
		} else if l.within {
			continue
		}
		f.ask(l, l.entries[f.r.IntN(len(l.entries))], a)
	}
}

func (f *fleet) poisson(mean float64) int {
	n := 0
	for at := f.r.ExpFloat64(); at < mean; at += f.r.ExpFloat64() {
		n++
	}
	return n
}

func (f *fleet) ask(l *load, e *entry, a ask) {
	if e.down || e.frozen {
		return
	}
	switch v := e.quota.Admit(e.limits[l.account.GetName()], a.cost).(type) {
	case mtquota.Waiting:
		e.send(v.Ticket().Message())
		f.waiting = append(f.waiting, waiter{time.Now(), e, e.quota, l, v.Ticket(), a})
	default:
		f.decided(l, v, a)
	}
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
		case w.entry.quota != w.quota:
		case w.entry.frozen || !answered && time.Since(w.at) < answerTime:
			left = append(left, w)
		default:
			f.decided(w.load, w.quota.Resolve(w.ticket), w.asked)
		}
	}
	f.waiting = left
}

func (f *fleet) decided(l *load, verdict mtquota.Verdict, a ask) {
	switch verdict.(type) {
	case mtquota.Admitted:
		l.used = append(l.used, use{time.Now(), a.cost})
	default:
		if a.conformed {
			l.conform.refused++
		}
	}
}

// limit is what may be used in a window that begins at a time: a lower quota binds a
// window after all entries have heard of it.
func (l *load) limit(at time.Time) float64 {
	most := 0.0
	for i, c := range l.changes {
		if i+1 < len(l.changes) && at.After(l.changes[i+1].at.Add(applied+span)) {
			continue
		}
		most = max(most, (c.rate*span.Seconds()+c.burst)*(1+overshoot)+surplus)
	}
	return most
}

// over returns by how much the worst window exceeds what is allowed, as a share of it.
func (l *load) over() float64 {
	worst, sum, first := -1.0, 0.0, 0
	for _, u := range l.used {
		sum += float64(u.cost)
		for u.at.Sub(l.used[first].at) >= span {
			sum -= float64(l.used[first].cost)
			first++
		}
		worst = max(worst, sum/l.limit(l.used[first].at)-1)
	}
	return worst
}

// usedFrom is the cost admitted after a time.
func (l *load) usedFrom(at time.Time) float64 {
	sum := 0.0
	for _, u := range l.used {
		if u.at.After(at) {
			sum += float64(u.cost)
		}
	}
	return sum
}

// event does one thing to the fleet or the load.
func (f *fleet) event(kind int) {
	some := f.entries[f.r.IntN(len(f.entries))]
	l := f.loads[f.r.IntN(len(f.loads))]
	switch kind {
	case 0:
		l.entries = []*entry{some}
	case 1:
		l.entries = f.entries
	case 2:
		l.rate = l.account.GetRate() * (0.2 + 7*f.r.Float64())
	case 3:
		f.restart(f.entries, time.Duration(f.r.Int64N(int64(2*time.Second))))
	case 4:
		f.restart([]*entry{some}, time.Duration(f.r.Int64N(int64(5*time.Second))))
	case 5:
		f.freeze(time.Duration(f.r.Int64N(int64(6 * time.Second))))
	case 6:
		f.divide()
		f.run(time.Duration(f.r.Int64N(int64(12 * time.Second))))
		f.divided = false
	case 7:
		f.change(l, l.account.GetRate()*(0.3+f.r.Float64()))
	case 8:
		f.restart(f.entries[:1+len(f.entries)*11/20], time.Second)
	case 9:
		f.delay = time.Duration(f.r.Int64N(int64(time.Second))) + time.Millisecond
		f.run(3 * time.Second)
		f.delay = 1500 * time.Microsecond
	case 10:
		some.ending = true
		f.run(4 * time.Second)
		f.restart([]*entry{some}, 300*time.Millisecond)
		some.ending = false
	case 11:
		f.restart(f.entries, 300*time.Millisecond)
		f.run(time.Duration(f.r.Int64N(int64(2 * time.Second))))
		f.restart(f.entries, 300*time.Millisecond)
	case 12:
		f.divide()
		f.restart(f.entries, 300*time.Millisecond)
		f.run(time.Duration(f.r.Int64N(int64(8 * time.Second))))
		f.divided = false
	case 13:
		f.away = true
		f.restart(f.entries, 300*time.Millisecond)
		f.run(time.Duration(f.r.Int64N(int64(5 * time.Second))))
		f.away = false
	}
}

func (f *fleet) restart(list []*entry, after time.Duration) {
	for _, e := range list {
		e.down = true
	}
	f.run(after)
	for _, e := range list {
		e.start()
	}
}

func (f *fleet) freeze(d time.Duration) {
	var list []*entry
	for _, e := range f.entries {
		if f.r.Float64() < 0.3 {
			e.frozen = true
			list = append(list, e)
		}
	}
	f.run(d)
	for _, e := range list {
		e.thaw()
	}
}

func (f *fleet) divide() {
	f.divided = true
	for _, e := range f.entries {
		e.side = f.r.IntN(2)
	}
}

// change sets another quota, of which entries hear one after another.
func (f *fleet) change(l *load, rate float64) {
	account := &fleetv1.Account{Name: l.account.GetName(), Rate: rate, Burst: rate, Unit: fleetv1.Unit_UNIT_TOKEN}
	l.changes = append(l.changes, change{time.Now(), rate, rate})
	l.account = account
	for _, e := range f.entries {
		if f.r.Float64() < 0.7 {
			e.limits[account.GetName()] = account
		}
	}
	f.run(time.Duration(f.r.Int64N(int64(applied))))
	for _, e := range f.entries {
		e.limits[account.GetName()] = account
	}
}

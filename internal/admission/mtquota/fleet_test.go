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
	// modelStep is the time resolution of the model.
	modelStep = 2 * time.Millisecond
	// answerTime is how long a request waits for its credit.
	answerTime = 4 * time.Millisecond
	span       = 8 * time.Second
	overshoot  = 0.1
	surplus    = 72000.0
	// gossipInterval is the average time between two heartbeats that an entry receives from the
	// same peer; gossipStep is how often the model decides on them. A peer that has not been
	// heard from for peerTTL no longer counts as live.
	gossipInterval = 300 * time.Millisecond
	gossipStep     = 50 * time.Millisecond
	peerTTL        = 5 * time.Second
	// quotaPropagation is the longest time until an entry learns of a changed quota.
	quotaPropagation = 3 * time.Second
)

var bounds = &fleetv1.Bounds{Span: durationpb.New(span), Overshoot: overshoot, Surplus: surplus}

// datagram is a message in flight.
type datagram struct {
	at       time.Time
	from, to *entry
	draw     *fleetv1.Draw
	grant    *fleetv1.Grant
}

// entry is one entry of the modelled fleet.
type entry struct {
	fleet     *fleet
	address   string
	quota     *mtquota.Quota
	allocator *mtallocator.Allocator
	down      bool
	frozen    bool
	draining  bool
	// partition is the part of a partitioned fleet to which the entry belongs.
	partition int
	lastHeard map[*entry]time.Time
	inbox     []datagram
	accounts  map[string]*fleetv1.Account
	lastTick  time.Time
}

// waiter is a request that waits for its credit.
type waiter struct {
	at      time.Time
	entry   *entry
	quota   *mtquota.Quota
	load    *load
	ticket  *mtquota.Ticket
	request request
}

// request is one request of the load.
type request struct {
	cost      int64
	conformed bool
}

// admission is a request that was admitted.
type admission struct {
	at   time.Time
	cost int64
}

// load is the traffic of one account's callers.
type load struct {
	account *fleetv1.Account
	// changes are the account's quotas over time, oldest first, for the check of windows.
	changes    []change
	admissions []admission
	// rate is the cost requested per second; largeShare is the share of large requests.
	rate       float64
	largeShare float64
	// conforming makes the callers never ask for more than the quota.
	conforming bool
	// entries are those that the callers can reach.
	entries []*entry
	// bucket is the level of an exact token bucket with the account's first quota.
	bucket          float64
	refilled        time.Time
	conformingStats struct{ asked, refused int }
}

// change is a quota that applies from a time on.
type change struct {
	at          time.Time
	rate, burst float64
}

// fleet is the modelled fleet.
type fleet struct {
	r             *rand.Rand
	entries       []*entry
	loads         []*load
	inFlight      []datagram
	waiting       []waiter
	lossRate      float64
	duplicateRate float64
	maxDelay      time.Duration
	partitioned   bool
	// storeDown makes the store, which keeps the size of the fleet, unavailable.
	storeDown  bool
	lastGossip time.Time
}

func newFleet(seed uint64, entries int) *fleet {
	f := &fleet{r: rand.New(rand.NewPCG(seed, seed)), maxDelay: 1500 * time.Microsecond}
	for i := range entries {
		f.entries = append(f.entries, &entry{fleet: f, address: fmt.Sprintf("10.1.0.%d:7340", i+1), accounts: map[string]*fleetv1.Account{}})
	}
	for _, e := range f.entries {
		e.start()
	}
	return f
}

// addAccount adds an account and the load of its callers.
func (f *fleet) addAccount(name string, rate, burst, requested, largeShare float64) *load {
	l := &load{
		account: &fleetv1.Account{Name: name, Rate: rate, Burst: burst, Unit: fleetv1.Unit_UNIT_TOKEN},
		rate:    requested, largeShare: largeShare, entries: f.entries, bucket: burst, refilled: time.Now(),
		changes: []change{{time.Now(), rate, burst}},
	}
	f.loads = append(f.loads, l)
	for _, e := range f.entries {
		e.accounts[name] = l.account
	}
	return l
}

func (e *entry) start() {
	e.down, e.frozen = false, false
	e.quota, e.allocator = mtquota.New(e.address, bounds), mtallocator.New(bounds)
	e.lastHeard, e.inbox = map[*entry]time.Time{}, nil
	if !e.fleet.storeDown {
		e.quota.SetStoredSize(len(e.fleet.entries))
	}
}

// run advances the model by a duration.
func (f *fleet) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(modelStep)
		f.deliver()
		if time.Since(f.lastGossip) >= gossipStep {
			f.lastGossip = time.Now()
			f.gossip()
		}
		for _, e := range f.entries {
			if !e.down && !e.frozen && time.Since(e.lastTick) >= mtquota.TickInterval {
				e.tick()
			}
		}
		for _, l := range f.loads {
			f.generate(l)
		}
		f.resolveWaiting()
	}
}

// connected reports whether two entries can exchange messages.
func (f *fleet) connected(a, b *entry) bool {
	return a == b || !f.partitioned || a.partition == b.partition
}

// gossip delivers heartbeats between entries and expires the peers that fell silent.
func (f *fleet) gossip() {
	for _, e := range f.entries {
		if e.down || e.frozen {
			continue
		}
		for _, other := range f.entries {
			if other == e || other.down || other.frozen || !f.connected(e, other) {
				continue
			}
			if f.r.Float64() < float64(gossipStep)/float64(gossipInterval) {
				e.lastHeard[other] = time.Now()
				e.quota.SetPeerSize(other.quota.ObservedSize())
			}
		}
		for other, last := range e.lastHeard {
			if time.Since(last) > peerTTL {
				delete(e.lastHeard, other)
			}
		}
	}
}

func (e *entry) tick() {
	e.lastTick = time.Now()
	var serving, live []string
	for _, other := range e.fleet.entries {
		if _, ok := e.lastHeard[other]; ok {
			live = append(live, other.address)
			if !other.draining {
				serving = append(serving, other.address)
			}
		}
	}
	for _, message := range e.quota.Tick(len(e.accounts), serving, live) {
		e.send(message)
	}
}

// send delivers a draw to its allocator.
func (e *entry) send(message mtquota.Message) {
	if message.To() == e.address {
		if grant := e.answer(e.address, message.Draw()); grant != nil {
			e.quota.Receive(e.address, grant)
		}
		return
	}
	for _, other := range e.fleet.entries {
		if other.address == message.To() {
			e.fleet.transmit(datagram{from: e, to: other, draw: message.Draw()})
		}
	}
}

func (e *entry) answer(from string, draw *fleetv1.Draw) *fleetv1.Grant {
	return e.allocator.Answer(from, draw, e.quota.Entries(), func(name string) *fleetv1.Account { return e.accounts[name] })
}

// transmit puts a message on the network, which may lose, duplicate or delay it.
func (f *fleet) transmit(m datagram) {
	if !f.connected(m.from, m.to) {
		return
	}
	for copies := 1 + f.chance(f.duplicateRate); copies > 0; copies-- {
		if f.chance(f.lossRate) == 0 {
			m.at = time.Now().Add(time.Duration(f.r.Int64N(int64(f.maxDelay))))
			f.inFlight = append(f.inFlight, m)
		}
	}
}

func (f *fleet) chance(probability float64) int {
	if f.r.Float64() < probability {
		return 1
	}
	return 0
}

// deliver delivers the messages that are due. A frozen entry queues them until it thaws.
func (f *fleet) deliver() {
	pending := f.inFlight
	f.inFlight = nil
	for _, m := range pending {
		switch {
		case time.Now().Before(m.at):
			f.inFlight = append(f.inFlight, m)
		case m.to.down:
		case m.to.frozen:
			m.to.inbox = append(m.to.inbox, m)
		default:
			m.to.handle(m)
		}
	}
}

func (e *entry) handle(m datagram) {
	if m.grant != nil {
		e.quota.Receive(m.from.address, m.grant)
		return
	}
	if grant := e.answer(m.from.address, m.draw); grant != nil {
		e.fleet.transmit(datagram{from: e, to: m.from, grant: grant})
	}
}

// thaw resumes a frozen entry, which then handles its queued messages.
func (e *entry) thaw() {
	e.frozen = false
	inbox := e.inbox
	e.inbox = nil
	for _, m := range inbox {
		e.handle(m)
	}
}

// generate sends the requests of an account's callers for one step.
func (f *fleet) generate(l *load) {
	const small, large = 900.0, 9200.0
	mean := small*(1-l.largeShare) + large*l.largeShare
	l.bucket = min(l.changes[0].burst, l.bucket+l.changes[0].rate*time.Since(l.refilled).Seconds())
	l.refilled = time.Now()
	for n := f.poisson(l.rate / mean * modelStep.Seconds()); n > 0; n-- {
		cost := int64(small * (0.3 + 1.4*f.r.Float64()))
		if f.r.Float64() < l.largeShare {
			cost = int64(large * (0.3 + 1.4*f.r.Float64()))
		}
		req := request{cost: cost}
		if l.bucket >= float64(cost) {
			l.bucket -= float64(cost)
			req.conformed = true
			l.conformingStats.asked++
		} else if l.conforming {
			continue
		}
		f.submit(l, l.entries[f.r.IntN(len(l.entries))], req)
	}
}

func (f *fleet) poisson(mean float64) int {
	n := 0
	for at := f.r.ExpFloat64(); at < mean; at += f.r.ExpFloat64() {
		n++
	}
	return n
}

func (f *fleet) submit(l *load, e *entry, req request) {
	if e.down || e.frozen {
		return
	}
	switch v := e.quota.Admit(e.accounts[l.account.GetName()], req.cost).(type) {
	case mtquota.Waiting:
		e.send(v.Ticket().Message())
		f.waiting = append(f.waiting, waiter{time.Now(), e, e.quota, l, v.Ticket(), req})
	default:
		f.recordVerdict(l, v, req)
	}
}

// resolveWaiting resolves the requests that were answered or have waited for answerTime.
func (f *fleet) resolveWaiting() {
	var remaining []waiter
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
			remaining = append(remaining, w)
		default:
			f.recordVerdict(w.load, w.quota.Resolve(w.ticket), w.request)
		}
	}
	f.waiting = remaining
}

func (f *fleet) recordVerdict(l *load, verdict mtquota.Verdict, req request) {
	switch verdict.(type) {
	case mtquota.Admitted:
		l.admissions = append(l.admissions, admission{time.Now(), req.cost})
	default:
		if req.conformed {
			l.conformingStats.refused++
		}
	}
}

// allowedFrom returns what may be admitted in a window that starts at a time. A lower quota
// applies to windows that start after all entries have learned of it.
func (l *load) allowedFrom(at time.Time) float64 {
	allowed := 0.0
	for i, c := range l.changes {
		if i+1 < len(l.changes) && at.After(l.changes[i+1].at.Add(quotaPropagation+span)) {
			continue
		}
		allowed = max(allowed, (c.rate*span.Seconds()+c.burst)*(1+overshoot)+surplus)
	}
	return allowed
}

// worstExcess returns by how much the worst window exceeds what is allowed, as a share of it.
func (l *load) worstExcess() float64 {
	worst, sum, first := -1.0, 0.0, 0
	for _, a := range l.admissions {
		sum += float64(a.cost)
		for a.at.Sub(l.admissions[first].at) >= span {
			sum -= float64(l.admissions[first].cost)
			first++
		}
		worst = max(worst, sum/l.allowedFrom(l.admissions[first].at)-1)
	}
	return worst
}

// admittedSince returns the cost admitted after a time.
func (l *load) admittedSince(at time.Time) float64 {
	sum := 0.0
	for _, a := range l.admissions {
		if a.at.After(at) {
			sum += float64(a.cost)
		}
	}
	return sum
}

// inject applies one kind of fault or change to the fleet or the load.
func (f *fleet) inject(kind int) {
	picked := f.entries[f.r.IntN(len(f.entries))]
	l := f.loads[f.r.IntN(len(f.loads))]
	switch kind {
	case 0:
		l.entries = []*entry{picked}
	case 1:
		l.entries = f.entries
	case 2:
		l.rate = l.account.GetRate() * (0.2 + 7*f.r.Float64())
	case 3:
		f.restart(f.entries, time.Duration(f.r.Int64N(int64(2*time.Second))))
	case 4:
		f.restart([]*entry{picked}, time.Duration(f.r.Int64N(int64(5*time.Second))))
	case 5:
		f.freeze(time.Duration(f.r.Int64N(int64(6 * time.Second))))
	case 6:
		f.split()
		f.run(time.Duration(f.r.Int64N(int64(12 * time.Second))))
		f.partitioned = false
	case 7:
		f.changeQuota(l, l.account.GetRate()*(0.3+f.r.Float64()))
	case 8:
		f.restart(f.entries[:1+len(f.entries)*11/20], time.Second)
	case 9:
		f.maxDelay = time.Duration(f.r.Int64N(int64(time.Second))) + time.Millisecond
		f.run(3 * time.Second)
		f.maxDelay = 1500 * time.Microsecond
	case 10:
		picked.draining = true
		f.run(4 * time.Second)
		f.restart([]*entry{picked}, 300*time.Millisecond)
		picked.draining = false
	case 11:
		f.restart(f.entries, 300*time.Millisecond)
		f.run(time.Duration(f.r.Int64N(int64(2 * time.Second))))
		f.restart(f.entries, 300*time.Millisecond)
	case 12:
		f.split()
		f.restart(f.entries, 300*time.Millisecond)
		f.run(time.Duration(f.r.Int64N(int64(8 * time.Second))))
		f.partitioned = false
	case 13:
		f.storeDown = true
		f.restart(f.entries, 300*time.Millisecond)
		f.run(time.Duration(f.r.Int64N(int64(5 * time.Second))))
		f.storeDown = false
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

func (f *fleet) split() {
	f.partitioned = true
	for _, e := range f.entries {
		e.partition = f.r.IntN(2)
	}
}

// changeQuota sets another quota, of which the entries learn at different times.
func (f *fleet) changeQuota(l *load, rate float64) {
	account := &fleetv1.Account{Name: l.account.GetName(), Rate: rate, Burst: rate, Unit: fleetv1.Unit_UNIT_TOKEN}
	l.changes = append(l.changes, change{time.Now(), rate, rate})
	l.account = account
	for _, e := range f.entries {
		if f.r.Float64() < 0.7 {
			e.accounts[account.GetName()] = account
		}
	}
	f.run(time.Duration(f.r.Int64N(int64(quotaPropagation))))
	for _, e := range f.entries {
		e.accounts[account.GetName()] = account
	}
}

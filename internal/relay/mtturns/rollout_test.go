package mtturns_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/relay/mtrollout"
	"github.com/mustardtide/mustardtide/internal/relay/mtturns"
)

const (
	// tickInterval is how often a sidecar acts, heartbeatTicks the number of ticks between the
	// heartbeats of an entry.
	tickInterval   = 20 * time.Millisecond
	heartbeatTicks = 12
	// settleTime is how long the simulation continues after the last publication of
	// weights.
	settleTime = 14 * time.Second
)

// fleet simulates engines with the real plans of their sidecars, and entries that see their
// state late and lose some datagrams.
type fleet struct {
	engines        []*engine
	entries        []*entry
	load           time.Duration
	saturation     float64
	loss           float64
	random         *rand.Rand
	version        int64
	publishedAt    time.Time
	maxUnavailable int
	failure        string
}

type engine struct {
	plan      *mtrollout.Plan
	version   int64
	target    int64
	orders    int64
	remaining time.Duration
	busy      bool
	downUntil time.Time
	runsEnd   time.Time
}

type entry struct {
	version     int64
	publishedAt time.Time
	states      map[int]observation
	saturation  int
}

type observation struct {
	at          time.Time
	answers     bool
	version     int64
	unavailable bool
	load        *fleetv1.Load
}

// report returns the engine's report; runs end some time after the last request.
func (e *engine) report() *fleetv1.Report {
	r := &fleetv1.Report{Models: []*fleetv1.Weights{{Model: "m", Version: e.version}}, Busy: e.busy, Orders: e.orders}
	if time.Now().Before(e.runsEnd) {
		r.Running = 1
	}
	return r
}

// scenario holds the randomly drawn parameters of a simulated rollout.
type scenario struct {
	engines, entries, saturation int
	// loadShare scales the load time: 1 is the longest, of at most two seconds, with
	// which a rollout can finish in half of the grace period.
	loadShare    float64
	loss         float64
	seed         uint64
	publications int
	// publishTicks and crashTick are counted in ticks.
	publishTicks, crashTick int
	crashes                 int
}

func draw(t *rapid.T) scenario {
	s := scenario{
		engines:      rapid.IntRange(3, 24).Draw(t, "engines"),
		entries:      rapid.IntRange(1, 4).Draw(t, "entries"),
		loadShare:    rapid.Float64Range(0.2, 1).Draw(t, "share"),
		loss:         rapid.Float64Range(0, 0.1).Draw(t, "loss"),
		seed:         rapid.Uint64().Draw(t, "seed"),
		publications: rapid.IntRange(1, 4).Draw(t, "namings"),
		publishTicks: rapid.IntRange(50, 500).Draw(t, "gap"),
		crashes:      rapid.IntRange(0, 2).Draw(t, "crashed"),
	}
	s.saturation = rapid.IntRange(1, max(1, s.engines/3)).Draw(t, "knee")
	s.crashTick = rapid.IntRange(0, s.publications*s.publishTicks).Draw(t, "crash")
	return s
}

func newFleet(s scenario) *fleet {
	longest := float64(gracePeriod) * 0.5 * float64(s.saturation) / float64(s.engines)
	f := &fleet{
		saturation: float64(s.saturation),
		load:       time.Duration(s.loadShare * min(longest, float64(2*time.Second))),
		loss:       s.loss,
		random:     rand.New(rand.NewPCG(s.seed, 0)),
	}
	for range s.engines {
		f.engines = append(f.engines, &engine{plan: mtrollout.New(gracePeriod), version: 1})
	}
	for range s.entries {
		f.entries = append(f.entries, &entry{version: 1, publishedAt: time.Now().Add(-time.Hour), states: map[int]observation{}})
	}
	return f
}

func (f *fleet) dropped() bool { return f.random.Float64() < f.loss }

// tick advances the simulation by one tickInterval.
func (f *fleet) tick(count int) {
	loading := 0
	for _, e := range f.engines {
		if e.busy {
			loading++
		}
	}
	speed := 1.0
	if loading > 0 {
		speed = min(1, f.saturation/float64(loading))
	}
	for i, e := range f.engines {
		f.advance(i, e, speed)
	}
	for i, observer := range f.entries {
		if observer.version < f.version {
			observer.version, observer.publishedAt = f.version, time.Now()
		}
		if (count+i)%heartbeatTicks == 0 {
			f.heartbeat(observer)
		}
	}
	time.Sleep(tickInterval)
}

// advance progresses an engine's load and runs its sidecar once.
func (f *fleet) advance(i int, e *engine, speed float64) {
	if time.Now().Before(e.downUntil) {
		return
	}
	if e.busy {
		e.remaining -= time.Duration(speed * float64(tickInterval))
		if e.remaining <= 0 {
			e.busy, e.version = false, e.target
		}
	}
	report := e.report()
	before := e.plan.Ordering(report)
	e.plan.Observe(report)
	if !e.plan.Ordering(report) {
		e.runsEnd = time.Now().Add(100 * time.Millisecond)
	}
	if swap := e.plan.Next(report); swap != nil {
		e.busy, e.target, e.remaining = true, swap.GetWeights().GetVersion(), f.load
		e.orders++
		e.plan.Accepted()
		e.plan.Observe(e.report())
	}
	if after := e.plan.Ordering(e.report()); after != before || e.busy {
		for _, observer := range f.entries {
			f.deliver(observer, i, e)
		}
	}
}

// deliver sends an engine's state to an entry, unless the datagram is lost.
func (f *fleet) deliver(observer *entry, i int, e *engine) {
	if f.dropped() {
		return
	}
	report := e.report()
	observer.states[i] = observation{time.Now(), !time.Now().Before(e.downUntil), e.version, e.plan.Ordering(report), e.plan.Load()}
}

// heartbeat sends each sidecar its turn from an entry, and delivers the replies.
func (f *fleet) heartbeat(observer *entry) {
	turns := mtturns.New(gracePeriod, time.Since(observer.publishedAt), lead, observer.saturation)
	for i := range f.engines {
		v, ok := observer.states[i]
		if !ok || time.Since(v.at) > 2500*time.Millisecond {
			turns.Put(id(i), false, false, nil, 0)
			continue
		}
		turns.Put(id(i), v.answers && v.version < observer.version, v.unavailable, v.load, time.Since(v.at))
	}
	turns.Arrange(hashByID)
	observer.saturation = turns.Saturation()
	for i, e := range f.engines {
		if f.dropped() {
			continue
		}
		// The sidecar of an engine that is down still runs, receives and replies.
		e.plan.SetTurn(turns.Of(id(i)))
		e.plan.AddWeights(&fleetv1.Weights{Model: "m", Version: observer.version, Revision: observer.version})
		f.deliver(observer, i, e)
	}
}

// publish publishes new weights.
func (f *fleet) publish() {
	f.version++
	f.publishedAt = time.Now()
}

// check verifies the invariants that must hold at every moment.
func (f *fleet) check() {
	unavailable := 0
	for i, e := range f.engines {
		if time.Now().Before(e.downUntil) {
			continue
		}
		if e.plan.Ordering(e.report()) {
			unavailable++
		}
		// An engine is starved if its weights were replaced longer ago than the grace
		// period, however often newer ones were published since.
		if behind := f.version - e.version; behind > 0 && time.Since(f.publishedAt) > gracePeriod {
			f.failure = fmt.Sprintf("engine %d has weights %d versions old, %v after the last publication", i, behind, time.Since(f.publishedAt))
		}
	}
	f.maxUnavailable = max(f.maxUnavailable, unavailable)
}

// Weights are published several times, faster than a rollout ends, while datagrams are
// lost, engines crash and entries see the fleet late. Every engine must get the newest
// weights in the grace period, and most engines must serve at any moment.
func TestRolloutsOfRandomFleets(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := draw(rt)
		var failure string
		synctest.Test(t, func(*testing.T) { failure = simulate(s) })
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// Guards against turns that come late and are then deferred until the same fixed time.
// With loads of a quarter of a second that slow each other down from the second on, and
// three publications a second apart, ten of 23 engines loaded at once.
func TestLateTurnsStaySpread(t *testing.T) {
	s := scenario{engines: 23, entries: 2, saturation: 1, loadShare: 1, loss: 0.015625, publications: 3, publishTicks: 50}
	expectNoFailure(t, s)
}

// Guards against a queue whose first engine goes down as weights are published: the
// others waited behind it until their time was nearly over, and then seven of twelve
// loaded at once.
func TestDownEngineDoesNotBlockQueue(t *testing.T) {
	s := scenario{engines: 12, entries: 1, saturation: 4, loadShare: 1, loss: 0.1, publications: 2, publishTicks: 50, crashes: 1, crashTick: 16}
	expectNoFailure(t, s)
}

// Guards against load times taken from interrupted loads. Two engines crash during their
// loads, whose end their sidecars see when the engines are back. The loads seemed to slow
// each other down, so two engines loaded at once instead of five until the time was nearly
// over, and then eight of fifteen loaded together.
func TestInterruptedLoadsAreNotSampled(t *testing.T) {
	s := scenario{engines: 15, entries: 2, saturation: 5, loadShare: 1, loss: 0.1, publications: 2, publishTicks: 51, crashes: 2, crashTick: 82}
	expectNoFailure(t, s)
}

// Guards against engines that are deferred until their time is over, and then load together,
// where the first loads take longer than the default load time and some engines crash.
func TestCrashesInLongFirstLoads(t *testing.T) {
	s := scenario{engines: 23, entries: 1, saturation: 7, loadShare: 1, loss: 0.1, seed: 0x1cb, publications: 3, publishTicks: 52, crashes: 2, crashTick: 17}
	expectNoFailure(t, s)
}

// Guards against a queue that does not catch up after two crashes at its start, until all
// waiting engines load together.
func TestQueueCatchesUpAfterCrashes(t *testing.T) {
	s := scenario{
		engines: 24, entries: 1, saturation: 7, loadShare: 0.9756978341762346, loss: 0.07323755295367489,
		seed: 863547489920211204, publications: 2, publishTicks: 59, crashes: 2, crashTick: 73,
	}
	expectNoFailure(t, s)
}

// expectNoFailure simulates one fleet and fails the test on any violation.
func expectNoFailure(t *testing.T, s scenario) {
	synctest.Test(t, func(t *testing.T) {
		if failure := simulate(s); failure != "" {
			t.Fatal(failure)
		}
	})
}

// simulate runs one fleet and returns the first violation found, or "".
func simulate(s scenario) string {
	f := newFleet(s)
	for count := range 100 {
		f.tick(count)
	}
	for count := range s.publications * s.publishTicks {
		if count%s.publishTicks == 0 {
			f.publish()
		}
		if count == s.crashTick {
			f.crash(s.crashes)
		}
		f.tick(count)
		f.check()
	}
	for count := range int(settleTime / tickInterval) {
		f.tick(count)
		f.check()
	}
	for i, e := range f.engines {
		if e.version != f.version {
			return fmt.Sprintf("engine %d ends with version %d of %d", i, e.version, f.version)
		}
	}
	// A third of the fleet or the number that the grace period requires, plus one whose
	// runs end, and one for each two entries, which let an engine start before they
	// learn of the other's.
	needed := float64(len(f.engines)) * float64(f.load) / (0.75*float64(gracePeriod) - float64(f.load+lead))
	bound := max(len(f.engines)/3, int(math.Ceil(needed)), 1) + 1 + (len(f.entries)+1)/2
	if f.maxUnavailable > bound {
		return fmt.Sprintf("%d of %d engines were unavailable at once, more than %d", f.maxUnavailable, len(f.engines), bound)
	}
	return f.failure
}

// crash takes some engines down for two seconds; they come back with their previous
// weights.
func (f *fleet) crash(count int) {
	for _, e := range f.engines[:min(count, len(f.engines))] {
		e.downUntil, e.busy, e.orders = time.Now().Add(2*time.Second), false, 0
	}
}

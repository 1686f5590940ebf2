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
	// step is how often a sidecar looks, greeting how often an entry greets.
	step     = 20 * time.Millisecond
	greeting = 12
	// tail is how long the model goes on after the last weights were named.
	tail = 14 * time.Second
)

// model is a fleet: engines with the real plans of their sidecars, and entries
// that see them late and lose some datagrams.
type model struct {
	engines []*engine
	entries []*entry
	load    time.Duration
	knee    float64
	loss    float64
	random  *rand.Rand
	version int64
	named   time.Time
	most    int
	failure string
}

type engine struct {
	plan    *mtrollout.Plan
	version int64
	target  int64
	orders  int64
	left    time.Duration
	busy    bool
	down    time.Time
	runs    time.Time
}

type entry struct {
	version int64
	named   time.Time
	heard   map[int]view
	knee    int
}

type view struct {
	at      time.Time
	answers bool
	version int64
	away    bool
	load    *fleetv1.Load
}

// report is what an engine says; its runs end some time after the last request.
func (e *engine) report() *fleetv1.Report {
	r := &fleetv1.Report{Models: []*fleetv1.Weights{{Model: "m", Version: e.version}}, Busy: e.busy, Orders: e.orders}
	if time.Now().Before(e.runs) {
		r.Running = 1
	}
	return r
}

// scenario is what is drawn: a fleet, and what happens to it.
type scenario struct {
	engines, entries, knee int
	// share is the part of the longest load with which a rollout is through in half
	// of the time allowed.
	share   float64
	loss    float64
	seed    uint64
	namings int
	// gap and crash are counts of steps.
	gap, crash int
	crashed    int
}

func draw(t *rapid.T) scenario {
	s := scenario{
		engines: rapid.IntRange(3, 24).Draw(t, "engines"),
		entries: rapid.IntRange(1, 4).Draw(t, "entries"),
		share:   rapid.Float64Range(0.2, 1).Draw(t, "share"),
		loss:    rapid.Float64Range(0, 0.1).Draw(t, "loss"),
		seed:    rapid.Uint64().Draw(t, "seed"),
		namings: rapid.IntRange(1, 4).Draw(t, "namings"),
		gap:     rapid.IntRange(50, 500).Draw(t, "gap"),
		crashed: rapid.IntRange(0, 2).Draw(t, "crashed"),
	}
	s.knee = rapid.IntRange(1, max(1, s.engines/3)).Draw(t, "knee")
	s.crash = rapid.IntRange(0, s.namings*s.gap).Draw(t, "crash")
	return s
}

func newModel(s scenario) *model {
	longest := float64(allowed) * 0.5 * float64(s.knee) / float64(s.engines)
	m := &model{
		knee:   float64(s.knee),
		load:   time.Duration(s.share * min(longest, float64(2*time.Second))),
		loss:   s.loss,
		random: rand.New(rand.NewPCG(s.seed, 0)),
	}
	for range s.engines {
		m.engines = append(m.engines, &engine{plan: mtrollout.New(allowed), version: 1})
	}
	for range s.entries {
		m.entries = append(m.entries, &entry{version: 1, named: time.Now().Add(-time.Hour), heard: map[int]view{}})
	}
	return m
}

func (m *model) lost() bool { return m.random.Float64() < m.loss }

// tick lets a step of time pass.
func (m *model) tick(count int) {
	loading := 0
	for _, e := range m.engines {
		if e.busy {
			loading++
		}
	}
	pace := 1.0
	if loading > 0 {
		pace = min(1, m.knee/float64(loading))
	}
	for i, e := range m.engines {
		m.advance(i, e, pace)
	}
	for i, observer := range m.entries {
		if observer.version < m.version {
			observer.version, observer.named = m.version, time.Now()
		}
		if (count+i)%greeting == 0 {
			m.greet(observer)
		}
	}
	time.Sleep(step)
}

// advance lets an engine load and its sidecar look.
func (m *model) advance(i int, e *engine, pace float64) {
	if time.Now().Before(e.down) {
		return
	}
	if e.busy {
		e.left -= time.Duration(pace * float64(step))
		if e.left <= 0 {
			e.busy, e.version = false, e.target
		}
	}
	report := e.report()
	before := e.plan.Ordering(report)
	e.plan.See(report)
	if !e.plan.Ordering(report) {
		e.runs = time.Now().Add(100 * time.Millisecond)
	}
	if swap := e.plan.Next(report); swap != nil {
		e.busy, e.target, e.left = true, swap.GetWeights().GetVersion(), m.load
		e.orders++
		e.plan.Accepted()
		e.plan.See(e.report())
	}
	if after := e.plan.Ordering(e.report()); after != before || e.busy {
		for _, observer := range m.entries {
			m.hear(observer, i, e)
		}
	}
}

// hear is a sidecar's state on its way to an entry.
func (m *model) hear(observer *entry, i int, e *engine) {
	if m.lost() {
		return
	}
	report := e.report()
	observer.heard[i] = view{time.Now(), !time.Now().Before(e.down), e.version, e.plan.Ordering(report), e.plan.Load()}
}

// greet lets an entry tell each sidecar its turn and hear its answer.
func (m *model) greet(observer *entry) {
	turns := mtturns.New(allowed, time.Since(observer.named), lead, observer.knee)
	for i := range m.engines {
		v, ok := observer.heard[i]
		if !ok || time.Since(v.at) > 2500*time.Millisecond {
			turns.Put(id(i), false, false, nil, 0)
			continue
		}
		turns.Put(id(i), v.answers && v.version < observer.version, v.away, v.load, time.Since(v.at))
	}
	turns.Arrange(byName)
	observer.knee = turns.Knee()
	for i, e := range m.engines {
		if m.lost() {
			continue
		}
		// The sidecar of an engine that is down lives, hears and answers.
		e.plan.Turn(turns.Of(id(i)))
		e.plan.Name(&fleetv1.Weights{Model: "m", Version: observer.version, Revision: observer.version})
		m.hear(observer, i, e)
	}
}

// name names new weights.
func (m *model) name() {
	m.version++
	m.named = time.Now()
}

// check holds what must hold at every moment.
func (m *model) check() {
	away := 0
	for i, e := range m.engines {
		if time.Now().Before(e.down) {
			continue
		}
		if e.plan.Ordering(e.report()) {
			away++
		}
		// An engine starves whose weights were replaced that long ago, however
		// often others were named since.
		if behind := m.version - e.version; behind > 0 && time.Since(m.named) > allowed {
			m.failure = fmt.Sprintf("engine %d has weights %d versions old, %v after the last were named", i, behind, time.Since(m.named))
		}
	}
	m.most = max(m.most, away)
}

// Weights are named several times, faster than a rollout ends, while datagrams are
// lost, engines crash and entries see the fleet late. Every engine has the newest
// weights in the time allowed, and most engines serve at any moment.
func TestRolloutsOfAnyFleet(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		drawn := draw(rt)
		var failure string
		synctest.Test(t, func(*testing.T) { failure = rollouts(drawn) })
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// Loads of a quarter of a second that slow each other from the second on, and three
// namings a second apart: turns came later than was foreseen, were put off until a
// fixed time after that, and then ten of 23 engines loaded at once.
func TestTurnsThatComeLateStayApart(t *testing.T) {
	s := scenario{engines: 23, entries: 2, knee: 1, share: 1, loss: 0.015625, namings: 3, gap: 50}
	expectInOrder(t, s)
}

// The first engine of the queue goes down as weights are named. The others waited
// behind it until their time was nearly over, and then seven of twelve loaded at once.
func TestEngineThatIsDownHoldsNobodyUp(t *testing.T) {
	s := scenario{engines: 12, entries: 1, knee: 4, share: 1, loss: 0.1, namings: 2, gap: 50, crashed: 1, crash: 16}
	expectInOrder(t, s)
}

// Two engines crash in the middle of their loads, and their sidecars see these end when
// they are back. The pace was taken to be that of engines that slow each other down, two
// at once in place of five, until the time was nearly over and eight of fifteen went.
func TestInterruptedLoadsSetNoPace(t *testing.T) {
	s := scenario{engines: 15, entries: 2, knee: 5, share: 1, loss: 0.1, namings: 2, gap: 51, crashed: 2, crash: 82}
	expectInOrder(t, s)
}

// Guards against engines that are held until their time is over, and then load together,
// where the first loads take longer than the guess and some of them crash.
func TestCrashesInLongFirstLoads(t *testing.T) {
	s := scenario{engines: 23, entries: 1, knee: 7, share: 1, loss: 0.1, seed: 0x1cb, namings: 3, gap: 52, crashed: 2, crash: 17}
	expectInOrder(t, s)
}

// Guards against a queue that makes up no time after two crashes at its start, until all
// that wait load together.
func TestQueueMakesUpForCrashes(t *testing.T) {
	s := scenario{
		engines: 24, entries: 1, knee: 7, share: 0.9756978341762346, loss: 0.07323755295367489,
		seed: 863547489920211204, namings: 2, gap: 59, crashed: 2, crash: 73,
	}
	expectInOrder(t, s)
}

// expectInOrder plays one fleet in which nothing may go wrong.
func expectInOrder(t *testing.T, s scenario) {
	synctest.Test(t, func(t *testing.T) {
		if failure := rollouts(s); failure != "" {
			t.Fatal(failure)
		}
	})
}

// rollouts plays one fleet and returns what went wrong, or "".
func rollouts(s scenario) string {
	m := newModel(s)
	for count := range 100 {
		m.tick(count)
	}
	for count := range s.namings * s.gap {
		if count%s.gap == 0 {
			m.name()
		}
		if count == s.crash {
			m.crash(s.crashed)
		}
		m.tick(count)
		m.check()
	}
	for count := range int(tail / step) {
		m.tick(count)
		m.check()
	}
	for i, e := range m.engines {
		if e.version != m.version {
			return fmt.Sprintf("engine %d ends with version %d of %d", i, e.version, m.version)
		}
	}
	// A third of the fleet, what the time allowed needs, one whose runs end, and one
	// for each two entries, which let an engine go before they hear of the other's.
	needed := float64(len(m.engines)) * float64(m.load) / (0.75*float64(allowed) - float64(m.load+lead))
	bound := max(len(m.engines)/3, int(math.Ceil(needed)), 1) + 1 + (len(m.entries)+1)/2
	if m.most > bound {
		return fmt.Sprintf("%d of %d engines were away at once, more than %d", m.most, len(m.engines), bound)
	}
	return m.failure
}

// crash takes some engines down for two seconds; they come back with the weights
// that they had.
func (m *model) crash(count int) {
	for _, e := range m.engines[:min(count, len(m.engines))] {
		e.down, e.busy, e.orders = time.Now().Add(2*time.Second), false, 0
	}
}

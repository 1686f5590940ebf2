package mtcustody_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/relay/mtcustody"
	"github.com/mustardtide/mustardtide/internal/relay/mtgate"
)

const (
	lease = 3 * time.Second
	step  = 50 * time.Millisecond
	// silence is how long a sidecar is not heard that counts as gone, alone how long
	// one hears no entry before it asks the store.
	silence = 2500 * time.Millisecond
	alone   = 2 * time.Second
	// excused is how long after a process has woken its orders do not count.
	excused = 300 * time.Millisecond
	// settled is how long after the last fault every engine has the newest weights.
	settled = 22 * time.Second
)

// kind is what happens to a process.
type kind int

const (
	killed kind = iota
	frozen
	// offStore and offFleet are cut off from the store, and from the other processes.
	offStore
	offFleet
	kinds
)

// process is what an entry and a sidecar of the model share.
type process struct {
	name  string
	until [kinds]time.Time
	woke  time.Time
}

func (p *process) is(k kind) bool { return time.Now().Before(p.until[k]) }

func (p *process) runs() bool { return !p.is(killed) && !p.is(frozen) }

func (p *process) reaches(other *process) bool { return !p.is(offFleet) && !other.is(offFleet) }

type entry struct {
	process
	custody *mtcustody.Custody
	heard   map[string]time.Time
	started time.Time
}

type sidecar struct {
	process
	gate    *mtgate.Gate
	heard   time.Time
	asked   time.Time
	ordered time.Time
	down    bool
	slept   bool
}

// order is one that an engine got.
type order struct {
	holder string
	fence  int64
	at     time.Time
}

type engine struct {
	version int64
	last    *order
}

// model is a fleet whose store, entries, sidecars and engines fail as drawn.
type model struct {
	random   *rand.Rand
	loss     float64
	revision int64
	object   *fleetv1.Custody
	written  int64
	version  int64
	named    int64
	entries  []*entry
	sidecars []*sidecar
	engines  []*engine
	failure  string
}

func newModel(entries, engines int, seed uint64, loss float64) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 0)), loss: loss, revision: 1, version: 1, named: 1}
	for i := range entries {
		m.entries = append(m.entries, &entry{process: process{name: fmt.Sprint("entry-", i)}})
		m.entries[i].restart()
	}
	for i := range engines {
		m.sidecars = append(m.sidecars, &sidecar{process: process{name: fmt.Sprint("sidecar-", i)}, gate: mtgate.New()})
		m.engines = append(m.engines, &engine{version: 1})
	}
	return m
}

func (e *entry) restart() {
	e.custody = mtcustody.New(e.name, "", lease)
	e.heard = map[string]time.Time{}
	e.started = time.Now()
}

func target(i int) string { return fmt.Sprint("engine-", i) }

// read is a call to the store.
func (m *model) read(c *mtcustody.Custody, p *process) {
	if !p.is(offStore) && m.random.Float64() >= m.loss {
		c.Seen(m.object, m.written)
	}
}

// write is a conditional write; its answer may be lost.
func (m *model) write(c *mtcustody.Custody, p *process, w mtcustody.Write) {
	if p.is(offStore) {
		c.Failed()
		return
	}
	if w.Revision != m.written {
		c.Seen(m.object, m.written)
		return
	}
	m.revision++
	m.object, m.written = proto.CloneOf(w.Custody), m.revision
	if m.random.Float64() < m.loss {
		c.Failed()
		return
	}
	c.Wrote(m.object, m.written, time.Now())
}

// view is what an entry sees.
func (m *model) view(e *entry) *mtcustody.View {
	v := &mtcustody.View{
		Heard:  func(target string) bool { return time.Since(e.heard[target]) < time.Second },
		Listed: func(string) bool { return true },
		First:  true,
		Live:   func(name string) bool { return m.live(e, name) },
	}
	for _, other := range m.entries {
		if other.name < e.name && m.live(e, other.name) {
			v.First = false
		}
	}
	for i := range m.engines {
		last := e.heard[target(i)]
		if last.Before(e.started) {
			last = e.started
		}
		if time.Since(last) > silence {
			v.Gone = append(v.Gone, target(i))
		}
	}
	return v
}

func (m *model) live(e *entry, name string) bool {
	for _, other := range m.entries {
		if other.name == name {
			return other == e || other.runs() && !other.is(offStore) && other.reaches(&e.process)
		}
	}
	return false
}

// follows says that an entry watches the store: the first two that reach it do.
func (m *model) follows(e *entry) bool {
	before := 0
	for _, other := range m.entries {
		if other.name < e.name && m.live(e, other.name) {
			before++
		}
	}
	return before < 2 && !e.is(offStore)
}

func (m *model) tick(count int) {
	for i, e := range m.entries {
		if e.is(killed) {
			e.restart()
		}
		if e.runs() && (count+i)%2 == 0 {
			m.decide(e)
			m.greet(e)
		}
	}
	for i, s := range m.sidecars {
		m.advance(i, s)
	}
	time.Sleep(step)
}

// decide lets an entry look after custody and give orders.
func (m *model) decide(e *entry) {
	for _, other := range m.entries {
		if other.runs() && other.reaches(&e.process) {
			e.custody.Learn(other.custody.Known())
		}
	}
	if m.follows(e) {
		object := m.object
		if object == nil {
			object = &fleetv1.Custody{}
		}
		e.custody.Learn(object)
	}
	v := m.view(e)
	switch next := e.custody.Next(v).(type) {
	case mtcustody.Read:
		m.read(e.custody, &e.process)
	case mtcustody.Write:
		m.write(e.custody, &e.process, next)
	case mtcustody.Rest:
	}
	for i, engine := range m.engines {
		if engine.version == m.version || v.Heard(target(i)) || !e.custody.May(target(i)) {
			continue
		}
		if w, ok := e.custody.Renew(target(i)).(mtcustody.Write); ok {
			m.write(e.custody, &e.process, w)
		}
		if fence := e.custody.Fence(target(i)); fence > 0 {
			m.order(engine, &e.process, fence)
		}
	}
}

// greet lets an entry and the sidecars hear each other.
func (m *model) greet(e *entry) {
	for i, s := range m.sidecars {
		if s.is(killed) || !s.reaches(&e.process) || m.random.Float64() < m.loss {
			continue
		}
		if known := e.custody.Known(); known != nil {
			// A frozen process gets what was said meanwhile when it wakes.
			charge := e.custody.Charge(target(i))
			if s.is(frozen) {
				continue
			}
			s.gate.Hear(known.GetVersion(), charge.GetTaken(), charge.GetFence())
		}
		if s.runs() {
			s.heard = time.Now()
			e.heard[target(i)] = time.Now()
		}
	}
}

// advance lets a sidecar ask the store where it hears nobody, and give its order.
func (m *model) advance(i int, s *sidecar) {
	switch {
	case s.is(killed):
		s.down = true
		return
	case s.down:
		s.down, s.gate, s.heard = false, mtgate.New(), time.Now()
	case s.is(frozen):
		s.slept = true
		return
	case s.slept:
		s.slept, s.woke = false, time.Now()
		s.gate.Resume()
		// A greeting from before waits in the socket.
		s.gate.Hear(0, false, 0)
	}
	if time.Since(s.heard) > alone && time.Since(s.asked) > time.Second && !s.is(offStore) {
		s.asked = time.Now()
		asker := mtcustody.New(s.name, "", lease)
		asker.Seen(m.object, m.written)
		charge := asker.Charge(target(i))
		s.gate.Hear(asker.Known().GetVersion(), charge.GetTaken(), charge.GetFence())
	}
	if m.engines[i].version < m.version && s.gate.Open() && time.Since(s.ordered) > 600*time.Millisecond {
		s.ordered = time.Now()
		m.order(m.engines[i], &s.process, max(m.named, s.gate.Fence()))
	}
}

// order checks an order against the last one and carries it out.
func (m *model) order(e *engine, from *process, fence int64) {
	now := time.Now()
	if last := e.last; last != nil && now.Sub(from.woke) > excused {
		switch {
		case fence < last.fence:
			m.failure = fmt.Sprintf("%s orders under %d after %s under %d", from.name, fence, last.holder, last.fence)
		case last.holder != from.name && fence == last.fence:
			m.failure = fmt.Sprintf("%s and %s order under %d", from.name, last.holder, fence)
		case last.holder != from.name && now.Sub(last.at) < lease:
			m.failure = fmt.Sprintf("%s orders %v after %s", from.name, now.Sub(last.at), last.holder)
		}
	}
	e.last = &order{from.name, fence, now}
	if m.random.Float64() >= m.loss {
		// Else the engine has failed it, and is ordered again.
		e.version = m.version
	}
}

// fault is one that is drawn, in steps.
type fault struct {
	at, lasts int
	kind      kind
	entry     bool
	index     int
}

type scenario struct {
	entries, engines int
	seed             uint64
	loss             float64
	namings          []int
	faults           []fault
}

func draw(t *rapid.T) scenario {
	s := scenario{
		entries: rapid.IntRange(1, 3).Draw(t, "entries"),
		engines: rapid.IntRange(1, 3).Draw(t, "engines"),
		seed:    rapid.Uint64().Draw(t, "seed"),
		loss:    rapid.Float64Range(0, 0.1).Draw(t, "loss"),
		namings: rapid.SliceOfN(rapid.IntRange(0, 800), 1, 4).Draw(t, "namings"),
	}
	for range rapid.IntRange(0, 6).Draw(t, "faults") {
		f := fault{
			at:    rapid.IntRange(0, 800).Draw(t, "at"),
			lasts: rapid.IntRange(1, 600).Draw(t, "lasts"),
			kind:  kind(rapid.IntRange(0, int(kinds)-1).Draw(t, "kind")),
			entry: rapid.Bool().Draw(t, "entry"),
		}
		f.index = rapid.IntRange(0, 2).Draw(t, "index")
		s.faults = append(s.faults, f)
	}
	return s
}

// play plays a scenario and returns what went wrong, or "".
func play(s scenario) string {
	m := newModel(s.entries, s.engines, s.seed, s.loss)
	last := 0
	for _, f := range s.faults {
		last = max(last, f.at+f.lasts)
	}
	for _, at := range s.namings {
		last = max(last, at)
	}
	for count := range last + int(settled/step) {
		for _, at := range s.namings {
			if at == count {
				m.revision++
				m.version, m.named = m.version+1, m.revision
			}
		}
		for _, f := range s.faults {
			if f.at != count {
				continue
			}
			until := time.Now().Add(time.Duration(f.lasts) * step)
			if f.entry {
				m.entries[f.index%len(m.entries)].until[f.kind] = until
			} else {
				m.sidecars[f.index%len(m.sidecars)].until[f.kind] = until
			}
		}
		m.tick(count)
		if m.failure != "" {
			return m.failure
		}
	}
	for i, e := range m.engines {
		if e.version != m.version {
			return fmt.Sprintf("engine %d ends with version %d of %d", i, e.version, m.version)
		}
	}
	return ""
}

// Sidecars and entries are killed, frozen, cut off from the store or from each other,
// while weights are named and answers of the store are lost. No engine gets orders of
// two instances within the lease, nor a lower fencing number after a higher one, and
// once all is well again every engine gets the newest weights.
func TestOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		drawn := draw(rt)
		var failure string
		synctest.Test(t, func(*testing.T) { failure = play(drawn) })
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// An entry gives an engine back to its sidecar, the store's answer is lost, and an
// entry that goes before it has returned meanwhile. Neither wrote again, and the
// engine got no orders from anybody.
func TestLostAnswerOfTheHolder(t *testing.T) {
	s := scenario{entries: 2, engines: 1, loss: 0.1, namings: []int{0}, faults: []fault{
		{at: 0, lasts: 60, kind: killed}, {at: 9, lasts: 74, kind: killed, entry: true},
	}}
	synctest.Test(t, func(t *testing.T) {
		if failure := play(s); failure != "" {
			t.Fatal(failure)
		}
	})
}

// The store's answers to the writes that take an engine and give it back are lost, and
// the engine is taken again. The wait of its first taking was taken for that of the
// second, and the entry ordered 2.75 s after the sidecar.
func TestEngineIsTakenTwice(t *testing.T) {
	s := scenario{entries: 3, engines: 2, seed: 2, loss: 0.0625, namings: []int{644, 585}, faults: []fault{
		{at: 0, lasts: 4, kind: killed, index: 1}, {at: 0, lasts: 1, kind: killed}, {at: 583, lasts: 1, kind: frozen},
		{at: 549, lasts: 94, kind: offFleet}, {at: 3, lasts: 1, kind: killed}, {at: 2, lasts: 211, kind: offFleet},
	}}
	synctest.Test(t, func(t *testing.T) {
		if failure := play(s); failure != "" {
			t.Fatal(failure)
		}
	})
}

// An entry is cut off from the others and from all sidecars, and reaches the store and
// the engines: it takes an engine whose sidecar lives. The other entry did not know, let
// that sidecar go on, and both ordered within the lease.
func TestEntryOutOfSightTakesEngines(t *testing.T) {
	s := scenario{entries: 2, engines: 1, loss: 0.1, namings: []int{576, 517}, faults: []fault{
		{at: 7, lasts: 566, kind: offFleet, entry: true},
	}}
	synctest.Test(t, func(t *testing.T) {
		if failure := play(s); failure != "" {
			t.Fatal(failure)
		}
	})
}

// sole is what an entry sees that hears of nobody, in a fleet of one engine; heard is
// whether that engine's sidecar speaks.
func sole(heard *bool) *mtcustody.View {
	return &mtcustody.View{
		Gone: []string{"engine"}, First: true,
		Heard: func(string) bool { return *heard }, Listed: func(string) bool { return true }, Live: func(string) bool { return false },
	}
}

// An entry writes the custody, and is held up before the order that was to follow: the
// number must not be used any more, as another may have taken over meanwhile.
func TestRenewalIsShortLived(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := mtcustody.New("entry", "", lease)
		c.Seen(nil, 0)
		v := sole(new(bool))
		take, ok := c.Next(v).(mtcustody.Write)
		if !ok {
			t.Fatal("the engine is not taken")
		}
		c.Wrote(take.Custody, 7, time.Now())
		if c.May("engine") || c.Fence("engine") != 0 {
			t.Fatal("the engine is ordered while its sidecar may live")
		}
		time.Sleep(8 * time.Second)
		for _, held := range []time.Duration{0, 300 * time.Millisecond} {
			renew, ok := c.Renew("engine").(mtcustody.Write)
			if !ok {
				t.Fatal("nothing is renewed")
			}
			began := time.Now()
			time.Sleep(held)
			c.Wrote(renew.Custody, renew.Revision+1, began)
			if fence := c.Fence("engine"); (fence > 0) != (held == 0) {
				t.Fatalf("held up for %v, the number is %d", held, fence)
			}
		}
	})
}

// A sidecar is cut off from the entries and from the store, and neither from its engine.
// Nobody can tell it that its engine was taken: it must stop by itself. It went on, and
// weights that were named twice in a row got it and the entry to order within the lease.
func TestSidecarStopsByItself(t *testing.T) {
	s := scenario{entries: 2, engines: 1, namings: []int{320, 325}, faults: []fault{
		{at: 100, lasts: 600, kind: offFleet}, {at: 100, lasts: 600, kind: offStore},
	}}
	synctest.Test(t, func(t *testing.T) {
		if failure := play(s); failure != "" {
			t.Fatal(failure)
		}
	})
}

// An entry's order fails, and the engine's sidecar is back before it is repeated: the
// sidecar orders the same weights, whose own number is below the entry's.
func TestReturnedEngineHasAHigherFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		heard := false
		c := mtcustody.New("entry", "", lease)
		c.Seen(nil, 0)
		v := sole(&heard)
		if take, ok := c.Next(v).(mtcustody.Write); ok {
			c.Wrote(take.Custody, 7, time.Now())
		}
		time.Sleep(8 * time.Second)
		if renew, ok := c.Renew("engine").(mtcustody.Write); ok {
			c.Wrote(renew.Custody, 9, time.Now())
		}
		fence := c.Fence("engine")
		heard, v.Gone = true, nil
		if _, ok := c.Next(v).(mtcustody.Rest); !ok {
			t.Fatal("the engine is given back within the lease")
		}
		time.Sleep(6 * time.Second)
		back, ok := c.Next(v).(mtcustody.Write)
		if !ok || back.Custody.GetCharges()[0].GetTaken() || back.Custody.GetCharges()[0].GetFence() <= fence {
			t.Fatalf("after an order under %d the engine is given back by %v", fence, back)
		}
	})
}

// An entry that has not heard yet that the engine was taken greets the sidecar after one
// that has: the older word counts for nothing.
func TestOlderWordOpensNoGate(t *testing.T) {
	g := mtgate.New()
	g.Hear(1, false, 0)
	if !g.Open() {
		t.Fatal("the gate is shut")
	}
	g.Hear(2, true, 0)
	g.Hear(1, false, 0)
	if g.Open() {
		t.Fatal("the gate is open")
	}
}

// A sidecar is killed for good before weights are named. Nobody gave its engine orders,
// and its requests ran on old weights for the rest of the day.
func TestEngineIsTaken(t *testing.T) {
	forever := 100000
	s := scenario{entries: 3, engines: 3, namings: []int{200}, faults: []fault{{at: 20, lasts: forever, kind: killed}}}
	synctest.Test(t, func(t *testing.T) {
		m := newModel(s.entries, s.engines, 1, 0)
		for count := range 320 {
			if count == 20 {
				m.sidecars[0].until[killed] = time.Now().Add(time.Hour)
			}
			if count == 200 {
				m.revision++
				m.version, m.named = m.version+1, m.revision
			}
			m.tick(count)
		}
		if m.failure != "" || m.engines[0].version != m.version {
			t.Fatal(m.failure, m.engines[0].version, m.object)
		}
	})
}

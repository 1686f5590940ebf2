package mtculprit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/request/mtcomponent"
	"github.com/mustardtide/mustardtide/internal/request/mtculprit"
)

// Times and sizes of the model. Entries are in touch some time after they start.
const (
	step        = 10 * time.Millisecond
	digestTime  = 300 * time.Millisecond
	newsTime    = 50 * time.Millisecond
	storeTime   = time.Second
	digestPeers = 6
	stableTime  = 3 * time.Second
	flowTime    = time.Second
	warmTime    = 3 * time.Second
	downTime    = 2 * time.Second
	// crashesAllowed is after how many crashes a deadly part must be known, repeatsAllowed how
	// many requests with it may still be sent once it must be.
	crashesAllowed = 5
	repeatsAllowed = 3
)

// plan is what befalls a model fleet.
type plan struct {
	seed    uint64
	entries int
	engines int
	// rate is the sound requests a second, chains the number of first parts that they share.
	rate   float64
	chains int
	// deadly is the time between two requests with the deadly part, 0 for none, which begin after
	// a while; place is where that stands, and repeat how often one comes again.
	deadly time.Duration
	place  int
	repeat int
	// slow is by how much an engine's prefill may differ.
	slow time.Duration
	// loss is the share of datagrams that are lost.
	loss float64
	// resets, crashes and racks are connections that break, engines that crash by themselves and
	// tenths of them that do at once, a second.
	resets, crashes, racks float64
	// outage is the time between two crashes of all engines at once, 0 for none. Shortly before
	// each, one request with the part "lone" is sent.
	outage time.Duration
	// restarts is the time between two restarts of an entry, 0 for none; all restarts all at once.
	restarts time.Duration
	all      time.Duration
	// away is when the store goes away, for good.
	away     time.Duration
	duration time.Duration
}

// outcome is what the rules judge.
type outcome struct {
	crashes []time.Time
	// late counts deadly requests sent by entries in touch once the part had to be known.
	late          int
	sound, turned int
	// lone counts the entries that refuse requests with the part "lone" at the end.
	lone int
}

type entry struct {
	culprits *mtculprit.Culprits
	started  time.Time
	digest   time.Time
	told     time.Time
	alarm    bool
	read     bool
}

type engine struct {
	id    string
	runs  []*run
	until time.Time
	next  int
}

type run struct {
	entry  *entry
	shared []mtcomponent.Component
	whole  mtcomponent.Component
	deadly bool
	// answered is set once the answer has begun.
	answered bool
	sent     time.Time
	begin    time.Time
	end      time.Time
}

type fleet struct {
	plan
	draw    *rand.Rand
	begun   time.Time
	entries []*entry
	engines []*engine
	stored  *fleetv1.Bans
	written time.Time
	number  int
	outcome outcome
	waiting []*run
}

// play runs a fleet by a plan; it needs a paused clock.
func play(p plan) outcome {
	f := &fleet{plan: p, draw: rand.New(rand.NewPCG(p.seed, 1)), begun: time.Now(), stored: &fleetv1.Bans{}}
	for range p.entries {
		f.entries = append(f.entries, &entry{culprits: mtculprit.New(), started: f.begun, digest: f.begun.Add(f.upTo(digestTime)), read: true})
	}
	for i := range p.engines {
		f.engines = append(f.engines, &engine{id: fmt.Sprint("engine-", i)})
	}
	for time.Since(f.begun) < p.duration {
		time.Sleep(step)
		f.trouble()
		f.callers()
		for _, e := range f.engines {
			f.work(e)
		}
		f.gossip()
		f.store()
	}
	for _, e := range f.entries {
		if e.culprits.Match([]mtcomponent.Component{mtcomponent.Part("lone")}) != nil {
			f.outcome.lone++
		}
	}
	return f.outcome
}

func (f *fleet) upTo(d time.Duration) time.Duration {
	return time.Duration(f.draw.Int64N(int64(d) + 1))
}

// happens draws whether something that happens so often a second does in this step.
func (f *fleet) happens(rate float64) bool { return f.draw.Float64() < rate*step.Seconds() }

// due reports whether a step begins another interval.
func (f *fleet) due(interval time.Duration) bool {
	age := time.Since(f.begun)
	return interval > 0 && age/interval != (age-step)/interval
}

func (f *fleet) restart(e *entry) {
	*e = entry{culprits: mtculprit.New(), started: time.Now(), digest: time.Now()}
}

func (f *fleet) trouble() {
	if f.due(f.restarts) {
		f.restart(f.entries[f.draw.IntN(len(f.entries))])
	}
	if f.due(f.all) {
		for _, e := range f.entries {
			f.restart(e)
		}
	}
	if f.happens(f.crashes) {
		f.crash(f.engines[f.draw.IntN(len(f.engines))])
	}
	if f.happens(f.racks) {
		for range max(1, len(f.engines)/10) {
			f.crash(f.engines[f.draw.IntN(len(f.engines))])
		}
	}
	if f.outage > 0 && time.Since(f.begun) > f.outage && f.due(f.outage) {
		f.number++
		f.send(&run{shared: []mtcomponent.Component{mtcomponent.Part("lone")}, whole: f.wholeOf(f.number)})
		for _, e := range f.engines {
			f.crash(e)
		}
	}
	if f.happens(f.resets) {
		e := f.engines[f.draw.IntN(len(f.engines))]
		for _, r := range e.runs {
			f.breakOff(e, r)
		}
		e.runs = nil
	}
}

// callers sends what is due: sound requests share a chain of parts and have one of a few sessions;
// deadly ones have one part more.
func (f *fleet) callers() {
	for n := f.rate * step.Seconds(); n > 0; n-- {
		if f.draw.Float64() < n {
			f.send(&run{shared: f.prompt()})
		}
	}
	if time.Since(f.begun) > warmTime && f.due(f.deadly) {
		shared := f.prompt()
		at := min(f.place, len(shared))
		f.number++
		r := &run{shared: slices.Insert(slices.Clone(shared), at, mtcomponent.Part("dead")), deadly: true, whole: f.wholeOf(f.number)}
		f.send(r)
		for range f.repeat {
			again := *r
			f.waiting = append(f.waiting, &again)
		}
	}
	if f.deadly > 0 && len(f.waiting) > 0 && f.happens(1/(2*f.deadly.Seconds())) {
		f.send(f.waiting[0])
		f.waiting = f.waiting[1:]
	}
}

func (f *fleet) wholeOf(n int) mtcomponent.Component {
	return mtcomponent.Whole([]byte(fmt.Sprint(n)))
}

func (f *fleet) prompt() []mtcomponent.Component {
	chain := f.draw.IntN(f.chains)
	return []mtcomponent.Component{mtcomponent.Part(fmt.Sprintf("a%x", chain)), mtcomponent.Part(fmt.Sprintf("b%x%x", chain, f.draw.IntN(20)))}
}

func (f *fleet) send(r *run) {
	r.entry = f.entries[f.draw.IntN(len(f.entries))]
	if r.whole == 0 {
		f.number++
		r.whole = f.wholeOf(f.number)
	}
	components := append(slices.Clone(r.shared), r.whole)
	refused := r.entry.culprits.Match(components) != nil
	if refused && r.entry == f.entries[0] {
		refused = !r.entry.culprits.Try(components)
	}
	if !r.deadly {
		f.outcome.sound++
		if refused {
			f.outcome.turned++
		}
	}
	if refused {
		return
	}
	up := slices.DeleteFunc(slices.Clone(f.engines), func(e *engine) bool { return time.Now().Before(e.until) })
	if len(up) == 0 {
		return
	}
	// Requests with the same first part mostly meet at its home.
	e := up[f.draw.IntN(len(up))]
	if f.draw.IntN(3) > 0 {
		e = up[uint64(r.shared[0])%uint64(len(up))]
	}
	if c := f.outcome.crashes; r.deadly && len(c) >= crashesAllowed && time.Since(c[crashesAllowed-1]) > stableTime && time.Since(r.entry.started) > stableTime {
		f.outcome.late++
	}
	r.sent = time.Now()
	r.begin = r.sent.Add(50*time.Millisecond + f.upTo(100*time.Millisecond+f.slow))
	r.end = r.begin.Add(100*time.Millisecond + f.upTo(2*time.Second))
	e.runs = append(e.runs, r)
}

func (f *fleet) work(e *engine) {
	now := time.Now()
	for _, r := range e.runs {
		if r.deadly && now.After(r.begin) {
			f.outcome.crashes = append(f.outcome.crashes, now)
			f.crash(e)
			return
		}
	}
	e.runs = slices.DeleteFunc(e.runs, func(r *run) bool {
		if !r.answered && now.After(r.begin) {
			r.answered = true
			r.entry.culprits.Answered(e.id, 0, r.sent)
		}
		if now.Before(r.end) {
			return false
		}
		r.entry.culprits.Acquit(append(slices.Clone(r.shared), r.whole))
		return true
	})
}

// crash ends an engine, which starts again under another id.
func (f *fleet) crash(e *engine) {
	for _, r := range e.runs {
		f.breakOff(e, r)
	}
	e.next++
	e.id = fmt.Sprintf("%s.%d", e.id, e.next)
	e.runs, e.until = nil, time.Now().Add(downTime)
}

func (f *fleet) breakOff(e *engine, r *run) {
	if time.Since(r.begin) > flowTime {
		r.entry.culprits.Acquit(r.shared)
		r.entry.culprits.Crashed(e.id, 0, r.sent, nil)
		r.entry.alarm = true
		return
	}
	r.entry.culprits.Crashed(e.id, 0, r.sent, append(slices.Clone(r.shared), r.whole))
	r.entry.alarm = true
}

// gossip sends digests: to some entries now and then and for news, to all for an entry's own
// crash.
func (f *fleet) gossip() {
	for _, e := range f.entries {
		all := e.alarm
		if !all && time.Since(e.digest) < digestTime {
			continue
		}
		e.digest, e.alarm = time.Now(), false
		digest := &fleetv1.Digest{}
		e.culprits.Tell(digest)
		if len(digest.GetCrashes())+len(digest.GetAcquittals())+len(digest.GetBans()) == 0 {
			continue
		}
		for i, to := range f.draw.Perm(len(f.entries)) {
			if !all && i >= digestPeers {
				break
			}
			other := f.entries[to]
			if other == e || f.draw.Float64() < f.loss {
				continue
			}
			if other.culprits.Merge(digest) && time.Since(other.told) >= newsTime {
				other.told, other.digest = time.Now(), time.Time{}
			}
		}
	}
}

// store lets the first entry read and write the bans.
func (f *fleet) store() {
	first := f.entries[0]
	if f.away > 0 && time.Since(f.begun) > f.away || time.Since(f.written) < storeTime {
		return
	}
	f.written = time.Now()
	if !first.read {
		first.read = true
		first.culprits.Adopt(f.stored)
		return
	}
	f.stored = first.culprits.Stored()
}

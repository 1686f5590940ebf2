// Package mtrollout decides when one engine is ordered to load new weights.
//
// The load it answers is new weights for a whole fleet. An engine that loads
// refuses requests, so most engines must serve at any moment: each waits for its
// turn in a queue that all entries work out alike. The sidecar keeps the turn that
// it heard, so that the engine gets its weights in time also where the entries
// fall silent in the middle.
package mtrollout

import (
	"slices"
	"time"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/placement/mtnaming"
)

const (
	// firstLead is how long before its order an engine gets no more requests where
	// no entry has told. Those that are left go on under the new weights, and what
	// they make then counts for nothing.
	firstLead = 400 * time.Millisecond
	// shortestLead lets a request that is on its way arrive before the order;
	// longestLead keeps an engine with one endless run from standing idle.
	shortestLead = 50 * time.Millisecond
	longestLead  = 2 * time.Second
	// againTime is the wait before an order without an answer is sent again,
	// where the report shows nothing of it.
	againTime = 600 * time.Millisecond
	// failedTime is the wait after an order that the engine did not take.
	failedTime = time.Second
	// fullTime is how long an entry's word counts that enough engines load: two of
	// its greetings and a little, so that one that is lost changes nothing.
	fullTime = 600 * time.Millisecond
	// patience is the part of the time allowed for older weights until which a turn
	// that has come is put off while enough others load: the rest is for the loads of
	// those that then go all the same.
	patience = 0.6
	// spreadShare is the part over which those that are put off no longer are spread.
	spreadShare = 0.15
	// mostNamed bounds the weights that are kept of a model: the first have the earliest
	// turn, the last is to be loaded.
	mostNamed = 8
	// unbounded stands for the time allowed where the settings name none.
	unbounded = time.Minute
)

// Plan is for one engine. It is not safe for concurrent use.
type Plan struct {
	allowed time.Duration
	// named are the weights named of each model that the engine was not seen to serve,
	// and the newest; namings are their ages. serves is the version that it was last seen
	// to serve.
	named   map[string][]due
	namings map[string]*mtnaming.Naming
	serves  map[string]int64
	blocked time.Time
	// turn is the last that an entry told; full is when one said that enough
	// engines load.
	turn *fleetv1.Turn
	full time.Time
	load load
}

// due is when new weights are to be ordered.
type due struct {
	weights *fleetv1.Weights
	at      time.Time
}

// New returns a plan without weights; allowed is the time after their naming in
// which the engine must have them.
func New(allowed time.Duration) *Plan {
	if allowed <= 0 {
		allowed = unbounded
	}
	return &Plan{allowed: allowed, named: map[string][]due{}, namings: map[string]*mtnaming.Naming{}, serves: map[string]int64{}}
}

// Turn takes in the engine's turn as an entry sees it. An engine that waits follows
// the queue where the entry sees it move, faster or slower than was foreseen; an
// entry that hears little would put it off for ever.
func (p *Plan) Turn(turn *fleetv1.Turn) {
	p.turn = turn
	p.full = time.Time{}
	if turn.GetFull() {
		p.full = time.Now()
	}
	if !turn.GetLive() {
		return
	}
	for model, list := range p.named {
		for i, d := range list {
			if d.weights.GetVersion() > p.serves[model] {
				list[i].at = p.at(model)
			}
		}
	}
}

// at is when an engine with the last turn told is to be ordered to load a model's newest
// weights.
func (p *Plan) at(model string) time.Time { return earlier(p.due(), p.latest(model)) }

// latest is when it is to be ordered at the latest, whatever its turn.
func (p *Plan) latest(model string) time.Time {
	serves, seen := p.serves[model]
	if !seen {
		serves = p.namings[model].Newest().GetVersion() - 1
	}
	return p.last(model, serves).Add(p.spread())
}

// last is until when the load of an engine with a version may be put off.
func (p *Plan) last(model string, version int64) time.Time {
	return time.Now().Add(time.Duration(patience*float64(p.allowed)) - p.namings[model].OutdatedFor(version))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// due is when an engine with the last turn told is to be ordered.
func (p *Plan) due() time.Time {
	before := p.before()
	if !p.turn.GetLive() {
		// Nobody may tell how the queue moves on.
		before = p.within(p.longest())
	}
	return time.Now().Add(p.lead() + min(max(0, p.turn.GetHead().AsDuration()+before), p.longest()))
}

// spread is the turn's place among those that are put off no longer: without it all
// of them would load at once.
func (p *Plan) spread() time.Duration {
	return p.within(time.Duration(spreadShare * float64(p.allowed)))
}

// within is the time that the turns before this one take, where the whole queue may take so
// long: one that is longer moves faster.
func (p *Plan) within(longest time.Duration) time.Duration {
	queue := float64(p.turn.GetQueue())
	if queue*float64(p.turn.GetInterval().AsDuration()) <= float64(longest) {
		return min(max(0, p.before()), longest)
	}
	return time.Duration(float64(longest) * min(1, float64(p.turn.GetPlace())/queue))
}

// before is the time that the turns of the engines before this one take.
func (p *Plan) before() time.Duration {
	return time.Duration(p.turn.GetPlace()) * p.turn.GetInterval().AsDuration()
}

// longest bounds what a turn may be put off: half of the time allowed.
func (p *Plan) longest() time.Duration { return p.allowed / 2 }

func (p *Plan) lead() time.Duration {
	if p.turn.GetLead() == nil {
		return firstLead
	}
	return min(longestLead, max(shortestLead, p.turn.GetLead().AsDuration()))
}

// Name takes in a model's newest weights and their ages. It reports whether they are
// news.
func (p *Plan) Name(weights *fleetv1.Weights) bool {
	model := weights.GetModel()
	if p.namings[model] == nil {
		p.namings[model] = mtnaming.New(p.allowed)
	}
	list := p.named[model]
	if !p.namings[model].Merge(weights) {
		// The ages may be greater than what was known.
		for i, d := range list {
			if d.weights.GetVersion() > p.serves[model] {
				list[i].at = earlier(d.at, p.latest(model))
			}
		}
		return false
	}
	if len(list) == mostNamed {
		list = slices.Delete(list, 1, 2)
	}
	p.named[model] = append(list, due{weights: weights, at: p.at(model)})
	return true
}

// Age is how long ago the newest weights of a model were named, 0 where none were.
func (p *Plan) Age(model string) time.Duration {
	if p.namings[model] == nil {
		return 0
	}
	return p.namings[model].Age()
}

// turnOf returns the newest weights of a model and the earliest turn of those that an
// engine with a version lacks: weights that follow each other quickly must not put it
// off for ever. It keeps the turn also where it was loading and crashed.
func (p *Plan) turnOf(model string, version int64) (due, bool) {
	list := p.named[model]
	if len(list) == 0 || newest(list).GetVersion() <= version {
		return due{}, false
	}
	found := list[len(list)-1]
	for _, d := range list {
		if d.weights.GetVersion() > version {
			found.at = earlier(found.at, d.at)
		}
	}
	return found, true
}

// forget drops the weights that are no newer than those that the engine serves, but for
// the newest.
func (p *Plan) forget(model string, version int64) {
	list := p.named[model]
	p.serves[model] = version
	for len(list) > 1 && list[0].weights.GetVersion() <= version {
		list = list[1:]
		p.named[model] = list
	}
}

// newest is the last of the weights named of a model, nil for none.
func newest(list []due) *fleetv1.Weights {
	if len(list) == 0 {
		return nil
	}
	return list[len(list)-1].weights
}

// See takes in which weights the engine serves, and whether it loads.
func (p *Plan) See(report *fleetv1.Report) {
	var serves int64
	for _, m := range report.GetModels() {
		serves += m.GetVersion()
		p.forget(m.GetModel(), m.GetVersion())
	}
	p.load.see(report.GetBusy(), p.Ordering(report), serves)
}

// Load is the last load of weights that was seen.
func (p *Plan) Load() *fleetv1.Load { return p.load.tell() }

// Named lists the newest weights of all models, with their ages.
func (p *Plan) Named() []*fleetv1.Weights {
	var list []*fleetv1.Weights
	for _, naming := range p.namings {
		list = append(list, naming.Snapshot())
	}
	return list
}

// Ordering says that the engine takes no requests, or will not by the time that
// they arrive: an order is under way or about to be sent.
func (p *Plan) Ordering(report *fleetv1.Report) bool {
	if report.GetBusy() {
		return true
	}
	d, last, ok := p.behind(report)
	if !ok || !time.Now().After(p.blocked) {
		return false
	}
	return p.load.waiting() || p.come(d, last)
}

// come says that an engine's turn has come. While enough others load it is put
// off until last, and those that were put off then go in their order: loads would take
// longer, and too few engines would serve.
func (p *Plan) come(d due, last time.Time) bool {
	now := time.Now()
	if now.Before(d.at.Add(-p.lead())) {
		return false
	}
	return now.Sub(p.full) > fullTime || now.After(last.Add(p.spread()))
}

// Until is how long nothing changes by itself; 0 where something is due now, and
// less than zero where no turn is coming.
func (p *Plan) Until(report *fleetv1.Report) time.Duration {
	d, _, ok := p.behind(report)
	if !ok {
		return -1
	}
	return max(0, time.Until(d.at.Add(-p.lead())))
}

// Next returns the order that is to be sent now, or nil. An idle engine's is due
// as soon as Ordering says so; its sidecar lets the entries know first.
func (p *Plan) Next(report *fleetv1.Report) *fleetv1.Swap {
	d, _, ok := p.behind(report)
	if !ok || report.GetBusy() || !p.Ordering(report) {
		return nil
	}
	now := time.Now()
	idle := report.GetRunning()+report.GetWaiting() == 0
	if !idle && now.Sub(p.load.since) < p.lead() {
		return nil
	}
	// An order without an answer may still be carried out. It names the count of
	// orders before it, so that of it and its repeat only one can be.
	p.blocked = now.Add(againTime)
	return &fleetv1.Swap{Weights: d.weights, Fence: d.weights.GetRevision(), Expected: report.GetOrders()}
}

// Answered notes what became of an order. One without an answer may still be carried
// out: the report shows it, or the order is sent again after its time.
func (p *Plan) Answered(taken bool, err error) {
	switch {
	case err != nil:
	case taken:
		p.Accepted()
	default:
		p.Refused()
	}
}

// Accepted notes that the engine took the order: its report shows the rest.
func (p *Plan) Accepted() { p.blocked = time.Now().Add(againTime) }

// Refused notes that the engine did not take the order.
func (p *Plan) Refused() { p.blocked = time.Now().Add(failedTime) }

// Renamed notes that the engine has another id: an order that it turned away under the
// former one may be sent again at once.
func (p *Plan) Renamed() { p.blocked = time.Time{} }

// behind returns the turn of the first model whose weights are older than named, and
// until when it may be put off.
func (p *Plan) behind(report *fleetv1.Report) (due, time.Time, bool) {
	for _, m := range report.GetModels() {
		if d, ok := p.turnOf(m.GetModel(), m.GetVersion()); ok {
			return d, p.last(m.GetModel(), m.GetVersion()), true
		}
	}
	return due{}, time.Time{}, false
}

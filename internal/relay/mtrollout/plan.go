// Package mtrollout decides when one engine is ordered to load new weights.
//
// The load it answers is new weights for a whole fleet: ordered all at once,
// every engine refuses requests while it loads, and each load takes longer the
// more engines load. Turn by turn, most engines serve at any moment, and the
// last has its turn well within the time that is allowed.
package mtrollout

import (
	"time"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
)

const (
	// groups is into how many turns a fleet is divided.
	groups = 6
	// fewest is the least size of a turn: that many engines load at once
	// without slowing each other.
	fewest = 3
	// turnTime is the time between turns: a load of 0.55 s and a little.
	turnTime = 600 * time.Millisecond
	// leadTime is how long before its order an engine gets no more requests, so
	// that its short runs end; those that are left go on under the new weights,
	// and what they make then counts for nothing.
	leadTime = 400 * time.Millisecond
	// againTime is the wait before an order without an answer is sent again,
	// where the report shows nothing of it.
	againTime = 600 * time.Millisecond
	// failedTime is the wait after an order that the engine did not take.
	failedTime = time.Second
)

// Plan is for one engine. It is not safe for concurrent use.
type Plan struct {
	named map[string]turn
	// waits says that the engine does not serve the named weights yet.
	waits   map[string]bool
	blocked time.Time
}

// turn is when new weights are due.
type turn struct {
	weights *fleetv1.Weights
	due     time.Time
}

// New returns a plan without weights.
func New() *Plan { return &Plan{named: map[string]turn{}, waits: map[string]bool{}} }

// Name takes in a model's newest weights and the engine's place among total
// engines. It reports whether they are news.
func (p *Plan) Name(weights *fleetv1.Weights, place, total uint32) bool {
	old := p.named[weights.GetModel()]
	if old.weights.GetVersion() >= weights.GetVersion() {
		return false
	}
	due := time.Now().Add(leadTime + offset(place, total))
	if p.waits[weights.GetModel()] && old.due.Before(due) {
		// Weights that follow each other quickly must not put an engine off for
		// ever: one that still waits for older ones keeps its turn.
		due = old.due
	}
	p.waits[weights.GetModel()] = true
	p.named[weights.GetModel()] = turn{weights: weights, due: due}
	return true
}

// offset is the time of an engine's turn after the weights were named.
func offset(place, total uint32) time.Duration {
	size := max(fewest, (total+groups-1)/groups)
	return time.Duration(place/size) * turnTime
}

// See takes in which weights the engine serves.
func (p *Plan) See(report *fleetv1.Report) {
	for _, m := range report.GetModels() {
		p.waits[m.GetModel()] = m.GetVersion() < p.named[m.GetModel()].weights.GetVersion()
	}
}

// Named lists the newest weights of all models.
func (p *Plan) Named() []*fleetv1.Weights {
	var list []*fleetv1.Weights
	for _, t := range p.named {
		list = append(list, t.weights)
	}
	return list
}

// Ordering says that the engine takes no requests, or will not by the time that
// they arrive: an order is under way or about to be sent.
func (p *Plan) Ordering(report *fleetv1.Report) bool {
	if report.GetBusy() {
		return true
	}
	t, ok := p.behind(report)
	return ok && !time.Now().Before(t.due.Add(-leadTime)) && time.Now().After(p.blocked)
}

// Until is how long nothing changes by itself; 0 where something is due now, and
// less than zero where no turn is coming.
func (p *Plan) Until(report *fleetv1.Report) time.Duration {
	t, ok := p.behind(report)
	if !ok {
		return -1
	}
	return max(0, time.Until(t.due.Add(-leadTime)))
}

// Next returns the order that is to be sent now, or nil. An idle engine's is due
// as soon as Ordering says so; its sidecar lets the entries know first.
func (p *Plan) Next(report *fleetv1.Report) *fleetv1.Swap {
	t, ok := p.behind(report)
	if !ok {
		return nil
	}
	now := time.Now()
	idle := report.GetRunning()+report.GetWaiting() == 0 && !now.Before(t.due.Add(-leadTime))
	if report.GetBusy() || now.Before(t.due) && !idle || now.Before(p.blocked) {
		return nil
	}
	// An order without an answer may still be carried out. It names the count of
	// orders before it, so that of it and its repeat only one can be.
	p.blocked = now.Add(againTime)
	return &fleetv1.Swap{Weights: t.weights, Fence: t.weights.GetRevision(), Expected: report.GetOrders()}
}

// Accepted notes that the engine took the order: its report shows the rest.
func (p *Plan) Accepted() { p.blocked = time.Now().Add(againTime) }

// Refused notes that the engine did not take the order.
func (p *Plan) Refused() { p.blocked = time.Now().Add(failedTime) }

// behind returns the turn of the first model whose weights are older than named.
func (p *Plan) behind(report *fleetv1.Report) (turn, bool) {
	for _, m := range report.GetModels() {
		if t, ok := p.named[m.GetModel()]; ok && m.GetVersion() < t.weights.GetVersion() {
			return t, true
		}
	}
	return turn{}, false
}

// Package mtrollout decides when an engine is ordered to load new weights.
//
// It is designed for new weights for a whole fleet. An engine that loads refuses
// requests, so most engines must serve at any moment: each waits for its turn in a
// queue that all entries compute identically. The sidecar keeps the last turn that it
// received, so that the engine gets its weights in time even if the entries stop
// sending during a rollout.
package mtrollout

import (
	"slices"
	"time"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/placement/mtnaming"
)

const (
	// defaultLead is how long before its order an engine stops getting requests if no entry
	// has sent a lead. Runs that have not ended by then continue under the new weights, and
	// their further output is worthless.
	defaultLead = 400 * time.Millisecond
	// minLead lets a request in transit arrive before the order; maxLead keeps an engine
	// with an endless run from standing idle.
	minLead = 50 * time.Millisecond
	maxLead = 2 * time.Second
	// retryDelay is the wait before an order without an answer is sent again, if the
	// engine's report shows no effect of it.
	retryDelay = 600 * time.Millisecond
	// refusedDelay is the wait after an order that the engine refused.
	refusedDelay = time.Second
	// fullTTL is how long an entry's message that enough engines load stays valid: slightly
	// more than two of its heartbeat intervals, so that the loss of one changes nothing.
	fullTTL = 600 * time.Millisecond
	// maxDeferralShare is the share of the grace period until which a turn that has
	// come is deferred while enough others load. The rest is for the loads of the
	// engines that then start regardless.
	maxDeferralShare = 0.6
	// spreadShare is the share of the grace period over which the starts of engines
	// whose deferral has ended are spread.
	spreadShare = 0.15
	// maxPending limits the weights that are kept for a model: the first have the earliest
	// turn, the last is the one to load.
	maxPending = 8
	// defaultGracePeriod is the grace period if the settings specify none.
	defaultGracePeriod = time.Minute
)

// Plan schedules the loads of one engine. It is not safe for concurrent use.
type Plan struct {
	gracePeriod time.Duration
	// pending holds, for each model, the published weights that the engine was not yet
	// seen to serve, and the newest. namings holds their ages, and served the version
	// that the engine was last seen to serve.
	pending      map[string][]scheduledLoad
	namings      map[string]*mtnaming.Naming
	served       map[string]int64
	blockedUntil time.Time
	// turn is the last turn received from an entry; fullAt is when an entry reported that
	// enough engines load, zero if the last one did not.
	turn   *fleetv1.Turn
	fullAt time.Time
	load   load
}

// scheduledLoad is a load of new weights and the time at which it is to be ordered.
type scheduledLoad struct {
	weights *fleetv1.Weights
	at      time.Time
}

// New returns a plan without weights. gracePeriod is the time after their publication
// within which the engine must have them.
func New(gracePeriod time.Duration) *Plan {
	if gracePeriod <= 0 {
		gracePeriod = defaultGracePeriod
	}
	return &Plan{gracePeriod: gracePeriod, pending: map[string][]scheduledLoad{}, namings: map[string]*mtnaming.Naming{}, served: map[string]int64{}}
}

// SetTurn sets the engine's turn as computed by an entry. A waiting engine follows the queue,
// faster or slower than expected, if the entry sees the queue advance; an entry with
// little recent state would defer it forever.
func (p *Plan) SetTurn(turn *fleetv1.Turn) {
	p.turn = turn
	p.fullAt = time.Time{}
	if turn.GetFull() {
		p.fullAt = time.Now()
	}
	if !turn.GetLive() {
		return
	}
	for model, list := range p.pending {
		for i, d := range list {
			if d.weights.GetVersion() > p.served[model] {
				list[i].at = p.startTime(model)
			}
		}
	}
}

// startTime returns when an engine with the current turn is to be ordered to load a
// model's newest weights.
func (p *Plan) startTime(model string) time.Time { return earlier(p.queueTime(), p.latestStart(model)) }

// latestStart returns the latest time of the order, whatever the engine's turn.
func (p *Plan) latestStart(model string) time.Time {
	version, seen := p.served[model]
	if !seen {
		version = p.namings[model].Newest().GetVersion() - 1
	}
	return p.deferralEnd(model, version).Add(p.spreadOffset())
}

// deferralEnd returns until when the load of an engine with a version may be deferred.
func (p *Plan) deferralEnd(model string, version int64) time.Time {
	return time.Now().Add(time.Duration(maxDeferralShare*float64(p.gracePeriod)) - p.namings[model].OutdatedFor(version))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// queueTime returns when an engine with the current turn is to be ordered.
func (p *Plan) queueTime() time.Time {
	delay := p.queueDelay()
	if !p.turn.GetLive() {
		// Possibly no entry reports how the queue advances: all of it must fit.
		delay = p.offsetWithin(p.maxDelay())
	}
	return time.Now().Add(p.lead() + min(max(0, p.turn.GetHead().AsDuration()+delay), p.maxDelay()))
}

// spreadOffset returns the engine's offset among those whose deferral has ended: without
// it all of them would load at once.
func (p *Plan) spreadOffset() time.Duration {
	return p.offsetWithin(time.Duration(spreadShare * float64(p.gracePeriod)))
}

// offsetWithin returns the time that the turns before this one take if the whole queue may
// take at most longest. A longer queue is compressed to that time.
func (p *Plan) offsetWithin(longest time.Duration) time.Duration {
	queue := float64(p.turn.GetQueue())
	if queue*float64(p.turn.GetInterval().AsDuration()) <= float64(longest) {
		return min(max(0, p.queueDelay()), longest)
	}
	return time.Duration(float64(longest) * min(1, float64(p.turn.GetPlace())/queue))
}

// queueDelay returns the time that the turns of the engines before this one take.
func (p *Plan) queueDelay() time.Duration {
	return time.Duration(p.turn.GetPlace()) * p.turn.GetInterval().AsDuration()
}

// maxDelay limits the delay of a turn to half of the grace period.
func (p *Plan) maxDelay() time.Duration { return p.gracePeriod / 2 }

func (p *Plan) lead() time.Duration {
	if p.turn.GetLead() == nil {
		return defaultLead
	}
	return min(maxLead, max(minLead, p.turn.GetLead().AsDuration()))
}

// AddWeights records a model's newest weights and their ages. It reports whether they are
// new.
func (p *Plan) AddWeights(weights *fleetv1.Weights) bool {
	model := weights.GetModel()
	if p.namings[model] == nil {
		p.namings[model] = mtnaming.New(p.gracePeriod)
	}
	list := p.pending[model]
	if !p.namings[model].Merge(weights) {
		// The received ages may be greater than the known ones.
		for i, d := range list {
			if d.weights.GetVersion() > p.served[model] {
				list[i].at = earlier(d.at, p.latestStart(model))
			}
		}
		return false
	}
	if len(list) == maxPending {
		list = slices.Delete(list, 1, 2)
	}
	p.pending[model] = append(list, scheduledLoad{weights: weights, at: p.startTime(model)})
	return true
}

// Age returns the time since the newest weights of a model were published, 0 if none
// were.
func (p *Plan) Age(model string) time.Duration {
	if p.namings[model] == nil {
		return 0
	}
	return p.namings[model].Age()
}

// loadFor returns the newest weights of a model with the earliest turn of all the weights
// that an engine with a version lacks: weights in quick succession must not defer it
// forever. An engine that crashed during its load keeps its turn too.
func (p *Plan) loadFor(model string, version int64) (scheduledLoad, bool) {
	list := p.pending[model]
	if len(list) == 0 || newest(list).GetVersion() <= version {
		return scheduledLoad{}, false
	}
	found := list[len(list)-1]
	for _, d := range list {
		if d.weights.GetVersion() > version {
			found.at = earlier(found.at, d.at)
		}
	}
	return found, true
}

// prune drops the weights that are no newer than those that the engine serves, except for
// the newest.
func (p *Plan) prune(model string, version int64) {
	list := p.pending[model]
	p.served[model] = version
	for len(list) > 1 && list[0].weights.GetVersion() <= version {
		list = list[1:]
		p.pending[model] = list
	}
}

// newest returns the last of the published weights of a model, nil if there are none.
func newest(list []scheduledLoad) *fleetv1.Weights {
	if len(list) == 0 {
		return nil
	}
	return list[len(list)-1].weights
}

// Observe records which weights the engine serves, and whether it loads.
func (p *Plan) Observe(report *fleetv1.Report) {
	var versions int64
	for _, m := range report.GetModels() {
		versions += m.GetVersion()
		p.prune(m.GetModel(), m.GetVersion())
	}
	p.load.observe(report.GetBusy(), p.Ordering(report), versions)
}

// Load returns the last observed load of weights.
func (p *Plan) Load() *fleetv1.Load { return p.load.toProto() }

// Published returns the newest weights of all models, with their ages.
func (p *Plan) Published() []*fleetv1.Weights {
	var list []*fleetv1.Weights
	for _, naming := range p.namings {
		list = append(list, naming.Snapshot())
	}
	return list
}

// Ordering reports whether the engine takes no requests, or will take none by the time
// that they arrive: an order is in progress or about to be sent.
func (p *Plan) Ordering(report *fleetv1.Report) bool {
	if report.GetBusy() {
		return true
	}
	d, deferredUntil, ok := p.nextLoad(report)
	if !ok || !time.Now().After(p.blockedUntil) {
		return false
	}
	return p.load.draining() || p.turnReached(d, deferredUntil)
}

// turnReached reports whether the engine's turn has come. While enough others load, the turn
// is put back to deferredUntil, and engines put back start in queue order from then on:
// otherwise loads would take longer, and too few engines would serve.
func (p *Plan) turnReached(d scheduledLoad, deferredUntil time.Time) bool {
	now := time.Now()
	if now.Before(d.at.Add(-p.lead())) {
		return false
	}
	return now.Sub(p.fullAt) > fullTTL || now.After(deferredUntil.Add(p.spreadOffset()))
}

// UntilDue returns the time until the lead of the next scheduled load begins: 0 if it has
// begun, negative if no load is scheduled.
func (p *Plan) UntilDue(report *fleetv1.Report) time.Duration {
	d, _, ok := p.nextLoad(report)
	if !ok {
		return -1
	}
	return max(0, time.Until(d.at.Add(-p.lead())))
}

// Next returns the order that is to be sent now, or nil. The order of an idle engine is due
// as soon as Ordering returns true; the sidecar informs the entries first.
func (p *Plan) Next(report *fleetv1.Report) *fleetv1.Swap {
	d, _, ok := p.nextLoad(report)
	if !ok || report.GetBusy() || !p.Ordering(report) {
		return nil
	}
	now := time.Now()
	idle := report.GetRunning()+report.GetWaiting() == 0
	if !idle && now.Sub(p.load.unavailableSince) < p.lead() {
		return nil
	}
	// An order without an answer may still be carried out. It carries the number of
	// orders before it, so that only one of it and its retry can be.
	p.blockedUntil = now.Add(retryDelay)
	return &fleetv1.Swap{Weights: d.weights, Fence: p.fence(), Expected: report.GetOrders()}
}

// fence returns the fencing token of an order: the greatest revision of any model's published
// weights. An engine compares the tokens of the orders for all of its models.
func (p *Plan) fence() int64 {
	var greatest int64
	for _, naming := range p.namings {
		greatest = max(greatest, naming.Newest().GetRevision())
	}
	return greatest
}

// Answered records the outcome of an order. An order without an answer may still be carried
// out: either the report shows it, or the order is sent again after retryDelay.
func (p *Plan) Answered(taken bool, err error) {
	switch {
	case err != nil:
	case taken:
		p.Accepted()
	default:
		p.Refused()
	}
}

// Accepted records that the engine accepted the order: its reports show the rest.
func (p *Plan) Accepted() { p.blockedUntil = time.Now().Add(retryDelay) }

// Refused records that the engine refused the order.
func (p *Plan) Refused() { p.blockedUntil = time.Now().Add(refusedDelay) }

// IDChanged records that the engine has a new id: an order that it refused under the previous
// id may be sent again at once.
func (p *Plan) IDChanged() { p.blockedUntil = time.Time{} }

// nextLoad returns the scheduled load of the first model with outdated weights, and until
// when it may be deferred.
func (p *Plan) nextLoad(report *fleetv1.Report) (scheduledLoad, time.Time, bool) {
	for _, m := range report.GetModels() {
		if d, ok := p.loadFor(m.GetModel(), m.GetVersion()); ok {
			return d, p.deferralEnd(m.GetModel(), m.GetVersion()), true
		}
	}
	return scheduledLoad{}, time.Time{}, false
}

// Package mtstandby brings one engine whose sidecar is gone to new weights, from an
// entry that has taken it.
//
// It does what the sidecar does: it waits for the engine's turn, lets the entries know
// before the order and orders once. What it does not do is read the engine's cache; and
// it asks for a report only while newer weights are named, as each counts as a probe.
package mtstandby

import (
	"context"
	"time"

	"go.uber.org/zap"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	"github.com/mustardtide/mustardtide/internal/observe/mttrail"
	"github.com/mustardtide/mustardtide/internal/relay/mtprobe"
	"github.com/mustardtide/mustardtide/internal/relay/mtrollout"
)

const (
	// idleTick is how often it looks whether newer weights are named, dueTick how often
	// at the report of an engine that waits for its turn, and orderTick the same from
	// the time on at which the engine gets no more requests.
	idleTick  = 250 * time.Millisecond
	dueTick   = 250 * time.Millisecond
	orderTick = 50 * time.Millisecond
	// noticeTime is how long the entries have known before an order is sent.
	noticeTime = 30 * time.Millisecond
	// lostAfter is how many reports in a row must fail before the engine counts as lost.
	lostAfter = 2
)

// Host is the entry that has taken the engine.
type Host interface {
	// Named are the newest weights of all models.
	Named() []*fleetv1.Weights
	// Turn is the engine's in the queue of loads; nil where that is not known.
	Turn(target string) *fleetv1.Turn
	// May says that the engine is the entry's to order.
	May(target string) bool
	// Fence writes the custody again and returns the number for an order that is sent
	// at once; 0 where it must not be sent.
	Fence(ctx context.Context, target string) int64
	// Hear takes in how the engine is, and lets all entries know where news is set.
	Hear(state *fleetv1.State, news bool)
}

// Standby is one engine's.
type Standby struct {
	target string
	holder string
	host   Host
	probe  *mtprobe.Probe
	trail  *mttrail.Trail

	plan   *mtrollout.Plan
	report *fleetv1.Report
	failed int
	// ordering says that the entries were told of an order to come, since told.
	ordering bool
	told     time.Time
}

// New returns the standby of a target for a holder, the entry's instance; allowed is
// the time after their naming in which the engine must have new weights.
func New(target *fleetv1.Target, holder string, allowed time.Duration, host Host, probe *mtprobe.Probe, trail *mttrail.Trail) *Standby {
	return &Standby{
		target: target.GetId(), holder: holder, host: host, probe: probe, trail: trail,
		plan: mtrollout.New(allowed), report: &fleetv1.Report{Models: target.GetModels()},
	}
}

// Run works until ctx ends.
func (s *Standby) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		// The turn goes first: new weights are due by it.
		if turn := s.host.Turn(s.target); turn != nil {
			s.plan.SetTurn(turn)
		}
		for _, weights := range s.host.Named() {
			s.plan.AddWeights(weights)
		}
		tick := idleTick
		if s.plan.UntilDue(s.report) >= 0 && s.host.May(s.target) {
			s.look(ctx)
			s.order(ctx)
			tick = s.tick()
		}
		select {
		case <-ctx.Done():
		case <-time.After(tick):
		}
	}
	return ctx.Err()
}

func (s *Standby) tick() time.Duration {
	if s.plan.Ordering(s.report) {
		return orderTick
	}
	return min(dueTick, max(orderTick, s.plan.UntilDue(s.report)))
}

// look reads the engine's report and tells the entries of what has changed.
func (s *Standby) look(ctx context.Context) {
	report, err := s.probe.Report(ctx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		s.failed++
		if s.failed == lostAfter {
			s.trail.Warn(mtkind.EngineLost, zap.String("target", s.target), zap.Error(err))
			s.tell(true)
		}
		return
	}
	before := s.report
	back := s.failed >= lostAfter
	s.report, s.failed = report, 0
	s.plan.Observe(report)
	if before.GetBusy() && !report.GetBusy() {
		s.trail.Say(mtkind.WeightsInPlace, zap.String("target", s.target), zap.Int64("born", report.GetBorn()))
	}
	ordering := s.plan.Ordering(report)
	turned := ordering != s.ordering
	if turned {
		s.ordering, s.told = ordering, time.Now()
	}
	s.tell(turned || back || !mtprobe.SameWeights(before, report))
}

// tell lets the entry, and where there is news all entries, know how the engine is.
func (s *Standby) tell(news bool) {
	s.host.Hear(&fleetv1.State{
		Target:   s.target,
		Report:   s.report,
		Answers:  s.failed < lostAfter,
		Ordering: s.ordering,
		Named:    s.plan.Published(),
		Load:     s.plan.Load(),
		Standby:  true,
	}, news)
}

// order sends the engine the order that is due.
func (s *Standby) order(ctx context.Context) {
	if s.failed > 0 || !s.ordering || time.Since(s.told) < noticeTime {
		return
	}
	order := s.plan.Next(s.report)
	if order == nil {
		return
	}
	// Right before the order: a holder that is frozen between the two must not send it.
	order.Fence = s.host.Fence(ctx, s.target)
	if order.GetFence() == 0 {
		s.plan.Refused()
		return
	}
	order.Holder, order.Target = s.holder, s.target
	taken, err := s.probe.Order(ctx, order, s.trail, zap.String("for", "the engine's sidecar"))
	s.plan.Answered(taken, err)
}

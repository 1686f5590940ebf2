package mtbeside

import (
	"cmp"
	"context"
	"time"

	"go.uber.org/zap"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	"github.com/mustardtide/mustardtide/internal/relay/mtprobe"
)

// noticeTime is how long the entries have known before an order is sent: a
// request that is on its way then would be rejected.
const noticeTime = 20 * time.Millisecond

// look reads the engine's report and tells the entries what has changed.
func (s *Sidecar) look(ctx context.Context) {
	sent := time.Now()
	report, err := s.engine.Report(ctx)
	if ctx.Err() != nil {
		return
	}
	s.mu.Lock()
	changed := s.noted(report, err)
	s.noteProgram(sent, report, err)
	s.mu.Unlock()
	if changed {
		s.tellAll()
	}
}

// noted takes in a report and says whether the entries must hear of it at once;
// the sidecar is locked.
func (s *Sidecar) noted(report *fleetv1.Report, err error) bool {
	if err != nil {
		s.failed++
		if s.failed == lostAfter {
			s.trail.Warn(mtkind.EngineLost, zap.String("target", s.target), zap.Error(err))
		}
		return s.failed == lostAfter
	}
	before := s.report
	s.report, s.backlog = report, report.GetBacklog()
	report.Backlog = nil
	s.plan.Observe(report)
	back := s.failed >= lostAfter
	s.failed = 0
	if back {
		s.trail.Say(mtkind.EngineBack, zap.String("target", s.target), zap.Int64("born", report.GetBorn()))
	}
	if before.GetBorn() != 0 && before.GetBorn() != report.GetBorn() {
		s.trail.Warn(mtkind.EngineBorn, zap.String("target", s.target),
			zap.Int64("born", report.GetBorn()), zap.Int64("before", before.GetBorn()))
	}
	if before.GetBusy() && !report.GetBusy() {
		s.trail.Say(mtkind.WeightsInPlace, zap.String("target", s.target), zap.Any("models", models(report)))
	}
	ordering := s.plan.Ordering(report)
	turned := ordering != s.telling
	if turned {
		s.telling, s.told = ordering, time.Now()
	}
	return back || turned || !sameReport(before, report)
}

// order sends the engine the order that is due.
func (s *Sidecar) order(ctx context.Context) {
	s.mu.Lock()
	// Also where nothing is due: the gate must see a suspension before it is told more.
	open := s.gate.Open()
	if !open || s.failed > 0 || !s.telling || time.Since(s.told) < noticeTime {
		s.mu.Unlock()
		return
	}
	order := s.plan.Next(s.report)
	// The report that calls for the order is that of the program at the address, listed or not.
	target, fence := cmp.Or(s.lineage.ID(), s.target), s.gate.Fence()
	s.mu.Unlock()
	if order == nil {
		return
	}
	// One holder: the instance. A restarted process on it is the same holder, and
	// the fencing number is the store's revision of the named weights, so that it
	// never falls behind one that was used before. Where an entry had the engine, it is
	// above that one's.
	order.Fence = max(order.GetFence(), fence)
	order.Holder = s.site.GetName()
	order.Target = target
	taken, err := s.engine.Order(ctx, order, s.trail)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.plan.Answered(taken, err)
}

// models are a report's weights for a log line.
func models(r *fleetv1.Report) map[string]int64 {
	found := map[string]int64{}
	for _, m := range r.GetModels() {
		found[m.GetModel()] = m.GetVersion()
	}
	return found
}

// sameReport says that two reports differ in nothing on which entries choose
// at once; the rest goes with the next answer to a hello.
func sameReport(a, b *fleetv1.Report) bool {
	return a.GetBorn() == b.GetBorn() && a.GetBusy() == b.GetBusy() && mtprobe.SameWeights(a, b)
}

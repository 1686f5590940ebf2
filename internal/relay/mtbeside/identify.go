package mtbeside

import (
	"context"
	"time"

	"go.uber.org/zap"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
)

// The call for the engine's id needs a slot: one that is not answered is repeated after a pause that
// doubles from minIdentifyPause to maxIdentifyPause.
const (
	minIdentifyPause = 200 * time.Millisecond
	maxIdentifyPause = 5 * time.Second
)

// noteProgram records who answered a call for a report that was sent at a time; the sidecar is
// locked.
func (s *Sidecar) noteProgram(sent time.Time, report *fleetv1.Report, err error) {
	if err != nil {
		s.lineage.Failed()
		return
	}
	s.lineage.Answered(sent, report.GetBorn())
	s.wakeIdentify()
}

// wakeIdentify lets the engine be asked for its id at once if that is not known; the sidecar is
// locked.
func (s *Sidecar) wakeIdentify() {
	if _, ask := s.lineage.Unidentified(); !ask || s.health == "" || s.failed > 0 {
		return
	}
	select {
	case s.unidentified <- struct{}{}:
	default:
	}
}

// identify asks the engine for its id whenever another program may answer at its address.
func (s *Sidecar) identify(ctx context.Context) error {
	for pause := minIdentifyPause; ctx.Err() == nil; {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.unidentified:
		}
		if s.askID(ctx) {
			pause = minIdentifyPause
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, maxIdentifyPause)
	}
	return ctx.Err()
}

// askID asks the engine for its id, and tells the entries of one that they don't expect. It reports
// whether the id is known.
func (s *Sidecar) askID(ctx context.Context) bool {
	s.mu.Lock()
	path := s.health
	incarnation, ask := s.lineage.Unidentified()
	s.mu.Unlock()
	if !ask {
		return true
	}
	sent := time.Now()
	id, err := s.engine.ID(ctx, path)
	if err != nil {
		s.trail.Metrics().Add("ids_unanswered_total", 1)
		return false
	}
	s.mu.Lock()
	known := s.lineage.Identify(id, sent, incarnation)
	other := known && s.target != "" && id != s.target
	if other {
		s.trail.Warn(mtkind.EngineOther, zap.String("target", s.target), zap.String("id", id),
			zap.Bool("related", s.lineage.Related(s.target)), zap.Int64("born", s.report.GetBorn()))
	}
	s.mu.Unlock()
	if other {
		s.tellAll()
	}
	return known
}

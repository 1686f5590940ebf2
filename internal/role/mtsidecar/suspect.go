package mtsidecar

import (
	"context"
	"time"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
	"github.com/mustardtide/mustardtide/internal/observe/mtcode"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	"github.com/mustardtide/mustardtide/internal/request/mtprompt"
)

// trialPause is when a suspect may come back while another of its runs is being
// tried: about the time of one run.
const trialPause = 5 * time.Second

// flowTime is how long after the first of an answer has come a target's end has
// another cause than that run.
const flowTime = time.Second

// runTimes are when the target got a run, and when the first of its answer came;
// zero before.
type runTimes struct{ begun, first time.Time }

func (t runTimes) flowing() bool { return !t.first.IsZero() && time.Since(t.first) > flowTime }

// hear takes in what another process has quarantined.
func (s *Sidecar) hear(peer *mustardtidev1.Peer) {
	s.log.Clock().See(peer.GetStamp())
	s.poison.Learn(peer.GetBans())
	s.culprits.Merge(peer.GetCulprits())
}

// try says why a request may not run, or nil. A quarantined one never runs; a
// suspect's rerun is claimed, so that two entries do not rerun it at once. While
// the platform is down a suspect runs alone on the word of its entry.
func (s *Sidecar) try(ctx context.Context, work *mustardtidev1.Work) *mtrefusal.Refusal {
	if s.poison.Banned(work.GetPrint()) || s.culprits.Refusing() && s.culprits.Match(mtprompt.Components(work)) != nil {
		return quarantined()
	}
	work.Suspect = work.GetSuspect() || s.poison.Suspect(work.GetPrint())
	if !work.GetSuspect() {
		return nil
	}
	known, err := s.suspicions.Try(ctx, work.GetPrint(), work.GetRun())
	if err != nil {
		s.note(mtkind.RunSuspected, work, "tried without the platform: "+err.Error())
		known = &mustardtidev1.Suspicion{Trial: work.GetRun()}
	}
	switch {
	case known.GetBanned():
		return s.ban(work)
	case known.GetTrial() != work.GetRun():
		return mtrefusal.New(mtcode.Suspected, "").WithRetryAfter(trialPause)
	default:
		return nil
	}
}

// incarnationOf names the target's program as it was when a run was handed to
// it, for the account of its crash.
func (s *Sidecar) incarnationOf() string { return s.process.GetName() + "/" + s.view.Incarnation() }

// judge looks at a run that failed. Where the target's program has died with
// it, the run's request becomes a suspect, and at the second crash it is
// quarantined: without that its caller's resends take down one target after
// another. A broken connection to a program that lives is no crash. The crash
// counts against the beginnings of the prompt too, unless the answer has come
// for some time.
func (s *Sidecar) judge(work *mustardtidev1.Work, source string, times runTimes, refusal *mtrefusal.Refusal) *mtrefusal.Refusal {
	if refusal.Code() != mtcode.TargetDied || refusal.Ran() == mustardtidev1.Ran_NO || !s.died(source) {
		return refusal
	}
	s.note(mtkind.RunSuspected, work, source)
	if !times.flowing() {
		s.culprits.Crashed(source, 0, times.begun, mtprompt.Components(work))
	}
	banned := s.poison.Crash(work.GetPrint(), source)
	known, err := s.suspicions.Crash(s.base, work.GetPrint(), source, work.GetSuspect())
	if err != nil {
		// Without the platform the entry's word is the first crash.
		banned = banned || work.GetSuspect()
	}
	if banned || known.GetBanned() {
		return s.ban(work).WithRan(refusal.Ran())
	}
	return mtrefusal.New(mtcode.Crashed, refusal.Reason()).WithRan(refusal.Ran())
}

func (s *Sidecar) ban(work *mustardtidev1.Work) *mtrefusal.Refusal {
	s.poison.Ban(work.GetPrint())
	s.note(mtkind.RunQuarantined, work, "")
	return quarantined()
}

// acquit clears a suspect that has run to its end.
func (s *Sidecar) acquit(work *mustardtidev1.Work, finish *mustardtidev1.Finish) {
	if !finish.GetComplete() {
		return
	}
	s.culprits.Acquit(mtprompt.Components(work))
	if !work.GetSuspect() {
		return
	}
	s.poison.Clear(work.GetPrint())
	// An object that stays lapses by itself.
	_ = s.suspicions.Clear(s.base, work.GetPrint())
}

// release gives a suspect's rerun back that was refused, withdrawn or late. It
// comes before the run's end is told: the entry's next attempt claims it again.
// Without it the caller's resends are refused until the claim lapses.
func (s *Sidecar) release(work *mustardtidev1.Work, finish *mustardtidev1.Finish) {
	if !work.GetSuspect() || finish.GetComplete() || mtcode.Code(finish.GetRefusal().GetCode()) == mtcode.Suspected {
		return
	}
	// A claim that stays lapses by itself.
	_ = s.suspicions.Release(s.base, work.GetPrint(), work.GetRun())
}

// died asks whether the program that a run was handed to is gone.
func (s *Sidecar) died(source string) bool {
	ctx, cancel := context.WithTimeout(s.base, probeTimeout)
	defer cancel()
	switch t := s.program(s.service()).(type) {
	case engineTarget:
		incarnation, err := t.Incarnation(ctx)
		if err != nil {
			s.report(false)
			return s.base.Err() == nil
		}
		s.incarnate(incarnation)
		return s.incarnationOf() != source
	case serviceTarget:
		return t.Healthy(ctx) != nil && s.base.Err() == nil
	default:
		return false
	}
}

func quarantined() *mtrefusal.Refusal { return mtrefusal.New(mtcode.Quarantined, "").AsFinal() }

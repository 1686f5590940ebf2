package mtsidecar

import (
	"context"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
	"github.com/mustardtide/mustardtide/internal/observe/mtcode"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	"github.com/mustardtide/mustardtide/internal/request/mtclaim"
	"github.com/mustardtide/mustardtide/internal/request/mtonce"
)

func claimID(work *mustardtidev1.Work) []byte {
	return mtclaim.ID(work.GetAccount(), work.GetService(), work.GetKey())
}

// began says that this process has handed the request's key to its target
// already. Such a resend is taken even while new work is refused: it gets the
// outcome, and nothing runs.
func (s *Sidecar) began(work *mustardtidev1.Work) bool {
	if work.GetKey() == "" {
		return false
	}
	_, _, begun := s.once.Begun(claimID(work), work.GetPrint())
	return begun
}

// attach gives a resend the outcome of its key's run, live or ended, or nil
// where this process began none.
func (s *Sidecar) attach(ctx context.Context, work *mustardtidev1.Work, started *run) *mustardtidev1.Finish {
	if work.GetKey() == "" {
		return nil
	}
	answer, same, begun := s.once.Begun(claimID(work), work.GetPrint())
	switch {
	case !begun:
		return nil
	case !same:
		return refusalFinish(mtrefusal.New(mtcode.KeyMismatch, "").AsFinal())
	case answer == nil:
		return alreadyRun()
	case !started.begin():
		return refusalFinish(mtrefusal.New(mtcode.CallerGone, ""))
	}
	s.note(mtkind.ClaimAttached, work, "")
	take := func(f *mustardtidev1.Frame) error { return started.take(ctx, f) }
	finish, err := mtonce.Replay(ctx, answer, take)
	if err != nil {
		return refusalFinish(failure(ctx, started, err).WithRan(mustardtidev1.Ran_YES))
	}
	return finish
}

// executeOnce claims a request's key and then, if the key is this sending's,
// runs it. What is not claimed is not run; what this process once handed to
// the target is not handed over again, whoever asks.
func (s *Sidecar) executeOnce(ctx context.Context, ask *mustardtidev1.RunRequest, started *run) *mustardtidev1.Finish {
	work := ask.GetWork()
	id := claimID(work)
	if err := s.once.Enter(ctx, id); err != nil {
		return refusalFinish(mtrefusal.New(mtcode.DeadlineTooNear, ""))
	}
	mine := sending(work.GetRun(), work.GetAttempt())
	if s.began(work) {
		s.once.Yield(id, mine)
		return s.attach(ctx, work, started)
	}
	if !started.reserve() {
		s.once.Yield(id, mine)
		return refusalFinish(mtrefusal.New(mtcode.CallerGone, ""))
	}
	reply := s.claim(ctx, work)
	if refusal := s.denied(work, reply); refusal != nil {
		s.once.Yield(id, mine)
		s.note(mtkind.ClaimRefused, work, refusal.Error())
		return refusalFinish(refusal)
	}
	if ctx.Err() != nil || !started.begin() {
		s.once.Yield(id, mine)
		return refusalFinish(mtrefusal.New(mtcode.CallerGone, ""))
	}
	holder := sending(reply.GetHolder(), reply.GetAttempt())
	if _, first := s.once.Start(id, work.GetPrint(), mine, holder); !first {
		return alreadyRun()
	}
	s.note(mtkind.ClaimGranted, work, "")
	return s.performOnce(ctx, ask, started, holder)
}

// performOnce runs the request and keeps its answer for resends.
func (s *Sidecar) performOnce(ctx context.Context, ask *mustardtidev1.RunRequest, started *run, holder string) *mustardtidev1.Finish {
	work := ask.GetWork()
	id := claimID(work)
	emit := func(f *mustardtidev1.Frame) error {
		s.once.Keep(id, f, alreadyRun())
		return started.take(ctx, f)
	}
	finish := s.perform(ctx, ask, started, emit)
	refusal := mtrefusal.FromMessage(finish.GetRefusal())
	switch {
	case refusal == nil:
		s.once.Keep(id, &mustardtidev1.Frame{Step: &mustardtidev1.Frame_Finish{Finish: finish}}, nil)
	case refusal.Ran() == mustardtidev1.Ran_NO:
		s.once.Fail(id, finish, finish)
		s.once.Undo(id, holder)
	case refusal.Ran() == mustardtidev1.Ran_YES:
		s.once.Fail(id, finish, alreadyRun())
	default:
		hidden := mtrefusal.New(mtcode.OutcomeHidden, refusal.Error()).WithRan(mustardtidev1.Ran_UNKNOWN).AsFinal()
		s.once.Fail(id, finish, refusalFinish(hidden))
	}
	return finish
}

// denied says why a claim's record does not let this process run the key.
func (s *Sidecar) denied(work *mustardtidev1.Work, reply *mustardtidev1.ClaimReply) *mtrefusal.Refusal {
	refusal := mtrefusal.FromMessage(reply.GetRefusal())
	switch {
	case refusal != nil:
		return refusal
	case reply.GetMismatch():
		return mtrefusal.New(mtcode.KeyMismatch, "").AsFinal()
	case reply.GetProcess() == s.boot:
		return nil
	case reply.GetTarget() == s.process.GetName():
		// An earlier start of this process had the key; what it did is lost.
		return mtrefusal.New(mtcode.OutcomeHidden, work.GetKey()).WithRan(mustardtidev1.Ran_UNKNOWN).AsFinal()
	default:
		return mtrefusal.New(mtcode.StillRunning, reply.GetTarget()).WithRan(mustardtidev1.Ran_UNKNOWN).WithTarget(reply.GetTarget())
	}
}

func alreadyRun() *mustardtidev1.Finish {
	return refusalFinish(mtrefusal.New(mtcode.AlreadyRun, "").WithRan(mustardtidev1.Ran_YES).AsFinal())
}

func refusalFinish(refusal *mtrefusal.Refusal) *mustardtidev1.Finish {
	return &mustardtidev1.Finish{Refusal: refusal.Message()}
}

package mtentry

import (
	"context"
	"net/http"
	"time"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
	"github.com/mustardtide/mustardtide/internal/observe/mtcode"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
)

// comeBack is when a caller that found no target may come back.
const comeBack = 2 * time.Second

// answer finds a target for a task and passes its answer on.
func (e *Entry) answer(ctx context.Context, w http.ResponseWriter, in *http.Request, t *task) {
	out := newOutput(w, in, t)
	refusal := mtrefusal.New(mtcode.NoTarget, t.service.GetName())
	ran := mustardtidev1.Ran_NO
	tried := &tries{names: map[string]bool{}}
	for member := e.next(ctx, t, tried, refusal); member != nil; member = e.next(ctx, t, tried, refusal) {
		refusal = e.try(ctx, member, t, out)
		if refusal == nil {
			e.budgets.of(t.service.GetName()).RecordSuccess(t.service.GetRetry())
			e.note(mtkind.RequestAnswered, t, member.GetName())
			return
		}
		ran = either(ran, refusal.Ran())
		e.note(mtkind.AttemptRefused, t, refusal.Error())
		e.suspect(t, refusal)
		if !e.retry(ctx, t, out, refusal) {
			break
		}
	}
	e.note(mtkind.RequestBroken, t, refusal.Error())
	out.fail(advise(refusal.WithRan(ran)))
}

// try gives a task to one target. A target that says over a new connection that
// the old one never brought it the task gets it once more: it is there, and it
// was chosen for what it has cached.
func (e *Entry) try(ctx context.Context, member *mustardtidev1.Member, t *task, out *output) *mtrefusal.Refusal {
	for first := true; ; first = false {
		t.work.Attempt++
		e.note(mtkind.AttemptSent, t, member.GetName())
		refusal := e.redirect(ctx, t, out, e.attempt(ctx, member, t, out))
		if !first || refusal == nil || refusal.Code() != mtcode.RunUnknown || refusal.Ran() != mustardtidev1.Ran_NO {
			return refusal
		}
		e.note(mtkind.AttemptRefused, t, refusal.Error())
	}
}

// either joins what two attempts say: a request did not run only if none of
// its attempts did.
func either(a, b mustardtidev1.Ran) mustardtidev1.Ran {
	switch {
	case a == mustardtidev1.Ran_YES || b == mustardtidev1.Ran_YES:
		return mustardtidev1.Ran_YES
	case a == mustardtidev1.Ran_NO && b == mustardtidev1.Ran_NO:
		return mustardtidev1.Ran_NO
	default:
		return mustardtidev1.Ran_UNKNOWN
	}
}

// again says whether a refused task may be given to another target: what
// provably did not run always may; what may have run, only if it is a model's.
// Where part of an answer has reached the caller, the next run's answer must
// repeat that part.
func again(t *task, out *output, refusal *mtrefusal.Refusal) bool {
	switch {
	case refusal.Final():
		return false
	// The claim may be kept all the same, for the target that asked for it:
	// another one could only say that the outcome is unknown.
	case refusal.Code() == mtcode.ClaimFailed:
		return false
	case refusal.Ran() == mustardtidev1.Ran_NO:
		return out.rewind() == nil
	default:
		return repeatable(t) && broken(refusal.Code()) && out.rewind() == nil
	}
}

// repeatable says that running a task twice does no harm. A plain service's
// calls may have effects that the router can't see.
func repeatable(t *task) bool { return !t.plain() && !t.service.GetOnce() }

func (t *task) plain() bool { return t.service.GetKind() == "plain" }

// broken lists the codes of answers that another target may well complete.
func broken(code mtcode.Code) bool {
	switch code {
	case mtcode.TargetDied, mtcode.Crashed, mtcode.Incomplete, mtcode.Unreachable, mtcode.RunUnknown,
		mtcode.BadTargetAnswer, mtcode.TargetRefused, mtcode.OffsetDropped, mtcode.Leaving:
		return true
	default:
		return false
	}
}

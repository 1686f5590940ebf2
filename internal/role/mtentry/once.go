package mtentry

import (
	"context"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
	"github.com/mustardtide/mustardtide/internal/observe/mtcode"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
)

// redirect gives a resend to the one target that can answer for its key, as a
// refusal named it; any other refusal is returned as it is. Where that target
// can't answer, the caller learns that the key's outcome is unknown: this
// sending did not run, but an earlier one may have.
func (e *Entry) redirect(ctx context.Context, t *task, out *output, refusal *mtrefusal.Refusal) *mtrefusal.Refusal {
	if refusal == nil || refusal.Code() != mtcode.StillRunning || refusal.Target() == "" {
		return refusal
	}
	unknown := refusal.WithRan(mustardtidev1.Ran_UNKNOWN).WithRetryAfter(comeBack).AsFinal()
	member := e.list.Find(refusal.Target())
	if member == nil {
		return unknown
	}
	t.work.Attempt++
	e.note(mtkind.AttemptSent, t, member.GetName())
	answered := e.attempt(ctx, member, t, out)
	if answered != nil && answered.Ran() == mustardtidev1.Ran_NO && answered.Code() != mtcode.KeyMismatch {
		e.note(mtkind.AttemptRefused, t, answered.Error())
		return unknown
	}
	return answered
}

package mtentry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
	"github.com/mustardtide/mustardtide/internal/admission/mtretry"
)

// budgets keeps one retry budget for each service.
type budgets struct {
	byService sync.Map
}

func (b *budgets) of(service string) *mtretry.Budget {
	found, known := b.byService.Load(service)
	if !known {
		found, _ = b.byService.LoadOrStore(service, mtretry.New())
	}
	return found.(*mtretry.Budget)
}

// retry says whether a refused task goes to another target now, after a pause
// where it may have run. It is false where the pause would outlast the deadline.
func (e *Entry) retry(ctx context.Context, t *task, out *output, refusal *mtrefusal.Refusal) bool {
	if ctx.Err() != nil || !again(t, out, refusal) || !e.budgets.of(t.service.GetName()).Allow(refusal) {
		return false
	}
	wait := mtretry.Backoff(refusal, int(t.work.GetAttempt()))
	if deadline, bounded := ctx.Deadline(); bounded && time.Until(deadline) <= wait {
		return false
	}
	return wait == 0 || pause(ctx, wait) == nil
}

// advise says when to come back where a refusal does not: spread over twice the
// time in which a target's state is known everywhere, so that those refused
// together do not return together.
func advise(refusal *mtrefusal.Refusal) *mtrefusal.Refusal {
	if refusal.Final() || refusal.RetryAfter() > 0 {
		return refusal
	}
	return refusal.WithRetryAfter(comeBack/2 + rand.N(comeBack))
}

package mtentry

import (
	"context"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
)

// limit takes a request's cost from its account's rate and streams. The function
// it returns gives back what was not used.
func (e *Entry) limit(ctx context.Context, t *task) (func(), *mtrefusal.Refusal) {
	if refusal := e.streams.Acquire(t.account); refusal != nil {
		return nil, refusal
	}
	settle, refusal := e.credit.Take(ctx, t.account, t.work.GetPrompt()+t.work.GetOutput())
	if refusal != nil {
		e.streams.Release(t.account)
		return nil, refusal
	}
	return func() {
		settle(used(t.finish))
		e.streams.Release(t.account)
	}, nil
}

// used is what a request cost its target; one that did not run cost nothing.
func used(finish *mustardtidev1.Finish) int64 {
	return int64(finish.GetPrompt() - min(finish.GetPrompt(), finish.GetCached()) + finish.GetOutput())
}

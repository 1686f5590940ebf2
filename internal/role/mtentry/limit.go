package mtentry

import (
	"sync/atomic"
	"time"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
)

// countEvery is how often the live entries are counted: the platform's list lags
// by seconds anyway, and a count reads all of it.
const countEvery = time.Second

// census counts the live entries, over which an account's rate is shared.
type census struct {
	count atomic.Int64
	until atomic.Int64
}

// entries is the number of live entries as last counted, this one included.
func (e *Entry) entries() int {
	now := time.Now().UnixNano()
	until := e.census.until.Load()
	if now < until || !e.census.until.CompareAndSwap(until, now+int64(countEvery)) {
		return int(max(1, e.census.count.Load()))
	}
	live := 0
	for _, m := range e.list.All() {
		if m.GetRole() == "entry" && !m.GetLeaving() {
			live++
		}
	}
	e.census.count.Store(int64(live))
	return max(1, live)
}

// limit takes a request's cost from its account's rate and streams. The function
// it returns gives back what was not used.
func (e *Entry) limit(t *task) (func(), *mtrefusal.Refusal) {
	entries := e.entries()
	estimated := float64(t.work.GetPrompt() + t.work.GetOutput())
	if refusal := e.limits.Enter(t.account, estimated, entries); refusal != nil {
		return nil, refusal
	}
	return func() { e.limits.Leave(t.account, estimated, used(t.finish), entries) }, nil
}

// used is what a request cost its target; one that did not run cost nothing.
func used(finish *mustardtidev1.Finish) float64 {
	return float64(finish.GetPrompt() - min(finish.GetPrompt(), finish.GetCached()) + finish.GetOutput())
}

package mtretry_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
	"github.com/mustardtide/mustardtide/internal/admission/mtretry"
	"github.com/mustardtide/mustardtide/internal/observe/mtcode"
)

// A service is overloaded for a minute, so that each request is refused by the first target
// and would be by the next. The entry must not multiply the load by retrying refusals that
// have the same cause everywhere, and must still move requests off a leaving target.
func TestBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		budget := mtretry.New()
		full := mtrefusal.New(mtcode.QueueFull, "")
		retried := 0
		for range 6000 {
			if budget.Allow(full) {
				retried++
			}
			g.Expect(budget.Allow(mtrefusal.New(mtcode.Leaving, ""))).To(BeTrue())
			time.Sleep(10 * time.Millisecond)
		}
		g.Expect(retried).To(BeNumerically("<=", 50+61), "the saved retries plus one per second")
		for range 200 {
			budget.RecordSuccess(0)
		}
		earned := 0
		for range 40 {
			if budget.Allow(full.WithRan(mustardtidev1.Ran_YES)) {
				earned++
			}
		}
		g.Expect(earned).To(BeNumerically("~", 20, 1), "a tenth of the successes plus what is left of the minimum rate")
	})
}

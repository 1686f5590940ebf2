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

// A service is overloaded for a minute: each request is refused by the first
// target and would be by the next. The entry must not multiply the load, and
// must still move requests off a target that leaves. Cause: retries answer
// refusals that have the same cause everywhere.
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
		g.Expect(retried).To(BeNumerically("<=", 50+61), "what was saved, and one a second")
		for range 200 {
			budget.Succeeded(0)
		}
		earned := 0
		for range 40 {
			if budget.Allow(full.Having(mustardtidev1.Ran_YES)) {
				earned++
			}
		}
		g.Expect(earned).To(BeNumerically("~", 20, 1), "a tenth of the successes, and the floor's rest")
	})
}

package mtallowance_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/mustardtide/mustardtide/internal/admission/mtallowance"
)

// A service fails every request while callers send in bursts and pauses. In no window may all
// entries together retry more often than the fleet's bound allows.
func TestNoWindowExceedsBound(t *testing.T) {
	const entries, ratio, slack, window = 4, 0.2, 50.0, 10 * time.Second
	rapid.Check(t, func(rt *rapid.T) {
		bursts := rapid.SliceOfN(rapid.IntRange(0, 60), 1, 80).Draw(rt, "bursts")
		over := 0
		synctest.Test(t, func(*testing.T) {
			var fleet []*mtallowance.RetryBudget
			for range entries {
				fleet = append(fleet, mtallowance.New(ratio, slack, window, time.Now().Add(-2*window)))
			}
			type step struct{ requests, retries int }
			var past []step
			for _, burst := range bursts {
				var m step
				for i := range burst {
					a := fleet[i%entries]
					a.CountRequest()
					m.requests++
					if a.TryRetry(entries) {
						m.retries++
					}
				}
				past = append(past, m)
				// 40 steps are one window.
				var requests, retries int
				for _, p := range past[max(0, len(past)-40):] {
					requests += p.requests
					retries += p.retries
				}
				if float64(retries) > ratio*float64(requests)+slack {
					over++
				}
				time.Sleep(window / 40)
			}
		})
		if over > 0 {
			rt.Fatalf("%d windows over the bound", over)
		}
	})
}

// A service without traffic still has some retries, and can use them once per window.
func TestSlack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		a := mtallowance.New(0.2, 40, 10*time.Second, time.Now().Add(-11*time.Second))
		taken := 0
		for range 100 {
			if a.TryRetry(4) {
				taken++
			}
		}
		g.Expect(taken).To(Equal(7))
		time.Sleep(12 * time.Second)
		g.Expect(a.TryRetry(4)).To(BeTrue())
		g.Expect(a.Remaining(4)).To(BeNumerically("~", 6, 0.01))
	})
}

// Failure: all entries restart while a service fails everything, and within the window each uses
// its part of the slack once more, or the part for the smaller fleet that it knows so far.
func TestFullRestartAddsNoRetries(t *testing.T) {
	const ratio, slack, window = 0.2, 50.0, 10 * time.Second
	for _, entries := range []int{4, 30, 356} {
		synctest.Test(t, func(t *testing.T) {
			requests, retries := 0, 0
			fleet := make([]*mtallowance.RetryBudget, entries)
			start := func() {
				for i := range fleet {
					fleet[i] = mtallowance.New(ratio, slack, window, time.Now())
				}
			}
			send := func(known int) {
				for range max(1, 100/entries) {
					for _, a := range fleet {
						a.CountRequest()
						requests++
						if a.TryRetry(known) {
							retries++
						}
					}
				}
			}
			start()
			time.Sleep(window)
			send(entries)
			for range 3 {
				start()
				time.Sleep(time.Second)
				send(2)
			}
			NewWithT(t).Expect(float64(retries)).To(BeNumerically("<=", ratio*float64(requests)+slack), "%d entries", entries)
		})
	}
}

package mtwiden_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/placement/mtwiden"
	"github.com/mustardtide/mustardtide/internal/prefix/mtchain"
)

// Guards against a burst for one prefix that spreads it over the whole fleet, where
// each target computes it and evicts blocks that other requests need, and against
// a number of homes that oscillates afterwards. Homes are added one at a time.
func TestWidensOneHomeAtATimeAndNarrowsSlowly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := mtwiden.New()
		mark := mtchain.RootHash("dossier")
		const cost = time.Second
		for range 100 {
			w.Observe(mark, 3*cost, cost)
		}
		g.Expect(w.Width(mark)).To(Equal(2), "the burst adds a single home")
		for range 5 {
			time.Sleep(cost)
			w.Observe(mark, 3*cost, cost)
		}
		g.Expect(w.Width(mark)).To(Equal(7))
		for range 10 {
			time.Sleep(time.Second)
			w.Observe(mark, cost/2, cost)
		}
		g.Expect(w.Width(mark)).To(Equal(7), "waits between the two thresholds change nothing")
		for range 200 {
			time.Sleep(time.Second)
			w.Observe(mark, 0, cost)
		}
		g.Expect(w.Width(mark)).To(Equal(1))
	})
}

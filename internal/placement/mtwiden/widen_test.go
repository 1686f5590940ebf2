package mtwiden_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/placement/mtwiden"
	"github.com/mustardtide/mustardtide/internal/prefix/mtchain"
)

// Everyone asks for one dossier within a minute. Its homes must grow, but one
// at a time: a burst that scatters it over the fleet makes each target compute
// it and evict what others need. Afterwards it must not swing.
func TestWidensByOneAndNarrowsLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := mtwiden.New()
		mark := mtchain.Root("dossier")
		const cost = time.Second
		for range 100 {
			w.Waited(mark, 3*cost, cost)
		}
		g.Expect(w.Width(mark)).To(Equal(2), "one more home for the whole burst")
		for range 5 {
			time.Sleep(cost)
			w.Waited(mark, 3*cost, cost)
		}
		g.Expect(w.Width(mark)).To(Equal(7))
		for range 10 {
			time.Sleep(time.Second)
			w.Waited(mark, cost/2, cost)
		}
		g.Expect(w.Width(mark)).To(Equal(7), "waits between the limits change nothing")
		for range 200 {
			time.Sleep(time.Second)
			w.Waited(mark, 0, cost)
		}
		g.Expect(w.Width(mark)).To(Equal(1))
	})
}

package mtrollout_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/relay/mtrollout"
)

func named(version int64) *fleetv1.Weights {
	return &fleetv1.Weights{Model: "m", Version: version, Revision: 100 + version}
}

func report(version, orders int64, running int32) *fleetv1.Report {
	return &fleetv1.Report{Models: []*fleetv1.Weights{{Model: "m", Version: version}}, Orders: orders, Running: running}
}

// ordered steps time until the plan orders, and returns how long that took.
func ordered(plan *mtrollout.Plan, r *fleetv1.Report) (*fleetv1.Swap, time.Duration) {
	begun := time.Now()
	for time.Since(begun) < 20*time.Second {
		plan.See(r)
		if swap := plan.Next(r); swap != nil {
			return swap, time.Since(begun)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil, time.Since(begun)
}

// New weights come every 3.2 s, and by bad luck the engine is the last of the
// fleet each time. It must not be put off each time: its runs would begin on
// weights that were replaced nine seconds ago.
func TestWaitingEngineKeepsItsTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		plan := mtrollout.New()
		plan.See(report(1, 0, 1))
		plan.Name(named(2), 17, 18)
		time.Sleep(3200 * time.Millisecond)
		plan.See(report(1, 0, 1))
		plan.Name(named(3), 17, 18)
		swap, took := ordered(plan, report(1, 0, 1))
		g.Expect(swap.GetWeights().GetVersion()).To(Equal(int64(3)))
		g.Expect(took).To(BeNumerically("<", 500*time.Millisecond))
	})
}

// An engine that has the weights of before gets its turn among the others: with
// the turn of before it would load at once, and so would all.
func TestEngineInStepGetsANewTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		plan := mtrollout.New()
		plan.Name(named(2), 17, 18)
		plan.See(report(2, 1, 1))
		time.Sleep(10 * time.Second)
		plan.Name(named(3), 17, 18)
		_, took := ordered(plan, report(2, 1, 1))
		g.Expect(took).To(BeNumerically(">", 3*time.Second))
	})
}

// An idle engine is ordered at once in its turn; one with runs a little later,
// so that most of them end before their weights change under them.
func TestRunsGetAMomentToEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		idle, busy := mtrollout.New(), mtrollout.New()
		idle.Name(named(2), 0, 3)
		busy.Name(named(2), 0, 3)
		g.Expect(idle.Ordering(report(1, 0, 0))).To(BeTrue())
		_, first := ordered(idle, report(1, 0, 0))
		_, second := ordered(busy, report(1, 0, 2))
		g.Expect(first).To(BeNumerically("<", 100*time.Millisecond))
		g.Expect(second).To(BeNumerically(">", 250*time.Millisecond))
	})
}

// An order without an answer is repeated under the count of orders that the
// engine tells: only one of the two can be carried out.
func TestUnansweredOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		plan := mtrollout.New()
		plan.Name(named(2), 0, 1)
		first, _ := ordered(plan, report(1, 4, 0))
		again, took := ordered(plan, report(1, 4, 0))
		g.Expect(first.GetExpected()).To(Equal(int64(4)))
		g.Expect(again.GetExpected()).To(Equal(int64(4)))
		g.Expect(again.GetFence()).To(Equal(first.GetFence()))
		g.Expect(took).To(BeNumerically(">=", 500*time.Millisecond))
		busy := report(1, 5, 0)
		busy.Busy = true
		g.Expect(plan.Next(busy)).To(BeNil())
		g.Expect(plan.Ordering(busy)).To(BeTrue())
		plan.See(report(2, 5, 0))
		g.Expect(plan.Next(report(2, 5, 0))).To(BeNil())
		g.Expect(plan.Ordering(report(2, 5, 0))).To(BeFalse())
		g.Expect(plan.Until(report(2, 5, 0))).To(BeNumerically("<", 0))
	})
}

// A fleet of 300 engines is through its turns in the time of one of 18.
func TestTurnsDoNotGrowWithTheFleet(t *testing.T) {
	for _, total := range []uint32{18, 45, 300, 2700} {
		synctest.Test(t, func(t *testing.T) {
			plan := mtrollout.New()
			plan.Name(named(2), total-1, total)
			_, took := ordered(plan, report(1, 0, 1))
			NewWithT(t).Expect(took).To(BeNumerically("<", 4*time.Second))
		})
	}
}

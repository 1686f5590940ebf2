package mtrollout_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/types/known/durationpb"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/placement/mtnaming"
	"github.com/mustardtide/mustardtide/internal/relay/mtrollout"
)

const (
	allowed = 8 * time.Second
	// pace is how fast the queue of the tests moves on.
	pace = 200 * time.Millisecond
)

func named(version int64) *fleetv1.Weights {
	return &fleetv1.Weights{Model: "m", Version: version, Revision: 100 + version}
}

// turn is an engine's turn after so many others.
func turn(place uint32) *fleetv1.Turn {
	return &fleetv1.Turn{
		Place: place, Interval: durationpb.New(pace), Lead: durationpb.New(400 * time.Millisecond), Live: true,
	}
}

// full is a turn while enough others load.
func full(place uint32) *fleetv1.Turn {
	t := turn(place)
	t.Full = true
	return t
}

// planned is a plan to which an entry has told the engine's turn.
func planned(place uint32) *mtrollout.Plan {
	plan := mtrollout.New(allowed)
	plan.Turn(turn(place))
	return plan
}

func report(version, orders int64, running int32) *fleetv1.Report {
	return &fleetv1.Report{Models: []*fleetv1.Weights{{Model: "m", Version: version}}, Orders: orders, Running: running}
}

// loading is an engine's report while it loads.
func loading(orders int64) *fleetv1.Report {
	r := report(1, orders, 0)
	r.Busy = true
	return r
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

// New weights come every 1.2 s, and by bad luck the engine is the last of the
// fleet each time. It must not be put off each time: its runs would begin on
// weights that were replaced nine seconds ago.
func TestWaitingEngineKeepsItsTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		plan := planned(17)
		begun := time.Now()
		plan.See(report(1, 0, 1))
		for version := int64(2); version < 5; version++ {
			plan.Turn(&fleetv1.Turn{Place: 17, Interval: durationpb.New(pace)})
			plan.Name(named(version))
			time.Sleep(1200 * time.Millisecond)
			plan.See(report(1, 0, 1))
		}
		swap, _ := ordered(plan, report(1, 0, 1))
		g.Expect(swap.GetWeights().GetVersion()).To(Equal(int64(4)), "the others are skipped")
		g.Expect(time.Since(begun)).To(BeNumerically("<", 4500*time.Millisecond))
	})
}

// An engine that has the weights of before gets its turn among the others: with
// the turn of before it would load at once, and so would all.
func TestEngineInStepGetsANewTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		plan := planned(17)
		plan.Name(named(2))
		plan.See(report(2, 1, 1))
		time.Sleep(10 * time.Second)
		plan.Name(named(3))
		_, took := ordered(plan, report(2, 1, 1))
		g.Expect(took).To(BeNumerically(">", 3*time.Second))
	})
}

// Weights are named while the engine loads those of before. Its turn for them is
// used: with it the engine would load again at once, as would all that load now,
// beside those whose turn it is, and the whole fleet would be away.
func TestEngineThatLoadsHasHadItsTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		plan := planned(0)
		plan.Name(named(2))
		ordered(plan, report(1, 0, 0))
		plan.See(loading(1))
		plan.Turn(turn(17))
		plan.Name(named(3))
		time.Sleep(time.Second)
		_, took := ordered(plan, report(2, 1, 0))
		g.Expect(took).To(BeNumerically(">", 2*time.Second))
	})
}

// Loads end sooner than was foreseen, or later: the engine's turn moves with the
// queue, but for the word of an entry that hears little of the fleet.
func TestTurnFollowsTheQueue(t *testing.T) {
	for _, c := range []struct {
		place uint32
		live  bool
		least time.Duration
		most  time.Duration
	}{
		{0, true, 0, 500 * time.Millisecond},
		{0, false, 3 * time.Second, 4 * time.Second},
		{25, true, 4 * time.Second, 6 * time.Second},
		{2700, true, 4 * time.Second, 6 * time.Second},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			plan := planned(17)
			plan.Name(named(2))
			plan.See(report(1, 0, 1))
			moved := turn(c.place)
			moved.Live = c.live
			plan.Turn(moved)
			_, took := ordered(plan, report(1, 0, 1))
			g.Expect(took).To(BeNumerically(">=", c.least))
			g.Expect(took).To(BeNumerically("<=", c.most))
		})
	}
}

// Enough engines load: one whose turn has come waits while it hears so, but not for
// ever, nor once nobody says so any more.
func TestEngineWaitsWhileEnoughLoad(t *testing.T) {
	for _, said := range []time.Duration{time.Second, time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			plan := planned(0)
			plan.Name(named(2))
			plan.Turn(full(0))
			begun := time.Now()
			r := report(1, 0, 1)
			for plan.Next(r) == nil {
				plan.See(r)
				if time.Since(begun) < said {
					plan.Turn(full(0))
				}
				time.Sleep(10 * time.Millisecond)
			}
			took := time.Since(begun)
			g.Expect(took).To(BeNumerically(">=", min(said, allowed/2)))
			g.Expect(took).To(BeNumerically("<", allowed*3/4))
		})
	}
}

// putOff returns after what time each engine of a queue goes, while enough others load.
func putOff(t *testing.T, queue int) []time.Duration {
	went := make([]time.Duration, queue)
	waiting := func(place int) *fleetv1.Turn {
		turn := full(uint32(place))
		turn.Queue = uint32(queue)
		return turn
	}
	synctest.Test(t, func(*testing.T) {
		var plans []*mtrollout.Plan
		for place := range queue {
			plan := mtrollout.New(allowed)
			plan.Turn(waiting(place))
			plan.Name(named(2))
			plans = append(plans, plan)
		}
		begun := time.Now()
		for range 1000 {
			for place, plan := range plans {
				plan.Turn(waiting(place))
				plan.See(report(1, 0, 1))
				if went[place] == 0 && plan.Ordering(report(1, 0, 1)) {
					went[place] = time.Since(begun)
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
	})
	return went
}

// Guards against engines that were put off and load together once that is over.
func TestEnginesPutOffGoInTheirOrder(t *testing.T) {
	g := NewWithT(t)
	went := putOff(t, 3)
	g.Expect(went).NotTo(ContainElement(time.Duration(0)))
	for place := range 2 {
		g.Expect(went[place+1] - went[place]).To(BeNumerically("~", pace, 20*time.Millisecond))
	}
}

// Guards against a long queue whose end loads all at once when nobody is put off any more.
func TestLongQueueIsPutOffInOrder(t *testing.T) {
	const queue = 20
	g := NewWithT(t)
	went := putOff(t, queue)
	g.Expect(went).NotTo(ContainElement(time.Duration(0)))
	for place := range queue - 1 {
		g.Expect(went[place+1]-went[place]).To(BeNumerically(">=", 50*time.Millisecond), "place %d", place)
	}
	g.Expect(went[queue-1]).To(BeNumerically("<", allowed*3/4))
}

// Guards against a queue that nobody sees move, and whose end loads all at once.
func TestUnseenQueueGoesInOrder(t *testing.T) {
	const queue = 60
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var last time.Duration
		for place := range uint32(queue) {
			plan := mtrollout.New(allowed)
			told := turn(place)
			told.Live, told.Queue = false, queue
			plan.Turn(told)
			plan.Name(named(2))
			wait := plan.Until(report(1, 0, 0))
			if place > 0 {
				g.Expect(wait-last).To(BeNumerically(">=", 50*time.Millisecond), "place %d", place)
			}
			last = wait
		}
		g.Expect(last).To(BeNumerically("<=", allowed/2))
	})
}

// An idle engine is ordered at once in its turn; one with runs a little later,
// so that most of them end before their weights change under them.
func TestRunsGetAMomentToEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		idle, busy := planned(0), planned(0)
		idle.Name(named(2))
		busy.Name(named(2))
		g.Expect(idle.Ordering(report(1, 0, 0))).To(BeTrue())
		_, first := ordered(idle, report(1, 0, 0))
		_, second := ordered(busy, report(1, 0, 2))
		g.Expect(first).To(BeNumerically("<", 100*time.Millisecond))
		g.Expect(second).To(BeNumerically(">", 250*time.Millisecond))
	})
}

// The sidecar tells how long loads took, so that the queue's pace can follow from
// them; of a load whose begin it has not seen it says nothing.
func TestLoadsAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		seen, restarted := planned(0), planned(0)
		seen.See(report(1, 0, 0))
		for _, plan := range []*mtrollout.Plan{seen, restarted} {
			plan.See(loading(1))
		}
		time.Sleep(1100 * time.Millisecond)
		for _, plan := range []*mtrollout.Plan{seen, restarted} {
			plan.See(report(2, 1, 0))
		}
		time.Sleep(time.Second)
		g.Expect(seen.Load().GetTook().AsDuration()).To(Equal(1100 * time.Millisecond))
		g.Expect(seen.Load().GetBegun().AsDuration()).To(Equal(2100 * time.Millisecond))
		g.Expect(seen.Load().GetEnded().AsDuration()).To(Equal(time.Second))
		g.Expect(restarted.Load().GetTook()).To(BeNil())
	})
}

// An order without an answer is repeated under the count of orders that the
// engine tells: only one of the two can be carried out.
func TestUnansweredOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		plan := planned(0)
		plan.Name(named(2))
		first, _ := ordered(plan, report(1, 4, 0))
		again, took := ordered(plan, report(1, 4, 0))
		g.Expect(first.GetExpected()).To(Equal(int64(4)))
		g.Expect(again.GetExpected()).To(Equal(int64(4)))
		g.Expect(again.GetFence()).To(Equal(first.GetFence()))
		g.Expect(took).To(BeNumerically(">=", 500*time.Millisecond))
		g.Expect(plan.Next(loading(5))).To(BeNil())
		g.Expect(plan.Ordering(loading(5))).To(BeTrue())
		plan.See(report(2, 5, 0))
		g.Expect(plan.Next(report(2, 5, 0))).To(BeNil())
		g.Expect(plan.Ordering(report(2, 5, 0))).To(BeFalse())
		g.Expect(plan.Until(report(2, 5, 0))).To(BeNumerically("<", 0))
	})
}

// Failure: an engine crashes in the middle of its load, others are named while it is
// down, and it comes back with the weights of before: it then waits for a new turn, and
// requests begin on weights that were replaced longer ago than is allowed.
func TestEngineThatCrashedInItsLoadIsOverdue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		plan := planned(0)
		begun := time.Now()
		plan.Name(named(2))
		ordered(plan, report(1, 0, 0))
		plan.See(loading(1))
		time.Sleep(4 * time.Second)
		plan.Name(named(3))
		plan.Turn(turn(17))
		time.Sleep(time.Second)
		ordered(plan, report(1, 0, 0))
		g.Expect(time.Since(begun)).To(BeNumerically("<", allowed*3/4+400*time.Millisecond))
	})
}

// The same without a word of an entry in between.
func TestEngineThatCrashedInItsLoadKeepsItsTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		plan := planned(0)
		plan.Name(named(2))
		ordered(plan, report(1, 0, 0))
		plan.See(loading(1))
		plan.Turn(&fleetv1.Turn{Place: 17, Interval: durationpb.New(pace)})
		plan.Name(named(3))
		time.Sleep(time.Second)
		_, took := ordered(plan, report(1, 0, 0))
		g.Expect(took).To(BeNumerically("<", 100*time.Millisecond))
	})
}

// Failure: a sidecar that restarts hears of weights from an entry that does not know since
// when, and then their age; its turn stays where it was, after the time allowed.
func TestAgeThatIsToldLaterBringsTheTurnForward(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		plan := mtrollout.New(allowed)
		plan.See(report(1, 0, 0))
		far := turn(20)
		far.Live = false
		plan.Turn(far)
		weights := named(2)
		plan.Name(mtnaming.FromListing(weights))
		weights.Ages = []*fleetv1.Age{{Version: 2, Age: durationpb.New(6 * time.Second), Certain: true}}
		plan.Turn(far)
		plan.Name(weights)
		_, took := ordered(plan, report(1, 0, 0))
		g.Expect(took).To(BeNumerically("<", 2*time.Second))
	})
}

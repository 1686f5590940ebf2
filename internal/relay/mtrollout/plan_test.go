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
	gracePeriod = 8 * time.Second
	// interval is the time from one turn to the next in the tests' queues.
	interval = 200 * time.Millisecond
)

func weightsOf(version int64) *fleetv1.Weights {
	return &fleetv1.Weights{Model: "m", Version: version, Revision: 100 + version}
}

// turn returns the turn of an engine at a position of a live queue.
func turn(place uint32) *fleetv1.Turn {
	return &fleetv1.Turn{
		Place: place, Interval: durationpb.New(interval), Lead: durationpb.New(400 * time.Millisecond), Live: true,
	}
}

// fullTurn returns a turn while enough other engines load.
func fullTurn(place uint32) *fleetv1.Turn {
	t := turn(place)
	t.Full = true
	return t
}

// planWithTurn returns a plan that has received the engine's turn from an entry.
func planWithTurn(place uint32) *mtrollout.Plan {
	plan := mtrollout.New(gracePeriod)
	plan.SetTurn(turn(place))
	return plan
}

func report(version, orders int64, running int32) *fleetv1.Report {
	return &fleetv1.Report{Models: []*fleetv1.Weights{{Model: "m", Version: version}}, Orders: orders, Running: running}
}

// loadingReport returns the report of an engine that loads.
func loadingReport(orders int64) *fleetv1.Report {
	r := report(1, orders, 0)
	r.Busy = true
	return r
}

// waitForOrder advances time until the plan returns an order, and returns it and the time taken.
func waitForOrder(plan *mtrollout.Plan, r *fleetv1.Report) (*fleetv1.Swap, time.Duration) {
	start := time.Now()
	for time.Since(start) < 20*time.Second {
		plan.Observe(r)
		if swap := plan.Next(r); swap != nil {
			return swap, time.Since(start)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil, time.Since(start)
}

// Guards against an engine that is deferred by each new publication. Weights are
// published every 1.2 s, and the engine happens to be the last of the fleet each time:
// its runs would begin on weights that were replaced nine seconds ago.
func TestWaitingEngineKeepsItsTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		plan := planWithTurn(17)
		start := time.Now()
		plan.Observe(report(1, 0, 1))
		for version := int64(2); version < 5; version++ {
			plan.SetTurn(&fleetv1.Turn{Place: 17, Interval: durationpb.New(interval)})
			plan.AddWeights(weightsOf(version))
			time.Sleep(1200 * time.Millisecond)
			plan.Observe(report(1, 0, 1))
		}
		swap, _ := waitForOrder(plan, report(1, 0, 1))
		g.Expect(swap.GetWeights().GetVersion()).To(Equal(int64(4)), "older versions are skipped")
		g.Expect(time.Since(start)).To(BeNumerically("<", 4500*time.Millisecond))
	})
}

// An up-to-date engine gets a new turn for new weights: with its previous turn it would
// load at once, and so would all others.
func TestUpToDateEngineGetsNewTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		plan := planWithTurn(17)
		plan.AddWeights(weightsOf(2))
		plan.Observe(report(2, 1, 1))
		time.Sleep(10 * time.Second)
		plan.AddWeights(weightsOf(3))
		_, took := waitForOrder(plan, report(2, 1, 1))
		g.Expect(took).To(BeNumerically(">", 3*time.Second))
	})
}

// Weights are published while the engine loads the previous ones. Its turn is used up:
// with it the engine would load again at once, as would all that load now, beside those
// whose turn it is, and the whole fleet would be unavailable.
func TestLoadingEngineGetsNewTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		plan := planWithTurn(0)
		plan.AddWeights(weightsOf(2))
		waitForOrder(plan, report(1, 0, 0))
		plan.Observe(loadingReport(1))
		plan.SetTurn(turn(17))
		plan.AddWeights(weightsOf(3))
		time.Sleep(time.Second)
		_, took := waitForOrder(plan, report(2, 1, 0))
		g.Expect(took).To(BeNumerically(">", 2*time.Second))
	})
}

// Loads end sooner or later than expected: the engine's turn follows the queue, unless the
// entry has little recent state of the fleet.
func TestTurnFollowsLiveQueue(t *testing.T) {
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
			plan := planWithTurn(17)
			plan.AddWeights(weightsOf(2))
			plan.Observe(report(1, 0, 1))
			updated := turn(c.place)
			updated.Live = c.live
			plan.SetTurn(updated)
			_, took := waitForOrder(plan, report(1, 0, 1))
			g.Expect(took).To(BeNumerically(">=", c.least))
			g.Expect(took).To(BeNumerically("<=", c.most))
		})
	}
}

// While enough engines load, one whose turn has come waits, but not forever, and no longer
// once entries stop reporting it.
func TestEngineWaitsWhileEnoughLoad(t *testing.T) {
	for _, fullFor := range []time.Duration{time.Second, time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			plan := planWithTurn(0)
			plan.AddWeights(weightsOf(2))
			plan.SetTurn(fullTurn(0))
			start := time.Now()
			r := report(1, 0, 1)
			for plan.Next(r) == nil {
				plan.Observe(r)
				if time.Since(start) < fullFor {
					plan.SetTurn(fullTurn(0))
				}
				time.Sleep(10 * time.Millisecond)
			}
			took := time.Since(start)
			g.Expect(took).To(BeNumerically(">=", min(fullFor, gracePeriod/2)))
			g.Expect(took).To(BeNumerically("<", gracePeriod*3/4))
		})
	}
}

// startTimes returns when each engine of a queue starts while enough others load.
func startTimes(t *testing.T, queue int) []time.Duration {
	started := make([]time.Duration, queue)
	fullTurnAt := func(place int) *fleetv1.Turn {
		turn := fullTurn(uint32(place))
		turn.Queue = uint32(queue)
		return turn
	}
	synctest.Test(t, func(*testing.T) {
		var plans []*mtrollout.Plan
		for place := range queue {
			plan := mtrollout.New(gracePeriod)
			plan.SetTurn(fullTurnAt(place))
			plan.AddWeights(weightsOf(2))
			plans = append(plans, plan)
		}
		start := time.Now()
		for range 1000 {
			for place, plan := range plans {
				plan.SetTurn(fullTurnAt(place))
				plan.Observe(report(1, 0, 1))
				if started[place] == 0 && plan.Ordering(report(1, 0, 1)) {
					started[place] = time.Since(start)
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
	})
	return started
}

// Guards against engines that load together once their deferral is over.
func TestDeferredEnginesStartInOrder(t *testing.T) {
	g := NewWithT(t)
	started := startTimes(t, 3)
	g.Expect(started).NotTo(ContainElement(time.Duration(0)))
	for place := range 2 {
		g.Expect(started[place+1] - started[place]).To(BeNumerically("~", interval, 20*time.Millisecond))
	}
}

// Guards against a long queue whose end loads all at once when deferral is over.
func TestLongQueueIsDeferredInOrder(t *testing.T) {
	const queue = 20
	g := NewWithT(t)
	started := startTimes(t, queue)
	g.Expect(started).NotTo(ContainElement(time.Duration(0)))
	for place := range queue - 1 {
		g.Expect(started[place+1]-started[place]).To(BeNumerically(">=", 50*time.Millisecond), "place %d", place)
	}
	g.Expect(started[queue-1]).To(BeNumerically("<", gracePeriod*3/4))
}

// Guards against a queue that no entry sees advance, and whose end loads all at once.
func TestQueueThatIsNotLiveStartsInOrder(t *testing.T) {
	const queue = 60
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var last time.Duration
		for place := range uint32(queue) {
			plan := mtrollout.New(gracePeriod)
			notLive := turn(place)
			notLive.Live, notLive.Queue = false, queue
			plan.SetTurn(notLive)
			plan.AddWeights(weightsOf(2))
			wait := plan.UntilDue(report(1, 0, 0))
			if place > 0 {
				g.Expect(wait-last).To(BeNumerically(">=", 50*time.Millisecond), "place %d", place)
			}
			last = wait
		}
		g.Expect(last).To(BeNumerically("<=", gracePeriod/2))
	})
}

// An idle engine is ordered to load at once in its turn, one with runs a little later, so
// that most runs end before their weights change.
func TestRunsGetTimeToEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		idle, busy := planWithTurn(0), planWithTurn(0)
		idle.AddWeights(weightsOf(2))
		busy.AddWeights(weightsOf(2))
		g.Expect(idle.Ordering(report(1, 0, 0))).To(BeTrue())
		_, first := waitForOrder(idle, report(1, 0, 0))
		_, second := waitForOrder(busy, report(1, 0, 2))
		g.Expect(first).To(BeNumerically("<", 100*time.Millisecond))
		g.Expect(second).To(BeNumerically(">", 250*time.Millisecond))
	})
}

// The plan reports how long loads took, so that the queue's pace can follow from them. It
// reports no duration for a load whose start it has not observed.
func TestLoadDurationsAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		seen, restarted := planWithTurn(0), planWithTurn(0)
		seen.Observe(report(1, 0, 0))
		for _, plan := range []*mtrollout.Plan{seen, restarted} {
			plan.Observe(loadingReport(1))
		}
		time.Sleep(1100 * time.Millisecond)
		for _, plan := range []*mtrollout.Plan{seen, restarted} {
			plan.Observe(report(2, 1, 0))
		}
		time.Sleep(time.Second)
		g.Expect(seen.Load().GetTook().AsDuration()).To(Equal(1100 * time.Millisecond))
		g.Expect(seen.Load().GetBegun().AsDuration()).To(Equal(2100 * time.Millisecond))
		g.Expect(seen.Load().GetEnded().AsDuration()).To(Equal(time.Second))
		g.Expect(restarted.Load().GetTook()).To(BeNil())
	})
}

// An order without an answer is repeated with the number of orders that the engine reports,
// so that only one of the two can be carried out.
func TestUnansweredOrderIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		plan := planWithTurn(0)
		plan.AddWeights(weightsOf(2))
		first, _ := waitForOrder(plan, report(1, 4, 0))
		again, took := waitForOrder(plan, report(1, 4, 0))
		g.Expect(first.GetExpected()).To(Equal(int64(4)))
		g.Expect(again.GetExpected()).To(Equal(int64(4)))
		g.Expect(again.GetFence()).To(Equal(first.GetFence()))
		g.Expect(took).To(BeNumerically(">=", 500*time.Millisecond))
		g.Expect(plan.Next(loadingReport(5))).To(BeNil())
		g.Expect(plan.Ordering(loadingReport(5))).To(BeTrue())
		plan.Observe(report(2, 5, 0))
		g.Expect(plan.Next(report(2, 5, 0))).To(BeNil())
		g.Expect(plan.Ordering(report(2, 5, 0))).To(BeFalse())
		g.Expect(plan.UntilDue(report(2, 5, 0))).To(BeNumerically("<", 0))
	})
}

// Guards against an engine that crashes during its load, comes back with its previous
// weights after newer ones were published, and waits for a new turn: requests would
// begin on weights that were replaced longer ago than the grace period.
func TestEngineCrashedDuringLoadMeetsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		plan := planWithTurn(0)
		start := time.Now()
		plan.AddWeights(weightsOf(2))
		waitForOrder(plan, report(1, 0, 0))
		plan.Observe(loadingReport(1))
		time.Sleep(4 * time.Second)
		plan.AddWeights(weightsOf(3))
		plan.SetTurn(turn(17))
		time.Sleep(time.Second)
		waitForOrder(plan, report(1, 0, 0))
		g.Expect(time.Since(start)).To(BeNumerically("<", gracePeriod*3/4+400*time.Millisecond))
	})
}

// The same without a turn from a live entry in between.
func TestEngineCrashedDuringLoadKeepsItsTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		plan := planWithTurn(0)
		plan.AddWeights(weightsOf(2))
		waitForOrder(plan, report(1, 0, 0))
		plan.Observe(loadingReport(1))
		plan.SetTurn(&fleetv1.Turn{Place: 17, Interval: durationpb.New(interval)})
		plan.AddWeights(weightsOf(3))
		time.Sleep(time.Second)
		_, took := waitForOrder(plan, report(1, 0, 0))
		g.Expect(took).To(BeNumerically("<", 100*time.Millisecond))
	})
}

// Guards against a restarted sidecar that first learns of weights from an entry that
// does not know their age, then learns the age, and yet keeps a turn after the grace
// period.
func TestLaterAgeAdvancesTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		plan := mtrollout.New(gracePeriod)
		plan.Observe(report(1, 0, 0))
		far := turn(20)
		far.Live = false
		plan.SetTurn(far)
		weights := weightsOf(2)
		plan.AddWeights(mtnaming.FromListing(weights))
		weights.Ages = []*fleetv1.Age{{Version: 2, Age: durationpb.New(6 * time.Second), Certain: true}}
		plan.SetTurn(far)
		plan.AddWeights(weights)
		_, took := waitForOrder(plan, report(1, 0, 0))
		g.Expect(took).To(BeNumerically("<", 2*time.Second))
	})
}

// Failure: weights of one model are published before those of another, the engine is ordered to load
// the later ones first, and the order for the others bears a lower fencing token.
func TestFencingTokensOfAllModelsAreInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		models := []string{"a", "b", "c"}
		versions := map[string]int64{"a": 1, "b": 1, "c": 1}
		said := func(orders int64) *fleetv1.Report {
			r := &fleetv1.Report{Orders: orders}
			for _, model := range models {
				r.Models = append(r.Models, &fleetv1.Weights{Model: model, Version: versions[model]})
			}
			return r
		}
		published := map[string]int64{"c": 11, "b": 12, "a": 13}
		restart := func() *mtrollout.Plan {
			plan := planWithTurn(0)
			for _, model := range models {
				plan.AddWeights(&fleetv1.Weights{Model: model, Version: 2, Revision: published[model]})
			}
			return plan
		}
		plan := restart()
		var last int64
		for orders := range int64(len(models)) {
			swap, _ := waitForOrder(plan, said(orders))
			g.Expect(swap.GetFence()).To(BeNumerically(">=", last))
			last = swap.GetFence()
			versions[swap.GetWeights().GetModel()] = 2
			if orders == 1 {
				plan = restart()
			}
		}
		g.Expect(versions).To(HaveEach(int64(2)))
	})
}

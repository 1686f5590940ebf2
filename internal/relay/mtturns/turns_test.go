package mtturns_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/types/known/durationpb"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/relay/mtturns"
)

const (
	gracePeriod = 12 * time.Second
	lead        = 400 * time.Millisecond
)

// loadReport returns a sidecar's report of a load with the given times before now.
func loadReport(begun, ended, took, least time.Duration) *fleetv1.Load {
	return &fleetv1.Load{
		Begun: durationpb.New(begun), Ended: durationpb.New(ended),
		Took: durationpb.New(took), Least: durationpb.New(least),
	}
}

func id(i int) string { return fmt.Sprintf("e%02d", i) }

func hashByID(id string) uint64 { return uint64(id[1])<<8 | uint64(id[2]) }

// queueAfterRollout returns the queue of engines that have loaded in order, atOnce of them
// at a time.
func queueAfterRollout(engines, atOnce int, took, least time.Duration) *mtturns.Turns {
	t := mtturns.New(gracePeriod, time.Minute, lead, 0)
	for i := range engines {
		ended := time.Duration(engines-i) * took / time.Duration(atOnce)
		t.Put(id(i), true, false, loadReport(ended+took+lead, ended, took, least), 0)
	}
	t.Arrange(hashByID)
	return t
}

// With six loads at once each takes twice the shortest observed time: the engines share
// bandwidth that is enough for three. Six at once would keep six engines from serving and
// finish no sooner.
func TestSlowedLoadsLimitConcurrency(t *testing.T) {
	g := NewWithT(t)
	turns := queueAfterRollout(18, 6, 2200*time.Millisecond, 1100*time.Millisecond)
	g.Expect(turns.Concurrency()).To(Equal(3))
	g.Expect(turns.LoadTime()).To(Equal(1100 * time.Millisecond))
	g.Expect(turns.Of(id(5)).GetInterval().AsDuration()).To(BeNumerically("~", 367*time.Millisecond, time.Millisecond))
}

// Loads that were not slowed down must not reduce the concurrency.
func TestLoadsWithoutSlowdownKeepConcurrency(t *testing.T) {
	NewWithT(t).Expect(queueAfterRollout(18, 3, 550*time.Millisecond, 550*time.Millisecond).Concurrency()).To(Equal(3))
}

// Guards against a queue that waits behind first loads that take longer than the default load
// time.
func TestLoadsInProgressSetLoadTime(t *testing.T) {
	g := NewWithT(t)
	turns := mtturns.New(gracePeriod, 2*time.Second, lead, 0)
	for i := range 24 {
		switch i {
		case 0:
			turns.Put(id(i), false, true, &fleetv1.Load{Begun: durationpb.New(time.Hour)}, 0)
		case 1, 2:
			turns.Put(id(i), false, true, &fleetv1.Load{Begun: durationpb.New(2 * time.Second)}, 0)
		default:
			turns.Put(id(i), true, false, &fleetv1.Load{}, 0)
		}
	}
	turns.Arrange(hashByID)
	g.Expect(turns.LoadTime()).To(Equal(1600 * time.Millisecond))
	g.Expect(turns.Concurrency()).To(Equal(6))
}

// Guards against engines that are deferred again and again by an entry whose heartbeats are
// too rare for it to see the queue advance.
func TestOutdatedStateIsNotLive(t *testing.T) {
	for age, live := range map[time.Duration]bool{0: true, gracePeriod / 2: true, gracePeriod * 5 / 8: false, time.Minute: false} {
		turns := mtturns.New(gracePeriod, 0, lead, 0)
		for i := range 24 {
			turns.Put(id(i), true, false, &fleetv1.Load{}, age)
		}
		turns.Arrange(hashByID)
		turn := turns.Of(id(3))
		NewWithT(t).Expect(turn.GetLive()).To(Equal(live), "%v", age)
		NewWithT(t).Expect(turn.GetPlace()).To(Equal(uint32(3)))
		NewWithT(t).Expect(turn.GetQueue()).To(Equal(uint32(24)))
	}
}

// Reported load times of a millisecond, of an hour and below zero must not affect the pace
// set by the other loads.
func TestOutlierLoadTimesAreIgnored(t *testing.T) {
	g := NewWithT(t)
	turns := mtturns.New(gracePeriod, time.Minute, lead, 0)
	for i := range 18 {
		took := 1100 * time.Millisecond
		switch i {
		case 3:
			took = time.Millisecond
		case 4:
			took = time.Hour
		case 5:
			took = -time.Second
		}
		turns.Put(id(i), true, false, loadReport(time.Duration(40-i)*time.Second, time.Duration(38-i)*time.Second, took, took), 0)
	}
	turns.Arrange(hashByID)
	g.Expect(turns.LoadTime()).To(Equal(1100 * time.Millisecond))
	g.Expect(turns.Concurrency()).To(Equal(3))
}

// Weights are published while some engines still wait for the previous ones. These come
// first and those that have just loaded come last, so that none is deferred forever and
// none loads twice while others have not loaded.
func TestLongestWaitingEngineIsFirst(t *testing.T) {
	g := NewWithT(t)
	turns := mtturns.New(gracePeriod, time.Second, lead, 0)
	turns.Put(id(0), true, false, loadReport(3*time.Second, time.Second, time.Second, time.Second), 0)
	turns.Put(id(1), true, false, &fleetv1.Load{}, 0)
	turns.Put(id(2), true, true, &fleetv1.Load{Begun: durationpb.New(200 * time.Millisecond)}, 0)
	turns.Put(id(3), true, false, loadReport(9*time.Second, 8*time.Second, time.Second, time.Second), 0)
	turns.Arrange(hashByID)
	places := map[string]uint32{}
	for i := range 4 {
		places[id(i)] = turns.Of(id(i)).GetPlace()
	}
	g.Expect(places).To(Equal(map[string]uint32{id(1): 0, id(3): 1, id(0): 2, id(2): 3}))
	g.Expect(turns.Of(id(1)).GetHead().AsDuration()).To(BeNumerically(">", 0), "a load has just started")
}

// Queues with no recent state of their engines, with too many engines unavailable, and with
// the same after the deadline.
func TestLiveAndFullFlags(t *testing.T) {
	g := NewWithT(t)
	uninformed := mtturns.New(gracePeriod, time.Second, lead, 0)
	full := mtturns.New(gracePeriod, time.Second, lead, 0)
	overdue := mtturns.New(gracePeriod, 11*time.Second, lead, 0)
	for i := range 18 {
		uninformed.Put(id(i), true, false, nil, 0)
		full.Put(id(i), true, i < 8, &fleetv1.Load{}, 0)
		overdue.Put(id(i), true, i < 8, &fleetv1.Load{}, 0)
	}
	for _, turns := range []*mtturns.Turns{uninformed, full, overdue} {
		turns.Arrange(hashByID)
	}
	g.Expect(uninformed.Of(id(9)).GetLive()).To(BeFalse())
	g.Expect(full.Of(id(9)).GetLive()).To(BeTrue())
	g.Expect(full.Of(id(9)).GetFull()).To(BeTrue())
	g.Expect(overdue.Of(id(9)).GetFull()).To(BeFalse(), "the time for older weights is nearly over")
}

// A rollout to 300 engines whose loads take half a second takes no longer than one to 18.
func TestRolloutTimeDoesNotGrowWithFleet(t *testing.T) {
	for _, engines := range []int{18, 45, 300, 2700} {
		turns := queueAfterRollout(engines, engines/6, 550*time.Millisecond, 550*time.Millisecond)
		last := time.Duration(engines-1) * turns.Of(id(0)).GetInterval().AsDuration()
		NewWithT(t).Expect(last).To(BeNumerically("<", 4*time.Second), fmt.Sprint(engines))
	}
}

// The last turn is within the grace period for any fleet size.
func TestLastTurnIsWithinTimeAllowed(t *testing.T) {
	for _, engines := range []int{1, 3, 9, 18, 45, 300, 2700} {
		turns := mtturns.New(8*time.Second, 0, lead, 0)
		for i := range engines {
			turns.Put(fmt.Sprintf("e%04d", i), true, false, nil, 0)
		}
		turns.Arrange(hashByID)
		last := time.Duration(engines-1) * turns.Of("e0000").GetInterval().AsDuration()
		NewWithT(t).Expect(last).To(BeNumerically("<", 6*time.Second), fmt.Sprint(engines))
	}
}

// Answers last for half a minute: if engines waited as long for their runs to end, no time
// would be left for the loads, and all 18 would load at once.
func TestLongAnswersLeaveTimeForLoads(t *testing.T) {
	for _, gracePeriod := range []time.Duration{3 * time.Second, 8 * time.Second, 12 * time.Second} {
		g := NewWithT(t)
		turns := mtturns.New(gracePeriod, 0, 30*time.Second, 0)
		for i := range 18 {
			ended := time.Duration(60-i) * time.Second
			turns.Put(id(i), true, false, loadReport(ended+time.Second, ended, 300*time.Millisecond, 300*time.Millisecond), 0)
		}
		turns.Arrange(hashByID)
		g.Expect(turns.Concurrency()).To(BeNumerically("<=", 6), gracePeriod.String())
		g.Expect(turns.Of(id(0)).GetLead().AsDuration()).To(BeNumerically("<=", gracePeriod/6))
	}
}

func ExampleTurns() {
	turns := mtturns.New(8*time.Second, 0, 400*time.Millisecond, 0)
	for i := range 18 {
		turns.Put(id(i), true, false, &fleetv1.Load{}, 0)
	}
	turns.Arrange(hashByID)
	fmt.Println(turns.Concurrency(), "at once,", turns.LoadTime(), "each")
	// Output: 4 at once, 1s each
}

func BenchmarkArrange(b *testing.B) {
	for _, engines := range []int{18, 45, 2700} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				queueAfterRollout(engines, max(1, engines/6), time.Second, time.Second)
			}
		})
	}
}

package mtnaming_test

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/types/known/durationpb"
	"pgregory.net/rapid"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/placement/mtnaming"
)

const gracePeriod = 8 * time.Second

func weights(version int64, ages ...*fleetv1.Age) *fleetv1.Weights {
	return &fleetv1.Weights{Model: "m", Version: version, Revision: 10 * version, Ages: ages}
}

func age(version int64, of time.Duration, certain bool) *fleetv1.Age {
	return &fleetv1.Age{Version: version, Age: durationpb.New(of), Certain: certain}
}

// Failure: a restarted process counts ages from its own start.
func TestRestartedProcessMergesAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		old := mtnaming.New(gracePeriod)
		g.Expect(old.Merge(weights(2))).To(BeTrue())
		time.Sleep(5 * time.Second)
		fresh := mtnaming.New(gracePeriod)
		g.Expect(fresh.Merge(mtnaming.FromListing(weights(2)))).To(BeTrue())
		g.Expect(fresh.Merge(old.Snapshot())).To(BeFalse())
		time.Sleep(time.Second)
		g.Expect(fresh.OutdatedFor(1)).To(Equal(6 * time.Second))
		g.Expect(fresh.OutdatedFor(2)).To(BeZero())
		g.Expect(fresh.Age()).To(Equal(6 * time.Second))
	})
}

// Failure: a restarted process knows only the later of two publications, and weights whose grace
// period ran out after the earlier one may be used again.
func TestRestartedProcessMergesEarlierPublication(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		old := mtnaming.New(gracePeriod)
		old.Merge(weights(2))
		time.Sleep(6 * time.Second)
		old.Merge(weights(3))
		time.Sleep(time.Second)
		fresh := mtnaming.New(gracePeriod)
		fresh.Merge(mtnaming.FromListing(weights(3)))
		fresh.Merge(old.Snapshot())
		g.Expect(fresh.OutdatedFor(1)).To(Equal(7 * time.Second))
		g.Expect(fresh.OutdatedFor(2)).To(Equal(time.Second))
	})
}

// Failure: a publication that no process observed counts as recent, or the increment for such a
// publication is passed on and grows with each process.
func TestUnobservedPublicationCountsAsOlder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		first, second := mtnaming.New(gracePeriod), mtnaming.New(gracePeriod)
		first.Merge(mtnaming.FromListing(weights(2)))
		second.Merge(first.Snapshot())
		first.Merge(second.Snapshot())
		for _, n := range []*mtnaming.Naming{first, second} {
			g.Expect(n.OutdatedFor(1)).To(Equal(2 * time.Second))
			g.Expect(n.Uncertain(1)).To(BeTrue())
			g.Expect(n.Uncertain(2)).To(BeFalse())
			n.Merge(weights(2, age(2, time.Second, true)))
			g.Expect(n.Uncertain(1)).To(BeFalse())
			g.Expect(n.OutdatedFor(1)).To(Equal(time.Second))
		}
	})
}

// Failure: a process was suspended while weights were published and takes them for just published.
// Its report makes an uncertain but greater age of other processes count as certain.
func TestLateObserverDoesNotMakeAgeCertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		late, other := mtnaming.New(gracePeriod), mtnaming.New(gracePeriod)
		late.Merge(weights(2))
		other.Merge(weights(2, age(2, 4*time.Second, false)))
		other.Merge(late.Snapshot())
		late.Merge(other.Snapshot())
		for _, n := range []*mtnaming.Naming{late, other} {
			g.Expect(n.OutdatedFor(1)).To(Equal(6 * time.Second))
			n.Merge(weights(2, age(2, 5*time.Second, true)))
			g.Expect(n.OutdatedFor(1)).To(Equal(5 * time.Second))
		}
	})
}

// Failure: an age out of range makes a publication look recent and is passed on indefinitely.
func TestAgeOutOfRangeIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		for _, certain := range []bool{false, true} {
			n := mtnaming.New(gracePeriod)
			n.Merge(weights(2, age(2, math.MaxInt64, certain)))
			time.Sleep(time.Second)
			g.Expect(n.OutdatedFor(1)).To(BeNumerically(">", gracePeriod))
			g.Expect(n.Snapshot().GetAges()[0].GetAge().AsDuration()).To(BeNumerically("<", 24*time.Hour))
		}
	})
}

// Failure: the age of a version that was never published makes the newest weights, and so every
// target, count as outdated.
func TestAgeOfUnpublishedVersionIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		n := mtnaming.New(gracePeriod)
		n.Merge(weights(2, age(2, time.Second, true), age(9, time.Minute, true)))
		g.Expect(n.OutdatedFor(2)).To(BeZero())
		g.Expect(n.OutdatedFor(1)).To(Equal(time.Second))
	})
}

// Failure: versions that no longer matter fill up datagrams.
func TestSnapshotHasOnlyRelevantVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		n := mtnaming.New(gracePeriod)
		for version := int64(1); version <= 40; version++ {
			n.Merge(weights(version))
			time.Sleep(3 * time.Second)
		}
		g.Expect(n.Snapshot().GetAges()).To(HaveLen(4))
		g.Expect(n.OutdatedFor(1)).To(BeNumerically(">", gracePeriod))
		g.Expect(n.OutdatedFor(39)).To(Equal(3 * time.Second))
	})
}

// Failure: an age exchanged among processes that restart exceeds the true age, or a report of
// another process lowers the age that a process knows.
func TestAgeIsAnIncreasingLowerBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, processes*(processes+1)-1), 1, 60).Draw(rt, "steps")
		synctest.Test(t, func(*testing.T) {
			if failure := exchange(steps); failure != "" {
				rt.Fatal(failure)
			}
		})
	})
}

// processes is the number of processes that exchange ages.
const processes = 3

// exchange runs the steps: in each, one process merges the snapshot of another, or a process
// restarts. Only the first process observes the publication itself. It returns the first failure or
// "".
func exchange(steps []int) (failure string) {
	g := NewGomega(func(message string, _ ...int) { failure = message })
	published := time.Now()
	fleet := make([]*mtnaming.Naming, processes)
	for i := range fleet {
		fleet[i] = mtnaming.New(gracePeriod)
	}
	fleet[0].Merge(weights(1))
	for _, step := range steps {
		time.Sleep(100 * time.Millisecond)
		from, to := step%processes, step/processes
		if to == processes {
			fleet[from] = mtnaming.New(gracePeriod)
			continue
		}
		before := fleet[to].Age()
		if snapshot := fleet[from].Snapshot(); snapshot != nil {
			fleet[to].Merge(snapshot)
		}
		g.Expect(fleet[to].Age()).To(BeNumerically(">=", before))
		g.Expect(fleet[to].Age()).To(BeElementOf(time.Duration(0), time.Since(published)))
	}
	return failure
}

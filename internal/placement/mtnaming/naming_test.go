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

const allowed = 8 * time.Second

func weights(version int64, ages ...*fleetv1.Age) *fleetv1.Weights {
	return &fleetv1.Weights{Model: "m", Version: version, Revision: 10 * version, Ages: ages}
}

func age(version int64, of time.Duration, certain bool) *fleetv1.Age {
	return &fleetv1.Age{Version: version, Age: durationpb.New(of), Certain: certain}
}

// Failure: a process that restarts counts from its own start.
func TestAgeIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		old := mtnaming.New(allowed)
		g.Expect(old.Merge(weights(2))).To(BeTrue())
		time.Sleep(5 * time.Second)
		fresh := mtnaming.New(allowed)
		g.Expect(fresh.Merge(mtnaming.Listed(weights(2)))).To(BeTrue())
		g.Expect(fresh.Merge(old.Snapshot())).To(BeFalse())
		time.Sleep(time.Second)
		g.Expect(fresh.Behind(1)).To(Equal(6 * time.Second))
		g.Expect(fresh.Behind(2)).To(BeZero())
		g.Expect(fresh.Age()).To(Equal(6 * time.Second))
	})
}

// Failure: of two namings only the last is known, and what ran out with the first is
// allowed anew.
func TestEarlierNamingIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		old := mtnaming.New(allowed)
		old.Merge(weights(2))
		time.Sleep(6 * time.Second)
		old.Merge(weights(3))
		time.Sleep(time.Second)
		fresh := mtnaming.New(allowed)
		fresh.Merge(mtnaming.Listed(weights(3)))
		fresh.Merge(old.Snapshot())
		g.Expect(fresh.Behind(1)).To(Equal(7 * time.Second))
		g.Expect(fresh.Behind(2)).To(Equal(time.Second))
	})
}

// Failure: a naming that nobody saw is taken for new, or the guess at its age is passed
// on and makes it older at each process.
func TestUnseenNamingIsTakenForOlder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		first, second := mtnaming.New(allowed), mtnaming.New(allowed)
		first.Merge(mtnaming.Listed(weights(2)))
		second.Merge(first.Snapshot())
		first.Merge(second.Snapshot())
		for _, n := range []*mtnaming.Naming{first, second} {
			g.Expect(n.Behind(1)).To(Equal(2 * time.Second))
			g.Expect(n.Uncertain(1)).To(BeTrue())
			g.Expect(n.Uncertain(2)).To(BeFalse())
			n.Merge(weights(2, age(2, time.Second, true)))
			g.Expect(n.Uncertain(1)).To(BeFalse())
			g.Expect(n.Behind(1)).To(Equal(time.Second))
		}
	})
}

// Failure: a process that stood still as weights were named hears of them late and takes
// them for new; its word ends the others' doubt of an age that is greater than its own.
func TestLateWitnessEndsNoDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		late, other := mtnaming.New(allowed), mtnaming.New(allowed)
		late.Merge(weights(2))
		other.Merge(weights(2, age(2, 4*time.Second, false)))
		other.Merge(late.Snapshot())
		late.Merge(other.Snapshot())
		for _, n := range []*mtnaming.Naming{late, other} {
			g.Expect(n.Behind(1)).To(Equal(6 * time.Second))
			n.Merge(weights(2, age(2, 5*time.Second, true)))
			g.Expect(n.Behind(1)).To(Equal(5 * time.Second))
		}
	})
}

// Failure: an age that no naming can have makes it new, and is passed on for ever.
func TestNonsensicalAgeMakesNoNamingYoung(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		for _, certain := range []bool{false, true} {
			n := mtnaming.New(allowed)
			n.Merge(weights(2, age(2, math.MaxInt64, certain)))
			time.Sleep(time.Second)
			g.Expect(n.Behind(1)).To(BeNumerically(">", allowed))
			g.Expect(n.Snapshot().GetAges()[0].GetAge().AsDuration()).To(BeNumerically("<", 24*time.Hour))
		}
	})
}

// Failure: an age of a version that was never named makes the newest weights outdated, and
// with them every target.
func TestAgeOfAnUnnamedVersionOutdatesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		n := mtnaming.New(allowed)
		n.Merge(weights(2, age(2, time.Second, true), age(9, time.Minute, true)))
		g.Expect(n.Behind(2)).To(BeZero())
		g.Expect(n.Behind(1)).To(Equal(time.Second))
	})
}

// Failure: versions whose time is over fill datagrams.
func TestVersionsThatMatterAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		n := mtnaming.New(allowed)
		for version := int64(1); version <= 40; version++ {
			n.Merge(weights(version))
			time.Sleep(3 * time.Second)
		}
		g.Expect(n.Snapshot().GetAges()).To(HaveLen(4))
		g.Expect(n.Behind(1)).To(BeNumerically(">", allowed))
		g.Expect(n.Behind(39)).To(Equal(3 * time.Second))
	})
}

// Failure: passed around among processes that restart, an age grows beyond the truth, or
// a process makes its own younger by what another tells.
func TestAgeIsALowerBoundThatGrows(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, processes*(processes+1)-1), 1, 60).Draw(rt, "steps")
		synctest.Test(t, func(*testing.T) {
			if failure := pass(steps); failure != "" {
				rt.Fatal(failure)
			}
		})
	})
}

// processes is how many pass ages to each other.
const processes = 3

// pass lets a process tell another what it knows, or restart, at each step. The first
// heard of the naming itself.
func pass(steps []int) (failure string) {
	g := NewGomega(func(message string, _ ...int) { failure = message })
	named := time.Now()
	fleet := make([]*mtnaming.Naming, processes)
	for i := range fleet {
		fleet[i] = mtnaming.New(allowed)
	}
	fleet[0].Merge(weights(1))
	for _, step := range steps {
		time.Sleep(100 * time.Millisecond)
		from, to := step%processes, step/processes
		if to == processes {
			fleet[from] = mtnaming.New(allowed)
			continue
		}
		before := fleet[to].Age()
		if told := fleet[from].Snapshot(); told != nil {
			fleet[to].Merge(told)
		}
		g.Expect(fleet[to].Age()).To(BeNumerically(">=", before))
		g.Expect(fleet[to].Age()).To(BeElementOf(time.Duration(0), time.Since(named)))
	}
	return failure
}

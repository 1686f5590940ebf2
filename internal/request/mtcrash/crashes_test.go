package mtcrash_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/request/mtcomponent"
	"github.com/mustardtide/mustardtide/internal/request/mtcrash"
)

// sentBefore is how long before each crash the requests were sent.
const sentBefore = 100 * time.Millisecond

func crash(target string, ids ...string) *fleetv1.Crash {
	c := &fleetv1.Crash{Target: target}
	for _, id := range ids {
		name := mtcomponent.Part(id)
		if id[0] == 'w' {
			name = mtcomponent.Whole([]byte(id))
		}
		c.Components = append(c.Components, uint64(name))
		c.Sent = append(c.Sent, uint32(sentBefore.Milliseconds()))
	}
	return c
}

func nobody(mtcomponent.Component) bool { return false }

func nothing(func(mtcomponent.Component) bool) [][]mtcomponent.Component { return nil }

// played adds crashes of requests that follow each other.
func played(sets ...[]string) *mtcrash.Crashes {
	c := mtcrash.New()
	for i, set := range sets {
		time.Sleep(time.Second)
		c.Add(crash(fmt.Sprint("engine-", i), set...))
	}
	settle()
	return c
}

// settle waits until other entries have told of a crash.
func settle() { time.Sleep(100 * time.Millisecond) }

// expect runs a test of the culprits under a paused clock.
func expect(t *testing.T, crashes func() *mtcrash.Crashes, want ...[]string) {
	synctest.Test(t, func(t *testing.T) {
		var sets [][]mtcomponent.Component
		for _, ids := range want {
			var set []mtcomponent.Component
			for _, id := range ids {
				set = append(set, mtcomponent.Part(id))
			}
			sets = append(sets, set)
		}
		c := crashes()
		settle()
		got := c.Culprits(nothing, nobody)
		g := NewWithT(t)
		g.Expect(got).To(HaveLen(len(sets)))
		for _, set := range sets {
			g.Expect(got).To(ContainElement(ConsistOf(set)))
		}
	})
}

// Guards against a part that is not told from its neighbours, or only after more than three
// crashes.
func TestPartAtAllCrashesIsTheCulprit(t *testing.T) {
	expect(t, func() *mtcrash.Crashes {
		return played([]string{"d", "a", "b", "wx"}, []string{"d", "a", "c", "wy"}, []string{"d", "b", "c", "wz"})
	}, []string{"d"})
	expect(t, func() *mtcrash.Crashes { return played([]string{"d", "a"}, []string{"d", "b"}) })
}

// Guards against a sound part that is condemned as it came with the deadly one each time: only
// requests with both are refused, until an answer speaks for it.
func TestPartsThatCannotBeToldApart(t *testing.T) {
	three := [][]string{{"d", "a", "wx"}, {"d", "a", "wy"}, {"d", "a", "wz"}}
	expect(t, func() *mtcrash.Crashes { return played(three...) }, []string{"a", "d"})
	expect(t, func() *mtcrash.Crashes {
		c := played(three...)
		c.Acquit(mtcomponent.Part("a"), time.Now())
		return c
	}, []string{"d"})
}

// Guards against a request that is refused for its parts where it alone was at all crashes.
func TestRepeatedRequestIsTheCulprit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := played([]string{"a", "b", "wx"}, []string{"a", "b", "wx"}, []string{"a", "b", "wx", "wy"})
		NewWithT(t).Expect(c.Culprits(nothing, nobody)).To(Equal([][]mtcomponent.Component{{mtcomponent.Whole([]byte("wx"))}}))
	})
}

// Guards against parts that are condemned as many targets fail at the same time: a rack, the
// power of a data centre.
func TestTargetsThatFailTogetherCountOnce(t *testing.T) {
	expect(t, func() *mtcrash.Crashes {
		c := mtcrash.New()
		for i := range 30 {
			c.Add(crash(fmt.Sprint("engine-", i), "a", "b"))
			time.Sleep(sentBefore / 100)
		}
		return c
	})
}

// Guards against crashes that count against a part which is answered between them.
func TestAnswerClearsEarlierCrashes(t *testing.T) {
	expect(t, func() *mtcrash.Crashes {
		c := played([]string{"a"}, []string{"a"})
		c.Acquit(mtcomponent.Part("a"), time.Now())
		time.Sleep(mtcrash.AcquittalTime)
		c.Add(crash("engine-8", "a"))
		time.Sleep(time.Second)
		c.Add(crash("engine-9", "a"))
		return c
	})
}

// Guards against connections that are reset, while their targets live, and count as crashes.
func TestTargetThatAnswersHasNotCrashed(t *testing.T) {
	expect(t, func() *mtcrash.Crashes {
		c := mtcrash.New()
		for i := range 5 {
			c.Add(crash(fmt.Sprint("engine-", i), "a"))
			time.Sleep(sentBefore)
			c.Answered(fmt.Sprint("engine-", i), 0, time.Now().Add(-sentBefore/2))
			time.Sleep(time.Second)
		}
		return c
	})
	expect(t, func() *mtcrash.Crashes {
		c := mtcrash.New()
		for i := range 3 {
			c.Add(crash(fmt.Sprint("engine-", i), "a"))
			time.Sleep(sentBefore)
			c.Answered(fmt.Sprint("engine-", i), 0, time.Now().Add(-2*sentBefore))
			time.Sleep(3 * time.Second)
			c.Answered(fmt.Sprint("engine-", i), 0, time.Now().Add(-sentBefore))
		}
		return c
	}, []string{"a"})
}

// Guards against one crash that counts as several, as entries know different starts of the
// target, and against several that count as one.
func TestStartsOfATarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := mtcrash.New()
		for _, born := range []int64{0, 5, 0, 5} {
			time.Sleep(time.Second)
			one := crash("engine-1", "a")
			one.Born = born
			c.Add(one)
		}
		g.Expect(c.Len()).To(Equal(1))
		for born := range int64(3) {
			time.Sleep(time.Second)
			one := crash("engine-2", "a")
			one.Born = born + 1
			c.Add(one)
		}
		settle()
		g.Expect(c.Len()).To(Equal(4))
		g.Expect(c.Culprits(nothing, nobody)).To(HaveLen(1))
	})
}

// Guards against a culprit whose ban has lapsed and that needs three crashes anew.
func TestConvictedPartNeedsOneCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := played([]string{"a", "d"})
		convicted := func(name mtcomponent.Component) bool { return name == mtcomponent.Part("d") }
		g.Expect(c.Culprits(nothing, convicted)).To(Equal([][]mtcomponent.Component{{mtcomponent.Part("d")}}))
	})
}

// Guards against a neighbour that is condemned for crashes whose culprit is known.
func TestExplainedCrashesCondemnNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := played([]string{"a", "d"}, []string{"a", "d"}, []string{"a"}, []string{"a"}, []string{"a", "d"})
		known := func(has func(mtcomponent.Component) bool) [][]mtcomponent.Component {
			if d := mtcomponent.Part("d"); has(d) {
				return [][]mtcomponent.Component{{d}}
			}
			return nil
		}
		NewWithT(t).Expect(c.Culprits(known, nobody)).To(BeEmpty())
	})
}

// Guards against crashes that fill the memory, and against a culprit that they push out.
func TestCrashesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := played([]string{"d", "a"}, []string{"d", "b"})
		for i := range 400 {
			time.Sleep(time.Second)
			var ids []string
			for j := range 200 {
				ids = append(ids, fmt.Sprintf("b%x", 1000*i+j))
			}
			c.Add(crash(fmt.Sprint("other-", i), ids...))
		}
		g.Expect(c.Len()).To(Equal(128))
		for i := range 5 {
			g.Expect(c.Culprits(nothing, nobody)).To(BeEmpty())
			time.Sleep(time.Second)
			c.Add(crash(fmt.Sprint("last-", i), "d", fmt.Sprintf("c%x", i)))
		}
		settle()
		g.Expect(c.Culprits(nothing, nobody)).To(Equal([][]mtcomponent.Component{{mtcomponent.Part("d")}}))
		time.Sleep(11 * time.Minute)
		c.Expire()
		g.Expect(c.Len()).To(BeZero())
	})
}

// Guards against a part that is condemned as it was at three of many crashes by chance.
func TestChanceCrashesCondemnNothing(t *testing.T) {
	expect(t, func() *mtcrash.Crashes {
		return played([]string{"a"}, []string{"b"}, []string{"c"}, []string{"a", "c"}, []string{"b"}, []string{"a"})
	})
}

// Guards against a neighbour that is condemned alone, as another entry's word of the deadly part
// at the same crash has yet to come.
func TestCrashCountsOnceOthersHaveTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := played([]string{"a", "d"}, []string{"a", "d"})
		time.Sleep(time.Second)
		c.Add(crash("engine-9", "a"))
		g.Expect(c.Culprits(nothing, nobody)).To(BeEmpty())
		g.Expect(c.Settled()).To(BeFalse())
		time.Sleep(20 * time.Millisecond)
		c.Add(crash("engine-9", "d"))
		settle()
		g.Expect(c.Settled()).To(BeTrue())
		g.Expect(c.Culprits(nothing, nobody)).To(HaveExactElements(HaveLen(2)))
	})
}

// Guards against a message whose lists differ in length.
func TestOddCrashIsLeftOut(t *testing.T) {
	g := NewWithT(t)
	c := mtcrash.New()
	g.Expect(c.Add(&fleetv1.Crash{Target: "engine-1", Components: []uint64{1, 2}, Sent: []uint32{1}})).To(BeFalse())
	g.Expect(c.Len()).To(BeZero())
}

// Guards against crashes whose components do not all reach other entries, or not in a bounded
// message.
func TestCrashesReachOtherEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		from, to := mtcrash.New(), mtcrash.New()
		for i := range 6 {
			time.Sleep(500 * time.Millisecond)
			ids := []string{"d"}
			for j := range 80 {
				ids = append(ids, fmt.Sprintf("c%x", 100*i+j))
			}
			from.Add(crash(fmt.Sprint("engine-", i), ids...))
			for range 3 {
				components := 0
				for _, message := range from.Recent() {
					components += len(message.GetComponents())
					to.Add(message)
				}
				g.Expect(components).To(BeNumerically("<=", 56))
			}
		}
		settle()
		g.Expect(to.Len()).To(Equal(6))
		g.Expect(to.Culprits(nothing, nobody)).To(Equal([][]mtcomponent.Component{{mtcomponent.Part("d")}}))
	})
}

// Guards against a store that is written again and again though nothing is new, and crashes that
// are lost with all entries.
func TestStoredCrashesOutlastARestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var all []string
		for i := range 60 {
			all = append(all, fmt.Sprintf("c%x", i))
		}
		c := played(append([]string{"d"}, all...), append([]string{"d"}, all[:30]...))
		stored := c.Stored()
		g.Expect(stored).To(HaveLen(2))
		for range 10 {
			for i, again := range c.Stored() {
				g.Expect(again.GetComponents()).To(Equal(stored[i].GetComponents()))
			}
		}
		started := mtcrash.New()
		for _, one := range stored {
			started.Add(one)
		}
		time.Sleep(time.Second)
		started.Add(crash("engine-9", "d", "e"))
		settle()
		g.Expect(started.Culprits(nothing, nobody)).To(Equal([][]mtcomponent.Component{{mtcomponent.Part("d")}}))
	})
}

// outages adds crashes of several targets within a moment, again and again. The part "a" runs at the
// first of them only.
func outages(times, targets int) *mtcrash.Crashes {
	c := mtcrash.New()
	for i := range times {
		time.Sleep(time.Second)
		for j := range targets {
			ids := []string{fmt.Sprintf("c%x%x", i, j), fmt.Sprint("w", i, "-", j)}
			if j == 0 {
				ids = append(ids, "a")
			}
			c.Add(crash(fmt.Sprint("engine-", i, "-", j), ids...))
			time.Sleep(time.Millisecond)
		}
	}
	settle()
	return c
}

// Failure: all targets of a service crash at once, four times in a row, and a part that ran at one
// of them each time is banned for it.
func TestCrashesOfTargetsWithoutAPartSpeakForIt(t *testing.T) {
	for _, targets := range []int{2, 3, 9, 30} {
		for times := 3; times <= 8; times++ {
			t.Run(fmt.Sprint(targets, " targets ", times, " times"), func(t *testing.T) {
				expect(t, func() *mtcrash.Crashes { return outages(times, targets) })
			})
		}
	}
}

// Failure: as above, and the other targets had no run but those whose responses had begun long
// before, which leave a crash without components.
func TestCrashesWithoutComponentsSpeakForAPart(t *testing.T) {
	expect(t, func() *mtcrash.Crashes {
		from, to := mtcrash.New(), mtcrash.New()
		for i := range 4 {
			time.Sleep(time.Second)
			from.Add(crash(fmt.Sprint("engine-", i), "a"))
			from.Add(crash(fmt.Sprint("other-", i)))
			for _, one := range from.Recent() {
				to.Add(one)
			}
		}
		return to
	})
}

// Guards against a deadly part that is not found as one of its crashes coincides with another one
// by chance.
func TestDeadlyPartBesideChanceCrashes(t *testing.T) {
	expect(t, func() *mtcrash.Crashes {
		c := mtcrash.New()
		for i := range 5 {
			time.Sleep(time.Second)
			c.Add(crash(fmt.Sprint("engine-", i), "d", fmt.Sprintf("c%x", i)))
			if i == 1 {
				c.Add(crash(fmt.Sprint("other-", i), "e"))
			}
		}
		return c
	}, []string{"d"})
}

// Guards against copies of a deadly request that hide its part, as the targets that run them crash
// at nearly the same time, one beside them by chance.
func TestDeadlyPartAtSeveralTargetsAtOnce(t *testing.T) {
	expect(t, func() *mtcrash.Crashes {
		c := mtcrash.New()
		for i := range 5 {
			time.Sleep(time.Second)
			for j := range 3 {
				c.Add(crash(fmt.Sprint("engine-", i, "-", j), "d", fmt.Sprintf("c%x%x", i, j)))
			}
			if i%2 == 1 {
				c.Add(crash(fmt.Sprint("other-", i), "e"))
			}
		}
		return c
	}, []string{"d"})
}

// Guards against two deadly parts that hide each other for good, as they always run at the same
// time at different targets.
func TestTwoDeadlyPartsDoNotHideEachOther(t *testing.T) {
	expect(t, func() *mtcrash.Crashes {
		c := mtcrash.New()
		for i := range 21 {
			time.Sleep(time.Second)
			c.Add(crash(fmt.Sprint("engine-", i), "d", fmt.Sprintf("c%x", i)))
			c.Add(crash(fmt.Sprint("other-", i), "e", fmt.Sprintf("f%x", i)))
		}
		return c
	}, []string{"d"}, []string{"e"})
}

// Failure: targets that crash at the same moment under different requests are told of by other
// entries some milliseconds later, look as if they had crashed one after another, and a part that
// the requests share is banned.
func TestCrashesToldLateAreNotSuccessive(t *testing.T) {
	expect(t, func() *mtcrash.Crashes {
		c := mtcrash.New()
		for i, whole := range []string{"wx", "wy", "wz"} {
			told := crash(fmt.Sprint("engine-", i), "shared", whole)
			told.Sent = []uint32{0, 0}
			c.Add(told)
			time.Sleep(2 * time.Millisecond)
		}
		return c
	})
}

// Guards against a whole request that is never refused, as others crash targets at the same times,
// or as its parts are too many to be refused by.
func TestWholeRequestIsEvidenceOfItsOwn(t *testing.T) {
	parts := func(n int) []string {
		var ids []string
		for i := range n {
			ids = append(ids, fmt.Sprintf("a%x", i))
		}
		return ids
	}
	for name, set := range map[string][]string{
		"two at all crashes":       {"wx", "wy"},
		"as many parts as kept":    append(parts(64), "wx"),
		"more parts than are kept": append(parts(200), "wx"),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := played(set, set, set, set, set)
				settle()
				want := []mtcomponent.Component{mtcomponent.Whole([]byte("wx"))}
				NewWithT(t).Expect(c.Culprits(nothing, nobody)).To(ContainElement(want))
			})
		})
	}
}

// Guards against a ban of the parts that others share, which were recorded, in place of one that was
// not: a set that large is refused only where none of its parts was ever answered.
func TestLargeSetOfAnsweredPartsIsNoCulprit(t *testing.T) {
	for answered, want := range map[bool]int{false: 1, true: 0} {
		synctest.Test(t, func(t *testing.T) {
			var set []string
			for i := range 24 {
				set = append(set, fmt.Sprintf("a%x", i))
			}
			c := mtcrash.New()
			crashes := func(first, number int) {
				for i := range number {
					time.Sleep(time.Second)
					c.Add(crash(fmt.Sprint("engine-", first+i), append(set, fmt.Sprint("w", first+i))...))
				}
			}
			crashes(0, 1)
			if answered {
				for _, id := range set {
					c.Acquit(mtcomponent.Part(id), time.Now())
				}
				time.Sleep(10 * time.Second)
			}
			crashes(1, 5)
			settle()
			NewWithT(t).Expect(c.Culprits(nothing, nobody)).To(HaveLen(want))
		})
	}
}

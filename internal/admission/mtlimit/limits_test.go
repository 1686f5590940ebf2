package mtlimit_test

import (
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtlimit"
)

func named(rate float64) *fleetv1.Answer {
	return &fleetv1.Answer{Sealed: true, Limited: true, Limit: proto.Float64(rate)}
}

// Answers that name no limit, and ones that name one that can't be read.
var (
	none       = &fleetv1.Answer{Sealed: true}
	unreadable = &fleetv1.Answer{Sealed: true, Limited: true}
	refused    = &fleetv1.Answer{Refused: true}
)

func rate(l *mtlimit.Limits, target string) float64 {
	if rate, limited := l.Rate(target); limited {
		return rate
	}
	return math.Inf(1)
}

func bubble(t *testing.T, test func(g Gomega, l *mtlimit.Limits)) {
	synctest.Test(t, func(t *testing.T) { test(NewWithT(t), mtlimit.New()) })
}

// Failure: an answer that was under way when the target named its limit, one that can't be
// read, or a refusal by something before the target ends the limit.
func TestOnlyALaterAnswerEndsALimit(t *testing.T) {
	bubble(t, func(g Gomega, l *mtlimit.Limits) {
		before := time.Now()
		time.Sleep(time.Second)
		g.Expect(l.Hear("a", 0, named(2), before)).To(BeTrue())
		g.Expect(l.Hear("a", 0, none, before)).To(BeFalse())
		time.Sleep(time.Millisecond)
		g.Expect(l.Hear("a", 0, unreadable, time.Now())).To(BeFalse())
		g.Expect(l.Hear("a", 0, refused, time.Now())).To(BeFalse())
		g.Expect(rate(l, "a")).To(Equal(2.0))
		g.Expect(l.Hear("a", 0, none, time.Now())).To(BeTrue())
		g.Expect(rate(l, "a")).To(Equal(math.Inf(1)))
		g.Expect(l.Count()).To(BeZero())
	})
}

// Failure: of two answers that were under way together, the one with the greater limit holds.
func TestLesserLimitHoldsWhereTheOrderIsUnknown(t *testing.T) {
	bubble(t, func(g Gomega, l *mtlimit.Limits) {
		sent := time.Now()
		time.Sleep(time.Second)
		l.Hear("a", 0, named(2), sent)
		l.Hear("a", 0, named(5), sent)
		g.Expect(rate(l, "a")).To(Equal(2.0))
		time.Sleep(time.Millisecond)
		l.Hear("a", 0, named(5), time.Now())
		g.Expect(rate(l, "a")).To(Equal(5.0))
		l.Hear("a", 0, named(0), time.Now())
		g.Expect(rate(l, "a")).To(BeZero())
	})
}

// Failure: a program that is started anew under its id keeps the limit of the one before, or
// late word of that one puts it back.
func TestLaterStartHasNoLimit(t *testing.T) {
	bubble(t, func(g Gomega, l *mtlimit.Limits) {
		l.Hear("a", 0, named(2), time.Now())
		l.Started("a", 100)
		g.Expect(rate(l, "a")).To(Equal(2.0))
		l.Started("a", 100)
		l.Started("a", 0)
		g.Expect(rate(l, "a")).To(Equal(2.0))
		l.Started("a", 200)
		g.Expect(rate(l, "a")).To(Equal(math.Inf(1)))
		time.Sleep(time.Second)
		g.Expect(l.Merge([]*fleetv1.Limit{{Target: "a", Born: 100, Rate: proto.Float64(2)}})).To(BeEmpty())
		g.Expect(rate(l, "a")).To(Equal(math.Inf(1)))
	})
}

// Failure: entries that tell each other of a limit put one back that has ended, or one that
// has not heard of it goes on as before.
func TestNewestWordHolds(t *testing.T) {
	bubble(t, func(g Gomega, l *mtlimit.Limits) {
		other := mtlimit.New()
		l.Hear("a", 7, named(2), time.Now())
		time.Sleep(time.Second)
		g.Expect(other.Merge(l.Recent(4))).To(HaveLen(1))
		g.Expect(rate(other, "a")).To(Equal(2.0))
		other.Hear("a", 7, none, time.Now())
		time.Sleep(5 * time.Second)
		g.Expect(other.Merge(l.Recent(4))).To(BeEmpty())
		g.Expect(rate(other, "a")).To(Equal(math.Inf(1)))
		g.Expect(l.Merge(other.Recent(4))).To(HaveLen(1))
		time.Sleep(time.Second)
		g.Expect(rate(l, "a")).To(Equal(math.Inf(1)))
		g.Expect(l.Merge([]*fleetv1.Limit{{Target: "b", Rate: proto.Float64(math.NaN())}, {Target: "c", Rate: proto.Float64(-1)}, {Target: "d"}})).To(BeEmpty())
	})
}

// Failure: all entries that hear of a limit's end go back to the target at the same moment.
func TestEndIsSpread(t *testing.T) {
	bubble(t, func(g Gomega, _ *mtlimit.Limits) {
		const entries = 200
		var all []*mtlimit.Limits
		for range entries {
			l := mtlimit.New()
			l.Hear("a", 0, named(2), time.Now())
			all = append(all, l)
		}
		time.Sleep(time.Second)
		for _, l := range all {
			l.Merge([]*fleetv1.Limit{{Target: "a", Age: durationpb.New(time.Millisecond)}})
		}
		time.Sleep(500 * time.Millisecond)
		back := 0
		for _, l := range all {
			back += 1 - l.Count()
		}
		g.Expect(back).To(And(BeNumerically(">", entries/4), BeNumerically("<", entries*3/4)))
		time.Sleep(500 * time.Millisecond)
		for _, l := range all {
			g.Expect(l.Count()).To(BeZero())
		}
	})
}

// Failure: limits of targets that are gone fill the memory of a process that runs for weeks,
// or old ones fill what entries tell each other.
func TestOldestLimitIsForgotten(t *testing.T) {
	bubble(t, func(g Gomega, l *mtlimit.Limits) {
		for i := range 9000 {
			l.Hear(fmt.Sprint(i), 1, named(1), time.Now())
			time.Sleep(10 * time.Millisecond)
		}
		g.Expect(l.Count()).To(Equal(8192))
		g.Expect(l.Recent(9000)).To(HaveLen(2000))
		g.Expect(rate(l, "8999")).To(Equal(1.0))
		g.Expect(l.Recent(3)).To(HaveLen(3))
	})
}

// Failure: what others are about to be told of a limit changes while it is sent.
func TestWhatIsToldDoesNotChange(t *testing.T) {
	bubble(t, func(g Gomega, l *mtlimit.Limits) {
		l.Hear("a", 0, named(2), time.Now())
		of, recent := l.Of("a"), l.Recent(1)
		time.Sleep(time.Second)
		l.Hear("a", 0, named(5), time.Now())
		g.Expect(of.GetRate()).To(Equal(2.0))
		g.Expect(recent[0].GetRate()).To(Equal(2.0))
	})
}

// Failure: a limit that has ended is forgotten while others still tell of it, or never.
func TestEndedLimitIsForgottenInTime(t *testing.T) {
	bubble(t, func(g Gomega, l *mtlimit.Limits) {
		l.Hear("a", 0, named(2), time.Now())
		time.Sleep(time.Second)
		l.Hear("a", 0, none, time.Now())
		time.Sleep(40 * time.Second)
		l.Expire()
		g.Expect(l.Of("a")).NotTo(BeNil())
		time.Sleep(21 * time.Second)
		l.Expire()
		g.Expect(l.Of("a")).To(BeNil())
	})
}

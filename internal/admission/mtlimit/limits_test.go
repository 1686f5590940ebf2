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

func answerWithLimit(rate float64) *fleetv1.Answer {
	return &fleetv1.Answer{Sealed: true, Limited: true, Limit: proto.Float64(rate)}
}

// Answers without a usable limit; answerUnreadable names one that cannot be parsed.
var (
	answerWithoutLimit = &fleetv1.Answer{Sealed: true}
	answerUnreadable   = &fleetv1.Answer{Sealed: true, Limited: true}
	answerRefused      = &fleetv1.Answer{Refused: true}
)

func currentRate(l *mtlimit.Limits, target string) float64 {
	if rate, limited := l.Rate(target); limited {
		return rate
	}
	return math.Inf(1)
}

func runTest(t *testing.T, test func(g Gomega, l *mtlimit.Limits)) {
	synctest.Test(t, func(t *testing.T) { test(NewWithT(t), mtlimit.New()) })
}

// Guards against a limit that ends because of an answer to an earlier request, an answer with
// an unreadable limit, or a refusal from something in front of the target.
func TestOnlyALaterAnswerEndsALimit(t *testing.T) {
	runTest(t, func(g Gomega, l *mtlimit.Limits) {
		before := time.Now()
		time.Sleep(time.Second)
		g.Expect(l.RecordAnswer("a", 0, answerWithLimit(2), before)).To(BeTrue())
		g.Expect(l.RecordAnswer("a", 0, answerWithoutLimit, before)).To(BeFalse())
		time.Sleep(time.Millisecond)
		g.Expect(l.RecordAnswer("a", 0, answerUnreadable, time.Now())).To(BeFalse())
		g.Expect(l.RecordAnswer("a", 0, answerRefused, time.Now())).To(BeFalse())
		g.Expect(currentRate(l, "a")).To(Equal(2.0))
		g.Expect(l.RecordAnswer("a", 0, answerWithoutLimit, time.Now())).To(BeTrue())
		g.Expect(currentRate(l, "a")).To(Equal(math.Inf(1)))
		g.Expect(l.Count()).To(BeZero())
	})
}

// Guards against the higher limit winning when two answers overlap and their order is unknown.
func TestLowerLimitWinsIfOrderIsUnknown(t *testing.T) {
	runTest(t, func(g Gomega, l *mtlimit.Limits) {
		sent := time.Now()
		time.Sleep(time.Second)
		l.RecordAnswer("a", 0, answerWithLimit(2), sent)
		l.RecordAnswer("a", 0, answerWithLimit(5), sent)
		g.Expect(currentRate(l, "a")).To(Equal(2.0))
		time.Sleep(time.Millisecond)
		l.RecordAnswer("a", 0, answerWithLimit(5), time.Now())
		g.Expect(currentRate(l, "a")).To(Equal(5.0))
		l.RecordAnswer("a", 0, answerWithLimit(0), time.Now())
		g.Expect(currentRate(l, "a")).To(BeZero())
	})
}

// Guards against a restarted target that keeps the limit of its previous process, or gets it
// back through late gossip.
func TestRestartedTargetHasNoLimit(t *testing.T) {
	runTest(t, func(g Gomega, l *mtlimit.Limits) {
		l.RecordAnswer("a", 0, answerWithLimit(2), time.Now())
		l.SetStartTime("a", 100)
		g.Expect(currentRate(l, "a")).To(Equal(2.0))
		l.SetStartTime("a", 100)
		l.SetStartTime("a", 0)
		g.Expect(currentRate(l, "a")).To(Equal(2.0))
		l.SetStartTime("a", 200)
		g.Expect(currentRate(l, "a")).To(Equal(math.Inf(1)))
		time.Sleep(time.Second)
		g.Expect(l.Merge([]*fleetv1.Limit{{Target: "a", Born: 100, Rate: proto.Float64(2)}})).To(BeEmpty())
		g.Expect(currentRate(l, "a")).To(Equal(math.Inf(1)))
	})
}

// Guards against gossip that restores an ended limit, and against an entry that keeps a limit
// because it never learns of its end.
func TestNewestReportWins(t *testing.T) {
	runTest(t, func(g Gomega, l *mtlimit.Limits) {
		other := mtlimit.New()
		l.RecordAnswer("a", 7, answerWithLimit(2), time.Now())
		time.Sleep(time.Second)
		g.Expect(other.Merge(l.Recent(4))).To(HaveLen(1))
		g.Expect(currentRate(other, "a")).To(Equal(2.0))
		other.RecordAnswer("a", 7, answerWithoutLimit, time.Now())
		time.Sleep(5 * time.Second)
		g.Expect(other.Merge(l.Recent(4))).To(BeEmpty())
		g.Expect(currentRate(other, "a")).To(Equal(math.Inf(1)))
		g.Expect(l.Merge(other.Recent(4))).To(HaveLen(1))
		time.Sleep(time.Second)
		g.Expect(currentRate(l, "a")).To(Equal(math.Inf(1)))
		g.Expect(l.Merge([]*fleetv1.Limit{{Target: "b", Rate: proto.Float64(math.NaN())}, {Target: "c", Rate: proto.Float64(-1)}, {Target: "d"}})).To(BeEmpty())
	})
}

// Guards against all entries resuming at the same moment when they learn of a limit's end.
func TestReturnAfterLimitIsSpread(t *testing.T) {
	runTest(t, func(g Gomega, _ *mtlimit.Limits) {
		const entries = 200
		var all []*mtlimit.Limits
		for range entries {
			l := mtlimit.New()
			l.RecordAnswer("a", 0, answerWithLimit(2), time.Now())
			all = append(all, l)
		}
		time.Sleep(time.Second)
		for _, l := range all {
			l.Merge([]*fleetv1.Limit{{Target: "a", Age: durationpb.New(time.Millisecond)}})
		}
		time.Sleep(500 * time.Millisecond)
		resumed := 0
		for _, l := range all {
			resumed += 1 - l.Count()
		}
		g.Expect(resumed).To(And(BeNumerically(">", entries/4), BeNumerically("<", entries*3/4)))
		time.Sleep(500 * time.Millisecond)
		for _, l := range all {
			g.Expect(l.Count()).To(BeZero())
		}
	})
}

// Guards against limits of removed targets that fill the memory of a process that runs for
// weeks, and against old limits that fill the gossip.
func TestOldestLimitIsEvicted(t *testing.T) {
	runTest(t, func(g Gomega, l *mtlimit.Limits) {
		for i := range 9000 {
			l.RecordAnswer(fmt.Sprint(i), 1, answerWithLimit(1), time.Now())
			time.Sleep(10 * time.Millisecond)
		}
		g.Expect(l.Count()).To(Equal(8192))
		g.Expect(l.Recent(9000)).To(HaveLen(2000))
		g.Expect(currentRate(l, "8999")).To(Equal(1.0))
		g.Expect(l.Recent(3)).To(HaveLen(3))
	})
}

// Guards against a data race: a limit handed out for gossip must not change while it is sent.
func TestWhatIsToldDoesNotChange(t *testing.T) {
	runTest(t, func(g Gomega, l *mtlimit.Limits) {
		l.RecordAnswer("a", 0, answerWithLimit(2), time.Now())
		single, recent := l.Of("a"), l.Recent(1)
		time.Sleep(time.Second)
		l.RecordAnswer("a", 0, answerWithLimit(5), time.Now())
		g.Expect(single.GetRate()).To(Equal(2.0))
		g.Expect(recent[0].GetRate()).To(Equal(2.0))
	})
}

// Guards against an ended limit being dropped while other entries still send it, or never.
func TestEndedLimitExpiresInTime(t *testing.T) {
	runTest(t, func(g Gomega, l *mtlimit.Limits) {
		l.RecordAnswer("a", 0, answerWithLimit(2), time.Now())
		time.Sleep(time.Second)
		l.RecordAnswer("a", 0, answerWithoutLimit, time.Now())
		time.Sleep(40 * time.Second)
		l.Expire()
		g.Expect(l.Of("a")).NotTo(BeNil())
		time.Sleep(21 * time.Second)
		l.Expire()
		g.Expect(l.Of("a")).To(BeNil())
	})
}

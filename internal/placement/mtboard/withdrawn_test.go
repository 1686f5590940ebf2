package mtboard_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/types/known/durationpb"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/placement/mtboard"
)

// Guards against requests that are sent to a target which has requested a pause, or announced
// that it is leaving, while their connections were being established.
func TestChosenTargetIsWithdrawn(t *testing.T) {
	for _, answer := range []*fleetv1.Answer{{Leaving: true}, {Pause: durationpb.New(time.Second)}} {
		g := NewWithT(t)
		b := board(1)
		waiting, first := b.Choose(query(500, "q", "own")), b.Choose(query(500, "q", "own"))
		g.Expect(waiting.Withdrawn()).To(BeFalse())
		noteAnswer(first, answer)
		g.Expect(waiting.Withdrawn()).To(BeTrue())
		g.Expect(b.Choose(query(500, "q", "own"))).To(BeNil())
	}
}

// Guards against a refused caller that is told to retry before any target accepts requests,
// or long after one does.
func TestRetryAfterIsTheFirstPauseToEnd(t *testing.T) {
	g := NewWithT(t)
	b := board(2)
	q := query(500, "q", "own")
	paused := b.Choose(q)
	paused.NotePause(&fleetv1.Answer{Pause: durationpb.New(5 * time.Second)})
	g.Expect(b.RetryAfter(q)).To(BeZero(), "the other target accepts requests")
	b.Choose(q).NotePause(&fleetv1.Answer{Pause: durationpb.New(3 * time.Second)})
	g.Expect(b.RetryAfter(q)).To(BeNumerically("~", 3*time.Second, 100*time.Millisecond))
	paused.NotePause(&fleetv1.Answer{Pause: durationpb.New(time.Second)})
	g.Expect(b.RetryAfter(q)).To(BeNumerically("~", 3*time.Second, 100*time.Millisecond))
}

func noteAnswer(c *mtboard.Choice, answer *fleetv1.Answer) {
	if answer.GetLeaving() {
		c.NoteLeaving(answer)
		return
	}
	c.NotePause(answer)
}

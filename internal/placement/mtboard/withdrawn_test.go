package mtboard_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/types/known/durationpb"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/placement/mtboard"
)

// Failure: a connection takes long, and requests that were chosen before are sent to a
// target that has asked for a pause, or said that it leaves, meanwhile.
func TestChosenTargetIsWithdrawn(t *testing.T) {
	for _, answer := range []*fleetv1.Answer{{Leaving: true}, {Pause: durationpb.New(time.Second)}} {
		g := NewWithT(t)
		b := board(1)
		waiting, first := b.Choose(query(500, "q", "own")), b.Choose(query(500, "q", "own"))
		g.Expect(waiting.Withdrawn()).To(BeFalse())
		hear(first, answer)
		g.Expect(waiting.Withdrawn()).To(BeTrue())
		g.Expect(b.Choose(query(500, "q", "own"))).To(BeNil())
	}
}

// Failure: a refused caller is told to come back before any target takes requests, or
// long after one does.
func TestFirstPauseToEndSaysWhenToComeBack(t *testing.T) {
	g := NewWithT(t)
	b := board(2)
	q := query(500, "q", "own")
	one := b.Choose(q)
	one.NotePause(&fleetv1.Answer{Pause: durationpb.New(5 * time.Second)})
	g.Expect(b.RetryAfter(q)).To(BeZero(), "another may take it")
	b.Choose(q).NotePause(&fleetv1.Answer{Pause: durationpb.New(3 * time.Second)})
	g.Expect(b.RetryAfter(q)).To(BeNumerically("~", 3*time.Second, 100*time.Millisecond))
	one.NotePause(&fleetv1.Answer{Pause: durationpb.New(time.Second)})
	g.Expect(b.RetryAfter(q)).To(BeNumerically("~", 3*time.Second, 100*time.Millisecond))
}

func hear(c *mtboard.Choice, answer *fleetv1.Answer) {
	if answer.GetLeaving() {
		c.NoteLeaving(answer)
		return
	}
	c.NotePause(answer)
}

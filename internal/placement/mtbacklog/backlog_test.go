package mtbacklog_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/placement/mtbacklog"
)

func ExampleBacklog() {
	var b mtbacklog.Backlog
	b.Add(2, 9000)
	b.Add(0, 800)
	fmt.Println(b.QueuedAhead(0), b.QueuedAhead(2))
	// Output: 800 9800
}

// Guards against less urgent runs that count as memory which an urgent request can't have.
func TestLessUrgentWorkIsNotAhead(t *testing.T) {
	g := NewWithT(t)
	b := mtbacklog.Of([]*fleetv1.Backlog{{Rank: 0, Used: 500, Runs: 1}, {Rank: 2, Used: 60000, Runs: 7}})
	g.Expect(b.UsedAhead(0)).To(Equal(int64(500)))
	g.Expect(b.RunsAhead(0)).To(Equal(1))
	g.Expect(b.UsedAhead(1)).To(Equal(int64(500)))
	g.Expect(b.UsedAhead(2)).To(Equal(int64(60500)))
	g.Expect(b.RunsAhead(2)).To(Equal(8))
}

// Guards against a count that stays above or falls below zero as sends end in another order than
// they began.
func TestQueuedTokensEndAtZero(t *testing.T) {
	g := NewWithT(t)
	var b mtbacklog.Backlog
	b.Add(2, 100)
	b.Add(0, 50)
	b.Add(2, -100)
	b.Add(2, -100)
	b.Merge([]*fleetv1.Backlog{{Rank: 1, Queued: 7}})
	g.Expect(b.Queued()).To(Equal(int64(57)))
	g.Expect(b.Message()).To(HaveLen(2))
	b.Add(0, -50)
	g.Expect(b.Queued()).To(Equal(int64(7)))
}

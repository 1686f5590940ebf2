package mtboard_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/placement/mtboard"
)

func urgent(b *mtboard.Board) *mtboard.Choice {
	q := query(800, "rules", "own")
	q.SetRank(0, true)
	return b.Choose(q)
}

// busy is the state of an engine that has background prompts queued and running.
func busy(target string) *fleetv1.State {
	s := state(target, 1)
	s.Pending, s.Backlog = 40000, []*fleetv1.Backlog{{Rank: 2, Queued: 40000}}
	s.Report.Used, s.Report.Running = 60000, 8
	s.Report.Backlog = []*fleetv1.Backlog{{Rank: 2, Used: 60000, Runs: 8}}
	return s
}

// Load: every engine is full of background work. Guards against urgent requests that are refused
// for a queue that they overtake.
func TestUrgentRequestDoesNotWaitForBackgroundWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := board(2)
		b.UpdateState(busy("e0"))
		b.UpdateState(busy("e1"))
		alike := b.Choose(query(800, "rules", "own"))
		g.Expect(alike.QueueTime()).To(BeNumerically(">", time.Second))
		alike.End(mtboard.Abandoned{})
		ahead := urgent(b)
		g.Expect(ahead.QueueTime()).To(BeNumerically("<", 70*time.Millisecond))
		g.Expect(ahead.QueueTime()).To(BeNumerically(">", 0), "a chunk may be in progress")
		background := query(9000, "rules", "own")
		background.SetRank(2, true)
		g.Expect(b.Choose(background).QueueTime()).To(BeNumerically(">", time.Second))
	})
}

// Guards against urgent requests that preempt background runs while another engine has room.
func TestRoomGoesBeforePreemption(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := board(4)
		for _, id := range []string{"e0", "e1", "e3"} {
			full := busy(id)
			full.Report.Used, full.Report.Backlog[0].Used = 69000, 69000
			full.Pending, full.Backlog = 0, nil
			b.UpdateState(full)
		}
		b.UpdateState(state("e2", 1))
		g.Expect(urgent(b).Target()).To(Equal("e2"))
	})
}

// Guards against work of processes of an earlier version, told as a sum alone, that counts as none.
func TestWorkOfUnknownRankCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := board(1)
		s := state("e0", 1)
		s.Pending = 40000
		b.UpdateState(s)
		g.Expect(urgent(b).QueueTime()).To(BeNumerically(">", time.Second))
	})
}

// Guards against choices that change where a service does not rank its requests, whatever ranks
// they have and whatever sidecars tell.
func TestUnrankedChoicesAreAsBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		before, after := board(4), board(4)
		for i := range rapid.IntRange(1, 30).Draw(t, "steps") {
			target := rapid.SampledFrom([]string{"e0", "e1", "e2", "e3"}).Draw(t, "target")
			plain := state(target, 1)
			plain.Pending = rapid.Int64Range(0, 50000).Draw(t, "pending")
			plain.Report.Used = rapid.Int64Range(0, 70000).Draw(t, "used")
			plain.Report.Running = rapid.Int32Range(0, 8).Draw(t, "running")
			before.UpdateState(plain)
			told := state(target, 1)
			told.Pending, told.Report.Used, told.Report.Running = plain.GetPending(), plain.GetReport().GetUsed(), plain.GetReport().GetRunning()
			told.Backlog = []*fleetv1.Backlog{{Rank: 1, Queued: plain.GetPending()}}
			told.Report.Backlog = []*fleetv1.Backlog{{Rank: 2, Used: plain.GetReport().GetUsed(), Runs: plain.GetReport().GetRunning()}}
			after.UpdateState(told)
			prompt := rapid.Int64Range(100, 12000).Draw(t, "prompt")
			part := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "part")
			one, other := query(prompt, part, "own"), query(prompt, part, "own")
			other.SetRank(rapid.Int32Range(0, 8).Draw(t, "rank"), false)
			x, y := before.Choose(one), after.Choose(other)
			g.Expect(y.Target()).To(Equal(x.Target()), "choice %d", i)
			// Half-lives of penalties pass between the two calls.
			g.Expect(y.Cost()).To(BeNumerically("~", x.Cost(), time.Millisecond))
			if rapid.Bool().Draw(t, "ends") {
				x.End(mtboard.Succeeded{})
				y.End(mtboard.Succeeded{})
			}
		}
	})
}

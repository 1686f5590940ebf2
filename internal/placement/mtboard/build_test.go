package mtboard_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/types/known/durationpb"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtlimit"
	"github.com/mustardtide/mustardtide/internal/admission/mtlimiter"
	"github.com/mustardtide/mustardtide/internal/placement/mtboard"
	"github.com/mustardtide/mustardtide/internal/relay/mtports"
)

// mixedBoard returns a board with engines e0 to e3 of builds a, b, a and an unknown one.
func mixedBoard() *mtboard.Board {
	b := mtboard.New("north", gracePeriod, mtlimiter.New("", mtlimit.New()))
	list := map[string]*fleetv1.Target{}
	for i, build := range []string{"a", "b", "a", ""} {
		id := fmt.Sprint("e", i)
		list[id] = &fleetv1.Target{
			Id: id, Service: "pool", Address: fmt.Sprintf("10.0.0.%d:80", i), Datacentre: "north", Slots: 16, Build: build,
			Models: []*fleetv1.Weights{{Model: "m", Version: 1}}, Born: 1,
		}
	}
	b.UpdateTargets(list, func(*fleetv1.Target) bool { return false })
	b.MergeWeights(&fleetv1.Weights{Model: "m", Version: 1, Revision: 1})
	return b
}

// Guards against a stream that is resumed at a target of another build or of an unknown one.
func TestPinnedStreamGoesToItsBuildOnly(t *testing.T) {
	for build, want := range map[string][]string{"a": {"e0", "e2"}, "b": {"e1"}, "c": nil, "": nil} {
		g := NewWithT(t)
		b, q := mixedBoard(), query(500, "q", "own")
		q.Pin(build)
		var got []string
		for c := b.Choose(q); c != nil; c = b.Choose(q) {
			g.Expect(c.Build()).To(Equal(build))
			got = append(got, c.Target())
			q.Exclude(c.Target())
		}
		g.Expect(got).To(ConsistOf(want))
		g.Expect(b.UnfitSummary(q)).To(ContainSubstring("of other software versions"))
	}
}

// Guards against a stream that is resumed at a restarted program as if its software were the same,
// because the store still lists the previous program.
func TestPinnedStreamDoesNotGoToAnUnlistedProgram(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b, q := mixedBoard(), query(500, "q", "own")
		q.Pin("b")
		c := b.Choose(q)
		g.Expect(c.Build()).To(Equal("b"))
		b.UpdateState(&fleetv1.State{Target: "e1", Answers: true, Report: &fleetv1.Report{Born: 2}})
		g.Expect(b.Choose(q)).To(BeNil())
		time.Sleep(3 * time.Second)
		g.Expect(b.Choose(q)).To(BeNil(), "no heartbeat for a while")
	})
}

// Guards against a stream that is resumed at a successor of the listed program, whose software nobody
// knows, where programs don't say when they were started.
func TestPinnedStreamDoesNotGoToASuccessor(t *testing.T) {
	g := NewWithT(t)
	b, q := mixedBoard(), query(500, "q", "own")
	q.Pin("b")
	g.Expect(b.Choose(q).Build()).To(Equal("b"))
	b.UpdateState(&fleetv1.State{Target: "e1", Answers: true, Identified: true, Program: "e1-again", Related: true, Report: &fleetv1.Report{}})
	g.Expect(b.Choose(q)).To(BeNil())
}

// Guards against a stream that is resumed at a restarted program as if its software were the same,
// because the program restarted while the connection was being established.
func TestPinnedChoiceIsWithdrawnWhenItsProgramRestarts(t *testing.T) {
	g := NewWithT(t)
	b, pinned, free := mixedBoard(), query(500, "q", "own"), query(500, "r", "own")
	pinned.Pin("b")
	for _, target := range []string{"e0", "e2", "e3"} {
		free.Exclude(target)
	}
	resumed, begun := b.Choose(pinned), b.Choose(free)
	g.Expect(resumed.Withdrawn()).To(BeFalse())
	b.UpdateState(&fleetv1.State{Target: "e1", Answers: true, Report: &fleetv1.Report{Born: 2}})
	g.Expect(resumed.Withdrawn()).To(BeTrue())
	g.Expect(begun.Withdrawn()).To(BeFalse(), "any program of the service may begin a stream")
}

// Guards against a stream that is attributed to the build its target was listed with when it was
// chosen, although another program began it.
func TestBuildOfARestartedProgramIsUnknown(t *testing.T) {
	g := NewWithT(t)
	b, q := mixedBoard(), query(500, "q", "own")
	for _, target := range []string{"e0", "e2", "e3"} {
		q.Exclude(target)
	}
	c := b.Choose(q)
	g.Expect(c.Build()).To(Equal("b"))
	b.UpdateState(&fleetv1.State{Target: "e1", Answers: true, Report: &fleetv1.Report{Born: 2}})
	g.Expect(c.Build()).To(BeEmpty())
}

// Guards against a caller that is told to retry at once because targets of other builds are free,
// although no target of its stream's build accepts requests.
func TestRetryAfterCountsThePinnedBuildOnly(t *testing.T) {
	g := NewWithT(t)
	b, q := mixedBoard(), query(500, "q", "own")
	q.Pin("b")
	c := b.Choose(q)
	c.NotePause(&fleetv1.Answer{Pause: durationpb.New(3 * time.Second)})
	g.Expect(b.RetryAfter(q)).To(BeNumerically(">", 0))
	g.Expect(b.RetryAfter(query(500, "q", "own"))).To(BeZero())
}

// Guards against different sidecars selected by the entry that replicates a stream's origin and by
// the one that looks it up, because programs have restarted under other ids or a sidecar is gone.
func TestReplicasAreTheSameForAllEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		first, second := mixedBoard(), mixedBoard()
		for i := range 4 {
			first.UpdateState(state(fmt.Sprint("e", i), 1))
		}
		list := map[string]*fleetv1.Target{}
		for i := range 4 {
			list[fmt.Sprint("new", i)] = &fleetv1.Target{
				Id: fmt.Sprint("new", i), Service: "pool", Address: fmt.Sprintf("10.0.0.%d:81", i), Datacentre: "north",
				Models: []*fleetv1.Weights{{Model: "m", Version: 1}},
			}
		}
		second.UpdateTargets(list, func(*fleetv1.Target) bool { return false })
		key := []byte("stream")
		storing := first.SidecarsOf(key, 2, true, time.Second)
		lookedUp := second.SidecarsOf(key, 4, false, time.Second)
		g.Expect(storing).To(HaveLen(2))
		for i, address := range storing {
			g.Expect(mtports.Host(lookedUp[i])).To(Equal(mtports.Host(address)))
		}
		time.Sleep(9 * time.Second)
		g.Expect(first.SidecarsOf(key, 2, true, time.Second)).To(BeEmpty())
		g.Expect(first.SidecarsOf(key, 2, false, time.Second)).To(Equal(storing))
	})
}

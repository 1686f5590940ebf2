package mtboard_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/placement/mtboard"
)

// directories returns the sidecars that store the holders of a prompt's deepest shared part,
// with a heartbeat interval of one second.
func directories(b *mtboard.Board, q *mtboard.Query) []string {
	return directoriesWithInterval(b, q, time.Second)
}

// directoriesWithInterval is directories with the given heartbeat interval.
func directoriesWithInterval(b *mtboard.Board, q *mtboard.Query, interval time.Duration) []string {
	parts := q.Ask().GetParts()
	var names []string
	for _, target := range b.DirectorySidecars(q, parts[len(parts)-2], interval) {
		names = append(names, target.GetId())
	}
	return names
}

// Guards against entries that select different directories for a part, because they have had
// heartbeats from different sidecars of other data centres: what one entry registers is not
// found by the other.
func TestDirectoriesAreDrawnFromTheTargetList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const engines = 40
		first, second := board(engines), board(engines)
		for i := range engines {
			name := fmt.Sprint("e", i)
			if i%2 == 0 || i%3 == 0 {
				first.UpdateState(state(name, 1))
			}
			if i%2 == 0 || i%3 == 1 {
				second.UpdateState(state(name, 1))
			}
		}
		for i := range 50 {
			q := query(6000, fmt.Sprint("rules", i), "own")
			g.Expect(directories(first, q)).To(HaveLen(2))
			g.Expect(directories(first, q)).To(Equal(directories(second, q)))
		}
	})
}

// Guards against entries that skip live directories, and so select different ones, where a
// data centre has so many engines that heartbeats of each are rare.
func TestDirectoriesStayBetweenHeartbeats(t *testing.T) {
	const interval = 9300 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const engines = 40
		b := board(engines)
		for i := range engines {
			b.UpdateState(state(fmt.Sprint("e", i), 1))
		}
		q := query(6000, "rules", "own")
		before := directoriesWithInterval(b, q, interval)
		// One heartbeat of each sidecar is lost.
		time.Sleep(2 * interval)
		b.UpdateState(state("e0", 1))
		g.Expect(directoriesWithInterval(b, q, interval)).To(Equal(before))
	})
}

// Guards against a dead sidecar that remains a directory for as long as its engine is listed.
func TestUnresponsiveDirectoryIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := board(40)
		b.UpdateState(state("e0", 1))
		q := query(6000, "rules", "own")
		before := directories(b, q)
		for attempt := range 5 {
			b.ProbeFailed(q, before[0])
			g.Expect(directories(b, q)).NotTo(ContainElement(before[0]))
			time.Sleep(min(8*time.Second, 500*time.Millisecond<<attempt) - time.Millisecond)
			b.UpdateState(state("e0", 1))
			g.Expect(directories(b, q)).NotTo(ContainElement(before[0]), "the backoff grows with each unanswered lookup")
			time.Sleep(2 * time.Millisecond)
			g.Expect(directories(b, q)).To(ContainElement(before[0]))
		}
		b.UpdateState(state(before[0], 1))
		g.Expect(directories(b, q)).To(Equal(before))
	})
}

// Guards against lookups at engines that have no sidecar, and so no directory.
func TestNoDirectoriesWithoutSidecars(t *testing.T) {
	NewWithT(t).Expect(directories(board(40), query(6000, "rules", "own"))).To(BeEmpty())
}

// Guards against lookups of the first part in small fleets. Entries follow all caches there,
// so the lookups cost datagrams and return nothing new.
func TestFirstPartIsLookedUpInLargeFleetsOnly(t *testing.T) {
	g := NewWithT(t)
	ask := &fleetv1.Ask{Model: "m", Prompt: 9000, Parts: []*fleetv1.Part{
		{Id: "rules", Tokens: 2500}, {Id: "dossier", Tokens: 3700}, {Id: "own", Tokens: 2800},
	}}
	newQuery := func() *mtboard.Query { return mtboard.NewQuery(pool, ask, "", "", 800*time.Millisecond) }
	g.Expect(board(20).Lookups(newQuery())).To(Equal(ask.GetParts()[1:2]))
	b := board(40)
	g.Expect(b.Lookups(newQuery())).To(ConsistOf(ask.GetParts()[0], ask.GetParts()[1]))
	choice := b.Choose(newQuery())
	choice.Started(&fleetv1.Answer{})
	choice.End(mtboard.Succeeded{})
	g.Expect(b.Lookups(newQuery())).To(Equal(ask.GetParts()[1:2]), "the entry knows which engine has just prefilled the part")
}

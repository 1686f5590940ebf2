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

// keepers names those of a prompt's deepest shared part, where sidecars are heard often.
func keepers(b *mtboard.Board, q *mtboard.Query) []string {
	return keepersAfter(b, q, time.Second)
}

// keepersAfter names them where each sidecar is heard after round.
func keepersAfter(b *mtboard.Board, q *mtboard.Query, round time.Duration) []string {
	parts := q.Ask().GetParts()
	var names []string
	for _, target := range b.Keepers(q, parts[len(parts)-2], round) {
		names = append(names, target.GetId())
	}
	return names
}

// Failure: entries that have heard different sidecars of other data centres keep a part at
// different processes, and what one has told is not found by the other.
func TestKeepersComeFromTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const engines = 40
		first, second := board(engines), board(engines)
		for i := range engines {
			name := fmt.Sprint("e", i)
			if i%2 == 0 || i%3 == 0 {
				first.Hear(state(name, 1))
			}
			if i%2 == 0 || i%3 == 1 {
				second.Hear(state(name, 1))
			}
		}
		for i := range 50 {
			q := query(6000, fmt.Sprint("rules", i), "own")
			g.Expect(keepers(first, q)).To(HaveLen(2))
			g.Expect(keepers(first, q)).To(Equal(keepers(second, q)))
		}
	})
}

// Guards against entries that pass over live keepers, and look at different ones, where a
// data centre has so many engines that each is heard seldom.
func TestKeepersStayBetweenTwoGreetings(t *testing.T) {
	const round = 9300 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const engines = 40
		b := board(engines)
		for i := range engines {
			b.Hear(state(fmt.Sprint("e", i), 1))
		}
		q := query(6000, "rules", "own")
		before := keepersAfter(b, q, round)
		// One word of each is lost.
		time.Sleep(2 * round)
		b.Hear(state("e0", 1))
		g.Expect(keepersAfter(b, q, round)).To(Equal(before))
	})
}

// Failure: a dead sidecar keeps parts for as long as its engine is listed.
func TestKeeperThatDoesNotAnswerIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := board(40)
		b.Hear(state("e0", 1))
		q := query(6000, "rules", "own")
		before := keepers(b, q)
		for round := range 5 {
			b.Silent(q, before[0])
			g.Expect(keepers(b, q)).NotTo(ContainElement(before[0]))
			time.Sleep(min(8*time.Second, 500*time.Millisecond<<round) - time.Millisecond)
			b.Hear(state("e0", 1))
			g.Expect(keepers(b, q)).NotTo(ContainElement(before[0]), "longer with each silence")
			time.Sleep(2 * time.Millisecond)
			g.Expect(keepers(b, q)).To(ContainElement(before[0]))
		}
		b.Hear(state(before[0], 1))
		g.Expect(keepers(b, q)).To(Equal(before))
	})
}

// Failure: a fleet without sidecars asks engines that keep nothing.
func TestNoKeepersWithoutSidecars(t *testing.T) {
	NewWithT(t).Expect(keepers(board(40), query(6000, "rules", "own"))).To(BeEmpty())
}

// Failure: in small fleets, whose entries follow all caches, questions about the first part
// cost datagrams and tell nothing new.
func TestFirstPartIsLookedUpInLargeFleetsOnly(t *testing.T) {
	g := NewWithT(t)
	ask := &fleetv1.Ask{Model: "m", Prompt: 9000, Parts: []*fleetv1.Part{
		{Id: "rules", Tokens: 2500}, {Id: "dossier", Tokens: 3700}, {Id: "own", Tokens: 2800},
	}}
	newQuery := func() *mtboard.Query { return mtboard.NewQuery(pool, ask, nil, "", 800*time.Millisecond) }
	g.Expect(board(20).Lookups(newQuery())).To(Equal(ask.GetParts()[1:2]))
	b := board(40)
	g.Expect(b.Lookups(newQuery())).To(ConsistOf(ask.GetParts()[0], ask.GetParts()[1]))
	choice := b.Choose(newQuery())
	choice.Started(&fleetv1.Answer{})
	choice.End(mtboard.Good{})
	g.Expect(b.Lookups(newQuery())).To(Equal(ask.GetParts()[1:2]), "it knows who read it just now")
}

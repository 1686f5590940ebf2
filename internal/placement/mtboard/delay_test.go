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

// stored lets a prompt be read and sent to the store, and its engine start anew, so
// that only the store holds its parts.
func stored(b *mtboard.Board, born int64, parts ...string) {
	restart(b, born)
	c := b.Choose(query(6000, parts...))
	c.Started(&fleetv1.Answer{})
	c.End(mtboard.Good{})
	restart(b, born+1)
}

// restart lets both engines start anew, with empty caches.
func restart(b *mtboard.Board, born int64) {
	for i := range 2 {
		again := state(fmt.Sprint("e", i), 1)
		again.Report.Born = born
		b.Hear(again)
	}
}

// fetch lets a prompt whose parts the store holds be answered, late by some time.
func fetch(b *mtboard.Board, late time.Duration, parts ...string) *mtboard.Choice {
	c := b.Choose(query(6000, parts...))
	time.Sleep(c.Estimate() + late)
	c.Started(&fleetv1.Answer{})
	c.End(mtboard.Good{})
	return c
}

// New weights on a busy day: what all engines save fills the store's link, and
// fetches wait for a second and more. Saving stops until the link is free again, and
// prompts are read meanwhile.
func TestNothingIsSavedOverABusyLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := board(2)
		for i := range 6 {
			stored(b, int64(2*i+2), "rules", fmt.Sprint("dossier", i), "own")
			fetch(b, 1500*time.Millisecond, "rules", fmt.Sprint("dossier", i), "next")
		}
		cold := b.Choose(query(6000, "other rules", "other dossier", "own"))
		g.Expect(cold.Save()).To(BeEmpty())
		g.Expect(cold.Fetch()).To(BeEmpty())
		cold.End(mtboard.Left{})
		time.Sleep(10 * time.Second)
		later := b.Choose(query(6000, "third rules", "third dossier", "own"))
		g.Expect(later.Save()).To(Equal("store:1"))
		g.Expect(later.Fetch()).To(Equal("store:1"), "it may hold what this entry has not heard of")
	})
}

// The store was restarted and holds nothing. The first prompt that should have been
// fetched from it comes late by the time of its reading: the next one is taken for
// what it is, a prompt that is read, and is sent to the store anew.
func TestRestartedStoreIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := board(2)
		stored(b, 2, "rules", "dossier", "own")
		missed := fetch(b, 120*time.Millisecond, "rules", "dossier", "next")
		g.Expect(missed.How()).To(Equal("fetched"))
		restart(b, 9)
		after := b.Choose(query(6000, "rules", "dossier", "third"))
		g.Expect(after.How()).To(Equal("read"))
		g.Expect(after.Save()).To(Equal("store:1"))
	})
}

// An entry that has just started knows nothing of the engines: what it estimates is
// no ground to refuse anybody. After some answers, or another entry's word, it is.
func TestEstimatesAreKnownByAnswers(t *testing.T) {
	g := NewWithT(t)
	young, old := board(2), board(2)
	g.Expect(young.Choose(query(600, "q", "own")).Known()).To(BeFalse())
	for i := range 40 {
		c := old.Choose(query(600, fmt.Sprint("q", i), "own"))
		c.Started(&fleetv1.Answer{})
		c.End(mtboard.Good{})
	}
	g.Expect(old.Choose(query(600, "q", "own")).Known()).To(BeTrue())
	g.Expect(old.Speeds()).To(HaveLen(1))
	g.Expect(young.Adopt(old.Speeds()[0])).To(BeTrue())
	g.Expect(young.Choose(query(600, "q", "own")).Known()).To(BeTrue())
}

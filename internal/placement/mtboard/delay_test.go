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

// storeParts prefills a prompt, saves it to the store and restarts the engines, so that only
// the store holds its parts.
func storeParts(b *mtboard.Board, born int64, parts ...string) {
	restartEngines(b, born)
	c := b.Choose(query(6000, parts...))
	c.Started(&fleetv1.Answer{})
	c.End(mtboard.Succeeded{})
	restartEngines(b, born+1)
}

// restartEngines restarts both engines, with empty caches.
func restartEngines(b *mtboard.Board, born int64) {
	for i := range 2 {
		restarted := state(fmt.Sprint("e", i), 1)
		restarted.Report.Born = born
		b.UpdateState(restarted)
	}
}

// fetchParts runs a prompt whose parts the store holds. Its first byte is delayed beyond the
// estimate.
func fetchParts(b *mtboard.Board, delay time.Duration, parts ...string) *mtboard.Choice {
	c := b.Choose(query(6000, parts...))
	time.Sleep(c.Estimate() + delay)
	c.Started(&fleetv1.Answer{})
	c.End(mtboard.Succeeded{})
	return c
}

// Guards against saves that keep the store's link congested. After new weights under high
// load, the parts that all engines save fill the link, and fetches wait for more than a
// second. Saving stops until the link is free again, and prompts are prefilled meanwhile.
func TestNothingIsSavedToTheStoreOverABusyLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := board(2)
		for i := range 6 {
			storeParts(b, int64(2*i+2), "rules", fmt.Sprint("dossier", i), "own")
			fetchParts(b, 1500*time.Millisecond, "rules", fmt.Sprint("dossier", i), "next")
		}
		cold := b.Choose(query(6000, "other rules", "other dossier", "own"))
		g.Expect(cold.SaveTo()).To(BeEmpty())
		g.Expect(cold.FetchFrom()).To(BeEmpty())
		cold.End(mtboard.Abandoned{})
		time.Sleep(10 * time.Second)
		later := b.Choose(query(6000, "third rules", "third dossier", "own"))
		g.Expect(later.SaveTo()).To(Equal("store:1"))
		g.Expect(later.FetchFrom()).To(Equal("store:1"), "the store may hold parts that this entry does not know of")
	})
}

// Guards against parts that are assumed to be in the store after it has restarted and is
// empty. The first prompt that was to be fetched is delayed by its prefill time. The next one
// must be treated as a prompt to prefill, and saved to the store again.
func TestRestartedStoreIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := board(2)
		storeParts(b, 2, "rules", "dossier", "own")
		missed := fetchParts(b, 120*time.Millisecond, "rules", "dossier", "next")
		g.Expect(missed.CacheUse()).To(Equal("fetched"))
		restartEngines(b, 9)
		after := b.Choose(query(6000, "rules", "dossier", "third"))
		g.Expect(after.CacheUse()).To(Equal("read"))
		g.Expect(after.SaveTo()).To(Equal("store:1"))
	})
}

// Guards against requests that are refused because of the estimates of an entry that has just
// started. Estimates are reliable after some answers, or once another entry's speeds are
// adopted.
func TestEstimatesAreReliableAfterAnswers(t *testing.T) {
	g := NewWithT(t)
	newEntry, oldEntry := board(2), board(2)
	g.Expect(newEntry.Choose(query(600, "q", "own")).EstimateReliable()).To(BeFalse())
	for i := range 40 {
		c := oldEntry.Choose(query(600, fmt.Sprint("q", i), "own"))
		c.Started(&fleetv1.Answer{})
		c.End(mtboard.Succeeded{})
	}
	g.Expect(oldEntry.Choose(query(600, "q", "own")).EstimateReliable()).To(BeTrue())
	g.Expect(oldEntry.Speeds()).To(HaveLen(1))
	g.Expect(newEntry.Adopt(oldEntry.Speeds()[0])).To(BeTrue())
	g.Expect(newEntry.Choose(query(600, "q", "own")).EstimateReliable()).To(BeTrue())
}

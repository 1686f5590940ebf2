package mtholder_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/placement/mtholder"
)

func parts() []*fleetv1.Part {
	return []*fleetv1.Part{{Id: "rules", Tokens: 100}, {Id: "dossier", Tokens: 200}, {Id: "own", Tokens: 50}}
}

// A match is a prefix of the prompt: it ends at the first part that the target does not hold whole.
func TestMatchIsAPrefix(t *testing.T) {
	g := NewWithT(t)
	m := mtholder.New()
	m.RecordHeld("s", "a", parts()[:2])
	m.RecordHeld("s", "b", parts()[1:])
	m.ApplyChanges("c", []*fleetv1.Held{{Salt: "s", Part: "rules", Tokens: 60}, {Salt: "s", Part: "dossier", Tokens: 200}})
	matches := m.Matches("s", parts())
	g.Expect(matches["a"]).To(Equal(mtholder.Match{Parts: 2, Tokens: 300, Fetchable: 300}))
	g.Expect(matches).NotTo(HaveKey("b"))
	g.Expect(matches["c"]).To(Equal(mtholder.Match{Parts: 0, Tokens: 60, Fetchable: 60}))
	g.Expect(m.Matches("other weights", parts())).To(BeEmpty())
}

// Parts that an engine is still prefilling count as a match but cannot be fetched from it.
func TestPartsBeingReadCannotBeFetched(t *testing.T) {
	g := NewWithT(t)
	m := mtholder.New()
	m.RecordHeld("s", "a", parts()[:1])
	m.RecordPrefill("s", "a", parts()[:2])
	g.Expect(m.Matches("s", parts())["a"]).To(Equal(mtholder.Match{Parts: 2, Tokens: 300, Fetchable: 100}))
	m.RecordHeld("s", "a", parts()[:2])
	g.Expect(m.Matches("s", parts())["a"].Fetchable).To(Equal(int64(300)))
}

// An unconfirmed holder expires within seconds. One that the engine reported stays until it reports
// the eviction or restarts.
func TestUnconfirmedHolderExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := mtholder.New()
		m.RecordHeld("s", "a", parts()[:1])
		m.ApplyChanges("b", []*fleetv1.Held{{Salt: "s", Part: "rules", Tokens: 100}})
		time.Sleep(5 * time.Second)
		g.Expect(m.Matches("s", parts())).NotTo(HaveKey("a"))
		g.Expect(m.Matches("s", parts())).To(HaveKey("b"))
		m.ApplyChanges("b", []*fleetv1.Held{{Salt: "s", Part: "rules"}})
		g.Expect(m.Matches("s", parts())).To(BeEmpty())
		m.ApplyChanges("b", []*fleetv1.Held{{Salt: "s", Part: "rules", Tokens: 100}})
		m.RemoveTarget("b")
		g.Expect(m.Matches("s", parts())).To(BeEmpty())
	})
}

// With more holders than the limit, the most recently recorded ones stay.
func TestHoldersAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := mtholder.New()
		for i := range 65 {
			m.RecordHeld("s", fmt.Sprint("e", i), parts()[:1])
			time.Sleep(time.Millisecond)
		}
		matches := m.Matches("s", parts())
		g.Expect(matches).To(HaveLen(64))
		g.Expect(matches).NotTo(HaveKey("e0"))
	})
}

// Each engine of a large fleet holds thousands of parts. The table must fit the memory of a small
// instance and keep the most recently recorded parts.
func TestMemoryIsBounded(t *testing.T) {
	g := NewWithT(t)
	m := mtholder.New()
	part := func(i int) []*fleetv1.Part { return []*fleetv1.Part{{Id: fmt.Sprint("p", i), Tokens: 100}} }
	for i := range 2000 {
		for engine := range 64 {
			m.RecordHeld("s", fmt.Sprint("e", engine), part(i))
		}
	}
	holders := 0
	for i := range 2000 {
		holders += len(m.Matches("s", part(i)))
	}
	g.Expect(holders).To(BeNumerically("<=", 4*16384))
	g.Expect(m.Matches("s", part(1999))).To(HaveLen(64))
	for engine := range 64 {
		m.RemoveTarget(fmt.Sprint("e", engine))
	}
	g.Expect(m.Matches("s", part(1999))).To(BeEmpty())
}

package mtboard_test

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a disabled mechanism that is still used: without the store nothing is saved
// or fetched there. An unknown name is rejected with the list of known ones.
func TestDisabledMechanismsAreNotUsed(t *testing.T) {
	g := NewWithT(t)
	b := board(12)
	err := b.Disable("copy")
	g.Expect(err).To(MatchError(And(ContainSubstring(`"copy"`), ContainSubstring("copies"), ContainSubstring("store"))))
	g.Expect(b.Disable("distance", "store")).To(Succeed())
	c := b.Choose(query(9000, "rules", "dossier", "own"))
	g.Expect(c.RunnersUp()).NotTo(ContainSubstring("data centre"))
	g.Expect(c.SaveTo()).To(BeEmpty())
	g.Expect(c.FetchFrom()).To(BeEmpty())
}

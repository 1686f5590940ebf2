package mtboard_test

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Without lanes, a long prompt may go where short ones go; a name that is none is
// refused with those that there are.
func TestWithoutAMechanism(t *testing.T) {
	g := NewWithT(t)
	b := board(12)
	err := b.Without("lane")
	g.Expect(err).To(MatchError(And(ContainSubstring(`"lane"`), ContainSubstring("lanes"), ContainSubstring("store"))))
	g.Expect(b.Without("lanes", "store")).To(Succeed())
	c := b.Choose(query(9000, "rules", "dossier", "own"))
	g.Expect(c.Losers()).NotTo(ContainSubstring("lane"))
	g.Expect(c.Save()).To(BeEmpty())
	g.Expect(c.Fetch()).To(BeEmpty())
}

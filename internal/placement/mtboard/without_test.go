package mtboard_test

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Without the store nothing is saved or fetched there; a name that is none is refused
// with those that there are.
func TestWithoutAMechanism(t *testing.T) {
	g := NewWithT(t)
	b := board(12)
	err := b.Without("copy")
	g.Expect(err).To(MatchError(And(ContainSubstring(`"copy"`), ContainSubstring("copies"), ContainSubstring("store"))))
	g.Expect(b.Without("distance", "store")).To(Succeed())
	c := b.Choose(query(9000, "rules", "dossier", "own"))
	g.Expect(c.Losers()).NotTo(ContainSubstring("data centre"))
	g.Expect(c.Save()).To(BeEmpty())
	g.Expect(c.Fetch()).To(BeEmpty())
}

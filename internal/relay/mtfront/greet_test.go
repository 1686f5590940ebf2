package mtfront

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
)

// Failure: greetings to other data centres grow with the engines of the entry's own, and
// keep those from being greeted often; or some engine is never greeted.
func TestGreetingsElsewhereDoNotGrow(t *testing.T) {
	for _, count := range []int{0, 5, 16, 60, 500, 1000, 2160} {
		g := NewWithT(t)
		var far []*fleetv1.Target
		for i := range count {
			far = append(far, &fleetv1.Target{Id: fmt.Sprint(i)})
		}
		greeted := map[string]bool{}
		rounds := roundsFor(count)
		for round := range rounds {
			part := partOf(far, round, rounds)
			g.Expect(len(part)).To(BeNumerically("<=", farPart))
			for _, target := range part {
				greeted[target.GetId()] = true
			}
		}
		g.Expect(greeted).To(HaveLen(count))
	}
}

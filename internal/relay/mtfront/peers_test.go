package mtfront

import (
	"fmt"
	"math"
	"testing"

	. "github.com/onsi/gomega"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
)

// Failure: four of five digests cross between the data centres of a large fleet.
func TestDigestsStayInTheDataCentre(t *testing.T) {
	for _, c := range []struct{ near, far, most, inner, outer int }{
		{near: 70, far: 285, most: 6, inner: 5, outer: 1},
		{near: 2, far: 285, most: 6, inner: 2, outer: 4},
		{near: 3, far: 0, most: 6, inner: 3},
		{near: 0, far: 3, most: 6, outer: 3},
		{near: 9, far: 0, most: 6, inner: 6},
		{near: 70, far: 285, most: math.MaxInt, inner: 70, outer: 285},
	} {
		g := NewWithT(t)
		known := &peers{}
		for i := range c.near + c.far {
			place := "north"
			if i >= c.near {
				place = "south"
			}
			known.hear(fmt.Sprint(i), &fleetv1.Digest{Entry: fmt.Sprint(i), Datacentre: place})
		}
		inner := 0
		drawn := known.some(c.most, "north")
		for _, address := range drawn {
			if known.known[address].datacentre == "north" {
				inner++
			}
		}
		g.Expect([]int{inner, len(drawn) - inner}).To(Equal([]int{c.inner, c.outer}), "%+v", c)
	}
}

package mtcapacity_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtcapacity"
)

// Guards against bounds that together exceed what the process may hold.
func TestPartsFit(t *testing.T) {
	g := NewWithT(t)
	for _, memory := range []uint64{64, 88, 112, 134, 284, 1048} {
		for _, descriptors := range []uint32{64, 300, 600, 3075, 16384} {
			c := mtcapacity.Of(&fleetv1.Site{Memory: memory << 20, Descriptors: descriptors})
			g.Expect(c.Requests()+c.Connections()).To(BeNumerically("<=", c.Runtime()*3/4), "the collector has room")
			g.Expect(uint64(c.Runtime()+c.Unread())).To(BeNumerically("<", memory<<20*4/5), "the program has room")
			// Each caller's request may take a connection to a target.
			sockets := 2*c.Callers() + c.Idle() + c.Peers() + 2*c.Side()
			g.Expect(sockets).To(BeNumerically("<=", int(descriptors)), "%d", descriptors)
			g.Expect(c.Callers()).To(BeNumerically(">", 0))
		}
	}
}

// Guards against bounds that nobody has set.
func TestNothingGivenIsNoBound(t *testing.T) {
	g := NewWithT(t)
	c := mtcapacity.Of(&fleetv1.Site{})
	g.Expect(c.Runtime() + c.Requests() + c.Connections() + c.Unread()).To(BeZero())
	g.Expect(c.Callers() + c.Idle() + c.Peers()).To(BeZero())
}

func ExampleOf() {
	c := mtcapacity.Of(&fleetv1.Site{Memory: 134 << 20, Descriptors: 4200, Room: &fleetv1.Room{Requests: 10 << 20}})
	fmt.Println(c.Requests()>>20, c.Connections()>>20, c.Callers())
	// Output: 10 33 1500
}

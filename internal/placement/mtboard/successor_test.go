package mtboard_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtlimit"
	"github.com/mustardtide/mustardtide/internal/admission/mtlimiter"
	"github.com/mustardtide/mustardtide/internal/placement/mtboard"
)

// Failure: a request reaches a program of another service, or one that has taken the
// address long after the sidecar there was heard.
func TestOnlyASidecarVouchesForASuccessor(t *testing.T) {
	for name, c := range map[string]struct {
		listed, born int64
		service      string
		wait         time.Duration
		expected     string
	}{
		"the listed program":        {listed: 5, born: 5, service: "pool", expected: "e0"},
		"a successor":               {listed: 5, born: 6, service: "pool"},
		"a while ago":               {listed: 5, born: 6, service: "pool", wait: 1100 * time.Millisecond, expected: "e0"},
		"of another service":        {listed: 5, born: 6, service: "other", expected: "e0"},
		"of a service not told":     {listed: 5, born: 6, expected: "e0"},
		"listed without its start":  {born: 6, service: "pool", expected: "e0"},
		"started before the listed": {listed: 7, born: 6, service: "pool", expected: "e0"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := mtboard.New("north", allowed, mtlimiter.New("", mtlimit.New()))
				b.List(map[string]*fleetv1.Target{"e0": {
					Id: "e0", Service: "pool", Address: "10.0.0.1:80", Datacentre: "north", Slots: 8, Born: c.listed,
					Models: []*fleetv1.Weights{{Model: "m", Version: 1}},
				}}, func(*fleetv1.Target) bool { return false })
				b.Name(&fleetv1.Weights{Model: "m", Version: 1, Revision: 1})
				said := state("e0", 1)
				said.Report.Born, said.Service = c.born, c.service
				b.Hear(said)
				time.Sleep(c.wait)
				NewWithT(t).Expect(b.Choose(query(100, "rules", "own")).Expected()).To(Equal(c.expected))
			})
		})
	}
}

// Failure: a target that was found to be another program is left out for as long as it is
// listed, though its sidecar says that it is the same service's.
func TestSuccessorIsUsedAgain(t *testing.T) {
	g := NewWithT(t)
	b := board(1)
	choice := b.Choose(query(100, "rules", "own"))
	choice.End(mtboard.Rejected{Answer: &fleetv1.Answer{Refused: true, Target: "other"}})
	g.Expect(b.Choose(query(100, "rules", "own"))).To(BeNil())
	b.List(map[string]*fleetv1.Target{"e0": {
		Id: "e0", Service: "pool", Address: "10.0.0.0:80", Datacentre: "north", Slots: 8, Born: 1,
		Models: []*fleetv1.Weights{{Model: "m", Version: 1}},
	}}, func(*fleetv1.Target) bool { return false })
	g.Expect(b.Choose(query(100, "rules", "own"))).To(BeNil())
	said := state("e0", 1)
	said.Report.Born, said.Service = 2, "pool"
	b.Hear(said)
	g.Expect(b.Choose(query(100, "rules", "own")).Expected()).To(BeEmpty())
}

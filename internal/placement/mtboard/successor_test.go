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

// Guards against a request that reaches a program of another service, or one that took over
// the address long after the last heartbeat of the sidecar there.
func TestSuccessorIsConfirmedByItsSidecarOnly(t *testing.T) {
	for name, c := range map[string]struct {
		listed, born int64
		service      string
		wait         time.Duration
		expected     string
	}{
		"the listed program":        {listed: 5, born: 5, service: "pool", expected: "e0"},
		"a successor":               {listed: 5, born: 6, service: "pool"},
		"a second ago":              {listed: 5, born: 6, service: "pool", wait: 1100 * time.Millisecond, expected: "e0"},
		"of another service":        {listed: 5, born: 6, service: "other", expected: "e0"},
		"of an unknown service":     {listed: 5, born: 6, expected: "e0"},
		"listed without its start":  {born: 6, service: "pool", expected: "e0"},
		"started before the listed": {listed: 7, born: 6, service: "pool", expected: "e0"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := mtboard.New("north", gracePeriod, mtlimiter.New("", mtlimit.New()))
				b.UpdateTargets(map[string]*fleetv1.Target{"e0": {
					Id: "e0", Service: "pool", Address: "10.0.0.1:80", Datacentre: "north", Slots: 8, Born: c.listed,
					Models: []*fleetv1.Weights{{Model: "m", Version: 1}},
				}}, func(*fleetv1.Target) bool { return false })
				b.MergeWeights(&fleetv1.Weights{Model: "m", Version: 1, Revision: 1})
				heartbeat := state("e0", 1)
				heartbeat.Report.Born, heartbeat.Service = c.born, c.service
				b.UpdateState(heartbeat)
				time.Sleep(c.wait)
				NewWithT(t).Expect(b.Choose(query(100, "rules", "own")).ExpectedID()).To(Equal(c.expected))
			})
		})
	}
}

// Guards against a target that is left out for as long as it is listed, because another
// program answered at its address, although its sidecar reports that this program is of the
// same service.
func TestSuccessorIsUsedAgain(t *testing.T) {
	g := NewWithT(t)
	b := board(1)
	choice := b.Choose(query(100, "rules", "own"))
	choice.End(mtboard.Rejected{Answer: &fleetv1.Answer{Refused: true, Target: "other"}})
	g.Expect(b.Choose(query(100, "rules", "own"))).To(BeNil())
	b.UpdateTargets(map[string]*fleetv1.Target{"e0": {
		Id: "e0", Service: "pool", Address: "10.0.0.0:80", Datacentre: "north", Slots: 8, Born: 1,
		Models: []*fleetv1.Weights{{Model: "m", Version: 1}},
	}}, func(*fleetv1.Target) bool { return false })
	g.Expect(b.Choose(query(100, "rules", "own"))).To(BeNil())
	heartbeat := state("e0", 1)
	heartbeat.Report.Born, heartbeat.Service = 2, "pool"
	b.UpdateState(heartbeat)
	g.Expect(b.Choose(query(100, "rules", "own")).ExpectedID()).To(BeEmpty())
}

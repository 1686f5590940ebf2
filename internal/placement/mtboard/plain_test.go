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

// Guards against a target that gets the next request although it has just reported that work
// takes three times as long on its machine, and against one that is still avoided long after
// such a report.
func TestSlowMachineIsAvoidedForAMoment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := mtboard.New("north", gracePeriod, mtlimiter.New("", mtlimit.New()))
		b.UpdateTargets(map[string]*fleetv1.Target{
			"a": {Id: "a", Service: "app", Address: "10.0.0.1:80", Datacentre: "north", Slots: 6},
			"b": {Id: "b", Service: "app", Address: "10.0.0.2:80", Datacentre: "north", Slots: 6},
		}, func(*fleetv1.Target) bool { return false })
		choose := func(excluded ...string) *mtboard.Choice {
			q := mtboard.NewQuery(&fleetv1.Service{Name: "app"}, &fleetv1.Ask{}, "", "", 100*time.Millisecond)
			for _, id := range excluded {
				q.Exclude(id)
			}
			return b.Choose(q)
		}
		serve := func(c *mtboard.Choice, pace int32) string {
			time.Sleep(20 * time.Millisecond)
			c.Started(&fleetv1.Answer{Slots: 6, Pace: pace})
			c.End(mtboard.Succeeded{})
			return c.Target()
		}
		for range 200 {
			serve(choose("a"), 100)
			serve(choose("b"), 100)
		}
		time.Sleep(200 * time.Millisecond)
		slow := serve(choose(), 300)
		for range 3 {
			g.Expect(serve(choose(), 100)).NotTo(Equal(slow))
		}
		time.Sleep(200 * time.Millisecond)
		serve(choose(slow), 300)
		g.Expect(serve(choose(), 100)).To(Equal(slow), "the report has expired")
	})
}

package mtboard_test

import (
	"testing"

	. "github.com/onsi/gomega"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/placement/mtboard"
)

// said is a sidecar's state of e0 that names the program at its address, "" for e0 itself.
func said(program string, related bool) *fleetv1.State {
	s := state("e0", 1)
	s.Identified, s.Program, s.Related = true, program, related
	return s
}

// expected returns the id that the next request names, "" if no target takes it.
func expected(b *mtboard.Board) string {
	choice := b.Choose(query(100, "rules", "own"))
	if choice == nil {
		return ""
	}
	defer choice.End(mtboard.Abandoned{})
	return choice.ExpectedID()
}

// Guards against a request that reaches a program of another service, as it names no id or that of
// a program that is not known to be of its service.
func TestRequestNamesTheProgramThatIsMeant(t *testing.T) {
	unidentified := state("e0", 1)
	unidentified.Report.Born = 9
	for name, c := range map[string]struct {
		states []*fleetv1.State
		id     string
	}{
		"nothing is known":               {id: "e0"},
		"a program of unknown id":        {states: []*fleetv1.State{unidentified}, id: "e0"},
		"the listed program":             {states: []*fleetv1.State{said("", false)}, id: "e0"},
		"a successor":                    {states: []*fleetv1.State{said("e0-2", true)}, id: "e0-2"},
		"its successor":                  {states: []*fleetv1.State{said("e0-2", true), said("e0-3", true)}, id: "e0-3"},
		"a successor, then unidentified": {states: []*fleetv1.State{said("e0-2", true), unidentified}, id: "e0-2"},
		"a stranger":                     {states: []*fleetv1.State{said("other", false)}},
		"a stranger, then unidentified":  {states: []*fleetv1.State{said("other", false), unidentified}},
		"a successor, then a stranger":   {states: []*fleetv1.State{said("e0-2", true), said("other", false)}},
		"a stranger, then back again":    {states: []*fleetv1.State{said("other", false), said("", false)}, id: "e0"},
		"back under the listed id":       {states: []*fleetv1.State{said("e0-2", true), said("", false)}, id: "e0"},
	} {
		t.Run(name, func(t *testing.T) {
			b := board(1)
			for _, s := range c.states {
				b.UpdateState(s)
			}
			NewWithT(t).Expect(expected(b)).To(Equal(c.id))
		})
	}
}

// Guards against what is known of the program at an address that is held for or against the target
// that is listed anew, at another address or with another start.
func TestListingForgetsTheProgramBefore(t *testing.T) {
	for name, change := range map[string]func(*fleetv1.Target){
		"at another address": func(target *fleetv1.Target) { target.Address = "10.0.0.9:80" },
		"started again":      func(target *fleetv1.Target) { target.Born = 7 },
	} {
		for _, before := range []*fleetv1.State{said("other", false), said("e0-2", true)} {
			t.Run(name, func(t *testing.T) {
				g := NewWithT(t)
				b := board(1)
				b.UpdateState(before)
				target := &fleetv1.Target{
					Id: "e0", Service: "pool", Address: "10.0.0.0:80", Datacentre: "north", Slots: 8,
					Models: []*fleetv1.Weights{{Model: "m", Version: 1}},
				}
				change(target)
				b.UpdateTargets(map[string]*fleetv1.Target{"e0": target}, func(*fleetv1.Target) bool { return false })
				g.Expect(expected(b)).To(Equal("e0"))
			})
		}
	}
}

// Guards against a successor that is left out because it answers under its own id, and against
// further requests to a stranger that has answered for it.
func TestRejectionBySuccessorAndStranger(t *testing.T) {
	g := NewWithT(t)
	b := board(1)
	b.UpdateState(said("e0-2", true))
	reject := func(by string) {
		b.Choose(query(100, "rules", "own")).End(mtboard.Rejected{Answer: &fleetv1.Answer{Refused: true, Target: by}})
	}
	reject("e0-2")
	g.Expect(expected(b)).To(Equal("e0-2"))
	reject("other")
	g.Expect(expected(b)).To(BeEmpty())
	b.UpdateState(said("e0-3", true))
	g.Expect(expected(b)).To(Equal("e0-3"))
}

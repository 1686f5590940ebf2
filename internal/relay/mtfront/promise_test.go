package mtfront

import (
	"testing"

	. "github.com/onsi/gomega"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
)

// Failure: two entries claim one promise, reach its two sidecars in different orders, and both get
// it; or a process that was not asked decides.
func TestTheFirstSidecarThatKnowsAPromiseDecides(t *testing.T) {
	const (
		taken   = fleetv1.ClaimState_CLAIM_STATE_TAKEN
		spent   = fleetv1.ClaimState_CLAIM_STATE_SPENT
		unknown = fleetv1.ClaimState_CLAIM_STATE_UNKNOWN
	)
	type answer struct {
		from  string
		state fleetv1.ClaimState
	}
	for _, c := range []struct {
		name              string
		answers           []answer
		state             fleetv1.ClaimState
		settled, answered bool
	}{
		{"none answers", nil, unknown, false, false},
		{"another answers", []answer{{"third", taken}}, unknown, false, false},
		{"one came first at both", []answer{{"second", taken}, {"first", taken}}, taken, true, true},
		{"one came first at the first only", []answer{{"second", spent}, {"first", taken}}, taken, true, true},
		{"one came first at the second only", []answer{{"second", taken}, {"first", spent}}, spent, true, true},
		{"the first has restarted", []answer{{"first", unknown}, {"second", taken}}, taken, true, true},
		{"the first is silent", []answer{{"second", taken}}, taken, false, true},
		{"neither knows it", []answer{{"first", unknown}, {"second", unknown}}, unknown, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			var all claims
			number, lookup := all.begin([]string{"first", "second"})
			for _, a := range c.answers {
				all.take(a.from, &fleetv1.Claimed{Ask: number, State: a.state})
			}
			settled, _ := BeClosed().Match(lookup.done)
			g.Expect(settled).To(Equal(c.settled))
			result := all.end(number)
			g.Expect(result.state).To(Equal(c.state))
			g.Expect(result.answered).To(Equal(c.answered))
			all.take("first", &fleetv1.Claimed{Ask: number, State: taken})
			g.Expect(all.open).To(BeEmpty())
		})
	}
}

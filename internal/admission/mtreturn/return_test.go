package mtreturn_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/admission/mtreturn"
)

// All entries start anew while the store is away for two to six seconds. Callers
// come once more at most, and within a third of the four seconds that they have.
// Most are served after the outage, where a fixed 0.3 s served next to none.
func TestCallersReturnAfterTheOutage(t *testing.T) {
	g := NewWithT(t)
	for _, outage := range []time.Duration{2 * time.Second, 4 * time.Second} {
		served := func(again func(wanted time.Duration) time.Duration) int {
			count := 0
			for at := time.Duration(0); at < outage; at += 10 * time.Millisecond {
				if at+again(at) > outage {
					count++
				}
			}
			return count
		}
		all := int(outage / (10 * time.Millisecond))
		told := served(func(wanted time.Duration) time.Duration {
			return min(mtreturn.After(wanted), 4*time.Second/3)
		})
		fixed := served(func(time.Duration) time.Duration { return 300 * time.Millisecond })
		g.Expect(told).To(BeNumerically(">", 2*fixed))
		g.Expect(told).To(BeNumerically(">=", all/4), fmt.Sprint(outage))
	}
}

// A process that has just started and had no answer refused knows in a moment.
func TestAUsualStartIsShort(t *testing.T) {
	for range 100 {
		NewWithT(t).Expect(mtreturn.After(20 * time.Millisecond)).To(BeNumerically("<", 400*time.Millisecond))
	}
}

// Those who are refused together are spread, and nobody is sent away for a minute.
func TestReturnsAreSpread(t *testing.T) {
	g := NewWithT(t)
	least, most := time.Hour, time.Duration(0)
	for range 300 {
		again := mtreturn.After(time.Minute)
		least, most = min(least, again), max(most, again)
	}
	g.Expect(most).To(BeNumerically("<=", 12500*time.Millisecond))
	g.Expect(most - least).To(BeNumerically(">", 3*time.Second))
}

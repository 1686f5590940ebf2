package mtreturn_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/admission/mtreturn"
)

// All entries restart while the store is down for two to six seconds. Callers retry at most
// once, within a third of their four seconds. At least a quarter must be served after the
// outage, and more than twice as many as with a fixed delay of 0.3 s, which serves few.
func TestCallersRetryAfterOutage(t *testing.T) {
	g := NewWithT(t)
	for _, outage := range []time.Duration{2 * time.Second, 4 * time.Second} {
		served := func(retryAfter func(waited time.Duration) time.Duration) int {
			count := 0
			for at := time.Duration(0); at < outage; at += 10 * time.Millisecond {
				if at+retryAfter(at) > outage {
					count++
				}
			}
			return count
		}
		all := int(outage / (10 * time.Millisecond))
		adaptive := served(func(waited time.Duration) time.Duration {
			return min(mtreturn.RetryAfter(waited), 4*time.Second/3)
		})
		fixed := served(func(time.Duration) time.Duration { return 300 * time.Millisecond })
		g.Expect(adaptive).To(BeNumerically(">", 2*fixed))
		g.Expect(adaptive).To(BeNumerically(">=", all/4), fmt.Sprint(outage))
	}
}

// A process that has only just started is ready soon, so the delay is short.
func TestDelayIsShortAfterStart(t *testing.T) {
	for range 100 {
		NewWithT(t).Expect(mtreturn.RetryAfter(20 * time.Millisecond)).To(BeNumerically("<", 400*time.Millisecond))
	}
}

// Callers that are refused together get spread delays, and none of a minute.
func TestRetriesAreSpread(t *testing.T) {
	g := NewWithT(t)
	lowest, highest := time.Hour, time.Duration(0)
	for range 300 {
		retryAfter := mtreturn.RetryAfter(time.Minute)
		lowest, highest = min(lowest, retryAfter), max(highest, retryAfter)
	}
	g.Expect(highest).To(BeNumerically("<=", 12500*time.Millisecond))
	g.Expect(highest - lowest).To(BeNumerically(">", 3*time.Second))
}

package mtshed_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/admission/mtshed"
)

const (
	aim   = 800 * time.Millisecond
	whole = 6 * time.Second
)

func decide(rank int32, estimate, wait, left time.Duration) mtshed.Verdict {
	return mtshed.Decide(rank, estimate, wait, aim, left, whole)
}

// A burst: queues grow beyond the aim. The less urgent are sent away first, the
// urgent later, and those who come back are taken in.
func TestOverload(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct {
		rank     int32
		estimate time.Duration
		left     time.Duration
		refused  bool
	}{
		{1, 500 * time.Millisecond, whole, false},
		{1, 900 * time.Millisecond, whole, true},
		{0, 900 * time.Millisecond, whole, false},
		{0, 1500 * time.Millisecond, whole, true},
		{1, 1500 * time.Millisecond, 4 * time.Second, false},
		{0, 1500 * time.Millisecond, time.Second, true},
	} {
		v := decide(c.rank, c.estimate, c.estimate/2, c.left)
		g.Expect(v.Refused()).To(Equal(c.refused), fmt.Sprint(c))
	}
}

// A prompt that is long by itself meets an idle target: it is served, late.
func TestLongPromptOnAnIdleTarget(t *testing.T) {
	NewWithT(t).Expect(decide(1, 1500*time.Millisecond, 0, whole).Refused()).To(BeFalse())
}

// Those who are sent away together do not come back together, nor before the
// queue can have moved, nor so late that their time is over.
func TestReturnsAreSpread(t *testing.T) {
	g := NewWithT(t)
	first, last := whole, time.Duration(0)
	for range 200 {
		again := decide(1, 1200*time.Millisecond, 900*time.Millisecond, whole).Again()
		first, last = min(first, again), max(last, again)
	}
	g.Expect(first).To(BeNumerically(">=", 100*time.Millisecond))
	g.Expect(last).To(BeNumerically("<", whole/3))
	g.Expect(last - first).To(BeNumerically(">", 400*time.Millisecond))
}

// An overloaded service, in steps of 10 ms: work for 1.5 engines comes to one,
// for eight seconds. Without shedding every answer is late from the second
// second on; with it most of those that are taken in are in time.
func TestMostAnswersAreInTimeUnderOverload(t *testing.T) {
	g := NewWithT(t)
	inTime := func(shed bool) int {
		var queue time.Duration
		count := 0
		for step := range 800 {
			queue = max(0, queue-10*time.Millisecond)
			if step%10 != 0 {
				continue
			}
			const own = 150 * time.Millisecond
			if shed && decide(1, queue+own, queue, whole).Refused() {
				continue
			}
			if queue+own <= aim {
				count++
			}
			queue += own
		}
		return count
	}
	g.Expect(inTime(false)).To(BeNumerically("<", 25))
	g.Expect(inTime(true)).To(BeNumerically(">", 45))
}

package mtshed_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/admission/mtshed"
)

const (
	aim     = 800 * time.Millisecond
	timeout = 6 * time.Second
)

func decide(rank int32, estimate, wait, left time.Duration) mtshed.Decision {
	return mtshed.Decide(rank, estimate, wait, aim, left, timeout)
}

// Queues grow beyond the aim in a burst. Less urgent requests are rejected first and urgent
// ones later, and retried requests are admitted.
func TestOverload(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct {
		rank     int32
		estimate time.Duration
		left     time.Duration
		refused  bool
	}{
		{1, 500 * time.Millisecond, timeout, false},
		{1, 900 * time.Millisecond, timeout, true},
		{0, 900 * time.Millisecond, timeout, false},
		{0, 1500 * time.Millisecond, timeout, true},
		{1, 1500 * time.Millisecond, 4 * time.Second, false},
		{0, 1500 * time.Millisecond, time.Second, true},
	} {
		v := decide(c.rank, c.estimate, c.estimate/2, c.left)
		g.Expect(v.Refused()).To(Equal(c.refused), fmt.Sprint(c))
	}
}

// A prompt that is long by itself is served late by an idle target, not rejected.
func TestLongPromptOnAnIdleTarget(t *testing.T) {
	NewWithT(t).Expect(decide(1, 1500*time.Millisecond, 0, timeout).Refused()).To(BeFalse())
}

// Callers that are rejected together do not retry together, nor before the queue can have
// advanced, nor after their deadline.
func TestRetriesAreSpread(t *testing.T) {
	g := NewWithT(t)
	first, last := timeout, time.Duration(0)
	for range 200 {
		retryAfter := decide(1, 1200*time.Millisecond, 900*time.Millisecond, timeout).RetryAfter()
		first, last = min(first, retryAfter), max(last, retryAfter)
	}
	g.Expect(first).To(BeNumerically(">=", 100*time.Millisecond))
	g.Expect(last).To(BeNumerically("<", timeout/3))
	g.Expect(last - first).To(BeNumerically(">", 400*time.Millisecond))
}

// Simulates eight seconds of overload in steps of 10 ms: one engine receives work for 1.5.
// Without shedding every answer is late from the second second on. With it, most of the
// admitted requests are answered in time.
func TestMostAnswersAreInTimeDuringOverload(t *testing.T) {
	g := NewWithT(t)
	inTime := func(shed bool) int {
		var queue time.Duration
		count := 0
		for step := range 800 {
			queue = max(0, queue-10*time.Millisecond)
			if step%10 != 0 {
				continue
			}
			const serviceTime = 150 * time.Millisecond
			if shed && decide(1, queue+serviceTime, queue, timeout).Refused() {
				continue
			}
			if queue+serviceTime <= aim {
				count++
			}
			queue += serviceTime
		}
		return count
	}
	g.Expect(inTime(false)).To(BeNumerically("<", 25))
	g.Expect(inTime(true)).To(BeNumerically(">", 45))
}

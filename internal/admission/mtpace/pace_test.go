package mtpace_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/admission/mtpace"
)

// Guards against slow engines that are forgotten as fast ones answer, or never.
func TestSlowestIsKeptForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := &mtpace.Pace{}
		expect := func(wantStart, wantToken time.Duration) {
			start, token := p.Slowest()
			g.Expect([]time.Duration{start, token}).To(Equal([]time.Duration{wantStart, wantToken}))
		}
		expect(0, 0)
		p.Started(time.Second)
		p.Streamed(400*time.Millisecond, 10)
		for range 14 {
			time.Sleep(time.Second)
			p.Started(100 * time.Millisecond)
			p.Streamed(100*time.Millisecond, 10)
			expect(time.Second, 40*time.Millisecond)
		}
		time.Sleep(20 * time.Second)
		expect(0, 0)
		p.Started(100 * time.Millisecond)
		p.Streamed(100*time.Millisecond, 10)
		expect(100*time.Millisecond, 10*time.Millisecond)
		time.Sleep(time.Minute)
		expect(0, 0)
	})
}

// Guards against one late token that makes all engines look slow.
func TestFewTokensSayNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &mtpace.Pace{}
		p.Streamed(10*time.Second, 7)
		_, token := p.Slowest()
		NewWithT(t).Expect(token).To(BeZero())
	})
}

package mtcopy_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/request/mtcopy"
)

// Figures of a fleet whose quarter crashes three times: 53 engines, urgent runs of 2 s with 826 +
// 294 tokens, long prompts of 9,190 + 49 tokens, prefill of 12 us and transfer of 268 ns a token.
const (
	engines  = 53
	prefill  = 12 * time.Microsecond
	transfer = 268 * time.Nanosecond
	urgent   = 600*time.Millisecond + 826*prefill
	lasting  = 2 * time.Second
	price    = 1120 * transfer
)

func pays(c *mtcopy.Copies) bool { return c.Pays("pool", engines, lasting, urgent, price) }

// Guards against runs without copies while a quarter of the fleet crashes three times.
func TestQuarterOfTheFleetCrashesThreeTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, c := NewWithT(t), mtcopy.New()
		for round := range 3 {
			for i := range engines / 4 {
				// Thirty runs of the same program break off.
				for range 30 {
					c.RecordCrash("pool", fmt.Sprint("e", i), int64(round+1), 0)
				}
			}
			g.Expect(pays(c)).To(BeTrue())
			// The crashes of earlier rounds have lost a ninth of their weight in each pause of 3.5 s.
			weights := []float64{13, 24.5, 34.7}[round]
			g.Expect(c.Rate("pool", engines)).To(BeNumerically("~", weights/25.25/engines, 0.0002))
			time.Sleep(3500 * time.Millisecond)
		}
		g.Expect(c.Pays("other", engines, lasting, urgent, price)).To(BeFalse(), "no engine of this service crashed")
		time.Sleep(61 * time.Second)
		g.Expect(pays(c)).To(BeFalse(), "the last crash is a minute ago")
		g.Expect(c.Rate("pool", engines)).To(BeZero())
	})
}

// Guards against copies on ordinary days: no crash was seen, so nothing is paid.
func TestNoCrashNoCopies(t *testing.T) {
	NewWithT(t).Expect(mtcopy.New().Pays("pool", engines, time.Hour, time.Hour, time.Nanosecond)).To(BeFalse())
}

// Guards against copies over slow links, where they take the time of the fetches of cached parts.
func TestDearTransfersMeanNoCopies(t *testing.T) {
	g, c := NewWithT(t), mtcopy.New()
	g.Expect(c.Affordable(transfer, prefill)).To(BeTrue())
	g.Expect(c.Affordable(32*time.Nanosecond, 1024*time.Nanosecond)).To(BeTrue())
	g.Expect(c.Affordable(33*time.Nanosecond, 1024*time.Nanosecond)).To(BeFalse())
	g.Expect(c.Affordable(0, prefill)).To(BeFalse(), "the operators don't say what a transfer takes")
	g.Expect(c.Affordable(transfer, 0)).To(BeFalse(), "nothing is learned yet")
	c.RecordCrash("pool", "e0", 1, 0)
	g.Expect(c.Pays("pool", engines, lasting, urgent, 100*price)).To(BeFalse())
}

// Guards against copies at full price long after a crash: its weight halves every 20 s.
func TestCrashesAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, c := NewWithT(t), mtcopy.New()
		c.RecordCrash("pool", "e0", 1, 0)
		first := c.Rate("pool", engines)
		time.Sleep(20 * time.Second)
		g.Expect(c.Rate("pool", engines)).To(BeNumerically("~", first/2, first/1000))
		c.RecordCrash("pool", "e0", 1, 0)
		c.RecordCrash("pool", "e1", 1, 2*time.Minute)
		g.Expect(c.Rate("pool", engines)).To(BeNumerically("~", first/2, first/1000), "known, or long ago")
	})
}

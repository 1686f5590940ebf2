package mtschedule_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/admission/mtschedule"
)

const (
	urgent     = 0
	background = 3
)

// begin lets responses begin at a rate for a time.
func begin(s *mtschedule.Schedule, perSecond int, d time.Duration) {
	for range int(d.Seconds() * float64(perSecond)) {
		time.Sleep(time.Second / time.Duration(perSecond))
		s.Begin(background)
	}
}

// Failure: callers that are refused together are told the same time, and return together. Load:
// 40 responses a second, then 200 refusals at one moment by callers with 15 s left.
func TestRefusalsAreSpreadByTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := mtschedule.New()
		begin(s, 40, 4*time.Second)
		perSecond := map[int]int{}
		for range 200 {
			again, opens, closes := s.Book(background, 15*time.Second)
			g.Expect(again).To(BeNumerically("<=", 5*time.Second))
			g.Expect(again).To(BeNumerically(">=", 100*time.Millisecond))
			g.Expect(opens).To(BeNumerically("<", again))
			g.Expect(closes).To(BeNumerically(">", again+250*time.Millisecond))
			perSecond[int(again/time.Second)]++
		}
		for second := range 4 {
			g.Expect(perSecond[second]).To(And(BeNumerically(">=", 15), BeNumerically("<=", 25)), fmt.Sprint(perSecond))
		}
	})
}

// Failure: the first refusals after a start, or of a class that was not served lately, are all told
// the same time. A caller with little time left gets none beyond a third of it.
func TestSlotsWithoutAKnownRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := mtschedule.New()
		times := map[time.Duration]int{}
		for range 4 {
			_, opens, _ := s.Book(background, 15*time.Second)
			times[opens]++
		}
		g.Expect(times).To(HaveLen(4))
		again, _, _ := s.Book(background, 600*time.Millisecond)
		g.Expect(again).To(BeNumerically("<=", 200*time.Millisecond))
		time.Sleep(time.Hour)
		again, _, _ = s.Book(background, 15*time.Second)
		g.Expect(again).To(BeNumerically("<", 200*time.Millisecond), "old bookings hold no slots")
	})
}

// Failure: engines are lost, and all that were promised room before take it from new requests.
// Load: 100 responses a second, of which a quarter is left. A small entry, which sees three
// responses a second, does not take its noise for a loss.
func TestBookingsAreDrawnAfterALoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		keep := func(s *mtschedule.Schedule) int {
			kept := 0
			for range 1000 {
				if s.Keep() {
					kept++
				}
			}
			return kept
		}
		s := mtschedule.New()
		begin(s, 100, 4*time.Second)
		g.Expect(keep(s)).To(Equal(1000))
		begin(s, 25, 2*time.Second)
		g.Expect(keep(s)).To(And(BeNumerically(">", 150), BeNumerically("<", 400)))
		shifted := mtschedule.New()
		begin(shifted, 100, 4*time.Second)
		for range 200 {
			time.Sleep(10 * time.Millisecond)
			shifted.Begin(urgent)
		}
		g.Expect(keep(shifted)).To(Equal(1000), "fewer of the class are admitted, and more of another")
		small := mtschedule.New()
		begin(small, 3, 4*time.Second)
		time.Sleep(600 * time.Millisecond)
		g.Expect(keep(small)).To(Equal(1000))
	})
}

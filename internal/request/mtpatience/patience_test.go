package mtpatience_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/request/mtpatience"
)

func ExamplePatience() {
	p := mtpatience.New(1500*time.Millisecond, 300*time.Millisecond)
	fmt.Println(p.Take(time.Minute, 1, false, 0))
	fmt.Println(p.Take(5*time.Second, 1, false, 0))
	fmt.Println(p.Take(time.Second, 1, false, 0))
	// Output:
	// <nil>
	// <nil>
	// no whole event within the callers' patience
}

// Failure: the longest of the three times that callers wait is not the one that counts.
func TestLongestTimeCounts(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct{ objective, gap, span time.Duration }{
		{0, 0, 2 * time.Second}, {1500 * time.Millisecond, 300 * time.Millisecond, 6 * time.Second}, {500 * time.Millisecond, 800 * time.Millisecond, 6400 * time.Millisecond},
	} {
		p := mtpatience.New(c.objective, c.gap)
		g.Expect(p.Take(0, 1, false, 0)).To(Succeed())
		g.Expect(p.Take(c.span-time.Millisecond, 1, false, 0)).To(Succeed())
		g.Expect(p.Take(time.Millisecond, 1, false, 0)).To(MatchError(mtpatience.ErrLate))
	}
}

// Failure: a stream whose target is silent for long, and then goes on, is cut.
func TestSilenceIsNotCut(t *testing.T) {
	g := NewWithT(t)
	p := mtpatience.New(0, 0)
	for range 3 {
		g.Expect(p.Take(time.Minute, 100, false, 0)).To(Succeed())
		g.Expect(p.Take(time.Minute, 100, true, 0)).To(Succeed())
	}
}

// Failure: bytes that come a few at a time keep a stream going for ever.
func TestBytesWithoutEventsDoNotRenewThePatience(t *testing.T) {
	g := NewWithT(t)
	p := mtpatience.New(0, 0)
	for range 20 {
		g.Expect(p.Take(100*time.Millisecond, 1, false, 0)).To(Succeed())
	}
	g.Expect(p.Take(100*time.Millisecond, 1, false, 0)).To(MatchError(mtpatience.ErrLate))
}

// Failure: a stream is cut for its whole time or length, though its events come.
func TestEventsRenewThePatience(t *testing.T) {
	g := NewWithT(t)
	p := mtpatience.New(0, 0)
	for range 100 {
		g.Expect(p.Take(1900*time.Millisecond, 200<<10, false, 0)).To(Succeed())
		g.Expect(p.Take(50*time.Millisecond, 100<<10, true, 10<<10)).To(Succeed())
	}
}

// Failure: bytes behind a whole event are not counted against the next one.
func TestBytesWithoutAWholeEvent(t *testing.T) {
	g := NewWithT(t)
	p := mtpatience.New(0, 0)
	g.Expect(p.Take(0, 300<<10, true, 1)).To(Succeed())
	g.Expect(p.Take(0, 256<<10-1, false, 0)).To(Succeed())
	g.Expect(p.Take(0, 1, false, 0)).To(MatchError(mtpatience.ErrLong))
}

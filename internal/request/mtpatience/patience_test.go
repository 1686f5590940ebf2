package mtpatience_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/request/mtpatience"
)

func ExampleNew() {
	fmt.Println(mtpatience.New(0, 0).Left())
	fmt.Println(mtpatience.New(1500*time.Millisecond, 300*time.Millisecond).Left())
	fmt.Println(mtpatience.New(500*time.Millisecond, 800*time.Millisecond).Left())
	// Output:
	// 2s
	// 6s
	// 6.4s
}

// Failure: bytes that come a few at a time keep a stream going for ever.
func TestBytesWithoutEventsDoNotRenewThePatience(t *testing.T) {
	g := NewWithT(t)
	p := mtpatience.New(0, 0)
	for range 19 {
		g.Expect(p.Take(100*time.Millisecond, 1, false, 0)).To(Succeed())
	}
	g.Expect(p.Left()).To(Equal(100 * time.Millisecond))
	g.Expect(p.Take(100*time.Millisecond, 1, false, 0)).To(MatchError(mtpatience.ErrLate))
}

// Failure: a stream is cut for its whole time or length, though its events come.
func TestEventsRenewThePatience(t *testing.T) {
	g := NewWithT(t)
	p := mtpatience.New(0, 0)
	for range 100 {
		g.Expect(p.Take(1900*time.Millisecond, 200<<10, false, 0)).To(Succeed())
		g.Expect(p.Take(50*time.Millisecond, 100<<10, true, 10<<10)).To(Succeed())
		g.Expect(p.Left()).To(Equal(2 * time.Second))
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

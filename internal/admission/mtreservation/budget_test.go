package mtreservation_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/mustardtide/mustardtide/internal/admission/mtreservation"
)

const megabyte = 1 << 20

// holder is a request whose reading ends when its reservation is broken off.
type holder struct {
	*mtreservation.Reservation
	broken chan struct{}
}

func open(b *mtreservation.Budget, account string) *holder {
	h := &holder{broken: make(chan struct{})}
	h.Reservation = b.Open(account, func() { close(h.broken) })
	go func() {
		<-h.broken
		h.Release()
	}()
	return h
}

func (h *holder) gone() bool {
	select {
	case <-h.broken:
		return true
	default:
		return false
	}
}

func (h *holder) grow(n int64) error { return h.Grow(context.Background(), n) }

// Guards against open bodies that shut everybody out: those without progress give up their bytes.
func TestStalledBodiesYield(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := mtreservation.New(16 * megabyte)
		slow := open(b, "a")
		g.Expect(slow.grow(megabyte)).To(Succeed())
		crowd := []*holder{open(b, "a"), open(b, "a"), open(b, "a")}
		for _, h := range crowd {
			g.Expect(h.grow(2 * megabyte)).To(Succeed())
			h.Progress()
		}
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			slow.Progress()
		}
		late := open(b, "a")
		g.Expect(late.grow(3 * megabyte)).To(Succeed())
		synctest.Wait()
		g.Expect([]bool{crowd[0].gone(), crowd[1].gone(), crowd[2].gone(), slow.gone()}).To(ContainElements(true, false))
		g.Expect(slow.gone()).To(BeFalse(), "one that makes progress stays")
		for _, h := range append(crowd, slow, late) {
			if !h.gone() {
				close(h.broken)
			}
		}
	})
}

// Guards against one account that takes the memory of the others.
func TestOtherAccountsAreSpared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := mtreservation.New(16 * megabyte)
		other := open(b, "other")
		g.Expect(other.grow(3 * megabyte)).To(Succeed())
		time.Sleep(time.Minute)
		var crowd []*holder
		for range 8 {
			h := open(b, "crowd")
			crowd = append(crowd, h)
			// All are received whole, so that none of them can be broken off.
			if h.grow(2*megabyte) == nil {
				h.Received()
			}
		}
		g.Expect(other.gone()).To(BeFalse())
		g.Expect(other.grow(megabyte)).To(Succeed())
		small := open(b, "crowd")
		g.Expect(small.grow(1000)).To(Succeed(), "small requests fit beside them")
		for _, h := range append(crowd, other, small) {
			if !h.gone() {
				close(h.broken)
			}
		}
	})
}

// Failure: a body that no budget holds is awaited, and breaks off the others in vain.
func TestBodyLargerThanTheBudget(t *testing.T) {
	g := NewWithT(t)
	b := mtreservation.New(megabyte)
	h := b.Open("", func() { t.Error("broken off") })
	defer h.Release()
	g.Expect(h.Grow(context.Background(), 2*megabyte)).To(MatchError(mtreservation.ErrLarge))
}

// Guards against sums over the limit, and bytes that stay counted after their requests.
func TestSumStaysWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(*testing.T) {
			limit := int64(rapid.IntRange(1, 4).Draw(rt, "limit")) * megabyte
			b := mtreservation.New(limit)
			var all []*holder
			for range rapid.IntRange(1, 60).Draw(rt, "steps") {
				account := rapid.SampledFrom([]string{"", "a", "b"}).Draw(rt, "account")
				h := open(b, account)
				all = append(all, h)
				err := h.grow(int64(rapid.IntRange(1, megabyte).Draw(rt, "bytes")))
				if err == nil && rapid.Bool().Draw(rt, "whole") {
					h.Received()
				}
				time.Sleep(time.Duration(rapid.IntRange(0, 1000).Draw(rt, "ms")) * time.Millisecond)
				if b.Used() > limit {
					rt.Fatalf("%d bytes of %d", b.Used(), limit)
				}
			}
			for _, h := range all {
				if !h.gone() {
					close(h.broken)
				}
			}
			synctest.Wait()
			if b.Used() != 0 {
				rt.Fatalf("%d bytes stay", b.Used())
			}
		})
	})
}

func ExampleBudget_Open() {
	budget := mtreservation.New(8 << 20)
	reservation := budget.Open("school", func() {})
	defer reservation.Release()
	fmt.Println(reservation.Grow(context.Background(), 1000), budget.Used())
	// Output: <nil> 1000
}

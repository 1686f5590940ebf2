package mtallocator_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/types/known/durationpb"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtallocator"
)

const (
	rate  = 1000
	burst = 1000
	// drawInterval is the time between two draws.
	drawInterval = 100 * time.Millisecond
)

// lender is an entry that draws.
type lender struct {
	to      *mtallocator.Allocator
	name    string
	run     uint64
	number  uint64
	entries int
}

// draw requests the cost of one request and returns what was granted, or -1 for no answer.
func (l *lender) draw(cost, returned int64) int64 {
	l.number++
	return l.send(cost, returned, false)
}

func (l *lender) send(cost, returned int64, leaves bool) int64 {
	draw := &fleetv1.Draw{Run: l.run, Number: l.number, Leaves: leaves, Needs: []*fleetv1.Need{{Account: "school", Waiting: cost, Returned: returned}}}
	grant := l.to.Answer(l.name, draw, l.entries, account)
	if grant == nil {
		return -1
	}
	return grant.GetCredits()[0].GetAmount()
}

// renewLease renews the lease for a duration without drawing credit.
func (l *lender) renewLease(d time.Duration) {
	for range int(d / drawInterval) {
		l.draw(0, 0)
		time.Sleep(drawInterval)
	}
}

func account(name string) *fleetv1.Account {
	if name != "school" {
		return nil
	}
	return &fleetv1.Account{Name: name, Rate: rate, Burst: burst}
}

func withAllocator(t *testing.T, test func(g *WithT, a *mtallocator.Allocator)) {
	synctest.Test(t, func(t *testing.T) {
		test(NewWithT(t), mtallocator.New(&fleetv1.Bounds{Span: durationpb.New(8 * time.Second)}))
	})
}

// Failure: an allocator that starts grants the burst that another has already granted.
func TestNewAllocatorStartsWithoutBurst(t *testing.T) {
	withAllocator(t, func(g *WithT, a *mtallocator.Allocator) {
		one := &lender{to: a, name: "one", run: 1, entries: 1}
		g.Expect(one.draw(100, 0)).To(BeZero())
		one.renewLease(2 * drawInterval)
		g.Expect(one.draw(100, 0)).To(Equal(int64(100)))
		g.Expect(one.draw(200, 0)).To(BeZero())
		one.renewLease(5 * time.Second)
		g.Expect(one.draw(burst, 0)).To(Equal(int64(burst)))
	})
}

// Failure: half of a partitioned fleet gets the whole quota.
func TestAllocatorGrantsOnlyLentPart(t *testing.T) {
	withAllocator(t, func(g *WithT, a *mtallocator.Allocator) {
		one := &lender{to: a, name: "one", run: 1, entries: 4}
		one.renewLease(8 * time.Second)
		g.Expect(one.draw(burst/4+1, 0)).To(BeZero())
		g.Expect(one.draw(burst/4, 0)).To(Equal(int64(burst / 4)))
	})
}

// Failure: a datagram arrives twice or late, and its returned credit counts again.
func TestDuplicateDraws(t *testing.T) {
	withAllocator(t, func(g *WithT, a *mtallocator.Allocator) {
		one := &lender{to: a, name: "one", run: 1, entries: 1}
		one.renewLease(2 * time.Second)
		g.Expect(one.draw(burst, 0)).To(Equal(int64(burst)))
		g.Expect(one.draw(0, 100)).To(BeZero())
		g.Expect(one.send(0, 100, false)).To(Equal(int64(-1)))
		old := *one
		one.run, one.number = 2, 0
		g.Expect(one.draw(0, 400)).To(BeZero(), "credit of an earlier run does not count")
		g.Expect(old.send(0, 400, false)).To(Equal(int64(-1)))
		g.Expect(one.draw(101, 0)).To(BeZero())
		g.Expect(one.draw(100, 0)).To(Equal(int64(100)))
	})
}

// Failure: a draw that arrives after a later one is ignored, and the request that waits for it is
// refused although there is credit.
func TestReorderedDraws(t *testing.T) {
	withAllocator(t, func(g *WithT, a *mtallocator.Allocator) {
		one := &lender{to: a, name: "one", run: 1, entries: 1}
		one.renewLease(2 * time.Second)
		ahead := func(number uint64, held int64) *fleetv1.Grant {
			return a.Answer("one", &fleetv1.Draw{Run: 1, Number: number, Needs: []*fleetv1.Need{{Account: "school", Ahead: 100, Held: held}}}, 1, account)
		}
		first := one.number
		g.Expect(ahead(first+3, 0).GetCredits()[0].GetAmount()).To(Equal(int64(100)))
		one.number = first + 1
		g.Expect(one.draw(200, 0)).To(Equal(int64(200)))
		one.number = first + 1
		g.Expect(one.draw(200, 0)).To(Equal(int64(-1)), "a duplicate of an earlier draw")
		g.Expect(ahead(first+1, 0).GetCredits()[0].GetAmount()).To(Equal(int64(100)))
		g.Expect(ahead(first+3, 0)).To(BeNil(), "a duplicate of an earlier draw")
		one.number = first + 100
		g.Expect(one.draw(0, 0)).To(BeZero())
		one.number = first + 10
		g.Expect(one.draw(0, 0)).To(Equal(int64(-1)), "too old to tell from a duplicate")
	})
}

// Failure: an entry lends its share elsewhere, and an earlier draw that arrives late lends it
// here again.
func TestReleaseEndsLease(t *testing.T) {
	withAllocator(t, func(g *WithT, a *mtallocator.Allocator) {
		one := &lender{to: a, name: "one", run: 1, entries: 2}
		two := &lender{to: a, name: "two", run: 2, entries: 2}
		one.draw(0, 0)
		two.number = 7
		two.send(0, 0, true)
		two.number = 6
		g.Expect(two.send(0, 0, false)).To(Equal(int64(-1)))
		one.renewLease(4 * time.Second)
		g.Expect(one.draw(burst/2+1, 0)).To(BeZero())
		g.Expect(one.draw(burst/2, 0)).To(Equal(int64(burst / 2)))
	})
}

// Failure: a process that was frozen treats the draws queued in its socket as fresh, and accrues
// credit for the time in which it was frozen.
func TestFrozenAllocatorStartsEmpty(t *testing.T) {
	withAllocator(t, func(g *WithT, a *mtallocator.Allocator) {
		one := &lender{to: a, name: "one", run: 1, entries: 1}
		one.renewLease(3 * time.Second)
		time.Sleep(5 * time.Second)
		g.Expect(one.draw(100, 0)).To(BeZero())
	})
}

// Failure: credit that entries hold is granted a second time to waiting requests.
func TestHeldCreditIsPartOfTheBurst(t *testing.T) {
	withAllocator(t, func(g *WithT, a *mtallocator.Allocator) {
		one := &lender{to: a, name: "one", run: 1, entries: 1}
		one.renewLease(3 * time.Second)
		one.number++
		grant := a.Answer("one", &fleetv1.Draw{Run: 1, Number: one.number, Needs: []*fleetv1.Need{{Account: "school", Ahead: 10 * burst}}}, 1, account)
		held := grant.GetCredits()[0].GetAmount()
		g.Expect(held).To(Equal(int64(burst / 2)))
		for range 40 {
			time.Sleep(drawInterval)
			one.number++
			a.Answer("one", &fleetv1.Draw{Run: 1, Number: one.number, Needs: []*fleetv1.Need{{Account: "school", Held: held}}}, 1, account)
		}
		g.Expect(one.draw(burst, 0)).To(BeZero())
	})
}

// Failure: an allocator that was lent a small share for a long time has the whole burst as soon
// as the other entries lend it theirs, although they have used the burst elsewhere.
func TestIncreasedShareGrantsNoBurst(t *testing.T) {
	for _, known := range []bool{true, false} {
		withAllocator(t, func(g *WithT, a *mtallocator.Allocator) {
			const entries = 4
			var lenders []*lender
			for i := range entries {
				lenders = append(lenders, &lender{to: a, name: fmt.Sprint(i), run: uint64(i + 1), entries: entries})
			}
			heartbeat := func(l *lender) {
				l.number++
				a.Answer(l.name, &fleetv1.Draw{Run: l.run, Number: l.number}, entries, account)
			}
			heartbeat(lenders[0])
			if known {
				g.Expect(lenders[0].draw(0, 0)).To(BeZero())
			}
			for range 100 {
				heartbeat(lenders[0])
				time.Sleep(drawInterval)
			}
			for _, l := range lenders {
				heartbeat(l)
			}
			g.Expect(lenders[0].draw(burst/entries+1, 0)).To(BeZero())
			g.Expect(lenders[0].draw(burst/entries, 0)).To(Equal(int64(burst / entries)))
		})
	}
}

// Failure: an allocator that its lenders have left keeps using their shares until the next draw,
// while another allocator already has them.
func TestSharesExpireWithLeases(t *testing.T) {
	withAllocator(t, func(g *WithT, a *mtallocator.Allocator) {
		one := &lender{to: a, name: "one", run: 1, entries: 2}
		two := &lender{to: a, name: "two", run: 2, entries: 2}
		one.renewLease(4 * drawInterval)
		two.draw(0, 0)
		for range 2 {
			time.Sleep(mtallocator.MinLeaseTime / 2)
			one.draw(0, 0)
		}
		for one.draw(10, 0) > 0 {
		}
		time.Sleep(4 * drawInterval)
		half := rate / 2 * (4 * drawInterval).Seconds()
		g.Expect(one.draw(int64(half)+20, 0)).To(BeZero())
		g.Expect(one.draw(int64(half)-20, 0)).NotTo(BeZero())
	})
}

// Failure: requests that cost more than they were charged take more than the quota in the long
// run.
func TestOwedCostIsRepaid(t *testing.T) {
	withAllocator(t, func(g *WithT, a *mtallocator.Allocator) {
		one := &lender{to: a, name: "one", run: 1, entries: 1}
		one.renewLease(3 * time.Second)
		owe := func(amount int64) {
			one.number++
			a.Answer("one", &fleetv1.Draw{Run: 1, Number: one.number, Needs: []*fleetv1.Need{{Account: "school", Owed: amount}}}, 1, account)
		}
		owe(burst + 500)
		g.Expect(one.draw(1, 0)).To(BeZero())
		one.renewLease(400 * time.Millisecond)
		g.Expect(one.draw(1, 0)).To(BeZero())
		one.renewLease(300 * time.Millisecond)
		g.Expect(one.draw(200, 0)).To(Equal(int64(200)))
		owe(-burst)
		g.Expect(one.draw(100, 0)).To(BeZero(), "a negative debt is no credit")
	})
}

// A need for an account without a quota, here an unknown one, is granted in full.
func TestAccountsWithoutQuota(t *testing.T) {
	withAllocator(t, func(g *WithT, a *mtallocator.Allocator) {
		draw := &fleetv1.Draw{Run: 1, Number: 1, Needs: []*fleetv1.Need{{Account: "town", Waiting: 5}}}
		g.Expect(a.Answer("one", draw, 1, account).GetCredits()[0].GetAmount()).To(Equal(int64(5)))
	})
}

// BenchmarkAnswer measures a draw for three accounts at an allocator with 420 lenders and 1,500
// accounts.
func BenchmarkAnswer(b *testing.B) {
	const lenders, accounts = 420, 1500
	a := mtallocator.New(&fleetv1.Bounds{Span: durationpb.New(8 * time.Second), Surplus: 1e5})
	names := make([]string, accounts)
	known := map[string]*fleetv1.Account{}
	for i := range names {
		names[i] = fmt.Sprint("account-", i)
		known[names[i]] = &fleetv1.Account{Name: names[i], Rate: 1e5, Burst: 1e5}
	}
	lookup := func(name string) *fleetv1.Account { return known[name] }
	b.ReportAllocs()
	for i := range b.N {
		draw := &fleetv1.Draw{Run: 1, Number: uint64(i + 1)}
		for j := range 3 {
			draw.Needs = append(draw.Needs, &fleetv1.Need{Account: names[(i*7+j)%accounts], Ahead: 900})
		}
		a.Answer(names[i%lenders], draw, lenders, lookup)
	}
}

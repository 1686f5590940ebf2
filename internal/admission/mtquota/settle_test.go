package mtquota_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtallocator"
	"github.com/mustardtide/mustardtide/internal/admission/mtquota"
)

const (
	settleEntries = 3
	settleRate    = 1000
	settleBurst   = 2000
	// settleStep is the time between two requests.
	settleStep = 10 * time.Millisecond
)

// settleFleet is a fleet whose requests are charged one cost on admission and have another, under
// a quota without any allowed excess.
type settleFleet struct {
	quotas     []*mtquota.Quota
	allocator  *mtallocator.Allocator
	account    *fleetv1.Account
	names      []string
	lastTick   time.Time
	admissions []admission
}

func newSettleFleet() *settleFleet {
	s := &settleFleet{
		allocator: mtallocator.New(nil), names: []string{"one", "two", "three"},
		account: &fleetv1.Account{Name: "school", Rate: settleRate, Burst: settleBurst, Unit: fleetv1.Unit_UNIT_TOKEN},
	}
	for _, name := range s.names {
		quota := mtquota.New(name, nil)
		quota.SetStoredSize(settleEntries)
		s.quotas = append(s.quotas, quota)
	}
	return s
}

// draw delivers a draw to the only allocator of the fleet.
func (s *settleFleet) draw(i int, message mtquota.Message) {
	lookup := func(string) *fleetv1.Account { return s.account }
	if grant := s.allocator.Answer(s.names[i], message.Draw(), settleEntries, lookup); grant != nil {
		s.quotas[i].Receive(message.To(), grant)
	}
}

// request sends one request to one entry, which charges one cost and settles another.
func (s *settleFleet) request(i int, charged, cost int64) bool {
	verdict := s.quotas[i].Admit(s.account, charged)
	if waiting, ok := verdict.(mtquota.Waiting); ok {
		s.draw(i, waiting.Ticket().Message())
		verdict = s.quotas[i].Resolve(waiting.Ticket())
	}
	if _, ok := verdict.(mtquota.Admitted); !ok {
		return false
	}
	s.quotas[i].Settle(s.account, charged, cost)
	s.admissions = append(s.admissions, admission{time.Now(), cost})
	return true
}

// step advances the time by settleStep.
func (s *settleFleet) step() {
	time.Sleep(settleStep)
	if time.Since(s.lastTick) < mtquota.TickInterval {
		return
	}
	s.lastTick = time.Now()
	for i, quota := range s.quotas {
		for _, message := range quota.Tick(1, s.names, s.names) {
			s.draw(i, message)
		}
	}
}

// admittedSince returns the cost admitted since a time.
func (s *settleFleet) admittedSince(since time.Time) float64 {
	sum := 0.0
	for _, a := range s.admissions {
		if !a.at.Before(since) {
			sum += float64(a.cost)
		}
	}
	return sum
}

// Failure: requests that cost more than they were charged take more than the quota, and ones that
// cost less leave some of it unused.
func TestQuotaChargesActualCost(t *testing.T) {
	for name, cost := range map[string]int64{"more": 200, "as much": 100, "less": 20, "nothing": 0} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := newSettleFleet()
				for range 200 {
					s.step()
				}
				const seconds = 30
				start, admitted := time.Now(), 0
				for i := range seconds * int(time.Second/settleStep) {
					if s.request(i%settleEntries, 100, cost) {
						admitted++
					}
					s.step()
				}
				requests := seconds * int(time.Second/settleStep)
				if cost*int64(requests)/seconds < settleRate {
					g.Expect(admitted).To(BeNumerically(">=", requests*97/100))
					return
				}
				g.Expect(s.admittedSince(start)).To(BeNumerically("<=", settleRate*seconds+settleBurst+settleEntries*100))
				g.Expect(s.admittedSince(start)).To(BeNumerically(">=", 0.95*settleRate*seconds))
			})
		})
	}
}

// Failure: one request larger than the burst uses it at one entry, while the same account gets
// its full rate at the other entries.
func TestLargeRequestIsRepaidByAllEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newSettleFleet()
		for range 500 {
			s.step()
		}
		g.Expect(s.request(0, settleBurst, 5*settleBurst)).To(BeTrue())
		for range 10 {
			s.step()
		}
		start := time.Now()
		for !s.request(1, 100, 100) {
			s.step()
		}
		g.Expect(time.Since(start)).To(BeNumerically("~", 4*settleBurst/settleRate*time.Second, 500*time.Millisecond))
	})
}

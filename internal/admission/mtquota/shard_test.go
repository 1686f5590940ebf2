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

// Failure: accounts move to other shards as their number grows, and an allocator that has granted
// a burst grants it again in another shard.
func TestNewShardsStartAfterOldLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		quota := mtquota.New("10.1.0.1:7340", bounds)
		before := map[uint32]bool{}
		for range 20 {
			for _, message := range quota.Tick(10, nil, nil) {
				before[message.Draw().GetShard()] = true
			}
			time.Sleep(mtquota.TickInterval)
		}
		g.Expect(before).To(HaveLen(1))
		changed := time.Now()
		var first time.Duration
		for range 40 {
			for _, message := range quota.Tick(1000, nil, nil) {
				if first == 0 {
					first = time.Since(changed)
				}
				g.Expect(before).NotTo(HaveKey(message.Draw().GetShard()))
			}
			time.Sleep(mtquota.TickInterval)
		}
		g.Expect(first).To(BeNumerically(">=", mtallocator.MinLeaseTime))
		g.Expect(first).To(BeNumerically("<", 2*mtallocator.MinLeaseTime))
	})
}

// Failure: entries draw from an unresponsive allocator until it drops out of the member list, and
// all requests without credit are refused in the meantime.
func TestUnresponsiveAllocatorIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		// Rendezvous hashing of the addresses makes one of the two entries the other's allocator.
		addresses := []string{"10.1.0.1:7340", "10.1.0.2:7340"}
		for i, self := range addresses {
			other := addresses[1-i]
			quota := mtquota.New(self, bounds)
			last := ""
			for range 40 {
				for _, message := range quota.Tick(1, []string{other}, []string{other}) {
					last = message.To()
				}
				time.Sleep(mtquota.TickInterval)
			}
			g.Expect(last).To(Equal(self))
			g.Expect(quota.Entries()).To(BeNumerically(">=", 2), "the unresponsive entry may use its share")
		}
	})
}

// Failure: each entry of a large fleet draws several times a second, and an allocator with
// hundreds of lenders spends its time on heartbeats; or an entry lends its share elsewhere while
// an earlier, longer lease may still be valid.
func TestLargeFleetHeartbeatRate(t *testing.T) {
	for _, c := range []struct {
		entries, maxDraws int
		lease             uint32
	}{{4, 50, 0}, {30, 50, 0}, {356, 10, 3204}, {712, 5, 6408}} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			quota := mtquota.New("10.1.0.1:7340", bounds)
			draws := 0
			var last *fleetv1.Draw
			for range 200 {
				quota.SetPeerSize(c.entries)
				for _, message := range quota.Tick(1, []string{"10.1.0.2:7340"}, nil) {
					draws, last = draws+1, message.Draw()
				}
				time.Sleep(mtquota.TickInterval)
			}
			g.Expect(draws).To(BeNumerically("<=", c.maxDraws+2), "10 s of %d entries", c.entries)
			g.Expect(float64(draws*c.entries) / 10).To(BeNumerically("<", 360))
			g.Expect(last.GetLease()).To(Equal(c.lease))
		})
	}
}

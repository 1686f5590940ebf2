package mtlimiter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtlimit"
	"github.com/mustardtide/mustardtide/internal/admission/mtlimiter"
)

// sizes are the tested fleet sizes: small ones, a large one and that of the largest customer.
var sizes = []int{1, 4, 30, 356}

// Guards against entries that each keep to a target's limit but exceed it together, and against
// a limit that is not used up.
func TestSteadyFleetUsesTheLimit(t *testing.T) {
	for _, entries := range sizes {
		rates := []float64{0.5, 1, 1.2, 4, 40}
		if entries > 100 {
			rates = []float64{1}
		}
		for _, rate := range rates {
			t.Run(fmt.Sprintf("%d entries, %v a second", entries, rate), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					f := newFleet(5, entries, 20+4*rate)
					f.run(5 * time.Second)
					f.setLimit(rate)
					f.run(6 * time.Second)
					sent, from := f.sent, time.Now()
					f.run(12 * time.Second)
					g.Expect(f.window.Fault()).To(BeEmpty())
					g.Expect(f.allWindow.Fault()).To(BeEmpty())
					got := float64(f.sent-sent) / time.Since(from).Seconds()
					g.Expect(got).To(BeNumerically(">=", 0.7*rate))
					t.Logf("%.2f a second, worst %d of %d, %d draws", got, f.allWindow.Worst(), f.allWindow.Allowed(), f.draws)
				})
			})
		}
	}
}

// seeds returns the number of seeds to simulate for a fleet size.
func seeds(entries int) uint64 {
	if entries > 100 {
		return 1
	}
	return 12
}

// Guards against undisturbed entries exceeding the limit while others restart, freeze, are
// partitioned or lose datagrams.
func TestLimitHoldsThroughTrouble(t *testing.T) {
	for _, entries := range sizes[1:] {
		for seed := range seeds(entries) {
			t.Run(fmt.Sprintf("%d entries, seed %d", entries, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := rand.New(rand.NewPCG(seed, uint64(entries)))
					rate := []float64{0.5, 1, 3, 20}[r.IntN(4)]
					f := newFleet(seed, entries, 10+4*rate)
					f.run(5 * time.Second)
					f.setLimit(rate)
					f.run(time.Duration(r.Int64N(int64(4 * time.Second))))
					var applied []string
					for range 5 {
						kind := events[r.IntN(len(events))]
						applied = append(applied, kind)
						f.event(kind)
					}
					NewWithT(t).Expect(f.window.Fault()).To(BeEmpty(), "%v at %v a second", applied, rate)
				})
			})
		}
	}
}

// Guards against entries that keep to a limit, or send nothing, after the target has stopped
// naming one.
func TestEndOfLimitTakesEffect(t *testing.T) {
	for _, entries := range sizes {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(9, entries, 60)
				f.setLimit(0)
				f.run(12 * time.Second)
				f.rate = nil
				f.run(10 * time.Second)
				sent, refused := f.sent, f.refused
				f.run(2 * time.Second)
				g := NewWithT(t)
				g.Expect(f.refused).To(Equal(refused))
				g.Expect(f.sent).To(BeNumerically(">", sent+60))
			})
		})
	}
}

// BenchmarkAnswer measures answering a draw in a fleet of 356 entries, half of which ask for a
// permit.
func BenchmarkAnswer(b *testing.B) {
	const entries = 356
	limits := mtlimit.New()
	limits.RecordAnswer(target, 0, &fleetv1.Answer{Sealed: true, Limit: proto.Float64(20)}, time.Now())
	limiter := mtlimiter.New("10.1.0.1:7340", limits)
	limiter.SetPeerSize(entries)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		draw := &fleetv1.Draw{Shard: 8, Run: 1, Number: uint64(n/entries + 1), Lease: 3000}
		if n%2 == 0 {
			draw.Needs = []*fleetv1.Need{{Account: target, Waiting: 1}}
		}
		limiter.Answer(fmt.Sprint(n%entries), draw)
	}
}

// BenchmarkWait measures checking a target that has no permit left.
func BenchmarkWait(b *testing.B) {
	limits := mtlimit.New()
	for i := range 300 {
		limits.RecordAnswer(fmt.Sprint(i), 0, &fleetv1.Answer{Sealed: true, Limit: proto.Float64(20)}, time.Now())
	}
	limiter := mtlimiter.New("10.1.0.1:7340", limits)
	b.ReportAllocs()
	for b.Loop() {
		limiter.BlockedFor("7")
	}
}

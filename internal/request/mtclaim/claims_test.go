package mtclaim_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/types/known/timestamppb"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
	"github.com/mustardtide/mustardtide/internal/observe/mtcode"
	"github.com/mustardtide/mustardtide/internal/observe/mtevent"
	"github.com/mustardtide/mustardtide/internal/observe/mtstamp"
	platformclient "github.com/mustardtide/mustardtide/internal/outside/mtplatform"
	"github.com/mustardtide/mustardtide/internal/relay/mttransport"
	"github.com/mustardtide/mustardtide/internal/request/mtclaim"
	"github.com/mustardtide/mustardtide/internal/standin/mtplatform"
	"github.com/mustardtide/mustardtide/internal/standin/mtwire"
)

const (
	address = "10.0.0.1:80"
	// latency of one call of the stand-in platform.
	latency = 3 * time.Millisecond
)

// world is a stand-in platform with claims of several processes.
type world struct {
	Gomega
	ctx       context.Context
	store     *mtplatform.Server
	transport *mttransport.Transport
	ends      []<-chan error
}

func withWorld(t *testing.T, test func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		wire := mtwire.New()
		listener, err := wire.Listen(address)
		g.Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(t.Context())
		w := &world{Gomega: g, ctx: ctx, store: mtplatform.New(), transport: wire.Net().Outside()}
		w.store.Faults().Slow(latency)
		server := &http.Server{Handler: w.store}
		done := make(chan error, 1)
		go func() { done <- server.Serve(listener) }()
		test(w)
		cancel()
		for _, end := range w.ends {
			<-end
		}
		w.transport.CloseIdleConnections()
		g.Expect(server.Close()).To(Succeed())
		<-done
		time.Sleep(time.Minute)
	})
}

func (w *world) process(name string) *mtclaim.Claims {
	client := platformclient.New("http://"+address, "default", w.transport)
	c := mtclaim.New(client, mtevent.New(name, &mtstamp.Clock{}, nil))
	w.ends = append(w.ends, c.Follow(w.ctx))
	return c
}

func claimOf(key, run string) *mustardtidev1.Claim {
	return &mustardtidev1.Claim{
		Id: mtclaim.ID("schools", "consent", key), Print: make([]byte, 16),
		Run: run, Process: run, Until: timestamppb.New(time.Now().Add(time.Hour)),
	}
}

// Story: parents answer within one minute, and each answer needs a claim. A
// write per claim would be more than the platform takes; batches must keep the
// writes bounded and a claim's latency small.
func TestBurst(t *testing.T) {
	for _, burst := range []struct{ claims, rate int }{{500, 50}, {3000, 600}, {6000, 3000}} {
		t.Run(fmt.Sprint(burst.rate), func(t *testing.T) {
			withWorld(t, func(w *world) {
				c := w.process("home")
				before := w.store.Faults().Writes()
				start := time.Now()
				var group sync.WaitGroup
				took := make([]time.Duration, burst.claims)
				for i := range burst.claims {
					time.Sleep(time.Second / time.Duration(burst.rate))
					group.Go(func() {
						asked := time.Now()
						key := fmt.Sprintf("key-%d", i)
						held, err := c.Claim(w.ctx, claimOf(key, key))
						w.Expect(err).NotTo(HaveOccurred())
						w.Expect(held.GetRun()).To(Equal(key))
						took[i] = time.Since(asked)
					})
				}
				group.Wait()
				span := time.Since(start)
				writes := float64(w.store.Faults().Writes() - before)
				slices.Sort(took)
				p50, p99 := took[len(took)/2], took[len(took)*99/100]
				fmt.Printf("measured (paused time, platform %v a call) claims a second %d: latency p50 %v p99 %v, writes a second %.0f, writes a claim %.3f\n",
					latency, burst.rate, p50.Round(time.Millisecond), p99.Round(time.Millisecond), writes/span.Seconds(), writes/float64(burst.claims))
				w.Expect(writes/span.Seconds()).To(BeNumerically("<", 330), "16 shards append ten times a second and delete as often")
				w.Expect(p99).To(BeNumerically("<", 150*time.Millisecond))
			})
		})
	}
}

// Story: the platform goes down, then hangs, then loses an answer after the
// write took effect. The first must be refused at once, the second after the
// batch's time and then at once, the third must be settled as granted.
func TestPlatformFails(t *testing.T) {
	withWorld(t, func(w *world) {
		c := w.process("home")
		faults := w.store.Faults()
		claim := func(key string) (time.Duration, error) {
			asked := time.Now()
			_, err := c.Claim(w.ctx, claimOf(key, key))
			return time.Since(asked), err
		}
		_, err := claim("before")
		w.Expect(err).NotTo(HaveOccurred())

		faults.Down(true)
		took, err := claim("down")
		w.Expect(mtrefusal.FromError(err).Code()).To(Equal(mtcode.ClaimFailed))
		w.Expect(mtrefusal.FromError(err).RetryAfter()).To(BeNumerically(">=", time.Second))
		w.Expect(took).To(BeNumerically("<", 200*time.Millisecond))
		faults.Down(false)

		time.Sleep(3 * time.Second)
		faults.Hang(true)
		_, err = claim("hang")
		w.Expect(err).To(HaveOccurred())
		took, err = claim("hang")
		w.Expect(err).To(HaveOccurred())
		w.Expect(took).To(BeZero(), "once known to fail, refusals are immediate")
		faults.Hang(false)

		time.Sleep(3 * time.Second)
		faults.Lose(1)
		go func() {
			time.Sleep(300 * time.Millisecond)
			faults.Lose(0)
		}()
		_, err = claim("lost")
		w.Expect(err).NotTo(HaveOccurred())
		w.Expect(faults.Lost()).NotTo(BeZero())
	})
}

// Story: a process that was the home sleeps while another takes its shards
// over, packs and deletes what the first wrote; then it wakes up. A key that
// the other granted must not be granted again, and no live key may be lost.
func TestTakeoverAndPacks(t *testing.T) {
	withWorld(t, func(w *world) {
		first, second := w.process("first"), w.process("second")
		for i := range 200 {
			key := fmt.Sprintf("key-%d", i)
			_, err := first.Claim(w.ctx, claimOf(key, "first"))
			w.Expect(err).NotTo(HaveOccurred())
		}
		for i := range 2500 {
			key := fmt.Sprintf("key-%d", i)
			want := "second"
			if i < 200 {
				want = "first"
			}
			held, err := second.Claim(w.ctx, claimOf(key, "second"))
			w.Expect(err).NotTo(HaveOccurred())
			w.Expect(held.GetRun()).To(Equal(want))
		}
		time.Sleep(5 * time.Minute)
		segments, packs := 0, 0
		client := platformclient.New("http://"+address, "default", w.transport)
		for shard := range mtclaim.Shards {
			list, _, err := client.List(w.ctx, fmt.Sprintf("claims.%d", shard))
			w.Expect(err).NotTo(HaveOccurred())
			segments += len(list)
			list, _, err = client.List(w.ctx, fmt.Sprintf("packs.%d", shard))
			w.Expect(err).NotTo(HaveOccurred())
			packs += len(list)
		}
		w.Expect(segments).To(BeNumerically("<", 64*mtclaim.Shards))
		w.Expect(packs).To(BeNumerically(">=", mtclaim.Shards))
		third := w.process("third")
		for i := range 2500 {
			key := fmt.Sprintf("key-%d", i)
			for _, c := range []*mtclaim.Claims{first, third} {
				held, err := c.Claim(w.ctx, claimOf(key, "again"))
				w.Expect(err).NotTo(HaveOccurred())
				w.Expect(held.GetRun()).NotTo(Equal("again"), key)
			}
		}
		time.Sleep(3 * time.Hour)
		held, err := third.Claim(w.ctx, claimOf("key-0", "much later"))
		w.Expect(err).NotTo(HaveOccurred())
		w.Expect(held.GetRun()).To(Equal("much later"))
	})
}

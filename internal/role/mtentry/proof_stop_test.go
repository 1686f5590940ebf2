package mtentry_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/standin/mtengine"
	"github.com/mustardtide/mustardtide/internal/standin/mtfleet"
	"github.com/mustardtide/mustardtide/internal/standin/mtproof"
	"github.com/mustardtide/mustardtide/internal/standin/mtservice"
)

// balancerLag is how long the balancer sends to an entry that has turned
// unready, and how long entries serve on.
const balancerLag = 3 * time.Second

// balancer sends to the entries that were ready when it last looked.
type balancer struct {
	mu    sync.Mutex
	ready []string
}

// look asks each entry whether it is ready, as the platform's balancer does.
func (b *balancer) look(c *pathCaller, entries map[string]string) {
	var ready []string
	for name, url := range entries {
		request, _ := http.NewRequest(http.MethodGet, url+"/readyz", http.NoBody)
		response, err := c.transport.RoundTrip(request)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			ready = append(ready, name)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

func (b *balancer) pick(random *rand.Rand) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return ""
	}
	return b.ready[random.IntN(len(b.ready))]
}

// stopLoad sends requests through the balancer until done closes.
func stopLoad(c *pathCaller, b *balancer, entries map[string]string, seed uint64, done <-chan struct{}) (failed []string, sent int) {
	random := rand.New(rand.NewPCG(seed, 1))
	for {
		select {
		case <-done:
			return failed, sent
		case <-time.After(time.Duration(random.Int64N(int64(300 * time.Millisecond)))):
		}
		name := b.pick(random)
		if name == "" {
			failed = append(failed, "no entry is ready")
			continue
		}
		sent++
		var r callerReply
		stream := sent%3 == 1
		if sent%3 == 0 {
			r = c.send(entries[name]+"/v1/services/form/file", "slip", nil)
		} else {
			r = c.complete(entries[name], fmt.Sprintf("question %d of %d", sent, seed), 1+int(seed%2)*20, stream)
		}
		if !r.ended(stream) {
			failed = append(failed, fmt.Sprintf("%s: %d %v %s", name, r.status, r.err, r.body))
		}
	}
}

// Operators restart every process of the fleet, one after the other, while
// teachers and clerks work. Nobody may notice: no request is refused, cut off
// or lost.
func TestProofGracefulStop(t *testing.T) {
	proof := mtproof.New(t, "graceful-stop")
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				fleet := newPathFleet(t, g)
				fleet.Lag(balancerLag)
				names := stopTargets(g, fleet)
				entries := map[string]string{}
				for i := range 2 {
					name := fmt.Sprintf("entry-%d", i)
					g.Expect(fleet.AddEntry(name, "imanta")).To(Succeed())
					entries[name] = fleet.Entry(name)
					names = append(names, name)
				}
				time.Sleep(5 * time.Second)
				c := newCaller(fleet)
				b := &balancer{}
				done := make(chan struct{})
				var looks, loads sync.WaitGroup
				looks.Go(func() {
					for {
						b.look(c, entries)
						select {
						case <-done:
							return
						case <-time.After(balancerLag / 3):
						}
					}
				})
				time.Sleep(time.Second)
				// A light load too: a busy entry would stay up for its requests alone.
				failures := make([][]string, 1+5*(seed%2))
				for i := range failures {
					loads.Go(func() {
						failed, sent := stopLoad(c, b, entries, seed*100+uint64(i), done)
						failures[i] = failed
						proof.Add("operations", sent)
					})
				}
				for _, name := range names {
					time.Sleep(2 * time.Second)
					g.Expect(fleet.Stop(name)).To(Succeed())
					time.Sleep(time.Second)
					g.Expect(fleet.Restart(name)).To(Succeed())
					time.Sleep(3 * time.Second)
				}
				close(done)
				loads.Wait()
				looks.Wait()
				c.close()
				_ = fleet.Close()
				time.Sleep(pingsEnd)
				proof.Add("histories", 1)
				proof.Add("stops", len(names))
				for _, failed := range failures {
					g.Expect(failed).To(BeEmpty())
				}
			})
		})
	}
}

// stopTargets starts two targets of each kind.
func stopTargets(g *WithT, fleet *mtfleet.Fleet) []string {
	var names []string
	for i := range 2 {
		trip, form := fmt.Sprintf("trip-%d", i), fmt.Sprintf("form-%d", i)
		g.Expect(fleet.AddTarget(trip, "trip", "imanta", mtengine.New(8, 20000, 50*time.Millisecond, 1000))).To(Succeed())
		g.Expect(fleet.AddTarget(form, "form", "imanta", mtservice.New(300*time.Millisecond))).To(Succeed())
		names = append(names, trip, form)
	}
	return names
}

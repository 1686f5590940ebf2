package mtstart_test

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/admission/mtreturn"
	"github.com/mustardtide/mustardtide/internal/admission/mtstart"
)

// entry is a simulated entry that is starting.
type entry struct {
	start   *mtstart.Startup
	started time.Time
	ready   atomic.Bool
}

// startEntries returns entries that all start now and become ready after 0.1 to 1.3 s.
func startEntries(count int, random *rand.Rand) []*entry {
	var list []*entry
	for range count {
		e := &entry{started: time.Now()}
		e.start = mtstart.New(e.ready.Load)
		time.AfterFunc(100*time.Millisecond+time.Duration(random.IntN(1200))*time.Millisecond, func() {
			e.ready.Store(true)
			e.start.NotifyChange()
		})
		list = append(list, e)
	}
	return list
}

// request simulates a caller that tries one entry and, if refused, retries once at a random
// entry. It reports whether the caller was served.
func request(entries []*entry, random func(int) int, waits bool, deadline time.Duration) bool {
	expires := time.Now().Add(deadline)
	for range 2 {
		e := entries[random(len(entries))]
		if waits {
			e.start.Await(context.Background(), time.Until(expires))
		}
		if e.ready.Load() {
			return true
		}
		time.Sleep(min(mtreturn.RetryAfter(time.Since(e.started)), time.Until(expires)/3))
	}
	return false
}

// Guards against failed requests after a simultaneous restart of all entries: without a wait,
// callers of the first second are refused by two entries in a row.
func TestCallersAreServedWhenAllEntriesRestart(t *testing.T) {
	const callers = 300
	for _, deadline := range []time.Duration{6 * time.Second, 15 * time.Second} {
		refused := map[bool]int{}
		for _, waits := range []bool{false, true} {
			synctest.Test(t, func(*testing.T) {
				random := rand.New(rand.NewPCG(1, 2))
				entries := startEntries(100, random)
				served := make(chan bool, callers)
				for range callers {
					delay, seed := time.Duration(random.IntN(1000))*time.Millisecond, random.Uint64()
					go func() {
						time.Sleep(delay)
						served <- request(entries, rand.New(rand.NewPCG(seed, 0)).IntN, waits, deadline)
					}()
				}
				for range callers {
					if !<-served {
						refused[waits]++
					}
				}
			})
		}
		g := NewWithT(t)
		g.Expect(refused[true]).To(BeNumerically("<", callers/100), "deadline %v", deadline)
		g.Expect(refused[false]).To(BeNumerically(">", callers/20), "deadline %v", deadline)
	}
}

func neverReady() bool { return false }

// If the process never becomes ready, no request waits beyond the start-up period, or for more
// than a quarter of its remaining time.
func TestWaitIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		start := mtstart.New(neverReady)
		waited := func(left time.Duration) time.Duration {
			started := time.Now()
			start.Await(context.Background(), left)
			return time.Since(started)
		}
		g.Expect(waited(time.Second)).To(Equal(250 * time.Millisecond))
		g.Expect(waited(time.Minute)).To(Equal(900 * time.Millisecond))
		g.Expect(waited(time.Minute)).To(Equal(350 * time.Millisecond))
		g.Expect(waited(time.Minute)).To(BeZero())
	})
}

// The wait ends when the caller disconnects.
func TestWaitEndsWhenCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		mtstart.New(neverReady).Await(ctx, time.Minute)
		NewWithT(t).Expect(time.Since(started)).To(Equal(100 * time.Millisecond))
	})
}

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

// entry is one that starts.
type entry struct {
	start *mtstart.Start
	begun time.Time
	known atomic.Bool
}

// starting returns entries that have all started now, and know enough to serve after
// 0.1 to 1.3 s.
func starting(count int, random *rand.Rand) []*entry {
	var list []*entry
	for range count {
		e := &entry{begun: time.Now()}
		e.start = mtstart.New(e.known.Load)
		time.AfterFunc(100*time.Millisecond+time.Duration(random.IntN(1200))*time.Millisecond, func() {
			e.known.Store(true)
			e.start.Tell()
		})
		list = append(list, e)
	}
	return list
}

// ask is a caller that asks one entry, and where it is refused another once more. It
// says whether it is served.
func ask(entries []*entry, random func(int) int, waits bool, deadline time.Duration) bool {
	until := time.Now().Add(deadline)
	for range 2 {
		e := entries[random(len(entries))]
		if waits {
			e.start.Await(context.Background(), time.Until(until))
		}
		if e.known.Load() {
			return true
		}
		time.Sleep(min(mtreturn.After(time.Since(e.begun)), time.Until(until)/3))
	}
	return false
}

// Failure: all entries start anew at once, and the callers of the first second are refused
// by two of them, one after the other.
func TestCallersOfAStartOfAllAreServed(t *testing.T) {
	const callers = 300
	for _, deadline := range []time.Duration{6 * time.Second, 15 * time.Second} {
		refused := map[bool]int{}
		for _, waits := range []bool{false, true} {
			synctest.Test(t, func(*testing.T) {
				random := rand.New(rand.NewPCG(1, 2))
				entries := starting(100, random)
				served := make(chan bool, callers)
				for range callers {
					at, seed := time.Duration(random.IntN(1000))*time.Millisecond, random.Uint64()
					go func() {
						time.Sleep(at)
						served <- ask(entries, rand.New(rand.NewPCG(seed, 0)).IntN, waits, deadline)
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

func never() bool { return false }

// What is missing does not come: nobody waits for longer than a start takes, or for more
// than a quarter of the time left.
func TestWaitIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		start := mtstart.New(never)
		waited := func(left time.Duration) time.Duration {
			begun := time.Now()
			start.Await(context.Background(), left)
			return time.Since(begun)
		}
		g.Expect(waited(time.Second)).To(Equal(250 * time.Millisecond))
		g.Expect(waited(time.Minute)).To(Equal(900 * time.Millisecond))
		g.Expect(waited(time.Minute)).To(Equal(350 * time.Millisecond))
		g.Expect(waited(time.Minute)).To(BeZero())
	})
}

// A caller that leaves does not wait on.
func TestCallerLeavesWhileItWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		mtstart.New(never).Await(ctx, time.Minute)
		NewWithT(t).Expect(time.Since(begun)).To(Equal(100 * time.Millisecond))
	})
}

package mtcensus_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/admission/mtallowance"
	"github.com/mustardtide/mustardtide/internal/members/mtcensus"
)

const (
	interval    = 300 * time.Millisecond
	datacentres = 5
	lost        = 0.05
)

// fleet is a fleet of entries, the i-th in the data centre i modulo their number.
type fleet struct {
	entries []*mtcensus.Census
	dead    map[int]bool
	random  *rand.Rand
}

func start(size int) *fleet {
	f := &fleet{dead: map[int]bool{}, random: rand.New(rand.NewPCG(uint64(size), 0))}
	for i := range size {
		f.entries = append(f.entries, mtcensus.New(fmt.Sprint("place-", i%datacentres)))
	}
	return f
}

// living counts a data centre's entries that live.
func (f *fleet) living(datacentre int) int {
	count := 0
	for i := range f.entries {
		if i%datacentres == datacentre && !f.dead[i] {
			count++
		}
	}
	return count
}

// run lets a time pass, in which each entry tells five others in its data centre, and one
// elsewhere, each interval.
func (f *fleet) run(d time.Duration) {
	for range int(d / interval) {
		var counts [datacentres]int
		for place := range datacentres {
			counts[place] = f.living(place)
		}
		for i, e := range f.entries {
			if f.dead[i] {
				continue
			}
			e.Count(counts[i%datacentres])
			for n := range 6 {
				to := f.random.IntN(len(f.entries))
				if n > 0 {
					to = min(to-to%datacentres+i%datacentres, len(f.entries)-1)
				}
				if !f.dead[to] && f.random.Float64() > lost {
					f.entries[to].Hear(e.Known())
				}
			}
		}
		time.Sleep(interval)
	}
}

// sizes are those at which a fleet is counted.
var sizes = []int{1, 2, 30, 356, 712}

// Failure: entries know a part of the fleet, and take too much of a bound that all share.
func TestAllEntriesAreCounted(t *testing.T) {
	for _, size := range sizes {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			f := start(size)
			f.run(6 * time.Second)
			for i, e := range f.entries {
				g.Expect(e.Size()).To(Equal(size), "entry %d", i)
			}
		})
	}
}

// Failure: a data centre is lost, and is counted for ever, or not at all while it lives.
func TestLostDataCentreIsCountedForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := start(100)
		f.run(6 * time.Second)
		for i := 0; i < 100; i += datacentres {
			f.dead[i] = true
		}
		f.run(10 * time.Second)
		g.Expect(f.entries[1].Size()).To(Equal(100))
		f.run(20 * time.Second)
		g.Expect(f.entries[1].Size()).To(Equal(80))
	})
}

// Failure: a data centre that has lost its entries passes for one that has some, or the other
// way round, and its engines are greeted by nobody.
func TestDataCentreThatLostItsEntriesIsNoticed(t *testing.T) {
	for _, size := range []int{30, 356} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			const within = 2500 * time.Millisecond
			f := start(size)
			f.run(6 * time.Second)
			for _, e := range f.entries {
				for place := range datacentres {
					g.Expect(e.Lives(fmt.Sprint("place-", place), within)).To(BeTrue())
				}
				g.Expect(e.Lives("nowhere", within)).To(BeFalse())
			}
			for i := 0; i < size; i += datacentres {
				f.dead[i] = true
			}
			f.run(within + time.Second)
			for i, e := range f.entries {
				if !f.dead[i] {
					g.Expect(e.Lives("place-0", within)).To(BeFalse())
					g.Expect(e.Lives("place-1", within)).To(BeTrue())
				}
			}
		})
	}
}

// Failure: a service fails everything, and 356 entries together send again more than the
// fleet may.
func TestFleetStaysWithinItsRepeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size, ratio, slack, window = 356, 0.2, 1040.0, 10 * time.Second
		f := start(size)
		f.run(6 * time.Second)
		repeats := 0
		var allowances []*mtallowance.RetryBudget
		for range size {
			allowances = append(allowances, mtallowance.New(ratio, slack, window, time.Now().Add(-2*window)))
		}
		const requests = 20
		for i, e := range f.entries {
			for range requests {
				allowances[i].CountRequest()
				for allowances[i].TryRetry(e.Size()) {
					repeats++
				}
			}
		}
		NewWithT(t).Expect(float64(repeats)).To(BeNumerically("<=", ratio*requests*size+slack))
	})
}

package mtreader_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/members/mtreader"
)

const (
	interval = 300 * time.Millisecond
	fanout   = 6
	lost     = 0.05
)

// fleet is a fleet of entries that tell each other their readers.
type fleet struct {
	entries []*entry
	random  *rand.Rand
}

type entry struct {
	readers *mtreader.Readers
	// dead entries neither speak nor hear; those that are away speak to the store in vain.
	dead, away bool
	// began counts how often it began to read.
	began int
	reads bool
}

func start(size int, seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 0))}
	for i := range size {
		e := &entry{}
		f.entries = append(f.entries, e)
		f.restart(i)
	}
	return f
}

func (f *fleet) restart(i int) {
	e := f.entries[i]
	e.readers = mtreader.New(fmt.Sprintf("10.0.%d.%d:7340", i/250, i%250), interval, fanout)
	e.reads, e.dead = false, false
}

// run lets a time pass: each entry sends a digest an interval, and all at some other
// moment of it.
func (f *fleet) run(d time.Duration) {
	const steps = 6
	for range int(d / (interval / steps)) {
		for i, e := range f.entries {
			if e.dead || i%steps != f.random.IntN(steps) && f.random.IntN(steps) > 0 {
				continue
			}
			e.readers.Resize(len(f.entries))
			e.readers.Join(e.away)
			e.readers.Look()
			known := e.readers.Known()
			for range fanout {
				to := f.entries[f.random.IntN(len(f.entries))]
				if !to.dead && to != e && f.random.Float64() > lost {
					to.readers.Hear(known)
				}
			}
		}
		for _, e := range f.entries {
			reads := !e.dead && e.readers.Reads()
			if reads && !e.reads {
				e.began++
			}
			e.reads = reads
		}
		time.Sleep(interval / steps)
	}
}

// reading lists the entries that read.
func (f *fleet) reading() []int {
	var list []int
	for i, e := range f.entries {
		if e.reads {
			list = append(list, i)
		}
	}
	return list
}

// began counts the entries that ever began to read.
func (f *fleet) began() int {
	count := 0
	for _, e := range f.entries {
		if e.began > 0 {
			count++
		}
	}
	return count
}

// expect says that the fleet reads as it should.
func (f *fleet) expect(g *WithT, size int) {
	least := min(size, mtreader.Most)
	g.Expect(len(f.reading())).To(And(BeNumerically(">=", min(least, mtreader.Most-2)), BeNumerically("<=", least+1)))
}

var sizes = []int{1, 2, 30, 356, 712}

// each runs a test in paused time at every size of a fleet.
func each(t *testing.T, test func(g *WithT, f *fleet, size int)) {
	for _, size := range sizes {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { test(NewWithT(t), start(size, uint64(size)), size) })
		})
	}
}

// Failure: all entries start at once, and each takes itself for the first.
func TestHerdComesToFewReaders(t *testing.T) {
	each(t, func(g *WithT, f *fleet, size int) {
		f.run(20 * time.Second)
		f.expect(g, size)
		g.Expect(f.began()).To(BeNumerically("<=", 4*mtreader.Most))
		for i := range f.entries {
			f.restart(i)
		}
		f.run(6 * time.Second)
		f.expect(g, size)
		g.Expect(f.began()).To(BeNumerically("<=", 8*mtreader.Most))
	})
}

// Failure: all readers are killed at once, and nobody follows the store.
func TestReadersAreKilled(t *testing.T) {
	each(t, func(g *WithT, f *fleet, size int) {
		f.run(10 * time.Second)
		killed := f.reading()
		for _, i := range killed {
			f.entries[i].dead = true
		}
		f.run(5 * time.Second)
		if size > 2*mtreader.Most {
			g.Expect(f.reading()).NotTo(BeEmpty())
		}
		f.run(5 * time.Second)
		f.expect(g, size-len(killed))
	})
}

// Failure: more than half of the entries are killed at once, and come back.
func TestHalfIsKilled(t *testing.T) {
	each(t, func(g *WithT, f *fleet, size int) {
		f.run(10 * time.Second)
		for i := range size * 55 / 100 {
			f.entries[i].dead = true
		}
		f.run(5 * time.Second)
		g.Expect(f.reading()).NotTo(BeEmpty())
		for i := range size * 55 / 100 {
			f.restart(i)
		}
		f.run(10 * time.Second)
		f.expect(g, size)
		g.Expect(f.began()).To(BeNumerically("<=", 8*mtreader.Most))
	})
}

// Failure: the store turns a third of the entries away, readers among them.
func TestEntriesThatAreTurnedAwayDoNotRead(t *testing.T) {
	each(t, func(g *WithT, f *fleet, size int) {
		f.run(10 * time.Second)
		away := f.reading()
		for i := range size / 3 {
			away = append(away, i)
		}
		for _, i := range away {
			f.entries[i].away = true
		}
		f.run(10 * time.Second)
		f.expect(g, size)
		if size > 4*mtreader.Most {
			for _, i := range f.reading() {
				g.Expect(slices.Contains(away, i)).To(BeFalse())
			}
		}
	})
}

// Failure: the store is away for all, and every entry asks it again and again.
func TestFewAskAStoreThatIsAway(t *testing.T) {
	each(t, func(g *WithT, f *fleet, size int) {
		f.run(10 * time.Second)
		began := f.began()
		for range 20 {
			for _, i := range f.reading() {
				f.entries[i].away = true
			}
			f.run(250 * time.Millisecond)
			g.Expect(len(f.reading())).To(BeNumerically("<=", 3*mtreader.Most))
		}
		g.Expect(f.began() - began).To(BeNumerically("<=", 8*mtreader.Most))
	})
}

// Failure: an entry hears of no other and follows nothing.
func TestEntryThatIsAloneReads(t *testing.T) {
	each(t, func(g *WithT, f *fleet, size int) {
		f.run(10 * time.Second)
		alone := f.entries[size-1]
		for i := range size - 1 {
			f.entries[i].dead = true
		}
		f.run(7 * time.Second)
		g.Expect(alone.reads).To(BeTrue())
	})
}

// Failure: an entry that is about to stop is a reader, or is left alone without one.
func TestEntryThatStopsReadsOnlyWhereNobodyDoes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		stops := mtreader.New("10.0.0.1:7340", interval, fanout)
		stops.Leave()
		g.Expect(stops.Reads()).To(BeTrue())
		other := mtreader.New("10.0.0.2:7340", interval, fanout)
		other.Join(false)
		stops.Hear(other.Known())
		g.Expect(stops.Reads()).To(BeFalse())
		g.Expect(stops.Known()).To(HaveLen(1))
		time.Sleep(5 * time.Second)
		g.Expect(stops.Reads()).To(BeTrue())
	})
}

// Failure: an entry of a large fleet knows the ranks of the readers, and not where they are: what
// needs an agreed few of the entries finds none.
func TestAddressesOfTheReadersAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		told, met := mtreader.New("a", time.Second, 6), mtreader.New("b", time.Second, 6)
		other := mtreader.New("c", time.Second, 6)
		other.Join(false)
		told.Hear(other.Known())
		g.Expect(told.Addresses()).To(Equal([]string{"c"}))
		bare := other.Known()
		bare[0].Address = ""
		met.Meet("c")
		met.Hear(bare)
		g.Expect(met.Addresses()).To(BeEmpty())
		met.Meet("c")
		met.Hear(bare)
		g.Expect(met.Addresses()).To(Equal([]string{"c"}))
	})
}

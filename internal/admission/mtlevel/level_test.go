package mtlevel_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtlevel"
)

const (
	urgent, background = 0, 2
	urgentObjective    = 500 * time.Millisecond
	backgroundAim      = 1500 * time.Millisecond
	deadline           = 5 * time.Second
	step               = 10 * time.Millisecond
	gossip             = 300 * time.Millisecond
	peers              = 6
	urgentRate         = 160
	hot                = "account-0"
)

// free is the share of free places that a level is told.
func free(share float64) func() float64 { return func() float64 { return share } }

// fleet is a model of entries before one pool of engines, which prefill urgent prompts first.
type fleet struct {
	entries []*mtlevel.Level
	draw    *rand.Rand
	// deaf reports whether entries hear nobody.
	deaf bool
	// capacity is the engines' prefill in tokens a second; queues are the tokens that wait.
	capacity float64
	queues   map[int32]float64
	due      []response
	asked    map[string]int
	served   map[string]int
}

type response struct {
	at     time.Time
	entry  int
	rank   int32
	queued time.Duration
}

func newFleet(entries int, deaf bool) *fleet {
	f := &fleet{
		draw: rand.New(rand.NewPCG(uint64(entries), 7)), deaf: deaf,
		queues: map[int32]float64{}, asked: map[string]int{}, served: map[string]int{},
	}
	for range entries {
		f.entries = append(f.entries, mtlevel.New([]int32{background, urgent}))
	}
	return f
}

// run plays a time with so many background requests a second beside the urgent ones.
func (f *fleet) run(lasts time.Duration, backgroundRate, hotShare float64) {
	told := time.Now()
	for end := time.Now().Add(lasts); time.Now().Before(end); {
		time.Sleep(step)
		f.drain()
		f.arrive(urgent, urgentRate, 826, hotShare)
		f.arrive(background, backgroundRate, 9190, hotShare)
		if time.Since(told) >= gossip && !f.deaf {
			told = time.Now()
			f.gossip()
		}
	}
}

// drain lets the engines prefill, the most urgent prompts first, and delivers what is due.
func (f *fleet) drain() {
	left := f.capacity * step.Seconds()
	for _, rank := range []int32{urgent, background} {
		done := min(left, f.queues[rank])
		f.queues[rank] -= done
		left -= done
	}
	f.due = slices.DeleteFunc(f.due, func(r response) bool {
		if r.at.After(time.Now()) {
			return false
		}
		f.entries[r.entry].Observe(r.rank, r.queued, objective(r.rank))
		return true
	})
}

// limit is the wait from which a request is refused for itself.
func limit(rank int32) time.Duration {
	if rank == background {
		return backgroundAim * 4 / 5
	}
	return deadline
}

func objective(rank int32) time.Duration {
	if rank == background {
		return backgroundAim
	}
	return urgentObjective
}

// wait is how long a request of a rank queues.
func (f *fleet) wait(rank int32) time.Duration {
	ahead := f.queues[urgent]
	if rank == background {
		ahead += f.queues[background]
	}
	return time.Duration(ahead / f.capacity * float64(time.Second))
}

func (f *fleet) arrive(rank int32, rate, tokens, hotShare float64) {
	for count := rate * step.Seconds(); count > 0; count-- {
		if f.draw.Float64() > count {
			return
		}
		account := fmt.Sprint("account-", 1+f.draw.IntN(15))
		if f.draw.Float64() < hotShare {
			account = hot
		}
		entry := f.draw.IntN(len(f.entries))
		kinds := []string{fmt.Sprint("rank-", rank), account, "all"}
		if rank == background {
			kinds = append(kinds, fmt.Sprint("background of hot ", account == hot))
		}
		for _, kind := range kinds {
			f.asked[kind]++
		}
		wait := f.wait(rank)
		f.entries[entry].Observe(rank, wait, objective(rank))
		if !f.entries[entry].Admit(rank, account, free(0)) || wait > limit(rank) {
			continue
		}
		for _, kind := range kinds {
			f.served[kind]++
		}
		f.queues[rank] += tokens
		f.due = append(f.due, response{at: time.Now().Add(wait), entry: entry, rank: rank, queued: wait})
	}
}

// gossip lets each entry tell its level to some others.
func (f *fleet) gossip() {
	for i, from := range f.entries {
		message := from.Message("pool")
		if message == nil {
			continue
		}
		for range peers {
			f.entries[f.draw.IntN(len(f.entries))].Hear(fmt.Sprint("entry-", i), message)
		}
	}
}

func (f *fleet) share(kind string) float64 { return float64(f.served[kind]) / float64(f.asked[kind]) }

// levels returns the least and the greatest level in force.
func (f *fleet) levels() (least, most float64) {
	least, most = f.entries[0].Value(), f.entries[0].Value()
	for _, l := range f.entries {
		least, most = min(least, l.Value()), max(most, l.Value())
	}
	return least, most
}

// capacity is that of 48 engines which spend three fifths of their time on prefill.
const capacity = 48 * 36_100 * 0.6

// Load: background requests at 2.6 times, a quarter of the engines gone and an account at 5.3 times
// its usual, at once. Guards against urgent requests that are served less often than background
// ones, kinds and accounts that are starved, and entries that admit differently.
func TestBurstLossAndHotAccountAtOnce(t *testing.T) {
	for _, entries := range []int{4, 30, 356} {
		for _, deaf := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newFleet(entries, deaf)
				f.capacity = capacity
				f.run(3*time.Second, 67, 1.0/16)
				least, _ := f.levels()
				g.Expect(least).To(BeNumerically(">", 0.9), "no load: %d entries", entries)
				g.Expect(f.share("all")).To(BeNumerically(">", 0.99))
				clear(f.asked)
				clear(f.served)
				f.capacity = capacity * 3 / 4
				f.run(2*time.Second, 67*2.6, 5.3/20.3)
				if !deaf {
					least, most := f.levels()
					g.Expect(most).To(BeNumerically("<", 0.95), "%d entries", entries)
					g.Expect(most-least).To(BeNumerically("<", 0.35), "%d entries", entries)
				}
				f.run(6*time.Second, 67*2.6, 5.3/20.3)
				g.Expect(f.share("rank-0")).To(BeNumerically(">=", f.share("rank-2")), "%d entries, deaf %v", entries, deaf)
				for kind := range f.asked {
					g.Expect(f.share(kind)).To(BeNumerically(">=", f.share("all")/4), "%s at %d entries, deaf %v", kind, entries, deaf)
				}
				f.capacity = capacity
				f.run(12*time.Second, 67, 1.0/16)
				least, _ = f.levels()
				g.Expect(least).To(BeNumerically(">", 0.9), "after the load: %d entries, deaf %v", entries, deaf)
			})
		}
	}
}

// Load: one account sends most of the background requests. Guards against the others that are
// refused for it.
func TestHeavyAccountIsRefusedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(4, false)
		f.capacity = capacity
		f.run(6*time.Second, 250, 0.6)
		g.Expect(f.share("background of hot false")).To(BeNumerically(">", f.share("background of hot true")+0.1))
	})
}

// Guards against refusals while half of the places are free.
func TestNothingIsRefusedWhilePlacesAreFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		l := mtlevel.New([]int32{0, 2})
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			l.Observe(2, 3*time.Second, backgroundAim)
			g.Expect(l.Admit(2, "a", free(0.5))).To(BeTrue())
		}
		g.Expect(l.Value()).To(BeNumerically("<", 0.1))
		admitted := 0
		for range 1000 {
			if l.Admit(2, "a", free(0.1)) {
				admitted++
			}
			g.Expect(l.Admit(0, "a", free(0))).To(BeTrue())
		}
		g.Expect(admitted).To(BeNumerically("~", 300, 90))
	})
}

// Load: half of the background requests return as promised, and less than all fit. Guards against
// promises that are not kept, or that are kept on top of what is admitted anyway.
func TestPromisedRequestsGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		l := mtlevel.New([]int32{0, 2})
		var first, again, all int
		for i := range 4000 {
			time.Sleep(5 * time.Millisecond)
			// Two windows of three are overloaded, which keeps the level at about a half.
			if i/50%4 == 0 {
				l.Observe(2, 3*time.Second, backgroundAim)
			} else {
				l.Observe(2, 0, backgroundAim)
			}
			all++
			switch admitted := l.Admit(2, "a", free(0)); {
			case i%2 == 0 && (admitted || l.AdmitPromised(2, "a")):
				again++
			case i%2 == 1 && admitted:
				first++
			}
		}
		g.Expect(2 * float64(again) / float64(all)).To(BeNumerically(">", 0.9))
		g.Expect(float64(first+again) / float64(all)).To(BeNumerically("<", 0.95))
		g.Expect(first).To(BeNumerically("<", again*3/4))
	})
}

// Guards against a level out of range, or an old one, that others take over.
func TestOddLevelsAreLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		l := mtlevel.New([]int32{0, 2})
		for i, message := range []*fleetv1.Level{{Level: -1, Samples: 1 << 30}, {Level: 7, Samples: 9}, {Samples: 9, Age: 5000}} {
			l.Hear(fmt.Sprint(i), message)
		}
		g.Expect(l.Value()).To(Equal(1.0))
		l.Hear("entry-1", &fleetv1.Level{Samples: 4000000000})
		g.Expect(l.Value()).To(BeNumerically("<", 0.01))
		time.Sleep(2 * time.Second)
		g.Expect(l.Value()).To(BeNumerically(">", 0.1))
	})
}

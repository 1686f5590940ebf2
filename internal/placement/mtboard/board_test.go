package mtboard_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtlimit"
	"github.com/mustardtide/mustardtide/internal/admission/mtlimiter"
	"github.com/mustardtide/mustardtide/internal/placement/mtboard"
	"github.com/mustardtide/mustardtide/internal/placement/mtnaming"
)

const allowed = 8 * time.Second

var pool = &fleetv1.Service{Name: "pool", Model: "m", Slots: 8}

// board is one with some engines in two data centres.
func board(engines int) *mtboard.Board {
	b := mtboard.New("north", allowed, mtlimiter.New("", mtlimit.New()))
	list := map[string]*fleetv1.Target{}
	for i := range engines {
		id := fmt.Sprintf("e%d", i)
		datacentre := "north"
		if i%2 == 1 {
			datacentre = "south"
		}
		list[id] = &fleetv1.Target{
			Id: id, Service: "pool", Address: fmt.Sprintf("10.0.0.%d:80", i), Datacentre: datacentre, Slots: 8,
			Models: []*fleetv1.Weights{{Model: "m", Version: 1}},
		}
	}
	b.List(list, func(*fleetv1.Target) bool { return false })
	b.Name(&fleetv1.Weights{Model: "m", Version: 1, Revision: 1})
	return b
}

func query(prompt int64, parts ...string) *mtboard.Query {
	ask := &fleetv1.Ask{Model: "m", Prompt: prompt, Output: 20}
	for _, part := range parts {
		ask.Parts = append(ask.Parts, &fleetv1.Part{Id: part, Tokens: prompt / int64(len(parts))})
	}
	return mtboard.NewQuery(pool, ask, nil, "store:1", 800*time.Millisecond)
}

func state(target string, version int64) *fleetv1.State {
	return &fleetv1.State{Target: target, Answers: true, Report: &fleetv1.Report{
		Models: []*fleetv1.Weights{{Model: "m", Version: version}}, Total: 70000, Born: 1,
	}}
}

// serve lets the engine that is chosen answer.
func serve(b *mtboard.Board, q *mtboard.Query) *mtboard.Choice {
	c := b.Choose(q)
	c.Started(&fleetv1.Answer{})
	c.End(mtboard.Good{})
	return c
}

// Prompts that share their parts go to one home, and one that is sent elsewhere
// fetches from there.
func TestSharedPromptsHaveAHome(t *testing.T) {
	g := NewWithT(t)
	b := board(8)
	first := serve(b, query(6000, "rules", "dossier", "own1"))
	second := b.Choose(query(6000, "rules", "dossier", "own2"))
	g.Expect(second.Target()).To(Equal(first.Target()))
	g.Expect(second.Matched()).To(Equal(int64(4000)))
	elsewhere := query(6000, "rules", "dossier", "own3")
	elsewhere.Exclude(first.Target())
	third := b.Choose(elsewhere)
	g.Expect(third.Target()).NotTo(Equal(first.Target()))
	g.Expect(third.Fetch()).To(Equal(first.Address()))
}

// A burst of one hot prompt: beyond a point its requests go to other engines and
// fetch what is shared, so that none waits behind ten others.
func TestHotPromptSpreads(t *testing.T) {
	g := NewWithT(t)
	b := board(8)
	serve(b, query(9000, "rules", "dossier", "own"))
	used := map[string]int{}
	for i := range 24 {
		used[b.Choose(query(9000, "rules", "dossier", fmt.Sprint("own", i))).Target()]++
	}
	g.Expect(len(used)).To(BeNumerically(">=", 4))
	for target, count := range used {
		g.Expect(count).To(BeNumerically("<=", 10), target)
	}
}

// What other entries have given an engine to read counts as what one's own has.
func TestOthersPendingCounts(t *testing.T) {
	g := NewWithT(t)
	b := board(2)
	q := query(9000, "rules", "dossier", "own")
	first := b.Choose(q)
	first.End(mtboard.Good{})
	loaded := state(first.Target(), 1)
	loaded.Pending = 40000
	b.Hear(loaded)
	g.Expect(b.Choose(q).Target()).NotTo(Equal(first.Target()))
}

// Guards against a request that an engine has no memory for: it would crash with all that
// it runs. The engine that has its parts is passed over, until memory is free again.
func TestEngineWithoutMemoryIsPassedOver(t *testing.T) {
	g := NewWithT(t)
	b := board(4)
	first := serve(b, query(9000, "rules", "dossier", "own1"))
	g.Expect(b.Choose(query(9000, "rules", "dossier", "own2")).Target()).To(Equal(first.Target()))
	crowded := state(first.Target(), 1)
	crowded.Report.Used = crowded.Report.GetTotal() - 6000
	b.Hear(crowded)
	for i := range 8 {
		c := serve(b, query(9000, "rules", "dossier", fmt.Sprint("own", 3+i)))
		g.Expect(c.Target()).NotTo(Equal(first.Target()))
	}
	b.Hear(state(first.Target(), 1))
	used := map[string]bool{}
	for i := range 24 {
		used[b.Choose(query(9000, "rules", "dossier", fmt.Sprint("own", 20+i))).Target()] = true
	}
	g.Expect(used).To(HaveKey(first.Target()))
}

// Failure: where every engine is outdated, requests begin on weights whose time is over.
func TestNothingBeginsAfterTheTimeAllowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := board(2)
		b.Name(&fleetv1.Weights{Model: "m", Version: 2, Revision: 2})
		time.Sleep(7 * time.Second)
		g.Expect(b.Choose(query(500, "q", "own"))).NotTo(BeNil())
		time.Sleep(time.Second)
		late := query(500, "q", "own")
		g.Expect(b.Choose(late)).To(BeNil())
		g.Expect(b.Lacks(late)).To(Equal("2 known: 2 with outdated weights"))
		b.Hear(state("e1", 2))
		g.Expect(b.Choose(late).Target()).To(Equal("e1"))
	})
}

// Failure: a request waits behind others' prompts until the weights' time is over.
func TestWaitIsPartOfTheTimeAllowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := board(1)
		b.Name(&fleetv1.Weights{Model: "m", Version: 2, Revision: 2})
		time.Sleep(6 * time.Second)
		g.Expect(b.Choose(query(500, "q", "own"))).NotTo(BeNil())
		busy := state("e0", 1)
		busy.Pending = 200_000
		b.Hear(busy)
		g.Expect(b.Choose(query(500, "q", "own"))).To(BeNil())
	})
}

// Failure: nobody knows since when weights are named, and few engines with older ones are
// used as if those were new; or most have older ones, and the few others get everything.
func TestFewDoubtfulEnginesAreSpared(t *testing.T) {
	g := NewWithT(t)
	b := board(4)
	b.Name(mtnaming.Listed(&fleetv1.Weights{Model: "m", Version: 2, Revision: 2}))
	used := func() map[string]bool {
		ids := map[string]bool{}
		for range 80 {
			ids[b.Choose(query(9000, "q", "own")).Target()] = true
		}
		return ids
	}
	b.Hear(state("e1", 2))
	g.Expect(used()).To(HaveLen(4))
	b.Hear(state("e2", 2))
	g.Expect(used()).To(HaveLen(2))
	b.Name(&fleetv1.Weights{Model: "m", Version: 2, Revision: 2})
	g.Expect(used()).To(HaveLen(4))
}

// Failure: the log of a send doesn't tell why an engine with older weights was allowed.
func TestChoiceSaysHowLongNewerWeightsWereNamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := board(1)
		g.Expect(b.Choose(query(500, "q", "own")).Behind()).To(BeZero())
		b.Name(&fleetv1.Weights{Model: "m", Version: 2, Revision: 2})
		time.Sleep(3 * time.Second)
		g.Expect(b.Choose(query(500, "q", "own")).Behind()).To(Equal(3 * time.Second))
	})
}

// An engine about to load takes nothing; one whose weights are outdated neither,
// while another has the newest; where none has, callers are served all the same.
func TestOutdatedWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := board(2)
		b.Name(&fleetv1.Weights{Model: "m", Version: 2, Revision: 2})
		time.Sleep(4 * time.Second)
		b.Name(&fleetv1.Weights{Model: "m", Version: 3, Revision: 3})
		time.Sleep(3 * time.Second)
		b.Hear(state("e0", 1))
		g.Expect(b.Choose(query(500, "q", "own"))).NotTo(BeNil(), "no engine has newer weights")
		b.Hear(state("e1", 3))
		for range 20 {
			g.Expect(b.Choose(query(500, "q", "own")).Target()).To(Equal("e1"))
		}
		ordering := state("e1", 3)
		ordering.Ordering = true
		b.Hear(ordering)
		g.Expect(b.Choose(query(500, "q", "own"))).NotTo(BeNil())
	})
}

// Failure: an engine comes back with weights that were replaced eight seconds ago, while
// the others serve those of before the newest; requests are begun on it.
func TestOutdatedBesideOneThatIsNot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := board(2)
		for number := int64(2); number <= 4; number++ {
			b.Name(&fleetv1.Weights{Model: "m", Version: number, Revision: number})
			time.Sleep(3 * time.Second)
		}
		b.Hear(state("e0", 1))
		b.Hear(state("e1", 3))
		for range 20 {
			g.Expect(b.Choose(query(500, "q", "own")).Target()).To(Equal("e1"))
		}
	})
}

// Failure: the only engine with weights in time loads newer ones, and meanwhile runs are
// begun on an engine that came back with weights whose whole time allowed is over.
func TestOutdatedBesideOneThatLoads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := board(2)
		b.Name(&fleetv1.Weights{Model: "m", Version: 2, Revision: 2})
		time.Sleep(allowed)
		b.Name(&fleetv1.Weights{Model: "m", Version: 3, Revision: 3})
		time.Sleep(time.Second)
		b.Hear(state("e0", 1))
		loads := state("e1", 2)
		loads.Ordering = true
		b.Hear(loads)
		g.Expect(b.Choose(query(500, "q", "own"))).To(BeNil(), "a run begins on weights that ran out a second ago")
	})
}

// A target that can't be reached is left out for a moment and then tried again;
// one that fails a share of its requests gets few, and returns when it is well.
func TestFaultyTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := board(2)
		b.Choose(query(500, "q", "own")).End(mtboard.Unreached{})
		reached := b.Choose(query(500, "q", "own"))
		reached.End(mtboard.Good{})
		time.Sleep(20 * time.Second)
		used := map[string]bool{}
		for range 40 {
			c := b.Choose(query(500, "q", "own"))
			used[c.Target()] = true
		}
		g.Expect(used).To(HaveLen(2))
	})
}

// An isolated account's prompts are salted apart, and so are other weights.
func TestSaltsSeparate(t *testing.T) {
	g := NewWithT(t)
	b := board(1)
	ask := &fleetv1.Ask{Model: "m", Prompt: 100, Parts: []*fleetv1.Part{{Id: "p", Tokens: 100}}}
	salt := func(account *fleetv1.Account) string {
		return b.Choose(mtboard.NewQuery(pool, ask, account, "", 0)).Salt()
	}
	shared := salt(&fleetv1.Account{Name: "a"})
	g.Expect(salt(&fleetv1.Account{Name: "b"})).To(Equal(shared))
	alone := salt(&fleetv1.Account{Name: "a", Isolated: true})
	g.Expect(alone).NotTo(Equal(shared))
	g.Expect(salt(&fleetv1.Account{Name: "b", Isolated: true})).NotTo(Equal(alone))
	b.Hear(state("e0", 2))
	g.Expect(salt(&fleetv1.Account{Name: "a", Isolated: true})).NotTo(Equal(alone))
}

// An engine starts again under its id: what it held before is void.
func TestBornAnew(t *testing.T) {
	g := NewWithT(t)
	b := board(1)
	b.Hear(state("e0", 1))
	first := b.Choose(query(6000, "rules", "dossier", "own"))
	first.Started(&fleetv1.Answer{})
	g.Expect(b.Choose(query(6000, "rules", "dossier", "own2")).Matched()).NotTo(BeZero())
	again := state("e0", 1)
	again.Report.Born = 2
	b.Hear(again)
	g.Expect(b.Choose(query(6000, "rules", "dossier", "own3")).Matched()).To(BeZero())
}

func BenchmarkChoose(b *testing.B) {
	for _, engines := range []int{18, 45, 300} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			board := board(engines)
			q := query(9000, "rules", "dossier", "own")
			for b.Loop() {
				board.Choose(q).End(mtboard.Good{})
			}
		})
	}
}

// Full caches, and prompts that share 4,000 tokens: whenever their holder had
// 50 ms to read, the next request went elsewhere and fetched them there. The
// copies pushed out what others asked for next, which was read again. A request
// stays with the holder for a while, and leaves it where others idle for long.
func TestCopiesAreNotFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := board(8)
		holder := serve(b, query(6000, "rules", "dossier", "own1"))
		busy := state(holder.Target(), 1)
		busy.Pending = 4000 // 125 ms
		b.Hear(busy)
		stays := b.Choose(query(6000, "rules", "dossier", "own2"))
		stays.End(mtboard.Left{})
		g.Expect(stays.Target()).To(Equal(holder.Target()))
		busy.Pending = 16_000 // 500 ms
		b.Hear(busy)
		leaves := b.Choose(query(6000, "rules", "dossier", "own3"))
		leaves.End(mtboard.Left{})
		g.Expect(leaves.Target()).NotTo(Equal(holder.Target()))
		g.Expect(leaves.Fetch()).To(Equal(holder.Address()))
	})
}

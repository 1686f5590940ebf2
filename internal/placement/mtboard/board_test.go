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
	"github.com/mustardtide/mustardtide/internal/routing/mtcatalog"
)

const gracePeriod = 8 * time.Second

var pool = &fleetv1.Service{Name: "pool", Model: "m", Slots: 8}

// board returns a board with the given number of engines, spread over two data centres.
func board(engines int) *mtboard.Board {
	b := mtboard.New("north", gracePeriod, mtlimiter.New("", mtlimit.New()))
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
	b.UpdateTargets(list, func(*fleetv1.Target) bool { return false })
	b.MergeWeights(&fleetv1.Weights{Model: "m", Version: 1, Revision: 1})
	return b
}

func query(prompt int64, parts ...string) *mtboard.Query {
	ask := &fleetv1.Ask{Model: "m", Prompt: prompt, Output: 20}
	for _, part := range parts {
		ask.Parts = append(ask.Parts, &fleetv1.Part{Id: part, Tokens: prompt / int64(len(parts))})
	}
	return mtboard.NewQuery(pool, ask, "", "store:1", 800*time.Millisecond)
}

func state(target string, version int64) *fleetv1.State {
	return &fleetv1.State{Target: target, Answers: true, Report: &fleetv1.Report{
		Models: []*fleetv1.Weights{{Model: "m", Version: version}}, Total: 70000, Born: 1,
	}}
}

// serve sends a query to the engine chosen for it, which answers it.
func serve(b *mtboard.Board, q *mtboard.Query) *mtboard.Choice {
	c := b.Choose(q)
	c.Started(&fleetv1.Answer{})
	c.End(mtboard.Succeeded{})
	return c
}

// Guards against prompts with shared parts that go to different engines. One that is sent
// to another engine must fetch the parts from the engine that has them cached.
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
	g.Expect(third.FetchFrom()).To(Equal(first.Address()))
}

// Guards against a burst of one hot prompt that queues at a single engine. Some of its
// requests must go to other engines and fetch the shared parts, so that none waits behind ten
// others.
func TestHotPromptIsSpread(t *testing.T) {
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

// Guards against an estimate of the wait that counts only the prompts which this entry sent,
// not those of other entries.
func TestPendingPromptsOfOtherEntriesCount(t *testing.T) {
	g := NewWithT(t)
	b := board(2)
	q := query(9000, "rules", "dossier", "own")
	first := b.Choose(q)
	first.End(mtboard.Succeeded{})
	loaded := state(first.Target(), 1)
	loaded.Pending = 40000
	b.UpdateState(loaded)
	g.Expect(b.Choose(q).Target()).NotTo(Equal(first.Target()))
}

// Guards against a request that is sent to an engine without enough free memory: the engine
// would crash with all its running requests. Although it has the parts cached, it is skipped
// until memory is free again.
func TestEngineWithoutMemoryIsSkipped(t *testing.T) {
	g := NewWithT(t)
	b := board(4)
	first := serve(b, query(9000, "rules", "dossier", "own1"))
	g.Expect(b.Choose(query(9000, "rules", "dossier", "own2")).Target()).To(Equal(first.Target()))
	full := state(first.Target(), 1)
	full.Report.Used = full.Report.GetTotal() - 6000
	b.UpdateState(full)
	for i := range 8 {
		c := serve(b, query(9000, "rules", "dossier", fmt.Sprint("own", 3+i)))
		g.Expect(c.Target()).NotTo(Equal(first.Target()))
	}
	b.UpdateState(state(first.Target(), 1))
	used := map[string]bool{}
	for i := range 24 {
		used[b.Choose(query(9000, "rules", "dossier", fmt.Sprint("own", 20+i))).Target()] = true
	}
	g.Expect(used).To(HaveKey(first.Target()))
}

// Guards against requests that begin on outdated weights after the grace period because all
// engines are outdated.
func TestNothingBeginsAfterTheGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := board(2)
		b.MergeWeights(&fleetv1.Weights{Model: "m", Version: 2, Revision: 2})
		time.Sleep(7 * time.Second)
		g.Expect(b.Choose(query(500, "q", "own"))).NotTo(BeNil())
		time.Sleep(time.Second)
		request := query(500, "q", "own")
		g.Expect(b.Choose(request)).To(BeNil())
		g.Expect(b.UnfitSummary(request)).To(Equal("2 known: 2 with outdated weights"))
		b.UpdateState(state("e1", 2))
		g.Expect(b.Choose(request).Target()).To(Equal("e1"))
	})
}

// Guards against a request that waits behind other prompts until the grace period of the
// weights is over.
func TestWaitCountsTowardsTheGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := board(1)
		b.MergeWeights(&fleetv1.Weights{Model: "m", Version: 2, Revision: 2})
		time.Sleep(6 * time.Second)
		g.Expect(b.Choose(query(500, "q", "own"))).NotTo(BeNil())
		busy := state("e0", 1)
		busy.Pending = 200_000
		b.UpdateState(busy)
		g.Expect(b.Choose(query(500, "q", "own"))).To(BeNil())
	})
}

// Guards against two faults where the time of publication of the newest weights is unknown:
// a few engines with older weights are used as if these were new, or most engines have older
// weights and the few others get all requests.
func TestFewEnginesWithUncertainWeightsAreAvoided(t *testing.T) {
	g := NewWithT(t)
	b := board(4)
	b.MergeWeights(mtnaming.FromListing(&fleetv1.Weights{Model: "m", Version: 2, Revision: 2}))
	used := func() map[string]bool {
		ids := map[string]bool{}
		for range 80 {
			ids[b.Choose(query(9000, "q", "own")).Target()] = true
		}
		return ids
	}
	b.UpdateState(state("e1", 2))
	g.Expect(used()).To(HaveLen(4))
	b.UpdateState(state("e2", 2))
	g.Expect(used()).To(HaveLen(2))
	b.MergeWeights(&fleetv1.Weights{Model: "m", Version: 2, Revision: 2})
	g.Expect(used()).To(HaveLen(4))
}

// Guards against a send whose log line lacks the reason why an engine with older weights was
// allowed: for how long newer weights have been published.
func TestChoiceReportsAgeOfNewerWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := board(1)
		g.Expect(b.Choose(query(500, "q", "own")).Behind()).To(BeZero())
		b.MergeWeights(&fleetv1.Weights{Model: "m", Version: 2, Revision: 2})
		time.Sleep(3 * time.Second)
		g.Expect(b.Choose(query(500, "q", "own")).Behind()).To(Equal(3 * time.Second))
	})
}

// Guards against requests that go to an engine with outdated weights while another one has
// the newest, and against requests that are refused because no engine has them. An engine
// about to load weights gets no requests.
func TestEngineWithNewestWeightsIsPreferred(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := board(2)
		b.MergeWeights(&fleetv1.Weights{Model: "m", Version: 2, Revision: 2})
		time.Sleep(4 * time.Second)
		b.MergeWeights(&fleetv1.Weights{Model: "m", Version: 3, Revision: 3})
		time.Sleep(3 * time.Second)
		b.UpdateState(state("e0", 1))
		g.Expect(b.Choose(query(500, "q", "own"))).NotTo(BeNil(), "no engine has newer weights")
		b.UpdateState(state("e1", 3))
		for range 20 {
			g.Expect(b.Choose(query(500, "q", "own")).Target()).To(Equal("e1"))
		}
		loading := state("e1", 3)
		loading.Ordering = true
		b.UpdateState(loading)
		g.Expect(b.Choose(query(500, "q", "own"))).NotTo(BeNil())
	})
}

// Guards against requests that begin on an engine which returns with weights replaced eight
// seconds ago, while the other engines serve the version before the newest.
func TestOutdatedEngineIsNotUsedBesideCurrentOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := board(2)
		for version := int64(2); version <= 4; version++ {
			b.MergeWeights(&fleetv1.Weights{Model: "m", Version: version, Revision: version})
			time.Sleep(3 * time.Second)
		}
		b.UpdateState(state("e0", 1))
		b.UpdateState(state("e1", 3))
		for range 20 {
			g.Expect(b.Choose(query(500, "q", "own")).Target()).To(Equal("e1"))
		}
	})
}

// Guards against runs that begin on an engine which returned with weights past their grace
// period, while the only engine with usable weights loads newer ones.
func TestOutdatedEngineIsNotUsedWhileAnotherLoads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := board(2)
		b.MergeWeights(&fleetv1.Weights{Model: "m", Version: 2, Revision: 2})
		time.Sleep(gracePeriod)
		b.MergeWeights(&fleetv1.Weights{Model: "m", Version: 3, Revision: 3})
		time.Sleep(time.Second)
		b.UpdateState(state("e0", 1))
		loading := state("e1", 2)
		loading.Ordering = true
		b.UpdateState(loading)
		g.Expect(b.Choose(query(500, "q", "own"))).To(BeNil(), "the grace period of its weights ended a second ago")
	})
}

// Guards against a target that is never used again after it could not be reached once. It is
// left out for a while and then tried again.
func TestFaultyTargetIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := board(2)
		b.Choose(query(500, "q", "own")).End(mtboard.Unreachable{})
		retried := b.Choose(query(500, "q", "own"))
		retried.End(mtboard.Succeeded{})
		time.Sleep(20 * time.Second)
		used := map[string]bool{}
		for range 40 {
			c := b.Choose(query(500, "q", "own"))
			used[c.Target()] = true
		}
		g.Expect(used).To(HaveLen(2))
	})
}

// Guards against cached parts that are shared between isolated accounts, or between versions
// of the weights. Accounts that are not isolated share a salt.
func TestSaltsSeparateAccountsAndWeights(t *testing.T) {
	g := NewWithT(t)
	b := board(1)
	ask := &fleetv1.Ask{Model: "m", Prompt: 100, Parts: []*fleetv1.Part{{Id: "p", Tokens: 100}}}
	salt := func(account *fleetv1.Account) string {
		catalog := mtcatalog.New(&fleetv1.Catalog{Accounts: []*fleetv1.Account{account, {Name: "c"}}})
		return b.Choose(mtboard.NewQuery(pool, ask, catalog.Partition(account), "", 0)).Salt()
	}
	shared := salt(&fleetv1.Account{Name: "a"})
	g.Expect(salt(&fleetv1.Account{Name: "b"})).To(Equal(shared))
	isolated := salt(&fleetv1.Account{Name: "a", Isolated: true})
	g.Expect(isolated).NotTo(Equal(shared))
	g.Expect(salt(&fleetv1.Account{Name: "b", Isolated: true})).NotTo(Equal(isolated))
	b.UpdateState(state("e0", 2))
	g.Expect(salt(&fleetv1.Account{Name: "a", Isolated: true})).NotTo(Equal(isolated))
}

// Guards against parts that are taken to be cached at an engine which has restarted under
// the same id.
func TestRestartedEngineHasAnEmptyCache(t *testing.T) {
	g := NewWithT(t)
	b := board(1)
	b.UpdateState(state("e0", 1))
	first := b.Choose(query(6000, "rules", "dossier", "own"))
	first.Started(&fleetv1.Answer{})
	g.Expect(b.Choose(query(6000, "rules", "dossier", "own2")).Matched()).NotTo(BeZero())
	restarted := state("e0", 1)
	restarted.Report.Born = 2
	b.UpdateState(restarted)
	g.Expect(b.Choose(query(6000, "rules", "dossier", "own3")).Matched()).To(BeZero())
}

func BenchmarkChoose(b *testing.B) {
	for _, engines := range []int{18, 45, 300} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			board := board(engines)
			q := query(9000, "rules", "dossier", "own")
			for b.Loop() {
				board.Choose(q).End(mtboard.Succeeded{})
			}
		})
	}
}

// Guards against copies of shared parts that evict other parts from full caches. With
// prompts that share 4,000 tokens, as soon as their holder had 50 ms of prefill pending, the
// next request went to another engine and fetched them there. The copies evicted parts that
// were requested next and had to be prefilled again. A request must stay with the holder for a
// short wait, and leave it for a long one.
func TestPromptStaysWithItsHolderForShortWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := board(8)
		holder := serve(b, query(6000, "rules", "dossier", "own1"))
		busy := state(holder.Target(), 1)
		busy.Pending = 4000 // 125 ms
		b.UpdateState(busy)
		short := b.Choose(query(6000, "rules", "dossier", "own2"))
		short.End(mtboard.Abandoned{})
		g.Expect(short.Target()).To(Equal(holder.Target()))
		busy.Pending = 16_000 // 500 ms
		b.UpdateState(busy)
		long := b.Choose(query(6000, "rules", "dossier", "own3"))
		long.End(mtboard.Abandoned{})
		g.Expect(long.Target()).NotTo(Equal(holder.Target()))
		g.Expect(long.FetchFrom()).To(Equal(holder.Address()))
	})
}

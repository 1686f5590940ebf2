package mtlab_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/lab/mtresult"
)

// strongest are the baselines that come first or second on the patterns here;
// make measure has all of them.
var strongest = []string{"prefixhash", "sqdn"}

// all runs a pattern under our policy and the strongest baselines.
func all(t *testing.T, pattern string) (ours *mtresult.Result, baselines []*mtresult.Result) {
	for _, policy := range strongest {
		baselines = append(baselines, run(t, fleet(t, "riga"), load(t, pattern), policy))
	}
	return run(t, fleet(t, "riga"), load(t, pattern), "mustardtide"), baselines
}

func oracle(t *testing.T, pattern string) *mtresult.Result {
	return run(t, fleet(t, "riga"), load(t, pattern), "oracle")
}

// A laboratory whose runs differ measures nothing: a figure before and after a
// change would differ without it.
func TestRunsAreTheSame(t *testing.T) {
	g := NewWithT(t)
	size, pattern := fleet(t, "riga"), load(t, "mixed")
	g.Expect(run(t, size, pattern, "mustardtide").String()).To(Equal(run(t, size, pattern, "mustardtide").String()))
}

// Parents of a school ask about its trips through every entry. With prefix
// hashing alone a popular trip's engine falls behind and its callers wait for
// seconds; with load alone each trip is computed on each engine.
func TestNestedIsServedFromCaches(t *testing.T) {
	g := NewWithT(t)
	ours, baselines := all(t, "nested")
	g.Expect(ours.Hit()).To(BeNumerically(">=", 0.95*oracle(t, "nested").Hit()))
	for _, other := range baselines {
		g.Expect(ours.P99()).To(BeNumerically("<=", other.P99()*7/10), other.String())
	}
}

// Half of all callers ask for one dossier. With one home its engine is full
// and they wait for ten seconds while other engines idle.
func TestHotKeyWidens(t *testing.T) {
	g := NewWithT(t)
	ours, baselines := all(t, "hotkey")
	for _, other := range baselines {
		g.Expect(ours.P99()).To(BeNumerically("<=", other.P99()*7/10), other.String())
	}
}

// A term opens: at one instant all callers turn to other dossiers. The caches
// hold what nobody asks for any more; after half a minute they must serve as
// before.
func TestShiftRecovers(t *testing.T) {
	g := NewWithT(t)
	ours := run(t, fleet(t, "riga"), load(t, "shift"), "mustardtide")
	g.Expect(ours.Hit()).To(BeNumerically(">=", 0.95*oracle(t, "shift").Hit()))
	late := runFrom(t, load(t, "shift"), 80*time.Second)
	before := runFrom(t, load(t, "shift"), 0)
	g.Expect(late.Hit()).To(BeNumerically(">=", before.Hit()))
}

// One engine runs at a fifth of its speed and answers each probe as the others
// do. Every request that lands there comes late. Once the prefixes that it held
// have moved on, callers must not notice it.
func TestSlowTargetIsAvoided(t *testing.T) {
	g := NewWithT(t)
	with := runFrom(t, load(t, "slow"), 75*time.Second)
	without := runFrom(t, load(t, "slow").Without(), 75*time.Second)
	t.Log(with, without)
	g.Expect(with.P99()).To(BeNumerically("<=", without.P99()*13/10))
}

// One account asks for many times its share. The others must get what they get
// without it.
func TestHotCallerTakesNothing(t *testing.T) {
	g := NewWithT(t)
	size, pattern := fleet(t, "small"), load(t, "hotcaller")
	with := run(t, size, pattern, "mustardtide")
	without := run(t, size, pattern.Without(), "mustardtide")
	for _, account := range []string{"account-1", "account-4", "account-7"} {
		g.Expect(with.Account(account)).To(BeNumerically(">=", 0.95*without.Account(account)), account)
	}
	g.Expect(with.Fairness()).To(BeNumerically(">=", 0.98))
}

// Twice as much arrives as the fleet serves with warm caches.
func TestOverloadIsServedAndRefused(t *testing.T) {
	g := NewWithT(t)
	ours, bound := run(t, fleet(t, "small"), load(t, "overload"), "mustardtide"), run(t, fleet(t, "small"), load(t, "overload"), "oracle")
	t.Log(ours, bound)
	g.Expect(ours.Goodput()).To(BeNumerically(">=", 0.95*bound.Goodput()))
}

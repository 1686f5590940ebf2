package mtlab_test

import (
	"testing"

	. "github.com/onsi/gomega"
)

// A laboratory whose runs differ measures nothing: a figure before and after a
// change would differ without it.
func TestRunsAreTheSame(t *testing.T) {
	g := NewWithT(t)
	size, pattern := fleet(t, "dakar"), load(t, "mixed")
	g.Expect(run(t, size, pattern, "mustardtide").String()).To(Equal(run(t, size, pattern, "mustardtide").String()))
}

// Parents of a school ask about its trips through every entry. With prefix
// hashing alone a popular trip's engine falls behind and its callers wait for
// seconds; with load alone each trip is computed on each engine.
func TestNestedIsServedFromCaches(t *testing.T) {
	g := NewWithT(t)
	size, pattern := fleet(t, "dakar"), load(t, "nested")
	ours, oracle := run(t, size, pattern, "mustardtide"), run(t, size, pattern, "oracle")
	hashed := run(t, size, pattern, "prefixhash")
	g.Expect(ours.Hit()).To(BeNumerically(">=", 0.95*oracle.Hit()))
	g.Expect(ours.P99()).To(BeNumerically("<=", hashed.P99()*7/10))
}

// Half of all callers ask for one dossier. With one home its engine is full
// and they wait for ten seconds while other engines idle.
func TestHotKeyWidens(t *testing.T) {
	g := NewWithT(t)
	size, pattern := fleet(t, "dakar"), load(t, "hotkey")
	ours, best := run(t, size, pattern, "mustardtide"), run(t, size, pattern, "sqdn")
	g.Expect(ours.P99()).To(BeNumerically("<=", best.P99()*7/10))
	g.Expect(ours.Wasted()).To(BeNumerically("<=", 0.01))
}

package mtroster_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/members/mtroster"
)

func target(id string, revision int64, leaving bool) *fleetv1.Target {
	return &fleetv1.Target{Id: id, Service: "s", Revision: revision, Leaving: leaving}
}

// Entries vanish with the store's outage: they are kept until their targets had
// the time to come back, but for one that was leaving.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := mtroster.New()
		r.Replace(map[string]*fleetv1.Target{"a": target("a", 1, false), "b": target("b", 2, false), "c": target("c", 3, true)}, 3)
		r.Away()
		time.Sleep(5 * time.Second)
		r.Back()
		g.Expect(r.Replace(map[string]*fleetv1.Target{}, 4)).To(Equal([]string{"c"}))
		g.Expect(r.View().Service("s")).To(HaveLen(2))
		r.Put("a", target("a", 9, false))
		time.Sleep(3 * time.Second)
		g.Expect(r.Expire()).To(Equal([]string{"b"}))
		g.Expect(r.View().Target("a").GetRevision()).To(Equal(int64(9)))
	})
}

// Without an outage an entry that is gone is gone, and an older value does not
// replace a newer one.
func TestPlainChanges(t *testing.T) {
	g := NewWithT(t)
	r := mtroster.New()
	r.Put("a", target("a", 5, true))
	r.Put("a", target("a", 4, false))
	g.Expect(r.View().Target("a").GetLeaving()).To(BeTrue())
	number := r.View().Number()
	g.Expect(r.Remove("a")).To(BeTrue())
	g.Expect(r.Remove("a")).To(BeFalse())
	g.Expect(r.View().Number()).To(BeNumerically(">", number))
	g.Expect(r.View().All()).To(BeEmpty())
}

// A peer's list that is older than what is known drops nothing.
func TestOlderList(t *testing.T) {
	g := NewWithT(t)
	r := mtroster.New()
	r.Replace(map[string]*fleetv1.Target{"a": target("a", 5, false)}, 10)
	g.Expect(r.Replace(map[string]*fleetv1.Target{}, 9)).To(BeEmpty())
	g.Expect(r.View().Target("a")).NotTo(BeNil())
	sum := r.View().Sum()
	r.Put("a", target("a", 6, false))
	g.Expect(r.View().Sum()).NotTo(Equal(sum))
	r.Complete(12)
	g.Expect(r.View().Complete()).To(Equal(int64(12)))
}

package mtroster_test

import (
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"pgregory.net/rapid"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/members/mtroster"
)

func target(id string, revision int64, leaving bool) *fleetv1.Target {
	return &fleetv1.Target{Id: id, Service: "s", Revision: revision, Leaving: leaving}
}

// change takes in a new value of target a; nil where it is gone.
func change(r *mtroster.Roster, now *fleetv1.Target) map[string]bool {
	return r.Change(maps.All(map[string]*fleetv1.Target{"a": now}), 0)
}

// A rollout changes every target's entry, and hundreds come in one answer of the
// store: readers get one new view for all. Each had its own, and 2,700 targets
// took an entry seconds.
func TestChangesThatComeTogether(t *testing.T) {
	g := NewWithT(t)
	r := mtroster.New()
	number := r.View().Number()
	batch := map[string]*fleetv1.Target{}
	for i := range 500 {
		id := fmt.Sprint("t", i)
		batch[id] = target(id, int64(i), false)
	}
	g.Expect(r.Change(maps.All(batch), 600)).To(BeEmpty())
	g.Expect(r.View().Number()).To(Equal(number + 1))
	g.Expect(r.View().Complete()).To(Equal(int64(600)))
	g.Expect(r.View().All()).To(HaveLen(500))
	for id := range batch {
		batch[id] = nil
	}
	g.Expect(r.Change(maps.All(batch), 700)).To(HaveLen(500))
	g.Expect(r.View().Number()).To(Equal(number + 2))
	g.Expect(r.View().All()).To(BeEmpty())
}

func BenchmarkChange(b *testing.B) {
	for _, size := range []int{20, 270, 2700} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			r := mtroster.New()
			batch := map[string]*fleetv1.Target{}
			for i := range size {
				id := fmt.Sprint("t", i)
				batch[id] = target(id, int64(i), false)
			}
			for b.Loop() {
				r.Change(maps.All(batch), 1)
			}
		})
	}
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
		change(r, target("a", 9, false))
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
	change(r, target("a", 5, true))
	change(r, target("a", 4, false))
	g.Expect(r.View().Target("a").GetLeaving()).To(BeTrue())
	number := r.View().Number()
	g.Expect(change(r, nil)).To(Equal(map[string]bool{"a": true}))
	g.Expect(change(r, nil)).To(BeEmpty())
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
	change(r, target("a", 6, false))
	g.Expect(r.View().Sum()).NotTo(Equal(sum))
	number := r.View().Number()
	r.Change(maps.All(map[string]*fleetv1.Target{}), 12)
	g.Expect(r.View().Number()).To(BeNumerically(">", number))
	g.Expect(r.View().Complete()).To(Equal(int64(12)))
}

// An entry reads its first list page by page, and another entry's list comes between
// two pages: what is left of its own changes nothing, as a target may have gone since.
func TestPagesOfAFirstList(t *testing.T) {
	g := NewWithT(t)
	r := mtroster.New()
	g.Expect(r.Begin([]*fleetv1.Target{target("a", 1, false), target("b", 2, false)})).To(BeTrue())
	g.Expect(r.View().All()).To(HaveLen(2))
	g.Expect(r.View().Complete()).To(BeZero())
	g.Expect(r.Replace(map[string]*fleetv1.Target{"b": target("b", 2, false)}, 9)).To(Equal([]string{"a"}))
	g.Expect(r.Begin([]*fleetv1.Target{target("c", 3, false)})).To(BeFalse())
	g.Expect(r.View().All()).To(HaveLen(1))
	g.Expect(r.View().Complete()).To(Equal(int64(9)))
}

// Two entries' lists drift apart while one's watch is silent. What the other tells
// of the changes since makes them alike; where it does not remember as far back, it
// says so.
func TestSinceLeadsOn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ahead, behind := mtroster.New(), mtroster.New()
		revision := int64(1)
		start := map[string]*fleetv1.Target{}
		for i := range rapid.IntRange(0, 5).Draw(t, "targets") {
			start[fmt.Sprint("t", i)] = target(fmt.Sprint("t", i), revision, false)
		}
		ahead.Replace(start, revision)
		known := revision
		if rapid.Bool().Draw(t, "both") {
			behind.Replace(start, revision)
		} else {
			known = 0
		}
		for range rapid.IntRange(1, 30).Draw(t, "changes") {
			revision++
			id := fmt.Sprint("t", rapid.IntRange(0, 7).Draw(t, "target"))
			var now *fleetv1.Target
			if rapid.Bool().Draw(t, "lives") {
				now = target(id, revision, false)
			}
			update := map[string]*fleetv1.Target{id: now}
			ahead.Change(maps.All(update), revision)
			if known == revision-1 && rapid.Bool().Draw(t, "hears") {
				behind.Change(maps.All(update), revision)
				known = revision
			}
		}
		changed, gone, ok := ahead.View().Since(behind.View().Complete())
		if !ok {
			if known > 0 {
				t.Fatalf("nothing is told since %d", known)
			}
			return
		}
		updates := map[string]*fleetv1.Target{}
		for _, now := range changed {
			updates[now.GetId()] = now
		}
		for _, id := range gone {
			updates[id] = nil
		}
		behind.Change(maps.All(updates), revision)
		if behind.View().Sum() != ahead.View().Sum() {
			t.Fatalf("%v became %v", ahead.View().All(), behind.View().All())
		}
	})
}

// Failure: an entry that is back from an outage keeps a target that has gone, and tells its
// list as complete beyond that; those who learn from it keep the target for ever.
func TestOthersHearOfTheEndOfAKeptTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		list := map[string]*fleetv1.Target{"a": target("a", 1, false), "b": target("b", 2, false)}
		back, other := mtroster.New(), mtroster.New()
		back.Replace(list, 3)
		other.Replace(list, 3)
		learn := func() {
			from, known := back.View(), other.View().Complete()
			if from.Settled() <= known {
				return
			}
			changed, gone, ok := from.Since(known)
			g.Expect(ok).To(BeTrue())
			updates := map[string]*fleetv1.Target{}
			for _, id := range gone {
				updates[id] = nil
			}
			for _, t := range changed {
				updates[t.GetId()] = t
			}
			other.Change(maps.All(updates), from.Settled())
		}
		back.Away()
		time.Sleep(5 * time.Second)
		back.Back()
		back.Change(maps.All(map[string]*fleetv1.Target{"a": nil}), 4)
		learn()
		g.Expect(back.View().Target("a")).NotTo(BeNil())
		back.Change(maps.All(map[string]*fleetv1.Target{"b": target("b", 5, true)}), 5)
		learn()
		time.Sleep(3 * time.Second)
		g.Expect(back.Expire()).To(Equal([]string{"a"}))
		learn()
		g.Expect(other.View().Target("a")).To(BeNil())
		g.Expect(other.View().Target("b").GetLeaving()).To(BeTrue())
		g.Expect(other.View().Complete()).To(Equal(int64(5)))
	})
}

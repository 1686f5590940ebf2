package mtlineage_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/members/mtlineage"
)

const reuse = 2 * time.Second

// answer lets a program answer a report and then the question for its id.
func answer(l *mtlineage.Lineage, born int64, id string) {
	l.Answered(time.Now(), born)
	if incarnation, ask := l.Unidentified(); ask {
		l.Identify(id, time.Now(), incarnation)
	}
}

// A program that answers within the time in which the address can't change hands is of the service
// of the one before it.
func ExampleLineage() {
	l := mtlineage.New(reuse)
	answer(l, 1, "first")
	l.Failed()
	answer(l, 2, "second")
	fmt.Println(l.ID(), l.Related("first"), l.Related("stranger"))
	// Output: second true false
}

// Guards against a program of another service that counts as the successor of the one that ended
// at its address.
func TestGapEndsTheLineage(t *testing.T) {
	for name, c := range map[string]struct {
		reuse, gap time.Duration
		related    bool
		id         string
	}{
		"at once":            {reuse: reuse, related: true, id: "second"},
		"just in time":       {reuse: reuse, gap: reuse - time.Millisecond, related: true, id: "second"},
		"at the bound":       {reuse: reuse, gap: reuse, id: "second"},
		"long after":         {reuse: reuse, gap: time.Minute, id: "second"},
		"no bound is stated": {},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				l := mtlineage.New(c.reuse)
				answer(l, 1, "first")
				time.Sleep(c.gap)
				answer(l, 2, "second")
				g.Expect(l.ID()).To(Equal(c.id))
				g.Expect(l.Related("first")).To(Equal(c.related))
			})
		})
	}
}

// Guards against a slow answer that hides how long the address was free: what counts is when its
// call was sent.
func TestSignOfLifeIsTheTimeOfTheCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		l := mtlineage.New(reuse)
		answer(l, 1, "first")
		sent := time.Now()
		time.Sleep(reuse - time.Millisecond)
		l.Answered(sent, 1)
		time.Sleep(time.Millisecond)
		answer(l, 2, "second")
		g.Expect(l.Related("first")).To(BeFalse())
	})
}

// Guards against an id that is taken for that of a program which has come since the question.
func TestLateIDIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for name, between := range map[string]func(l *mtlineage.Lineage){
			"another program": func(l *mtlineage.Lineage) { l.Answered(time.Now(), 2) },
			"a failed call":   func(l *mtlineage.Lineage) { answer(l, 1, "first"); l.Failed() },
			"a gap":           func(*mtlineage.Lineage) { time.Sleep(reuse) },
		} {
			t.Log(name)
			g := NewWithT(t)
			l := mtlineage.New(reuse)
			l.Answered(time.Now(), 1)
			asked, _ := l.Unidentified()
			sent := time.Now()
			between(l)
			g.Expect(l.Identify("late", sent, asked)).To(BeFalse())
			g.Expect(l.ID()).To(BeEmpty())
			g.Expect(l.Related("late")).To(BeFalse())
		}
	})
}

// Guards against a list of ids that grows with each start of a program that never stays up, and
// against the loss of the newest.
func TestIDsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		l := mtlineage.New(reuse)
		for i := range 1000 {
			answer(l, int64(i), fmt.Sprint("start-", i))
			time.Sleep(time.Second)
		}
		g.Expect(l.Related("start-0")).To(BeFalse())
		g.Expect(l.Related("start-990")).To(BeTrue())
		g.Expect(l.Related("start-999")).To(BeTrue())
	})
}

// Guards against an address that went to another service and back again under the first id, and
// counts as the other's.
func TestThereAndBackAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		l := mtlineage.New(reuse)
		answer(l, 1, "first")
		time.Sleep(reuse)
		answer(l, 2, "other")
		time.Sleep(reuse)
		answer(l, 3, "first")
		g.Expect(l.ID()).To(Equal("first"))
		g.Expect(l.Related("first")).To(BeTrue())
		g.Expect(l.Related("other")).To(BeFalse())
	})
}

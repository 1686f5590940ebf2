package mtentries_test

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/types/known/durationpb"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/members/mtentries"
)

func greeting(round time.Duration, far bool, pending int64) *fleetv1.Hello {
	return &fleetv1.Hello{Turn: &fleetv1.Turn{}, Round: durationpb.New(round), Far: far, Pending: pending}
}

// Guards against an entry that is forgotten between two of its greetings where a data
// centre has hundreds of engines: it would hear of no change of the engine's until the next.
func TestEntryIsKeptBetweenItsGreetings(t *testing.T) {
	for _, round := range []time.Duration{250 * time.Millisecond, 2400 * time.Millisecond, 4500 * time.Millisecond, 9300 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			entries := mtentries.New()
			entries.Hear("entry-0", greeting(round, false, 0))
			// One greeting is lost.
			time.Sleep(2 * round)
			g.Expect(entries.Live()).To(Equal(1), "%v", round)
			g.Expect(entries.HeardNear()).To(BeTrue())
			g.Expect(entries.Near(math.MaxInt)).To(ConsistOf("entry-0"))
			time.Sleep(round + 4*time.Second)
			g.Expect(entries.HeardNear()).To(BeFalse())
			g.Expect(entries.Live()).To(BeZero())
		})
	}
}

// Guards against engines that count as busy for as long as a dead entry counts as live.
func TestDeadEntryKeepsNoEngineBusy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		entries := mtentries.New()
		entries.Hear("entry-0", greeting(9*time.Second, false, 3000))
		entries.Hear("entry-1", greeting(9*time.Second, false, 1000))
		g.Expect(entries.Pending("")).To(Equal(int64(4000)))
		g.Expect(entries.Pending("entry-1")).To(Equal(int64(3000)))
		time.Sleep(5 * time.Second)
		g.Expect(entries.Live()).To(Equal(2))
		g.Expect(entries.Pending("")).To(BeZero())
	})
}

// Guards against dead entries of another data centre that count as live for minutes, as they
// greet so seldom in a large fleet.
func TestEntriesElsewhereAreForgottenSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		entries := mtentries.New()
		entries.Hear("entry-0", greeting(time.Minute, true, 0))
		g.Expect(entries.Some(4)).To(ConsistOf("entry-0"))
		g.Expect(entries.Near(4)).To(BeEmpty())
		g.Expect(entries.HeardNear()).To(BeFalse())
		time.Sleep(5 * time.Second)
		g.Expect(entries.Live()).To(BeZero())
	})
}

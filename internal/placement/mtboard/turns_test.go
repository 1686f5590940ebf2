package mtboard_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
)

// Guards against an engine that loses its queue position between two heartbeats of its
// sidecar, in a fleet so large that heartbeats are rare.
func TestQueuePositionIsKeptBetweenHeartbeats(t *testing.T) {
	const engines, near, far = 80, 3 * time.Second, 60 * time.Second
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := board(engines)
		b.MergeWeights(&fleetv1.Weights{Model: "m", Version: 2, Revision: 2})
		const north, south = 0, 1
		datacentres := []string{"north", "south"}
		report := func(datacentre int) {
			for i := datacentre; i < engines; i += 2 {
				b.UpdateState(state(fmt.Sprint("e", i), 1))
			}
		}
		expect := func(datacentre, queue int) {
			queues, positions := b.Queues(pool, near, far), map[uint32]bool{}
			for i := datacentre; i < engines; i += 2 {
				turn := queues.Of(&fleetv1.Target{Id: fmt.Sprint("e", i), Datacentre: datacentres[datacentre]})
				g.Expect(turn.GetQueue()).To(Equal(uint32(queue)))
				positions[turn.GetPlace()] = true
			}
			g.Expect(positions).To(HaveLen(engines / 2))
		}
		report(south)
		time.Sleep(far - near)
		report(north)
		time.Sleep(near)
		expect(north, engines/2)
		expect(south, engines/2)
		// Engines whose heartbeat is later than that are removed and do not block the others.
		time.Sleep(near)
		b.UpdateState(state("e0", 1))
		expect(north, 1)
		expect(south, engines/2)
		time.Sleep(far / 2)
		b.UpdateState(state("e1", 1))
		expect(south, 1)
	})
}

// Guards against heartbeats that go on without end to engines which have the newest weights,
// or which never get them.
func TestOutdatedEnginesAreListedUntilTheGracePeriodEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := board(4)
		g.Expect(b.Outdated(pool)).To(BeEmpty())
		b.MergeWeights(&fleetv1.Weights{Model: "m", Version: 2, Revision: 2})
		g.Expect(b.Outdated(pool)).To(HaveLen(4))
		b.UpdateState(state("e0", 2))
		b.UpdateState(state("e1", 1))
		var ids []string
		for _, target := range b.Outdated(pool) {
			ids = append(ids, target.GetId())
		}
		g.Expect(ids).To(ConsistOf("e1", "e2", "e3"))
		time.Sleep(gracePeriod + time.Second)
		g.Expect(b.Outdated(pool)).To(BeEmpty())
	})
}

package mtentry_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/observe/mtevent"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	"github.com/mustardtide/mustardtide/internal/standin/mtengine"
	"github.com/mustardtide/mustardtide/internal/standin/mtfleet"
	"github.com/mustardtide/mustardtide/internal/standin/mtproof"
)

const (
	// leavingNews is the time after which a leaving target gets nothing new.
	leavingNews = 2 * time.Second
	// leavingList is how long the platform's list lags in this proof.
	leavingList = 5 * time.Minute
	// leavingWatched is how long the leaving target is watched: a long answer
	// keeps it from ending.
	leavingWatched = 25 * time.Second
)

// begunBy counts the runs that a sidecar's log says it began.
func begunBy(log *mtevent.Log) int {
	n := 0
	events, _ := log.Events(&mustardtidev1.EventsRequest{})
	for _, e := range events {
		if mtkind.Kind(e.GetCode()) == mtkind.RunBegan {
			n++
		}
	}
	return n
}

// sentTo counts the attempts that an entry sent to a target.
func sentTo(fleet *mtfleet.Fleet, entry, target string) int {
	n := 0
	events, _ := fleet.Log(entry).Events(&mustardtidev1.EventsRequest{})
	for _, e := range events {
		if mtkind.Kind(e.GetCode()) == mtkind.AttemptSent && e.GetText() == target {
			n++
		}
	}
	return n
}

// A target is told to leave while it finishes a long answer. The platform's
// list goes on calling it live for five minutes. It must get no new work after
// two seconds, entries must stop asking it, and once it is back it must be used
// again although the list never said that it had gone.
func TestProofLeavingSilent(t *testing.T) {
	proof := mtproof.New(t, "leaving-silent")
	for _, entries := range []int{1, 3} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { leavingHistory(t, proof, entries) })
		})
	}
}

func leavingHistory(t *testing.T, proof *mtproof.Proof, entries int) {
	g := NewWithT(t)
	fleet := newPathFleet(t, g)
	for i := range 2 {
		g.Expect(fleet.AddTarget(fmt.Sprintf("trip-%d", i), "trip", "imanta", mtengine.New(8, 20000, 100*time.Millisecond, 1000))).To(Succeed())
	}
	c := newCaller(fleet)
	var urls []string
	for i := range entries {
		name := fmt.Sprintf("entry-%d", i)
		g.Expect(fleet.AddEntry(name, "imanta")).To(Succeed())
		urls = append(urls, fleet.Entry(name))
	}
	time.Sleep(5 * time.Second)
	for _, url := range urls {
		pathReady(g, c, url)
	}
	fleet.Platform().Lag(leavingList)
	done := make(chan struct{})
	var loads sync.WaitGroup
	failed := make([]int, len(urls))
	for i, url := range urls {
		loads.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(200 * time.Millisecond):
				}
				proof.Add("operations", 1)
				if !c.complete(url, fmt.Sprintf("question %d of %d", n, i), 2, true).ended(true) {
					failed[i]++
				}
			}
		})
	}
	// Long answers on both targets, so that the one that leaves has one.
	var long sync.WaitGroup
	for i := range 8 {
		long.Go(func() { c.complete(urls[0], fmt.Sprintf("dossier %d", i), int(leavingWatched/time.Second)*10+50, true) })
	}
	time.Sleep(2 * time.Second)
	log := fleet.Log("trip-0")
	stopped := make(chan error, 1)
	go func() { stopped <- fleet.Stop("trip-0") }()
	time.Sleep(leavingNews)
	proof.Add("faults", 1)
	begun, sent := begunBy(log), sentTo(fleet, "entry-0", "trip-0")
	time.Sleep(leavingWatched - leavingNews)
	g.Expect(begunBy(log)).To(Equal(begun), "the leaving target began new work")
	asked := sentTo(fleet, "entry-0", "trip-0") - sent
	proof.Add("asked", asked)
	g.Expect(asked).To(BeNumerically("<=", int(leavingWatched/(4*time.Second))+1), "the entry went on asking")
	long.Wait()
	g.Expect(<-stopped).To(Succeed())
	g.Expect(fleet.Restart("trip-0")).To(Succeed())
	time.Sleep(10 * time.Second)
	g.Expect(begunBy(fleet.Log("trip-0"))).To(BeNumerically(">", 0), "the target that came back is not used")
	close(done)
	loads.Wait()
	for _, n := range failed {
		g.Expect(n).To(BeZero())
	}
	c.close()
	_ = fleet.Close()
	time.Sleep(pingsEnd)
	proof.Add("histories", 1)
}

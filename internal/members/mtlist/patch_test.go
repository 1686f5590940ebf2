package mtlist_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/members/mtlist"
	"github.com/mustardtide/mustardtide/internal/observe/mtevent"
	"github.com/mustardtide/mustardtide/internal/observe/mtstamp"
)

// TestPatches: whatever instances come, leave and go, a peer that takes what
// changed since its own list ends with the same list, and the cost of a change
// does not grow with the fleet.
func TestPatches(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			entry := mtlist.New(mtevent.New("entry-0", &mtstamp.Clock{}, nil))
			peer := mtlist.New(mtevent.New("trip-0", &mtstamp.Clock{}, nil))
			for range rapid.IntRange(1, 40).Draw(draw, "changes") {
				time.Sleep(time.Second)
				var members []*mustardtidev1.Member
				for _, i := range rapid.SliceOfDistinct(rapid.IntRange(0, 30), rapid.ID).Draw(draw, "live") {
					members = append(members, member(i, rapid.Bool().Draw(draw, "leaving")))
				}
				entry.Take(members, 0)
				if rapid.IntRange(0, 3).Draw(draw, "pull") != 0 {
					continue
				}
				time.Sleep(time.Second)
				pull(peer, entry)
				g.Expect(peer.Hash()).To(Equal(entry.Hash()))
			}
		})
	})
}

// pull is what a sidecar does with an entry's answer.
func pull(peer, entry *mtlist.List) int {
	hash := peer.Hash()
	changed, gone, ok := entry.Since(hash)
	if !ok {
		peer.Take(entry.All(), entry.Age())
		return proto.Size(&mustardtidev1.PullReply{Members: entry.All()})
	}
	peer.Patch(hash, changed, gone, entry.Age())
	return proto.Size(&mustardtidev1.PullReply{Members: changed, Gone: gone})
}

// Story: a peer whose list is older than this one's comes back and offers it.
// Taken, it would bring back an instance that is gone, and requests with it.
func TestOlderListIsNotTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		list := mtlist.New(mtevent.New("trip-0", &mtstamp.Clock{}, nil))
		time.Sleep(time.Minute)
		list.Take([]*mustardtidev1.Member{member(1, false)}, 10*time.Second)
		list.Take([]*mustardtidev1.Member{member(0, false), member(1, false)}, 20*time.Second)
		g.Expect(list.Find("trip-0")).To(BeNil())
		list.Patch(list.Hash(), []*mustardtidev1.Member{member(0, false)}, nil, 20*time.Second)
		g.Expect(list.Find("trip-0")).To(BeNil())
		clear(list.All())
		g.Expect(list.All()[0].GetName()).To(Equal("trip-1"), "a caller that filters its slice in place")

		fleet := make([]*mustardtidev1.Member, 0, 3120)
		for i := range 3120 {
			fleet = append(fleet, member(i, false))
		}
		entry := mtlist.New(mtevent.New("entry-0", &mtstamp.Clock{}, nil))
		entry.Take(fleet, 0)
		time.Sleep(time.Second)
		whole := pull(list, entry)
		time.Sleep(time.Second)
		fleet[7] = member(7, true)
		entry.Take(fleet, 0)
		time.Sleep(time.Second)
		change := pull(list, entry)
		t.Logf("whole list %d bytes, one change %d bytes", whole, change)
		g.Expect(change).To(BeNumerically("<", 200))
		g.Expect(list.Find("trip-7").GetLeaving()).To(BeTrue())
	})
}

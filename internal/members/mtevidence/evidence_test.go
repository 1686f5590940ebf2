package mtevidence_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/members/mtevidence"
	"github.com/mustardtide/mustardtide/internal/members/mtlist"
	"github.com/mustardtide/mustardtide/internal/observe/mtevent"
	"github.com/mustardtide/mustardtide/internal/observe/mtstamp"
)

// names lists the usable targets of the one service.
func names(e *mtevidence.Evidence) []string {
	var list []string
	for _, m := range e.Usable("trip") {
		list = append(list, m.GetName())
	}
	return list
}

// A target is shunned for what an entry has seen of it: it said that it
// leaves, its dial was refused, it went silent. Nobody tells the entry when the
// target is back, so each kind of evidence must lapse by itself; and a service
// must not be without targets because of evidence alone.
func TestEvidence(t *testing.T) {
	for name, c := range map[string]struct {
		see   func(*mtevidence.Evidence)
		until time.Duration
	}{
		"leaving": {func(e *mtevidence.Evidence) {
			e.Heard("10.0.0.1:1", &mustardtidev1.State{Target: "a", Boot: "1", Leaving: true})
		}, 4 * time.Second},
		"refused":         {func(e *mtevidence.Evidence) { e.Refused("a", "10.0.0.1:1") }, 2 * time.Second},
		"silent":          {func(e *mtevidence.Evidence) { e.Silent("a", "10.0.0.1:1") }, 10 * time.Second},
		"its old address": {func(e *mtevidence.Evidence) { e.Refused("a", "10.0.0.9:1") }, 0},
		"leaving and back": {func(e *mtevidence.Evidence) {
			e.Heard("10.0.0.1:1", &mustardtidev1.State{Target: "a", Boot: "1", Leaving: true})
			e.Heard("10.0.0.1:1", &mustardtidev1.State{Target: "a", Boot: "2"})
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				list := mtlist.New(mtevent.New("entry", &mtstamp.Clock{}, nil))
				e := mtevidence.New(list)
				ctx, cancel := context.WithCancel(context.Background())
				end := e.Follow(ctx)
				list.Take([]*mustardtidev1.Member{
					{Name: "a", Address: "10.0.0.1:1", Service: "trip"},
					{Name: "b", Address: "10.0.0.2:1", Service: "trip"},
					{Name: "c", Address: "10.0.0.3:1", Service: "trip", Leaving: true},
				}, 0)
				synctest.Wait()
				g.Expect(names(e)).To(Equal([]string{"a", "b"}))
				c.see(e)
				if c.until > 0 {
					g.Expect(names(e)).To(Equal([]string{"b"}))
					time.Sleep(c.until - time.Millisecond)
					synctest.Wait()
					g.Expect(names(e)).To(Equal([]string{"b"}))
					time.Sleep(time.Millisecond)
					synctest.Wait()
				}
				g.Expect(names(e)).To(Equal([]string{"a", "b"}), "the evidence has not lapsed")
				e.Silent("a", "10.0.0.1:1")
				e.Silent("b", "10.0.0.2:1")
				g.Expect(names(e)).To(Equal([]string{"a", "b"}), "evidence against all is no evidence")
				cancel()
				<-end
			})
		})
	}
}

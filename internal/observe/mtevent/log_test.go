package mtevent_test

import (
	"testing"

	. "github.com/onsi/gomega"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/observe/mtevent"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	"github.com/mustardtide/mustardtide/internal/observe/mtstamp"
)

func TestLogKeepsTheNewest(t *testing.T) {
	g := NewWithT(t)
	log := mtevent.New("entry-0", &mtstamp.Clock{}, nil)
	const added = 25000
	for range added {
		log.Add(mtkind.RequestAccepted, &mustardtidev1.Event{Run: "r"})
	}
	log.Add(mtkind.RequestAnswered, &mustardtidev1.Event{Run: "last"})
	all, dropped := log.Events(&mustardtidev1.EventsRequest{})
	g.Expect(len(all) + int(dropped)).To(Equal(added + 1))
	g.Expect(all[len(all)-1].GetRun()).To(Equal("last"))
	few, _ := log.Events(&mustardtidev1.EventsRequest{Run: "r", Most: 10})
	g.Expect(few).To(HaveLen(10))
	g.Expect(few[9].GetSeq()).To(BeEquivalentTo(added))
	g.Expect(log.Metrics().Value(`events_total{event="request-accepted"}`)).To(BeEquivalentTo(added))
}

func BenchmarkAdd(b *testing.B) {
	log := mtevent.New("entry-0", &mtstamp.Clock{}, nil)
	b.ReportAllocs()
	for b.Loop() {
		log.Add(mtkind.RequestAccepted, &mustardtidev1.Event{Run: "r", Account: "a"})
	}
}

package mtsearch_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/request/mtsearch"
)

func ended(s *mtsearch.Search) bool {
	select {
	case <-s.Done():
		return true
	default:
		return false
	}
}

func ExampleSearch() {
	search := mtsearch.New([]string{"10.0.0.1:7350", "10.0.0.2:7350"})
	search.Take("10.0.0.2:7350", &fleetv1.Found{Origin: &fleetv1.Origin{Build: "v1"}})
	<-search.Done()
	origin, replica := search.Origin()
	fmt.Println(origin.GetBuild(), replica, search.Pending())
	// Output: v1 10.0.0.2:7350 [10.0.0.1:7350]
}

// A search is done with the first replica that has the origin, however many are pending.
func TestFirstHitEndsTheSearch(t *testing.T) {
	g := NewWithT(t)
	s := mtsearch.New([]string{"a", "b", "c"})
	s.Take("a", &fleetv1.Found{})
	g.Expect(ended(s)).To(BeFalse())
	s.Take("b", &fleetv1.Found{Origin: &fleetv1.Origin{Build: "v1"}})
	g.Expect(ended(s)).To(BeTrue())
	s.Take("c", &fleetv1.Found{Origin: &fleetv1.Origin{Build: "v2"}})
	origin, from := s.Origin()
	g.Expect(origin.GetBuild()).To(Equal("v1"))
	g.Expect(from).To(Equal("b"))
	g.Expect(s.Pending()).To(ConsistOf("c"))
}

// Failure: an answer that comes twice, or from a process that was not asked, counts for a replica
// that is pending.
func TestEachReplicaCountsOnce(t *testing.T) {
	g := NewWithT(t)
	s := mtsearch.New([]string{"a", "b"})
	for _, from := range []string{"a", "a", "d"} {
		s.Take(from, &fleetv1.Found{Mixed: from == "d"})
	}
	g.Expect(ended(s)).To(BeFalse())
	g.Expect(s.Pending()).To(ConsistOf("b"))
	g.Expect(s.Mixed()).To(BeFalse())
	s.Take("b", &fleetv1.Found{Mixed: true})
	g.Expect(ended(s)).To(BeTrue())
	g.Expect(s.Mixed()).To(BeTrue())
	g.Expect(ended(mtsearch.New(nil))).To(BeTrue())
	g.Expect(s.Builds()).To(BeEmpty())
}

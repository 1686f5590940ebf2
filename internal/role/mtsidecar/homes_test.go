package mtsidecar

import (
	"testing"

	. "github.com/onsi/gomega"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
)

// A sidecar looks for a claim's home while an entry is on the list. The list is
// shared by all of the process: a choice that filters it in place leaves holes
// in what everyone else reads. Cause: the members belong to the list.
func TestChooseLeavesTheListAlone(t *testing.T) {
	g := NewWithT(t)
	members := []*mustardtidev1.Member{
		{Name: "entry-0", Role: "entry"},
		{Name: "trip-0", Role: "sidecar", Address: "10.0.0.1:80"},
		{Name: "trip-1", Role: "sidecar", Address: "10.0.0.2:80", Leaving: true},
	}
	home := newHomes(nil, "http").choose(3, members)
	g.Expect(home.GetName()).To(Equal("trip-0"))
	for i, name := range []string{"entry-0", "trip-0", "trip-1"} {
		g.Expect(members[i].GetName()).To(Equal(name))
	}
}

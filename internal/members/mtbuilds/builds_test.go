package mtbuilds_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/members/mtbuilds"
)

const within = 10 * time.Second

func list(builds ...string) map[string]*fleetv1.Target {
	targets := map[string]*fleetv1.Target{"other": {Service: "other", Build: "x"}}
	for i, build := range builds {
		targets[string(rune('a'+i))] = &fleetv1.Target{Service: "pool", Build: build}
	}
	return targets
}

func ExampleBuilds() {
	builds := mtbuilds.New()
	builds.See(list("v1", "v2"), true)
	fmt.Println(builds.Several("pool", within))
	_, only := builds.Only("pool", within)
	fmt.Println(only)
	// Output:
	// true
	// false
}

// Failure: a process that has just started, or has seen a part of the list, takes the one build
// that it sees for the only one that there has been.
func TestOnlyBuildNeedsTimeToBeKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := mtbuilds.New()
		b.See(list("v1"), false)
		time.Sleep(2 * within)
		_, ok := b.Only("pool", within)
		g.Expect(ok).To(BeFalse(), "the list was not complete")
		b.See(list("v1", "v1"), true)
		time.Sleep(within - time.Second)
		_, ok = b.Only("pool", within)
		g.Expect(ok).To(BeFalse())
		time.Sleep(time.Second)
		build, ok := b.Only("pool", within)
		g.Expect(ok).To(BeTrue())
		g.Expect(build).To(Equal("v1"))
		g.Expect(b.Several("pool", within)).To(BeFalse())
		_, ok = b.Only("none", within)
		g.Expect(ok).To(BeFalse())
	})
}

// Failure: a build that has left a moment ago is forgotten, and its streams go on at another.
func TestBuildThatLeftIsRemembered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := mtbuilds.New()
		b.See(list("v1"), true)
		time.Sleep(2 * within)
		b.See(list("v1", "v2"), true)
		time.Sleep(within)
		b.See(list("v2"), true)
		time.Sleep(within - time.Second)
		_, ok := b.Only("pool", within)
		g.Expect(ok).To(BeFalse())
		g.Expect(b.Several("pool", within)).To(BeTrue())
		time.Sleep(2 * time.Second)
		build, ok := b.Only("pool", within)
		g.Expect(ok).To(BeTrue())
		g.Expect(build).To(Equal("v2"))
	})
}

// Failure: a target whose entry names no build counts as one of the only build.
func TestUnnamedBuildIsNotTheOnlyOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := mtbuilds.New()
		b.See(list("", ""), true)
		time.Sleep(2 * within)
		_, ok := b.Only("pool", within)
		g.Expect(ok).To(BeFalse())
		b.See(list("v1", ""), true)
		g.Expect(b.Several("pool", within)).To(BeTrue())
	})
}

package mtlate_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/observe/mtlate"
)

func ExamplePath() {
	var path mtlate.Path
	path.Add(mtlate.Entry, 2*time.Millisecond)
	path.Add(mtlate.Connection, time.Millisecond)
	path.Worked(900*time.Millisecond, 600*time.Millisecond, 200*time.Millisecond, 0, 70*time.Millisecond)
	fmt.Println(path.Cause(903*time.Millisecond, 800*time.Millisecond, 0, 0))
	// Output: queue
}

// Failure: an operator looks for the wrong thing.
func TestCauseIsTheLongestStage(t *testing.T) {
	const aim, gap = 500 * time.Millisecond, 250 * time.Millisecond
	work := func(p *mtlate.Path, took time.Duration) {
		p.Worked(took, 100*time.Millisecond, 200*time.Millisecond, 0, 0)
	}
	for name, c := range map[string]struct {
		walk  func(p *mtlate.Path)
		first time.Duration
		pause time.Duration
		cause string
	}{
		"in time":     {func(p *mtlate.Path) { work(p, 300*time.Millisecond) }, 300 * time.Millisecond, 0, ""},
		"stood still": {func(p *mtlate.Path) { work(p, 300*time.Millisecond) }, 300 * time.Millisecond, time.Second, "pauses"},
		"unforeseen":  {func(p *mtlate.Path) { work(p, 900*time.Millisecond) }, 900 * time.Millisecond, 0, "unforeseen"},
		"tried twice": {func(p *mtlate.Path) {
			p.Add(mtlate.Connection, 400*time.Millisecond)
			p.Failed(600 * time.Millisecond)
			work(p, 150*time.Millisecond)
		}, 750 * time.Millisecond, 0, "again"},
		"connection": {func(p *mtlate.Path) {
			p.Add(mtlate.Connection, 400*time.Millisecond)
			work(p, 300*time.Millisecond)
		}, 700 * time.Millisecond, 0, "connection"},
		"nothing known": {func(*mtlate.Path) {}, time.Second, 0, "entry"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var p mtlate.Path
			c.walk(&p)
			g.Expect(p.Cause(c.first, aim, c.pause, gap)).To(Equal(c.cause))
			g.Expect(p.Cause(c.first, 0, c.pause, 0)).To(BeEmpty(), "no aim, no gap")
		})
	}
}

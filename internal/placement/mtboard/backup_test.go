package mtboard_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtlimit"
	"github.com/mustardtide/mustardtide/internal/admission/mtlimiter"
	"github.com/mustardtide/mustardtide/internal/placement/mtboard"
)

// pair is a board with two engines alike, of which the first runs a request.
type pair struct {
	*mtboard.Board
	first *mtboard.Choice
	// other is the second engine, as it is listed and as its sidecar reports.
	other    *fleetv1.Target
	reported *fleetv1.State
	targets  map[string]*fleetv1.Target
}

func newPair() *pair {
	p := &pair{Board: mtboard.New("north", gracePeriod, mtlimiter.New("", mtlimit.New())), targets: map[string]*fleetv1.Target{}}
	for i := range 2 {
		p.targets[fmt.Sprint("e", i)] = &fleetv1.Target{
			Id: fmt.Sprint("e", i), Service: "pool", Address: fmt.Sprintf("10.0.0.%d:80", i), Datacentre: "north", Slots: 8,
			Build: "a", Born: 1, Models: []*fleetv1.Weights{{Model: "m", Version: 1}},
		}
	}
	p.list()
	p.MergeWeights(&fleetv1.Weights{Model: "m", Version: 1, Revision: 1})
	p.UpdateState(state("e0", 1))
	p.UpdateState(state("e1", 1))
	p.first = p.Choose(query(800, "q", "own"))
	for id, target := range p.targets {
		if id != p.first.Target() {
			p.other, p.reported = proto.CloneOf(target), state(id, 1)
		}
	}
	return p
}

func (p *pair) list() {
	p.UpdateTargets(p.targets, func(*fleetv1.Target) bool { return false })
}

// update lists the second engine, and reports its state, as they are set.
func (p *pair) update() {
	p.targets[p.other.GetId()] = p.other
	p.list()
	p.UpdateState(p.reported)
}

// unfits are changes by which the second engine becomes unfit to go on with a run.
var unfits = map[string]func(p *pair){
	"another build":   func(p *pair) { p.other.Build = "b" },
	"unknown build":   func(p *pair) { p.other.Build = "" },
	"restarted":       func(p *pair) { p.reported.Report.Born = 2 },
	"other weights":   func(p *pair) { p.other.Models[0].Version = 2 },
	"loaded weights":  func(p *pair) { p.reported.Report.Models[0].Version = 2 },
	"leaving":         func(p *pair) { p.other.Leaving = true },
	"does not answer": func(p *pair) { p.reported.Answers = false },
	"is to load":      func(p *pair) { p.reported.Ordering = true },
}

// unfitsForCopies are changes by which it is unfit to keep a copy.
var unfitsForCopies = map[string]func(p *pair){
	"other data centre": func(p *pair) { p.other.Datacentre = "south" },
	"loads":             func(p *pair) { p.reported.Report.Busy = true },
	"no room":           func(p *pair) { p.reported.Report.Used = 64_000 },
	"prompts queued":    func(p *pair) { p.reported.Pending = 64_000 },
	"small memory":      func(p *pair) { p.reported.Report.Total = 8_000 },
	"outdated weights":  func(p *pair) { p.MergeWeights(&fleetv1.Weights{Model: "m", Version: 2, Revision: 2}) },
}

// Guards against copies at engines that can't go on with the run, or that the copies would harm.
func TestUnfitEnginesKeepNoCopies(t *testing.T) {
	NewWithT(t).Expect(newPair().backup()).NotTo(BeNil())
	for _, list := range []map[string]func(p *pair){unfits, unfitsForCopies} {
		for name, change := range list {
			p := newPair()
			change(p)
			p.update()
			NewWithT(t).Expect(p.backup()).To(BeNil(), name)
		}
	}
}

func (p *pair) backup() *mtboard.Backup { return p.ChooseBackup(p.first) }

// Guards against copies at an engine that failed a moment ago, or was not heard of for a while.
func TestFailedOrSilentEnginesKeepNoCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, p := NewWithT(t), newPair()
		failing := query(800, "q", "own")
		failing.Exclude(p.first.Target())
		p.Choose(failing).End(mtboard.Failed{})
		g.Expect(p.backup()).To(BeNil())
		time.Sleep(4 * time.Second)
		p.update()
		g.Expect(p.backup()).To(BeNil(), "four seconds after the failure")
		time.Sleep(2 * time.Second)
		p.update()
		g.Expect(p.backup()).NotTo(BeNil())
		time.Sleep(3 * time.Second)
		g.Expect(p.backup()).To(BeNil(), "its state is old")
	})
}

// Guards against a run that goes on at other software, at other weights or at a program that has
// restarted since the copy was begun.
func TestRunGoesOnAtTheSameProgramOnly(t *testing.T) {
	for name, change := range unfits {
		g, p := NewWithT(t), newPair()
		backup := p.backup()
		change(p)
		p.update()
		g.Expect(backup.Continue()).To(BeNil(), name)
	}
	g, p := NewWithT(t), newPair()
	backup := p.backup()
	g.Expect(backup.Address()).To(Equal(p.other.GetAddress()))
	c := backup.Continue()
	g.Expect([]any{c.Target(), c.ExpectedID(), c.Salt(), c.Version(), c.Build()}).To(Equal(
		[]any{p.other.GetId(), p.other.GetId(), p.first.Salt(), p.first.Version(), "a"}))
}

// Guards against copies that displace the cached prompts of an engine: they are bounded to a tenth
// of its memory, and no longer count once they are gone.
func TestCopiesTakeATenthOfTheMemory(t *testing.T) {
	g, p := NewWithT(t), newPair()
	var kept []*mtboard.Backup
	for backup := p.backup(); backup != nil; backup = p.backup() {
		kept = append(kept, backup)
	}
	g.Expect(kept).To(HaveLen(7000 / 820))
	kept[0].Release()
	kept[0].Release()
	g.Expect(p.backup()).NotTo(BeNil())
	g.Expect(p.backup()).To(BeNil())
}

// Guards against runs that all have their copies at one engine while others keep none.
func TestCopiesAreSpread(t *testing.T) {
	g, b := NewWithT(t), mixedBoard()
	for i := range 4 {
		b.UpdateState(state(fmt.Sprint("e", i), 1))
	}
	q := query(800, "q", "own")
	first := b.Choose(q)
	for first.Build() != "a" {
		q.Exclude(first.Target())
		first = b.Choose(q)
	}
	g.Expect(b.ChooseBackup(first).Target()).To(Or(Equal("e0"), Equal("e2")))
	g.Expect(b.Engines("pool")).To(Equal(4))
}

// Guards against speeds learned from a run that goes on: it has nothing to prefill. A refusal for
// want of a copy must not count as a failure of the engine.
func TestContinuedRunsTeachNothing(t *testing.T) {
	g, p := NewWithT(t), newPair()
	for range 40 {
		backup := p.backup()
		c := backup.Continue()
		c.Started(&fleetv1.Answer{})
		c.End(mtboard.Succeeded{})
		backup.Release()
	}
	g.Expect(p.Speed("pool")).To(BeNil())
	p.backup().Continue().End(mtboard.Rejected{Answer: &fleetv1.Answer{}})
	g.Expect(p.backup()).NotTo(BeNil())
	p.backup().Continue().NotePause(&fleetv1.Answer{Pause: durationpb.New(time.Second)})
	g.Expect(p.backup()).To(BeNil(), "it asked for a pause")
}

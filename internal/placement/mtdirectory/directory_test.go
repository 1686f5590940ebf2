package mtdirectory_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtlimit"
	"github.com/mustardtide/mustardtide/internal/admission/mtlimiter"
	"github.com/mustardtide/mustardtide/internal/placement/mtboard"
	"github.com/mustardtide/mustardtide/internal/placement/mtdirectory"
)

var pool = &fleetv1.Service{Name: "pool", Model: "m", Slots: 16}

// places are data centres.
var places = []string{"north", "south", "east", "west", "centre"}

// fleet is some entries' boards over engines in several data centres, whose sidecars
// answer and keep the directory.
type fleet struct {
	boards  []*mtboard.Board
	list    map[string]*fleetv1.Target
	targets []*fleetv1.Target
	// held are the parts that each engine has read.
	held        []map[string]int64
	directories []*mtdirectory.Directory
	// gone are sidecars that have died.
	gone map[string]bool
}

func newFleet(entries, engines int) *fleet {
	f := &fleet{gone: map[string]bool{}}
	list := map[string]*fleetv1.Target{}
	for i := range engines {
		target := &fleetv1.Target{
			Id: fmt.Sprint("e", i), Service: "pool", Address: fmt.Sprintf("10.0.%d.%d:80", i/200, i%200), Datacentre: places[i%len(places)],
			Slots: 16, Models: []*fleetv1.Weights{{Model: "m", Version: 1}},
		}
		list[target.GetId()] = target
		f.targets = append(f.targets, target)
		f.held = append(f.held, map[string]int64{})
		f.directories = append(f.directories, mtdirectory.New())
	}
	f.list = list
	for i := range entries {
		f.boards = append(f.boards, f.board(places[i%len(places)]))
	}
	f.greet()
	return f
}

// board is that of an entry in a data centre.
func (f *fleet) board(place string) *mtboard.Board {
	b := mtboard.New(place, 8*time.Second, mtlimiter.New("", mtlimit.New()))
	b.UpdateTargets(f.list, func(*fleetv1.Target) bool { return false })
	b.MergeWeights(&fleetv1.Weights{Model: "m", Version: 1, Revision: 1})
	return b
}

// greet lets every entry hear every sidecar that lives.
func (f *fleet) greet() {
	for _, b := range f.boards {
		f.greetFrom(b, "")
	}
}

// greetFrom lets an entry hear the sidecars of one data centre, "" for all.
func (f *fleet) greetFrom(b *mtboard.Board, place string) {
	for _, target := range f.targets {
		if !f.gone[target.GetId()] && (place == "" || target.GetDatacentre() == place) {
			b.UpdateState(&fleetv1.State{Target: target.GetId(), Answers: true, Report: &fleetv1.Report{
				Models: []*fleetv1.Weights{{Model: "m", Version: 1}}, Total: 70000, Born: 1,
			}})
		}
	}
}

func (f *fleet) number(id string) int {
	for i, target := range f.targets {
		if target.GetId() == id {
			return i
		}
	}
	panic(id)
}

// ask lets an entry hear a sidecar's answer.
func (f *fleet) ask(b *mtboard.Board, q *mtboard.Query, target *fleetv1.Target) {
	if f.gone[target.GetId()] {
		b.ProbeFailed(q, target.GetId())
		return
	}
	var found []*fleetv1.Held
	salts := b.Salts(q)
	for _, part := range q.SharedParts() {
		if tokens := f.held[f.number(target.GetId())][part]; tokens > 0 {
			found = append(found, &fleetv1.Held{Salt: salts[0], Part: part, Tokens: tokens})
		}
	}
	b.RecordHeld(q, target.GetId(), salts, found)
}

// send lets an entry serve one prompt, and returns the shared tokens that are read
// although an engine of the fleet has them.
func (f *fleet) send(entry int, ask *fleetv1.Ask, directory bool) int64 {
	b := f.boards[entry]
	q := mtboard.NewQuery(pool, ask, nil, "", 800*time.Millisecond)
	if directory {
		f.lookUp(b, q)
	}
	choice := b.Choose(q)
	engine := f.number(choice.Target())
	var again int64
	for _, part := range ask.GetParts()[:len(ask.GetParts())-1] {
		kept := f.held[engine][part.GetId()] > 0
		fetched := false
		for i, held := range f.held {
			fetched = fetched || f.targets[i].GetAddress() == choice.FetchFrom() && held[part.GetId()] > 0
		}
		for _, held := range f.held {
			if !kept && !fetched && held[part.GetId()] > 0 {
				again += part.GetTokens()
				break
			}
		}
		f.held[engine][part.GetId()] = part.GetTokens()
	}
	choice.Started(&fleetv1.Answer{})
	choice.End(mtboard.Succeeded{})
	if directory {
		f.notify(b, q, choice)
	}
	return again
}

// lookUp lets an entry hear who holds a prompt's parts.
func (f *fleet) lookUp(b *mtboard.Board, q *mtboard.Query) {
	for _, part := range b.Lookups(q) {
		for _, keeper := range b.DirectorySidecars(q, part, time.Second) {
			if f.gone[keeper.GetId()] {
				b.ProbeFailed(q, keeper.GetId())
				continue
			}
			seek := &fleetv1.Seek{Salts: b.Salts(q), Part: part.GetId()}
			b.AddHolders(q, part, f.directories[f.number(keeper.GetId())].Answer(seek).GetHolders())
		}
	}
	for _, target := range b.UnconfirmedHolders(q, 3) {
		f.ask(b, q, target)
	}
}

// notify tells the keepers of a prompt's parts which engine has read them.
func (f *fleet) notify(b *mtboard.Board, q *mtboard.Query, choice *mtboard.Choice) {
	for _, part := range b.Lookups(q) {
		for _, target := range b.DirectorySidecars(q, part, time.Second) {
			if !f.gone[target.GetId()] {
				f.directories[f.number(target.GetId())].Take(&fleetv1.Notice{
					Target: choice.Target(), Salt: choice.Salt(), Parts: []*fleetv1.Part{part}, Read: true,
				})
			}
		}
	}
}

// play sends prompts of some dossiers through entries drawn at random, and returns the
// share of the shared tokens that is read again. Some sidecars die after a third of them.
func play(directory bool, die int) float64 {
	const entries, engines, dossiers, prompts = 20, 60, 150, 1500
	f := newFleet(entries, engines)
	random := rand.New(rand.NewPCG(1, 1))
	var again, shared int64
	for i := range prompts {
		time.Sleep(5 * time.Millisecond)
		if i%100 == 0 {
			f.greet()
		}
		if i == prompts/3 {
			for _, target := range f.targets[:die] {
				f.gone[target.GetId()] = true
			}
		}
		ask := &fleetv1.Ask{Model: "m", Prompt: 9000, Output: 20, Parts: []*fleetv1.Part{
			{Id: "rules", Tokens: 2500}, {Id: fmt.Sprint("dossier", random.IntN(dossiers)), Tokens: 3700}, {Id: fmt.Sprint("own", i), Tokens: 2800},
		}}
		again += f.send(random.IntN(entries), ask, directory)
		shared += 6200
	}
	return float64(again) / float64(shared)
}

// Each of many entries serves a few of a dossier's requests, and sees none of the
// others'. What one engine had read was read again in each data centre, at nearly every
// entry. Asked for, its holders are known to all.
func TestPartsAreFoundAcrossTheFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		before, after := play(false, 0), play(true, 0)
		t.Logf("read again without the directory %.3f, with %.3f", before, after)
		g.Expect(after).To(BeNumerically("<", 0.03))
		g.Expect(before).To(BeNumerically(">", 3*after))
	})
}

// Failure: in a fleet of hundreds each entry hears of its own data centre's engines only,
// and serves a prompt so seldom that it forgets who holds the part that most prompts begin
// with. Every prompt of its own kind read that part anew.
func TestFirstPartIsFoundInALargeFleet(t *testing.T) {
	const entries, engines, prompts, firsts = 150, 300, 600, 4
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(0, engines)
		for i := range entries {
			f.boards = append(f.boards, f.board(places[i%len(places)]))
		}
		random := rand.New(rand.NewPCG(2, 2))
		var again, shared int64
		for i := range prompts {
			time.Sleep(20 * time.Millisecond)
			entry := random.IntN(entries)
			f.greetFrom(f.boards[entry], places[entry%len(places)])
			ask := &fleetv1.Ask{Model: "m", Prompt: 9000, Output: 20, Parts: []*fleetv1.Part{
				{Id: fmt.Sprint("rules", random.IntN(firsts)), Tokens: 2500}, {Id: fmt.Sprint("dossier", i), Tokens: 3700}, {Id: fmt.Sprint("own", i), Tokens: 2800},
			}}
			again += f.send(entry, ask, true)
			shared += 2500
		}
		share := float64(again) / float64(shared)
		t.Logf("of the first parts' tokens read again %.3f", share)
		NewWithT(t).Expect(share).To(BeNumerically("<", 0.05))
	})
}

// A third of the keepers die at once: what they knew is known again by the requests that
// follow, from the second keeper of each part or anew, and no request is lost.
func TestKeepersDie(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		NewWithT(t).Expect(play(true, 20)).To(BeNumerically("<", 0.06))
	})
}

// A question of any size gets an answer that fits a datagram.
func TestAnswersAreBounded(t *testing.T) {
	g := NewWithT(t)
	d := mtdirectory.New()
	seek := &fleetv1.Seek{Part: "p"}
	for salt := range 50 {
		seek.Salts = append(seek.Salts, fmt.Sprint("model-with-a-long-name@", salt))
		for target := range 50 {
			d.Take(&fleetv1.Notice{Salt: seek.GetSalts()[salt], Target: fmt.Sprint("instance-", target), Parts: []*fleetv1.Part{{Id: "p", Tokens: 1}}, Read: true})
		}
	}
	g.Expect(len(d.Answer(seek).String())).To(BeNumerically("<", 2400))
	g.Expect(d.Answer(&fleetv1.Seek{Part: "other", Salts: seek.GetSalts()}).GetHolders()).To(BeEmpty())
}

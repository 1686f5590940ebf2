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

// datacentres are the names of the simulated data centres.
var datacentres = []string{"north", "south", "east", "west", "centre"}

// fleet simulates the boards of some entries and engines in several data centres. The sidecars of
// the engines answer queries and keep the directory.
type fleet struct {
	boards  []*mtboard.Board
	list    map[string]*fleetv1.Target
	targets []*fleetv1.Target
	// held maps the parts that each engine has prefilled to their number of tokens.
	held        []map[string]int64
	directories []*mtdirectory.Directory
	// gone is the set of targets whose sidecars have died.
	gone map[string]bool
}

func newFleet(entries, engines int) *fleet {
	f := &fleet{gone: map[string]bool{}}
	list := map[string]*fleetv1.Target{}
	for i := range engines {
		target := &fleetv1.Target{
			Id: fmt.Sprint("e", i), Service: "pool", Address: fmt.Sprintf("10.0.%d.%d:80", i/200, i%200), Datacentre: datacentres[i%len(datacentres)],
			Slots: 16, Models: []*fleetv1.Weights{{Model: "m", Version: 1}},
		}
		list[target.GetId()] = target
		f.targets = append(f.targets, target)
		f.held = append(f.held, map[string]int64{})
		f.directories = append(f.directories, mtdirectory.New())
	}
	f.list = list
	for i := range entries {
		f.boards = append(f.boards, f.board(datacentres[i%len(datacentres)]))
	}
	f.heartbeatAll()
	return f
}

// board returns the board of a new entry in a data centre.
func (f *fleet) board(datacentre string) *mtboard.Board {
	b := mtboard.New(datacentre, 8*time.Second, mtlimiter.New("", mtlimit.New()))
	b.UpdateTargets(f.list, func(*fleetv1.Target) bool { return false })
	b.MergeWeights(&fleetv1.Weights{Model: "m", Version: 1, Revision: 1})
	return b
}

// heartbeatAll delivers heartbeats of all live sidecars to every entry.
func (f *fleet) heartbeatAll() {
	for _, b := range f.boards {
		f.heartbeats(b, "")
	}
}

// heartbeats delivers heartbeats of the live sidecars of a data centre, or of all for "", to one
// entry.
func (f *fleet) heartbeats(b *mtboard.Board, datacentre string) {
	for _, target := range f.targets {
		if !f.gone[target.GetId()] && (datacentre == "" || target.GetDatacentre() == datacentre) {
			b.UpdateState(&fleetv1.State{Target: target.GetId(), Answers: true, Report: &fleetv1.Report{
				Models: []*fleetv1.Weights{{Model: "m", Version: 1}}, Total: 70000, Born: 1,
			}})
		}
	}
}

// number returns the index of a target.
func (f *fleet) number(id string) int {
	for i, target := range f.targets {
		if target.GetId() == id {
			return i
		}
	}
	panic(id)
}

// query sends a query of an entry to a sidecar and delivers the answer; a dead one does not answer.
func (f *fleet) query(b *mtboard.Board, q *mtboard.Query, target *fleetv1.Target) {
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

// send serves one prompt through an entry. It returns the number of shared tokens that are
// prefilled although an engine of the fleet holds them.
func (f *fleet) send(entry int, ask *fleetv1.Ask, directory bool) int64 {
	b := f.boards[entry]
	q := mtboard.NewQuery(pool, ask, "", "", 800*time.Millisecond)
	if directory {
		f.lookUp(b, q)
	}
	choice := b.Choose(q)
	engine := f.number(choice.Target())
	var repeated int64
	for _, part := range ask.GetParts()[:len(ask.GetParts())-1] {
		kept := f.held[engine][part.GetId()] > 0
		fetched := false
		for i, held := range f.held {
			fetched = fetched || f.targets[i].GetAddress() == choice.FetchFrom() && held[part.GetId()] > 0
		}
		for _, held := range f.held {
			if !kept && !fetched && held[part.GetId()] > 0 {
				repeated += part.GetTokens()
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
	return repeated
}

// lookUp queries the directory for the holders of a prompt's parts, and then their sidecars.
func (f *fleet) lookUp(b *mtboard.Board, q *mtboard.Query) {
	for _, part := range b.Lookups(q) {
		for _, sidecar := range b.DirectorySidecars(q, part, time.Second) {
			if f.gone[sidecar.GetId()] {
				b.ProbeFailed(q, sidecar.GetId())
				continue
			}
			seek := &fleetv1.Seek{Salts: b.Salts(q), Part: part.GetId()}
			b.AddHolders(q, part, f.directories[f.number(sidecar.GetId())].Lookup(seek).GetHolders())
		}
	}
	for _, target := range b.UnconfirmedHolders(q, 3) {
		f.query(b, q, target)
	}
}

// notify reports to the directory sidecars of a prompt's parts which engine has prefilled them.
func (f *fleet) notify(b *mtboard.Board, q *mtboard.Query, choice *mtboard.Choice) {
	for _, part := range b.Lookups(q) {
		for _, target := range b.DirectorySidecars(q, part, time.Second) {
			if !f.gone[target.GetId()] {
				f.directories[f.number(target.GetId())].Record(&fleetv1.Notice{
					Target: choice.Target(), Salt: choice.Salt(), Parts: []*fleetv1.Part{part}, Read: true,
				})
			}
		}
	}
}

// simulate sends prompts with a number of shared documents through randomly drawn entries. After a
// third of the prompts the sidecars of some targets die, as many as deaths. It returns the fraction
// of the shared tokens that is prefilled again.
func simulate(directory bool, deaths int) float64 {
	const entries, engines, dossiers, prompts = 20, 60, 150, 1500
	f := newFleet(entries, engines)
	random := rand.New(rand.NewPCG(1, 1))
	var repeated, shared int64
	for i := range prompts {
		time.Sleep(5 * time.Millisecond)
		if i%100 == 0 {
			f.heartbeatAll()
		}
		if i == prompts/3 {
			for _, target := range f.targets[:deaths] {
				f.gone[target.GetId()] = true
			}
		}
		ask := &fleetv1.Ask{Model: "m", Prompt: 9000, Output: 20, Parts: []*fleetv1.Part{
			{Id: "rules", Tokens: 2500}, {Id: fmt.Sprint("dossier", random.IntN(dossiers)), Tokens: 3700}, {Id: fmt.Sprint("own", i), Tokens: 2800},
		}}
		repeated += f.send(random.IntN(entries), ask, directory)
		shared += 6200
	}
	return float64(repeated) / float64(shared)
}

// Failure: each of many entries serves few of the requests for a document and does not see the
// others', so that parts that one engine had prefilled were prefilled again in each data centre, at
// nearly every entry. With the directory every entry finds the holders.
func TestHoldersAreFoundAcrossTheFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		before, after := simulate(false, 0), simulate(true, 0)
		t.Logf("fraction of shared tokens prefilled again: %.3f without the directory, %.3f with it", before, after)
		g.Expect(after).To(BeNumerically("<", 0.03))
		g.Expect(before).To(BeNumerically(">", 3*after))
	})
}

// Failure: in a fleet of hundreds of engines each entry receives heartbeats from its own data
// centre only, and serves a prompt so rarely that it forgets who holds the part that most prompts
// begin with. Each prompt that was otherwise unique prefilled that part anew.
func TestFirstPartIsFoundInALargeFleet(t *testing.T) {
	const entries, engines, prompts, firstParts = 150, 300, 600, 4
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(0, engines)
		for i := range entries {
			f.boards = append(f.boards, f.board(datacentres[i%len(datacentres)]))
		}
		random := rand.New(rand.NewPCG(2, 2))
		var repeated, shared int64
		for i := range prompts {
			time.Sleep(20 * time.Millisecond)
			entry := random.IntN(entries)
			f.heartbeats(f.boards[entry], datacentres[entry%len(datacentres)])
			ask := &fleetv1.Ask{Model: "m", Prompt: 9000, Output: 20, Parts: []*fleetv1.Part{
				{Id: fmt.Sprint("rules", random.IntN(firstParts)), Tokens: 2500}, {Id: fmt.Sprint("dossier", i), Tokens: 3700}, {Id: fmt.Sprint("own", i), Tokens: 2800},
			}}
			repeated += f.send(entry, ask, true)
			shared += 2500
		}
		share := float64(repeated) / float64(shared)
		t.Logf("fraction of the first parts' tokens prefilled again: %.3f", share)
		NewWithT(t).Expect(share).To(BeNumerically("<", 0.05))
	})
}

// A third of the directory sidecars die at once. What they knew is recovered by the requests that
// follow, from the second directory sidecar of each part or by prefill anew, and no request fails.
func TestDeadDirectorySidecarsAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		NewWithT(t).Expect(simulate(true, 20)).To(BeNumerically("<", 0.06))
	})
}

// The answer fits a datagram however many salts are queried.
func TestAnswersAreBounded(t *testing.T) {
	g := NewWithT(t)
	d := mtdirectory.New()
	seek := &fleetv1.Seek{Part: "p"}
	for salt := range 50 {
		seek.Salts = append(seek.Salts, fmt.Sprint("model-with-a-long-name@", salt))
		for target := range 50 {
			d.Record(&fleetv1.Notice{Salt: seek.GetSalts()[salt], Target: fmt.Sprint("instance-", target), Parts: []*fleetv1.Part{{Id: "p", Tokens: 1}}, Read: true})
		}
	}
	g.Expect(len(d.Lookup(seek).String())).To(BeNumerically("<", 2400))
	g.Expect(d.Lookup(&fleetv1.Seek{Part: "other", Salts: seek.GetSalts()}).GetHolders()).To(BeEmpty())
}

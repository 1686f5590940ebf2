// Package mtplace chooses targets for requests: it assembles homes, memory,
// widening, demotion and score.
//
// It answers long shared prompts that arrive at several entries: prefix
// hashing alone overloads the target of a hot dossier, and load alone computes
// each dossier on every target. A request goes where waiting and computing
// together end first.
package mtplace

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/placement/mtdemote"
	"github.com/mustardtide/mustardtide/internal/placement/mthomes"
	"github.com/mustardtide/mustardtide/internal/placement/mtmemory"
	"github.com/mustardtide/mustardtide/internal/placement/mttarget"
	"github.com/mustardtide/mustardtide/internal/placement/mtwiden"
)

// Round trips taken until they are measured: about one millisecond one way
// between data centres, a fifth of it within.
const (
	nearTrip = 400 * time.Microsecond
	farTrip  = 2 * time.Millisecond
)

// fleet is one state of the membership. It is immutable.
type fleet struct {
	list   []*mttarget.Target
	byID   map[uint32]*mttarget.Target
	byName map[string]*mttarget.Target
	homes  *mthomes.Homes
}

// Place chooses among the targets of one service. It is safe for concurrent
// use; requests read the membership without a lock.
type Place struct {
	datacentre string
	fleet      atomic.Pointer[fleet]
	memory     *mtmemory.Memory
	widen      *mtwiden.Widen
	demote     *mtdemote.Demote
	turn       atomic.Uint64
	mean       atomic.Uint64

	mu   sync.Mutex
	last uint32
}

// New returns a place without targets for an entry in a data centre. The seed
// decides its samples.
func New(datacentre string, seed uint64) *Place {
	p := &Place{
		datacentre: datacentre,
		memory:     mtmemory.New(),
		widen:      mtwiden.New(),
		demote:     mtdemote.New(),
	}
	p.turn.Store(seed)
	p.fleet.Store(&fleet{homes: mthomes.New(nil)})
	return p
}

// Members takes the service's targets that may get work. Targets that stay
// keep what is known of them.
func (p *Place) Members(members []*mustardtidev1.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.fleet.Load()
	next := &fleet{byID: map[uint32]*mttarget.Target{}, byName: map[string]*mttarget.Target{}}
	for _, m := range members {
		t := before.byName[m.GetName()]
		if t == nil {
			p.last++
			t = mttarget.New(m.GetName(), m.GetDatacentre(), p.last, p.distance(m))
		}
		next.list = append(next.list, t)
		next.byID[t.ID()] = t
		next.byName[t.Name()] = t
	}
	slices.SortFunc(next.list, func(a, b *mttarget.Target) int {
		if a.Name() < b.Name() {
			return -1
		}
		return 1
	})
	next.homes = mthomes.New(names(next.list))
	p.demote.Keep(ids(next.list))
	p.fleet.Store(next)
}

func (p *Place) distance(m *mustardtidev1.Member) time.Duration {
	if m.GetDatacentre() == p.datacentre {
		return nearTrip
	}
	return farTrip
}

func names(list []*mttarget.Target) []string {
	all := make([]string, 0, len(list))
	for _, t := range list {
		all = append(all, t.Name())
	}
	return all
}

func ids(list []*mttarget.Target) []uint32 {
	all := make([]uint32, 0, len(list))
	for _, t := range list {
		all = append(all, t.ID())
	}
	return all
}

// sample gives a target of the fleet, another each time; nil if there is none.
func (p *Place) sample(f *fleet) *mttarget.Target {
	if len(f.list) == 0 {
		return nil
	}
	// A splitmix64 step: cheap, and the same for the same seed.
	z := p.turn.Add(0x9e3779b97f4a7c15)
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return f.list[(z^z>>31)%uint64(len(f.list))]
}

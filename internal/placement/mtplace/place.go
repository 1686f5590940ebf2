// Package mtplace chooses targets for requests. It combines hashed homes, remembered sightings of
// prefixes, widening of hot prefixes, demotion of slow targets and a cost score.
//
// The workload is long shared prompts that arrive at several entries. Prefix hashing alone
// overloads the target of a hot document, and balancing by load alone computes each document on
// every target. A request therefore goes where waiting and computing together are expected to end
// first.
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

// Round-trip times assumed until they are measured: about one millisecond one way between data
// centres, and a fifth of that within one.
const (
	localRoundTrip  = 400 * time.Microsecond
	remoteRoundTrip = 2 * time.Millisecond
)

// fleet is an immutable snapshot of the membership.
type fleet struct {
	list   []*mttarget.Target
	byID   map[uint32]*mttarget.Target
	byName map[string]*mttarget.Target
	homes  *mthomes.Homes
}

// Placer chooses among the targets of one service. It is safe for concurrent use; requests read the
// membership without a lock.
type Placer struct {
	datacentre  string
	fleet       atomic.Pointer[fleet]
	memory      *mtmemory.Memory
	widen       *mtwiden.Tracker
	demote      *mtdemote.Detector
	sampleState atomic.Uint64
	// meanRate holds the bits of a float64, in tokens per second; 0 means that it is unknown.
	meanRate atomic.Uint64

	mu     sync.Mutex
	lastID uint32
}

// New returns a chooser without targets for an entry in the given data centre. The seed determines
// which targets it samples.
func New(datacentre string, seed uint64) *Placer {
	p := &Placer{
		datacentre: datacentre,
		memory:     mtmemory.New(),
		widen:      mtwiden.New(),
		demote:     mtdemote.New(),
	}
	p.sampleState.Store(seed)
	p.fleet.Store(&fleet{homes: mthomes.New(nil)})
	return p
}

// SetMembers replaces the targets that may get work. What is known of targets that remain is kept.
func (p *Placer) SetMembers(members []*mustardtidev1.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.fleet.Load()
	next := &fleet{byID: map[uint32]*mttarget.Target{}, byName: map[string]*mttarget.Target{}}
	for _, m := range members {
		t := before.byName[m.GetName()]
		if t == nil {
			p.lastID++
			t = mttarget.New(m.GetName(), m.GetDatacentre(), p.lastID, p.distance(m))
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
	p.demote.SetTargets(ids(next.list))
	p.fleet.Store(next)
}

// distance returns the assumed round-trip time to a member.
func (p *Placer) distance(m *mustardtidev1.Member) time.Duration {
	if m.GetDatacentre() == p.datacentre {
		return localRoundTrip
	}
	return remoteRoundTrip
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

// sample returns a pseudo-random target of the fleet, or nil if there is none.
func (p *Placer) sample(f *fleet) *mttarget.Target {
	if len(f.list) == 0 {
		return nil
	}
	// This is a splitmix64 step: cheap, and deterministic for a given seed.
	z := p.sampleState.Add(0x9e3779b97f4a7c15)
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return f.list[(z^z>>31)%uint64(len(f.list))]
}

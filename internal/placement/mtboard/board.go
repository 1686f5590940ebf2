// Package mtboard is an entry's view of the targets and its choice among them.
//
// The load it answers is prompts that share long parts, on engines that differ
// in load, in speed and in weights. Choosing by load alone reads shared parts
// anew at each engine; choosing by the prompt alone queues a hot part's
// requests at one engine while others idle. The cost of a choice is therefore
// an estimate in time: what waits there, what is left to read after the cached
// and the fetched parts, and what speaks against the target.
package mtboard

import (
	"math"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtlimiter"
	"github.com/mustardtide/mustardtide/internal/placement/mtdeparture"
	"github.com/mustardtide/mustardtide/internal/placement/mtholder"
	"github.com/mustardtide/mustardtide/internal/placement/mtnaming"
	"github.com/mustardtide/mustardtide/internal/placement/mtpause"
	"github.com/mustardtide/mustardtide/internal/placement/mtspeed"
)

// stateTime is how long a sidecar's word counts as fresh: three of the intervals
// at which it is heard from another data centre, so that two lost datagrams
// change nothing.
const stateTime = 2500 * time.Millisecond

// vouchTime is how long a sidecar's word holds that another program of the service stands
// at the listed address: shorter than the time after which a platform uses an address
// anew.
const vouchTime = time.Second

// Board is safe for concurrent use.
type Board struct {
	datacentre string
	// allowed is how long after newer weights were named a run may begin on older
	// ones.
	allowed time.Duration
	holders *mtholder.Memory

	mu      sync.Mutex
	records map[string]*record
	// departures are the targets that have said that they leave, pauses those that want
	// no requests for a time.
	departures *mtdeparture.Departures
	pauses     *mtpause.Pauses
	// limiter holds the fleet to the limits that targets name.
	limiter *mtlimiter.Limiter
	// services are the records by service, in the order of their hashes; engines are those of
	// model engines that have not been replaced.
	services map[string][]*record
	engines  []*record
	// named are the models' weights, unnamed those of a model of which nothing is known.
	named   map[string]*mtnaming.Naming
	unnamed *mtnaming.Naming
	// knees are the numbers of engines of a queue above which loads of weights were
	// seen to slow each other down.
	knees map[queue]int
	// speeds are those of the services' engines.
	speeds map[string]*mtspeed.Speed
	// delays are those of fetches from the stores of cached parts, by address.
	delays map[string]*delay
	// without is what is left out to be measured.
	without without
}

// queue names one of the queues in which engines load weights.
type queue struct{ service, group string }

// record is what the entry knows of one target.
type record struct {
	board  *Board
	target *fleetv1.Target
	hash   uint64
	// place is the hash of the instance's address.
	place uint64

	// pending are the prompt tokens sent and not yet read; running the requests
	// of this entry under way.
	pending int64
	running int
	// state is the sidecar's last word.
	state *fleetv1.State
	heard time.Time
	// spoke is when the sidecar itself was heard; the time of the target's listing
	// until then.
	spoke time.Time
	// attended says that it was heard.
	attended bool
	// muted is until when the sidecar is not asked, as it did not answer so many questions.
	muted      time.Time
	unanswered int
	// loaded is what the target's last answer said of its load.
	loaded  *fleetv1.Answer
	loadAge time.Time

	// followed says that the engine's cache is followed; epoch and upto say which
	// of the cache's changes are taken in.
	followed bool
	epoch    int64
	upto     uint64

	faults faults
	pace   pace
	// misplaced says that another program answers at the address.
	misplaced bool
	// vouched is when the sidecar has said that this program is of the same service, and
	// was started after the listed one.
	vouched time.Time
	// replaced says that another program was listed later at the address; a
	// forged entry may say so falsely.
	replaced bool
	// version overrides the listed weights after an answer told of newer ones.
	version int64
}

// oldShare is the part of the time allowed for older weights in which requests
// may still be sent to them: what is sent may wait before it begins.
const oldShare = 0.8

// endShare is the part of that time in which a run must begin even where no other target
// can take it; the rest covers transit and errors of the estimate.
const endShare = 0.95

// New returns an empty board for an entry of a data centre; allowed is the time
// after the naming of new weights in which a run may begin on older ones. Targets' limits
// are those of a limiter.
func New(datacentre string, allowed time.Duration, limiter *mtlimiter.Limiter) *Board {
	return &Board{
		datacentre: datacentre,
		allowed:    allowed,
		limiter:    limiter,
		holders:    mtholder.New(),
		records:    map[string]*record{},
		departures: mtdeparture.New(),
		pauses:     mtpause.New(),
		named:      map[string]*mtnaming.Naming{},
		unnamed:    mtnaming.New(allowed),
		knees:      map[queue]int{},
		speeds:     map[string]*mtspeed.Speed{},
		delays:     map[string]*delay{},
	}
}

// List takes in the list of targets; replaced says which ones stand at an
// address that another target has taken since.
func (b *Board) List(targets map[string]*fleetv1.Target, replaced func(*fleetv1.Target) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id := range b.records {
		if targets[id] == nil {
			delete(b.records, id)
			b.holders.Forget(id)
		}
	}
	for id, target := range targets {
		b.started(id, target.GetBorn())
		r := b.records[id]
		if r == nil {
			b.records[id] = &record{board: b, target: target, hash: xxh3.HashString(id), place: placeOf(target), spoke: time.Now()}
			continue
		}
		if r.target.GetAddress() != target.GetAddress() {
			r.misplaced, r.place = false, placeOf(target)
		}
		r.target = target
	}
	b.engines = nil
	for _, r := range b.records {
		r.replaced = replaced(r.target)
		if len(r.target.GetModels()) > 0 && !r.replaced {
			b.engines = append(b.engines, r)
		}
	}
	b.sort()
}

func placeOf(target *fleetv1.Target) uint64 {
	host, _, _ := strings.Cut(target.GetAddress(), ":")
	return xxh3.HashString(host)
}

// Hear takes in a sidecar's word.
func (b *Board) Hear(state *fleetv1.State) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.records[state.GetTarget()]
	if r == nil {
		return
	}
	b.started(state.GetTarget(), state.GetReport().GetBorn())
	if old := r.state; old != nil && old.GetReport().GetBorn() != state.GetReport().GetBorn() {
		// The engine has started again under its id: its cache is empty.
		b.holders.Forget(state.GetTarget())
		r.version = 0
	}
	r.state = state
	r.heard = time.Now()
	if state.GetStandby() {
		return
	}
	r.spoke, r.attended = r.heard, true
	if born := r.target.GetBorn(); born > 0 && state.GetReport().GetBorn() > born && state.GetService() == r.target.GetService() {
		r.vouched, r.misplaced = r.heard, false
	}
	r.muted, r.unanswered = time.Time{}, 0
	b.cached(r, state)
}

// started takes in when a target's program was started: what the one before has said of itself
// no longer holds.
func (b *Board) started(id string, born int64) {
	b.departures.Started(id, born)
	b.limiter.Started(id, born)
}

// Unattended lists the model engines whose sidecars have not spoken for a time.
func (b *Board) Unattended(silence time.Duration) []*fleetv1.Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []*fleetv1.Target
	for _, r := range b.records {
		if len(r.target.GetModels()) > 0 && !r.replaced && !r.leaves() && time.Since(r.spoke) > silence {
			list = append(list, r.target)
		}
	}
	return list
}

// Spoke is how long ago the sidecar of the engine at an address was heard itself.
func (b *Board) Spoke(address string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	least := time.Duration(math.MaxInt64)
	for _, r := range b.records {
		if r.target.GetAddress() == address && r.attended {
			least = min(least, time.Since(r.spoke))
		}
	}
	return least
}

// cached takes in changes of an engine's cache. Those that do not follow on what
// is known are left for the next state, which begins where the hello says.
func (b *Board) cached(r *record, state *fleetv1.State) {
	if b.without.events {
		return
	}
	if state.GetReset_() || state.GetEpoch() != r.epoch {
		b.holders.Forget(state.GetTarget())
		r.epoch, r.upto = state.GetEpoch(), 0
	}
	if state.GetSince() > r.upto || state.GetUpto() <= r.upto {
		return
	}
	b.holders.Learn(state.GetTarget(), state.GetChanges())
	r.upto = state.GetUpto()
}

// Fill adds to a hello which changes of the target's cache are known, and what
// was given to it to read.
func (b *Board) Fill(hello *fleetv1.Hello) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.records[hello.GetTarget()]; r != nil {
		hello.Epoch, hello.Since, hello.Pending, hello.Bare = r.epoch, r.upto, r.pending, !r.followed
	}
}

// Name takes in a model's newest weights and their ages; it reports whether they are
// news.
func (b *Board) Name(weights *fleetv1.Weights) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.named[weights.GetModel()] == nil {
		b.named[weights.GetModel()] = mtnaming.New(b.allowed)
	}
	return b.named[weights.GetModel()].Merge(weights)
}

// naming is what is known of a model's weights.
func (b *Board) naming(model string) *mtnaming.Naming {
	if naming := b.named[model]; naming != nil {
		return naming
	}
	return b.unnamed
}

// NamedAge is how long ago the last weights were named.
func (b *Board) NamedAge() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	var newest time.Duration
	for _, n := range b.named {
		age := n.Age()
		if newest == 0 || age < newest {
			newest = age
		}
	}
	return newest
}

// NamedRevision is the greatest of the named weights' revisions; 0 where none are named.
func (b *Board) NamedRevision() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	var newest int64
	for _, n := range b.named {
		newest = max(newest, n.Newest().GetRevision())
	}
	return newest
}

// Named lists the newest weights of all models, with their ages.
func (b *Board) Named() []*fleetv1.Weights {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]*fleetv1.Weights, 0, len(b.named))
	for _, n := range b.named {
		list = append(list, n.Snapshot())
	}
	return list
}

// Entries is the number of live entries as sidecars have counted them; 0 if
// none has told.
func (b *Board) Entries() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	most := 0
	for _, r := range b.records {
		if r.fresh() {
			most = max(most, int(r.state.GetEntries()))
		}
	}
	return most
}

// successor says that the program at the address is the listed one's successor, which the
// store does not list yet: when a whole fleet restarts, that takes seconds. Its instance
// vouches for its service, and no other program can have the address so soon.
func (r *record) successor() bool { return time.Since(r.vouched) < vouchTime }

// build is the software version of the program at the address; "" where it is unknown, as after
// a restart that is not listed yet.
func (r *record) build() string {
	if born := r.target.GetBorn(); born > 0 && r.state.GetReport().GetBorn() > born {
		return ""
	}
	return r.target.GetBuild()
}

// fresh says that the sidecar's word is recent.
func (r *record) fresh() bool {
	return r.state != nil && time.Since(r.heard) < stateTime
}

// leaves says that the target leaves, by its entry in the store or by its own word.
func (r *record) leaves() bool {
	return r.target.GetLeaving() || r.board.departures.Has(r.target.GetId())
}

// born is the start of the target's program in Unix milliseconds; 0 where it is not known.
func (r *record) born() int64 {
	return max(r.target.GetBorn(), r.state.GetReport().GetBorn())
}

// weights returns the version that the target serves of a model; 0 if unknown.
func (r *record) weights(model string) int64 {
	var version int64
	for _, m := range r.target.GetModels() {
		if m.GetModel() == model {
			version = m.GetVersion()
		}
	}
	if r.fresh() {
		for _, m := range r.state.GetReport().GetModels() {
			if m.GetModel() == model {
				version = max(version, m.GetVersion())
			}
		}
	}
	return max(version, r.version)
}

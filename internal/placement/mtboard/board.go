// Package mtboard holds an entry's view of the targets and chooses among them.
//
// It is built for prompts that share long prefixes, on engines that differ in load, speed and
// weights. Choosing by load alone makes each engine prefill the shared parts again. Choosing by
// prompt alone queues the requests for a popular part at one engine while others idle. The cost
// of a choice is therefore an estimate in time: the queue at the target, what is left to prefill
// after the cached and fetched parts, and penalties for the target.
package mtboard

import (
	"cmp"
	"math"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtlimiter"
	"github.com/mustardtide/mustardtide/internal/placement/mtbacklog"
	"github.com/mustardtide/mustardtide/internal/placement/mtdeparture"
	"github.com/mustardtide/mustardtide/internal/placement/mtholder"
	"github.com/mustardtide/mustardtide/internal/placement/mtnaming"
	"github.com/mustardtide/mustardtide/internal/placement/mtpause"
	"github.com/mustardtide/mustardtide/internal/placement/mtspeed"
)

// stateTTL is how long a sidecar's state counts as fresh: three heartbeat intervals of another
// data centre, so that two lost datagrams make no difference.
const stateTTL = 2500 * time.Millisecond

// Board is the entry's view of the targets. It is safe for concurrent use.
type Board struct {
	datacentre string
	// gracePeriod is how long after newer weights were published a run may still begin on older
	// ones.
	gracePeriod time.Duration
	holders     *mtholder.Table

	mu      sync.Mutex
	records map[string]*record
	// departures are the targets that reported that they are leaving, pauses those that asked for
	// no requests for a time.
	departures *mtdeparture.Departures
	pauses     *mtpause.Pauses
	// limiter enforces the limits that targets announce, across the fleet.
	limiter *mtlimiter.Limiter
	// services are the records by service, ordered by the hash of their ids. engines are the
	// records of model engines that have not been replaced.
	services map[string][]*record
	engines  []*record
	// weightsByModel are the published weights by model; unknownWeights stands for a model of
	// which nothing is known.
	weightsByModel map[string]*mtnaming.Naming
	unknownWeights *mtnaming.Naming
	// saturation is, by queue, the number of concurrent loads of weights above which engines were
	// observed to slow each other down; 0 if none were.
	saturation map[queueKey]int
	// speeds are the learned speeds of the engines, by service.
	speeds map[string]*mtspeed.Speed
	// delays are the recent delays of fetches from the stores of cached parts, by store address.
	delays map[string]*fetchDelay
	// ranked are the services whose requests are placed by rank.
	ranked map[string]bool
	// disabled are the mechanisms that are switched off for measurements.
	disabled disabledMechanisms
}

// queueKey identifies one of the queues in which engines load weights.
type queueKey struct{ service, group string }

// record is the entry's view of one target.
type record struct {
	board  *Board
	target *fleetv1.Target
	idHash uint64
	// hostHash is the hash of the host in the instance's address.
	hostHash uint64

	// backlog are the prompt tokens sent but not yet prefilled, by rank, running the number of
	// this entry's requests in progress.
	backlog mtbacklog.Backlog
	running int
	// copied is the number of tokens in the copies of this entry's runs that the target keeps.
	copied int64
	// state is the last state received of the target.
	state   *fleetv1.State
	stateAt time.Time
	// lastHeartbeat is when the sidecar itself was last heard from; before the first time, when
	// the target was listed.
	lastHeartbeat time.Time
	// heartbeatSeen reports whether the sidecar was ever heard from.
	heartbeatSeen bool
	// The sidecar is not probed before backoffUntil, as it left unansweredProbes probes in a row
	// unanswered.
	backoffUntil     time.Time
	unansweredProbes int
	// lastAnswer is the target's last answer that reported its load, lastAnswerAt when it came.
	lastAnswer   *fleetv1.Answer
	lastAnswerAt time.Time

	// followed reports whether the entry follows changes of the engine's cache. epoch and
	// appliedUpTo identify the changes that have been applied.
	followed    bool
	epoch       int64
	appliedUpTo uint64

	failures failureRate
	latency  latencyRatio
	// wrongProgram reports whether another program answers at the address.
	wrongProgram bool
	// successor is the id of a program of the same service that runs at the address in place of the
	// listed one, "" if the sidecar has identified none.
	successor string
	// replaced reports whether another program was listed at the address later. A forged entry
	// may claim so falsely.
	replaced bool
	// answeredVersion overrides the listed weights after an answer reported newer ones.
	answeredVersion int64
}

// graceCutoffShare is the part of the grace period during which requests may still be sent to older
// weights, as a request may wait before it begins.
const graceCutoffShare = 0.8

// graceDeadlineShare is the part of the grace period within which a run must begin even if no other
// target can take it. The rest covers transit and errors of the estimate.
const graceDeadlineShare = 0.95

// New returns an empty board for an entry in the given data centre. gracePeriod is how long
// after newer weights were published a run may still begin on older ones; limiter enforces the
// targets' limits.
func New(datacentre string, gracePeriod time.Duration, limiter *mtlimiter.Limiter) *Board {
	return &Board{
		datacentre:     datacentre,
		gracePeriod:    gracePeriod,
		limiter:        limiter,
		holders:        mtholder.New(),
		records:        map[string]*record{},
		departures:     mtdeparture.New(),
		pauses:         mtpause.New(),
		weightsByModel: map[string]*mtnaming.Naming{},
		unknownWeights: mtnaming.New(gracePeriod),
		saturation:     map[queueKey]int{},
		speeds:         map[string]*mtspeed.Speed{},
		delays:         map[string]*fetchDelay{},
	}
}

// UpdateTargets replaces the list of targets. replaced reports whether another target has since
// taken a target's address.
func (b *Board) UpdateTargets(targets map[string]*fleetv1.Target, replaced func(*fleetv1.Target) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id := range b.records {
		if targets[id] == nil {
			delete(b.records, id)
			b.holders.RemoveTarget(id)
		}
	}
	for id, target := range targets {
		b.noteStart(id, target.GetBorn())
		r := b.records[id]
		if r == nil {
			b.records[id] = &record{
				board: b, target: target, idHash: xxh3.HashString(id), hostHash: hashHost(target), lastHeartbeat: time.Now(),
			}
			continue
		}
		if r.target.GetAddress() != target.GetAddress() || r.target.GetBorn() != target.GetBorn() {
			r.wrongProgram, r.successor, r.hostHash = false, "", hashHost(target)
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
	b.groupByService()
}

func hashHost(target *fleetv1.Target) uint64 {
	host, _, _ := strings.Cut(target.GetAddress(), ":")
	return xxh3.HashString(host)
}

// UpdateState applies a target's state, as its sidecar or a standby sent it.
func (b *Board) UpdateState(state *fleetv1.State) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.records[state.GetTarget()]
	if r == nil {
		return
	}
	b.noteStart(state.GetTarget(), state.GetReport().GetBorn())
	if old := r.state; old != nil && old.GetReport().GetBorn() != state.GetReport().GetBorn() {
		// The engine was restarted under the same id: its cache is empty.
		b.holders.RemoveTarget(state.GetTarget())
		r.answeredVersion = 0
	}
	r.state = state
	r.stateAt = time.Now()
	if state.GetStandby() {
		return
	}
	r.lastHeartbeat, r.heartbeatSeen = r.stateAt, true
	r.noteProgram(state)
	r.backoffUntil, r.unansweredProbes = time.Time{}, 0
	if !r.wrongProgram {
		b.applyCacheChanges(r, state)
	}
}

// noteStart records when a target's program was started. What an earlier program announced about
// itself no longer holds.
func (b *Board) noteStart(id string, born int64) {
	b.departures.SetStartTime(id, born)
	b.limiter.SetStartTime(id, born)
}

// MissingHeartbeat returns the model engines whose sidecars have not been heard from for the
// given time.
func (b *Board) MissingHeartbeat(silence time.Duration) []*fleetv1.Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []*fleetv1.Target
	for _, r := range b.records {
		if len(r.target.GetModels()) > 0 && !r.replaced && !r.leaving() && time.Since(r.lastHeartbeat) > silence {
			list = append(list, r.target)
		}
	}
	return list
}

// SinceHeartbeat returns how long ago the sidecar of the engine at an address was last heard from
// directly.
func (b *Board) SinceHeartbeat(address string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	least := time.Duration(math.MaxInt64)
	for _, r := range b.records {
		if r.target.GetAddress() == address && r.heartbeatSeen {
			least = min(least, time.Since(r.lastHeartbeat))
		}
	}
	return least
}

// applyCacheChanges applies changes of an engine's cache. Changes that are known already, or that
// leave a gap after the known ones, are ignored: the next state begins where the hello says.
func (b *Board) applyCacheChanges(r *record, state *fleetv1.State) {
	if b.disabled.events {
		return
	}
	if state.GetReset_() || state.GetEpoch() != r.epoch {
		b.holders.RemoveTarget(state.GetTarget())
		r.epoch, r.appliedUpTo = state.GetEpoch(), 0
	}
	if state.GetSince() > r.appliedUpTo || state.GetUpto() <= r.appliedUpTo {
		return
	}
	b.holders.ApplyChanges(state.GetTarget(), state.GetChanges())
	r.appliedUpTo = state.GetUpto()
}

// FillHello sets in a hello which changes of the target's cache are known, whether they are
// followed, and how many tokens this entry has sent to the target that are not yet prefilled. It
// drops the path of the health check if the sidecar knows the target's id.
func (b *Board) FillHello(hello *fleetv1.Hello) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.records[hello.GetTarget()]; r != nil {
		hello.Epoch, hello.Since, hello.Pending, hello.Bare = r.epoch, r.appliedUpTo, r.backlog.Queued(), !r.followed
		if r.state.GetIdentified() {
			hello.Health = ""
		}
		if hello.Ranked = b.ranked[r.target.GetService()]; hello.GetRanked() {
			hello.Backlog = r.backlog.Message()
		}
	}
}

// Entries returns the number of live entries as counted by sidecars, 0 if none has reported it.
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

// noteProgram records which program the sidecar has identified at the address. A successor of the
// listed one is listed itself only seconds later when a whole fleet restarts, or when the store is
// back. A program that is not related to it may be of another service.
func (r *record) noteProgram(state *fleetv1.State) {
	switch {
	case !state.GetIdentified():
	case state.GetProgram() == "":
		r.successor, r.wrongProgram = "", false
	case state.GetRelated():
		r.successor, r.wrongProgram = state.GetProgram(), false
	default:
		r.successor, r.wrongProgram = "", true
	}
}

// expectedID returns the id that the program at the address must have.
func (r *record) expectedID() string { return cmp.Or(r.successor, r.target.GetId()) }

// build returns the software version of the program at the address, "" if it is unknown, as after
// a restart that is not listed yet.
func (r *record) build() string {
	if born := r.target.GetBorn(); r.successor != "" || born > 0 && r.state.GetReport().GetBorn() > born {
		return ""
	}
	return r.target.GetBuild()
}

// fresh reports whether the target's state is recent.
func (r *record) fresh() bool {
	return r.state != nil && time.Since(r.stateAt) < stateTTL
}

// leaving reports whether the target is leaving, by its entry in the store or its own report.
func (r *record) leaving() bool {
	return r.target.GetLeaving() || r.board.departures.Has(r.target.GetId())
}

// startMillis returns the start of the target's program in Unix milliseconds, 0 if unknown.
func (r *record) startMillis() int64 {
	return max(r.target.GetBorn(), r.state.GetReport().GetBorn())
}

// weightsVersion returns the version of a model's weights that the target serves, 0 if unknown.
func (r *record) weightsVersion(model string) int64 {
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
	return max(version, r.answeredVersion)
}

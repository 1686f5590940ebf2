// Package mtbeside is the process beside a model engine on the users' platform:
// it tells the entries how the engine is, and gives it its orders.
//
// Answers do not pass through it. Its end costs knowledge, not answers.
package mtbeside

import (
	"context"
	"errors"
	"net"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	"github.com/mustardtide/mustardtide/internal/observe/mttrail"
	"github.com/mustardtide/mustardtide/internal/prefix/mtheld"
	"github.com/mustardtide/mustardtide/internal/relay/mtpulse"
	"github.com/mustardtide/mustardtide/internal/relay/mtrollout"
	"github.com/mustardtide/mustardtide/internal/role/mtnet"
	"github.com/mustardtide/mustardtide/platform/mtobjects"
)

const (
	// tickTime is how often the engine is asked for its report; the call does
	// not leave the instance.
	tickTime = 100 * time.Millisecond
	// orderTick is the same while an order is due or under way: an engine that
	// has loaded should not stand idle for long.
	orderTick = 20 * time.Millisecond
	// callTime bounds a call to the engine.
	callTime = 1200 * time.Millisecond
	// lostAfter is how many calls in a row must fail before the engine counts as
	// lost: one may meet a connection that the engine has just closed.
	lostAfter = 2
	// entryTime is how long an entry counts as live after its last word: eight of
	// its usual intervals.
	entryTime = 2 * time.Second
	// aloneTime is the silence of all entries after which the store is asked for
	// the weights, and how often then.
	aloneTime = 2 * time.Second
)

// Sidecar is the process's state.
type Sidecar struct {
	site   *fleetv1.Site
	socket mtpulse.Socket
	store  *mtobjects.Client
	trail  *mttrail.Trail
	engine *engine

	mu      sync.Mutex
	plan    *mtrollout.Plan
	entries map[string]*entry
	held    *mtheld.Log
	// target is the engine's id as the entries know it.
	target string
	place  uint32
	total  uint32
	report *fleetv1.Report
	failed int
	number uint64
	// telling says that the entries were told of an order to come, since told.
	telling bool
	told    time.Time
	// spread are the pending tokens that the entries were told last.
	spread int64
}

// New returns a sidecar that speaks through a socket.
func New(site *fleetv1.Site, network *mtnet.Net, socket mtpulse.Socket, trail *mttrail.Trail) *Sidecar {
	return &Sidecar{
		site:    site,
		socket:  socket,
		store:   mtobjects.New(site.GetStore(), network.Outside()),
		trail:   trail,
		engine:  newEngine(site.GetTarget(), network.Dial),
		plan:    mtrollout.New(),
		entries: map[string]*entry{},
		held:    mtheld.New(),
		report:  &fleetv1.Report{},
		failed:  lostAfter,
	}
}

// Address is where the sidecars of a deployment take datagrams, by instance.
func Address(ip string, site *fleetv1.Site) string {
	return net.JoinHostPort(ip, strconv.Itoa(int(site.GetFirstport())+1))
}

// Run watches the engine until ctx ends.
func (s *Sidecar) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ends := make(chan error, 3)
	go func() { ends <- s.follow(ctx) }()
	go func() { ends <- s.socket.Serve(ctx, s.hear) }()
	go func() { ends <- s.ask(ctx) }()
	for ctx.Err() == nil {
		s.look(ctx)
		s.order(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(s.interval()):
		}
	}
	return errors.Join(<-ends, <-ends, <-ends)
}

// interval is the time to the next look at the engine.
func (s *Sidecar) interval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.plan.Ordering(s.report) {
		return orderTick
	}
	if until := s.plan.Until(s.report); until >= 0 {
		return min(tickTime, max(until, time.Millisecond))
	}
	return tickTime
}

// hear takes in an entry's word and answers it.
func (s *Sidecar) hear(from string, data []byte) {
	hello := &fleetv1.Hello{}
	if err := unmarshal(data, hello); err != nil || hello.GetTarget() == "" {
		return
	}
	s.mu.Lock()
	e := s.entries[from]
	if e == nil {
		e = &entry{}
		s.entries[from] = e
	}
	e.last, e.pending = time.Now(), hello.GetPending()
	s.target = hello.GetTarget()
	if hello.GetTotal() > 0 {
		s.place, s.total = hello.GetPlace(), hello.GetTotal()
	}
	for _, weights := range hello.GetWeights() {
		s.name(weights, "entry "+hello.GetEntry())
	}
	states := s.answer(from, hello)
	shifted := s.shifted()
	s.mu.Unlock()
	for _, state := range states {
		s.tell(state, from)
	}
	if shifted {
		s.tellAll()
	}
}

// burst bounds the states that answer one hello: an entry that knows nothing yet
// hears of an engine's whole cache in two or three.
const burst = 8

// answer returns the states that tell an entry all that it does not know, as
// many as go at once; the sidecar is locked.
func (s *Sidecar) answer(from string, hello *fleetv1.Hello) []*fleetv1.State {
	var states []*fleetv1.State
	epoch, since := hello.GetEpoch(), hello.GetSince()
	for len(states) < burst {
		state := s.state(from)
		s.held.Fill(state, epoch, since)
		states = append(states, state)
		if !state.GetMore() {
			break
		}
		epoch, since = state.GetEpoch(), state.GetUpto()
	}
	for _, state := range states[:len(states)-1] {
		// Only the last asks for another hello.
		state.More = false
	}
	return states
}

// name takes in named weights; the sidecar is locked.
func (s *Sidecar) name(weights *fleetv1.Weights, source string) {
	if s.plan.Name(weights, s.place, s.total) {
		s.trail.Say(mtkind.WeightsNamed, zap.String("model", weights.GetModel()),
			zap.Int64("version", weights.GetVersion()), zap.Int64("revision", weights.GetRevision()),
			zap.Uint32("place", s.place), zap.Uint32("total", s.total), zap.String("from", source))
	}
}

// ask reads the named weights from the store while no entry is heard: the
// engines must be brought to them also where every entry is down or cut off.
func (s *Sidecar) ask(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(aloneTime):
		}
		if ctx.Err() != nil || s.heardLately() {
			continue
		}
		list, _, err := s.store.Weights().List(ctx)
		if err != nil {
			s.trail.Warn(mtkind.StoreLost, zap.String("kind", "weights"), zap.Error(err))
			continue
		}
		s.mu.Lock()
		for _, change := range list {
			if !change.Gone() {
				s.name(change.Value(), "store")
			}
		}
		s.mu.Unlock()
	}
	return ctx.Err()
}

func (s *Sidecar) heardLately() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.live() > 0
}

// live counts the entries heard of late and forgets the others.
func (s *Sidecar) live() int {
	for from, e := range s.entries {
		if time.Since(e.last) > entryTime {
			delete(s.entries, from)
		}
	}
	return len(s.entries)
}

// state is what the entries are told; the sidecar is locked. A state without
// changes of the cache says so by its numbers.
func (s *Sidecar) state(to string) *fleetv1.State {
	s.number++
	return &fleetv1.State{
		Target:   s.target,
		Report:   s.report,
		Answers:  s.failed < lostAfter,
		Ordering: s.plan.Ordering(s.report),
		Entries:  uint32(s.live()),
		Number:   s.number,
		Named:    s.plan.Named(),
		Epoch:    s.held.Epoch(),
		Peers:    s.peers(),
		Pending:  s.pending() - s.entries[to].given(),
	}
}

// maxPeers bounds the entries that a state names: others come with the next, and
// the entries name themselves to those they know.
const maxPeers = 4

// peers names some live entries, drawn by the map's order.
func (s *Sidecar) peers() []string {
	var list []string
	for from := range s.entries {
		if len(list) == maxPeers {
			break
		}
		list = append(list, from)
	}
	return list
}

// tellAll tells every live entry at once: something has changed on which they
// choose.
func (s *Sidecar) tellAll() {
	s.mu.Lock()
	if s.target == "" {
		s.mu.Unlock()
		return
	}
	s.spread = s.pending()
	states := map[string]*fleetv1.State{}
	for from := range s.entries {
		states[from] = s.state(from)
	}
	s.mu.Unlock()
	for from, state := range states {
		s.tell(state, from)
	}
}

// entry is what the sidecar knows of one entry.
type entry struct {
	last    time.Time
	pending int64
}

// given are the tokens that the entry has given the engine to read.
func (e *entry) given() int64 {
	if e == nil {
		return 0
	}
	return e.pending
}

// pending are the tokens that all entries have given the engine to read.
func (s *Sidecar) pending() int64 {
	var total int64
	for _, e := range s.entries {
		total += e.pending
	}
	return total
}

// shiftLeast is the change in pending tokens of which entries are told at once:
// about 50 ms of an engine's reading, which changes a choice.
const shiftLeast = 1500

// shifted says that the pending tokens have changed much since the entries were
// told.
func (s *Sidecar) shifted() bool {
	change := s.pending() - s.spread
	return change >= shiftLeast || change <= -shiftLeast
}

// tell sends the state; one that is lost is made up for by the next.
func (s *Sidecar) tell(state *fleetv1.State, to string) {
	if err := s.socket.Send(to, &fleetv1.Word{Word: &fleetv1.Word_State{State: state}}); err != nil {
		s.trail.Metrics().Add("state_send_failures_total", 1)
	}
}

package mtbeside

import (
	"math"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
)

// hear takes in an entry's word and answers it.
func (s *Sidecar) hear(from string, data []byte) {
	call := &fleetv1.Call{}
	if err := proto.Unmarshal(data, call); err != nil {
		s.trail.Metrics().Add("datagrams_unreadable_total", 1)
		return
	}
	switch c := call.GetCall().(type) {
	case *fleetv1.Call_Hello:
		if c.Hello.GetTarget() != "" {
			s.greeted(from, c.Hello)
		}
	case *fleetv1.Call_Notice:
		s.directory.Record(c.Notice)
	case *fleetv1.Call_Origins:
		for _, origin := range c.Origins.GetOrigins() {
			if !s.origins.Take(origin) {
				s.trail.Metrics().Add("origins_dropped_total", 1)
			}
		}
	case *fleetv1.Call_Lookup:
		found := &fleetv1.Found{Ask: c.Lookup.GetAsk(), Origin: s.origins.Find(c.Lookup.GetStream())}
		s.words.Send(from, &fleetv1.Word{Word: &fleetv1.Word_Found{Found: found}})
	case *fleetv1.Call_Promises:
		for _, promise := range c.Promises.GetPromises() {
			if !s.promises.Add(promise) {
				s.trail.Metrics().Add("promises_dropped_total", 1)
			}
		}
	case *fleetv1.Call_Claim:
		s.words.Send(from, &fleetv1.Word{Word: &fleetv1.Word_Claimed{Claimed: s.promises.Claim(c.Claim)}})
	case *fleetv1.Call_Seek:
		s.words.Send(from, &fleetv1.Word{Word: &fleetv1.Word_Sought{Sought: s.directory.Lookup(c.Seek)}})
	}
}

// greeted takes in a greeting and answers it.
func (s *Sidecar) greeted(from string, hello *fleetv1.Hello) {
	s.mu.Lock()
	s.entries.Hear(from, hello)
	if s.target != hello.GetTarget() {
		s.target = hello.GetTarget()
		s.plan.IDChanged()
	}
	if hello.GetTurn() != nil && (!hello.GetFar() || !s.entries.HeardNear()) {
		s.plan.SetTurn(hello.GetTurn())
	}
	if hello.GetCustody() > 0 {
		s.hearCustody(hello)
	}
	for _, weights := range hello.GetWeights() {
		s.name(weights, "entry "+hello.GetEntry())
	}
	if hello.GetSpeed() != nil {
		s.speed = hello.GetSpeed()
	}
	if hello.GetHealth() != "" {
		s.health = hello.GetHealth()
		s.wakeIdentify()
	}
	states := s.answer(from, hello)
	states[0].Ask, states[0].Found = hello.GetAsk(), s.held.Find(hello.GetSalts(), hello.GetParts())
	if hello.GetAsks() {
		states[0].Speed = s.speed
	}
	shifted := s.shifted()
	s.mu.Unlock()
	for _, state := range states {
		s.tell(state, from)
	}
	if shifted {
		s.tellSome(maxShifted)
	}
}

// hearCustody takes in whether an entry gives the engine its orders; the sidecar is
// locked.
func (s *Sidecar) hearCustody(hello *fleetv1.Hello) {
	before := s.gate.Taken()
	s.gate.Hear(hello.GetCustody()-1, hello.GetTaken(), hello.GetFence())
	switch after := s.gate.Taken(); {
	case after && !before:
		s.trail.Warn(mtkind.EngineTaken, zap.String("target", s.target), zap.Int64("custody", hello.GetCustody()-1), zap.String("from", "entry "+hello.GetEntry()))
	case before && !after:
		s.trail.Say(mtkind.EngineReturned, zap.String("target", s.target), zap.Int64("fence", s.gate.Fence()), zap.String("from", "entry "+hello.GetEntry()))
	}
}

// burst bounds the states that answer one hello: an entry that knows nothing yet
// hears of an engine's whole cache in two or three.
const burst = 4

// answer returns the states that tell an entry all that it does not know, as
// many as go at once; the sidecar is locked.
func (s *Sidecar) answer(from string, hello *fleetv1.Hello) []*fleetv1.State {
	var states []*fleetv1.State
	epoch, since := hello.GetEpoch(), hello.GetSince()
	for len(states) < burst {
		state := s.state(from)
		if hello.GetBare() {
			return append(states, state)
		}
		s.held.AppendChanges(state, epoch, since)
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
	if s.plan.AddWeights(weights) {
		s.trail.Say(mtkind.WeightsNamed, zap.String("model", weights.GetModel()),
			zap.Int64("version", weights.GetVersion()), zap.Int64("revision", weights.GetRevision()),
			zap.Duration("due", s.plan.UntilDue(s.report)), zap.Duration("age", s.plan.Age(weights.GetModel())), zap.String("from", source))
	}
}

// state is what the entries are told; the sidecar is locked. A state without
// changes of the cache says so by its numbers.
func (s *Sidecar) state(to string) *fleetv1.State {
	state := &fleetv1.State{
		Target:   s.target,
		Report:   s.report,
		Answers:  s.failed < lostAfter,
		Ordering: s.plan.Ordering(s.report),
		Entries:  uint32(s.entries.Live()),
		Named:    s.plan.Published(),
		Epoch:    s.held.Epoch(),
		Peers:    s.entries.Some(maxPeers),
		Pending:  s.entries.Pending(to),
		Load:     s.plan.Load(),
	}
	if id := s.lineage.ID(); id != "" {
		state.Identified = true
		if id != s.target {
			state.Program, state.Related = id, s.lineage.Related(s.target)
		}
	}
	if s.entries.Ranked() {
		state.Backlog = s.entries.Backlog(to)
		state.Report = proto.CloneOf(s.report)
		state.Report.Backlog = s.backlog
	}
	return state
}

// tellAll tells every live entry that greets often at once: something has changed
// on which they choose. The others seldom choose this engine.
func (s *Sidecar) tellAll() { s.tellSome(math.MaxInt) }

// tellSome tells at most so many of them, drawn by the map's order.
func (s *Sidecar) tellSome(most int) {
	s.mu.Lock()
	if s.target == "" {
		s.mu.Unlock()
		return
	}
	s.spread = s.entries.Pending("")
	states := map[string]*fleetv1.State{}
	for _, to := range s.entries.Near(most) {
		states[to] = s.state(to)
	}
	s.mu.Unlock()
	for to, state := range states {
		s.tell(state, to)
	}
}

// tell sends the state; one that is lost is made up for by the next.
func (s *Sidecar) tell(state *fleetv1.State, to string) {
	s.words.Send(to, &fleetv1.Word{Word: &fleetv1.Word_State{State: state}})
}

package mtfront

import (
	"context"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/members/mtassign"
	"github.com/mustardtide/mustardtide/internal/placement/mtboard"
	"github.com/mustardtide/mustardtide/internal/relay/mtports"
)

const (
	// greetRate bounds the greetings that an entry sends in a second: with their
	// answers about 400 bytes each, 24 KB a second. In a larger fleet each sidecar
	// hears from an entry less often.
	greetRate = 60
	// farRounds is the least number of rounds that pass between two greetings to
	// another data centre, whose engines are seldom chosen and whose bytes are dear.
	farRounds = 3
	// farPart is how many engines of other data centres a round greets in a large fleet.
	farPart = greetRate / farRounds
	// greeters is how many entries greet each engine of a data centre without entries while
	// it lacks new weights: some of them may have just gone.
	greeters = 3
	// livesTime is how long an entry counts for this after it was heard of. One that is
	// missed costs a greeting more, one that has gone and counts a late one.
	livesTime = 2500 * time.Millisecond
)

// greet says hello to every sidecar now and then, and at once where new weights
// were named. What has become of single targets waits for the next round: while
// weights are rolled out to hundreds of engines, greeting all of them at each change
// of the list took most of the fleet's bytes.
func (f *Front) greet(ctx context.Context) error {
	woken := true
	for round := f.firstRound(); ctx.Err() == nil; round++ {
		count := f.helloAll(round, woken)
		if count > 0 {
			f.greeted.Store(true)
		}
		wait := max(greetTime, time.Duration(count)*time.Second/greetRate)
		f.round.Store(int64(wait))
		woken = false
		select {
		case <-ctx.Done():
		case <-f.wake:
			woken = true
		case <-time.After(wait):
		}
	}
	return ctx.Err()
}

// firstRound differs between entries that start together: otherwise all of them greet the
// same engines of other data centres at the same time, and none for long after.
func (f *Front) firstRound() int { return int(uint32(xxh3.HashString(f.site.GetName()))) }

// helloAll sends one round of greetings, and returns how many that were.
func (f *Front) helloAll(round int, woken bool) int {
	catalog := f.catalog.Load()
	if catalog == nil {
		return 0
	}
	count := 0
	for _, service := range catalog.Source().GetServices() {
		if service.GetModel() != "" {
			count += f.helloService(service, round, woken)
		}
	}
	return count
}

// helloService greets the sidecars of a service's near engines, and a part of the
// others.
func (f *Front) helloService(service *fleetv1.Service, round int, woken bool) int {
	near, far := f.engines(service)
	nearRound, farRound := f.rounds(len(far))
	queues := f.board.Queues(service, nearRound, farRound)
	if !woken || !queues.FleetWide() {
		far = partOf(far, round, roundsFor(len(far)))
	}
	if !queues.FleetWide() {
		far = append(slices.Clone(far), f.assigned(service, far)...)
	}
	speed := f.board.Speed(service.GetName())
	named := f.board.NewestWeights()
	for i, engine := range append(near, far...) {
		away := i >= len(near)
		hello := &fleetv1.Hello{
			Entry:   f.site.GetName(),
			Target:  engine.GetId(),
			Weights: named,
			Turn:    queues.Of(engine),
			Asks:    speed == nil,
			Far:     away && !queues.FleetWide(),
			Round:   durationpb.New(nearRound),
			Health:  service.GetHealth(),
		}
		if away {
			hello.Speed, hello.Round = speed, durationpb.New(farRound)
		}
		f.board.FillHello(hello)
		f.hello(mtports.SidecarWords.At(f.site, engine.GetAddress()), hello)
	}
	return len(near) + len(far)
}

// assigned lists the engines that this entry greets besides its round's part of a large
// fleet, while they lack new weights. Those of a data centre without entries would hear of the
// weights, and that they may be ordered, when a round happens to come to them, which may take
// longer than older weights are allowed: the entries divide them among themselves.
func (f *Front) assigned(service *fleetv1.Service, greeted []*fleetv1.Target) []*fleetv1.Target {
	targets := map[string]*fleetv1.Target{}
	var ids []string
	for _, target := range f.board.Outdated(service) {
		if !f.census.Lives(target.GetDatacentre(), livesTime) && !slices.Contains(greeted, target) {
			targets[target.GetId()] = target
			ids = append(ids, target.GetId())
		}
	}
	if len(ids) == 0 {
		return nil
	}
	mine := mtassign.New(f.socket.Address(), f.peers.lately(livesTime)).First(ids, greeters)
	var list []*fleetv1.Target
	for _, id := range mine[:min(len(mine), farPart)] {
		list = append(list, targets[id])
	}
	return list
}

// queues are those in which a service's engines load weights.
func (f *Front) queues(service *fleetv1.Service) *mtboard.Queues {
	_, far := f.engines(service)
	nearRound, farRound := f.rounds(len(far))
	return f.board.Queues(service, nearRound, farRound)
}

// rounds tells how often each engine of the entry's data centre is greeted, and each of so
// many others.
func (f *Front) rounds(count int) (near, far time.Duration) {
	near = time.Duration(f.round.Load())
	return near, time.Duration(roundsFor(count)) * near
}

// engines lists a service's engines in the entry's data centre, and the others.
func (f *Front) engines(service *fleetv1.Service) (near, far []*fleetv1.Target) {
	view := f.roster.View()
	for _, engine := range view.Service(service.GetName()) {
		switch {
		case view.Replaced(engine):
		case engine.GetDatacentre() == f.site.GetDatacentre():
			near = append(near, engine)
		default:
			far = append(far, engine)
		}
	}
	return near, far
}

// roundsFor is in how many rounds all engines of other data centres are greeted.
func roundsFor(far int) int { return max(farRounds, (far+farPart-1)/farPart) }

// partOf returns the part of a list that one round greets, where so many rounds
// greet all.
func partOf(list []*fleetv1.Target, round, rounds int) []*fleetv1.Target {
	part := round % rounds
	return list[len(list)*part/rounds : len(list)*(part+1)/rounds]
}

// burden tells a sidecar that the entry has given its engine much to read, or
// that it was read; the other entries hear of it from the sidecar.
func (f *Front) burden(target, address string) {
	hello := &fleetv1.Hello{Entry: f.site.GetName(), Target: target}
	f.board.FillHello(hello)
	f.hello(mtports.SidecarWords.At(f.site, address), hello)
}

// hello sends one; a lost one is made up for by the next.
func (f *Front) hello(to string, hello *fleetv1.Hello) {
	f.standbys.fill(hello)
	f.words.Send(to, &fleetv1.Call{Call: &fleetv1.Call_Hello{Hello: hello}})
}

// hear takes in a datagram.
func (f *Front) hear(from string, data []byte) {
	word := &fleetv1.Word{}
	if err := proto.Unmarshal(data, word); err != nil {
		f.trail.Metrics().Add("datagrams_unreadable_total", 1)
		return
	}
	switch w := word.GetWord().(type) {
	case *fleetv1.Word_State:
		f.hearState(from, w.State)
	case *fleetv1.Word_Notice:
		f.directory.Record(w.Notice)
	case *fleetv1.Word_Digest:
		f.hearDigest(from, w.Digest)
	case *fleetv1.Word_Seek:
		f.words.Send(from, &fleetv1.Word{Word: &fleetv1.Word_Sought{Sought: f.directory.Lookup(w.Seek)}})
	case *fleetv1.Word_Sought:
		f.sought(from, w.Sought)
	case *fleetv1.Word_Origins:
		f.receiveOrigins(w.Origins)
	case *fleetv1.Word_Lookup:
		f.answerLookup(from, w.Lookup)
	case *fleetv1.Word_Found:
		f.lookups.take(from, w.Found)
	case *fleetv1.Word_Claimed:
		f.claims.take(from, w.Claimed)
	case *fleetv1.Word_Draw:
		f.drawn(from, w.Draw)
	case *fleetv1.Word_Grant:
		f.quota.Receive(from, w.Grant)
	case *fleetv1.Word_Permitdraw:
		f.permitDrawn(from, w.Permitdraw)
	case *fleetv1.Word_Permitgrant:
		f.permitGranted(from, w.Permitgrant)
	}
}

// hearState takes in a sidecar's state.
func (f *Front) hearState(from string, state *fleetv1.State) {
	f.board.UpdateState(state)
	if state.GetAsk() != 0 {
		f.answer(state)
	}
	f.peers.see(state.GetPeers(), f.socket.Address())
	if state.GetMore() {
		hello := &fleetv1.Hello{Entry: f.site.GetName(), Target: state.GetTarget()}
		f.board.FillHello(hello)
		f.hello(from, hello)
	}
	f.adopt(state.GetSpeed(), "sidecar of "+state.GetTarget())
	// The store may be out of this entry's reach, and not of another's.
	for _, w := range state.GetNamed() {
		f.named(w, "sidecar of "+state.GetTarget())
	}
}

package mtentry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
	"github.com/mustardtide/mustardtide/internal/placement/mtchoice"
	"github.com/mustardtide/mustardtide/internal/placement/mtplace"
	"github.com/mustardtide/mustardtide/internal/prefix/mtchain"
	"github.com/mustardtide/mustardtide/internal/role/mtnet"
)

// offerTimeout bounds the wait for offers: some hundred times a round trip
// between data centres and a third of the time that a caller notices. A target
// that is silent for so long is not asked again for a while.
const offerTimeout = 100 * time.Millisecond

// places keeps one placement for each service. Requests read it without a
// lock.
type places struct {
	datacentre string
	seed       uint64
	byService  sync.Map
}

// placement is a service's placement and the members it was built from.
type placement struct {
	place   *mtplace.Placer
	mu      sync.Mutex
	members atomic.Pointer[[]*mustardtidev1.Member]
}

func newPlaces(datacentre string, seed uint64) *places {
	return &places{datacentre: datacentre, seed: seed}
}

// of returns a service's placement over its usable members.
func (p *places) of(service string, usable []*mustardtidev1.Member) *mtplace.Placer {
	found, ok := p.byService.Load(service)
	if !ok {
		found, _ = p.byService.LoadOrStore(service, &placement{place: mtplace.New(p.datacentre, p.seed)})
	}
	known := found.(*placement)
	if !known.current(usable) {
		known.rebuild(usable)
	}
	return known.place
}

// current says whether the members are the same list as the last time: a list
// is never changed in place.
func (p *placement) current(usable []*mustardtidev1.Member) bool {
	last := p.members.Load()
	if last == nil || len(*last) != len(usable) {
		return false
	}
	return len(usable) == 0 || &(*last)[0] == &usable[0]
}

func (p *placement) rebuild(usable []*mustardtidev1.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.current(usable) {
		p.place.SetMembers(usable)
		p.members.Store(&usable)
	}
}

// choose lists the targets for a task in the order to try them.
func (e *Entry) choose(ctx context.Context, t *task) []*mustardtidev1.Member {
	usable := e.evidence.Usable(t.service.GetName())
	place := e.places.of(t.service.GetName(), usable)
	span := int(t.service.GetGranule() * t.service.GetStride())
	choice := place.Choose(mtchain.FromBytes(t.work.GetChain(), span), t.work.GetPrompt())
	if choice.Len() > 1 && !choice.SkipOffers() && t.service.GetKind() != "plain" {
		e.offer(ctx, t, place, choice)
	}
	if choice.Len() > 0 {
		place.RecordSent(choice, choice.Target(0).Name())
	}
	t.choice = choice
	return e.members(choice, usable)
}

// members turns a choice into members and adds others to fall back on, for
// when all of the choice's have gone.
func (e *Entry) members(choice *mtchoice.Choice, usable []*mustardtidev1.Member) []*mustardtidev1.Member {
	list := make([]*mustardtidev1.Member, 0, choice.Len()+maxAttempts)
	listed := make(map[string]bool, choice.Len())
	for i := range choice.Len() {
		name := choice.Target(i).Name()
		if m := e.list.Find(name); m != nil {
			list = append(list, m)
			listed[name] = true
		}
	}
	for _, m := range usable {
		if len(list) >= maxAttempts {
			break
		}
		if !listed[m.GetName()] {
			list = append(list, m)
		}
	}
	return list
}

// offered is the answer to one offer.
type offered struct {
	number int
	reply  *mustardtidev1.OfferReply
	err    error
}

// offer asks all candidates side by side and ranks them by their answers.
func (e *Entry) offer(ctx context.Context, t *task, place *mtplace.Placer, choice *mtchoice.Choice) {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	answers := make(chan offered, choice.Len())
	asked := 0
	for i := range choice.Len() {
		member := e.list.Find(choice.Target(i).Name())
		if member == nil {
			choice.MarkRefused(i)
			continue
		}
		asked++
		go func() { answers <- e.ask(ctx, i, member, t.work) }()
	}
	for range asked {
		e.hearOffer(place, choice, <-answers)
	}
	place.Rank(choice)
}

func (e *Entry) ask(ctx context.Context, number int, member *mustardtidev1.Member, work *mustardtidev1.Work) offered {
	request := connect.NewRequest(&mustardtidev1.OfferRequest{Peer: e.peer(), Work: work})
	reply, err := e.clients.pool(member.GetAddress()).sidecar.Offer(ctx, request)
	if err != nil {
		if mtnet.Refused(err) {
			e.evidence.Refused(member.GetName(), member.GetAddress())
		}
		return offered{number: number, err: err}
	}
	e.hear(reply.Msg.GetPeer())
	e.evidence.Heard(member.GetAddress(), reply.Msg.GetState())
	return offered{number: number, reply: reply.Msg}
}

// hearOffer takes one answer into the choice.
func (e *Entry) hearOffer(place *mtplace.Placer, choice *mtchoice.Choice, answer offered) {
	if answer.err != nil {
		choice.MarkRefused(answer.number)
		choice.Target(answer.number).MarkUnresponsive()
		return
	}
	state := answer.reply.GetState()
	place.UpdateState(state)
	choice.ApplyOffer(answer.number, answer.reply.GetMatched(), state.GetWait().AsDuration())
	if mtrefusal.FromMessage(answer.reply.GetRefusal()) != nil {
		choice.MarkRefused(answer.number)
	}
}

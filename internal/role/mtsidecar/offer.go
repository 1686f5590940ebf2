package mtsidecar

import (
	"context"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	"github.com/mustardtide/mustardtide/internal/prefix/mtchain"
)

// Offer says what this target would make of a request.
func (s *Sidecar) Offer(_ context.Context, ask *connect.Request[mustardtidev1.OfferRequest]) (*connect.Response[mustardtidev1.OfferReply], error) {
	s.hear(ask.Msg.GetPeer())
	work := ask.Msg.GetWork()
	reply := &mustardtidev1.OfferReply{Peer: s.control.Peer(), State: s.state()}
	if refusal := s.unfit(work); refusal != nil {
		reply.Refusal = refusal.Message()
		return connect.NewResponse(reply), nil
	}
	reply.Matched = s.matched(work)
	wait, refusal := s.admit.offer(s.spread.Snapshot(), work, reply.GetMatched())
	if refusal != nil {
		reply.Refusal = refusal.Message()
		return connect.NewResponse(reply), nil
	}
	reply.State.Wait = durationpb.New(wait)
	reply.Ticket = work.GetRun()
	return connect.NewResponse(reply), nil
}

// matched is the tokens of a prompt that the target has cached, or will have
// when it comes to compute it.
func (s *Sidecar) matched(work *mustardtidev1.Work) uint64 {
	chain, span := s.chain(work)
	return uint64(s.view.MatchWithPending(chain) * span / mtchain.BytesPerToken)
}

// expectation is what the view held for a run when it was handed to the target.
type expectation struct {
	chain       mtchain.Chain
	span        int
	held        int
	incarnation string
	done        func() bool
}

// expect tells the view what a run will cache and keeps what it held before.
func (s *Sidecar) expect(work *mustardtidev1.Work) *expectation {
	chain, span := s.chain(work)
	return &expectation{
		chain:       chain,
		span:        span,
		held:        s.view.Match(chain),
		incarnation: s.view.Incarnation(),
		done:        s.view.AddPending(chain),
	}
}

// settle lets the engine's own count of cached tokens correct the view: what a
// finished run computed is cached now, and a view that promised more than the
// engine found, time after time, missed removals. Without it such a view draws
// requests here for good.
func (s *Sidecar) settle(x *expectation, finish *mustardtidev1.Finish) {
	sure := x.done()
	if x.span == 0 || !finish.GetComplete() || finish.GetPrompt() == 0 {
		return
	}
	s.view.AddComputed(x.incarnation, x.chain)
	found := int(finish.GetCached()) * mtchain.BytesPerToken / x.span
	if sure && s.view.CheckMatch(x.held, found) {
		s.log.Add(mtkind.CacheVoid, &mustardtidev1.Event{Target: s.process.GetName()})
		s.reread()
	}
}

// chain is a run's chain and its span in bytes. It is empty where the entry's
// settings name other weights than this target's: nothing cached may match.
func (s *Sidecar) chain(work *mustardtidev1.Work) (mtchain.Chain, int) {
	service := s.service()
	if service == nil || len(work.GetChain()) == 0 || work.GetSalt() != salt(work, service) {
		return mtchain.Chain{}, 0
	}
	span := int(service.GetGranule() * service.GetStride())
	return mtchain.FromBytes(work.GetChain(), span), span
}

// own lets this sidecar's settings name the cache entries that a run may use:
// they say what its target runs, while the entry's may be older or newer.
// Without it an entry that lags behind a change of weights makes the engine
// use what it computed with the old ones.
func (s *Sidecar) own(work *mustardtidev1.Work) {
	service := s.service()
	if service == nil || work.GetSalt() == "" {
		return
	}
	if own := salt(work, service); work.GetSalt() != own {
		work.Salt = own
		work.Chain = nil
	}
}

func salt(work *mustardtidev1.Work, service *mustardtidev1.Service) string {
	return mtchain.Salt(work.GetAccount(), service.GetModel(), service.GetWeights(), service.GetAdapter())
}

package mtsidecar

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
	"github.com/mustardtide/mustardtide/internal/members/mtlease"
	"github.com/mustardtide/mustardtide/internal/members/mtorder"
	"github.com/mustardtide/mustardtide/internal/members/mtpermit"
	"github.com/mustardtide/mustardtide/internal/observe/mtcode"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	"github.com/mustardtide/mustardtide/internal/outside/mtplatform"
)

const (
	// orderCall bounds one call of the platform for an order.
	orderCall = 2 * time.Second
	// idlePoll is how often a loading engine is asked whether it has ended.
	idlePoll = 500 * time.Millisecond
	// giveEvery is the time between tries to give a permit back.
	giveEvery = 2 * time.Second
)

// orders carries out one order at a time.
type orders struct {
	platform *mtplatform.Client
	permits  *mtpermit.Permits
	gate     mtorder.Gate
	turn     chan struct{}
}

func newOrders(platform *mtplatform.Client, s *Sidecar) *orders {
	listed := func(target string) bool { return s.list.Find(target) != nil }
	return &orders{
		platform: platform,
		permits:  mtpermit.New(platform, s.process.GetService(), s.process.GetName(), listed),
		turn:     make(chan struct{}, 1),
	}
}

// close returns when the order under way has ended; no other begins.
func (o *orders) close() { o.turn <- struct{}{} }

// Order carries out an operator's order. It goes on when the operator hangs
// up: what a target was told must be known to have ended before the next order.
func (s *Sidecar) Order(ctx context.Context, ask *connect.Request[mustardtidev1.OrderRequest]) (*connect.Response[mustardtidev1.OrderReply], error) {
	s.log.Clock().See(ask.Msg.GetPeer().GetStamp())
	select {
	case s.orders.turn <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	done := make(chan *mtrefusal.Refusal, 1)
	go func() {
		defer func() { <-s.orders.turn }()
		done <- s.obey(s.base, ask.Msg)
	}()
	select {
	case refusal := <-done:
		return connect.NewResponse(&mustardtidev1.OrderReply{Peer: s.control.Peer(), Refusal: refusal.Message()}), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// obey checks an order's number and carries it out.
func (s *Sidecar) obey(ctx context.Context, ask *mustardtidev1.OrderRequest) *mtrefusal.Refusal {
	ctx, cancel := context.WithTimeout(ctx, mtpermit.Longest)
	defer cancel()
	refusal := s.admitOrder(ctx, ask.GetNumber())
	if refusal == nil {
		refusal = s.carryOut(ctx, ask)
	}
	kind := mtkind.OrderDone
	text := fmt.Sprintf("order %d", ask.GetNumber())
	if refusal != nil {
		kind = mtkind.OrderRefused
		text += ": " + refusal.Error()
	}
	s.log.Add(kind, &mustardtidev1.Event{Target: s.process.GetName(), Text: text})
	return refusal
}

// admitOrder is the fence. After a start of this process it reads the lease
// first: an earlier process may have obeyed an order under any number up to
// the lease's, and the target may not remember.
func (s *Sidecar) admitOrder(ctx context.Context, number uint64) *mtrefusal.Refusal {
	if !s.orders.gate.Primed() {
		ctx, cancel := context.WithTimeout(ctx, orderCall)
		defer cancel()
		highest, err := mtlease.Highest(ctx, s.orders.platform, s.process.GetName())
		if err != nil {
			return mtrefusal.New(mtcode.PlatformDown, err.Error()).WithRetryAfter(giveEvery)
		}
		s.orders.gate.Prime(highest)
	}
	return s.orders.gate.Admit(number)
}

// carryOut waits for the end of what an earlier process ordered, takes a
// permit where weights are loaded, and gives the order to the engine.
func (s *Sidecar) carryOut(ctx context.Context, ask *mustardtidev1.OrderRequest) *mtrefusal.Refusal {
	service := s.service()
	if service == nil {
		return mtrefusal.New(mtcode.SettingsMissing, s.process.GetName())
	}
	engine, ok := s.program(service).(engineTarget)
	if !ok {
		return mtrefusal.New(mtcode.TargetRefused, "a plain service takes no orders").AsFinal()
	}
	if _, err := engine.Loading(ctx); err != nil {
		return mtrefusal.New(mtcode.TargetDied, err.Error()).WithRetryAfter(giveEvery)
	}
	if err := idle(ctx, engine); err != nil {
		return mtrefusal.New(mtcode.DeadlinePassed, err.Error())
	}
	loads := loadsWeights(ask.GetOrder()) && service.GetLoads() > 0
	if loads {
		if refusal := s.permit(ctx, int(service.GetLoads())); refusal != nil {
			return refusal
		}
		defer s.givePermit(engine)
	}
	s.log.Add(mtkind.OrderSent, &mustardtidev1.Event{Target: s.process.GetName(), Text: fmt.Sprintf("order %d", ask.GetNumber())})
	err := engine.Order(ctx, ask.GetNumber(), ask.GetOrder())
	if trace.IsCompareFailed(err) {
		return mtrefusal.New(mtcode.OrderFenced, err.Error()).AsFinal()
	}
	if err != nil {
		return mtrefusal.New(mtcode.TargetRefused, err.Error()).WithRan(mustardtidev1.Ran_UNKNOWN)
	}
	return nil
}

func loadsWeights(order *mustardtidev1.Order) bool {
	return order.GetModel() != "" || order.GetWeights() != "" || order.GetAdapter() != ""
}

// idle waits until the engine carries out no order. Without it, an engine that
// ignores numbers would let an older, slower load take effect after a newer.
func idle(ctx context.Context, engine engineTarget) error {
	for {
		loading, err := engine.Loading(ctx)
		if err == nil && !loading {
			return nil
		}
		select {
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		case <-time.After(idlePoll):
		}
	}
}

func (s *Sidecar) permit(ctx context.Context, limit int) *mtrefusal.Refusal {
	ctx, cancel := context.WithTimeout(ctx, orderCall)
	defer cancel()
	err := s.orders.permits.Take(ctx, limit)
	if err == nil {
		s.log.Add(mtkind.PermitTaken, &mustardtidev1.Event{Target: s.process.GetName()})
		return nil
	}
	if refusal := mtrefusal.FromError(err); refusal != nil {
		return refusal
	}
	return mtrefusal.New(mtcode.PlatformDown, err.Error()).WithRetryAfter(giveEvery)
}

// givePermit waits for the engine's load to end and gives the permit back. A
// process that dies before leaves it to the next one beside the same engine.
func (s *Sidecar) givePermit(engine engineTarget) {
	for idle(s.base, engine) == nil {
		ctx, cancel := context.WithTimeout(s.base, orderCall)
		err := s.orders.permits.Give(ctx)
		cancel()
		if err == nil {
			s.log.Add(mtkind.PermitGiven, &mustardtidev1.Event{Target: s.process.GetName()})
			return
		}
		select {
		case <-s.base.Done():
			return
		case <-time.After(giveEvery):
		}
	}
}

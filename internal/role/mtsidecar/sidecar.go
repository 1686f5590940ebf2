// Package mtsidecar assembles the process beside a target: the authority for
// the target's admission, runs, cache view, incarnation and leaving.
package mtsidecar

import (
	"context"
	"crypto/rand"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/types/known/durationpb"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/gen/mustardtide/v1/mustardtidev1connect"
	"github.com/mustardtide/mustardtide/internal/members/mtlist"
	"github.com/mustardtide/mustardtide/internal/observe/mtevent"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	"github.com/mustardtide/mustardtide/internal/outside/mtplatform"
	"github.com/mustardtide/mustardtide/internal/prefix/mtview"
	"github.com/mustardtide/mustardtide/internal/request/mtclaim"
	"github.com/mustardtide/mustardtide/internal/request/mtculprit"
	"github.com/mustardtide/mustardtide/internal/request/mtonce"
	"github.com/mustardtide/mustardtide/internal/request/mtquarantine"
	"github.com/mustardtide/mustardtide/internal/request/mtsuspicion"
	"github.com/mustardtide/mustardtide/internal/role/mtcontrol"
	"github.com/mustardtide/mustardtide/internal/role/mtnet"
	"github.com/mustardtide/mustardtide/internal/role/mtserver"
	"github.com/mustardtide/mustardtide/internal/role/mtsync"
	"github.com/mustardtide/mustardtide/internal/role/mttls"
	"github.com/mustardtide/mustardtide/internal/settings/mtspread"
)

// Sidecar runs beside one target.
type Sidecar struct {
	process *mustardtidev1.Process
	net     *mtnet.Net
	log     *mtevent.Log
	spread  *mtspread.Spread
	list    *mtlist.List
	control *mtcontrol.Control
	view    *mtview.View
	runs    *runs
	admit   *admit
	once    *mtonce.Table
	claims  *mtclaim.Claims
	homes   *homes
	orders  *orders
	poison  *mtquarantine.Table
	// culprits are what prompts crash targets by their beginnings.
	culprits *mtculprit.Culprits
	// suspicions are shared through the platform.
	suspicions *mtsuspicion.Store
	server     *mtserver.Server
	started    time.Time
	// boot names this start of the process; base bounds its runs.
	boot string
	base context.Context

	targetOnce sync.Once
	target     target
	up         atomic.Bool
	// reading ends the cache event stream that is open.
	reading atomic.Pointer[context.CancelFunc]
	leaving atomic.Bool
	ends    []<-chan error
}

// New returns a sidecar with the given process settings.
func New(process *mustardtidev1.Process, network *mtnet.Net, log *mtevent.Log) *Sidecar {
	s := &Sidecar{
		process:  process,
		net:      network,
		log:      log,
		spread:   mtspread.New(process.GetDatacentre(), log),
		list:     mtlist.New(log),
		view:     mtview.New(),
		runs:     newRuns(),
		admit:    newAdmit(),
		once:     mtonce.New(),
		poison:   mtquarantine.New(),
		culprits: mtculprit.New(),
		homes:    newHomes(network.Internal(), network.Scheme()),
		started:  time.Now(),
		boot:     rand.Text(),
		base:     context.Background(),
	}
	s.control = mtcontrol.New(log, s.spread, s.list, s.status, s.drain)
	s.control.Carry(s.poison.Bans, s.culprits)
	return s
}

// Open listens and starts what runs in the background until ctx ends. The
// server it returns is started by the caller.
func (s *Sidecar) Open(ctx context.Context) (*mtserver.Server, error) {
	listener, err := s.net.Listen(s.process.GetInternal())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s.base = ctx
	hear := connect.WithInterceptors(s.control.Interceptor())
	mux := http.NewServeMux()
	mux.Handle(mustardtidev1connect.NewSidecarServiceHandler(s, hear))
	mux.Handle(mustardtidev1connect.NewControlServiceHandler(s.control, hear))
	mux.Handle("/metrics", s.log.Metrics())
	s.server = mtserver.New(listener, s.net.ServerTLS(), mttls.Guard(mux))
	client := mtplatform.New(s.process.GetPlatform(), s.process.GetNamespace(), s.net.Outside())
	follow := mtsync.New(s.process, s.net, s.log, s.spread, s.list, s.control)
	s.claims = mtclaim.New(client, s.log)
	s.orders = newOrders(client, s)
	s.suspicions = mtsuspicion.New(client)
	s.ends = append(s.ends, s.claims.Follow(ctx), follow.Sidecar(ctx), s.watchTarget(ctx))
	s.log.Add(mtkind.SidecarStarted, &mustardtidev1.Event{Target: s.process.GetName(), Text: listener.Addr().String()})
	return s.server, nil
}

// Wait returns when everything that Open started has ended.
func (s *Sidecar) Wait() error {
	var errors []error
	for _, end := range s.ends {
		errors = append(errors, <-end)
	}
	s.runs.wait()
	s.orders.close()
	s.homes.close()
	return trace.NewAggregate(errors...)
}

func (s *Sidecar) status() *mustardtidev1.StatusReply {
	return &mustardtidev1.StatusReply{
		Name:       s.process.GetName(),
		Role:       "sidecar",
		Datacentre: s.process.GetDatacentre(),
		Ready:      s.up.Load() && !s.leaving.Load(),
		Leaving:    s.leaving.Load(),
		State:      s.state(),
	}
}

// state is this sidecar's word about its target.
func (s *Sidecar) state() *mustardtidev1.State {
	state := &mustardtidev1.State{
		Target:      s.process.GetName(),
		Incarnation: s.view.Incarnation(),
		Leaving:     s.leaving.Load(),
		Ready:       s.up.Load(),
		Cached:      uint64(s.view.Len()),
		Boot:        s.boot,
	}
	state.Wait = durationpb.New(s.admit.describe(state))
	return state
}

// service is the settings of the target's service, or nil before they came.
func (s *Sidecar) service() *mustardtidev1.Service {
	return s.spread.Snapshot().Service(s.process.GetService())
}

// Package mtentry assembles the process behind the platform's balancer: the
// authority for callers' identity, choice of target, retries and refusals.
package mtentry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"
	"github.com/zeebo/xxh3"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/gen/mustardtide/v1/mustardtidev1connect"
	"github.com/mustardtide/mustardtide/internal/admission/mtstreams"
	"github.com/mustardtide/mustardtide/internal/members/mtevidence"
	"github.com/mustardtide/mustardtide/internal/members/mtlist"
	"github.com/mustardtide/mustardtide/internal/observe/mtevent"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	"github.com/mustardtide/mustardtide/internal/outside/mtplatform"
	"github.com/mustardtide/mustardtide/internal/request/mtculprit"
	"github.com/mustardtide/mustardtide/internal/request/mtquarantine"
	"github.com/mustardtide/mustardtide/internal/request/mtsuspicion"
	"github.com/mustardtide/mustardtide/internal/role/mtcontrol"
	"github.com/mustardtide/mustardtide/internal/role/mtcredit"
	"github.com/mustardtide/mustardtide/internal/role/mtnet"
	"github.com/mustardtide/mustardtide/internal/role/mtserver"
	"github.com/mustardtide/mustardtide/internal/role/mtsync"
	"github.com/mustardtide/mustardtide/internal/role/mttls"
	"github.com/mustardtide/mustardtide/internal/settings/mtspread"
)

// Entry takes callers' requests and finds a target for each.
type Entry struct {
	process  *mustardtidev1.Process
	net      *mtnet.Net
	log      *mtevent.Log
	spread   *mtspread.Spread
	list     *mtlist.List
	evidence *mtevidence.Evidence
	control  *mtcontrol.Control
	clients  *clients
	places   *places
	poison   *mtquarantine.Table
	culprits *mtculprit.Culprits
	streams  *mtstreams.Limiter
	credit   *mtcredit.Credit
	budgets  budgets
	started  time.Time
	live     atomic.Int64
	draining atomic.Bool
	// over ends when the drain's bound has passed: requests end with an error.
	over context.Context
	cut  context.CancelFunc
	ends []<-chan error
}

// New returns an entry with the given process settings.
func New(process *mustardtidev1.Process, network *mtnet.Net, log *mtevent.Log) *Entry {
	e := &Entry{
		process: process,
		net:     network,
		log:     log,
		spread:  mtspread.New(process.GetDatacentre(), log),
		list:    mtlist.New(log),
		started: time.Now(),
	}
	e.over, e.cut = context.WithCancel(context.Background())
	e.evidence = mtevidence.New(e.list)
	e.places = newPlaces(process.GetDatacentre(), xxh3.HashString(process.GetName()))
	e.control = mtcontrol.New(log, e.spread, e.list, e.status, e.drain)
	e.clients = newClients(network, e.peer, e.control.Interceptor())
	e.poison = mtquarantine.New()
	e.culprits = mtculprit.New()
	e.streams = mtstreams.New()
	e.credit = mtcredit.New(process.GetName(), network, e.spread, e.list, e.control)
	e.control.Carry(e.poison.Bans, e.culprits)
	return e
}

// Open listens and starts what runs in the background until ctx ends. The
// servers it returns, for callers and for the system's own processes, are
// started by the caller.
func (e *Entry) Open(ctx context.Context) ([]*mtserver.Server, error) {
	public, err := e.net.Listen(e.process.GetPublic())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	internal, err := e.net.Listen(e.process.GetInternal())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	mux := http.NewServeMux()
	hear := connect.WithInterceptors(e.control.Interceptor())
	mux.Handle(mustardtidev1connect.NewControlServiceHandler(e.control, hear))
	mux.Handle(mustardtidev1connect.NewQuotaServiceHandler(e.credit, hear))
	mux.Handle("/metrics", e.log.Metrics())
	client := mtplatform.New(e.process.GetPlatform(), e.process.GetNamespace(), e.net.Outside())
	follow := mtsync.New(e.process, e.net, e.log, e.spread, e.list, e.control)
	e.ends = append(e.ends, follow.Entry(ctx), e.evidence.Follow(ctx), e.credit.Follow(ctx), mtsuspicion.New(client).Follow(ctx, e.suspicion))
	e.log.Add(mtkind.EntryStarted, &mustardtidev1.Event{Text: public.Addr().String()})
	return []*mtserver.Server{
		mtserver.New(public, nil, e.routes()),
		mtserver.New(internal, e.net.ServerTLS(), mttls.Guard(mux)),
	}, nil
}

// Handler is the callers' API, for a listener that the entry did not open.
func (e *Entry) Handler() http.Handler { return e.routes() }

// Wait returns when everything that Open started has ended.
func (e *Entry) Wait() error {
	var errors []error
	for _, end := range e.ends {
		errors = append(errors, <-end)
	}
	// A request still on its way adds to what close waits for.
	for e.live.Load() > 0 {
		time.Sleep(drainPoll)
	}
	e.clients.close()
	return trace.NewAggregate(errors...)
}

func (e *Entry) ready() bool {
	return e.spread.Snapshot().Revision() > 0 && e.list.Known() && !e.draining.Load()
}

func (e *Entry) status() *mustardtidev1.StatusReply {
	return &mustardtidev1.StatusReply{
		Name:       e.process.GetName(),
		Role:       "entry",
		Datacentre: e.process.GetDatacentre(),
		Ready:      e.ready(),
		Leaving:    e.draining.Load(),
	}
}

func (e *Entry) peer() *mustardtidev1.Peer { return e.control.Peer() }

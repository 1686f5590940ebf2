// Package mtsync keeps a process's settings and list of instances up to date:
// from the platform, which orders them, and from any peer that is ahead, so
// that a platform which is away stops nobody.
package mtsync

import (
	"context"
	"encoding/hex"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/gen/mustardtide/v1/mustardtidev1connect"
	"github.com/mustardtide/mustardtide/internal/members/mtlist"
	"github.com/mustardtide/mustardtide/internal/observe/mtevent"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	"github.com/mustardtide/mustardtide/internal/outside/mtplatform"
	"github.com/mustardtide/mustardtide/internal/relay/mttransport"
	"github.com/mustardtide/mustardtide/internal/role/mtcontrol"
	"github.com/mustardtide/mustardtide/internal/role/mtnet"
	"github.com/mustardtide/mustardtide/internal/settings/mtmanifest"
	"github.com/mustardtide/mustardtide/internal/settings/mtspread"
)

// Bounds of one exchange. pullTimeout is for a message of some kilobytes
// between instances a few milliseconds apart; callTimeout for a platform that
// answers in milliseconds when it is well. wantMost bounds the chunks of one
// answer: 64 of about 6 KB, below half a megabyte.
const (
	pullTimeout = 2 * time.Second
	callTimeout = 5 * time.Second
	wantMost    = 64
)

// Sync follows the platform and the peers of one process.
type Sync struct {
	process   *mustardtidev1.Process
	scheme    string
	transport *http.Transport
	outside   *mttransport.Transport
	log       *mtevent.Log
	spread    *mtspread.Spread
	list      *mtlist.List
	control   *mtcontrol.Control
	platform  *mtplatform.Client

	// fetching has room for the one fetch under way; partial keeps the chunks
	// of one that was not completed.
	fetching chan struct{}
	// begun closes after the first round of the start.
	begun   chan struct{}
	partial map[string][]byte
}

// New returns a Sync for the process that the control service speaks for.
func New(process *mustardtidev1.Process, network *mtnet.Net, log *mtevent.Log, spread *mtspread.Spread, list *mtlist.List, control *mtcontrol.Control) *Sync {
	outside := network.Outside()
	return &Sync{
		process:   process,
		outside:   outside,
		fetching:  make(chan struct{}, 1),
		begun:     make(chan struct{}),
		scheme:    network.Scheme(),
		transport: network.Internal(),
		log:       log,
		spread:    spread,
		list:      list,
		control:   control,
		platform:  mtplatform.New(process.GetPlatform(), process.GetNamespace(), outside),
	}
}

// Entry follows as an entry does until ctx ends: it watches the platform. The
// channel it returns gives its end.
func (s *Sync) Entry(ctx context.Context) <-chan error {
	return s.run(ctx, s.startEntry, s.watch, func(ctx context.Context) error {
		s.awaitTurn(ctx)
		return <-s.list.Follow(ctx, s.platform)
	})
}

// Sidecar follows as a sidecar does until ctx ends: from peers, and from the
// platform only where no peer answers. 2,700 sidecars would otherwise hold
// more watches than the platform has calls. The channel gives its end.
func (s *Sync) Sidecar(ctx context.Context) <-chan error {
	return s.run(ctx, s.startSidecar)
}

func (s *Sync) run(ctx context.Context, start func(context.Context), more ...func(context.Context) error) <-chan error {
	done := make(chan error, 1)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		s.start(ctx, start)
		s.exchange(ctx)
		return nil
	})
	group.Go(func() error {
		s.announce(ctx)
		return nil
	})
	for _, follow := range more {
		group.Go(func() error { return follow(ctx) })
	}
	go func() {
		done <- group.Wait()
		s.transport.CloseIdleConnections()
		s.outside.CloseIdleConnections()
	}()
	return done
}

// pull asks a peer for what it has above this process's revision, and takes it.
// The message tells the peer this process's revision as well.
func (s *Sync) pull(ctx context.Context, address string) error {
	head, err := s.ask(ctx, address)
	if err != nil || head == nil {
		return trace.Wrap(err)
	}
	return s.take(ctx, mtmanifest.New(head), address)
}

// ask takes a peer's list of instances and returns its manifest, if higher.
func (s *Sync) ask(ctx context.Context, address string) (*mustardtidev1.Manifest, error) {
	hash := s.list.Hash()
	reply, err := s.call(ctx, address, &mustardtidev1.PullRequest{List: hash})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	switch age := reply.GetAge().AsDuration(); {
	case !reply.GetKnown():
	case reply.GetPartial():
		s.list.Patch(hash, reply.GetMembers(), reply.GetGone(), age)
	default:
		s.list.Take(reply.GetMembers(), age)
	}
	return reply.GetManifest(), nil
}

func (s *Sync) call(ctx context.Context, address string, ask *mustardtidev1.PullRequest) (*mustardtidev1.PullReply, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	ask.Peer = s.control.Peer()
	ask.From = s.address()
	client := mustardtidev1connect.NewControlServiceClient(&http.Client{Transport: s.transport}, s.scheme+"://"+address, connect.WithInterceptors(s.control.Interceptor()))
	reply, err := client.Pull(ctx, connect.NewRequest(ask))
	if err != nil {
		// A connection that went silent would take the next message as well.
		s.transport.CloseIdleConnections()
		return nil, trace.ConnectionProblem(err, "peer %s does not answer", address)
	}
	return reply.Msg, nil
}

// address is where peers reach this process.
func (s *Sync) address() string {
	if s.process.GetAdvertise() != "" {
		return s.process.GetAdvertise()
	}
	return s.process.GetInternal()
}

// take completes a manifest with its chunks, from this process, the given
// peers and others, and last the platform, and puts it in force.
func (s *Sync) take(ctx context.Context, m *mtmanifest.Manifest, addresses ...string) error {
	select {
	case s.fetching <- struct{}{}:
		defer func() { <-s.fetching }()
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
	if !s.spread.Wants(m.Revision()) {
		return nil
	}
	m.Fill(s.spread.Manifest().Chunks())
	m.Fill(s.partial)
	for _, address := range slices.Concat(addresses, s.choose(otherPeers)) {
		s.want(ctx, m, address)
	}
	if len(m.Missing()) > 0 {
		bounded, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if err := m.Fetch(bounded, s.platform); err != nil {
			s.partial = m.Chunks()
			return trace.Wrap(err)
		}
	}
	s.partial = nil
	if len(addresses) > 0 {
		s.log.Add(mtkind.SettingsFetched, &mustardtidev1.Event{Target: addresses[0]})
	}
	return s.spread.Adopt(m)
}

// want asks one peer for the chunks that a manifest still misses.
func (s *Sync) want(ctx context.Context, m *mtmanifest.Manifest, address string) {
	for missing := range slices.Chunk(m.Missing(), wantMost) {
		ask := &mustardtidev1.PullRequest{}
		for _, digest := range missing {
			if raw, err := hex.DecodeString(digest); err == nil {
				ask.Want = append(ask.Want, raw)
			}
		}
		reply, err := s.call(ctx, address, ask)
		if err != nil {
			return
		}
		chunks := map[string][]byte{}
		for _, chunk := range reply.GetChunks() {
			chunks[chunk.GetDigest()] = chunk.GetText()
		}
		m.Fill(chunks)
		if len(chunks) == 0 {
			return
		}
	}
}

// sleep waits for about d, between half and one and a half of it, so that
// processes that lost something together don't come back together. It is
// false where ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(jitter(d)):
		return true
	}
}

func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

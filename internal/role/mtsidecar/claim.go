package mtsidecar

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/zeebo/xxh3"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/gen/mustardtide/v1/mustardtidev1connect"
	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
	"github.com/mustardtide/mustardtide/internal/observe/mtcode"
	"github.com/mustardtide/mustardtide/internal/request/mtclaim"
)

const (
	// homeTimeout bounds the word of a shard's home: a batch takes a tenth of
	// a second, and a home that is gone must not cost more than a few.
	homeTimeout = 500 * time.Millisecond
	// suspectFor is how long a home that did not answer is passed over; the
	// list of instances catches up meanwhile.
	suspectFor = 10 * time.Second
	// defaultKeep is how long a key is remembered where the settings say
	// nothing, and leastKeep what they can't go below: far above any deadline.
	defaultKeep = 24 * time.Hour
	leastKeep   = time.Hour
)

// homes finds the home of a shard and asks it.
type homes struct {
	transport *http.Transport
	scheme    string

	mu       sync.Mutex
	suspects map[string]time.Time
}

func newHomes(transport *http.Transport, scheme string) *homes {
	return &homes{transport: transport, scheme: scheme, suspects: map[string]time.Time{}}
}

// choose returns the shard's home: rendezvous over the live sidecars. It is a
// hint only; several processes may take themselves for the home.
func (h *homes) choose(shard int, members []*mustardtidev1.Member) *mustardtidev1.Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	live := slices.DeleteFunc(members, func(m *mustardtidev1.Member) bool {
		return m.GetRole() != "sidecar" || m.GetLeaving() || now.Before(h.suspects[m.GetAddress()])
	})
	if len(live) == 0 {
		return nil
	}
	rank := func(m *mustardtidev1.Member) uint64 { return xxh3.HashString(strconv.Itoa(shard) + " " + m.GetName()) }
	return slices.MaxFunc(live, func(a, b *mustardtidev1.Member) int { return cmp.Compare(rank(a), rank(b)) })
}

func (h *homes) ask(ctx context.Context, address string, ask *mustardtidev1.ClaimRequest) (*mustardtidev1.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, homeTimeout)
	defer cancel()
	client := mustardtidev1connect.NewSidecarServiceClient(&http.Client{Transport: h.transport}, h.scheme+"://"+address)
	reply, err := client.Claim(ctx, connect.NewRequest(ask))
	if err != nil {
		h.mu.Lock()
		h.suspects[address] = time.Now().Add(suspectFor)
		h.mu.Unlock()
		// The connection may have gone silent; the next call takes another.
		h.transport.CloseIdleConnections()
		return nil, err
	}
	return reply.Msg, nil
}

func (h *homes) close() { h.transport.CloseIdleConnections() }

// Claim appends a claim for another sidecar: this process is its shard's home.
func (s *Sidecar) Claim(ctx context.Context, ask *connect.Request[mustardtidev1.ClaimRequest]) (*connect.Response[mustardtidev1.ClaimReply], error) {
	s.log.Clock().See(ask.Msg.GetPeer().GetStamp())
	return connect.NewResponse(s.append(ctx, ask.Msg)), nil
}

// append claims at the platform and says what the key's record is.
func (s *Sidecar) append(ctx context.Context, ask *mustardtidev1.ClaimRequest) *mustardtidev1.ClaimReply {
	reply := &mustardtidev1.ClaimReply{Peer: s.control.Peer()}
	record, err := s.claims.Claim(ctx, &mustardtidev1.Claim{
		Id:      mtclaim.ID(ask.GetAccount(), ask.GetService(), ask.GetKey()),
		Print:   ask.GetPrint(),
		Run:     ask.GetRun(),
		Attempt: ask.GetAttempt(),
		Target:  ask.GetTarget(),
		Process: ask.GetProcess(),
		Until:   timestamppb.New(time.Now().Add(ask.GetKeep().AsDuration())),
	})
	if err != nil {
		refusal := mtrefusal.Find(err)
		if refusal == nil {
			refusal = mtrefusal.New(mtcode.ClaimFailed, err.Error())
		}
		reply.Refusal = refusal.Message()
		return reply
	}
	reply.Holder = record.GetRun()
	reply.Attempt = record.GetAttempt()
	reply.Target = record.GetTarget()
	reply.Process = record.GetProcess()
	reply.Mismatch = !bytes.Equal(record.GetPrint(), ask.GetPrint())
	reply.Granted = sending(reply.GetHolder(), reply.GetAttempt()) == sending(ask.GetRun(), ask.GetAttempt())
	return reply
}

// claim asks for the record of a request's key: the shard's home, or the
// platform where the home does not answer.
func (s *Sidecar) claim(ctx context.Context, work *mustardtidev1.Work) *mustardtidev1.ClaimReply {
	keep := s.service().GetKeep().AsDuration()
	if keep == 0 {
		keep = defaultKeep
	}
	ask := &mustardtidev1.ClaimRequest{
		Peer:    s.control.Peer(),
		Account: work.GetAccount(),
		Key:     work.GetKey(),
		Print:   work.GetPrint(),
		Run:     work.GetRun(),
		Target:  s.process.GetName(),
		Service: work.GetService(),
		Keep:    durationpb.New(max(keep, leastKeep)),
		Process: s.boot,
		Attempt: work.GetAttempt(),
	}
	shard := mtclaim.ShardOf(mtclaim.ID(work.GetAccount(), work.GetService(), work.GetKey()))
	home := s.homes.choose(shard, s.list.All())
	if home != nil && home.GetName() != s.process.GetName() {
		reply, err := s.homes.ask(ctx, home.GetAddress(), ask)
		if err == nil {
			s.log.Clock().See(reply.GetPeer().GetStamp())
			return reply
		}
	}
	return s.append(ctx, ask)
}

// sending names one attempt of a request.
func sending(run string, attempt uint32) string { return fmt.Sprintf("%s/%d", run, attempt) }

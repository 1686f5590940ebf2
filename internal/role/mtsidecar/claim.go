package mtsidecar

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
	"github.com/mustardtide/mustardtide/internal/observe/mtcode"
	"github.com/mustardtide/mustardtide/internal/request/mtclaim"
)

const (
	// defaultKeep is how long a key is remembered where the settings say
	// nothing, and leastKeep what they can't go below: far above any deadline.
	defaultKeep = 24 * time.Hour
	leastKeep   = time.Hour
)

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
		refusal := mtrefusal.FromError(err)
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

package mtentry

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
	"github.com/mustardtide/mustardtide/internal/observe/mtcode"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	"github.com/mustardtide/mustardtide/internal/request/mtstream"
)

// attempt runs a task on one target and passes the answer on. It returns nil
// when the caller has the whole answer.
func (e *Entry) attempt(ctx context.Context, member *mustardtidev1.Member, t *task, out *output) *mtrefusal.Refusal {
	if deadline, ok := ctx.Deadline(); ok {
		t.work.Left = durationpb.New(time.Until(deadline))
	}
	ask := connect.NewRequest(&mustardtidev1.RunRequest{Peer: e.control.Peer(), Work: t.work, Call: t.call})
	frames, err := e.clients.sidecar(member.GetAddress()).Run(ctx, ask)
	if err != nil {
		e.clients.abandon(member.GetAddress())
		return mtrefusal.New(mtcode.Unreachable, err.Error()).Having(mustardtidev1.Ran_UNKNOWN)
	}
	defer func() { _ = frames.Close() }()
	received := mtstream.New(t.work.GetRun(), t.work.GetAttempt())
	var status uint32
	for frames.Receive() {
		frame := frames.Msg()
		e.log.Clock().See(frame.GetPeer().GetStamp())
		data, err := received.Take(frame)
		if err != nil {
			e.note(mtkind.FrameDropped, t, err.Error())
			continue
		}
		switch step := frame.GetStep().(type) {
		case *mustardtidev1.Frame_Head:
			status = step.Head.GetStatus()
			out.start(step.Head, member.GetName())
		case *mustardtidev1.Frame_Data:
			if err := out.write(data); err != nil {
				return mtrefusal.New(mtcode.CallerGone, err.Error()).Having(mustardtidev1.Ran_YES)
			}
		case *mustardtidev1.Frame_Finish:
			return e.finish(step.Finish, status, out)
		}
	}
	return mtrefusal.New(mtcode.Incomplete, "the stream broke off").Having(mustardtidev1.Ran_UNKNOWN)
}

func (e *Entry) finish(finish *mustardtidev1.Finish, status uint32, out *output) *mtrefusal.Refusal {
	if refusal := mtrefusal.From(finish.GetRefusal()); refusal != nil {
		return refusal
	}
	if !finish.GetComplete() {
		return mtrefusal.New(mtcode.Incomplete, "").Having(mustardtidev1.Ran_UNKNOWN)
	}
	if err := out.end(status); err != nil {
		return mtrefusal.New(mtcode.CallerGone, err.Error()).Having(mustardtidev1.Ran_YES)
	}
	return nil
}

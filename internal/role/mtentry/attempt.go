package mtentry

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/types/known/durationpb"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/gen/mustardtide/v1/mustardtidev1connect"
	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
	"github.com/mustardtide/mustardtide/internal/observe/mtcode"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	"github.com/mustardtide/mustardtide/internal/request/mtstream"
	"github.com/mustardtide/mustardtide/internal/role/mtnet"
)

const (
	// silentAfter is three missed heartbeats of a sidecar.
	silentAfter = 3 * time.Second
	// maxLosses bounds the connections lost in a row without a byte of progress
	// between: a sidecar that can't be followed any more is given up.
	maxLosses = 4
	// resumePause is the wait before the second resume in a row; it doubles.
	resumePause = 100 * time.Millisecond
)

// errSilent ends a stream on which not even heartbeats come.
var errSilent = errors.New("the connection went silent")

// errEmpty is an answer that is said to be complete and has not begun.
var errEmpty = errors.New("the answer ended before it began")

// opener opens a stream of a run's frames.
type opener func(context.Context, mustardtidev1connect.SidecarServiceClient) (*connect.ServerStreamForClient[mustardtidev1.Frame], error)

// attempt is one try of a task on one target.
type attempt struct {
	entry    *Entry
	member   *mustardtidev1.Member
	task     *task
	out      *output
	received *mtstream.Stream
	// boot is the sidecar's as known before the run was sent.
	boot string
	// number is the attempt's own: the task's moves on.
	number uint32
	sent   time.Time
	status uint32
	acked  uint64
	seen   feedback
}

// attempt runs a task on one target and passes the answer on. It returns nil
// when the caller has the whole answer.
func (e *Entry) attempt(ctx context.Context, member *mustardtidev1.Member, t *task, out *output) *mtrefusal.Refusal {
	if deadline, ok := ctx.Deadline(); ok {
		t.work.Left = durationpb.New(time.Until(deadline))
	}
	a := &attempt{
		entry:    e,
		member:   member,
		task:     t,
		out:      out,
		received: mtstream.New(t.work.GetRun(), t.work.GetAttempt()),
		number:   t.work.GetAttempt(),
		boot:     e.evidence.Boot(member.GetName()),
		sent:     time.Now(),
	}
	refusal, lost := a.follow(ctx, a.run)
	if lost != nil && mtnet.Refused(lost) {
		return mtrefusal.New(mtcode.Unreachable, member.GetName())
	}
	for losses := 1; lost != nil; losses++ {
		if ctx.Err() != nil {
			return a.stopped(ctx)
		}
		if losses > a.lossesAllowed(lost) || mtnet.Refused(lost) || connect.CodeOf(lost) == connect.CodeOutOfRange {
			a.cancelLater()
			return mtrefusal.New(a.lossCode(lost), trace.UserMessage(lost)).WithRan(a.ran())
		}
		if losses > 1 && pause(ctx, resumePause<<(losses-2)) != nil {
			continue
		}
		before := a.received.Offset()
		e.note(mtkind.AttemptResumed, t, member.GetName())
		refusal, lost = a.follow(ctx, a.resume)
		if a.received.Offset() > before {
			losses = 0
		}
	}
	return refusal
}

// lossesAllowed bounds the connections lost in a row. Two silent ones, the
// second of them new, mean a sidecar that does not run: a task that can run
// elsewhere need not wait for it.
func (a *attempt) lossesAllowed(lost error) int {
	if errors.Is(lost, errSilent) && repeatable(a.task) {
		return 1
	}
	return maxLosses
}

func (a *attempt) run(ctx context.Context, sidecar mustardtidev1connect.SidecarServiceClient) (*connect.ServerStreamForClient[mustardtidev1.Frame], error) {
	return sidecar.Run(ctx, connect.NewRequest(&mustardtidev1.RunRequest{Peer: a.entry.peer(), Work: a.task.work, Call: a.task.call}))
}

func (a *attempt) resume(ctx context.Context, sidecar mustardtidev1connect.SidecarServiceClient) (*connect.ServerStreamForClient[mustardtidev1.Frame], error) {
	return sidecar.Resume(ctx, connect.NewRequest(&mustardtidev1.ResumeRequest{
		Peer:    a.entry.peer(),
		Run:     a.task.work.GetRun(),
		Attempt: a.number,
		Offset:  a.received.Offset(),
		Boot:    a.trusted(),
	}))
}

// follow reads one connection's frames until the run ends. Its error says that
// the connection was lost, or was given up because it brought another run's
// frame; the run itself may go on.
func (a *attempt) follow(ctx context.Context, open opener) (*mtrefusal.Refusal, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	// Closing a stream that is not cancelled would read it to its end first.
	defer cancel(nil)
	pool := a.entry.clients.pool(a.member.GetAddress())
	watchdog := time.AfterFunc(silentAfter, func() { cancel(errSilent) })
	defer watchdog.Stop()
	frames, err := open(ctx, pool.sidecar)
	if err != nil {
		return nil, a.lost(ctx, pool, err)
	}
	defer func() {
		cancel(nil)
		_ = frames.Close()
	}()
	for frames.Receive() {
		// The caller may read slowly: that is no silence of the sidecar.
		watchdog.Stop()
		refusal, ended, err := a.take(frames.Msg(), pool)
		if err != nil {
			a.entry.note(mtkind.FrameDropped, a.task, err.Error())
			return nil, a.lost(ctx, pool, err)
		}
		if ended {
			return refusal, nil
		}
		watchdog.Reset(silentAfter)
	}
	return nil, a.lost(ctx, pool, frames.Err())
}

// take passes one frame on; ended says that it was the last one.
func (a *attempt) take(frame *mustardtidev1.Frame, pool *pool) (refusal *mtrefusal.Refusal, ended bool, err error) {
	a.entry.hear(frame.GetPeer())
	data, err := a.received.Take(frame)
	if err != nil {
		return nil, false, err
	}
	a.learn(frame)
	switch step := frame.GetStep().(type) {
	case *mustardtidev1.Frame_Begin:
		a.hear(step.Begin.GetState())
	case *mustardtidev1.Frame_Head:
		a.status = step.Head.GetStatus()
		a.out.start(step.Head, a.member.GetName())
	case *mustardtidev1.Frame_Data:
		if err := a.out.write(data); err != nil {
			a.cancelLater()
			return a.out.refusal(err), true, nil
		}
		a.acknowledge(pool)
	case *mustardtidev1.Frame_Beat:
		a.hear(step.Beat.GetState())
		a.mark(pool, false)
	case *mustardtidev1.Frame_Finish:
		if step.Finish.GetComplete() && a.empty() {
			return nil, false, errEmpty
		}
		a.hear(step.Finish.GetState())
		a.mark(pool, true)
		return a.finish(step.Finish), true, nil
	}
	return nil, false, nil
}

func (a *attempt) finish(finish *mustardtidev1.Finish) *mtrefusal.Refusal {
	a.task.finish = finish
	refusal := mtrefusal.FromMessage(finish.GetRefusal())
	if refusal == nil && !finish.GetComplete() {
		refusal = mtrefusal.New(mtcode.Incomplete, a.member.GetName())
	}
	if refusal != nil {
		if a.status > 0 {
			refusal = refusal.WithRan(mustardtidev1.Ran_YES)
		}
		return refusal
	}
	if err := a.out.end(a.status); err != nil {
		return a.out.refusal(err)
	}
	return nil
}

// acknowledge lets the sidecar's buffer move on.
func (a *attempt) acknowledge(pool *pool) {
	if a.received.Offset()-a.acked >= ackEvery {
		a.mark(pool, false)
	}
}

func (a *attempt) mark(pool *pool, done bool) {
	if !done && a.received.Offset() == 0 {
		return
	}
	a.acked = a.received.Offset()
	pool.acks.add(&mustardtidev1.Mark{
		Run:     a.task.work.GetRun(),
		Attempt: a.number,
		Offset:  a.acked,
		Done:    done,
	})
}

// empty says that no answer has come: a plain service's may be a head alone, a
// model's never is.
func (a *attempt) empty() bool {
	return a.status == 0 || (!a.task.plain() && a.received.Offset() == 0)
}

func (a *attempt) hear(state *mustardtidev1.State) {
	a.entry.evidence.Heard(a.member.GetAddress(), state)
}

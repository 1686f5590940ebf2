package mtsidecar

import (
	"context"
	"time"

	"connectrpc.com/connect"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
	"github.com/mustardtide/mustardtide/internal/observe/mtcode"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
)

// Run takes a request and streams its answer.
func (s *Sidecar) Run(ctx context.Context, ask *connect.Request[mustardtidev1.RunRequest], stream *connect.ServerStream[mustardtidev1.Frame]) error {
	s.hear(ask.Msg.GetPeer())
	work := ask.Msg.GetWork()
	if refusal := s.unfit(work); refusal != nil {
		return s.refuse(work, refusal, stream)
	}
	started := s.start(ask.Msg)
	begin := &mustardtidev1.Frame_Begin{Begin: &mustardtidev1.Begin{State: s.state(), Matched: started.matched}}
	if err := s.send(stream, work, 0, &mustardtidev1.Frame{Step: begin}); err != nil {
		return err
	}
	return s.pump(ctx, work, started, 0, stream)
}

// Resume streams a run's answer from an offset over a new connection.
func (s *Sidecar) Resume(ctx context.Context, ask *connect.Request[mustardtidev1.ResumeRequest], stream *connect.ServerStream[mustardtidev1.Frame]) error {
	s.log.Clock().See(ask.Msg.GetPeer().GetStamp())
	work := &mustardtidev1.Work{Run: ask.Msg.GetRun(), Attempt: ask.Msg.GetAttempt()}
	refusal := s.unknown(ask.Msg.GetBoot())
	known, found := s.runs.bar(runKey{run: work.GetRun(), attempt: work.GetAttempt()}, refusal)
	if !found {
		// At the entry's own offset: it takes no other frame.
		last := &mustardtidev1.Finish{Refusal: refusal.Message()}
		return s.send(stream, work, ask.Msg.GetOffset(), s.finishFrame(ask.Msg.GetOffset(), last))
	}
	return s.pump(ctx, work, known, ask.Msg.GetOffset(), stream)
}

// Ack drops what the entry has.
func (s *Sidecar) Ack(_ context.Context, ask *connect.Request[mustardtidev1.AckRequest]) (*connect.Response[mustardtidev1.AckReply], error) {
	for _, mark := range ask.Msg.GetMarks() {
		key := runKey{run: mark.GetRun(), attempt: mark.GetAttempt()}
		known := s.runs.find(key)
		if known == nil {
			continue
		}
		known.buffer.Ack(mark.GetOffset())
		if mark.GetDone() {
			s.runs.done(key)
		}
	}
	return connect.NewResponse(&mustardtidev1.AckReply{Peer: s.control.Peer()}), nil
}

// Cancel ends a run whose caller is gone and says whether it ran. A run that
// may not be repeated goes on once its target has it: cutting it would lose
// its outcome, which a resend of its key asks for.
func (s *Sidecar) Cancel(_ context.Context, ask *connect.Request[mustardtidev1.CancelRequest]) (*connect.Response[mustardtidev1.CancelReply], error) {
	refusal := s.unknown(ask.Msg.GetBoot())
	known, found := s.runs.bar(runKey{run: ask.Msg.GetRun(), attempt: ask.Msg.GetAttempt()}, refusal)
	reply := &mustardtidev1.CancelReply{Peer: s.control.Peer(), Ran: refusal.Ran()}
	if found {
		reply.Ran = known.stop()
		s.log.Add(mtkind.RunCancelled, &mustardtidev1.Event{Run: ask.Msg.GetRun(), Target: s.process.GetName()})
	}
	return connect.NewResponse(reply), nil
}

// unknown is the answer about a run that this sidecar does not know. It is a
// true "not run" if the asker spoke with this very process before it sent the
// run; an earlier process may have handed it to the target.
func (s *Sidecar) unknown(boot string) *mtrefusal.Refusal {
	refusal := mtrefusal.New(mtcode.RunUnknown, s.process.GetName())
	if boot != s.boot {
		return refusal.WithRan(mustardtidev1.Ran_UNKNOWN)
	}
	return refusal
}

// unfit says why no new work is taken now, or nil.
func (s *Sidecar) unfit(work *mustardtidev1.Work) *mtrefusal.Refusal {
	switch {
	case s.began(work):
		return nil
	case s.leaving.Load():
		return mtrefusal.New(mtcode.Leaving, s.process.GetName())
	case work.GetService() != s.process.GetService():
		// The list lags: another target may have had this address before.
		return mtrefusal.New(mtcode.NoTarget, s.process.GetName()+" runs another service")
	case s.service() == nil:
		return mtrefusal.New(mtcode.SettingsMissing, s.process.GetName())
	case !s.up.Load():
		return mtrefusal.New(mtcode.NoTarget, s.process.GetName()+" is not up")
	default:
		return nil
	}
}

// start begins an attempt in the background: it outlives the connection that
// asked for it. An attempt that is known already is not begun again.
func (s *Sidecar) start(ask *mustardtidev1.RunRequest) *run {
	work := ask.GetWork()
	key := runKey{run: work.GetRun(), attempt: work.GetAttempt()}
	ctx, cancel := context.WithTimeout(s.base, work.GetLeft().AsDuration())
	added := newRun(cancel)
	added.kept = work.GetKey() != ""
	added.matched = s.matched(work)
	s.own(work)
	started, fresh := s.runs.add(key, added)
	if !fresh {
		cancel()
		return started
	}
	go func() {
		defer s.runs.end(key)
		defer cancel()
		expected := s.expect(work)
		finish := s.execute(ctx, ask, started)
		s.settle(expected, finish)
		s.release(work, finish)
		started.buffer.Finish(finish)
		s.acquit(work, finish)
	}()
	return started
}

// execute waits for a slot and runs the request on the target.
func (s *Sidecar) execute(ctx context.Context, ask *mustardtidev1.RunRequest, started *run) *mustardtidev1.Finish {
	if known := s.attach(ctx, ask.GetWork(), started); known != nil {
		return known
	}
	if refusal := s.try(ctx, ask.GetWork()); refusal != nil {
		return refusalFinish(refusal)
	}
	if refusal := s.admit.enter(ctx, s.spread.Snapshot(), ask.GetWork(), started.matched); refusal != nil {
		return refusalFinish(refusal)
	}
	finish := s.handOver(ctx, ask, started)
	s.admit.leave(ask.GetWork(), finish)
	return finish
}

// handOver runs an admitted request on the target.
func (s *Sidecar) handOver(ctx context.Context, ask *mustardtidev1.RunRequest, started *run) *mustardtidev1.Finish {
	if ask.GetWork().GetKey() != "" {
		return s.executeOnce(ctx, ask, started)
	}
	if !started.begin() {
		return &mustardtidev1.Finish{Refusal: mtrefusal.New(mtcode.CallerGone, "").Message()}
	}
	return s.perform(ctx, ask, started, func(f *mustardtidev1.Frame) error { return started.take(ctx, f) })
}

// perform hands a begun run to the target.
func (s *Sidecar) perform(ctx context.Context, ask *mustardtidev1.RunRequest, started *run, emit func(*mustardtidev1.Frame) error) *mustardtidev1.Finish {
	work := ask.GetWork()
	s.note(mtkind.RunBegan, work, "")
	source, times := s.incarnationOf(), runTimes{begun: time.Now()}
	finish, err := call(ctx, s.program(s.service()), work, ask.GetCall(), s.firstly(work, &times, emit))
	if err != nil {
		s.note(mtkind.RunFailed, work, err.Error())
		return &mustardtidev1.Finish{Refusal: s.judge(work, source, times, failure(ctx, started, err)).Message()}
	}
	s.note(mtkind.RunFinished, work, "")
	return finish
}

// firstly tells admission when the first output comes, and notes the time.
func (s *Sidecar) firstly(work *mustardtidev1.Work, times *runTimes, emit func(*mustardtidev1.Frame) error) func(*mustardtidev1.Frame) error {
	told := false
	return func(f *mustardtidev1.Frame) error {
		if !told && f.GetData() != nil {
			told = true
			times.first = time.Now()
			s.admit.first(work)
		}
		return emit(f)
	}
}

func (s *Sidecar) note(kind mtkind.Kind, work *mustardtidev1.Work, text string) {
	s.log.Add(kind, &mustardtidev1.Event{Run: work.GetRun(), Account: work.GetAccount(), Target: s.process.GetName(), Text: text})
}

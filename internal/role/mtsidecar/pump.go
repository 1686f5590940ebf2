package mtsidecar

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
)

// beatEvery is the time between heartbeats of a quiet stream; an entry takes
// three missed ones for a silent connection.
const beatEvery = time.Second

// errReplaced ends the reader of a connection that its entry gave up.
var errReplaced = errors.New("the run was resumed over another connection")

// pump sends a run's answer from an offset to its end, with heartbeats while
// there is nothing to send.
func (s *Sidecar) pump(ctx context.Context, work *mustardtidev1.Work, r *run, offset uint64, stream *connect.ServerStream[mustardtidev1.Frame]) error {
	beat := time.NewTicker(beatEvery)
	defer beat.Stop()
	headed := offset > 0
	replaced := r.attach()
	defer r.detach(replaced)
	for {
		frame, wake, err := s.nextFrame(r, &headed, &offset)
		if err != nil {
			return connect.NewError(connect.CodeOutOfRange, err)
		}
		if frame != nil {
			if err := s.send(stream, work, frame.GetOffset(), frame); err != nil {
				return err
			}
			if frame.GetFinish() != nil {
				return nil
			}
			continue
		}
		select {
		case <-wake:
		case <-replaced:
			return connect.NewError(connect.CodeAborted, errReplaced)
		case <-beat.C:
			state := &mustardtidev1.Frame_Beat{Beat: &mustardtidev1.Beat{State: s.state()}}
			if err := s.send(stream, work, offset, &mustardtidev1.Frame{Step: state}); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// nextFrame returns the next step of the answer, or a channel that closes when
// there may be one.
func (s *Sidecar) nextFrame(r *run, headed *bool, offset *uint64) (*mustardtidev1.Frame, <-chan struct{}, error) {
	if !*headed {
		head, finish, wake := r.buffer.Head()
		if head != nil {
			*headed = true
			return &mustardtidev1.Frame{Step: &mustardtidev1.Frame_Head{Head: head}}, nil, nil
		}
		if finish != nil {
			return s.finishFrame(0, finish), nil, nil
		}
		return nil, wake, nil
	}
	data, finish, wake, err := r.buffer.Next(*offset)
	if err != nil {
		return nil, nil, err
	}
	if len(data) > 0 {
		at := *offset
		*offset += uint64(len(data))
		return &mustardtidev1.Frame{Offset: at, Step: &mustardtidev1.Frame_Data{Data: data}}, nil, nil
	}
	if finish != nil {
		return s.finishFrame(*offset, finish), nil, nil
	}
	return nil, wake, nil
}

// finishFrame copies the finish, which readers share, and adds the state now.
func (s *Sidecar) finishFrame(offset uint64, finish *mustardtidev1.Finish) *mustardtidev1.Frame {
	last := &mustardtidev1.Finish{
		Complete: finish.GetComplete(),
		Prompt:   finish.GetPrompt(),
		Cached:   finish.GetCached(),
		Output:   finish.GetOutput(),
		Refusal:  finish.GetRefusal(),
		State:    s.state(),
	}
	return &mustardtidev1.Frame{Offset: offset, Step: &mustardtidev1.Frame_Finish{Finish: last}}
}

func (s *Sidecar) send(stream *connect.ServerStream[mustardtidev1.Frame], work *mustardtidev1.Work, offset uint64, frame *mustardtidev1.Frame) error {
	frame.Run = work.GetRun()
	frame.Attempt = work.GetAttempt()
	frame.Offset = offset
	if frame.GetData() == nil {
		frame.Peer = s.control.Peer()
	}
	return stream.Send(frame)
}

func (s *Sidecar) refuse(work *mustardtidev1.Work, refusal *mtrefusal.Refusal, stream *connect.ServerStream[mustardtidev1.Frame]) error {
	s.note(mtkind.RunRefused, work, refusal.Error())
	return s.send(stream, work, 0, s.finishFrame(0, &mustardtidev1.Finish{Refusal: refusal.Message()}))
}

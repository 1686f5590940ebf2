package mtentry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"

	"connectrpc.com/connect"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/gen/mustardtide/v1/mustardtidev1connect"
)

// crossedEngine is an engine that now and then sends the answer of an earlier
// request, or that answer's second half.
type crossedEngine struct {
	program http.Handler

	mu      sync.Mutex
	random  *rand.Rand
	earlier []byte
	crossed int
}

func (e *crossedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		e.program.ServeHTTP(w, r)
		return
	}
	own := httptest.NewRecorder()
	e.program.ServeHTTP(own, r)
	e.mu.Lock()
	body, earlier := own.Body.Bytes(), e.earlier
	e.earlier = body
	if earlier != nil && e.random.IntN(4) == 0 {
		e.crossed++
		keep := e.random.IntN(2) * len(body) / 2
		body = append(body[:keep:keep], earlier[min(keep, len(earlier)):]...)
	}
	e.mu.Unlock()
	for name, values := range own.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(own.Code)
	_, _ = w.Write(body)
}

// crossedSidecar is a sidecar, as a faulty build might be, whose streams hold
// frames of other runs, of other attempts and of other offsets.
type crossedSidecar struct {
	mustardtidev1connect.UnimplementedSidecarServiceHandler
	name string

	mu      sync.Mutex
	random  *rand.Rand
	crossed int
	answers map[string][][]byte
}

func (s *crossedSidecar) Offer(context.Context, *connect.Request[mustardtidev1.OfferRequest]) (*connect.Response[mustardtidev1.OfferReply], error) {
	return connect.NewResponse(&mustardtidev1.OfferReply{State: s.state(), Ticket: "any"}), nil
}

func (s *crossedSidecar) Ack(context.Context, *connect.Request[mustardtidev1.AckRequest]) (*connect.Response[mustardtidev1.AckReply], error) {
	return connect.NewResponse(&mustardtidev1.AckReply{}), nil
}

func (s *crossedSidecar) Run(_ context.Context, ask *connect.Request[mustardtidev1.RunRequest], stream *connect.ServerStream[mustardtidev1.Frame]) error {
	var body struct {
		Prompt string
		Tokens int `json:"max_tokens"`
	}
	if err := json.Unmarshal(ask.Msg.GetCall().GetBody(), &body); err != nil {
		return err
	}
	work := ask.Msg.GetWork()
	s.mu.Lock()
	s.answers[work.GetRun()] = pieces(body.Prompt, body.Tokens)
	s.mu.Unlock()
	return s.answer(work.GetRun(), work.GetAttempt(), 0, stream)
}

func (s *crossedSidecar) Resume(_ context.Context, ask *connect.Request[mustardtidev1.ResumeRequest], stream *connect.ServerStream[mustardtidev1.Frame]) error {
	return s.answer(ask.Msg.GetRun(), ask.Msg.GetAttempt(), ask.Msg.GetOffset(), stream)
}

// answer sends a run's frames from an offset, with others among them.
func (s *crossedSidecar) answer(run string, attempt uint32, from uint64, stream *connect.ServerStream[mustardtidev1.Frame]) error {
	s.mu.Lock()
	list := s.answers[run]
	s.mu.Unlock()
	frames := []*mustardtidev1.Frame{
		{Step: &mustardtidev1.Frame_Begin{Begin: &mustardtidev1.Begin{State: s.state()}}},
		{Step: &mustardtidev1.Frame_Head{Head: &mustardtidev1.Head{Status: http.StatusOK, Headers: []*mustardtidev1.Header{{Name: "Content-Type", Value: "text/event-stream"}}}}},
	}
	var offset uint64
	for _, piece := range list {
		if offset >= from {
			frames = append(frames, &mustardtidev1.Frame{Offset: offset, Step: &mustardtidev1.Frame_Data{Data: piece}})
		}
		offset += uint64(len(piece))
	}
	frames = append(frames, &mustardtidev1.Frame{Offset: offset, Step: &mustardtidev1.Frame_Finish{Finish: &mustardtidev1.Finish{Complete: true}}})
	for _, frame := range frames {
		frame.Run, frame.Attempt = run, attempt
		if wrong := s.wrong(frame); wrong != nil {
			if err := stream.Send(wrong); err != nil {
				return err
			}
		}
		if err := stream.Send(frame); err != nil {
			return err
		}
	}
	return nil
}

// wrong returns a frame that does not belong before the given one, or nil.
func (s *crossedSidecar) wrong(next *mustardtidev1.Frame) *mustardtidev1.Frame {
	s.mu.Lock()
	defer s.mu.Unlock()
	const text = `data: {"choices":[{"index":0,"text":"WRONG ","finish_reason":null}]}` + "\n\n"
	data := &mustardtidev1.Frame_Data{Data: []byte(text)}
	end := &mustardtidev1.Frame_Finish{Finish: &mustardtidev1.Finish{Complete: true}}
	frame := &mustardtidev1.Frame{Run: next.GetRun(), Attempt: next.GetAttempt(), Offset: next.GetOffset()}
	switch s.random.IntN(60) {
	case 0:
		frame.Run, frame.Step = "ANOTHERRUN", data
	case 1:
		frame.Run, frame.Step = "ANOTHERRUN", end
	case 2:
		frame.Attempt, frame.Step = next.GetAttempt()+1, data
	case 3:
		frame.Offset, frame.Step = next.GetOffset()+40, data
	case 4:
		frame.Offset, frame.Step = next.GetOffset()+40, end
	case 5, 6, 7, 8:
		// An end without an answer, where a faulty sidecar has lost its head.
		if next.GetBegin() == nil {
			return nil
		}
		frame.Step = end
	default:
		return nil
	}
	s.crossed++
	return frame
}

func (s *crossedSidecar) state() *mustardtidev1.State {
	return &mustardtidev1.State{Target: s.name, Incarnation: "1", Ready: true, Boot: "1"}
}

// pieces is the stand-in engine's stream for a prompt.
func pieces(prompt string, tokens int) [][]byte {
	var list [][]byte
	for i := range tokens {
		list = append(list, fmt.Appendf(nil, "data: {\"choices\":[{\"index\":0,\"text\":\"w%d \",\"finish_reason\":null}]}\n\n", (len(prompt)/4*31+i*7)%1000))
	}
	return append(list, []byte(`data: {"choices":[{"index":0,"text":"","finish_reason":"stop"}]}`+"\n\n"))
}

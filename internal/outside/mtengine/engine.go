// Package mtengine speaks a model engine's protocol: the published completions
// API with server-sent events, its metrics and its cache events. Another
// engine's wire format needs a change here only.
package mtengine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/gravitational/trace"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
	"github.com/mustardtide/mustardtide/internal/observe/mtcode"
)

// errorBody bounds what is kept of an engine's error answer.
const errorBody = 4 << 10

// Engine calls one engine. It is safe for concurrent use.
type Engine struct {
	base   string
	http   *http.Client
	echoes atomic.Bool
}

// New returns an adapter for the engine at base.
func New(base string, transport http.RoundTripper) *Engine {
	return &Engine{base: strings.TrimSuffix(base, "/"), http: &http.Client{Transport: transport, CheckRedirect: stay}}
}

// Run sends a completions request and emits head and payload as they come.
// The payload of a streamed answer is its events without the closing [DONE].
// The finish it returns is complete only if the engine said that the answer
// ended; an answer that breaks off gives an error.
func (e *Engine) Run(ctx context.Context, work *mustardtidev1.Work, call *mustardtidev1.Call, emit func(*mustardtidev1.Frame) error) (*mustardtidev1.Finish, error) {
	response, err := e.post(ctx, work, call)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return e.refused(response, emit)
	}
	if err := emit(headFrame(response)); err != nil {
		return nil, trace.Wrap(err)
	}
	mine := &owner{want: requestID(work), echoes: &e.echoes}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		return readStream(response.Body, mine, emit)
	}
	return readWhole(response.Body, mine, emit)
}

// stay follows no redirect: that would be a second request.
func stay(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func (e *Engine) post(ctx context.Context, work *mustardtidev1.Work, call *mustardtidev1.Call) (*http.Response, error) {
	body := extend(call.GetBody(), work.GetSalt())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, e.base+call.GetPath(), bytes.NewReader(body))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(requestIDHeader, requestID(work))
	response, err := e.http.Do(request)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "the engine can't be reached")
	}
	return response, nil
}

// refused passes an engine's complaint about a request on as the run's answer.
// An engine that can't answer any request is an error.
func (e *Engine) refused(response *http.Response, emit func(*mustardtidev1.Frame) error) (*mustardtidev1.Finish, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, errorBody))
	if err != nil {
		return nil, trace.ConnectionProblem(err, "the engine's answer broke off")
	}
	if response.StatusCode >= http.StatusInternalServerError {
		return nil, mtrefusal.New(mtcode.TargetRefused, response.Status).WithRan(mustardtidev1.Ran_UNKNOWN)
	}
	if err := emit(headFrame(response)); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := emit(dataFrame(body)); err != nil {
		return nil, trace.Wrap(err)
	}
	return &mustardtidev1.Finish{Complete: true}, nil
}

// extend puts the fields that the router adds in front of the caller's. The
// entry has refused bodies that hold these keys themselves.
func extend(body []byte, salt string) []byte {
	rest := bytes.TrimLeft(body, " \t\r\n")
	if len(rest) < 2 || rest[0] != '{' {
		return body
	}
	encoded, err := json.Marshal(salt)
	if err != nil {
		return body
	}
	extended := make([]byte, 0, len(body)+len(encoded)+64)
	extended = append(extended, `{"cache_salt":`...)
	extended = append(extended, encoded...)
	extended = append(extended, ',')
	return append(extended, rest[1:]...)
}

func headFrame(response *http.Response) *mustardtidev1.Frame {
	head := &mustardtidev1.Head{Status: uint32(response.StatusCode)}
	if kind := response.Header.Get("Content-Type"); kind != "" {
		head.Headers = append(head.Headers, &mustardtidev1.Header{Name: "Content-Type", Value: kind})
	}
	return &mustardtidev1.Frame{Step: &mustardtidev1.Frame_Head{Head: head}}
}

func dataFrame(data []byte) *mustardtidev1.Frame {
	return &mustardtidev1.Frame{Step: &mustardtidev1.Frame_Data{Data: data}}
}

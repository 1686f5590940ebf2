// Package mtservice calls a plain service, to which the system routes as well.
package mtservice

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/gravitational/trace"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/request/mtending"
	"github.com/mustardtide/mustardtide/internal/request/mtevents"
)

// pieceSize is the most that one piece of an answer holds.
const pieceSize = 32 << 10

// runHeader names the run to the service.
const runHeader = "Mustardtide-Run"

// Service calls one instance of a plain service.
type Service struct {
	base string
	http *http.Client
}

// New returns an adapter for the service at base.
func New(base string, transport http.RoundTripper) *Service {
	return &Service{base: strings.TrimSuffix(base, "/"), http: &http.Client{Transport: transport, CheckRedirect: stay}}
}

// stay follows no redirect: that would be a second request.
func stay(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// hopByHop names the headers that belong to one connection (RFC 9110, 7.6.1).
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// Run sends the call and emits head and body as they come. An answer that
// breaks off gives an error.
func (s *Service) Run(ctx context.Context, work *mustardtidev1.Work, call *mustardtidev1.Call, emit func(*mustardtidev1.Frame) error) (*mustardtidev1.Finish, error) {
	// A plain ReadCloser, not a bytes.Reader: net/http sends a request with an
	// Idempotency-Key again by itself when a kept connection turns out to be
	// closed, if it can rewind the body or has none. That would be a second run.
	body := io.NopCloser(bytes.NewReader(call.GetBody()))
	request, err := http.NewRequestWithContext(ctx, call.GetMethod(), s.base+call.GetPath(), body)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	request.ContentLength = int64(len(call.GetBody()))
	for _, h := range call.GetHeaders() {
		request.Header.Add(h.GetName(), h.GetValue())
	}
	request.Header.Set(runHeader, work.GetRun())
	response, err := s.http.Do(request)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "the service can't be reached")
	}
	defer response.Body.Close()
	events := call.GetMethod() != http.MethodHead && mtevents.Carried(response.Header.Get("Content-Type"))
	if events {
		// The caller must not have all that it was promised when the stream turns out to be
		// broken off.
		response.Header.Del("Content-Length")
	}
	if err := emit(headFrame(response)); err != nil {
		return nil, trace.Wrap(err)
	}
	return pass(response.Body, mtending.New(response.ContentLength, len(response.TransferEncoding) > 0, events), emit)
}

// Healthy reports whether the service answers.
func (s *Service) Healthy(ctx context.Context) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, s.base+"/health", http.NoBody)
	if err != nil {
		return trace.Wrap(err)
	}
	response, err := s.http.Do(request)
	if err != nil {
		return trace.ConnectionProblem(err, "the service can't be reached")
	}
	return trace.Wrap(response.Body.Close())
}

func pass(body io.Reader, ending *mtending.Ending, emit func(*mustardtidev1.Frame) error) (*mustardtidev1.Finish, error) {
	for {
		piece := make([]byte, pieceSize)
		n, err := body.Read(piece)
		ending.Take(piece[:n])
		if n > 0 {
			if err := emit(&mustardtidev1.Frame{Step: &mustardtidev1.Frame_Data{Data: piece[:n]}}); err != nil {
				return nil, trace.Wrap(err)
			}
		}
		if err == nil {
			continue
		}
		if err := ending.End(err); err != nil {
			return nil, trace.ConnectionProblem(err, "the service's answer broke off")
		}
		return &mustardtidev1.Finish{Complete: true}, nil
	}
}

func headFrame(response *http.Response) *mustardtidev1.Frame {
	head := &mustardtidev1.Head{Status: uint32(response.StatusCode)}
	header := response.Header.Clone()
	for _, list := range header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		header.Del(name)
	}
	for name, values := range header {
		for _, value := range values {
			head.Headers = append(head.Headers, &mustardtidev1.Header{Name: name, Value: value})
		}
	}
	return &mustardtidev1.Frame{Step: &mustardtidev1.Frame_Head{Head: head}}
}

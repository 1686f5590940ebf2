// Package mtcaller is the API that callers see: the published completions API,
// plain services under /v1/services/NAME/, and errors with a numbered code.
package mtcaller

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
	"github.com/mustardtide/mustardtide/internal/observe/mtcode"
)

// Headers of this API beside the published ones.
const (
	HeaderCode     = "Mustardtide-Code"
	HeaderRun      = "Mustardtide-Run"
	HeaderRan      = "Mustardtide-Ran"
	HeaderTarget   = "Mustardtide-Target"
	HeaderDeadline = "Mustardtide-Deadline"
	HeaderKey      = "Idempotency-Key"
)

const (
	bearer       = "Bearer "
	servicesPath = "/v1/services/"
)

// Request is a caller's request as read from HTTP.
type Request struct {
	http   *http.Request
	name   string
	rest   string
	body   []byte
	prompt []byte
	fields fields
}

// Bearer returns the caller's key, or an empty text.
func Bearer(r *http.Request) string {
	value := r.Header.Get("Authorization")
	if len(value) < len(bearer) || !strings.EqualFold(value[:len(bearer)], bearer) {
		return ""
	}
	return value[len(bearer):]
}

// Read reads a request whose body holds at most limit bytes.
func Read(w http.ResponseWriter, r *http.Request, limit int64) (*Request, error) {
	if !r.ProtoAtLeast(1, 1) {
		// HTTP/1.0 ends a body by closing the connection: an answer that broke
		// off would look whole.
		return nil, mtrefusal.New(mtcode.BadProtocol, r.Proto).AsFinal()
	}
	request := &Request{http: r}
	body, err := readBody(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, limit)
	if err != nil {
		return nil, bodyRefusal(err)
	}
	request.body = body
	if request.Plain() {
		return request.plain()
	}
	return request.model()
}

// firstRead is the most that is allocated before any of a body has come.
const firstRead = 64 << 10

// readBody reads a body, into one allocation where its length is told and small.
func readBody(body io.Reader, told, limit int64) ([]byte, error) {
	var data bytes.Buffer
	if told >= 0 && told <= limit {
		data.Grow(int(min(told, firstRead)) + bytes.MinRead)
	}
	_, err := data.ReadFrom(body)
	return data.Bytes(), err
}

// Name is the model or service that the caller asks for.
func (r *Request) Name() string { return r.name }

// Plain says that the request is for a plain service.
func (r *Request) Plain() bool { return strings.HasPrefix(r.http.URL.Path, servicesPath) }

// Method is the HTTP method.
func (r *Request) Method() string { return r.http.Method }

// Path is what the target is called with: the API's path for models, the rest
// of the path and the query for plain services.
func (r *Request) Path() string { return r.rest }

// Body is the request's body; it must not be changed.
func (r *Request) Body() []byte { return r.body }

// Prompt is the canonical prompt; empty for plain services.
func (r *Request) Prompt() []byte { return r.prompt }

// Stream says that the caller wants server-sent events.
func (r *Request) Stream() bool { return r.fields.Stream }

// Tokens is the most tokens of output that the caller wants; 0 if not given.
func (r *Request) Tokens() int { return r.fields.tokens() }

// Key is the caller's Idempotency-Key.
func (r *Request) Key() string { return r.http.Header.Get(HeaderKey) }

// Deadline is the caller's deadline, or 0 if none is given.
func (r *Request) Deadline() (time.Duration, error) {
	text := r.http.Header.Get(HeaderDeadline)
	if text == "" {
		return 0, nil
	}
	deadline, err := time.ParseDuration(text)
	if err != nil || deadline <= 0 {
		return 0, mtrefusal.New(mtcode.BadDeadline, text).AsFinal()
	}
	return deadline, nil
}

// Header returns the headers that a plain service gets.
func (r *Request) Header() http.Header {
	kept := r.http.Header.Clone()
	for _, list := range kept.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range []string{"Authorization", "Connection", "Keep-Alive", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", HeaderDeadline} {
		kept.Del(name)
	}
	return kept
}

func (r *Request) plain() (*Request, error) {
	// The path goes on as it was written: its escapes are the service's matter.
	rest := strings.TrimPrefix(r.http.URL.EscapedPath(), servicesPath)
	name, path, _ := strings.Cut(rest, "/")
	r.name = name
	r.rest = "/" + path
	if query := r.http.URL.RawQuery; query != "" {
		r.rest += "?" + query
	}
	return r, nil
}

func bodyRefusal(err error) error {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return mtrefusal.New(mtcode.BodyTooLarge, err.Error()).AsFinal()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return mtrefusal.New(mtcode.SlowBody, "").AsFinal()
	}
	return mtrefusal.New(mtcode.BadBody, err.Error()).AsFinal()
}

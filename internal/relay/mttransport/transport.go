// Package mttransport sends requests of net/http's clients over mtlink, so that all responses of
// HTTP/1.1 are read and checked alike.
package mttransport

import (
	"cmp"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/mustardtide/mustardtide/internal/relay/mtlink"
)

const (
	// idleTime is how long idle connections are kept, idlePerHost how many to one address.
	idleTime    = 90 * time.Second
	idlePerHost = 64
)

// Transport is an http.RoundTripper for plain HTTP/1.1, with or without TLS. It reads a request's body
// before it sends it, follows no proxy and asks for no compression. A request is sent again only if a
// kept connection turns out to be closed before any byte of the response, and its method is safe. It
// is safe for concurrent use.
type Transport struct {
	plain  *mtlink.Pool
	secure *mtlink.Pool
	// sweeping is set while a sweep of the idle connections is due.
	sweeping atomic.Bool
}

// New returns a transport that dials the hosts of its requests, HOST:PORT each.
func New(dial func(ctx context.Context, address string) (net.Conn, error)) *Transport {
	t := &Transport{}
	t.plain = t.pool(dial)
	t.secure = t.pool(func(ctx context.Context, address string) (net.Conn, error) { return secured(ctx, dial, address) })
	return t
}

func (t *Transport) pool(dial func(ctx context.Context, address string) (net.Conn, error)) *mtlink.Pool {
	pool := mtlink.NewPool(dial, func() {})
	pool.KeepIdle(idleTime, idlePerHost)
	return pool
}

// secured dials and shakes hands.
func secured(ctx context.Context, dial func(ctx context.Context, address string) (net.Conn, error), address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	raw, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	conn := tls.Client(raw, &tls.Config{ServerName: host, MinVersion: tls.VersionTLS12})
	if err := conn.HandshakeContext(ctx); err != nil {
		return nil, trace.NewAggregate(err, raw.Close())
	}
	return conn, nil
}

// RoundTrip sends a request and returns the head of its response, whose body has to be closed. An
// error of the request's context is returned as it is.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	pool, address, err := t.route(request)
	if err != nil {
		return nil, trace.NewAggregate(err, closeBody(request))
	}
	body, err := readBody(request)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	for {
		link, err := pool.Take(request.Context(), address)
		if err != nil {
			return nil, failure(request.Context(), err)
		}
		response, err := t.exchange(request, body, link)
		if err == nil {
			return response, nil
		}
		if request.Context().Err() != nil || !link.Reused() || link.Answered() || !safe(request.Method) {
			return nil, failure(request.Context(), err)
		}
	}
}

// route returns the pool and the address for a request.
func (t *Transport) route(request *http.Request) (*mtlink.Pool, string, error) {
	pool, port := t.plain, "80"
	switch request.URL.Scheme {
	case "http":
	case "https":
		pool, port = t.secure, "443"
	default:
		return nil, "", trace.BadParameter("%q is neither http nor https", request.URL.Scheme)
	}
	if request.URL.Port() != "" {
		port = request.URL.Port()
	}
	return pool, net.JoinHostPort(request.URL.Hostname(), port), nil
}

// exchange sends a request over a connection and reads the head of its response.
func (t *Transport) exchange(request *http.Request, body []byte, link *mtlink.Link) (*http.Response, error) {
	stop := context.AfterFunc(request.Context(), link.Close)
	host := cmp.Or(request.Host, request.URL.Host)
	method := cmp.Or(request.Method, http.MethodGet)
	err := link.Send(method, request.URL.RequestURI(), host, outgoing(request), body)
	var response *http.Response
	if err == nil {
		response, err = link.Receive(method, func(*http.Response) bool { return true })
	}
	if err != nil {
		stop()
		link.Close()
		return nil, trace.Wrap(err)
	}
	response.Request = request
	response.Body = &responseBody{ReadCloser: response.Body, transport: t, context: request.Context(), link: link, stop: stop, empty: response.ContentLength == 0}
	return response, nil
}

// outgoing returns a request's fields without those that its connection sets.
func outgoing(request *http.Request) http.Header {
	header := request.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	for _, name := range []string{"Host", "Content-Length", "Transfer-Encoding", "Trailer"} {
		header.Del(name)
	}
	if request.Close {
		header.Set("Connection", "close")
	}
	return header
}

func readBody(request *http.Request) ([]byte, error) {
	if request.Body == nil {
		return nil, nil
	}
	var body []byte
	var err error
	if request.ContentLength > 0 {
		body = make([]byte, request.ContentLength)
		_, err = io.ReadFull(request.Body, body)
	} else {
		body, err = io.ReadAll(request.Body)
	}
	return body, trace.NewAggregate(err, request.Body.Close())
}

func closeBody(request *http.Request) error {
	if request.Body == nil {
		return nil
	}
	return request.Body.Close()
}

// safe reports whether a method changes nothing at its target (RFC 9110, 9.2.1).
func safe(method string) bool {
	return slices.Contains([]string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, ""}, method)
}

// failure returns the error of a context that has ended, which explains any other.
func failure(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return trace.Wrap(err)
}

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() { t.sweep(func(string) bool { return false }) }

func (t *Transport) sweep(used func(address string) bool) {
	t.plain.Sweep(used)
	t.secure.Sweep(used)
}

// kept lets connections that stay idle be closed in time, also if no request follows.
func (t *Transport) kept() {
	if !t.sweeping.CompareAndSwap(false, true) {
		return
	}
	time.AfterFunc(idleTime, func() {
		t.sweeping.Store(false)
		t.sweep(func(string) bool { return true })
		if t.plain.Idle()+t.secure.Idle() > 0 {
			t.kept()
		}
	})
}

package mttransport

import (
	"context"
	"errors"
	"io"
	"sync"

	"github.com/mustardtide/mustardtide/internal/relay/mtlink"
)

// responseBody is the body of a response. It gives its connection back at its end, and closes it if
// it is closed before.
type responseBody struct {
	io.ReadCloser
	transport *Transport
	context   context.Context
	link      *mtlink.Link
	// stop reports whether the context has not closed the connection, and never will.
	stop func() bool
	// empty reports whether the response tells that it has no body.
	empty bool
	once  sync.Once
}

// Read reads from the body. An error of the request's context is returned as it is.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		b.release()
		return n, io.EOF
	default:
		return n, failure(b.context, err)
	}
}

// Close ends the exchange.
func (b *responseBody) Close() error {
	if b.empty {
		// Its end has not been read if nothing was asked for.
		_, _ = b.ReadCloser.Read(nil)
		b.release()
	}
	b.once.Do(func() {
		b.stop()
		b.link.Close()
	})
	return nil
}

// release gives the connection back.
func (b *responseBody) release() {
	b.once.Do(func() {
		if !b.stop() {
			b.link.Close()
			return
		}
		b.link.Release(0)
		b.transport.kept()
	})
}

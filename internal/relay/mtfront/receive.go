package mtfront

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/mustardtide/mustardtide/internal/admission/mtreservation"
	"github.com/mustardtide/mustardtide/internal/relay/mtlink"
	"github.com/mustardtide/mustardtide/internal/request/mtbody"
	"github.com/mustardtide/mustardtide/internal/role/mtserver"
	"github.com/mustardtide/mustardtide/platform/mtspeech"
)

const (
	// partBytes is what one part of a prompt takes until its request ends, however short it is in the
	// head. fewParts of them are part of what any request takes.
	partBytes = 256
	fewParts  = 16
	// memoryAgain is when a caller whose request found no memory should ask again: the first bodies
	// that wait are broken off or answered by then. Half of it is random.
	memoryAgain = time.Second
	// restBody and restTime bound what is read of a small body whose request is refused, so that its
	// connection can be kept.
	restBody = 16 << 10
	restTime = 50 * time.Millisecond
	// lingerBody and lingerTime bound what is read after a refusal of a body that is still coming:
	// closing a connection with unread bytes resets it, which can take the answer along.
	lingerBody = 256 << 10
	lingerTime = 500 * time.Millisecond
	// longBody is the size from which a body is released before its request ends.
	longBody = 64 << 10
)

// receive reads the whole request, or refuses it.
func (r *request) receive(ctx context.Context) bool {
	err := r.readBody(ctx)
	if err == nil {
		err = r.decodeParts(ctx)
	}
	whole := r.memory.Received()
	if err == nil && whole {
		r.received = true
		mtserver.Connection(r.in.Context()).Received()
		return true
	}
	r.body = nil
	r.memory.Release()
	switch {
	case !whole:
		r.rejectForMemory(mtreservation.ErrBroken)
	case errors.Is(err, mtbody.ErrLarge), errors.Is(err, mtreservation.ErrLarge):
		r.deny(http.StatusRequestEntityTooLarge, err.Error())
	case errors.Is(err, mtreservation.ErrFull):
		r.rejectForMemory(err)
	default:
		r.left("the body broke off")
		r.abort()
	}
	return false
}

func (r *request) rejectForMemory(err error) {
	r.reject(err.Error(), memoryAgain/2+rand.N(memoryAgain))
}

// readBody reads the whole body: a request that is sent to a second target needs it again.
func (r *request) readBody(ctx context.Context) error {
	if r.in.Body == nil || r.in.Body == http.NoBody {
		return nil
	}
	if deadline, ok := ctx.Deadline(); ok {
		// A caller that stops in the middle of its body must not hold the entry.
		_ = r.control.SetReadDeadline(deadline)
	}
	r.openMemory()
	body, err := mtbody.Read(r.in.Body, r.in.ContentLength, r.bodyLimit(), held{ctx: ctx, memory: r.memory})
	if err == nil {
		r.body = body
		_ = r.control.SetReadDeadline(time.Time{})
	}
	return err
}

// bodyLimit is the greatest size of a body.
func (r *request) bodyLimit() int64 {
	limit := int64(defaultBody)
	if most := r.catalog.Limits().GetBody(); most > 0 {
		limit = most
	}
	return limit
}

// openMemory lets what the request holds count. It can be broken off until the request is received.
func (r *request) openMemory() {
	if r.memory == nil {
		r.memory = r.front.memory.Open(r.account.GetName(), func() { mtserver.StopReading(r.control) })
	}
}

// held lets a body take memory.
type held struct {
	ctx    context.Context
	memory *mtreservation.Reservation
}

func (h held) Grow(n int64) error { return h.memory.Grow(h.ctx, n) }

func (h held) Progress() { h.memory.Progress() }

// decodeParts reads the parts of the prompt, which take many times their bytes of the head, once the
// request has come whole.
func (r *request) decodeParts(ctx context.Context) error {
	if count := mtspeech.CountParts(r.in.Header); count > fewParts {
		r.openMemory()
		if err := r.memory.Grow(ctx, int64(count)*partBytes); err != nil {
			return err
		}
	}
	mtspeech.DecodeParts(r.in.Header, r.ask)
	return nil
}

// holdAnswer lets a plain answer that is held grow, and reports whether there is memory.
func (r *request) holdAnswer(from, to int) bool {
	if r.memory == nil {
		r.memory = r.front.memory.Open(r.account.GetName(), nil)
	}
	if !r.memory.TryGrow(int64(to)) {
		return false
	}
	r.memory.Shrink(int64(from))
	return true
}

// releaseBody releases a long body that no other target can get any more.
func (r *request) releaseBody(link *mtlink.Link) {
	if r.body.Held() < longBody || r.backup != nil || r.repeatable() && r.tries < int(r.route.GetAttempts()) || !link.Written() {
		return
	}
	// It identifies the request if its target crashes.
	r.wholeRequest()
	r.memory.Shrink(r.body.Held())
	r.body = nil
}

// readRest reads what is left of a small body before a refusal, unless its caller waits to be asked
// for it.
func (r *request) readRest() {
	if r.received || r.in.ContentLength > restBody || r.in.Header.Get("Expect") != "" {
		return
	}
	_ = r.control.SetReadDeadline(time.Now().Add(restTime))
	if n, err := io.CopyN(io.Discard, r.in.Body, restBody+1); errors.Is(err, io.EOF) && n <= restBody {
		r.received = true
		_ = r.control.SetReadDeadline(time.Time{})
	}
}

// linger reads on for a moment after a refusal of a request that has not come whole.
func (r *request) linger() {
	mtserver.Connection(r.in.Context()).Refused()
	// A caller that has gone reads no refusal.
	_ = r.control.Flush()
	_ = r.control.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, r.in.Body, lingerBody)
	// The server would read on without a bound of time.
	mtserver.StopReading(r.control)
}

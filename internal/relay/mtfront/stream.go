package mtfront

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/placement/mtboard"
	"github.com/mustardtide/mustardtide/internal/relay/mtlink"
	"github.com/mustardtide/mustardtide/internal/request/mtpatience"
)

// stream passes a stream's events on as they come.
func (r *request) stream(ctx context.Context, choice *mtboard.Choice, link *mtlink.Link, response *http.Response, answer *fleetv1.Answer) result {
	if r.delivered == nil {
		r.head(response)
		r.openEnd()
		r.trackDelivery()
		r.out.WriteHeader(response.StatusCode)
	}
	r.patience = mtpatience.New(r.route.GetAim().AsDuration(), r.route.GetGap().AsDuration())
	link.BoundFraming(r.patience.Span())
	count, err := r.copyEvents(response.Body, func() { r.pinBuild(choice, answer) })
	r.observePause()
	var gone *callerError
	switch {
	case errors.As(err, &gone):
		r.abandon(choice, link, "the caller does not read")
	case err != nil && r.in.Context().Err() != nil:
		r.abandon(choice, link, "the caller closed its connection")
	case err != nil && ctx.Err() == nil && r.delivered != nil && r.delivered.Possible():
		r.endBroken(ctx, choice, link, err)
		return broken{why: "the stream broke off: " + err.Error()}
	case err != nil:
		return r.cut(ctx, choice, link, err)
	}
	choice.End(mtboard.Succeeded{})
	r.release(link, answer)
	r.done(response.StatusCode, choice, count)
	return answered{}
}

// openEnd leaves the length of a body that is passed on as it comes untold: it may turn out to
// be broken off when the target has sent all of it, and another target may go on with it.
func (r *request) openEnd() { r.out.Header().Del("Content-Length") }

// abandon ends a send whose caller is gone.
func (r *request) abandon(choice *mtboard.Choice, link *mtlink.Link, why string) {
	link.Close()
	choice.End(mtboard.Abandoned{})
	r.left(why)
	r.abort()
}

// callerError is a failure to write to the caller.
type callerError struct{ error }

// pinBuild restricts the request to the software version of the target whose events the caller is
// about to get first.
func (r *request) pinBuild(choice *mtboard.Choice, answer *fleetv1.Answer) {
	if r.opened {
		return
	}
	r.opened = true
	build := choice.Build()
	if other := answer.GetTarget(); other != "" && other != choice.Target() {
		build = ""
	}
	r.query.Pin(build)
	if r.route.GetResumable() {
		r.publishOrigin(build)
	}
}

// copyEvents passes bytes on as they come; of a stream that is resumable or has a copy only whole
// events, so that another target can go on after the last of them. It calls open before it
// passes any on. What comes with the bytes that pass a bound is not passed on.
func (r *request) copyEvents(from io.Reader, open func()) (int, error) {
	buffer := make([]byte, copySize)
	if r.delivered != nil {
		r.delivered.Begin()
	}
	count := 0
	last := time.Now()
	measured := r.newStretch()
	for {
		asked := time.Now()
		n, err := from.Read(buffer)
		r.pause = max(r.pause, time.Since(last))
		last = time.Now()
		chunk := buffer[:n]
		if n > 0 && r.bodyAt.IsZero() {
			r.bodyAt = last
		}
		events := r.ending.Events()
		closed := r.ending.Take(chunk)
		measured.take(r.ending.Events(), r.sentAt)
		if passed := r.bounded(last.Sub(asked), n, r.ending.Events() > events, n-closed); passed != nil {
			return count, r.judgeEnd(passed)
		}
		if r.delivered != nil {
			chunk = r.delivered.Take(chunk, closed)
		}
		if len(chunk) > 0 {
			open()
		}
		if failure := r.pass(chunk); failure != nil {
			return count, failure
		}
		count += len(chunk)
		if err != nil {
			return count, r.judgeEnd(err)
		}
	}
}

// pass writes a part of a stream to the caller at once.
func (r *request) pass(chunk []byte) error {
	if len(chunk) == 0 {
		return nil
	}
	if _, err := (hurried{r}).Write(chunk); err != nil {
		return &callerError{err}
	}
	if err := r.control.Flush(); err != nil {
		return &callerError{err}
	}
	return nil
}

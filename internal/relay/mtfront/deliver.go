package mtfront

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	"github.com/mustardtide/mustardtide/internal/placement/mtboard"
	"github.com/mustardtide/mustardtide/internal/relay/mtlink"
	"github.com/mustardtide/mustardtide/internal/request/mtending"
	"github.com/mustardtide/mustardtide/internal/request/mtevents"
	"github.com/mustardtide/mustardtide/platform/mtspeech"
)

const (
	// wholeBody is the size up to which a plain answer is read before its head is
	// passed on, while there is memory: one that breaks off can then still be replaced by a clear
	// failure.
	wholeBody = 256 << 10
	// copySize is how much of a stream is passed on at once.
	copySize = 16 << 10
	// drainBody and drainTime bound what is read of an answer that nobody gets: its request waits
	// meanwhile.
	drainBody = 64 << 10
	drainTime = 200 * time.Millisecond
)

// deliver passes an answer on.
func (r *request) deliver(ctx context.Context, choice *mtboard.Choice, link *mtlink.Link, response *http.Response, answer *fleetv1.Answer) result {
	success := response.StatusCode < http.StatusMultipleChoices
	if success && !answer.GetSealed() {
		link.Close()
		choice.End(mtboard.Failed{})
		return broken{why: "a success without the target's seal"}
	}
	if r.delivered != nil && !success {
		drain(link, response)
		r.release(link, answer)
		choice.End(mtboard.Failed{})
		return broken{why: "the resumed stream got " + response.Status}
	}
	streams := r.route.GetRepeat() == fleetv1.Repeat_REPEAT_STREAM && success && r.hasBody(response)
	events := streams || mtevents.Carried(response.Header.Get("Content-Type")) && r.hasBody(response)
	r.ending = mtending.New(response.ContentLength, len(response.TransferEncoding) > 0, events)
	if streams {
		return r.stream(ctx, choice, link, response, answer)
	}
	return r.whole(ctx, choice, link, response, answer)
}

// hasBody says that an answer may have a body (RFC 9112, 6.3).
func (r *request) hasBody(response *http.Response) bool {
	return r.in.Method != http.MethodHead && response.StatusCode != http.StatusNoContent && response.StatusCode != http.StatusNotModified
}

// whole reads a plain answer to its end and then passes it on.
func (r *request) whole(ctx context.Context, choice *mtboard.Choice, link *mtlink.Link, response *http.Response, answer *fleetv1.Answer) result {
	r.patience = nil
	body, ended, err := r.readHeld(response)
	if len(body) > 0 {
		r.bodyAt = time.Now()
	}
	r.ending.Take(body)
	if err == nil && ended {
		err = io.EOF
	}
	if err != nil {
		err = r.judgeEnd(err)
	}
	if err != nil {
		return r.lost(ctx, choice, link, err)
	}
	if failedByTarget(response) {
		choice.End(mtboard.Failed{})
		if r.route.GetRepeat() == fleetv1.Repeat_REPEAT_SAFE && r.tries < int(r.route.GetAttempts()) &&
			r.front.allowance(r.service.GetName()).Remaining(r.front.entries()) >= 1 {
			r.release(link, answer)
			return broken{why: "the target failed it: " + response.Status}
		}
	}
	r.head(response)
	switch {
	case ended && response.ContentLength < 0:
		r.out.Header().Set("Content-Length", strconv.Itoa(len(body)))
	case !ended && mtevents.Carried(response.Header.Get("Content-Type")):
		r.openEnd()
	}
	r.out.WriteHeader(response.StatusCode)
	size := len(body)
	err = r.writeBody(body)
	if err == nil && !ended {
		var more int
		r.room = plainRoom(response)
		more, err = r.copyEvents(response.Body, func() {})
		size += more
	}
	if err != nil {
		return r.cut(ctx, choice, link, err)
	}
	choice.End(mtboard.Succeeded{})
	r.release(link, answer)
	r.done(response.StatusCode, choice, size)
	return answered{}
}

// failedByTarget says that the target itself failed the request.
func failedByTarget(response *http.Response) bool {
	return response.StatusCode >= http.StatusInternalServerError
}

// head passes status-independent headers on.
func (r *request) head(response *http.Response) {
	mtspeech.Returned(r.out.Header(), response.Header)
	if response.ContentLength >= 0 {
		r.out.Header().Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	if r.front.closing.Load() != nil {
		r.out.Header().Set("Connection", "close")
	}
}

// cut ends an answer whose head the caller has, so that it does not look whole.
func (r *request) cut(ctx context.Context, choice *mtboard.Choice, link *mtlink.Link, err error) result {
	r.endBroken(ctx, choice, link, err)
	r.front.trail.Warn(mtkind.RequestFailed, append(r.fields(), append(r.ended(), zap.String("target", choice.Target()),
		zap.String("why", "the answer broke off: "+err.Error()))...)...)
	r.abort()
	return answered{}
}

// done logs a whole answer.
func (r *request) done(status int, choice *mtboard.Choice, size int) {
	if status < http.StatusMultipleChoices && size > 0 {
		r.acquit(choice)
	}
	r.dropBackup(true)
	r.front.histogram(`answer_seconds{route="` + r.route.GetName() + `"}`).Observe(time.Since(r.begun))
	r.front.trail.Metrics().Add(`requests_total{route="`+r.route.GetName()+`",status="`+strconv.Itoa(status)+`"}`, 1)
	late := r.path.Cause(r.first, r.route.GetAim().AsDuration(), r.pause, r.route.GetGap().AsDuration())
	if late != "" {
		r.front.trail.Metrics().Add(`late_total{route="`+r.route.GetName()+`",cause="`+late+`"}`, 1)
	}
	r.front.trail.Say(mtkind.RequestDone, append(r.fields(), append(r.ended(), zap.String("target", choice.Target()), zap.String("late", late),
		zap.Int("status", status), zap.Int("bytes", size), zap.Duration("first", r.first), zap.Duration("pause", r.pause), zap.Duration("took", time.Since(r.begun)))...)...)
}

// judgeEnd counts the end of an answer that was read until an error, and returns nil where it
// is whole.
func (r *request) judgeEnd(err error) error {
	passed := boundOf(err) != ""
	err = r.ending.End(err)
	if passed {
		r.ending.Cut()
	}
	r.front.trail.Metrics().Add(`answers_ended_total{framing="`+r.ending.Framing()+`",sign="`+r.ending.Sign()+`"}`, 1)
	return err
}

// ended says how the last answer was framed, what showed that it was broken off, and which bound
// it passed.
func (r *request) ended() []zap.Field {
	var fields []zap.Field
	if r.ending != nil {
		fields = append(fields, zap.String("framing", r.ending.Framing()), zap.String("sign", r.ending.Sign()))
	}
	if r.bound != "" {
		fields = append(fields, zap.String("bound", r.bound))
	}
	return fields
}

// drain reads an answer that nobody gets, so that its connection can be kept.
func drain(link *mtlink.Link, response *http.Response) {
	link.Within(drainTime)
	// What is left unread shows when the connection is released.
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, drainBody))
}

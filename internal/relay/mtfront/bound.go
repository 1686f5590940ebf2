package mtfront

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"time"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/relay/mthead"
	"github.com/mustardtide/mustardtide/internal/relay/mtlink"
	"github.com/mustardtide/mustardtide/internal/request/mtpatience"
)

const (
	// maxPlain bounds a plain answer without a length.
	maxPlain = 64 << 20
	// firstRead is the first buffer for a plain answer; heldGrowth is by how much it grows at once.
	// Few steps keep the sum of two buffers low.
	firstRead  = 4 << 10
	heldGrowth = 4
)

// errPlain is the error of a plain answer over maxPlain.
var errPlain = errors.New("over 64 MB without a length")

// Names of the bounds of a response.
const (
	boundHead     = "head"
	boundEvent    = "event"
	boundPatience = "patience"
	boundBody     = "body"
	boundTime     = "time"
	boundEnd      = "end"
	boundForm     = "form"
)

// boundOf names the bound that an error is of, "" for none.
func boundOf(err error) string {
	switch {
	case errors.Is(err, mtlink.ErrHead):
		return boundHead
	case errors.Is(err, mtpatience.ErrLong):
		return boundEvent
	case errors.Is(err, mtpatience.ErrLate), errors.Is(err, mtlink.ErrFraming):
		return boundPatience
	case errors.Is(err, mthead.ErrInvalid):
		return boundForm
	case errors.Is(err, errPlain):
		return boundBody
	default:
		return ""
	}
}

// noteBound counts the bound that ended a response, if one did.
func (r *request) noteBound(ctx context.Context, err error) {
	bound := boundOf(err)
	if bound == "" && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		bound = boundTime
	}
	r.countBound(bound)
}

func (r *request) countBound(bound string) {
	r.bound = bound
	if bound != "" {
		r.front.trail.Metrics().Add(`responses_cut_total{bound="`+bound+`"}`, 1)
	}
}

// release gives up a connection whose response was read. Bytes after the response close it.
func (r *request) release(link *mtlink.Link, answer *fleetv1.Answer) {
	if link.Excess() {
		r.countBound(boundEnd)
	}
	link.Release(answer.GetIdle().AsDuration())
}

// bounded takes in that bytes came after a wait, the last of them, rest, behind the last whole
// event if one ended among them. It returns the error of the bound that they pass.
func (r *request) bounded(wait time.Duration, size int, ended bool, rest int) error {
	if r.patience != nil {
		return r.patience.Take(wait, size, ended, rest)
	}
	r.room -= size
	if r.room < 0 {
		return errPlain
	}
	return nil
}

// plainRoom is how many bytes may follow the first wholeBody of a plain answer. The length that
// an answer declares bounds it by itself.
func plainRoom(response *http.Response) int {
	if response.ContentLength >= 0 {
		return math.MaxInt
	}
	return maxPlain - wholeBody
}

// readHeld reads a plain answer up to wholeBody, or up to what there is memory for. It reports whether
// the answer has ended, which is no error.
func (r *request) readHeld(response *http.Response) ([]byte, bool, error) {
	held := make([]byte, 0, firstRead)
	for len(held) < wholeBody {
		if size := cap(held); len(held) == size {
			larger := min(wholeBody, heldGrowth*size)
			if !r.holdAnswer(size, larger) {
				break
			}
			held = append(make([]byte, 0, larger), held...)
		}
		n, err := response.Body.Read(held[len(held):cap(held)])
		held = held[:len(held)+n]
		if errors.Is(err, io.EOF) {
			return held, true, nil
		}
		if err != nil {
			return held, false, err
		}
	}
	return held, false, nil
}

// Package mtrefusal defines the error returned for a request that gets no result.
package mtrefusal

import (
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/observe/mtcode"
)

// Refusal is an error that records whether the request ran and when to retry. The zero value
// is not valid; use New.
type Refusal struct {
	code       mtcode.Code
	reason     string
	ran        mustardtidev1.Ran
	retryAfter time.Duration
	final      bool
	target     string
}

// New returns a refusal of a request that did not run.
func New(code mtcode.Code, reason string) *Refusal {
	return &Refusal{code: code, reason: reason, ran: mustardtidev1.Ran_NO}
}

// FromMessage converts a refusal from its wire form; nil gives nil.
func FromMessage(m *mustardtidev1.Refusal) *Refusal {
	if m == nil {
		return nil
	}
	return &Refusal{
		code:       mtcode.Code(m.GetCode()),
		reason:     m.GetReason(),
		ran:        m.GetRan(),
		retryAfter: m.GetAfter().AsDuration(),
		final:      m.GetFinal(),
		target:     m.GetTarget(),
	}
}

// FromError returns the refusal in an error's chain, or nil.
func FromError(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return nil
}

// WithRetryAfter returns a copy with the delay after which to retry.
func (r Refusal) WithRetryAfter(delay time.Duration) *Refusal {
	r.retryAfter = delay
	return &r
}

// AsFinal returns a copy that forbids trying another target.
func (r Refusal) AsFinal() *Refusal {
	r.final = true
	return &r
}

// WithRan returns a copy with the given value of whether the request ran.
func (r Refusal) WithRan(ran mustardtidev1.Ran) *Refusal {
	r.ran = ran
	return &r
}

// WithTarget returns a copy that names the only target able to answer.
func (r Refusal) WithTarget(target string) *Refusal {
	r.target = target
	return &r
}

// Target returns the only target that can answer for the request's key, or an empty string.
func (r *Refusal) Target() string { return r.target }

// Code returns the numeric result code.
func (r *Refusal) Code() mtcode.Code { return r.code }

// Reason describes what in this request led to the code.
func (r *Refusal) Reason() string { return r.reason }

// Ran returns whether the request reached the program of its target.
func (r *Refusal) Ran() mustardtidev1.Ran { return r.ran }

// RetryAfter returns the delay after which a new request may succeed, or zero if unknown.
func (r *Refusal) RetryAfter() time.Duration { return r.retryAfter }

// Final reports whether trying another target is forbidden.
func (r *Refusal) Final() bool { return r.final }

// Error returns the code and the reason, or the code's text if there is no reason.
func (r *Refusal) Error() string {
	if r.reason == "" {
		return fmt.Sprintf("%s: %s", r.code, r.code.Text())
	}
	return fmt.Sprintf("%s: %s", r.code, r.reason)
}

// Message returns the wire form of the refusal; nil gives nil.
func (r *Refusal) Message() *mustardtidev1.Refusal {
	if r == nil {
		return nil
	}
	m := &mustardtidev1.Refusal{
		Code:   uint32(r.code),
		Reason: r.reason,
		Ran:    r.ran,
		Final:  r.final,
		Target: r.target,
	}
	if r.retryAfter > 0 {
		m.After = durationpb.New(r.retryAfter)
	}
	return m
}

// Package mtrefusal is the answer to a request that gets no result.
package mtrefusal

import (
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/observe/mtcode"
)

// Refusal is an error that says whether the request ran and when to come
// back. The zero value is not for use; New makes one.
type Refusal struct {
	code   mtcode.Code
	reason string
	ran    mustardtidev1.Ran
	after  time.Duration
	final  bool
	target string
}

// New returns a refusal of a request that did not run.
func New(code mtcode.Code, reason string) *Refusal {
	return &Refusal{code: code, reason: reason, ran: mustardtidev1.Ran_NO}
}

// From takes a refusal out of a message; nil gives nil.
func From(m *mustardtidev1.Refusal) *Refusal {
	if m == nil {
		return nil
	}
	return &Refusal{
		code:   mtcode.Code(m.GetCode()),
		reason: m.GetReason(),
		ran:    m.GetRan(),
		after:  m.GetAfter().AsDuration(),
		final:  m.GetFinal(),
		target: m.GetTarget(),
	}
}

// Find returns the refusal in an error's chain, or nil.
func Find(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return nil
}

// After returns a copy that says when to come back.
func (r Refusal) After(after time.Duration) *Refusal {
	r.after = after
	return &r
}

// Finally returns a copy that no other target may overrule.
func (r Refusal) Finally() *Refusal {
	r.final = true
	return &r
}

// Having returns a copy that says whether the request ran.
func (r Refusal) Having(ran mustardtidev1.Ran) *Refusal {
	r.ran = ran
	return &r
}

// At returns a copy that names the only target that can answer.
func (r Refusal) At(target string) *Refusal {
	r.target = target
	return &r
}

// Target is the only one that can answer for the request's key, or empty.
func (r *Refusal) Target() string { return r.target }

// Code is the numbered result.
func (r *Refusal) Code() mtcode.Code { return r.code }

// Reason says what of this request led to the code.
func (r *Refusal) Reason() string { return r.reason }

// Ran says whether the request reached its target's program.
func (r *Refusal) Ran() mustardtidev1.Ran { return r.ran }

// Wait is the time after which a new request may succeed; zero if unknown.
func (r *Refusal) Wait() time.Duration { return r.after }

// Final says that no other target may be tried.
func (r *Refusal) Final() bool { return r.final }

// Error gives code and reason.
func (r *Refusal) Error() string {
	if r.reason == "" {
		return fmt.Sprintf("%s: %s", r.code, r.code.Text())
	}
	return fmt.Sprintf("%s: %s", r.code, r.reason)
}

// Message gives the refusal's wire form.
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
	if r.after > 0 {
		m.After = durationpb.New(r.after)
	}
	return m
}

package mtquota

import (
	"time"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
)

// Verdict is the decision on a request: Admitted, Waiting or Refused.
type Verdict interface{ verdict() }

// Admitted means that the request's cost was deducted.
type Admitted struct{}

// Waiting means that the request waits for credit that must be drawn.
type Waiting struct{ ticket *Ticket }

// Ticket returns the ticket by which to resolve the request.
func (w Waiting) Ticket() *Ticket { return w.ticket }

// Refused means that the request exceeds its account's quota, or that no credit is available.
type Refused struct {
	retryAfter time.Duration
	reason     string
}

// RetryAfter returns after what delay the caller should retry.
func (r Refused) RetryAfter() time.Duration { return r.retryAfter }

// Reason returns the reason for the refusal.
func (r Refused) Reason() string { return r.reason }

// Reasons for refusals.
const (
	reasonTooLarge    = "the request is larger than the quota allows at once"
	reasonBlocked     = "the quota was used up at the last draw"
	reasonNoAllocator = "no allocator is available at this moment"
	reasonNoAnswer    = "the allocator did not answer in time"
	reasonUsedUp      = "the quota is used up"
)

func (Admitted) verdict() {}
func (Waiting) verdict()  {}
func (Refused) verdict()  {}

// Ticket is a request that waits for credit.
type Ticket struct {
	account *account
	cost    int64
	// reserved is the part of the cost taken from the entry's credit; the rest is drawn.
	reserved int64
	message  Message
	done     chan struct{}
	granted  bool
	// resolved is set once the request no longer waits: credit granted later goes to others.
	resolved bool
}

// Message returns the draw that the caller must send for the request.
func (t *Ticket) Message() Message { return t.message }

// Done returns a channel that is closed once the draw is answered.
func (t *Ticket) Done() <-chan struct{} { return t.done }

// Message is a draw and its destination.
type Message struct {
	to   string
	draw *fleetv1.Draw
}

// To returns the address of the entry to send to, which may be this one.
func (m Message) To() string { return m.to }

// Draw returns the draw to send.
func (m Message) Draw() *fleetv1.Draw { return m.draw }

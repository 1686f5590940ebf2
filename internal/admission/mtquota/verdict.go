package mtquota

import (
	"time"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
)

// Verdict is what becomes of a request: Admitted, Waiting or Refused.
type Verdict interface{ verdict() }

// Admitted is a request whose cost was taken.
type Admitted struct{}

// Waiting is a request for which credit is drawn.
type Waiting struct{ ticket *Ticket }

// Ticket is what stands for the request until it is decided on.
func (w Waiting) Ticket() *Ticket { return w.ticket }

// Refused is a request over its account's quota, or for which no credit is to be had.
type Refused struct {
	again time.Duration
	why   string
}

// Again is when the caller should come back.
func (r Refused) Again() time.Duration { return r.again }

// Why says what was decided on.
func (r Refused) Why() string { return r.why }

// Reasons of refusals.
const (
	whyLarge   = "the request is larger than the quota allows at once"
	whyBlocked = "the quota was used up when credit was drawn last"
	whyNobody  = "no allocator is drawn from at this moment"
	whySilent  = "the allocator has not answered in time"
	whyUsedUp  = "the quota is used up"
)

func (Admitted) verdict() {}
func (Waiting) verdict()  {}
func (Refused) verdict()  {}

// Ticket is a request that waits for credit.
type Ticket struct {
	account *account
	cost    int64
	// part is what was taken from the entry's credit; the rest of the cost is drawn.
	part    int64
	message Message
	done    chan struct{}
	granted bool
	// left says that the request no longer waits: what is granted is credit for others.
	left bool
}

// Message is the draw that must be sent for it.
func (t *Ticket) Message() Message { return t.message }

// Done is closed once the draw is answered.
func (t *Ticket) Done() <-chan struct{} { return t.done }

// Message is a draw and the entry to which it goes.
type Message struct {
	to   string
	draw *fleetv1.Draw
}

// To is the address of an entry, maybe this one.
func (l Message) To() string { return l.to }

// Draw is what it is asked.
func (l Message) Draw() *fleetv1.Draw { return l.draw }

// Package mtcredit holds the client accounts' rates over all entries.
//
// An account gets its whole rate at one entry, and no more at all of them. An entry
// draws credit from the entry that allocates an account's rate, and answers the draws
// of others. Both decisions are mtquota's and mtallocator's; this package has the
// accounts, the calls between entries, and who of them answers.
package mtcredit

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtallocator"
	"github.com/mustardtide/mustardtide/internal/admission/mtmargin"
	"github.com/mustardtide/mustardtide/internal/admission/mtquota"
	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
	"github.com/mustardtide/mustardtide/internal/members/mtlist"
	"github.com/mustardtide/mustardtide/internal/observe/mtcode"
	"github.com/mustardtide/mustardtide/internal/role/mtcontrol"
	"github.com/mustardtide/mustardtide/internal/role/mtnet"
	"github.com/mustardtide/mustardtide/internal/settings/mtspread"
)

const (
	// creditTime is how long a request waits for an allocator's answer: the way to
	// another data centre and back, and a call that is under way before it.
	creditTime = 50 * time.Millisecond
	// spread is the time over which those refused come back. Callers read whole
	// seconds: over one second all are told the same one.
	spread = 3 * time.Second
	// mostWaiting bounds the draws of requests that are yet to be sent.
	mostWaiting = 1024
)

// Credit is one entry's part of the accounts' rates. It is safe for concurrent use; a
// request for which there is credit takes no lock.
type Credit struct {
	name      string
	scheme    string
	transport *http.Transport
	spread    *mtspread.Spread
	list      *mtlist.List
	control   *mtcontrol.Control
	quota     *mtquota.Quota
	allocator *mtallocator.Allocator
	table     atomic.Pointer[table]
	// asked are the draws of requests that wait.
	asked chan mtquota.Message
	lines *lines
}

// New returns the rates at the entry of a name, which holds no credit yet.
func New(name string, network *mtnet.Net, spread *mtspread.Spread, list *mtlist.List, control *mtcontrol.Control) *Credit {
	c := &Credit{
		name:      name,
		scheme:    network.Scheme(),
		transport: network.Internal(),
		spread:    spread,
		list:      list,
		control:   control,
		// Without bounds nothing may be used beyond a rate and its burst.
		quota:     mtquota.New(name, nil),
		allocator: mtallocator.New(nil),
		asked:     make(chan mtquota.Message, mostWaiting),
		lines:     newLines(),
	}
	c.table.Store(&table{})
	return c
}

// Take takes a request's estimated cost in tokens from its account's rate. The function
// that it returns corrects it to what the request has cost.
func (c *Credit) Take(ctx context.Context, of *mustardtidev1.Account, cost uint64) (func(int64), *mtrefusal.Refusal) {
	account := c.account(of.GetName())
	if account == nil {
		return func(int64) {}, nil
	}
	// A request larger than the burst needs all of it and is paid off afterwards.
	charged := int64(min(cost, uint64(mtmargin.Burst(account))))
	if refused, ok := c.decide(ctx, c.quota.Admit(account, charged)).(mtquota.Refused); ok {
		return nil, mtrefusal.New(mtcode.RateExceeded, of.GetName()).WithRetryAfter(refused.RetryAfter() + rand.N(spread))
	}
	return func(actual int64) { c.quota.Settle(c.account(of.GetName()), charged, actual) }, nil
}

// decide draws the credit of a request that waits for it.
func (c *Credit) decide(ctx context.Context, verdict mtquota.Verdict) mtquota.Verdict {
	waiting, ok := verdict.(mtquota.Waiting)
	if !ok {
		return verdict
	}
	ticket := waiting.Ticket()
	c.ask(ticket.Message())
	timer := time.NewTimer(creditTime)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-ticket.Done():
	case <-timer.C:
	}
	return c.quota.Resolve(ticket)
}

// ask hands over a request's draw. One that finds no room is not sent: its request is
// refused for want of an answer.
func (c *Credit) ask(message mtquota.Message) {
	if message.To() == c.name {
		c.drawHere(message)
		return
	}
	select {
	case c.asked <- message:
	default:
	}
}

// Package mtlimiter holds the fleet to the limits that targets name.
//
// A target in need names how many requests a second it takes, and entries by the hundred want
// to send to it. Equal parts allow each of them far less than one request, or together far too
// much. So a target's limit is treated as a client account's quota is: every entry lends its
// share to an allocator, and each request draws a permit from there.
package mtlimiter

import (
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtallocator"
	"github.com/mustardtide/mustardtide/internal/admission/mtlimit"
	"github.com/mustardtide/mustardtide/internal/admission/mtquota"
)

// The platform allows one and a half times what a limit allows in a span, and five requests
// more. What the least rate and the burst use of that is taken off the surplus.
const (
	span      = 4 * time.Second
	overshoot = 0.5
	surplus   = 5 - (1+overshoot)*(burst+leastRate*4)
	// burst is the number of permits that a target which got no requests has at once.
	burst = 1
	// leastRate is the rate of permits for targets that take fewer requests or none: their
	// answers show when that ends.
	leastRate = 0.25
)

const (
	// idleTick is how often the entries of the fleet are counted while no target is limited.
	idleTick = time.Second
	// retainTime is how often what is known of targets is compared with the limits.
	retainTime = 10 * time.Second
)

// Limiter is one entry's part in the limits of all targets. It is safe for concurrent use.
type Limiter struct {
	limits    *mtlimit.Limits
	quota     *mtquota.Quota
	allocator *mtallocator.Allocator

	mu       sync.Mutex
	accounts map[string]*fleetv1.Account
	ticked   time.Time
	retained time.Time
}

// New returns the limiter of the entry at an address, for the limits that it knows.
func New(self string, limits *mtlimit.Limits) *Limiter {
	bounds := &fleetv1.Bounds{Span: durationpb.New(span), Overshoot: overshoot, Surplus: surplus}
	return &Limiter{
		limits: limits, quota: mtquota.New(self, bounds), allocator: mtallocator.New(bounds),
		accounts: map[string]*fleetv1.Account{},
	}
}

// Admit decides whether a target may be sent a request now. After mtquota.Waiting, the
// ticket's message must be sent and Resolve called; after mtquota.Admitted, Refund where
// nothing was sent.
func (l *Limiter) Admit(target string) mtquota.Verdict {
	account := l.account(target)
	if account == nil {
		return mtquota.Admitted{}
	}
	verdict := l.quota.Admit(account, 1)
	if waiting, ok := verdict.(mtquota.Waiting); ok {
		l.tell(waiting.Ticket().Message())
	}
	return verdict
}

// Resolve decides on a request that waited for its permit.
func (l *Limiter) Resolve(ticket *mtquota.Ticket) mtquota.Verdict { return l.quota.Resolve(ticket) }

// Refund gives back the permit of a request that was not sent.
func (l *Limiter) Refund(target string) { l.quota.Refund(l.account(target), 1) }

// Started takes in when a target's program was started, 0 for unknown.
func (l *Limiter) Started(target string, born int64) { l.limits.Started(target, born) }

// Limited says that a target is limited.
func (l *Limiter) Limited(target string) bool {
	_, limited := l.limits.Rate(target)
	return limited
}

// Wait is how long there will be no permit for a target; 0 where one may be had.
func (l *Limiter) Wait(target string) time.Duration {
	if !l.Limited(target) {
		return 0
	}
	return l.quota.BlockedFor(target)
}

// account stands for a target's limit; nil where it has none.
func (l *Limiter) account(target string) *fleetv1.Account {
	rate, limited := l.limits.Rate(target)
	if !limited {
		return nil
	}
	rate = max(leastRate, rate)
	l.mu.Lock()
	defer l.mu.Unlock()
	account := l.accounts[target]
	if account.GetRate() != rate {
		account = &fleetv1.Account{Name: target, Rate: rate, Burst: burst}
		l.accounts[target] = account
	}
	return account
}

// Due says that Tick is to be called: now and then, and each time while a target is limited.
func (l *Limiter) Due() bool { return l.limits.Count() > 0 || time.Since(l.ticked) >= idleTick }

// Tick brings the limits up to this moment and returns the draws that are due. allocators are
// the entries that allocate, live all others that were heard of, and entries the size of the
// fleet. One goroutine calls it and Due.
func (l *Limiter) Tick(allocators, live []string, entries int) []mtquota.Message {
	now, limited := time.Now(), min(1, l.limits.Count())
	l.ticked = now
	l.quota.SetPeerSize(entries)
	l.retain(now)
	messages := l.quota.TickWithAllocators(limited, allocators, live)
	for _, message := range messages {
		l.tell(message)
	}
	return messages
}

// retain forgets the targets of which nothing is known any more.
func (l *Limiter) retain(now time.Time) {
	if now.Sub(l.retained) < retainTime {
		return
	}
	l.retained = now
	known := func(target string) bool { return l.limits.Of(target) != nil }
	l.quota.Retain(known)
	l.allocator.Retain(known)
	l.mu.Lock()
	defer l.mu.Unlock()
	for target := range l.accounts {
		if !known(target) {
			delete(l.accounts, target)
		}
	}
}

// tell adds to a draw what is known of the limits of its targets.
func (l *Limiter) tell(message mtquota.Message) {
	draw := message.Draw()
	for _, need := range draw.GetNeeds() {
		if limit := l.limits.Of(need.GetAccount()); limit != nil {
			draw.Limits = append(draw.Limits, limit)
		}
	}
}

// Answer grants what it can of another entry's draw; nil for one that came twice. It returns
// which of the limits in the draw were news.
func (l *Limiter) Answer(from string, draw *fleetv1.Draw) (*fleetv1.Grant, []*fleetv1.Limit) {
	news := l.limits.Merge(draw.GetLimits())
	grant := l.allocator.Answer(from, draw, l.quota.Entries(), l.account)
	for _, credit := range grant.GetCredits() {
		if limit := l.limits.Of(credit.GetAccount()); limit != nil {
			grant.Limits = append(grant.Limits, limit)
		}
	}
	return grant, news
}

// Receive takes in an allocator's answer. It returns which of the limits in it were news.
func (l *Limiter) Receive(from string, grant *fleetv1.Grant) []*fleetv1.Limit {
	l.quota.Receive(from, grant)
	return l.limits.Merge(grant.GetLimits())
}

// SetPeerSize takes in the fleet's size as another entry has seen it itself.
func (l *Limiter) SetPeerSize(entries int) { l.quota.SetPeerSize(entries) }

// SetStoredSize takes in the fleet's size as the store has it.
func (l *Limiter) SetStoredSize(entries int) { l.quota.SetStoredSize(entries) }

// Observed is the size of the fleet as this entry has seen it itself of late.
func (l *Limiter) Observed() int { return l.quota.ObservedSize() }

// Allocating says that this entry allocates, and for how long it has.
func (l *Limiter) Allocating() (time.Duration, bool) { return l.quota.Allocating() }

// Package mtlimiter keeps the fleet within the limits that targets name.
//
// A target that must shed load names how many requests per second it accepts, while hundreds of
// entries want to send to it. With equal shares, each entry could send far less than one
// request per second, or all of them together far too much. A target's limit is therefore
// handled like a client account's quota: every entry lends its share to an allocator, and each
// request draws a permit from it.
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

// The platform allows one and a half times a limit over a span, plus five requests. What the
// minimum rate and the burst use of this is subtracted from the surplus.
const (
	span      = 4 * time.Second
	overshoot = 0.5
	surplus   = 5 - (1+overshoot)*(burst+minRate*4)
	// burst is the number of permits available at once for a target that received no requests.
	burst = 1
	// minRate is the permit rate for targets with a lower limit or a limit of zero. Their
	// answers show when the limit ends.
	minRate = 0.25
)

const (
	// idleTickInterval is how often the fleet size is counted while no target is limited.
	idleTickInterval = time.Second
	// retainInterval is how often state of targets without a known limit is dropped.
	retainInterval = 10 * time.Second
)

// Limiter enforces the limits of all targets at one entry. It is safe for concurrent use.
type Limiter struct {
	limits    *mtlimit.Limits
	quota     *mtquota.Quota
	allocator *mtallocator.Allocator

	mu         sync.Mutex
	accounts   map[string]*fleetv1.Account
	lastTick   time.Time
	lastRetain time.Time
}

// New returns a limiter for the entry at address self that enforces the given limits.
func New(self string, limits *mtlimit.Limits) *Limiter {
	bounds := &fleetv1.Bounds{Span: durationpb.New(span), Overshoot: overshoot, Surplus: surplus}
	return &Limiter{
		limits: limits, quota: mtquota.New(self, bounds), allocator: mtallocator.New(bounds),
		accounts: map[string]*fleetv1.Account{},
	}
}

// Admit decides whether a request may be sent to a target now. After mtquota.Waiting, the
// caller sends the ticket's message and calls Resolve. After mtquota.Admitted, it calls Refund
// if nothing was sent.
func (l *Limiter) Admit(target string) mtquota.Verdict {
	account := l.account(target)
	if account == nil {
		return mtquota.Admitted{}
	}
	verdict := l.quota.Admit(account, 1)
	if waiting, ok := verdict.(mtquota.Waiting); ok {
		l.attachLimits(waiting.Ticket().Message())
	}
	return verdict
}

// Resolve decides on a request that waited for a permit.
func (l *Limiter) Resolve(ticket *mtquota.Ticket) mtquota.Verdict { return l.quota.Resolve(ticket) }

// Refund returns the permit of a request that was not sent.
func (l *Limiter) Refund(target string) { l.quota.Refund(l.account(target), 1) }

// SetStartTime records the start time of a target's process, 0 if unknown.
func (l *Limiter) SetStartTime(target string, born int64) { l.limits.SetStartTime(target, born) }

// Limited reports whether a target is limited.
func (l *Limiter) Limited(target string) bool {
	_, limited := l.limits.Rate(target)
	return limited
}

// BlockedFor returns how long no permit is available for a target, 0 if one may be.
func (l *Limiter) BlockedFor(target string) time.Duration {
	if !l.Limited(target) {
		return 0
	}
	return l.quota.BlockedFor(target)
}

// account returns the quota account that represents a target's limit, nil if it has no limit.
func (l *Limiter) account(target string) *fleetv1.Account {
	rate, limited := l.limits.Rate(target)
	if !limited {
		return nil
	}
	rate = max(minRate, rate)
	l.mu.Lock()
	defer l.mu.Unlock()
	account := l.accounts[target]
	if account.GetRate() != rate {
		account = &fleetv1.Account{Name: target, Rate: rate, Burst: burst}
		l.accounts[target] = account
	}
	return account
}

// TickDue reports whether Tick is to be called: always while a target is limited, otherwise once
// per idleTickInterval.
func (l *Limiter) TickDue() bool {
	return l.limits.Count() > 0 || time.Since(l.lastTick) >= idleTickInterval
}

// Tick updates the limits to the current time and returns the draws to send. allocators are the
// entries that allocate, live all other entries seen recently, and entries the size of the
// fleet. Tick and TickDue are called from one goroutine.
func (l *Limiter) Tick(allocators, live []string, entries int) []mtquota.Message {
	now, limited := time.Now(), min(1, l.limits.Count())
	l.lastTick = now
	l.quota.SetPeerSize(entries)
	l.retain(now)
	messages := l.quota.TickWithAllocators(limited, allocators, live)
	for _, message := range messages {
		l.attachLimits(message)
	}
	return messages
}

// retain drops the state of targets without a known limit.
func (l *Limiter) retain(now time.Time) {
	if now.Sub(l.lastRetain) < retainInterval {
		return
	}
	l.lastRetain = now
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

// attachLimits adds the known limits of the drawn targets to a draw.
func (l *Limiter) attachLimits(message mtquota.Message) {
	draw := message.Draw()
	for _, need := range draw.GetNeeds() {
		if limit := l.limits.Of(need.GetAccount()); limit != nil {
			draw.Limits = append(draw.Limits, limit)
		}
	}
}

// Answer grants what it can of another entry's draw. The grant is nil for a duplicate draw. It
// also returns the limits in the draw that were news.
func (l *Limiter) Answer(from string, draw *fleetv1.Draw) (*fleetv1.Grant, []*fleetv1.Limit) {
	changes := l.limits.Merge(draw.GetLimits())
	grant := l.allocator.Answer(from, draw, l.quota.Entries(), l.account)
	for _, credit := range grant.GetCredits() {
		if limit := l.limits.Of(credit.GetAccount()); limit != nil {
			grant.Limits = append(grant.Limits, limit)
		}
	}
	return grant, changes
}

// Receive processes an allocator's grant. It returns the limits in the grant that were news.
func (l *Limiter) Receive(from string, grant *fleetv1.Grant) []*fleetv1.Limit {
	l.quota.Receive(from, grant)
	return l.limits.Merge(grant.GetLimits())
}

// SetPeerSize records the fleet size that another entry observed.
func (l *Limiter) SetPeerSize(entries int) { l.quota.SetPeerSize(entries) }

// SetStoredSize records the fleet size according to the store.
func (l *Limiter) SetStoredSize(entries int) { l.quota.SetStoredSize(entries) }

// ObservedSize returns the fleet size that this entry observed recently.
func (l *Limiter) ObservedSize() int { return l.quota.ObservedSize() }

// Allocating reports whether this entry allocates, and for how long it has.
func (l *Limiter) Allocating() (time.Duration, bool) { return l.quota.Allocating() }

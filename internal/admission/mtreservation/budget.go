// Package mtreservation bounds the bytes that requests hold together in one process, and decides which
// of them gives up its bytes where they do not fit.
package mtreservation

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

// Errors of a reservation that can't grow. Nothing of its request has been sent then.
var (
	// ErrFull says that the bytes do not fit now, and nobody else has to give up any.
	ErrFull = errors.New("the memory for requests is in use")
	// ErrBroken says that the reservation was broken off for others.
	ErrBroken = errors.New("broken off, as the memory for requests is in use")
	// ErrLarge says that the bytes would not fit into an empty budget either.
	ErrLarge = errors.New("larger than the memory for requests")
)

const (
	// smallBytes is the size up to which a reservation may use all of the budget. Larger ones leave
	// a quarter of it, so that ordinary requests fit while large ones wait for their targets.
	smallBytes = 64 << 10
	largeShare = 0.75
	// accountShare is the part that the large reservations of one account may use, where there are
	// accounts.
	accountShare = 0.5
	// busyWeight is what a second with progress counts beside one without: with no weight a client
	// that sends a byte now and then would never be broken off.
	busyWeight = 1.0 / 16
)

// Budget is the bytes of one process. It is safe for concurrent use.
type Budget struct {
	mu    sync.Mutex
	limit int64
	used  int64
	// breaking is the part of used that is held by reservations that were broken off.
	breaking int64
	accounts map[string]*account
	// changed is closed when bytes are released or a reservation is broken off.
	changed chan struct{}

	broken, refused int64
}

// account is what the reservations of one client account hold.
type account struct {
	held int64
	// breaking is the part of held that is held by reservations that were broken off.
	breaking int64
	// open counts its reservations; receiving are those that can be broken off.
	open      int
	receiving map[*Reservation]struct{}
}

// New returns a budget of so many bytes; 0 for no bound.
func New(limit int64) *Budget {
	return &Budget{limit: limit, accounts: map[string]*account{}, changed: make(chan struct{})}
}

// Resize sets the limit. What is held beyond a lower one is released as its requests end.
func (b *Budget) Resize(limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
	b.wake()
}

// Limit is the bound in bytes, 0 for none.
func (b *Budget) Limit() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limit
}

// Used is how many bytes are held.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Counts returns how many reservations were broken off and how many requests for bytes were refused.
func (b *Budget) Counts() (broken, refused int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.broken, b.refused
}

// Receiving is the number of reservations whose requests are still being received.
func (b *Budget) Receiving() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := 0
	for _, a := range b.accounts {
		count += len(a.receiving)
	}
	return count
}

// BreakOff breaks off all reservations whose requests are still being received.
func (b *Budget) BreakOff() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, a := range b.accounts {
		for r := range a.receiving {
			b.breakOff(r)
		}
	}
}

// breakOff ends the reading of a reservation's request; the budget is locked.
func (b *Budget) breakOff(r *Reservation) {
	r.broken = true
	delete(r.account.receiving, r)
	r.account.breaking += r.held
	b.breaking += r.held
	b.broken++
	r.stop()
	b.wake()
}

// largest is the most that one reservation of an account may hold.
func (b *Budget) largest(account string) int64 {
	share := largeShare
	if account != "" {
		share = accountShare
	}
	return int64(float64(b.limit) * share)
}

// Open returns a reservation without bytes for a request that is being received. stop is called at
// most once, before Received, if the reservation is broken off: it must end the request's reading
// and must not call the budget. It is nil for a request that has come whole.
func (b *Budget) Open(name string, stop func()) *Reservation {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.accounts[name]
	if a == nil {
		a = &account{receiving: map[*Reservation]struct{}{}}
		b.accounts[name] = a
	}
	a.open++
	r := &Reservation{budget: b, name: name, account: a, stop: stop, since: time.Now()}
	if stop != nil {
		a.receiving[r] = struct{}{}
	}
	return r
}

// Reservation is the bytes of one request. A nil one has no bound. It is used by one goroutine at a
// time.
type Reservation struct {
	budget  *Budget
	name    string
	account *account
	stop    func()
	since   time.Time
	// progress is when bytes came last, as a time after since.
	progress atomic.Int64

	// These are guarded by the budget.
	held             int64
	broken, released bool
}

// Progress records that bytes of the request came.
func (r *Reservation) Progress() {
	if r != nil {
		r.progress.Store(int64(time.Since(r.since)))
	}
}

// Grow takes n more bytes. Where they do not fit, it breaks off other reservations and waits until
// these have released their bytes, or returns one of the errors above or that of ctx.
func (r *Reservation) Grow(ctx context.Context, n int64) error {
	if r == nil {
		return nil
	}
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		switch {
		case r.broken:
			return ErrBroken
		case b.fits(r, n):
			r.add(n)
			return nil
		case r.held+n > b.largest(r.name):
			return ErrLarge
		case !b.makeRoom(r, n):
			b.refused++
			return ErrFull
		}
		changed := b.changed
		b.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		b.mu.Lock()
		if ctx.Err() != nil && !r.broken {
			return ctx.Err()
		}
	}
}

// TryGrow takes n more bytes if they are free, and reports whether it did.
func (r *Reservation) TryGrow(n int64) bool {
	if r == nil {
		return true
	}
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.broken || !b.fits(r, n) {
		return false
	}
	r.add(n)
	return true
}

// Shrink releases n of the bytes.
func (r *Reservation) Shrink(n int64) {
	if r == nil {
		return
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.add(-min(n, r.held))
	r.budget.wake()
}

// Received records that all of the request has come: from then on it is not broken off. It reports
// false if it was before.
func (r *Reservation) Received() bool {
	if r == nil {
		return true
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if r.broken {
		return false
	}
	delete(r.account.receiving, r)
	return true
}

// Release gives all bytes back. Further calls do nothing.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.released {
		return
	}
	r.released = true
	if r.broken {
		r.account.breaking -= r.held
		b.breaking -= r.held
	}
	r.add(-r.held)
	delete(r.account.receiving, r)
	r.account.open--
	if r.account.open == 0 {
		delete(b.accounts, r.name)
	}
	b.wake()
}

// add counts n bytes; the budget is locked.
func (r *Reservation) add(n int64) {
	r.held += n
	r.account.held += n
	r.budget.used += n
}

// wake lets those who wait look again; the budget is locked.
func (b *Budget) wake() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// fits reports whether n more bytes of a reservation are free.
func (b *Budget) fits(r *Reservation, n int64) bool {
	return b.limit <= 0 || b.lacks(r, n, 0) <= 0
}

// lacks is how many bytes must be released before n more of a reservation fit, if so many are being
// released.
func (b *Budget) lacks(r *Reservation, n, breaking int64) int64 {
	if r.held+n <= smallBytes {
		return b.used + n - breaking - b.limit
	}
	return max(b.used+n-breaking-int64(float64(b.limit)*largeShare), b.lacksAccount(r, n))
}

// lacksAccount is how many bytes the account of a reservation must release before n more fit its
// part.
func (b *Budget) lacksAccount(r *Reservation, n int64) int64 {
	if r.name == "" {
		return 0
	}
	return r.account.held - r.account.breaking + n - int64(float64(b.limit)*accountShare)
}

// makeRoom breaks off others until n more bytes of a reservation fit, and reports false where these
// would not suffice.
func (b *Budget) makeRoom(r *Reservation, n int64) bool {
	now := time.Now()
	for b.lacks(r, n, b.breaking) > 0 {
		candidate := b.victim(r, n, now)
		if candidate == nil {
			return false
		}
		b.breakOff(candidate)
	}
	return true
}

// victim returns the reservation that gives up its bytes, nil for none but the one that asks. An
// account that holds less than the one that asks is spared; of the others that with most gives up
// first, and of an account the reservation whose bytes have been held for longest without progress.
func (b *Budget) victim(r *Reservation, n int64, now time.Time) *Reservation {
	within := b.lacksAccount(r, n) > 0 && r.held+n > smallBytes
	var most *account
	var found *Reservation
	for _, a := range b.accounts {
		if a != r.account && (within || a.held < r.account.held+n) || most != nil && a.held <= most.held {
			continue
		}
		if candidate := a.idlest(r, now); candidate != nil {
			most, found = a, candidate
		}
	}
	if found != nil && found.account == r.account && found.cost(now) < r.cost(now) {
		return nil
	}
	return found
}

// idlest returns the account's reservation of the greatest cost, nil for none.
func (a *account) idlest(except *Reservation, now time.Time) *Reservation {
	var found *Reservation
	most := 0.0
	for r := range a.receiving {
		if r == except || r.held == 0 {
			continue
		}
		if cost := r.cost(now); found == nil || cost > most {
			found, most = r, cost
		}
	}
	return found
}

// cost is the bytes times the seconds for which they have been held, of which those with progress
// count little.
func (r *Reservation) cost(now time.Time) float64 {
	age := now.Sub(r.since)
	stalled := age - time.Duration(r.progress.Load())
	return float64(r.held) * (stalled.Seconds() + busyWeight*age.Seconds())
}

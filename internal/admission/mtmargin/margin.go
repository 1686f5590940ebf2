// Package mtmargin divides the usage that a fleet allows beyond a client account's quota.
//
// Usage in a window can exceed the quota for three reasons: entries hold unused credit,
// requests are admitted before they are charged, and a request may be larger than the credit
// left. Each gets a fraction of the allowed excess, so that together they stay within it.
package mtmargin

import (
	"time"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
)

// Fractions of the allowed excess. The rest covers entries that disagree on the size of the
// fleet.
const (
	heldFraction      = 0.35
	debtFraction      = 0.15
	overdraftFraction = 0.35
)

// minBurstTime is the time whose rate an account may always use at once.
const minBurstTime = 100 * time.Millisecond

// Margin is one account's allowed excess in a window, in units of its quota.
type Margin struct{ excess float64 }

// Of returns the margin of an account under the bounds of the deployment.
func Of(account *fleetv1.Account, bounds *fleetv1.Bounds) Margin {
	quota := account.GetRate()*bounds.GetSpan().AsDuration().Seconds() + Burst(account)
	return Margin{excess: quota*bounds.GetOvershoot() + bounds.GetSurplus()}
}

// Burst returns the number of units that an account may use at once. It is at least the rate
// over minBurstTime, as a quota without any burst would admit nothing.
func Burst(account *fleetv1.Account) float64 {
	return max(account.GetBurst(), account.GetRate()*minBurstTime.Seconds())
}

// HeldCredit returns the credit that all entries together may hold for future requests.
func (m Margin) HeldCredit() float64 { return m.excess * heldFraction }

// MaxDebt returns the number of units by which each of the given number of entries may
// exceed its credit.
func (m Margin) MaxDebt(entries int) float64 {
	return m.excess * debtFraction / float64(max(entries, 1))
}

// MaxOverdraft returns the number of units by which a request may take the whole quota below zero.
func (m Margin) MaxOverdraft() float64 { return m.excess * overdraftFraction }

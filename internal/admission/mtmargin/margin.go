// Package mtmargin divides what a fleet may use beyond a client account's quota.
//
// Credit that entries hold unused, requests that are admitted before they are paid for
// and a request larger than what is left all add to what a window holds. Each has its
// part of the allowed excess, so that together they stay within it.
package mtmargin

import (
	"time"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
)

// Parts of the excess; the rest covers entries that disagree on the size of the fleet.
const (
	parkedPart   = 0.35
	debtPart     = 0.15
	overdrawPart = 0.35
)

// leastBurst is the time whose rate an account may use at once.
const leastBurst = 100 * time.Millisecond

// Margin is one account's allowed excess in a window, in units of its quota.
type Margin struct{ excess float64 }

// Of returns an account's margin under the deployment's bounds.
func Of(account *fleetv1.Account, bounds *fleetv1.Bounds) Margin {
	quota := account.GetRate()*bounds.GetSpan().AsDuration().Seconds() + Burst(account)
	return Margin{excess: quota*bounds.GetOvershoot() + bounds.GetSurplus()}
}

// Burst is what an account may use at once: at least a moment's rate, as a quota without
// any burst would admit nothing.
func Burst(account *fleetv1.Account) float64 {
	return max(account.GetBurst(), account.GetRate()*leastBurst.Seconds())
}

// Parked is the credit that all entries together may hold for requests to come.
func (m Margin) Parked() float64 { return m.excess * parkedPart }

// Debt is how far one of so many entries may go below its credit.
func (m Margin) Debt(entries int) float64 { return m.excess * debtPart / float64(max(entries, 1)) }

// Overdraw is how far a request may take the whole quota below zero.
func (m Margin) Overdraw() float64 { return m.excess * overdrawPart }

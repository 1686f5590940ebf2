package mtlevel

import "time"

// accounts counts the requests of client accounts by rank, over the current window and the one
// before.
type accounts struct {
	began    time.Time
	now, old map[accountRank]int
	totals   map[int]int
	oldTotal map[int]int
}

// accountRank is the key of an account's requests of a rank. Those that return as promised are
// counted together, for no account.
type accountRank struct {
	rank     int
	account  string
	promised bool
}

func newAccounts() accounts {
	return accounts{began: time.Now(), now: map[accountRank]int{}, old: map[accountRank]int{}, totals: map[int]int{}, oldTotal: map[int]int{}}
}

// count counts a request.
func (a *accounts) count(rank int, account string) {
	if now := time.Now(); now.Sub(a.began) >= shareWindow {
		a.old, a.oldTotal = a.now, a.totals
		if now.Sub(a.began) >= 2*shareWindow {
			a.old, a.oldTotal = map[accountRank]int{}, map[int]int{}
		}
		a.now, a.totals, a.began = map[accountRank]int{}, map[int]int{}, now
	}
	key := a.key(rank, account)
	a.now[key]++
	a.totals[rank]++
}

// key returns the key that an account is counted under.
func (a *accounts) key(rank int, account string) accountRank {
	key := accountRank{rank: rank, account: account}
	if _, known := a.now[key]; !known && len(a.now) >= maxAccounts {
		key.account = ""
	}
	return key
}

// promise counts a request that was counted for an account as one that returns as promised.
func (a *accounts) promise(rank int, account string) {
	a.now[a.key(rank, account)]--
	a.now[accountRank{rank: rank, promised: true}]++
}

// positionPromised returns the share of the rank's requests that return as promised. They go first.
func (a *accounts) positionPromised(rank int) float64 {
	total := max(1, a.totals[rank]+a.oldTotal[rank])
	return float64(a.of(accountRank{rank: rank, promised: true})) / float64(total)
}

// position returns the share of the rank's requests that came from accounts that send less than
// this one, and this account's share.
func (a *accounts) position(rank int, account string) (below, width float64) {
	key := a.key(rank, account)
	own, total := a.of(key), max(1, a.totals[rank]+a.oldTotal[rank])
	less := 0
	for other := range a.now {
		if other.rank == rank && other != key {
			if sent := a.of(other); other.promised || sent < own || sent == own && other.account < key.account {
				less += sent
			}
		}
	}
	return float64(less) / float64(total), float64(own) / float64(total)
}

func (a *accounts) of(key accountRank) int { return a.now[key] + a.old[key] }

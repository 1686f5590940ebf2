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

type accountRank struct {
	rank    int
	account string
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
	key := accountRank{rank, account}
	if _, known := a.now[key]; !known && len(a.now) >= maxAccounts {
		key.account = ""
	}
	return key
}

// position returns the share of the rank's requests that came from accounts that send less than
// this one, and this account's share.
func (a *accounts) position(rank int, account string) (below, width float64) {
	key := a.key(rank, account)
	own, total := a.of(key), max(1, a.totals[rank]+a.oldTotal[rank])
	less := 0
	for other := range a.now {
		if other.rank == rank && other != key {
			if sent := a.of(other); sent < own || sent == own && other.account < key.account {
				less += sent
			}
		}
	}
	return float64(less) / float64(total), float64(own) / float64(total)
}

func (a *accounts) of(key accountRank) int { return a.now[key] + a.old[key] }

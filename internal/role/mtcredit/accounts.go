package mtcredit

import (
	"cmp"
	"time"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/settings/mtsnapshot"
)

// defaultBurst is the burst of an account whose settings give none, as a time of its
// rate; settings.proto names the same figure.
const defaultBurst = 10 * time.Second

// table is the accounts with a rate, of one revision of the settings.
type table struct {
	snapshot *mtsnapshot.Snapshot
	accounts map[string]*fleetv1.Account
}

func newTable(snapshot *mtsnapshot.Snapshot) *table {
	t := &table{snapshot: snapshot, accounts: map[string]*fleetv1.Account{}}
	for _, account := range snapshot.Base().GetAccounts() {
		if account.GetRate() <= 0 {
			continue
		}
		t.accounts[account.GetName()] = &fleetv1.Account{
			Name:  account.GetName(),
			Rate:  account.GetRate(),
			Burst: cmp.Or(account.GetBurst(), account.GetRate()*defaultBurst.Seconds()),
			Unit:  fleetv1.Unit_UNIT_TOKEN,
		}
	}
	return t
}

// accounts are those of the settings in force.
func (c *Credit) accounts() map[string]*fleetv1.Account {
	snapshot := c.spread.Snapshot()
	held := c.table.Load()
	if held.snapshot != snapshot {
		held = newTable(snapshot)
		c.table.Store(held)
	}
	return held.accounts
}

// account returns an account that has a rate, nil for any other.
func (c *Credit) account(name string) *fleetv1.Account { return c.accounts()[name] }

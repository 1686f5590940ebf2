package mtquota

import (
	"time"
)

const (
	// memoryTime is how long an entry that is no longer heard of counts as one of the
	// fleet: it may be cut off and use its share.
	memoryTime = 15 * time.Second
	// peerSizeTime is how long another entry's word on the size of the fleet counts.
	peerSizeTime = 2 * time.Second
	// fewest is the least number of entries that is assumed in the first startTime.
	fewest    = 6
	startTime = 2 * time.Second
)

// Entries is the number of entries among which the quotas are divided.
func (q *Quota) Entries() int { return int(q.size.Load()) }

// remember takes in the entries that are live.
func (q *Quota) remember(now time.Time, live []string) {
	for _, address := range live {
		q.fleet[address] = now
	}
	for address, last := range q.fleet {
		if now.Sub(last) > memoryTime {
			delete(q.fleet, address)
		}
	}
	size := len(q.fleet) + 1
	if now.Sub(q.peerSizeAt) < peerSizeTime {
		size = max(size, q.peerSize)
	}
	switch age := now.Sub(q.begun); {
	case age < memoryTime && q.storedSize > 0:
		size = max(size, q.storedSize)
	case age < startTime:
		size = max(size, fewest)
	}
	q.size.Store(int64(size))
}

// SetStoredSize takes in the fleet's size as the store has it. An entry that starts in a divided
// fleet never hears of the others; without it, each side would divide the quotas among
// itself alone.
func (q *Quota) SetStoredSize(entries int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.storedSize = entries
}

// SetPeerSize takes in the fleet's size as another entry has seen it itself: it may remember
// entries that fell silent before this one started.
func (q *Quota) SetPeerSize(entries int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if entries >= q.peerSize || time.Since(q.peerSizeAt) > peerSizeTime {
		q.peerSize, q.peerSizeAt = entries, time.Now()
	}
}

// ObservedSize is the fleet's size as this entry has seen it itself of late.
func (q *Quota) ObservedSize() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.fleet) + 1
}

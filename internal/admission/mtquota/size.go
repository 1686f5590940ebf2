package mtquota

import (
	"time"
)

const (
	// peerRetention is how long an entry that fell silent still counts as part of the fleet: it
	// may be partitioned and still use its share.
	peerRetention = 15 * time.Second
	// peerSizeTTL is how long the fleet size reported by another entry is valid.
	peerSizeTTL = 2 * time.Second
	// minStartEntries is the least fleet size that is assumed during the first startupTime.
	minStartEntries = 6
	startupTime     = 2 * time.Second
)

// Entries returns the number of entries among which the quotas are divided.
func (q *Quota) Entries() int { return int(q.size.Load()) }

// updateSize records the live entries and recomputes the fleet's size.
func (q *Quota) updateSize(now time.Time, live []string) {
	for _, address := range live {
		q.peersSeen[address] = now
	}
	for address, last := range q.peersSeen {
		if now.Sub(last) > peerRetention {
			delete(q.peersSeen, address)
		}
	}
	size := len(q.peersSeen) + 1
	if now.Sub(q.peerSizeAt) < peerSizeTTL {
		size = max(size, q.peerSize)
	}
	switch age := now.Sub(q.started); {
	case age < peerRetention && q.storedSize > 0:
		size = max(size, q.storedSize)
	case age < startupTime:
		size = max(size, minStartEntries)
	}
	q.size.Store(int64(size))
}

// SetStoredSize sets the fleet's size as recorded in the store. An entry that starts in a
// partitioned fleet never hears of the others; without the stored size, each side would divide
// the quotas among its own entries alone.
func (q *Quota) SetStoredSize(entries int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.storedSize = entries
}

// SetPeerSize records the fleet's size as observed by another entry, which may remember entries
// that fell silent before this one started.
func (q *Quota) SetPeerSize(entries int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if entries >= q.peerSize || time.Since(q.peerSizeAt) > peerSizeTTL {
		q.peerSize, q.peerSizeAt = entries, time.Now()
	}
}

// ObservedSize returns the fleet's size as recently observed by this entry itself.
func (q *Quota) ObservedSize() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.peersSeen) + 1
}

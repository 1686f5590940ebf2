// Package mtquarantine keeps which requests crash the targets that run them.
//
// The load it answers is one request that kills every target it reaches and a
// caller that sends it again: without it each resend and each retry takes down
// one more target, with its cache and everyone in its batch, until none is
// left.
//
// A request is known by its fingerprint of account, path and body. Every
// request that runs when a target dies becomes a suspect; a suspect runs again
// alone in its batch. One that then finishes is cleared: the others of a batch
// are not condemned by one crash. A second crash quarantines it.
package mtquarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Crashes that quarantine a request: with one, each of up to sixteen requests
// of a batch would be refused for its neighbour's fault.
const condemned = 2

// Times after which a fingerprint is forgotten. A suspect's rerun and its
// caller's resends come within minutes. A quarantine lasts an hour: long enough
// that a caller's loop can cost at most two crashes an hour, short enough that
// a repaired engine gets the request again the same day.
const (
	suspectTime = 10 * time.Minute
	banTime     = time.Hour
)

// freshTime is how long a quarantine is told to other processes in every
// message; within it each entry has spoken with every sidecar in use.
// maxFresh bounds it to 256 bytes of a message.
const (
	freshTime = time.Minute
	maxFresh  = 16
)

// kept bounds the fingerprints: a crash brings at most a batch of 256, and at
// most 31 instances fail on an ordinary day. At about 150 bytes each the table
// stays below a megabyte.
const kept = 4096

// size is the length of a fingerprint in bytes.
const size = 16

// mark is what is known of one fingerprint.
type mark struct {
	crashes []string
	banned  bool
	since   time.Time
}

func (m *mark) lapsed(now time.Time) bool {
	if m.banned {
		return now.Sub(m.since) > banTime
	}
	return now.Sub(m.since) > suspectTime
}

// Table holds suspects and quarantined requests. It is safe for concurrent use;
// while it is empty a look-up is one atomic read.
type Table struct {
	count atomic.Int64

	mu    sync.Mutex
	marks map[[size]byte]*mark
	order [][size]byte
}

// New returns an empty table.
func New() *Table { return &Table{marks: map[[size]byte]*mark{}} }

// Crash notes that a target died while it ran a request, and reports whether
// that quarantines the request. source names the target and its incarnation:
// the same crash told twice counts once.
func (t *Table) Crash(digest []byte, source string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.mark(digest)
	if m == nil {
		return false
	}
	if !slices.Contains(m.crashes, source) && len(m.crashes) < condemned {
		m.crashes = append(m.crashes, source)
		m.since = time.Now()
	}
	if len(m.crashes) >= condemned {
		m.banned = true
	}
	return m.banned
}

// Ban quarantines a request.
func (t *Table) Ban(digest []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.mark(digest); m != nil && !m.banned {
		m.banned = true
		m.since = time.Now()
	}
}

// Learn takes in what another process has quarantined of late.
func (t *Table) Learn(digests [][]byte) {
	for _, digest := range digests {
		t.Ban(digest)
	}
}

// Clear acquits a suspect that has run to its end.
func (t *Table) Clear(digest []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.find(digest); m != nil && !m.banned {
		delete(t.marks, [size]byte(digest))
		t.count.Store(int64(len(t.marks)))
	}
}

// Empty says that no request is suspected or quarantined: then none needs a
// fingerprint.
func (t *Table) Empty() bool { return t.count.Load() == 0 }

// Banned says that a request is quarantined.
func (t *Table) Banned(digest []byte) bool {
	if t.Empty() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.find(digest)
	return m != nil && m.banned
}

// Suspect says that a target died while it ran the request.
func (t *Table) Suspect(digest []byte) bool {
	if t.Empty() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.find(digest)
	return m != nil && !m.banned
}

// Bans lists what was quarantined of late, newest first.
func (t *Table) Bans() [][]byte {
	if t.Empty() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var list [][]byte
	for i := len(t.order) - 1; i >= 0 && len(list) < maxFresh; i-- {
		m := t.marks[t.order[i]]
		if m != nil && m.banned && time.Since(m.since) < freshTime {
			list = append(list, t.order[i][:])
		}
	}
	return list
}

// find returns a fingerprint's mark, or nil where there is none in force.
func (t *Table) find(digest []byte) *mark {
	if len(digest) != size {
		return nil
	}
	m := t.marks[[size]byte(digest)]
	if m == nil || m.lapsed(time.Now()) {
		return nil
	}
	return m
}

// mark returns a fingerprint's mark, a new one if there is none in force. The
// oldest makes room.
func (t *Table) mark(digest []byte) *mark {
	if len(digest) != size {
		return nil
	}
	if m := t.find(digest); m != nil {
		return m
	}
	name := [size]byte(digest)
	t.order = slices.DeleteFunc(t.order, func(other [size]byte) bool { return other == name })
	if len(t.order) >= kept {
		t.evict()
	}
	m := &mark{since: time.Now()}
	t.order = append(t.order, name)
	t.marks[name] = m
	t.count.Store(int64(len(t.marks)))
	return m
}

// evict drops the oldest suspect, or the oldest quarantined request if there is no suspect.
func (t *Table) evict() {
	oldest := max(0, slices.IndexFunc(t.order, func(name [size]byte) bool { return !t.marks[name].banned }))
	delete(t.marks, t.order[oldest])
	t.order = slices.Delete(t.order, oldest, oldest+1)
}

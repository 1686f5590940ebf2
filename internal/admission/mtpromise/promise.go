// Package mtpromise keeps the promises that were made to refused callers.
//
// A caller that was refused for overload and returns when it was told to takes precedence over new
// requests, once, at whichever entry it returns. The entry that refused it and two sidecars keep
// the promise until its window is over. A promise that is lost, as by a restart, costs precedence
// only. Times are sent as durations and kept by the monotonic clock.
package mtpromise

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
)

const (
	// capacity is the number of promises kept: some three megabytes.
	capacity = 10_000
	// maxLifetime bounds how long a promise is kept.
	maxLifetime = 30 * time.Second
	// sweepInterval is the least time between two removals of expired promises.
	sweepInterval = time.Second
	// hashSize is the length of a request's digest.
	hashSize = 16
	// maxName bounds the names in a promise from another process.
	maxName = 256
)

// Table is one process's promises, at most one to each request. It is safe for concurrent use.
type Table struct {
	mu    sync.Mutex
	kept  map[string]*kept
	swept time.Time
}

type kept struct {
	promise *fleetv1.Promise
	opens   time.Time
	closes  time.Time
	spent   bool
}

// New returns an empty table.
func New() *Table { return &Table{kept: map[string]*kept{}} }

// Hash is the digest of a request, by which its caller is recognized when it returns. The account
// is part of it: no account can name the request of another.
func Hash(account, method, host, path string, body [][]byte) []byte {
	h := sha256.New()
	for _, field := range []string{account, method, host, path} {
		writeField(h, []byte(field))
	}
	writeField(h, body...)
	return h.Sum(nil)[:hashSize]
}

// writeField hashes the length of a field and its pieces.
func writeField(h hash.Hash, pieces ...[]byte) {
	var total uint64
	for _, piece := range pieces {
		total += uint64(len(piece))
	}
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], total)
	// A hash takes everything.
	_, _ = h.Write(size[:])
	for _, piece := range pieces {
		_, _ = h.Write(piece)
	}
}

// Add keeps a promise. One that was made to the same request before and is still open goes first:
// a caller that returns early does not get a second window. Add reports false where the table is
// full.
func (t *Table) Add(promise *fleetv1.Promise) bool {
	opens, closes := duration(promise.GetOpens()), duration(promise.GetCloses())
	if len(promise.GetHash()) != hashSize || closes <= opens || closes > maxLifetime ||
		len(promise.GetService()) > maxName || len(promise.GetAccount()) > maxName {
		return true
	}
	now, hash := time.Now(), string(promise.GetHash())
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.kept[hash]; known != nil {
		if !known.spent && now.Before(known.closes) {
			return true
		}
	} else if len(t.kept) >= capacity && !t.sweep(now) {
		return false
	}
	t.kept[hash] = &kept{promise: proto.CloneOf(promise), opens: now.Add(opens), closes: now.Add(closes)}
	return true
}

// Claim answers the claim of a returning request, and takes its promise if the window has begun.
// What was taken is known as such until the window's end.
func (t *Table) Claim(claim *fleetv1.Claim) *fleetv1.Claimed {
	now := time.Now()
	answer := &fleetv1.Claimed{Ask: claim.GetAsk()}
	t.mu.Lock()
	defer t.mu.Unlock()
	found := t.kept[string(claim.GetHash())]
	if found == nil || !now.Before(found.closes) || found.promise.GetService() != claim.GetService() {
		return answer
	}
	answer.Promise = proto.CloneOf(found.promise)
	answer.Promise.Opens = milliseconds(found.opens.Sub(now))
	answer.Promise.Closes = milliseconds(found.closes.Sub(now))
	switch {
	case found.spent:
		answer.State = fleetv1.ClaimState_CLAIM_STATE_SPENT
	case now.Before(found.opens):
		answer.State = fleetv1.ClaimState_CLAIM_STATE_EARLY
	default:
		found.spent = true
		answer.State = fleetv1.ClaimState_CLAIM_STATE_TAKEN
	}
	return answer
}

// Len is the number of promises kept, those that have expired since the last removal included.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(time.Now())
	return len(t.kept)
}

// sweep removes expired promises, and reports whether there is room.
func (t *Table) sweep(now time.Time) bool {
	if now.Sub(t.swept) < sweepInterval {
		return len(t.kept) < capacity
	}
	t.swept = now
	for hash, k := range t.kept {
		if !now.Before(k.closes) {
			delete(t.kept, hash)
		}
	}
	return len(t.kept) < capacity
}

func duration(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// milliseconds rounds up, so that a window that has not begun is not taken for one that has.
func milliseconds(d time.Duration) uint32 {
	return uint32(max(0, (d+time.Millisecond-1)/time.Millisecond))
}

package mtquota

import (
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtallocator"
)

const (
	// heartbeatsPerLease is the least number of draws that an entry sends during a lease.
	heartbeatsPerLease = 3
	// heartbeatTimePerEntry is multiplied by the number of entries for the least time between an
	// entry's heartbeats, so that an allocator receives no more than a few hundred per second in
	// total.
	heartbeatTimePerEntry = 3 * time.Millisecond
	// answerTimeout is how long a draw may be unanswered before the entry leaves its allocator.
	answerTimeout = 400 * time.Millisecond
	// skipTime is how long an allocator that did not answer is not a candidate.
	skipTime = 3 * time.Second
	// candidateDelay is how long another entry must have been the candidate before this entry
	// draws from it: while entries start, their member lists differ.
	candidateDelay = 300 * time.Millisecond
	// accountsPerShard is the number of accounts per shard, maxShards the largest number of
	// shards.
	accountsPerShard = 256
	maxShards        = 8
	// maxNeeds bounds the needs of one draw, so that it fits into a datagram.
	maxNeeds = 16
)

// shard is a subset of the accounts that is served by one allocator.
type shard struct {
	number uint32
	// allocator is the entry to which this one lends its share, or empty; lastDraw is when this
	// entry last drew from the shard, lastAnswer when an allocator last answered.
	allocator  string
	lastDraw   time.Time
	lastAnswer time.Time
	// lease is the lease time of the last draw. leaseEnd is the latest end of all leases, since a
	// later draw with a shorter lease may be lost.
	lease    time.Duration
	leaseEnd time.Time
	// freeAt is when the last lease has ended and the share may be lent again.
	freeAt time.Time
	// candidate is the entry that should allocate, and candidateSince the time since when.
	candidate      string
	candidateSince time.Time
	// heldUnreported is set while the allocator does not yet know how much credit this entry
	// holds.
	heldUnreported bool
	// skippedUntil has, for each entry that did not answer, the time until which it is skipped.
	skippedUntil map[string]time.Time
}

// reshard divides the accounts among count shards. If the number changes, accounts move between
// shards: the new shards start without a burst, after the leases of the old ones have ended.
func (q *Quota) reshard(count int, now time.Time) {
	if len(q.shards) == count {
		return
	}
	freeAt := time.Time{}
	for _, s := range q.shards {
		freeAt = latest(freeAt, latest(s.leaseEnd, now.Add(s.lease)))
	}
	q.shards = nil
	for i := range count {
		q.shards = append(q.shards, &shard{number: uint32(count*maxShards + i), freeAt: freeAt, skippedUntil: map[string]time.Time{}})
	}
}

// shardOf returns an account's shard, or nil before the first tick.
func (q *Quota) shardOf(name string) *shard {
	if len(q.shards) == 0 {
		return nil
	}
	return q.shards[xxh3.HashString(name)%uint64(len(q.shards))]
}

// dueDraws returns the draws that are due for a shard: the end of a lease, the start of one, or
// the needs and a heartbeat.
func (q *Quota) dueDraws(s *shard, now time.Time, allocators []string, needs []*fleetv1.Need) []Message {
	if candidate := s.elect(now, q.self, allocators); candidate != s.candidate {
		s.candidate, s.candidateSince = candidate, now
	}
	switch {
	case s.allocator == "" && now.Before(s.freeAt):
		return nil
	case s.allocator == "":
		s.allocator, s.heldUnreported = s.candidate, true
		return []Message{q.newDraw(s, nil, nil)}
	case s.shouldMove(now, allocators):
		return []Message{q.endLease(s)}
	}
	s.heldUnreported = false
	if len(needs) == 0 && now.Sub(s.lastDraw) < s.lease/heartbeatsPerLease {
		return nil
	}
	messages := []Message{q.newDraw(s, needs[:min(maxNeeds, len(needs))], nil)}
	for len(needs) > maxNeeds {
		needs = needs[maxNeeds:]
		messages = append(messages, q.newDraw(s, needs[:min(maxNeeds, len(needs))], nil))
	}
	return messages
}

// endLease ends the lease. The share is free once the allocator confirms it or the lease expires.
func (q *Quota) endLease(s *shard) Message {
	message := q.newDraw(s, nil, nil)
	message.draw.Leaves = true
	q.pending[message.draw.GetNumber()].releases = true
	s.release()
	return message
}

// shouldMove reports whether the share should be lent to the candidate instead.
func (s *shard) shouldMove(now time.Time, allocators []string) bool {
	ended := !slices.Contains(allocators, s.allocator)
	return s.allocator != s.candidate && (ended || now.Sub(s.candidateSince) > candidateDelay)
}

// elect returns the entry that should allocate a shard, by rendezvous hashing: all entries with
// the same member list agree on it. It returns this entry if all others are skipped.
func (s *shard) elect(now time.Time, self string, allocators []string) string {
	best, score := self, uint64(0)
	for _, address := range allocators {
		if now.Before(s.skippedUntil[address]) {
			continue
		}
		if hash := xxh3.HashStringSeed(address, uint64(s.number)); hash >= score {
			best, score = address, hash
		}
	}
	return best
}

// release leaves the allocator; the share is free once the lease has ended.
func (s *shard) release() {
	s.allocator = ""
	s.freeAt = s.leaseEnd
}

// recordAnswer records that an allocator has answered a draw.
func (s *shard) recordAnswer(p *pendingDraw) {
	s.lastAnswer = time.Now()
	if p.releases && s.allocator == "" {
		s.freeAt = s.lastAnswer
	}
}

// leaseTime returns how long this entry lends its share with each draw.
func (q *Quota) leaseTime() time.Duration {
	return max(mtallocator.MinLeaseTime, heartbeatsPerLease*heartbeatTimePerEntry*time.Duration(q.Entries()))
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// newDraw returns a draw from a shard's allocator and records it as pending.
func (q *Quota) newDraw(s *shard, needs []*fleetv1.Need, ticket *Ticket) Message {
	q.lastNumber++
	s.lastDraw, s.lease = time.Now(), q.leaseTime()
	s.leaseEnd = latest(s.leaseEnd, s.lastDraw.Add(s.lease))
	q.pending[q.lastNumber] = &pendingDraw{shard: s, allocator: s.allocator, sent: s.lastDraw, ticket: ticket}
	draw := &fleetv1.Draw{Shard: s.number, Run: q.run, Number: q.lastNumber, Needs: needs}
	if s.lease > mtallocator.MinLeaseTime {
		draw.Lease = uint32(s.lease.Milliseconds())
	}
	return Message{to: s.allocator, draw: draw}
}

// expire drops pending draws that timed out and leaves allocators that do not answer. After a
// stall of this process it drops all of them, since the silence says nothing about the others.
func (q *Quota) expire(now time.Time, stalled bool) {
	for number, p := range q.pending {
		s := p.shard
		late := now.Sub(p.sent) > answerTimeout && s.lastAnswer.Before(p.sent)
		switch {
		case stalled || now.Sub(p.sent) > drawTimeout:
			delete(q.pending, number)
		case late && s.allocator == p.allocator && p.allocator != q.self:
			s.skippedUntil[p.allocator] = now.Add(skipTime)
			s.release()
		}
	}
}

// Allocating reports whether this entry is the allocator of the first shard, and how long it has
// been the candidate for it.
func (q *Quota) Allocating() (time.Duration, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.shards) == 0 || q.shards[0].allocator != q.self {
		return 0, false
	}
	return time.Since(q.shards[0].candidateSince), true
}

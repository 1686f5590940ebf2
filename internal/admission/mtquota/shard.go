package mtquota

import (
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtallocator"
)

const (
	// heartbeats is how often an entry draws at least in a lease.
	heartbeats = 3
	// lenderTime is what each entry of the fleet adds to the time between heartbeats, so
	// that an allocator gets no more than a few hundred a second from all.
	lenderTime = 3 * time.Millisecond
	// silentTime is how long an allocator may leave a draw unanswered.
	silentTime = 400 * time.Millisecond
	// skipTime is how long one that did is not drawn from.
	skipTime = 3 * time.Second
	// settleTime is how long another entry must have been the candidate before it is drawn
	// from: the lists of entries that start differ.
	settleTime = 300 * time.Millisecond
	// shardSize is the number of accounts of one shard, mostShards bounds the shards.
	shardSize  = 256
	mostShards = 8
	// mostNeeds bounds the needs of one draw, so that it fits a datagram.
	mostNeeds = 16
)

// shard is a part of the accounts, which one allocator serves.
type shard struct {
	number uint32
	// allocator is the entry to which this one lends its share, "" for none; sent is when
	// it last drew, answered when that entry last answered.
	allocator string
	sent      time.Time
	answered  time.Time
	// lease is that of the last draw, until when the last of all ends: a draw of a shorter one
	// may be lost.
	lease time.Duration
	until time.Time
	// free is when the last lease has ended.
	free time.Time
	// candidate is the entry that should allocate, since when.
	candidate      string
	candidateSince time.Time
	// unreported says that the allocator does not know yet what this entry holds.
	unreported bool
	// skipped are those that did not answer, until when.
	skipped map[string]time.Time
}

// reshard divides the accounts among so many shards. Where the number changes, accounts
// move: the new shards begin without a burst, once the leases of the old ones have ended.
func (q *Quota) reshard(count int, now time.Time) {
	if len(q.shards) == count {
		return
	}
	free := time.Time{}
	for _, s := range q.shards {
		free = later(free, later(s.until, now.Add(s.lease)))
	}
	q.shards = nil
	for i := range count {
		q.shards = append(q.shards, &shard{number: uint32(count*mostShards + i), free: free, skipped: map[string]time.Time{}})
	}
}

// shardOf returns an account's shard, nil before the first tick.
func (q *Quota) shardOf(name string) *shard {
	if len(q.shards) == 0 {
		return nil
	}
	return q.shards[xxh3.HashString(name)%uint64(len(q.shards))]
}

// due returns a shard's draws: the end of a lease, the begin of one, or needs and a
// heartbeat.
func (q *Quota) due(s *shard, now time.Time, allocators []string, needs []*fleetv1.Need) []Message {
	if candidate := s.elect(now, q.self, allocators); candidate != s.candidate {
		s.candidate, s.candidateSince = candidate, now
	}
	switch {
	case s.allocator == "" && now.Before(s.free):
		return nil
	case s.allocator == "":
		s.allocator, s.unreported = s.candidate, true
		return []Message{q.draw(s, nil, nil)}
	case s.moves(now, allocators):
		return []Message{q.end(s)}
	}
	s.unreported = false
	if len(needs) == 0 && now.Sub(s.sent) < s.lease/heartbeats {
		return nil
	}
	messages := []Message{q.draw(s, needs[:min(mostNeeds, len(needs))], nil)}
	for len(needs) > mostNeeds {
		needs = needs[mostNeeds:]
		messages = append(messages, q.draw(s, needs[:min(mostNeeds, len(needs))], nil))
	}
	return messages
}

// end ends the lease. The share is free once the allocator says so, or the lease is over.
func (q *Quota) end(s *shard) Message {
	message := q.draw(s, nil, nil)
	message.draw.Leaves = true
	q.pending[message.draw.GetNumber()].leaves = true
	s.release()
	return message
}

// moves says that the share should be lent to the candidate.
func (s *shard) moves(now time.Time, allocators []string) bool {
	ended := !slices.Contains(allocators, s.allocator)
	return s.allocator != s.candidate && (ended || now.Sub(s.candidateSince) > settleTime)
}

// elect returns the entry that should allocate a shard, by rendezvous hashing: all that
// know the same others agree on it. It is this entry where none of them answers.
func (s *shard) elect(now time.Time, self string, allocators []string) string {
	best, score := self, uint64(0)
	for _, address := range allocators {
		if now.Before(s.skipped[address]) {
			continue
		}
		if other := xxh3.HashStringSeed(address, uint64(s.number)); other >= score {
			best, score = address, other
		}
	}
	return best
}

// release ends the lending to an allocator; the share is free once the lease has ended.
func (s *shard) release() {
	s.allocator = ""
	s.free = s.until
}

// heard notes that an allocator has answered.
func (s *shard) heard(open *pending) {
	s.answered = time.Now()
	if open.leaves && s.allocator == "" {
		s.free = s.answered
	}
}

// leaseTime is how long this entry lends its share with each draw.
func (q *Quota) leaseTime() time.Duration {
	return max(mtallocator.LeaseTime, heartbeats*lenderTime*time.Duration(q.Entries()))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// draw makes a draw from a shard's allocator.
func (q *Quota) draw(s *shard, needs []*fleetv1.Need, ticket *Ticket) Message {
	q.number++
	s.sent, s.lease = time.Now(), q.leaseTime()
	s.until = later(s.until, s.sent.Add(s.lease))
	q.pending[q.number] = &pending{shard: s, to: s.allocator, at: s.sent, ticket: ticket}
	draw := &fleetv1.Draw{Shard: s.number, Run: q.run, Number: q.number, Needs: needs}
	if s.lease > mtallocator.LeaseTime {
		draw.Lease = uint32(s.lease.Milliseconds())
	}
	return Message{to: s.allocator, draw: draw}
}

// expire gives up draws whose answers do not come.
func (q *Quota) expire(now time.Time, stalled bool) {
	for number, open := range q.pending {
		s := open.shard
		late := now.Sub(open.at) > silentTime && s.answered.Before(open.at)
		switch {
		case stalled || now.Sub(open.at) > askedTime:
			delete(q.pending, number)
		case late && s.allocator == open.to && open.to != q.self:
			s.skipped[open.to] = now.Add(skipTime)
			s.release()
		}
	}
}

// Allocating says that this entry allocates, and for how long it has.
func (q *Quota) Allocating() (time.Duration, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.shards) == 0 || q.shards[0].allocator != q.self {
		return 0, false
	}
	return time.Since(q.shards[0].candidateSince), true
}

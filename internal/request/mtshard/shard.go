// Package mtshard is the state machine of one shard of claims: what to append,
// and what an answer of the platform means. It makes no calls itself.
//
// A shard is an append-only sequence of numbered segments, each an object made
// by create-if-absent. The first record of a key wins, so the order of the
// segments decides who may run it, and whoever fails to create a number learns
// that another was there first. Two rules keep that true while old segments
// are packed and deleted:
//
//   - Segments are deleted lowest first, after a pack that holds them, and the
//     newest pack and the newest segment are never deleted.
//   - A segment counts only when, after it was seen, the one before it still
//     has the version that this process knows. A process that slept while its
//     number was taken, packed and deleted creates that number once more, and
//     would take it for its own: the check of the one before tells it.
package mtshard

import (
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/types/known/timestamppb"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/request/mtstep"
)

// Skew is the most that two instances' clocks may differ. Expiry alone depends
// on it: a key is kept so much longer than its lifetime.
const Skew = 5 * time.Minute

// idSize is the length of a claim's id.
const idSize = 16

type id [idSize]byte

// record is a claim as kept in memory: a sidecar may hold tens of thousands,
// and the generated message takes three times as much.
type record struct {
	print   id
	run     string
	attempt uint32
	target  string
	process string
	until   int64
}

// seen is a segment with the version of its object.
type seen struct {
	version string
	segment *mustardtidev1.Segment
}

// Shard is not safe for concurrent use. Its memory grows with the keys that
// have not expired.
type Shard struct {
	step      mtstep.Step
	loaded    bool
	unsure    bool
	next      uint64
	version   string
	held      map[id]record
	names     map[string]string
	wanted    []*mustardtidev1.Claim
	draft     *mustardtidev1.Segment
	candidate *seen
	unpacked  []seen
	packed    uint64
	packs     map[string]time.Time
}

// New returns a shard that knows nothing yet.
func New() *Shard {
	s := &Shard{packs: map[string]time.Time{}}
	s.clear()
	return s
}

// Step is the call to make next.
func (s *Shard) Step() mtstep.Step { return s.step }

// Loaded says whether the shard was read from the platform.
func (s *Shard) Loaded() bool { return s.loaded }

// Find returns the first record of a key that has not expired, or nil.
func (s *Shard) Find(key []byte, now time.Time) *mustardtidev1.Claim {
	if !s.live(id(key), now) {
		return nil
	}
	r := s.held[id(key)]
	return &mustardtidev1.Claim{
		Id:      key,
		Print:   r.print[:],
		Run:     r.run,
		Attempt: r.attempt,
		Target:  r.target,
		Process: r.process,
		Until:   timestamppb.New(time.Unix(r.until, 0)),
	}
}

// Keys counts the keys held.
func (s *Shard) Keys() int { return len(s.held) }

// Draft is the segment to create.
func (s *Shard) Draft() *mustardtidev1.Segment { return s.draft }

// Number is what to create or read next.
func (s *Shard) Number() uint64 { return s.next }

// Propose asks for records of the claims' keys; writer must be unused. The
// shard must be idle.
func (s *Shard) Propose(now time.Time, writer string, claims []*mustardtidev1.Claim) {
	s.wanted = claims
	s.draft = &mustardtidev1.Segment{Writer: writer, Time: timestamppb.New(now)}
	s.redraft()
}

// Drop gives the proposal up. What was sent may still take effect; it is then
// found at the next proposal.
func (s *Shard) Drop() {
	s.wanted = nil
	s.draft = nil
	s.candidate = nil
	s.unsure = false
	s.step = mtstep.Idle
}

// Created says that the draft's object was made.
func (s *Shard) Created(version string) {
	s.consider(seen{version: version, segment: s.draft})
}

// Taken says that the draft's number exists already.
func (s *Shard) Taken() {
	s.unsure = false
	s.step = mtstep.Read
}

// Unsure says that the answer to a create was lost: it may have taken effect,
// or may yet.
func (s *Shard) Unsure() {
	s.unsure = true
	s.step = mtstep.Read
}

// Refused says that the platform did not take the create.
func (s *Shard) Refused() { s.Drop() }

// Found gives the object that Read or Verify asked for.
func (s *Shard) Found(version string, segment *mustardtidev1.Segment) {
	if s.step == mtstep.Read {
		s.consider(seen{version: version, segment: segment})
		return
	}
	if version != s.version {
		s.step = mtstep.Load
		return
	}
	s.fold(*s.candidate)
	s.redraft()
}

// Missing says that the object that Read or Verify asked for is not there. A
// create whose answer was lost is tried again under the same number, where it
// can't take effect twice. Otherwise the number was deleted: this process
// slept through its expiry.
func (s *Shard) Missing() {
	if s.step == mtstep.Read && s.unsure {
		s.step = mtstep.Create
		return
	}
	s.step = mtstep.Load
}

// consider keeps a segment until the one before it is verified. Before the
// first there is none; a list shows whether a pack holds that number already.
func (s *Shard) consider(found seen) {
	s.candidate = &found
	s.step = mtstep.Verify
	if s.next == 1 {
		s.step = mtstep.Load
	}
}

// Settled says whether the verified segment is this process's draft whose
// answer was lost.
func (s *Shard) Settled(segment *mustardtidev1.Segment) bool {
	return s.unsure && s.draft != nil && segment.GetWriter() == s.draft.GetWriter()
}

// redraft takes the claims that still have no record as the next segment.
func (s *Shard) redraft() {
	s.candidate = nil
	s.unsure = false
	if s.draft == nil {
		s.step = mtstep.Idle
		return
	}
	if !s.loaded {
		s.step = mtstep.Load
		return
	}
	next := &mustardtidev1.Segment{Number: s.next, Writer: s.draft.GetWriter(), Time: s.draft.GetTime()}
	fresh := map[id]bool{}
	for _, c := range s.wanted {
		key := id(c.GetId())
		if s.live(key, next.GetTime().AsTime()) || fresh[key] {
			continue
		}
		fresh[key] = true
		next.Claims = append(next.Claims, c)
	}
	s.draft = next
	s.step = mtstep.Create
	if len(next.GetClaims()) == 0 {
		s.Drop()
	}
}

// fold takes a verified segment into the state.
func (s *Shard) fold(found seen) {
	s.take(found.segment)
	s.unpacked = append(s.unpacked, found)
	s.version = found.version
	s.next++
}

// take records a segment's claims; the first record of a key wins until it has
// expired at the time that a later segment carries, which is the same for
// every reader.
func (s *Shard) take(segment *mustardtidev1.Segment) {
	at := segment.GetTime().AsTime()
	for _, c := range segment.GetClaims() {
		key := id(c.GetId())
		if s.live(key, at) {
			continue
		}
		s.held[key] = record{
			print:   id(c.GetPrint()),
			run:     c.GetRun(),
			attempt: c.GetAttempt(),
			target:  s.intern(c.GetTarget()),
			process: s.intern(c.GetProcess()),
			until:   c.GetUntil().GetSeconds(),
		}
	}
}

// intern keeps one copy of a name that many records carry.
func (s *Shard) intern(name string) string {
	if known, ok := s.names[name]; ok {
		return known
	}
	s.names[name] = name
	return name
}

func (s *Shard) live(key id, at time.Time) bool {
	held, ok := s.held[key]
	return ok && at.Before(time.Unix(held.until, 0).Add(Skew))
}

// Purge forgets expired keys, later than any clock could draft them anew.
func (s *Shard) Purge(now time.Time) {
	for key, r := range s.held {
		if now.After(time.Unix(r.until, 0).Add(2 * Skew)) {
			delete(s.held, key)
		}
	}
}

func (s *Shard) clear() {
	s.held = map[id]record{}
	s.names = map[string]string{}
}

// Load takes in what a list of segments and a later list of packs showed.
// Segments that a pack holds are left to it: one of them may have been created
// anew by a process that slept.
func (s *Shard) Load(segments map[string]*mustardtidev1.Segment, packs map[string]*mustardtidev1.Pack) error {
	packed := newest(packs)
	ordered := inOrder(segments, packed)
	for i, found := range ordered {
		if found.segment.GetNumber() != packed+uint64(i)+1 {
			return trace.BadParameter("segment %d is missing", packed+uint64(i)+1)
		}
	}
	if len(ordered) == 0 && packed > 0 {
		// All that was listed has been packed since; the newest segment never
		// is, so another list shows it.
		s.step = mtstep.Load
		return nil
	}
	s.reset(packed)
	for _, segment := range merged(packs) {
		s.take(segment)
	}
	for name, pack := range packs {
		s.packs[name] = end(pack)
	}
	for _, found := range ordered {
		s.fold(found)
	}
	s.loaded = true
	s.redraft()
	return nil
}

func (s *Shard) reset(packed uint64) {
	s.clear()
	s.packs = map[string]time.Time{}
	s.unpacked = nil
	s.packed = packed
	s.next = packed + 1
	s.version = ""
}

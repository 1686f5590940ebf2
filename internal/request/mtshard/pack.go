package mtshard

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
)

// packBytes bounds a pack, since an object holds a megabyte: about 7,000 claims
// of 120 bytes.
const packBytes = 900_000

// Pack returns the oldest segments as one pack, or nil while there are fewer
// than least. The newest keep stay out of it; keep must be 1 or more.
func (s *Shard) Pack(now time.Time, least, keep int) *mustardtidev1.Pack {
	if len(s.unpacked) < least {
		return nil
	}
	pack := &mustardtidev1.Pack{}
	size := 0
	for _, found := range s.unpacked[:len(s.unpacked)-keep] {
		kept := without(found.segment, now)
		size += proto.Size(kept)
		if size > packBytes && pack.GetUpto() > 0 {
			break
		}
		pack.Segments = append(pack.Segments, kept)
		pack.Upto = kept.GetNumber()
	}
	return pack
}

// Packed says that a pack is kept. It returns the versions of the segments to
// delete, lowest first.
func (s *Shard) Packed(name string, pack *mustardtidev1.Pack) []string {
	s.packs[name] = end(pack)
	s.packed = max(s.packed, pack.GetUpto())
	var versions []string
	for len(s.unpacked) > 0 && s.unpacked[0].segment.GetNumber() <= pack.GetUpto() {
		versions = append(versions, s.unpacked[0].version)
		s.unpacked = s.unpacked[1:]
	}
	return versions
}

// Outdated returns a pack without a live claim, or an empty text; the newest
// is none.
func (s *Shard) Outdated(now time.Time, newest string) string {
	for name, until := range s.packs {
		if name != newest && now.After(until.Add(2*Skew)) {
			return name
		}
	}
	return ""
}

// Unpacked counts the segments that no pack holds.
func (s *Shard) Unpacked() int { return len(s.unpacked) }

// Newest is the number up to which packs hold the segments; 0 without a pack.
func (s *Shard) Newest() uint64 { return s.packed }

// Forget says that an outdated pack is deleted.
func (s *Shard) Forget(name string) { delete(s.packs, name) }

// without copies a segment without its expired claims.
func without(segment *mustardtidev1.Segment, now time.Time) *mustardtidev1.Segment {
	kept := &mustardtidev1.Segment{Number: segment.GetNumber(), Writer: segment.GetWriter(), Time: segment.GetTime()}
	for _, c := range segment.GetClaims() {
		if !expired(c, now) {
			kept.Claims = append(kept.Claims, c)
		}
	}
	return kept
}

func expired(c *mustardtidev1.Claim, now time.Time) bool {
	return now.After(c.GetUntil().AsTime().Add(2 * Skew))
}

// end is when the last claim of a pack expires.
func end(pack *mustardtidev1.Pack) time.Time {
	var last time.Time
	for _, segment := range pack.GetSegments() {
		for _, c := range segment.GetClaims() {
			if until := c.GetUntil().AsTime(); until.After(last) {
				last = until
			}
		}
	}
	return last
}

func newest(packs map[string]*mustardtidev1.Pack) uint64 {
	var upto uint64
	for _, pack := range packs {
		upto = max(upto, pack.GetUpto())
	}
	return upto
}

// merged joins packs, which may overlap where two processes packed at once.
func merged(packs map[string]*mustardtidev1.Pack) []*mustardtidev1.Segment {
	byNumber := map[uint64]*mustardtidev1.Segment{}
	for _, pack := range packs {
		for _, segment := range pack.GetSegments() {
			known := byNumber[segment.GetNumber()]
			if known == nil || len(known.GetClaims()) < len(segment.GetClaims()) {
				byNumber[segment.GetNumber()] = segment
			}
		}
	}
	list := make([]*mustardtidev1.Segment, 0, len(byNumber))
	for _, segment := range byNumber {
		list = append(list, segment)
	}
	slices.SortFunc(list, func(a, b *mustardtidev1.Segment) int { return int(a.GetNumber()) - int(b.GetNumber()) })
	return list
}

// inOrder sorts the segments, keyed by their objects' versions, that come
// after the packs.
func inOrder(segments map[string]*mustardtidev1.Segment, packed uint64) []seen {
	var list []seen
	for version, segment := range segments {
		if segment.GetNumber() > packed {
			list = append(list, seen{version: version, segment: segment})
		}
	}
	slices.SortFunc(list, func(a, b seen) int { return int(a.segment.GetNumber()) - int(b.segment.GetNumber()) })
	return list
}

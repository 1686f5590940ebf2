// Package mtholder tracks which targets hold which parts of prompts.
//
// Prompts share long parts, and engines evict them within seconds. Without this table each engine
// would prefill a shared part anew. What it holds are hints: if a target no longer holds a part, a
// fetch from it misses, which costs a millisecond.
package mtholder

import (
	"container/list"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
)

const (
	// maxParts limits the number of parts: about 200 bytes each, 3 MB in total.
	maxParts = 16384
	// maxHolders limits the number of targets per part. The first parts occur in nearly
	// every prompt, and most engines of a current fleet hold a copy of them; a holder missing
	// from the table would be passed over.
	maxHolders = 64
	// maxHoldings limits the number of holders of all parts together to 4 MB: many parts with
	// many holders each would exhaust the memory of a small instance.
	maxHoldings = 4 * maxParts
	// unconfirmedTTL applies to a holder that has not reported the part itself, counted from the
	// last use: engines evict parts that were unused for some seconds when memory fills.
	unconfirmedTTL = 3 * time.Second
	// prefillTTL is how long a part that a target was given to prefill counts as in progress.
	prefillTTL = 3 * time.Second
	// storeTTL is how long a store counts as holding a part after the part was sent to it or
	// fetched from it. A store has several times the memory of an engine, and a fetch that
	// misses is noticed.
	storeTTL = time.Minute
	// advertiseTTL is how long a holder is at least returned to other processes that look up a part.
	// They ask its sidecar before they rely on it.
	advertiseTTL = 30 * time.Second
	// reportDelay is how long a new holding is kept although the target reports that it does not
	// hold the part: engines report what they have prefilled with a short delay.
	reportDelay = 300 * time.Millisecond
	// reportedTTL is how long a part reported by the target counts as held, since a few
	// eviction events are lost.
	reportedTTL = time.Minute
)

// Table is a bounded table of holders, kept by an entry or a directory. The parts recorded
// least recently are evicted. It is safe for concurrent use.
type Table struct {
	mu    sync.Mutex
	parts map[key]*list.Element
	// order lists the records, the most recently recorded first.
	order *list.List
	// count is the number of holders of all parts together.
	count int
}

type key struct {
	salt string
	part string
}

// record lists the holders of one part.
type record struct {
	key      key
	holdings []holding
}

// holding is what is known of one target as a holder of one part.
type holding struct {
	target string
	since  time.Time
	// tokens is the number of tokens that the target reported to hold, or unknown if it has
	// reported none and is assumed to hold the whole part.
	tokens int64
	// prefilling is true if the target was given the part to prefill and may not have prefilled it
	// yet.
	prefilling bool
	// store is true if the target is a store rather than an engine.
	store bool
}

// unknown stands for the number of tokens of the whole part.
const unknown = -1

// New returns an empty table.
func New() *Table {
	return &Table{parts: map[key]*list.Element{}, order: list.New()}
}

// RecordHeld records that a target has just prefilled or fetched the parts and now holds them.
func (m *Table) RecordHeld(salt, target string, parts []*fleetv1.Part) {
	m.noteAll(salt, parts, holding{target: target, since: time.Now(), tokens: unknown})
}

// RecordStored records that a store was sent the parts. A full store evicts the least recently used
// parts without reporting it.
func (m *Table) RecordStored(salt, target string, parts []*fleetv1.Part) {
	m.noteAll(salt, parts, holding{target: target, since: time.Now(), tokens: unknown, store: true})
}

// RecordPrefill records that a target was given the parts to prefill. They cannot be fetched yet,
// but other requests that need them are best sent to the same target.
func (m *Table) RecordPrefill(salt, target string, parts []*fleetv1.Part) {
	m.noteAll(salt, parts, holding{target: target, since: time.Now(), tokens: unknown, prefilling: true})
}

// noteAll records one holder for several parts.
func (m *Table) noteAll(salt string, parts []*fleetv1.Part, h holding) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, part := range parts {
		m.note(key{salt, part.GetId()}, h)
	}
}

// ApplyChanges applies the cache changes that a target reported. A change to 0 tokens is an
// eviction.
func (m *Table) ApplyChanges(target string, changes []*fleetv1.Held) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, change := range changes {
		k := key{change.GetSalt(), change.GetPart()}
		if change.GetTokens() > 0 {
			m.note(k, holding{target: target, since: now, tokens: change.GetTokens()})
		} else if element := m.parts[k]; element != nil {
			m.drop(element, target)
		}
	}
}

// drop removes one target from the holders of a part.
func (m *Table) drop(element *list.Element, target string) {
	r := element.Value.(*record)
	before := len(r.holdings)
	r.holdings = slices.DeleteFunc(r.holdings, func(h holding) bool { return h.target == target })
	m.count -= before - len(r.holdings)
}

// evict removes the part that was recorded least recently.
func (m *Table) evict() {
	oldest := m.order.Back()
	r := oldest.Value.(*record)
	m.count -= len(r.holdings)
	delete(m.parts, r.key)
	m.order.Remove(oldest)
}

// note adds or updates a holder of a part. A holding that is only being prefilled does not replace
// one that is still valid. A part with too many holders loses the one recorded longest ago.
func (m *Table) note(k key, h holding) {
	element := m.parts[k]
	if element == nil {
		if m.order.Len() >= maxParts {
			m.evict()
		}
		element = m.order.PushFront(&record{key: k})
		m.parts[k] = element
	}
	m.order.MoveToFront(element)
	r := element.Value.(*record)
	for i := range r.holdings {
		if r.holdings[i].target == h.target {
			if !h.prefilling || r.holdings[i].since.Add(r.holdings[i].ttl()).Before(h.since) {
				r.holdings[i] = h
			}
			return
		}
	}
	if len(r.holdings) < maxHolders {
		r.holdings = append(r.holdings, h)
		m.count++
		for m.count > maxHoldings {
			m.evict()
		}
		return
	}
	oldest := 0
	for i := range r.holdings {
		if r.holdings[i].since.Before(r.holdings[oldest].since) {
			oldest = i
		}
	}
	r.holdings[oldest] = h
}

// ttl returns how long the holding counts as valid.
func (h holding) ttl() time.Duration {
	switch {
	case h.prefilling:
		return prefillTTL
	case h.store:
		return storeTTL
	case h.tokens == unknown:
		return unconfirmedTTL
	default:
		return reportedTTL
	}
}

// Match is the prefix of a prompt that a target holds.
type Match struct {
	// Parts is the number of whole parts in the prefix, and Tokens its length.
	Parts  int
	Tokens int64
	// Fetchable is the number of leading tokens that have been prefilled and can be fetched.
	Fetchable int64
}

// Matches returns the match of each target that holds the beginning of the prompt.
func (m *Table) Matches(salt string, parts []*fleetv1.Part) map[string]Match {
	m.mu.Lock()
	defer m.mu.Unlock()
	found := map[string]Match{}
	now := time.Now()
	for i, part := range parts {
		element := m.parts[key{salt, part.GetId()}]
		if element == nil {
			return found
		}
		for _, h := range element.Value.(*record).holdings {
			match := found[h.target]
			if match.Parts != i || now.Sub(h.since) > h.ttl() {
				continue
			}
			tokens := part.GetTokens()
			if h.tokens != unknown {
				tokens = min(tokens, h.tokens)
			}
			if match.Fetchable == match.Tokens && !h.prefilling {
				match.Fetchable += tokens
			}
			match.Tokens += tokens
			if tokens == part.GetTokens() {
				match.Parts++
			}
			found[h.target] = match
		}
	}
	return found
}

// MergeHint merges a holder reported by another process, unless a more recent holding is known.
func (m *Table) MergeHint(holder *fleetv1.Holder, parts []*fleetv1.Part) {
	h := holding{
		target: holder.GetTarget(), since: time.Now().Add(-holder.GetAge().AsDuration()), tokens: unknown,
		prefilling: holder.GetReading(), store: holder.GetStore(),
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, part := range parts {
		k := key{holder.GetSalt(), part.GetId()}
		if old, ok := m.find(k, h.target); ok && !old.since.Before(h.since) {
			continue
		}
		m.note(k, h)
	}
}

// find returns the holding of one target for a part.
func (m *Table) find(k key, target string) (holding, bool) {
	if element := m.parts[k]; element != nil {
		for _, h := range element.Value.(*record).holdings {
			if h.target == target {
				return h, true
			}
		}
	}
	return holding{}, false
}

// ApplyReply applies a target's reply to a query for the given parts. Parts missing from the reply
// are removed, unless their holding is so recent that the reply may not cover it.
func (m *Table) ApplyReply(target string, salts, parts []string, found []*fleetv1.Held) {
	m.ApplyChanges(target, found)
	reported := map[key]bool{}
	for _, f := range found {
		reported[key{f.GetSalt(), f.GetPart()}] = true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, salt := range salts {
		for _, part := range parts {
			k := key{salt, part}
			if h, ok := m.find(k, target); ok && !reported[k] && !h.fresh() {
				m.drop(m.parts[k], target)
			}
		}
	}
}

// fresh reports whether the holding is too recent for the target's reports to cover it.
func (h holding) fresh() bool {
	return h.prefilling && time.Since(h.since) < prefillTTL || time.Since(h.since) < reportDelay
}

// Holders returns the targets that hold a part or are prefilling it, the most recent first and at
// most limit of them.
func (m *Table) Holders(salt, part string, limit int) []*fleetv1.Holder {
	m.mu.Lock()
	defer m.mu.Unlock()
	element := m.parts[key{salt, part}]
	if element == nil {
		return nil
	}
	list := slices.Clone(element.Value.(*record).holdings)
	slices.SortFunc(list, func(a, b holding) int { return b.since.Compare(a.since) })
	var holders []*fleetv1.Holder
	for _, h := range list {
		age := time.Since(h.since)
		if len(holders) == limit || age > max(advertiseTTL, h.ttl()) || h.prefilling && age > prefillTTL {
			continue
		}
		holders = append(holders, &fleetv1.Holder{
			Salt: salt, Target: h.target, Reading: h.prefilling, Age: durationpb.New(age), Store: h.store,
		})
	}
	return holders
}

// Remove removes a target from the holders of the parts.
func (m *Table) Remove(salt, target string, parts []*fleetv1.Part) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, part := range parts {
		if element := m.parts[key{salt, part.GetId()}]; element != nil {
			m.drop(element, target)
		}
	}
}

// RemoveTarget removes a target from all parts, because it has restarted or changed its weights.
func (m *Table) RemoveTarget(target string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for element := m.order.Front(); element != nil; element = element.Next() {
		m.drop(element, target)
	}
}

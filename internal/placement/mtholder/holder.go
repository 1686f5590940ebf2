// Package mtholder remembers which targets hold which parts of prompts.
//
// The load it answers is prompts that share long parts while engines evict
// within seconds: without it a part is read anew at every engine. What is
// remembered is a hint: a target that no longer holds a part costs a
// millisecond of a fetch that misses.
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
	// kept bounds the parts that are remembered: at about 200 bytes each, 3 MB.
	kept = 16384
	// holders bounds the targets remembered for one part: of the first parts, which
	// are in nearly every prompt, most engines of a fleet of today hold a copy, and one
	// that is not known to would be passed over.
	holders = 64
	// heldMost bounds what is remembered in all, 4 MB: many parts with many holders
	// each would take a small instance's memory.
	heldMost = 4 * kept
	// believed is how long a part counts as held after its last use where the
	// target has not told of it: engines drop what was not used for some seconds
	// when their memory fills.
	believed = 3 * time.Second
	// given is how long a part counts as about to be read.
	given = 3 * time.Second
	// keeping is how long a store counts as holding a part after it was sent there or
	// fetched from there: it has several times an engine's memory, and a fetch that
	// misses shows.
	keeping = time.Minute
	// named is how long a target is named to others that look for a part: they ask its
	// sidecar before they rely on it.
	named = 30 * time.Second
	// settled is how long what was heard of a part stands against the target's own word
	// that it does not hold it: engines tell of what they have read a moment later.
	settled = 300 * time.Millisecond
	// told is how long a part counts as held where the target has told of it: a few
	// events never come.
	told = time.Minute
)

// Memory is one entry's. It is safe for concurrent use.
type Memory struct {
	mu    sync.Mutex
	parts map[key]*list.Element
	order *list.List
	// held counts the holders of all parts.
	held int
}

type key struct {
	salt string
	part string
}

type record struct {
	key  key
	held []held
}

type held struct {
	target string
	since  time.Time
	// tokens are those that the target is known to hold; unknown where it is
	// only believed to hold the whole part.
	tokens int64
	// reading says that the target has been given the part to read.
	reading bool
	// kept says that the target is a store.
	kept bool
}

// unknown tokens are as many as the part has.
const unknown = -1

// New returns an empty memory.
func New() *Memory {
	return &Memory{parts: map[key]*list.Element{}, order: list.New()}
}

// Note remembers that a target holds the parts now, which it has just read or
// fetched.
func (m *Memory) Note(salt, target string, parts []*fleetv1.Part) {
	m.all(salt, parts, held{target: target, since: time.Now(), tokens: unknown})
}

// Keep remembers that a store has been sent the parts. It drops the least
// recently used when it is full, and does not tell.
func (m *Memory) Keep(salt, target string, parts []*fleetv1.Part) {
	m.all(salt, parts, held{target: target, since: time.Now(), tokens: unknown, kept: true})
}

// Read remembers that a target has been given the parts to read. Requests that
// need them too do best to follow them there; nobody can fetch them yet.
func (m *Memory) Read(salt, target string, parts []*fleetv1.Part) {
	m.all(salt, parts, held{target: target, since: time.Now(), tokens: unknown, reading: true})
}

func (m *Memory) all(salt string, parts []*fleetv1.Part, h held) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, part := range parts {
		m.note(key{salt, part.GetId()}, h)
	}
}

// Learn takes in what a target told of its cache.
func (m *Memory) Learn(target string, changes []*fleetv1.Held) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, change := range changes {
		k := key{change.GetSalt(), change.GetPart()}
		if change.GetTokens() > 0 {
			m.note(k, held{target: target, since: now, tokens: change.GetTokens()})
		} else if element := m.parts[k]; element != nil {
			m.drop(element, target)
		}
	}
}

// drop forgets one target of a part.
func (m *Memory) drop(element *list.Element, target string) {
	r := element.Value.(*record)
	before := len(r.held)
	r.held = slices.DeleteFunc(r.held, func(h held) bool { return h.target == target })
	m.held -= before - len(r.held)
}

// evict forgets the part that was not used for the longest time.
func (m *Memory) evict() {
	oldest := m.order.Back()
	r := oldest.Value.(*record)
	m.held -= len(r.held)
	delete(m.parts, r.key)
	m.order.Remove(oldest)
}

func (m *Memory) note(k key, h held) {
	element := m.parts[k]
	if element == nil {
		if m.order.Len() >= kept {
			m.evict()
		}
		element = m.order.PushFront(&record{key: k})
		m.parts[k] = element
	}
	m.order.MoveToFront(element)
	r := element.Value.(*record)
	for i := range r.held {
		if r.held[i].target == h.target {
			if !h.reading || r.held[i].since.Add(r.held[i].lasting()).Before(h.since) {
				r.held[i] = h
			}
			return
		}
	}
	if len(r.held) < holders {
		r.held = append(r.held, h)
		m.held++
		for m.held > heldMost {
			m.evict()
		}
		return
	}
	oldest := 0
	for i := range r.held {
		if r.held[i].since.Before(r.held[oldest].since) {
			oldest = i
		}
	}
	r.held[oldest] = h
}

func (h held) lasting() time.Duration {
	switch {
	case h.reading:
		return given
	case h.kept:
		return keeping
	case h.tokens == unknown:
		return believed
	default:
		return told
	}
}

// Match is what a target holds of a prompt from its beginning.
type Match struct {
	// Parts and Tokens are the length of the match.
	Parts  int
	Tokens int64
	// Read is the part of the tokens that has been read and can be fetched.
	Read int64
}

// Matches returns for each target that holds the prompt's first part how far
// its match goes.
func (m *Memory) Matches(salt string, parts []*fleetv1.Part) map[string]Match {
	m.mu.Lock()
	defer m.mu.Unlock()
	found := map[string]Match{}
	now := time.Now()
	for i, part := range parts {
		element := m.parts[key{salt, part.GetId()}]
		if element == nil {
			return found
		}
		for _, h := range element.Value.(*record).held {
			match := found[h.target]
			if match.Parts != i || now.Sub(h.since) > h.lasting() {
				continue
			}
			tokens := part.GetTokens()
			if h.tokens != unknown {
				tokens = min(tokens, h.tokens)
			}
			if match.Read == match.Tokens && !h.reading {
				match.Read += tokens
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

// Believe remembers what another process has heard of the parts, which may be old.
func (m *Memory) Believe(holder *fleetv1.Holder, parts []*fleetv1.Part) {
	h := held{
		target: holder.GetTarget(), since: time.Now().Add(-holder.GetAge().AsDuration()), tokens: unknown,
		reading: holder.GetReading(), kept: holder.GetStore(),
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, part := range parts {
		k := key{holder.GetSalt(), part.GetId()}
		if old, ok := m.of(k, h.target); ok && !old.since.Before(h.since) {
			continue
		}
		m.note(k, h)
	}
}

// of returns what is remembered of one target of a part.
func (m *Memory) of(k key, target string) (held, bool) {
	if element := m.parts[k]; element != nil {
		for _, h := range element.Value.(*record).held {
			if h.target == target {
				return h, true
			}
		}
	}
	return held{}, false
}

// Answer takes in a target's own word on what it holds of some parts.
func (m *Memory) Answer(target string, salts, parts []string, found []*fleetv1.Held) {
	m.Learn(target, found)
	has := map[key]bool{}
	for _, f := range found {
		has[key{f.GetSalt(), f.GetPart()}] = true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, salt := range salts {
		for _, part := range parts {
			k := key{salt, part}
			if h, ok := m.of(k, target); ok && !has[k] && !h.fresh() {
				m.drop(m.parts[k], target)
			}
		}
	}
}

// fresh says that the target's own word may not reach as far yet.
func (h held) fresh() bool {
	return h.reading && time.Since(h.since) < given || time.Since(h.since) < settled
}

// Holders names who holds a part, or is about to, the newest first and at most so many.
func (m *Memory) Holders(salt, part string, most int) []*fleetv1.Holder {
	m.mu.Lock()
	defer m.mu.Unlock()
	element := m.parts[key{salt, part}]
	if element == nil {
		return nil
	}
	list := slices.Clone(element.Value.(*record).held)
	slices.SortFunc(list, func(a, b held) int { return b.since.Compare(a.since) })
	var holders []*fleetv1.Holder
	for _, h := range list {
		age := time.Since(h.since)
		if len(holders) == most || age > max(named, h.lasting()) || h.reading && age > given {
			continue
		}
		holders = append(holders, &fleetv1.Holder{
			Salt: salt, Target: h.target, Reading: h.reading, Age: durationpb.New(age), Store: h.kept,
		})
	}
	return holders
}

// Drop forgets that a target holds the parts.
func (m *Memory) Drop(salt, target string, parts []*fleetv1.Part) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, part := range parts {
		if element := m.parts[key{salt, part.GetId()}]; element != nil {
			m.drop(element, target)
		}
	}
}

// Forget drops what a target held: it has started anew or changed its weights.
func (m *Memory) Forget(target string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for element := m.order.Front(); element != nil; element = element.Next() {
		m.drop(element, target)
	}
}

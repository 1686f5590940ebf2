// Package mtspread holds the settings in force in a process: the highest
// revision that it was given and could read.
package mtspread

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/gravitational/trace"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/observe/mtevent"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	"github.com/mustardtide/mustardtide/internal/settings/mtcompile"
	"github.com/mustardtide/mustardtide/internal/settings/mtmanifest"
	"github.com/mustardtide/mustardtide/internal/settings/mtmerge"
	"github.com/mustardtide/mustardtide/internal/settings/mtsnapshot"
	"github.com/mustardtide/mustardtide/internal/settings/mtword"
)

// maxHeard bounds the words of newer revisions that wait to be acted on; one is
// enough to fetch from, and the next message brings another.
const maxHeard = 8

// held is a manifest with the snapshot built from it.
type held struct {
	manifest *mtmanifest.Manifest
	snapshot *mtsnapshot.Snapshot
}

// Spread holds the settings in force. Requests read them without a lock.
type Spread struct {
	datacentre string
	log        *mtevent.Log
	held       atomic.Pointer[held]
	heard      chan mtword.Word

	mu       sync.Mutex
	compiler *mtcompile.Compiler
	rejected uint64
	ready    chan struct{}
	changed  chan struct{}
}

// New returns a Spread without settings for a process in a data centre.
func New(datacentre string, log *mtevent.Log) *Spread {
	s := &Spread{
		datacentre: datacentre,
		log:        log,
		heard:      make(chan mtword.Word, maxHeard),
		compiler:   mtcompile.New(),
		ready:      make(chan struct{}),
		changed:    make(chan struct{}),
	}
	s.held.Store(&held{manifest: mtmanifest.Empty(), snapshot: mtsnapshot.New(0, &mustardtidev1.Base{})})
	return s
}

// Snapshot is the settings in force; revision 0 before any came.
func (s *Spread) Snapshot() *mtsnapshot.Snapshot { return s.held.Load().snapshot }

// Manifest is what the snapshot was built from.
func (s *Spread) Manifest() *mtmanifest.Manifest { return s.held.Load().manifest }

// Ready closes when the first settings are in force.
func (s *Spread) Ready() <-chan struct{} { return s.ready }

// Changed closes at the next adoption.
func (s *Spread) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Hear takes in what a message said of its sender. On the path of a request it costs
// two loads where the peer is not ahead.
func (s *Spread) Hear(word mtword.Word) {
	if !s.Wants(word.Revision()) {
		return
	}
	select {
	case s.heard <- word:
	default:
	}
}

// Heard gives the words of peers that are ahead.
func (s *Spread) Heard() <-chan mtword.Word { return s.heard }

// Wants says whether a revision is above the one in force and not known to be
// unreadable.
func (s *Spread) Wants(revision uint64) bool {
	if revision <= s.Snapshot().Revision() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return revision != s.rejected
}

// Adopt puts a manifest in force if its revision is higher. A lower one is
// never taken: a stale peer or a late answer can't turn settings back. One that
// can't be read is not taken either: the process stays on what it has, and does
// not fetch that revision again.
func (s *Spread) Adopt(m *mtmanifest.Manifest) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.Manifest().Revision()
	if m.Revision() < before {
		s.log.Add(mtkind.SettingsStale, &mustardtidev1.Event{Text: fmt.Sprintf("revision %d offered, %d in force", m.Revision(), before)})
		return nil
	}
	if m.Revision() == before || m.Revision() == s.rejected {
		return nil
	}
	if missing := m.Missing(); len(missing) > 0 {
		return trace.BadParameter("%d chunks are missing", len(missing))
	}
	merged, err := s.compiler.Compile(m.Pieces(mtmerge.BaseName), m.Pieces(s.datacentre))
	if err != nil {
		s.rejected = m.Revision()
		s.log.Add(mtkind.SettingsRejected, &mustardtidev1.Event{Text: fmt.Sprintf("revision %d: %s", m.Revision(), trace.UserMessage(err))})
		return trace.Wrap(err)
	}
	s.held.Store(&held{manifest: m, snapshot: mtsnapshot.New(m.Revision(), merged)})
	s.log.Add(mtkind.SettingsAdopted, &mustardtidev1.Event{Text: fmt.Sprintf("revision %d, submission %s", m.Revision(), m.Head().GetSubmission())})
	if before == 0 {
		close(s.ready)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

// Package mtspread keeps a process's settings at the highest revision that the
// platform or any peer has.
package mtspread

import (
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
)

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

	mu       sync.Mutex
	compiler *mtcompile.Compiler
	ready    chan struct{}
}

// New returns a Spread without settings for a process in a data centre.
func New(datacentre string, log *mtevent.Log) *Spread {
	s := &Spread{datacentre: datacentre, log: log, compiler: mtcompile.New(), ready: make(chan struct{})}
	s.held.Store(&held{manifest: mtmanifest.Empty(), snapshot: mtsnapshot.New(0, &mustardtidev1.Base{})})
	return s
}

// Snapshot is the settings in force; revision 0 before any came.
func (s *Spread) Snapshot() *mtsnapshot.Snapshot { return s.held.Load().snapshot }

// Manifest is what the snapshot was built from.
func (s *Spread) Manifest() *mtmanifest.Manifest { return s.held.Load().manifest }

// Ready closes when the first settings are in force.
func (s *Spread) Ready() <-chan struct{} { return s.ready }

// Adopt puts a manifest in force if its revision is higher. A lower one is
// never taken: a stale peer or a late answer can't turn settings back.
func (s *Spread) Adopt(m *mtmanifest.Manifest) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.Manifest().Revision()
	if m.Revision() <= before {
		return nil
	}
	merged, err := s.compiler.Compile(m.Pieces(mtmerge.BaseName), m.Pieces(s.datacentre))
	if err != nil {
		s.log.Add(mtkind.SettingsRejected, &mustardtidev1.Event{Text: err.Error()})
		return trace.Wrap(err)
	}
	s.held.Store(&held{manifest: m, snapshot: mtsnapshot.New(m.Revision(), merged)})
	s.log.Add(mtkind.SettingsAdopted, &mustardtidev1.Event{Text: m.Head().GetSubmission()})
	if before == 0 {
		close(s.ready)
	}
	return nil
}

// Package mtsuspicion shares through the platform which requests crash targets,
// so that the second crash counts whichever target, entry or process it comes
// by.
//
// One small object per suspect is written at each crash and at each rerun: a
// target's crash is rare, and a batch has a few dozen requests at most.
package mtsuspicion

import (
	"context"
	"encoding/hex"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/outside/mtplatform"
	"github.com/mustardtide/mustardtide/internal/outside/mtrecord"
)

const (
	group = "poison"
	// condemned is the number of crashes that quarantines a request.
	condemned = 2
	// patience bounds one use of the platform: a suspect waits for it, and a
	// platform that takes longer is as good as down for it.
	patience = time.Second
	// tries bounds the writes lost to other writers: a batch's neighbours have
	// objects of their own, so that only a few processes meet at one.
	tries = 5
	// trialTime is how long a rerun keeps others from running the same request:
	// the longest deadline of an interactive service. Clocks of instances differ
	// by far less; a trial that lapses early costs one more rerun.
	trialTime = time.Minute
	// kept is how long an object is heeded; it is deleted afterwards.
	kept = time.Hour
)

// Store reads and writes suspicions. Its errors say that the platform could not
// be reached: the caller then knows only what it was told.
type Store struct {
	client *mtplatform.Client
}

// New returns a store on a platform client.
func New(client *mtplatform.Client) *Store { return &Store{client: client} }

// Crash adds a crash, named by target and incarnation, and returns what is known
// now. reported says that the crash before was known to the entry, which counts
// where its object was never written.
func (s *Store) Crash(ctx context.Context, digest []byte, source string, reported bool) (*mustardtidev1.Suspicion, error) {
	return s.change(ctx, digest, func(m *mustardtidev1.Suspicion) bool {
		if slices.Contains(m.GetCrashes(), source) {
			return false
		}
		if reported && len(m.GetCrashes()) == 0 {
			m.Crashes = append(m.Crashes, "reported")
		}
		m.Crashes = append(m.Crashes, source)
		m.Banned = m.GetBanned() || len(m.GetCrashes()) >= condemned
		m.Trial, m.Until = "", nil
		return true
	})
}

// Try claims the one rerun of a suspect for a run. It has it if the returned
// suspicion names that run.
func (s *Store) Try(ctx context.Context, digest []byte, run string) (*mustardtidev1.Suspicion, error) {
	return s.change(ctx, digest, func(m *mustardtidev1.Suspicion) bool {
		if m.GetBanned() || m.GetTrial() == run {
			return false
		}
		if m.GetTrial() != "" && time.Now().Before(m.GetUntil().AsTime()) {
			return false
		}
		if len(m.GetCrashes()) == 0 {
			m.Crashes = []string{"reported"}
		}
		m.Trial, m.Until = run, timestamppb.New(time.Now().Add(trialTime))
		return true
	})
}

// Release gives back a rerun that did not come to its end and crashed nothing.
func (s *Store) Release(ctx context.Context, digest []byte, run string) error {
	_, err := s.change(ctx, digest, func(m *mustardtidev1.Suspicion) bool {
		if m.GetTrial() != run {
			return false
		}
		m.Trial, m.Until = "", nil
		return true
	})
	return trace.Wrap(err)
}

// Clear removes a suspicion; a quarantine stays.
func (s *Store) Clear(ctx context.Context, digest []byte) error {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	record, err := s.client.Get(ctx, name(digest))
	if trace.IsNotFound(err) {
		return nil
	}
	if err != nil {
		return trace.Wrap(err)
	}
	if m, err := decode(record.Data()); err != nil || m.GetBanned() {
		return trace.Wrap(err)
	}
	return s.client.Delete(ctx, record)
}

// change applies a change to a suspicion until no other writer comes between.
// A write whose answer was lost is settled by the next read: each change is
// without effect where it has been made.
func (s *Store) change(ctx context.Context, digest []byte, apply func(*mustardtidev1.Suspicion) bool) (*mustardtidev1.Suspicion, error) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	var last error
	for range tries {
		record, err := s.client.Get(ctx, name(digest))
		absent := trace.IsNotFound(err)
		if err != nil && !absent {
			return nil, trace.Wrap(err)
		}
		m, err := current(record, absent, digest)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if !apply(m) {
			return m, nil
		}
		if last = s.write(ctx, record, absent, m); last == nil {
			return m, nil
		}
	}
	return nil, trace.Wrap(last)
}

func (s *Store) write(ctx context.Context, record mtrecord.Record, absent bool, m *mustardtidev1.Suspicion) error {
	m.Time = timestamppb.Now()
	data, err := proto.Marshal(m)
	if err != nil {
		return trace.Wrap(err)
	}
	if absent {
		_, err = s.client.Create(ctx, name(m.GetPrint()), data)
	} else {
		_, err = s.client.Update(ctx, record, data)
	}
	return trace.Wrap(err)
}

// current is the suspicion in force; one that has lapsed counts for nothing.
func current(record mtrecord.Record, absent bool, digest []byte) (*mustardtidev1.Suspicion, error) {
	fresh := &mustardtidev1.Suspicion{Print: digest}
	if absent {
		return fresh, nil
	}
	m, err := decode(record.Data())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if lapsed(m) {
		return fresh, nil
	}
	return m, nil
}

func lapsed(m *mustardtidev1.Suspicion) bool { return time.Since(m.GetTime().AsTime()) > kept }

func decode(data []byte) (*mustardtidev1.Suspicion, error) {
	m := &mustardtidev1.Suspicion{}
	if err := proto.Unmarshal(data, m); err != nil {
		return nil, trace.BadParameter("a suspicion's object is broken: %v", err)
	}
	return m, nil
}

func name(digest []byte) string { return group + "." + hex.EncodeToString(digest) }

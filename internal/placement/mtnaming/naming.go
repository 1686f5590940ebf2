// Package mtnaming tracks how long ago each version of a model's weights was published, that is,
// entered in the store as the version that the model's engines should run. A Naming is the record
// of the publications of one model's weights.
//
// A restarted process reads from the store which weights are the newest, but not since when, so
// processes exchange the ages. An age is a lower bound: merging keeps the greatest, so that a late
// message or a process that was suspended never makes a publication look more recent.
package mtnaming

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
)

const (
	// unseenShare is the fraction of the grace period that is added to the age of a publication
	// that no process observed.
	unseenShare = 0.25
	// maxObservationDelay limits the delay between processes that observe the same publication.
	maxObservationDelay = time.Second
	// maxAge limits the ages that are accepted; greater ones are reduced to it.
	maxAge = time.Hour
	// maxVersions limits the number of versions that are kept.
	maxVersions = 8
)

// Naming is the record of the publications of one model's weights. It is not safe for concurrent
// use.
type Naming struct {
	gracePeriod time.Duration
	weights     *fleetv1.Weights
	versions    []version
}

// version is a version that was published at since or earlier. certain is true if some process
// observed its publication.
type version struct {
	number  int64
	since   time.Time
	certain bool
}

// New returns a Naming without any weights. gracePeriod is how long a run may still start on older
// weights after newer ones were published.
func New(gracePeriod time.Duration) *Naming { return &Naming{gracePeriod: gracePeriod} }

// FromListing returns weights that were read from a listing of the store, which does not contain
// the time at which they were published. Their age is marked as not certain.
func FromListing(weights *fleetv1.Weights) *fleetv1.Weights {
	listed := proto.CloneOf(weights)
	listed.Ages = []*fleetv1.Age{{Version: weights.GetVersion(), Age: durationpb.New(0)}}
	return listed
}

// Merge adds weights reported by the store or by another process. It reports whether they are newer
// than the newest known.
func (n *Naming) Merge(weights *fleetv1.Weights) bool {
	newer := weights.GetVersion() > n.weights.GetVersion()
	if newer {
		n.weights = weights
	}
	now := time.Now()
	for _, age := range weights.GetAges() {
		if age.GetVersion() > weights.GetVersion() {
			continue
		}
		n.mergeVersion(version{age.GetVersion(), now.Add(-min(maxAge, max(0, age.GetAge().AsDuration()))), age.GetCertain()})
	}
	if len(weights.GetAges()) == 0 {
		n.mergeVersion(version{weights.GetVersion(), now, true})
	}
	n.prune()
	return newer
}

// mergeVersion adds or updates the age of one version.
func (n *Naming) mergeVersion(reported version) {
	at, found := slices.BinarySearchFunc(n.versions, reported.number, func(v version, number int64) int { return int(v.number - number) })
	if !found {
		n.versions = slices.Insert(n.versions, at, reported)
		return
	}
	// A process that reports a much smaller age learned of the publication late.
	older, younger := n.versions[at], reported
	if younger.since.Before(older.since) {
		older, younger = younger, older
	}
	older.certain = older.certain || younger.certain && younger.since.Sub(older.since) < maxObservationDelay
	n.versions[at] = older
}

// prune drops versions that no longer matter. If the grace period has passed since two versions
// were published, targets that lack either are treated alike.
func (n *Naming) prune() {
	first := max(0, len(n.versions)-maxVersions)
	for first+1 < len(n.versions) && time.Since(n.versions[first+1].since) > n.gracePeriod {
		first++
	}
	n.versions = slices.Delete(n.versions, 0, first)
}

// OutdatedFor returns how long ago the first version newer than number was published, or 0 if there
// is none.
func (n *Naming) OutdatedFor(number int64) time.Duration {
	var first time.Time
	for _, v := range n.versions {
		if at := n.publishedAt(v); v.number > number && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	if first.IsZero() {
		return 0
	}
	return time.Since(first)
}

// Uncertain reports whether no process observed the publication of some version newer than number.
// That version may have been published much earlier than its age suggests.
func (n *Naming) Uncertain(number int64) bool {
	return slices.ContainsFunc(n.versions, func(v version) bool { return v.number > number && !v.certain })
}

// Age returns how long ago the newest weights were published, or 0 if there are none.
func (n *Naming) Age() time.Duration {
	if len(n.versions) == 0 {
		return 0
	}
	return time.Since(n.publishedAt(n.versions[len(n.versions)-1]))
}

// publishedAt returns the time at which a version is assumed to have been published.
func (n *Naming) publishedAt(v version) time.Time {
	if v.certain {
		return v.since
	}
	return v.since.Add(-time.Duration(unseenShare * float64(n.gracePeriod)))
}

// Newest returns the newest weights, or nil if there are none.
func (n *Naming) Newest() *fleetv1.Weights { return n.weights }

// Snapshot returns the newest weights with the ages of all versions, to share with other processes.
// It returns nil if there are none.
func (n *Naming) Snapshot() *fleetv1.Weights {
	if n.weights == nil {
		return nil
	}
	snapshot := &fleetv1.Weights{Model: n.weights.GetModel(), Version: n.weights.GetVersion(), Revision: n.weights.GetRevision()}
	for _, v := range n.versions {
		snapshot.Ages = append(snapshot.Ages, &fleetv1.Age{Version: v.number, Age: durationpb.New(time.Since(v.since)), Certain: v.certain})
	}
	return snapshot
}

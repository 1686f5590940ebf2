// Package mtbuilds records which software versions each service's targets have run recently: a
// version that has just left may have begun a stream whose origin is unknown.
package mtbuilds

import (
	"sync"
	"time"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
)

// retention is how long a build that has left is remembered: longer than any stream.
const retention = 15 * time.Minute

// Builds is one process's record. It is safe for concurrent use.
type Builds struct {
	mu sync.Mutex
	// since is when the first complete list was known.
	since time.Time
	// left are the times at which a service's builds were last listed; zero for those that are.
	left map[string]map[string]time.Time
}

// New returns an empty record.
func New() *Builds { return &Builds{left: map[string]map[string]time.Time{}} }

// See records the targets that are listed now; complete says that there are no others.
func (b *Builds) See(targets map[string]*fleetv1.Target, complete bool) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if complete && b.since.IsZero() {
		b.since = now
	}
	for service, builds := range b.left {
		for build, left := range builds {
			switch {
			case left.IsZero():
				builds[build] = now
			case now.Sub(left) > retention:
				delete(builds, build)
			}
		}
		if len(builds) == 0 {
			delete(b.left, service)
		}
	}
	for _, target := range targets {
		if b.left[target.GetService()] == nil {
			b.left[target.GetService()] = map[string]time.Time{}
		}
		b.left[target.GetService()][target.GetBuild()] = time.Time{}
	}
}

// Only returns the one build that a service's targets have run within a time; false where there
// were several, where it is unknown or where the record does not reach that far back.
func (b *Builds) Only(service string, within time.Duration) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.within(service, within)
	if len(list) != 1 || list[0] == "" || b.since.IsZero() || time.Since(b.since) < within {
		return "", false
	}
	return list[0], true
}

// Listed returns the one build that a service's targets are known to have run within a time; "" where
// there were several or no complete list is known. The record may not reach that far back.
func (b *Builds) Listed(service string, within time.Duration) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.within(service, within)
	if len(list) != 1 || b.since.IsZero() {
		return ""
	}
	return list[0]
}

// Several reports whether a service's targets are known to have run several builds within a time.
func (b *Builds) Several(service string, within time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.within(service, within)) > 1
}

func (b *Builds) within(service string, within time.Duration) []string {
	var list []string
	for build, left := range b.left[service] {
		if left.IsZero() || time.Since(left) < within {
			list = append(list, build)
		}
	}
	return list
}

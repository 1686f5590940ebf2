// Package mtbuilds keeps which software versions the targets of each service have had of late.
//
// The failure it answers is a stream of unknown origin that goes on at the only version that is
// listed now, while another one, which has just left, began it.
package mtbuilds

import (
	"sync"
	"time"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
)

// keptTime is how long a build that has left is remembered: longer than any stream.
const keptTime = 15 * time.Minute

// Builds is one process's memory. It is safe for concurrent use.
type Builds struct {
	mu sync.Mutex
	// since is when the first complete list was known.
	since time.Time
	// left are the times at which a service's builds were last seen, the zero time for those
	// that are listed.
	left map[string]map[string]time.Time
}

// New remembers nothing.
func New() *Builds { return &Builds{left: map[string]map[string]time.Time{}} }

// See takes in the targets that are listed now; complete says that no other is.
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
			case now.Sub(left) > keptTime:
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

// Only returns the one build that a service's targets have had within a time; false where there
// were several, where it is not known or where the time is not overlooked.
func (b *Builds) Only(service string, within time.Duration) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.within(service, within)
	if len(list) != 1 || list[0] == "" || b.since.IsZero() || time.Since(b.since) < within {
		return "", false
	}
	return list[0], true
}

// Several says that a service's targets surely have had more than one build within a time.
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

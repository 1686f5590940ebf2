package mtcredit

import (
	"sync"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
)

// mostQueued bounds the draws that wait for one entry's last answer.
const mostQueued = 256

// lines hold the draws for each other entry. One call is under way on a line at a time:
// an allocator takes no draw that comes after a later one.
type lines struct {
	mu     sync.Mutex
	open   map[string]*line
	silent map[string]bool
}

// line is the calls to one entry while there are any.
type line struct {
	queue []*fleetv1.Draw
}

func newLines() *lines { return &lines{open: map[string]*line{}, silent: map[string]bool{}} }

// put queues a draw, nil for none, and says whether the line was idle: the caller must
// then make calls until next says that nothing is left.
func (l *lines) put(name string, draw *fleetv1.Draw) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	found, busy := l.open[name]
	if !busy {
		found = &line{}
		l.open[name] = found
	}
	if draw != nil && len(found.queue) < mostQueued {
		found.queue = append(found.queue, draw)
	}
	return !busy
}

// take returns what is queued for an entry.
func (l *lines) take(name string) []*fleetv1.Draw {
	l.mu.Lock()
	defer l.mu.Unlock()
	queue := l.open[name].queue
	l.open[name].queue = nil
	return queue
}

// next notes whether an entry has answered, and says that more is queued for it. What
// is queued for one that did not is dropped.
func (l *lines) next(name string, answered bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if answered {
		delete(l.silent, name)
	} else {
		l.silent[name] = true
	}
	if answered && len(l.open[name].queue) > 0 {
		return true
	}
	delete(l.open, name)
	return false
}

// silentOnes lists the entries that have not answered; known says which still exist.
func (l *lines) silentOnes(known func(string) bool) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var names []string
	for name := range l.silent {
		if known(name) {
			names = append(names, name)
		} else {
			delete(l.silent, name)
		}
	}
	return names
}

// isSilent says that an entry has not answered.
func (l *lines) isSilent(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent[name]
}

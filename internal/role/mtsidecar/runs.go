package mtsidecar

import (
	"context"
	"sync"
	"time"

	"github.com/mustardtide/mustardtide/internal/request/mtbuffer"
)

// Bounds of a run's answer: the unacknowledged bytes kept for a resume, and how
// long an ended run's answer is kept for an entry whose connection broke.
const (
	bufferLimit = 1 << 20
	keepEnded   = 30 * time.Second
)

// runKey names one attempt of a request.
type runKey struct {
	run     string
	attempt uint32
}

// run is one attempt on this target.
type run struct {
	buffer *mtbuffer.Buffer
	cancel context.CancelFunc
}

// runs holds the live runs and those that ended a short time ago.
type runs struct {
	mu    sync.Mutex
	byKey map[runKey]*run
	count int
	group sync.WaitGroup
}

func newRuns() *runs { return &runs{byKey: map[runKey]*run{}} }

// add enters a run; it is false where this attempt is known already, as when
// an entry's call was carried twice.
func (r *runs) add(key runKey, cancel context.CancelFunc) (*run, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, ok := r.byKey[key]; ok {
		return known, false
	}
	added := &run{buffer: mtbuffer.New(bufferLimit), cancel: cancel}
	r.byKey[key] = added
	r.count++
	r.group.Add(1)
	return added, true
}

func (r *runs) find(key runKey) *run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byKey[key]
}

// end marks a run as ended; its answer stays for a while.
func (r *runs) end(key runKey) {
	r.mu.Lock()
	r.count--
	r.mu.Unlock()
	time.AfterFunc(keepEnded, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.byKey, key)
	})
	r.group.Done()
}

func (r *runs) live() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

func (r *runs) wait() { r.group.Wait() }

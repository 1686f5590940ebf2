package mtsidecar

import (
	"sync"
	"time"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
)

// keepEnded is how long an ended run is remembered: an entry finds a broken
// connection within three seconds and resumes for some seconds more. Entries
// trust a sidecar's "no such run" only for less than this time.
const keepEnded = 30 * time.Second

// runKey names one attempt of a request.
type runKey struct {
	run     string
	attempt uint32
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
func (r *runs) add(key runKey, added *run) (*run, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, ok := r.byKey[key]; ok {
		return known, false
	}
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

// bar returns the run of a key, or enters one that has ended with a refusal:
// a call which is still on its way here then finds itself refused.
func (r *runs) bar(key runKey, refusal *mtrefusal.Refusal) (*run, bool) {
	barred := newRun(func() {})
	known, fresh := r.add(key, barred)
	if !fresh {
		return known, true
	}
	barred.withdraw(refusal)
	barred.settle()
	r.end(key)
	return barred, false
}

// end marks a run as ended; its answer stays for a while.
func (r *runs) end(key runKey) {
	r.mu.Lock()
	r.count--
	r.mu.Unlock()
	time.AfterFunc(keepEnded, func() { r.forget(key) })
	r.group.Done()
}

// done drops an ended run's answer, which its entry has. The run itself stays
// known, so that a late copy of its call is not begun.
func (r *runs) done(key runKey) {
	if known := r.find(key); known != nil && known.buffer.End() != nil {
		known.settle()
	}
}

func (r *runs) forget(key runKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byKey, key)
}

// handBack withdraws every run that was not handed to the target.
func (r *runs) handBack(refusal *mtrefusal.Refusal) {
	for _, known := range r.all() {
		known.handBack(refusal)
	}
}

// cut ends every run that is still under way.
func (r *runs) cut(refusal *mtrefusal.Refusal) {
	for _, known := range r.all() {
		if known.withdraw(refusal) {
			continue
		}
		known.buffer.Finish(&mustardtidev1.Finish{Refusal: refusal.WithRan(mustardtidev1.Ran_YES).Message()})
		known.cancel()
	}
}

func (r *runs) all() []*run {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]*run, 0, len(r.byKey))
	for _, known := range r.byKey {
		list = append(list, known)
	}
	return list
}

// live counts the runs under way.
func (r *runs) live() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// unread counts the ended runs whose answer no entry has acknowledged.
func (r *runs) unread() int {
	n := 0
	for _, known := range r.all() {
		if known.buffer.End() != nil && !known.settled.Load() {
			n++
		}
	}
	return n
}

func (r *runs) wait() { r.group.Wait() }

// Package mtcrash keeps which targets crashed while they ran requests, and finds what requests
// crash them.
//
// A crash names only a set: the components of all requests that ran there and had no answer yet.
// A component that crashes targets is in the sets of all its crashes, and no request with it is
// answered. So a component is under suspicion for the crashes after its last answer. What cannot
// be told from it, as it was at the same crashes, is named with it. Targets that crash at the same
// time without it speak for another cause.
package mtcrash

import (
	"slices"
	"time"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/request/mtcomponent"
)

const (
	// minCrashes is how many crashes in succession make a culprit, maxCrashesNeeded how many do
	// however many others there were meanwhile.
	minCrashes       = 3
	maxCrashesNeeded = 7
	// wholeCrashes is how many crashes in succession make a culprit of a whole request, whatever
	// others there were: hardly any caller repeats a request as often that never was answered.
	wholeCrashes = 5
	// answeredCrashes is how many more it takes of a component that was answered before.
	answeredCrashes = 2
	// settleTime is how long after a crash is heard of it counts: entries tell of the same crash
	// one after another.
	settleTime = 100 * time.Millisecond
	// outageTime is how far apart entries may see targets crash that one cause takes down.
	outageTime = 100 * time.Millisecond
	// tellTime is by how much later than it happened a crash may seem to one that was told of it.
	tellTime = 20 * time.Millisecond
	// sharedPerCrash is how many crashes, each at the same time as others without the component,
	// count as one: two deadly parts that always run at the same time would else hide each other
	// for good.
	sharedPerCrash = 3
	// AcquittalTime is how long an answer speaks for a component.
	AcquittalTime = 5 * time.Second
	// aliveTime is less than a program takes to start: what answers within it never crashed.
	aliveTime = time.Second
	// retention is how long a crash is kept. Requests with a culprit may be rare.
	retention = 10 * time.Minute
	// maxCrashes, maxParts and maxWholes bound the memory to one or two megabytes: the parts and the
	// whole requests of one crash. Whole requests have room of their own, as callers may name any
	// number of parts.
	maxCrashes = 128
	maxParts   = 64
	maxWholes  = 128
)

// Crashes holds the crashes known to one process. It is not safe for concurrent use.
type Crashes struct {
	records   []*record
	acquitted map[mtcomponent.Component]acquittal
	// count is the number of crashes with a component.
	count map[mtcomponent.Component]int
}

// record is one crash.
type record struct {
	target string
	born   int64
	at     time.Time
	// sent is when a request with the component was sent last; wholes counts the whole requests in
	// it.
	sent   map[mtcomponent.Component]time.Time
	wholes int
	void   bool
	// heardAt is when this process heard of it first, changedAt when it last learned something
	// new of it.
	heardAt, changedAt time.Time
}

// acquittal is a component's last answer.
type acquittal struct{ at, changedAt time.Time }

// New returns an empty set of crashes.
func New() *Crashes {
	return &Crashes{acquitted: map[mtcomponent.Component]acquittal{}, count: map[mtcomponent.Component]int{}}
}

// Len returns the number of crashes.
func (c *Crashes) Len() int { return len(c.records) }

// Count returns the number of crashes that the component was at.
func (c *Crashes) Count(name mtcomponent.Component) int { return c.count[name] }

// Add records a crash, or what another process saw of one. It reports whether something of it is
// new.
func (c *Crashes) Add(crash *fleetv1.Crash) bool {
	now := time.Now()
	at := now.Add(-time.Duration(crash.GetAge()) * time.Millisecond)
	if now.Sub(at) > retention || len(crash.GetSent()) != len(crash.GetComponents()) {
		return false
	}
	r := c.find(crash.GetTarget(), crash.GetBorn())
	news := r == nil
	if news {
		c.evict()
		r = &record{target: crash.GetTarget(), at: at, heardAt: now, sent: map[mtcomponent.Component]time.Time{}}
		c.records = append(c.records, r)
	}
	r.born = max(r.born, crash.GetBorn())
	switch {
	case crash.GetVoid():
		news = c.clear(r) || news
	case r.void && at.Before(r.at.Add(aliveTime)):
		return false
	default:
		if r.void {
			r.void, r.at, r.heardAt = false, at, now
		}
		if at.Before(r.at) {
			r.at = at
		}
		news = c.addComponents(r, at, crash) || news
	}
	if news {
		r.changedAt = now
	}
	return news
}

func (c *Crashes) addComponents(r *record, at time.Time, crash *fleetv1.Crash) bool {
	news := false
	for i, value := range crash.GetComponents() {
		name := mtcomponent.Component(value)
		sent := at.Add(-time.Duration(crash.GetSent()[i]) * time.Millisecond)
		if last, known := r.sent[name]; known {
			if sent.After(last) {
				r.sent[name] = sent
			}
			continue
		}
		if r.full(name.IsWhole()) && !c.makeRoom(r, name) {
			continue
		}
		r.sent[name] = sent
		c.count[name]++
		if name.IsWhole() {
			r.wholes++
		}
		news = true
	}
	return news
}

// full reports whether a crash has as many whole requests, or parts, as are kept.
func (r *record) full(whole bool) bool {
	if whole {
		return r.wholes >= maxWholes
	}
	return len(r.sent)-r.wholes >= maxParts
}

// makeRoom drops a component that was at no other crash, for one of its kind that was.
func (c *Crashes) makeRoom(r *record, name mtcomponent.Component) bool {
	if c.count[name] == 0 {
		return false
	}
	for other := range r.sent {
		if other.IsWhole() == name.IsWhole() && c.count[other] == 1 {
			c.remove(r, other)
			return true
		}
	}
	return false
}

func (c *Crashes) remove(r *record, name mtcomponent.Component) {
	delete(r.sent, name)
	if name.IsWhole() {
		r.wholes--
	}
	if c.count[name]--; c.count[name] <= 0 {
		delete(c.count, name)
		delete(c.acquitted, name)
	}
}

// clear marks a record as one of a program that lives.
func (c *Crashes) clear(r *record) bool {
	if r.void {
		return false
	}
	r.void = true
	for name := range r.sent {
		c.remove(r, name)
	}
	return true
}

// find returns the record of a program's crash: of one incarnation there is one. A start that is
// not known fits any.
func (c *Crashes) find(target string, born int64) *record {
	for _, r := range c.records {
		if r.target == target && (r.born == born || r.born == 0 || born == 0) {
			return r
		}
	}
	return nil
}

// Expire drops old crashes.
func (c *Crashes) Expire() {
	for len(c.records) > 0 {
		old := slices.IndexFunc(c.records, func(r *record) bool { return time.Since(r.at) > retention })
		if old < 0 {
			return
		}
		c.drop(old)
	}
}

func (c *Crashes) drop(i int) {
	c.clear(c.records[i])
	c.records = slices.Delete(c.records, i, i+1)
}

// evict makes room for a crash: one that says nothing goes first, then one whose components
// were at no other.
func (c *Crashes) evict() {
	if len(c.records) < maxCrashes {
		return
	}
	single := func(r *record) bool {
		for name := range r.sent {
			if c.count[name] > 1 {
				return false
			}
		}
		return true
	}
	for _, idle := range []func(*record) bool{func(r *record) bool { return r.void }, single, func(*record) bool { return true }} {
		if i := slices.IndexFunc(c.records, idle); i >= 0 {
			c.drop(i)
			return
		}
	}
}

// Answered records that a target has answered a request which was sent at a time. It reports
// whether that shows that the target has not crashed.
func (c *Crashes) Answered(target string, born int64, sent time.Time) bool {
	r := c.find(target, born)
	if r == nil || r.void || !sent.After(r.at) || time.Since(r.at) > aliveTime {
		return false
	}
	r.changedAt = time.Now()
	return c.clear(r)
}

// Acquit records that a request with the component was answered at a time. It reports whether
// that speaks against a crash, or is the first answer known of a component that was at several.
func (c *Crashes) Acquit(name mtcomponent.Component, at time.Time) bool {
	if c.count[name] == 0 {
		return false
	}
	last, known := c.acquitted[name]
	if !at.After(last.at) {
		return false
	}
	news := !known && c.count[name] > 1
	for _, r := range c.records {
		news = news || c.suspects(r, name) && !r.at.After(at.Add(AcquittalTime))
	}
	last.at = at
	if news {
		last.changedAt = time.Now()
	}
	c.acquitted[name] = last
	return news
}

// suspects reports whether a crash counts against a component.
func (c *Crashes) suspects(r *record, name mtcomponent.Component) bool {
	if _, there := r.sent[name]; !there || r.void {
		return false
	}
	last, acquitted := c.acquitted[name]
	return !acquitted || r.at.After(last.at.Add(AcquittalTime))
}

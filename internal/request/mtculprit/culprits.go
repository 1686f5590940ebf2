// Package mtculprit decides which requests are refused as they crash targets.
//
// The load it answers is requests that have one part of their prompts in common, no two of them
// alike, and that crash each target that answers them: held against each request as a whole, a
// crash never condemns the next one. So crashes are held against all components of the requests
// that ran, and answers speak for theirs.
package mtculprit

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/request/mtacquittal"
	"github.com/mustardtide/mustardtide/internal/request/mtban"
	"github.com/mustardtide/mustardtide/internal/request/mtcomponent"
	"github.com/mustardtide/mustardtide/internal/request/mtcrash"
)

const (
	// updateInterval is the least time between two searches for culprits: a crash is reported
	// once for each request that ran. updateShare bounds the share of the time that they take, one
	// in so many.
	updateInterval = 10 * time.Millisecond
	updateShare    = 20
	// maxAnswered bounds the components of one request for which its answer speaks, maxSuspected
	// those against which its crash counts: a caller may name any number of parts. The whole
	// request is always among these.
	maxAnswered  = 1024
	maxSuspected = 32
	// maxBans bounds the bans in a digest.
	maxBans = 8
)

// Culprits is what one entry knows. It is safe for concurrent use.
type Culprits struct {
	acquittals *mtacquittal.Acquittals
	// suspecting is set while some crash or ban is known, refusing while a request may have to
	// be refused.
	suspecting, refusing atomic.Bool

	mu      sync.Mutex
	crashes *mtcrash.Crashes
	bans    *mtban.Bans
	// outdated is set if something has changed since the last search for culprits; the next one
	// is at updateAt at the earliest.
	outdated bool
	updateAt time.Time
	// banned and lifted are the changes that were not returned yet.
	banned, lifted []*fleetv1.Ban
}

// New returns an entry's empty knowledge.
func New() *Culprits {
	return &Culprits{acquittals: mtacquittal.New(), crashes: mtcrash.New(), bans: mtban.New()}
}

// Suspecting reports whether some crash or ban is known.
func (c *Culprits) Suspecting() bool { return c.suspecting.Load() }

// Refusing reports whether a request may have to be refused.
func (c *Culprits) Refusing() bool { return c.refusing.Load() }

// Crashed records that a target crashed while it ran a request with some components, which had
// been sent to it at a time.
func (c *Culprits) Crashed(target string, born int64, sent time.Time, components []mtcomponent.Component) {
	c.mu.Lock()
	defer c.mu.Unlock()
	crash := &fleetv1.Crash{Target: target, Born: born}
	for _, name := range c.suspected(components) {
		crash.Components = append(crash.Components, uint64(name))
		crash.Sent = append(crash.Sent, uint32(time.Since(sent).Milliseconds()))
	}
	c.crashes.Add(crash)
	c.recall(crash)
	c.change()
}

// suspected returns the components that were not answered of late. If they are many, the whole
// request comes first, and then the parts that were at most other crashes.
func (c *Culprits) suspected(components []mtcomponent.Component) []mtcomponent.Component {
	open := slices.DeleteFunc(slices.Clone(components), func(name mtcomponent.Component) bool {
		at, answered := c.acquittals.At(name)
		return answered && time.Since(at) < mtcrash.AcquittalTime
	})
	rand.Shuffle(len(open), func(i, j int) { open[i], open[j] = open[j], open[i] })
	rank := func(name mtcomponent.Component) int {
		if name.IsWhole() {
			return math.MaxInt
		}
		return c.crashes.Count(name)
	}
	slices.SortStableFunc(open, func(x, y mtcomponent.Component) int { return cmp.Compare(rank(y), rank(x)) })
	return open[:min(len(open), maxSuspected)]
}

// Answered records that a target has answered a request that was sent at a time. It reports
// whether a crash turned out to be none.
func (c *Culprits) Answered(target string, born int64, sent time.Time) bool {
	if !c.suspecting.Load() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.crashes.Answered(target, born, sent) {
		return false
	}
	c.change()
	return true
}

// Acquit records that a request with some components has its answer. It reports whether that is
// news for other entries.
func (c *Culprits) Acquit(components []mtcomponent.Component) bool {
	components = components[:min(len(components), maxAnswered)]
	for _, name := range components {
		c.acquittals.Record(name)
	}
	if !c.suspecting.Load() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	news := false
	for _, name := range components {
		news = c.acquit(name, time.Now()) || news
	}
	return news
}

func (c *Culprits) acquit(name mtcomponent.Component, at time.Time) bool {
	news := c.crashes.Acquit(name, at)
	lifted := c.bans.Acquit(name, at)
	c.lifted = append(c.lifted, lifted...)
	if news || len(lifted) > 0 {
		c.change()
	}
	return news || len(lifted) > 0
}

// Merge takes in what a digest of another entry says. It reports whether something is new.
func (c *Culprits) Merge(digest *fleetv1.Digest) bool {
	if len(digest.GetCrashes())+len(digest.GetAcquittals())+len(digest.GetBans()) == 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	news := false
	for _, crash := range digest.GetCrashes() {
		if c.crashes.Add(crash) {
			news = true
			c.recall(crash)
		}
	}
	for _, acquittal := range digest.GetAcquittals() {
		at := time.Now().Add(-time.Duration(acquittal.GetAge()) * time.Millisecond)
		news = c.acquit(mtcomponent.Component(acquittal.GetComponent()), at) || news
	}
	for _, ban := range digest.GetBans() {
		news = c.merge(ban) || news
	}
	if news {
		c.change()
	}
	return news
}

// recall lets this entry's own answers speak for the components of a crash.
func (c *Culprits) recall(crash *fleetv1.Crash) {
	for _, value := range crash.GetComponents() {
		if at, answered := c.acquittals.At(mtcomponent.Component(value)); answered {
			c.crashes.Acquit(mtcomponent.Component(value), at)
		}
	}
}

func (c *Culprits) merge(ban *fleetv1.Ban) bool {
	begun := time.Now().Add(-ban.GetAge().AsDuration() - mtban.AcquittalTime)
	for _, value := range ban.GetComponents() {
		if at, answered := c.acquittals.At(mtcomponent.Component(value)); answered && at.After(begun) {
			return false
		}
	}
	if !c.bans.Merge(ban) {
		return false
	}
	c.banned = append(c.banned, ban)
	return true
}

// Adopt takes in what the store has.
func (c *Culprits) Adopt(bans *fleetv1.Bans) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, ban := range bans.GetBans() {
		c.merge(ban)
	}
	for _, crash := range bans.GetCrashes() {
		if c.crashes.Add(crash) {
			c.recall(crash)
		}
	}
	c.change()
}

// Try reports whether a request may run as a trial though it is refused: a ban that refuses a
// large share of all requests may be wrong, and then nothing else would show it. One entry of a
// fleet asks.
func (c *Culprits) Try(components []mtcomponent.Component) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bans.Try(components)
}

// Match returns the ban of a request with some components, nil if it may run.
func (c *Culprits) Match(components []mtcomponent.Component) *fleetv1.Ban {
	if !c.refusing.Load() {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.update()
	return c.bans.Match(components)
}

// change notes that culprits have to be searched for again. The caller holds the lock.
func (c *Culprits) change() {
	c.outdated = true
	c.update()
	c.suspecting.Store(c.crashes.Len() > 0 || c.bans.Len() > 0)
	c.refusing.Store(c.outdated || c.bans.Len() > 0)
}

// update searches for culprits if something has changed. The caller holds the lock.
func (c *Culprits) update() {
	begun := time.Now()
	if !c.outdated || begun.Before(c.updateAt) {
		return
	}
	defer func() { c.updateAt = begun.Add(max(updateInterval, updateShare*time.Since(begun))) }()
	c.outdated = !c.crashes.Settled()
	for _, set := range c.crashes.Culprits(c.bans.Among, c.bans.Convicted) {
		if targets := c.crashes.Targets(set); c.bans.Add(set, targets) {
			names := make([]uint64, 0, len(set))
			for _, name := range set {
				names = append(names, uint64(name))
			}
			c.banned = append(c.banned, &fleetv1.Ban{Components: names, Times: 1, Targets: targets})
		}
	}
	c.refusing.Store(c.outdated || c.bans.Len() > 0)
}

// Changes returns the bans that began and those that were lifted or narrowed since the last call.
func (c *Culprits) Changes() (banned, lifted []*fleetv1.Ban) {
	c.mu.Lock()
	defer c.mu.Unlock()
	banned, lifted = c.banned, c.lifted
	c.banned, c.lifted = nil, nil
	return banned, lifted
}

// Expire forgets what is old.
func (c *Culprits) Expire() {
	if !c.suspecting.Load() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes.Expire()
	c.bans.Expire()
	c.change()
}

// Tell adds to a digest what other entries may not know.
func (c *Culprits) Tell(digest *fleetv1.Digest) {
	if !c.suspecting.Load() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	digest.Crashes = c.crashes.Recent()
	digest.Acquittals = c.crashes.Acquittals()
	digest.Bans = c.bans.Sample(maxBans)
}

// Stored returns what the store keeps: all bans, and the crashes that may lead to more.
func (c *Culprits) Stored() *fleetv1.Bans {
	c.mu.Lock()
	defer c.mu.Unlock()
	stored := c.bans.All()
	stored.Crashes = c.crashes.Stored()
	return stored
}

// Counts returns the number of crashes and bans known.
func (c *Culprits) Counts() (crashes, bans int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashes.Len(), c.bans.Len()
}

// Package mtban keeps which requests are refused as they crash targets.
//
// A ban names components, and refuses requests that have all of them. It lapses after hours: the
// targets' software may have been mended. Each further crash then renews it for twice the time.
package mtban

import (
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/request/mtcomponent"
)

const (
	// firstTime is how long the first ban of some components holds, longestTime any.
	firstTime   = 2 * time.Hour
	longestTime = 24 * time.Hour
	// spread is by how much longer a process may hold to a ban, so that one of them tries such a
	// request before the others.
	spread = 0.25
	// retention is how long a ban that has lapsed is remembered.
	retention = 24 * time.Hour
	// maxBans bounds the bans, maxComponents the components of one, maxTargets the targets that it
	// names.
	maxBans       = 512
	maxComponents = 32
	maxTargets    = 5
	// AcquittalTime is how long before a ban an answer still speaks against it: it may become
	// known later than the crashes.
	AcquittalTime = 5 * time.Second
	// A ban that refuses a large share of the requests, one in so many, is tried: a few times, and
	// not at once, as what ran when it began may still show that it is wrong.
	trialShare    = 4
	maxTrials     = 2
	trialInterval = 5 * time.Second
	minSeen       = 20
	// gossipTime is how long a new ban is sent to other entries before others.
	gossipTime = 5 * time.Second
	// maxSampled bounds the components of all bans in a sample, which is sent in one datagram.
	maxSampled = 128
)

// Bans holds the bans known to one process. It is not safe for concurrent use.
type Bans struct {
	list   []*ban
	factor float64
	// seen counts the requests that were matched.
	seen int
}

// ban refuses requests that have all components of a set.
type ban struct {
	set     []mtcomponent.Component
	since   time.Time
	times   uint32
	targets []string
	// changedAt is when this process last learned something new of it.
	changedAt time.Time
	// refused counts the requests refused out of those seen since the count was at seenBefore,
	// trials those that ran all the same, the last at triedAt.
	refused, seenBefore int
	trials              uint32
	triedAt             time.Time
}

// New returns an empty set of bans.
func New() *Bans { return &Bans{factor: 1 + spread*rand.Float64()} }

// Len returns the number of bans, those included that have lapsed.
func (b *Bans) Len() int { return len(b.list) }

// Add bans requests that have all of some components, as the targets have crashed under them. It
// reports whether that is new.
func (b *Bans) Add(set []mtcomponent.Component, targets []string) bool {
	if len(set) == 0 || len(set) > maxComponents {
		return false
	}
	now := time.Now()
	for _, known := range b.list {
		if !subset(known.set, set) {
			continue
		}
		if !b.lapsed(known) {
			return false
		}
		known.since, known.changedAt = now, now
		known.times++
		known.targets = first(targets)
		return true
	}
	b.insert(&ban{set: slices.Sorted(slices.Values(set)), since: now, times: 1, targets: first(targets), changedAt: now})
	return true
}

// Merge takes in a ban of another process, or of the store. It reports whether that is new.
func (b *Bans) Merge(message *fleetv1.Ban) bool {
	now := time.Now()
	other := &ban{since: now.Add(-message.GetAge().AsDuration()), times: max(1, message.GetTimes()), targets: first(message.GetTargets()), changedAt: now, trials: message.GetTrials()}
	for _, value := range message.GetComponents() {
		other.set = append(other.set, mtcomponent.Component(value))
	}
	slices.Sort(other.set)
	if len(other.set) == 0 || len(other.set) > maxComponents || b.forgotten(other) {
		return false
	}
	for _, known := range b.list {
		if slices.Equal(known.set, other.set) {
			return known.renew(other)
		}
		if !b.lapsed(known) && subset(known.set, other.set) {
			return false
		}
	}
	b.insert(other)
	return true
}

// renew takes over a later ban of the same set, or the earlier begin of the same ban.
func (k *ban) renew(other *ban) bool {
	k.trials = max(k.trials, other.trials)
	switch {
	case other.times > k.times:
		k.since, k.times, k.targets, k.changedAt = other.since, other.times, other.targets, other.changedAt
		return true
	case other.times == k.times && other.since.Before(k.since):
		k.since = other.since
	}
	return false
}

// insert adds a ban in place of those that refuse less.
func (b *Bans) insert(added *ban) {
	b.list = slices.DeleteFunc(b.list, func(known *ban) bool { return subset(added.set, known.set) })
	if len(b.list) >= maxBans {
		b.evict()
	}
	added.seenBefore = b.seen
	b.list = append(b.list, added)
}

// evict drops the oldest ban that has lapsed, else the oldest of a whole request, else the oldest:
// a part may come in any number of requests.
func (b *Bans) evict() {
	whole := func(known *ban) bool { return known.set[0].IsWhole() }
	for _, idle := range []func(*ban) bool{b.lapsed, whole, func(*ban) bool { return true }} {
		if i := slices.IndexFunc(b.list, idle); i >= 0 {
			b.list = slices.Delete(b.list, i, i+1)
			return
		}
	}
}

// Match returns the ban in force of a request with some components, nil if there is none.
func (b *Bans) Match(components []mtcomponent.Component) *fleetv1.Ban {
	b.seen++
	known := b.match(components)
	if known == nil {
		return nil
	}
	known.refused++
	return known.encode()
}

func (b *Bans) match(components []mtcomponent.Component) *ban {
	sorted := slices.Sorted(slices.Values(components))
	for _, known := range b.list {
		if !slices.ContainsFunc(known.set, func(name mtcomponent.Component) bool { return !within(sorted, name) }) && !b.lapsed(known) {
			return known
		}
	}
	return nil
}

// Try reports whether a request that is refused may run as a trial of its ban. Bans of one request
// as a whole are not tried.
func (b *Bans) Try(components []mtcomponent.Component) bool {
	known := b.match(components)
	if known == nil {
		return true
	}
	if known.set[0].IsWhole() {
		return false
	}
	seen := b.seen - known.seenBefore
	last := known.triedAt
	if last.IsZero() {
		last = known.changedAt
	}
	if known.trials >= maxTrials || time.Since(last) < trialInterval || seen < minSeen || known.refused*trialShare < seen {
		return false
	}
	known.trials++
	known.triedAt = time.Now()
	return true
}

// Among returns the sets of the bans in force of which all components are there.
func (b *Bans) Among(has func(mtcomponent.Component) bool) [][]mtcomponent.Component {
	var sets [][]mtcomponent.Component
	for _, known := range b.list {
		if !b.lapsed(known) && !slices.ContainsFunc(known.set, func(name mtcomponent.Component) bool { return !has(name) }) {
			sets = append(sets, known.set)
		}
	}
	return sets
}

// Convicted reports whether a ban of the component alone has lapsed.
func (b *Bans) Convicted(name mtcomponent.Component) bool {
	return slices.ContainsFunc(b.list, func(known *ban) bool {
		return len(known.set) == 1 && known.set[0] == name && b.lapsed(known)
	})
}

// Acquit takes a component that was answered at a time out of the bans that had not begun long
// before, and lifts those that name no other. It returns those that it changed, as they were.
func (b *Bans) Acquit(name mtcomponent.Component, at time.Time) []*fleetv1.Ban {
	var changed []*fleetv1.Ban
	for _, known := range slices.Clone(b.list) {
		if !slices.Contains(known.set, name) || at.Before(known.since.Add(-AcquittalTime)) {
			continue
		}
		changed = append(changed, known.encode())
		b.list = slices.DeleteFunc(b.list, func(other *ban) bool { return other == known })
		if len(known.set) == 1 {
			continue
		}
		known.set = slices.DeleteFunc(known.set, func(other mtcomponent.Component) bool { return other == name })
		known.changedAt = time.Now()
		if !slices.ContainsFunc(b.list, func(other *ban) bool { return subset(other.set, known.set) }) {
			b.insert(known)
		}
	}
	return changed
}

// Expire forgets what has lapsed long ago.
func (b *Bans) Expire() { b.list = slices.DeleteFunc(b.list, b.forgotten) }

// Sample returns some bans for other entries: those that are new, and others drawn at random.
func (b *Bans) Sample(most int) []*fleetv1.Ban {
	var list, others []*fleetv1.Ban
	for _, known := range b.list {
		if time.Since(known.changedAt) < gossipTime {
			list = append(list, known.encode())
		} else {
			others = append(others, known.encode())
		}
	}
	shuffle(list)
	shuffle(others)
	list = append(list, others...)
	list = list[:min(len(list), most)]
	components := 0
	for i, message := range list {
		if components += len(message.GetComponents()); components > maxSampled {
			return list[:i]
		}
	}
	return list
}

// All returns all bans.
func (b *Bans) All() *fleetv1.Bans {
	all := &fleetv1.Bans{}
	for _, known := range b.list {
		all.Bans = append(all.Bans, known.encode())
	}
	return all
}

func (b *Bans) duration(known *ban) time.Duration {
	d := firstTime
	for range known.times - 1 {
		if d = min(2*d, longestTime); d == longestTime {
			break
		}
	}
	return time.Duration(float64(d) * b.factor)
}

func (b *Bans) lapsed(known *ban) bool { return time.Since(known.since) > b.duration(known) }

func (b *Bans) forgotten(known *ban) bool {
	return time.Since(known.since) > b.duration(known)+retention
}

func (k *ban) encode() *fleetv1.Ban {
	message := &fleetv1.Ban{Age: durationpb.New(time.Since(k.since)), Times: k.times, Targets: k.targets, Trials: k.trials}
	for _, name := range k.set {
		message.Components = append(message.Components, uint64(name))
	}
	return message
}

// subset reports whether all of a set are among others.
func subset(set, others []mtcomponent.Component) bool {
	return !slices.ContainsFunc(set, func(name mtcomponent.Component) bool { return !slices.Contains(others, name) })
}

func within(sorted []mtcomponent.Component, name mtcomponent.Component) bool {
	_, found := slices.BinarySearch(sorted, name)
	return found
}

func first(targets []string) []string { return slices.Clone(targets[:min(len(targets), maxTargets)]) }

func shuffle(list []*fleetv1.Ban) {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

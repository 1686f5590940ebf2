package mtcrash

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/mustardtide/mustardtide/internal/request/mtcomponent"
)

// suspect is a component and the crashes that count against it.
type suspect struct {
	name    mtcomponent.Component
	crashes []*record
}

// Culprits returns sets of components: requests that have all of one crash targets. A set has
// more than one where its components were at the same crashes, so that any of them may be the
// cause. known returns the culprits known before among some components; convicted reports whether
// one crash is enough for a component, as it was a culprit long before.
//
// A crash counts against the component that was at most others, and against no other one.
func (c *Crashes) Culprits(known func(has func(mtcomponent.Component) bool) [][]mtcomponent.Component, convicted func(mtcomponent.Component) bool) [][]mtcomponent.Component {
	var sets [][]mtcomponent.Component
	explained := c.explained(known)
	list := c.suspected(convicted)
	for i, s := range list {
		open := slices.DeleteFunc(slices.Clone(s.crashes), func(r *record) bool { return hasOther(explained[r], s.name) })
		set := []mtcomponent.Component{s.name}
		alone, shared := c.successive(s.name, open)
		guilty := alone > 0 && convicted(s.name)
		if !guilty && alone+shared/sharedPerCrash >= c.needed(s.name, open) {
			set = c.alike(s.name, s.crashes)
			guilty = !rivalled(list[i+1:], s, set)
		}
		// What a whole request explains counts against none of its parts either.
		set = reduce(set)
		if guilty && !c.definite(set) {
			// Crashes that such a set explained would count against nothing, and no request be refused.
			guilty, open = false, nil
		}
		if !guilty && c.persists(s) {
			sets = append(sets, []mtcomponent.Component{s.name})
			continue
		}
		if !guilty && len(open) < minCrashes {
			continue
		}
		for _, r := range s.crashes {
			explained[r] = append(explained[r], set)
		}
		if guilty && !slices.ContainsFunc(sets, func(other []mtcomponent.Component) bool { return slices.Equal(other, set) }) {
			sets = append(sets, set)
		}
	}
	return sets
}

// rivalled reports whether one of the next suspects has as many crashes, other ones among them, and
// shares half of them: which of the two is the culprit shows later.
func rivalled(next []suspect, s suspect, set []mtcomponent.Component) bool {
	for _, other := range next {
		if len(other.crashes) < len(s.crashes) {
			return false
		}
		shared := 0
		for _, r := range other.crashes {
			if slices.Contains(s.crashes, r) {
				shared++
			}
		}
		if 2*shared >= len(s.crashes) && !slices.Contains(set, other.name) {
			return true
		}
	}
	return false
}

// hasOther reports whether one of some culprits is another than a component, and is not one that
// cannot be told from it.
func hasOther(culprits [][]mtcomponent.Component, name mtcomponent.Component) bool {
	return slices.ContainsFunc(culprits, func(set []mtcomponent.Component) bool { return !slices.Contains(set, name) })
}

// explained returns the known culprits of each crash.
func (c *Crashes) explained(known func(has func(mtcomponent.Component) bool) [][]mtcomponent.Component) map[*record][][]mtcomponent.Component {
	explained := map[*record][][]mtcomponent.Component{}
	for _, r := range c.records {
		explained[r] = known(func(name mtcomponent.Component) bool { return c.suspects(r, name) })
	}
	return explained
}

// suspected returns what may be a culprit, those with most crashes first, and of those with as many
// the ones first that were never answered, of which less is needed.
func (c *Crashes) suspected(convicted func(mtcomponent.Component) bool) []suspect {
	against := map[mtcomponent.Component][]*record{}
	for _, r := range c.sorted() {
		for name := range r.sent {
			if (c.count[name] >= minCrashes || convicted(name)) && c.suspects(r, name) {
				against[name] = append(against[name], r)
			}
		}
	}
	list := make([]suspect, 0, len(against))
	for name, crashes := range against {
		list = append(list, suspect{name, crashes})
	}
	slices.SortFunc(list, func(x, y suspect) int {
		return cmp.Or(cmp.Compare(len(y.crashes), len(x.crashes)), cmp.Compare(c.least(x.name), c.least(y.name)), cmp.Compare(x.name, y.name))
	})
	return list
}

// sorted returns the crashes that count already, in their order.
func (c *Crashes) sorted() []*record {
	list := slices.DeleteFunc(slices.Clone(c.records), func(r *record) bool { return r.void || !r.settled() })
	slices.SortFunc(list, func(x, y *record) int {
		return cmp.Or(x.at.Compare(y.at), cmp.Compare(x.target, y.target))
	})
	return list
}

// Settled reports whether every crash counts already.
func (c *Crashes) Settled() bool {
	return !slices.ContainsFunc(c.records, func(r *record) bool { return !r.void && !r.settled() })
}

func (r *record) settled() bool { return time.Since(r.heardAt) >= settleTime }

// least returns how many crashes in succession make a culprit of a component where there were no
// others.
func (c *Crashes) least(name mtcomponent.Component) int {
	if _, answered := c.acquitted[name]; answered {
		return minCrashes + answeredCrashes
	}
	return minCrashes
}

// needed returns how many crashes in succession make a culprit of a component that was at some
// crashes. The more others there were since the first of them, the more of its own are chance.
func (c *Crashes) needed(name mtcomponent.Component, crashes []*record) int {
	if len(crashes) < minCrashes {
		return minCrashes
	}
	others := -len(crashes)
	for _, r := range c.records {
		if !r.void && !r.at.Before(crashes[0].at) {
			others++
		}
	}
	// One crash more for each fourfold number of others.
	const othersBits = 2
	return min(maxCrashesNeeded, c.least(name)+(bits.Len(uint(max(0, others)))+othersBits-1)/othersBits)
}

// Targets returns those that crashed under a set of components.
func (c *Crashes) Targets(set []mtcomponent.Component) []string {
	var targets []string
	for _, r := range c.sorted() {
		if c.suspects(r, set[0]) {
			targets = append(targets, r.target)
		}
	}
	return targets
}

// successive counts the crashes of requests that were sent after the one before. Targets that
// fail at the same time, as those of a rack do, count once. Those are shared where at least as many
// targets crashed within the same moment without the component: what ended these may have ended
// all of them.
func (c *Crashes) successive(name mtcomponent.Component, crashes []*record) (alone, shared int) {
	var last time.Time
	for _, r := range crashes {
		if !r.sent[name].After(last.Add(tellTime)) {
			continue
		}
		last = r.at
		if c.outage(name, r) {
			shared++
		} else {
			alone++
		}
	}
	return alone, shared
}

// outage reports whether at least as many targets crashed without a component as with it, at about
// the time of a crash. A record that is full may have lost the component and counts for neither.
func (c *Crashes) outage(name mtcomponent.Component, crash *record) bool {
	with, without := 0, 0
	for _, r := range c.records {
		_, there := r.sent[name]
		switch {
		case r.void || r.at.Sub(crash.at).Abs() > outageTime:
		case there:
			with++
		case !r.full(name.IsWhole()):
			without++
		}
	}
	return without >= with
}

// alike returns the component and those that were at all its crashes.
func (c *Crashes) alike(name mtcomponent.Component, crashes []*record) []mtcomponent.Component {
	set := []mtcomponent.Component{name}
	for other := range crashes[0].sent {
		if other != name && !slices.ContainsFunc(crashes, func(r *record) bool { return !c.suspects(r, other) }) {
			set = append(set, other)
		}
	}
	slices.Sort(set)
	return set
}

// maxAlike and maxUnanswered bound the components of a set by which requests are refused, the latter
// where none of them was ever answered: the larger a set, the likelier its requests have the cause in
// a part that was not recorded, and others share the rest.
const (
	maxAlike      = 16
	maxUnanswered = 32
)

// definite reports whether a set is small enough for requests to be refused by it.
func (c *Crashes) definite(set []mtcomponent.Component) bool {
	if len(set) <= maxAlike {
		return len(set) > 0
	}
	return len(set) <= maxUnanswered && !slices.ContainsFunc(set, func(name mtcomponent.Component) bool {
		_, answered := c.acquitted[name]
		return answered
	})
}

// persists reports whether a whole request has come again after each of so many crashes that it is
// refused whatever else was there.
func (c *Crashes) persists(s suspect) bool {
	if !s.name.IsWhole() {
		return false
	}
	alone, shared := c.successive(s.name, s.crashes)
	return alone+shared >= wholeCrashes
}

// reduce leaves a whole request alone in its set, as it has all that is its own. No request is
// two, so that such a set has no use.
func reduce(set []mtcomponent.Component) []mtcomponent.Component {
	var wholes []mtcomponent.Component
	for _, name := range set {
		if name.IsWhole() {
			wholes = append(wholes, name)
		}
	}
	switch len(wholes) {
	case 0:
		return set
	case 1:
		return wholes
	default:
		return nil
	}
}

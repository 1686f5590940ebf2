package mtboard

import (
	"slices"
	"time"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/prefix/mtpartition"
)

// Query describes what a request needs of a target.
type Query struct {
	service *fleetv1.Service
	ask     *fleetv1.Ask
	// partition is that of the request's cached parts.
	partition string
	excluded  map[string]bool
	// withheld are the limited targets for which the request got no permit. skipLimited reports
	// whether all limited targets are left out from now on.
	withheld    map[string]bool
	skipLimited bool
	// pinned restricts the choice to targets of one build.
	pinned bool
	build  string
	// store is the address of a store of cached parts, or "".
	store string
	// rank is the request's, 0 the most urgent; ranked reports whether it is placed by it.
	rank   int32
	ranked bool
	// aim is the time to the first token within which an answer is worth most.
	aim time.Duration
	// probed reports whether sidecars were probed for this choice; unresponsive are those that
	// did not answer.
	probed       bool
	unresponsive map[string]bool
	// lookups are the parts whose holders are looked up; nil until that is decided.
	lookups []*fleetv1.Part
	// fullHolders are the targets found to hold all of the prompt's shared parts, prefixHolders
	// those found to hold only the first.
	fullHolders, prefixHolders []string
}

// defaultAim is the aim of a route that sets none.
const defaultAim = 500 * time.Millisecond

// HomePartID returns the id of the part by which a request is assigned to a target and a store:
// its deepest shared one, "" if it has none.
func HomePartID(ask *fleetv1.Ask) string { return deepest(ask).GetId() }

// deepest returns the last of a prompt's shared parts, nil if it has none.
func deepest(ask *fleetv1.Ask) *fleetv1.Part {
	if parts := ask.GetParts(); len(parts) > 1 {
		return parts[len(parts)-2]
	}
	return nil
}

// NewQuery returns the query of a request for a service whose cached parts belong to a partition.
// store is the address of a store of cached parts, "" if there is none. aim is the route's, 0 if it
// sets none.
func NewQuery(service *fleetv1.Service, ask *fleetv1.Ask, partition, store string, aim time.Duration) *Query {
	if aim <= 0 {
		aim = defaultAim
	}
	return &Query{service: service, ask: ask, partition: partition, excluded: map[string]bool{}, withheld: map[string]bool{}, store: store, aim: aim}
}

// Partition returns the partition of the request's cached parts.
func (q *Query) Partition() string { return q.partition }

// Ask returns the caller's request.
func (q *Query) Ask() *fleetv1.Ask { return q.ask }

// SetRank sets the request's rank, 0 the most urgent. ranked reports whether it overtakes the less
// urgent work of its service.
func (q *Query) SetRank(rank int32, ranked bool) { q.rank, q.ranked = rank, ranked }

// Exclude leaves a target out of later choices.
func (q *Query) Exclude(target string) { q.excluded[target] = true }

// Pin restricts later choices to targets known to run a build, as the output of two builds can't
// be joined.
func (q *Query) Pin(build string) { q.pinned, q.build = true, build }

// wrongBuild reports whether a target may run another build than the pinned one.
func (q *Query) wrongBuild(r *record) bool {
	return q.pinned && (q.build == "" || r.build() != q.build)
}

// maxPermitDenials is how many targets may deny a request a permit before it leaves out all
// limited targets.
const maxPermitDenials = 3

// Withhold leaves out a limited target for which the request got no permit.
func (q *Query) Withhold(target string) {
	q.withheld[target] = true
	q.skipLimited = q.skipLimited || len(q.withheld) >= maxPermitDenials
}

// model returns the model, "" unless the service runs model engines.
func (q *Query) model() string {
	if q.service.GetModel() == "" {
		return ""
	}
	if q.ask.GetModel() != "" {
		return q.ask.GetModel()
	}
	return q.service.GetModel()
}

// shared returns the parts that other requests may have too: all but the last, which is the
// request's own.
func (q *Query) shared() []*fleetv1.Part {
	parts := q.ask.GetParts()
	if len(parts) == 0 {
		return nil
	}
	return parts[:len(parts)-1]
}

// upTo returns the prompt's parts up to and including the given one.
func (q *Query) upTo(part *fleetv1.Part) []*fleetv1.Part {
	parts := q.ask.GetParts()
	return parts[:slices.Index(parts, part)+1]
}

// SharedParts returns the ids of the parts that other requests may have too.
func (q *Query) SharedParts() []string {
	var ids []string
	for _, part := range q.shared() {
		ids = append(ids, part.GetId())
	}
	return ids
}

func (q *Query) sharedTokens() int64 {
	var tokens int64
	for _, part := range q.shared() {
		tokens += part.GetTokens()
	}
	return tokens
}

// salt returns a key that separates cached prompts of different models, weights and partitions.
func (q *Query) salt(version int64) string {
	return mtpartition.Salt(q.model(), version, q.partition)
}

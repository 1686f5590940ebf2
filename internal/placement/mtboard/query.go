package mtboard

import (
	"slices"
	"time"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
)

// Query is what a request needs of a target.
type Query struct {
	service  *fleetv1.Service
	ask      *fleetv1.Ask
	account  *fleetv1.Account
	excluded map[string]bool
	// withheld are the limited targets for which the request got no permit; unlimited says
	// that it draws no more of them.
	withheld  map[string]bool
	unlimited bool
	// pinned restricts the choice to targets of one build.
	pinned bool
	build  string
	// cache is the address of a store of cached parts, or "".
	cache string
	// aim is the time to the first token within which an answer is worth most.
	aim time.Duration
	// asked says that sidecars were asked for this choice, and silent which of them
	// did not answer.
	asked  bool
	silent map[string]bool
	// lookups are the parts whose holders are looked for; nil until that is decided.
	lookups []*fleetv1.Part
	// sought are the targets that were found to hold the prompt's shared parts, begun those
	// that hold the first of them.
	sought, begun []string
}

// defaultAim stands for the aim of a route that names none.
const defaultAim = 500 * time.Millisecond

// Home is the part by which a request belongs to a target and a store: its deepest
// shared one, "" where it has none.
func Home(ask *fleetv1.Ask) string { return deepest(ask).GetId() }

// deepest is the last of a prompt's shared parts; nil where it has none.
func deepest(ask *fleetv1.Ask) *fleetv1.Part {
	if parts := ask.GetParts(); len(parts) > 1 {
		return parts[len(parts)-2]
	}
	return nil
}

// NewQuery describes a request of an account for a service; account may be nil.
// cache is the address of a store of cached parts, "" where there is none; aim is
// the route's, 0 where it names none.
func NewQuery(service *fleetv1.Service, ask *fleetv1.Ask, account *fleetv1.Account, cache string, aim time.Duration) *Query {
	if aim <= 0 {
		aim = defaultAim
	}
	return &Query{service: service, ask: ask, account: account, excluded: map[string]bool{}, withheld: map[string]bool{}, cache: cache, aim: aim}
}

// Ask is what the caller asks for.
func (q *Query) Ask() *fleetv1.Ask { return q.ask }

// Exclude leaves a target out of later choices.
func (q *Query) Exclude(target string) { q.excluded[target] = true }

// Pin restricts later choices to targets known to run a build: the output of two builds does not
// fit together.
func (q *Query) Pin(build string) { q.pinned, q.build = true, build }

// foreign reports whether a target may run another build than the pinned one.
func (q *Query) foreign(r *record) bool {
	return q.pinned && (q.build == "" || r.build() != q.build)
}

// mostPermits is how many permits a request asks for in vain before it leaves out all limited
// targets.
const mostPermits = 3

// Withhold leaves out a limited target for which the request got no permit.
func (q *Query) Withhold(target string) {
	q.withheld[target] = true
	q.unlimited = q.unlimited || len(q.withheld) >= mostPermits
}

// model is set where the service runs model engines and the request names one.
func (q *Query) model() string {
	if q.service.GetModel() == "" {
		return ""
	}
	if q.ask.GetModel() != "" {
		return q.ask.GetModel()
	}
	return q.service.GetModel()
}

// shared are the parts that other requests may have too: all but the last,
// which is the request's own.
func (q *Query) shared() []*fleetv1.Part {
	parts := q.ask.GetParts()
	if len(parts) == 0 {
		return nil
	}
	return parts[:len(parts)-1]
}

// upTo are the prompt's parts up to one of them.
func (q *Query) upTo(part *fleetv1.Part) []*fleetv1.Part {
	parts := q.ask.GetParts()
	return parts[:slices.Index(parts, part)+1]
}

// Parts are the ids of the parts that other requests may have too.
func (q *Query) Parts() []string {
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

// salt separates cached prompts of other models, weights and isolated accounts.
func (q *Query) salt(version int64) string {
	salt := q.model() + "@" + itoa(version)
	if q.account.GetIsolated() {
		salt += "@" + q.account.GetName()
	}
	return salt
}

package mtfront

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtpromise"
	"github.com/mustardtide/mustardtide/internal/admission/mtschedule"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	"github.com/mustardtide/mustardtide/internal/placement/mtboard"
)

// promiseReplicas is how many sidecars keep a promise: one may restart or miss the datagram.
const promiseReplicas = 2

// claimResult is what became of the lookup of a request's promise.
type claimResult struct {
	// answered reports whether some process that may keep the promise has answered.
	answered bool
	state    fleetv1.ClaimState
	promise  *fleetv1.Promise
	// judged reports whether it was decided if the request is admitted by its promise, which kept
	// tells.
	judged bool
	kept   bool
}

// claimLookup is the lookup of one promise.
type claimLookup struct {
	// replicas are the sidecars that may keep the promise, the preferred first.
	replicas []string
	answers  map[string]*fleetv1.Claimed
	done     chan struct{}
	ended    bool
}

// result returns the answer of the first replica that knows the promise: two claims that reach the
// replicas in different orders must not both succeed.
func (l *claimLookup) result() *claimResult {
	for _, name := range l.replicas {
		if a := l.answers[name]; a.GetState() != fleetv1.ClaimState_CLAIM_STATE_UNKNOWN {
			return &claimResult{answered: true, state: a.GetState(), promise: a.GetPromise()}
		}
	}
	return &claimResult{answered: len(l.answers) > 0}
}

// settled reports whether no further answer can change the result.
func (l *claimLookup) settled() bool {
	for _, name := range l.replicas {
		a := l.answers[name]
		if a == nil {
			return false
		}
		if a.GetState() != fleetv1.ClaimState_CLAIM_STATE_UNKNOWN {
			return true
		}
	}
	return true
}

// claims are the lookups in progress. The zero value is ready for use.
type claims struct {
	mu   sync.Mutex
	last uint64
	open map[uint64]*claimLookup
}

func (c *claims) begin(replicas []string) (uint64, *claimLookup) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.open = map[uint64]*claimLookup{}
	}
	c.last++
	lookup := &claimLookup{replicas: replicas, answers: map[string]*fleetv1.Claimed{}, done: make(chan struct{})}
	c.open[c.last] = lookup
	return c.last, lookup
}

// end closes a lookup and returns its result.
func (c *claims) end(number uint64) *claimResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	lookup := c.open[number]
	delete(c.open, number)
	return lookup.result()
}

// take delivers an answer to its lookup; one of another process, or after the lookup, is dropped.
func (c *claims) take(from string, claimed *fleetv1.Claimed) {
	c.mu.Lock()
	defer c.mu.Unlock()
	lookup := c.open[claimed.GetAsk()]
	if lookup == nil || lookup.ended || !slices.Contains(lookup.replicas, from) {
		return
	}
	lookup.answers[from] = claimed
	if lookup.settled() {
		lookup.ended = true
		close(lookup.done)
	}
}

// promises reports whether the request's refusal for overload comes with a promise.
func (r *request) promises() bool { return r.ranked() && !r.front.without.promises }

// hash identifies the request when its caller returns with it.
func (r *request) hash() []byte {
	return mtpromise.Hash(r.account.GetName(), r.in.Method, r.in.Host, r.uri, r.body.Pieces())
}

// claim looks up the promise made to the request, once, and takes it if its window has begun.
func (r *request) claim(ctx context.Context) *claimResult {
	if r.promised != nil {
		return r.promised
	}
	claim := &fleetv1.Claim{Hash: r.hash(), Service: r.service.GetName()}
	result := r.front.claimAtSidecars(ctx, claim)
	if result.state != fleetv1.ClaimState_CLAIM_STATE_EARLY {
		// What a sidecar has given away is spent here too.
		own := r.front.promises.Claim(claim)
		if result.state == fleetv1.ClaimState_CLAIM_STATE_UNKNOWN && own.GetState() != result.state {
			result = &claimResult{answered: true, state: own.GetState(), promise: own.GetPromise()}
		}
	}
	r.promised = result
	return result
}

// claimAtSidecars asks the sidecars that may keep a promise, and waits a moment for their answers.
func (f *Front) claimAtSidecars(ctx context.Context, claim *fleetv1.Claim) *claimResult {
	replicas := f.replicaSidecars(claim.GetHash(), promiseReplicas, true)
	if len(replicas) == 0 {
		return &claimResult{}
	}
	var names []string
	for _, k := range replicas {
		names = append(names, k.name())
	}
	number, lookup := f.claims.begin(names)
	claim.Ask = number
	for _, k := range replicas {
		k.send(f, claim)
	}
	ctx, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	select {
	case <-lookup.done:
	case <-ctx.Done():
	}
	return f.claims.end(number)
}

// admittedByPromise reports whether the request, which would be refused, is admitted as its caller
// has returned when it was told to. The promise is precedence only: the request must still be
// answered before its deadline, and after a loss of capacity a draw decides.
func (r *request) admittedByPromise(ctx context.Context, choice *mtboard.Choice) bool {
	result := r.claim(ctx)
	if result.state != fleetv1.ClaimState_CLAIM_STATE_TAKEN {
		return false
	}
	fits := choice.Estimate() <= time.Until(r.until)
	if result.judged {
		return result.kept && fits
	}
	result.judged, result.kept = true, fits
	if fits {
		r.front.admissions.use(r.service.GetName(), func(a *admission) { result.kept = a.schedule.Keep() })
	}
	kind, metric := mtkind.PromiseClaimed, "promises_claimed_total"
	if !result.kept {
		kind, metric = mtkind.PromiseMissed, "promises_missed_total"
	}
	r.front.trail.Metrics().Add(metric, 1)
	r.front.trail.Say(kind, append(r.fields(), zap.Uint64("promise", result.promise.GetNumber()), zap.Int32("rank", result.promise.GetRank()),
		zap.Duration("estimate", choice.Estimate()), zap.Duration("left", time.Until(r.until)))...)
	return result.kept
}

// promise returns when the refused caller should return, and promises its request precedence then.
// A caller that has returned early is told the time that it was promised.
func (r *request) promise() (again time.Duration, number uint64) {
	if early := r.promised; early != nil && early.state == fleetv1.ClaimState_CLAIM_STATE_EARLY {
		return mtschedule.Again(time.Duration(early.promise.GetOpens()) * time.Millisecond), early.promise.GetNumber()
	}
	var opens, closes time.Duration
	r.front.admissions.use(r.service.GetName(), func(a *admission) {
		again, opens, closes = a.schedule.Book(r.class(), time.Until(r.until))
	})
	promise := &fleetv1.Promise{
		Hash: r.hash(), Service: r.service.GetName(), Rank: r.urgency(), Account: r.account.GetName(),
		Opens: uint32(opens.Milliseconds()), Closes: uint32(closes.Milliseconds()), Number: rand.Uint64(),
	}
	if !r.front.promises.Add(promise) {
		r.front.trail.Metrics().Add("promises_dropped_total", 1)
	}
	for _, k := range r.front.replicaSidecars(promise.GetHash(), promiseReplicas, true) {
		k.send(r.front, &fleetv1.Promises{Promises: []*fleetv1.Promise{promise}})
	}
	r.front.trail.Metrics().Add("promises_made_total", 1)
	return again, promise.GetNumber()
}

// observeBegin counts a response that has begun, by which slots are sized.
func (r *request) observeBegin() {
	if r.ranked() {
		r.front.admissions.use(r.service.GetName(), func(a *admission) { a.schedule.Begin(r.class()) })
	}
}

// Package mtpermit bounds the targets that load weights at once, by one
// conditionally updated object for each service. The weight store is slow for
// all when more load than the settings allow.
//
// A permit belongs to a target, not to the process that took it: a sidecar that
// dies leaves its engine loading, and the next one beside that engine finds the
// permit still taken. A permit lapses only when nobody can be loading under it:
// its target is off the list of instances, or it was unchanged for Longest, by
// the reader's clock.
package mtpermit

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
	"github.com/mustardtide/mustardtide/internal/observe/mtcode"
	"github.com/mustardtide/mustardtide/internal/outside/mtrecord"
)

const (
	// Longest bounds one load; the longest known take some minutes.
	Longest = 30 * time.Minute
	// goneFor is how long a target must have been off the list, which lags.
	goneFor = time.Minute
	// tries bounds the races for the object: each lost one means that another
	// target made progress.
	tries = 8
	// comeBack is when a target that got no permit may ask again.
	comeBack = 5 * time.Second
)

// group is the objects' group: PERMITS.SERVICE.
const group = "permits."

// store is the part of the platform's client that permits need.
type store interface {
	Get(ctx context.Context, name string) (mtrecord.Record, error)
	Create(ctx context.Context, name string, data []byte) (mtrecord.Record, error)
	Update(ctx context.Context, old mtrecord.Record, data []byte) (mtrecord.Record, error)
}

// seen is a permit as this process saw it first.
type seen struct {
	turn string
	at   time.Time
}

// Permits asks for one target's permit. It is not safe for concurrent use.
type Permits struct {
	store   store
	service string
	target  string
	listed  func(target string) bool
	seen    map[string]seen
	gone    map[string]time.Time
}

// New returns the permits of a service as a target sees them; listed says
// whether a target is on the list of instances.
func New(platform store, service, target string, listed func(string) bool) *Permits {
	return &Permits{store: platform, service: service, target: target, listed: listed, seen: map[string]seen{}, gone: map[string]time.Time{}}
}

// Take gets or renews the target's permit among at most limit. It is the check
// right before a load as well: a permit that lapsed in a pause is taken anew or
// refused with mtcode.PermitBusy.
func (p *Permits) Take(ctx context.Context, limit int) error {
	return p.change(ctx, func(others []*mustardtidev1.Permit) ([]*mustardtidev1.Permit, error) {
		if len(others) >= limit {
			return nil, trace.Wrap(mtrefusal.New(mtcode.PermitBusy, p.service).WithRetryAfter(comeBack))
		}
		return append(others, &mustardtidev1.Permit{Target: p.target, Turn: rand.Text()}), nil
	})
}

// Give returns the permit; the target must not be loading.
func (p *Permits) Give(ctx context.Context) error {
	return p.change(ctx, func(others []*mustardtidev1.Permit) ([]*mustardtidev1.Permit, error) { return others, nil })
}

// change replaces the permits, given those of the other targets. A lost answer
// is tried again: taking and giving have the same result twice as once.
func (p *Permits) change(ctx context.Context, next func([]*mustardtidev1.Permit) ([]*mustardtidev1.Permit, error)) error {
	var last error
	for range tries {
		record, held, err := p.read(ctx)
		if err != nil {
			return trace.Wrap(err)
		}
		permits, err := next(p.others(held))
		if err != nil {
			return trace.Wrap(err)
		}
		last = p.write(ctx, record, &mustardtidev1.Permits{Permits: permits})
		if last == nil {
			return nil
		}
		if !trace.IsCompareFailed(last) && !trace.IsAlreadyExists(last) && !trace.IsConnectionProblem(last) {
			return trace.Wrap(last)
		}
	}
	return trace.Wrap(last)
}

// others leaves out this target's permit and those that have lapsed.
func (p *Permits) others(held *mustardtidev1.Permits) []*mustardtidev1.Permit {
	var live []*mustardtidev1.Permit
	for _, permit := range held.GetPermits() {
		if permit.GetTarget() != p.target && !p.lapsed(permit) {
			live = append(live, permit)
		}
	}
	return live
}

// lapsed judges a permit by what this process saw of it, and for how long.
func (p *Permits) lapsed(permit *mustardtidev1.Permit) bool {
	now := time.Now()
	target := permit.GetTarget()
	if before, ok := p.seen[target]; !ok || before.turn != permit.GetTurn() {
		p.seen[target] = seen{turn: permit.GetTurn(), at: now}
	}
	if p.listed(target) {
		delete(p.gone, target)
	} else if _, ok := p.gone[target]; !ok {
		p.gone[target] = now
	}
	since, gone := p.gone[target]
	return now.Sub(p.seen[target].at) > Longest || (gone && now.Sub(since) > goneFor)
}

func (p *Permits) read(ctx context.Context) (mtrecord.Record, *mustardtidev1.Permits, error) {
	permits := &mustardtidev1.Permits{}
	record, err := p.store.Get(ctx, group+p.service)
	if trace.IsNotFound(err) {
		return mtrecord.Record{}, permits, nil
	}
	if err != nil {
		return record, nil, trace.Wrap(err)
	}
	return record, permits, trace.Wrap(proto.Unmarshal(record.Data(), permits))
}

func (p *Permits) write(ctx context.Context, old mtrecord.Record, next *mustardtidev1.Permits) error {
	data, err := proto.Marshal(next)
	if err != nil {
		return trace.Wrap(err)
	}
	if old.Version() == "" {
		_, err = p.store.Create(ctx, group+p.service, data)
	} else {
		_, err = p.store.Update(ctx, old, data)
	}
	return trace.Wrap(err)
}

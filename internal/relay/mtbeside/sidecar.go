// Package mtbeside is the process beside a model engine on the users' platform:
// it tells the entries how the engine is, and gives it its orders.
//
// Answers do not pass through it. Its end costs knowledge, not answers.
package mtbeside

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtpromise"
	"github.com/mustardtide/mustardtide/internal/members/mtentries"
	"github.com/mustardtide/mustardtide/internal/members/mtlineage"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	"github.com/mustardtide/mustardtide/internal/observe/mttrail"
	"github.com/mustardtide/mustardtide/internal/placement/mtdirectory"
	"github.com/mustardtide/mustardtide/internal/placement/mtnaming"
	"github.com/mustardtide/mustardtide/internal/prefix/mtheld"
	"github.com/mustardtide/mustardtide/internal/relay/mtgate"
	"github.com/mustardtide/mustardtide/internal/relay/mtports"
	"github.com/mustardtide/mustardtide/internal/relay/mtprobe"
	"github.com/mustardtide/mustardtide/internal/relay/mtpulse"
	"github.com/mustardtide/mustardtide/internal/relay/mtrollout"
	"github.com/mustardtide/mustardtide/internal/relay/mtwords"
	"github.com/mustardtide/mustardtide/internal/request/mtorigin"
	"github.com/mustardtide/mustardtide/internal/role/mtnet"
	"github.com/mustardtide/mustardtide/platform/mtobjects"
)

const (
	// tickTime is how often the engine is asked for its report; the call does
	// not leave the instance.
	tickTime = 100 * time.Millisecond
	// orderTick is the same while an order is due or under way, as an engine that
	// has loaded should not stand idle for long, and after a failed call, as another
	// program may run there.
	orderTick = 20 * time.Millisecond
	// lostAfter is how many calls in a row must fail before the engine counts as
	// lost: one may meet a connection that the engine has just closed.
	lostAfter = 2
	// aloneTime is the silence of all entries after which the store is asked for
	// the weights, and how often then.
	aloneTime = 2 * time.Second
)

// Sidecar is the process's state.
type Sidecar struct {
	site   *fleetv1.Site
	socket mtpulse.Socket
	words  *mtwords.Words
	store  *mtobjects.Client
	trail  *mttrail.Trail
	engine *mtprobe.Probe

	mu      sync.Mutex
	plan    *mtrollout.Plan
	gate    *mtgate.Gate
	entries *mtentries.Entries
	held    *mtheld.Log
	// directory is the sidecar's share of who holds which parts.
	directory *mtdirectory.Directory
	// origins are the stream origins that this sidecar stores.
	origins *mtorigin.Origins
	// promises are those made to refused callers that this sidecar keeps.
	promises *mtpromise.Table
	// target is the engine's id as the entries know it.
	target string
	// lineage are the programs at the engine's address, health the path at which they say their ids.
	lineage *mtlineage.Lineage
	health  string
	report  *fleetv1.Report
	// backlog is the report's, which only entries get that choose by rank.
	backlog []*fleetv1.Backlog
	// speed is what an entry told last of the service's engines, kept for entries
	// that start: all of them may have been killed at once.
	speed  *fleetv1.Speed
	failed int
	// telling says that the entries were told of an order to come, since told.
	telling bool
	told    time.Time
	// spread are the pending tokens that the entries were told last.
	spread int64
	// unidentified wakes the task that asks the engine for its id.
	unidentified chan struct{}
}

// New returns a sidecar that speaks through a socket.
func New(site *fleetv1.Site, network *mtnet.Net, socket mtpulse.Socket, trail *mttrail.Trail) *Sidecar {
	return &Sidecar{
		site:      site,
		socket:    socket,
		words:     mtwords.New(socket, trail.Metrics()),
		store:     mtobjects.New(site.GetStore(), network.Outside(), trail.CountStoreCall),
		trail:     trail,
		engine:    mtprobe.New(site.GetTarget(), network.Dial),
		plan:      mtrollout.New(site.GetBounds().GetWeights().AsDuration()),
		gate:      mtgate.New(),
		entries:   mtentries.New(),
		held:      mtheld.New(),
		directory: mtdirectory.New(),
		origins:   mtorigin.New(),
		promises:  mtpromise.New(),
		lineage:   mtlineage.New(site.GetBounds().GetReuse().AsDuration()),
		report:    &fleetv1.Report{},
		failed:    lostAfter,

		unidentified: make(chan struct{}, 1),
	}
}

// Run watches the engine until ctx ends.
func (s *Sidecar) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ends := make(chan error, 4)
	go func() { ends <- s.follow(ctx) }()
	go func() { ends <- s.socket.Serve(ctx, s.hear) }()
	go func() { ends <- s.ask(ctx) }()
	go func() { ends <- s.identify(ctx) }()
	for ctx.Err() == nil {
		s.look(ctx)
		s.order(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(s.interval()):
		}
	}
	return errors.Join(<-ends, <-ends, <-ends, <-ends)
}

// interval is the time to the next look at the engine.
func (s *Sidecar) interval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.plan.Ordering(s.report) || s.failed == 1 {
		return orderTick
	}
	if until := s.plan.UntilDue(s.report); until >= 0 {
		return min(tickTime, max(until, time.Millisecond))
	}
	return tickTime
}

// ask reads the named weights from the store while no entry is heard: the
// engines must be brought to them also where every entry is down or cut off.
func (s *Sidecar) ask(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(aloneTime):
		}
		if ctx.Err() != nil || s.heardLately() {
			continue
		}
		s.askWeights(ctx)
		// Only an order needs to know that no entry has the engine.
		if s.lacksWeights() {
			s.askCustody(ctx)
		}
	}
	return ctx.Err()
}

// askWeights reads the named weights from any replica of the store: a fleet that starts
// has as many lone sidecars as engines, and what is a few seconds old suffices them.
func (s *Sidecar) askWeights(ctx context.Context) {
	// One page: a fleet has some ten models.
	list, _, _, err := s.store.Weights().List(ctx, "", true)
	if err != nil {
		s.trail.Warn(mtkind.StoreLost, zap.String("kind", "weights"), zap.Error(err))
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, change := range list {
		if !change.Gone() {
			s.name(mtnaming.FromListing(change.Value()), "store")
		}
	}
}

// lacksWeights says that the engine is to be ordered to load weights, now or later.
func (s *Sidecar) lacksWeights() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.plan.UntilDue(s.report) >= 0
}

// askCustody reads from the store whether an entry gives the engine its orders: one may
// live out of this sidecar's sight.
func (s *Sidecar) askCustody(ctx context.Context) {
	custody, _, err := s.store.Custody(ctx)
	if err != nil {
		s.trail.Warn(mtkind.StoreLost, zap.String("kind", "custody"), zap.Error(err))
		return
	}
	var charge *fleetv1.Charge
	for _, c := range custody.GetCharges() {
		if mtports.Host(c.GetAddress()) == s.site.GetAddress() {
			charge = c
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.Hear(custody.GetVersion(), charge.GetTaken(), charge.GetFence())
}

// Package mtfront is the entry on the users' platform: it takes callers'
// requests, chooses a target for each and passes the answer back.
package mtfront

import (
	"context"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtallocator"
	"github.com/mustardtide/mustardtide/internal/admission/mtallowance"
	"github.com/mustardtide/mustardtide/internal/admission/mtcapacity"
	"github.com/mustardtide/mustardtide/internal/admission/mtclosing"
	"github.com/mustardtide/mustardtide/internal/admission/mtconnection"
	"github.com/mustardtide/mustardtide/internal/admission/mtlimit"
	"github.com/mustardtide/mustardtide/internal/admission/mtlimiter"
	"github.com/mustardtide/mustardtide/internal/admission/mtpromise"
	"github.com/mustardtide/mustardtide/internal/admission/mtquota"
	"github.com/mustardtide/mustardtide/internal/admission/mtreservation"
	"github.com/mustardtide/mustardtide/internal/admission/mtstart"
	"github.com/mustardtide/mustardtide/internal/members/mtbuilds"
	"github.com/mustardtide/mustardtide/internal/members/mtcensus"
	"github.com/mustardtide/mustardtide/internal/members/mtfollow"
	"github.com/mustardtide/mustardtide/internal/members/mtreader"
	"github.com/mustardtide/mustardtide/internal/members/mtroster"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	"github.com/mustardtide/mustardtide/internal/observe/mtmetric"
	"github.com/mustardtide/mustardtide/internal/observe/mttrail"
	"github.com/mustardtide/mustardtide/internal/placement/mtboard"
	"github.com/mustardtide/mustardtide/internal/placement/mtdirectory"
	"github.com/mustardtide/mustardtide/internal/relay/mtlink"
	"github.com/mustardtide/mustardtide/internal/relay/mtpulse"
	"github.com/mustardtide/mustardtide/internal/relay/mtwords"
	"github.com/mustardtide/mustardtide/internal/request/mtcopy"
	"github.com/mustardtide/mustardtide/internal/request/mtculprit"
	"github.com/mustardtide/mustardtide/internal/request/mtorigin"
	"github.com/mustardtide/mustardtide/internal/role/mtnet"
	"github.com/mustardtide/mustardtide/internal/routing/mtcatalog"
	"github.com/mustardtide/mustardtide/platform/mtobjects"
)

const (
	// sweepTime is how often idle connections and missing targets are looked at.
	sweepTime = 200 * time.Millisecond
)

// Front is the entry's state.
type Front struct {
	begun    time.Time
	start    *mtstart.Startup
	site     *fleetv1.Site
	store    *mtobjects.Client
	network  *mtnet.Net
	standbys *standbys
	socket   mtpulse.Socket
	words    *mtwords.Words
	trail    *mttrail.Trail
	pool     *mtlink.Pool
	board    *mtboard.Board
	roster   *mtroster.Roster

	peers     peers
	readers   *mtreader.Readers
	census    *mtcensus.Census
	questions questions
	// directory is the entry's share of who holds which parts, where there are no
	// sidecars.
	directory *mtdirectory.Directory
	// origins are the stream origins that this entry stores, builds the recent software versions
	// of each service; streams are those passed on here, lookups those in progress.
	origins *mtorigin.Origins
	builds  *mtbuilds.Builds
	streams streams
	lookups lookups
	// quota is the entry's part of the accounts' quotas, allocator grants those of which
	// it is in charge.
	quota     *mtquota.Quota
	allocator *mtallocator.Allocator
	// limits are those that targets have named, limiter holds the fleet to them.
	limits  *mtlimit.Limits
	limiter *mtlimiter.Limiter
	// limitTold is when a digest went out last for a new limit, as a time since begun.
	limitTold atomic.Int64
	catalog   atomic.Pointer[mtcatalog.Catalog]
	// configuring is held while a configuration comes into force.
	configuring sync.Mutex
	// catalogHeard and targetsHeard are when the first entry of those through which they
	// came has had them from the store.
	catalogHeard heard
	targetsHeard heard
	// weightsListed says that weights had been named before this entry could see it.
	weightsListed atomic.Bool
	// closing is set once the entry is told to stop.
	closing atomic.Pointer[mtclosing.Shutdown]
	// taking holds one of the values of that type.
	taking atomic.Int32
	// live counts the requests under way that were taken while the entry took
	// all, late those after.
	live   atomic.Int64
	late   atomic.Int64
	wake   chan struct{}
	spread chan struct{}
	alarms chan struct{}
	// greeted says that some sidecar was greeted.
	greeted atomic.Bool
	// round is how long the last round of greetings lasts, a duration.
	round atomic.Int64
	learn chan ahead
	// away counts the kinds of objects for which the store does not answer.
	away atomic.Int32

	histograms sync.Map
	// paces are by service.
	paces sync.Map
	// without is what is left out to be measured.
	without struct{ shedding, repeats, level, promises bool }
	// with is what is used only where the operators ask for it.
	with struct{ copies bool }

	// copies decides which runs are copied to a second engine.
	copies *mtcopy.Copies

	// admissions are by service, promises are those kept here, claims the lookups of promises in
	// progress.
	admissions admissions
	promises   *mtpromise.Table
	claims     claims

	// culprits are what requests crash targets; crashTold is when a digest went out last for
	// news of that, as a time since begun.
	culprits  *mtculprit.Culprits
	crashTold atomic.Int64
	asker     *http.Client

	// memory bounds what requests hold, callers are the connections of callers.
	memory  *mtreservation.Budget
	callers *mtconnection.Table

	mu         sync.Mutex
	allowances map[string]*mtallowance.RetryBudget
}

// New returns an entry that knows nothing yet, on a network whose dials are
// bounded.
func New(site *fleetv1.Site, network *mtnet.Net, socket mtpulse.Socket, trail *mttrail.Trail) *Front {
	capacity := mtcapacity.Of(site)
	limits := mtlimit.New()
	limiter := mtlimiter.New(socket.Address(), limits)
	f := &Front{
		begun:      time.Now(),
		site:       site,
		store:      mtobjects.New(site.GetStore(), network.Outside(), trail.CountStoreCall),
		network:    network,
		socket:     socket,
		words:      mtwords.New(socket, trail.Metrics()),
		trail:      trail,
		directory:  mtdirectory.New(),
		origins:    mtorigin.New(),
		builds:     mtbuilds.New(),
		promises:   mtpromise.New(),
		quota:      mtquota.New(socket.Address(), site.GetBounds()),
		allocator:  mtallocator.New(site.GetBounds()),
		limits:     limits,
		limiter:    limiter,
		board:      mtboard.New(site.GetDatacentre(), site.GetBounds().GetWeights().AsDuration(), limiter),
		roster:     mtroster.New(),
		census:     mtcensus.New(site.GetDatacentre()),
		readers:    mtreader.New(socket.Address(), digestTime, digestPeers),
		wake:       make(chan struct{}, 1),
		spread:     make(chan struct{}, 1),
		alarms:     make(chan struct{}, 1),
		learn:      make(chan ahead, 1),
		culprits:   mtculprit.New(),
		copies:     mtcopy.New(),
		asker:      &http.Client{Transport: network.Outside(), Timeout: askTime},
		allowances: map[string]*mtallowance.RetryBudget{},
		memory:     mtreservation.New(capacity.Requests()),
		callers:    mtconnection.New(connectionLimits(capacity)),
	}
	f.start = mtstart.New(f.knowsEnough)
	f.standbys = newStandbys(f)
	dials := trail.Metrics().Counter("target_connections_total")
	f.pool = mtlink.NewPool(network.DialTarget, func() { dials.Inc(1) })
	f.pool.BoundIdle(capacity.Idle())
	f.gauges()
	f.holdingGauges()
	return f
}

// Without leaves mechanisms out, to measure what they are worth; it is for
// development only. It is called before Run.
func (f *Front) Without(names ...string) error {
	var rest []string
	for _, name := range names {
		switch name {
		case "shedding":
			f.without.shedding = true
		case "repeats":
			f.without.repeats = true
		case "level":
			f.without.level = true
		case "promises":
			f.without.promises = true
		default:
			rest = append(rest, name)
		}
	}
	return trace.Wrap(f.board.Disable(rest...), "besides shedding, repeats, level and promises")
}

// With uses mechanisms that are off unless operators ask for them. It is called before Run.
func (f *Front) With(names ...string) error {
	for _, name := range names {
		if name != "copies" {
			return trace.BadParameter("unknown mechanism %q; copies is the only one that can be asked for", name)
		}
		f.with.copies = true
	}
	return nil
}

// Run follows the store and speaks with the sidecars until ctx ends.
func (f *Front) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	tasks := []func(context.Context) error{
		func(ctx context.Context) error {
			return mtfollow.Follow(ctx, f.store.Targets(), &pages{targets: targets{follower{f}}})
		},
		func(ctx context.Context) error {
			return mtfollow.Follow(ctx, f.store.Catalogs(), &catalogs{follower{f}})
		},
		func(ctx context.Context) error {
			return mtfollow.Follow(ctx, f.store.Weights(), &weights{follower: follower{f}})
		},
		func(ctx context.Context) error { return f.socket.Serve(ctx, f.hear) },
		f.greet,
		f.sweep,
		f.spreadAll,
		f.learnAll,
		f.followQuotas,
		f.followLimits,
		f.keepSize,
		f.persistNamings,
		f.persistBans,
		f.republishOrigins,
		f.standbys.run,
		f.standbys.follow,
	}
	ends := make(chan error, len(tasks))
	for _, task := range tasks {
		go func() { ends <- task(ctx) }()
	}
	var first error
	for range tasks {
		err := <-ends
		if first == nil {
			first = err
		}
		cancel()
	}
	return first
}

// Ready says that the entry can serve: it knows a configuration and targets, and
// was not told to stop.
func (f *Front) Ready() bool {
	return f.closing.Load() == nil && f.knowsEnough() && f.roster.View().Complete() > 0
}

// Targets are those that the entry knows, by their ids.
func (f *Front) Targets() map[string]*fleetv1.Target { return f.roster.View().All() }

// ServeReady answers the balancer.
func (f *Front) ServeReady(w http.ResponseWriter, _ *http.Request) {
	if !f.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// sweep closes idle connections and drops targets that did not come back.
func (f *Front) sweep(ctx context.Context) error {
	logged := map[string]*fleetv1.Speed{}
	closed := &closings{}
	expired := time.Now()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(sweepTime):
		}
		f.tellSpeeds(logged)
		f.logLevels()
		if time.Since(expired) >= expireTime {
			expired = time.Now()
			f.expireCallers()
			f.logClosings(closed)
		}
		for _, id := range f.roster.Expire() {
			f.trail.Warn(mtkind.TargetGone, zap.String("target", id), zap.String("why", "its entry did not come back after the store's outage"))
			f.listed()
		}
		f.limits.Expire()
		used := map[string]bool{}
		for _, target := range f.roster.View().All() {
			used[target.GetAddress()] = true
		}
		f.pool.Sweep(func(address string) bool { return used[address] })
	}
	return ctx.Err()
}

// gauges are the values that are read when metrics are asked for.
func (f *Front) gauges() {
	set := f.trail.Metrics()
	set.Gauge("requests_live", f.Live)
	set.Gauge("targets_known", func() int64 { return int64(len(f.roster.View().All())) })
	set.Gauge("targets_complete_revision", func() int64 { return f.roster.View().Complete() })
	set.Gauge("targets_limited", func() int64 { return int64(f.limits.Count()) })
	set.Gauge("crashes_known", func() int64 {
		crashes, _ := f.culprits.Counts()
		return int64(crashes)
	})
	set.Gauge("bans_known", func() int64 {
		_, bans := f.culprits.Counts()
		return int64(bans)
	})
	set.Gauge("origins_kept", func() int64 { return int64(f.origins.Len()) })
	set.Gauge("promises_kept", func() int64 { return int64(f.promises.Len()) })
	set.Gauge("peers_live", func() int64 { return int64(len(f.peers.list())) })
	set.Gauge("entries_counted", func() int64 { return int64(f.entries()) })
	set.Gauge("store_followed", func() int64 {
		if f.Follows() {
			return 1
		}
		return 0
	})
	set.Gauge("admission_level_thousandths", f.admissions.lowest)
	set.Gauge("goroutines", func() int64 { return int64(runtime.NumGoroutine()) })
	set.Gauge("catalog_version", func() int64 {
		if catalog := f.catalog.Load(); catalog != nil {
			return catalog.Version()
		}
		return 0
	})
	set.Gauge("keys_needed", func() int64 {
		if catalog := f.catalog.Load(); catalog != nil && f.keyed(catalog) {
			return 1
		}
		return 0
	})
	set.Gauge("accounts_unreadable", func() int64 {
		if catalog := f.catalog.Load(); catalog != nil {
			return int64(len(catalog.Source().GetUnreadable()))
		}
		return 0
	})
	set.Gauge("weights_named_age_ms", func() int64 { return f.board.NewestWeightsAge().Milliseconds() })
}

// histogram returns the histogram of a name, which the request's path keeps.
func (f *Front) histogram(name string) *mtmetric.Histogram {
	if h, ok := f.histograms.Load(name); ok {
		return h.(*mtmetric.Histogram)
	}
	h, _ := f.histograms.LoadOrStore(name, f.trail.Metrics().Histogram(name))
	return h.(*mtmetric.Histogram)
}

// allowance is the service's bound of repeated sends.
func (f *Front) allowance(service string) *mtallowance.RetryBudget {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := f.allowances[service]
	if a == nil {
		bounds := f.site.GetBounds()
		a = mtallowance.New(bounds.GetRatio(), bounds.GetSlack(), bounds.GetWindow().AsDuration(), f.begun)
		f.allowances[service] = a
	}
	return a
}

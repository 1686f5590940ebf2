package mtfront

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	"github.com/mustardtide/mustardtide/internal/request/mtsearch"
)

const (
	// lookupTimeout bounds the lookup of a stream's origin: several round trips to another region.
	lookupTimeout = 250 * time.Millisecond
	// lookupRetry is the interval at which replicas that have not answered are asked again.
	lookupRetry = 60 * time.Millisecond
)

// lookups are the searches in progress. The zero value is ready for use.
type lookups struct {
	mu   sync.Mutex
	last uint64
	open map[uint64]*mtsearch.Search
}

func (l *lookups) begin(search *mtsearch.Search) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open == nil {
		l.open = map[uint64]*mtsearch.Search{}
	}
	l.last++
	l.open[l.last] = search
	return l.last
}

func (l *lookups) end(number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, number)
}

// take delivers an answer to its search; one that comes after the search is dropped.
func (l *lookups) take(from string, found *fleetv1.Found) {
	l.mu.Lock()
	search := l.open[found.GetAsk()]
	l.mu.Unlock()
	if search != nil {
		search.Take(from, found)
	}
}

// How a stream's origin was resolved, or why the stream can't be resumed.
const (
	originOwn      = "own"
	originFound    = "found"
	originOnly     = "only build"
	originUnknown  = "unknown"
	originDisputed = "disputed"
	originMoved    = "moved"
)

// resumes reports whether the caller asks for the rest of a stream.
func (r *request) resumes() bool {
	return r.route.GetRepeat() == fleetv1.Repeat_REPEAT_STREAM && (r.ask.GetResume() != "" || r.ask.GetBegun() != "")
}

// resolveOrigin finds the origin of a stream that the caller resumes, and refuses the request
// where there is none: output of another build would not fit.
func (r *request) resolveOrigin(ctx context.Context) bool {
	if !r.resumes() {
		return true
	}
	origin, how, from := r.findOrigin(ctx)
	if how == originOwn || how == originFound {
		how = r.routeToOrigin(origin, how)
	}
	r.front.trail.Metrics().Add(`streams_taken_up_total{origin="`+how+`"}`, 1)
	fields := []zap.Field{zap.String("begun", r.ask.GetBegun()), zap.String("after", r.ask.GetResume()),
		zap.String("build", origin.GetBuild()), zap.String("origin", how), zap.String("from", from)}
	if why := unservable[how]; why != "" {
		r.reject(why, comeBack, fields...)
		return false
	}
	r.origin = origin
	r.front.trail.Say(mtkind.StreamTakenUp, append(r.fields(), append(fields, zap.Uint32("left", origin.GetLeft()))...)...)
	return true
}

// unservable explains to callers why their streams can't be resumed.
var unservable = map[string]string{
	originUnknown:  "it is not known which software version began the stream; begin it anew",
	originDisputed: "several software versions are said to have begun the stream; begin it anew",
	originMoved:    "the route no longer leads to the service that began the stream; begin it anew",
}

// routeToOrigin selects the service that began the stream, where the request's route still has
// it. It returns how the origin was found, or why the stream can't be resumed.
func (r *request) routeToOrigin(origin *fleetv1.Origin, how string) string {
	if origin.GetDisputed() {
		return originDisputed
	}
	service := r.catalog.Service(origin.GetService())
	for _, share := range r.route.GetShares() {
		if service != nil && share.GetService() == service.GetName() && share.GetWeight() > 0 {
			r.service = service
			return how
		}
	}
	return originMoved
}

// findOrigin looks the origin up locally and then at its replicas. Where none has it, it is taken
// to be the only build that the service has run for as long as streams last.
func (r *request) findOrigin(ctx context.Context) (origin *fleetv1.Origin, how, from string) {
	var search *mtsearch.Search
	if first := r.ask.GetBegun(); first != "" {
		if own := r.front.origins.Find(r.named(first)); own != nil {
			return own, originOwn, r.front.socket.Address()
		}
		search = r.lookUpOrigin(ctx, r.named(first))
		if origin, from := search.Origin(); origin != nil {
			return origin, originFound, from
		}
	}
	if build := r.onlyBuild(ctx, search); build != "" {
		return &fleetv1.Origin{Service: r.service.GetName(), Build: build}, originOnly, ""
	}
	return nil, originUnknown, ""
}

// onlyBuild is the one build that can have begun the stream, whose origin a lookup has not found, or
// nil where the caller does not name it; "" where there may be several. What this entry knows is not
// enough while there are others: if it was isolated or suspended for a moment, engines of another
// build may have joined and begun the stream meanwhile.
func (r *request) onlyBuild(ctx context.Context, search *mtsearch.Search) string {
	for _, share := range r.route.GetShares() {
		if share.GetService() != r.service.GetName() && share.GetWeight() > 0 {
			return ""
		}
	}
	build, only := r.front.builds.Only(r.service.GetName(), r.span())
	if !only {
		return ""
	}
	if search == nil {
		stream := r.named(r.ask.GetId())
		search = r.lookUp(ctx, stream, r.front.originEntries(stream, originsQueried))
	}
	confirmed := search.Builds()
	switch {
	case search.Mixed() || len(confirmed) > 1:
		return ""
	case len(confirmed) == 1 && confirmed[0] == build:
		return build
	case len(confirmed) == 1, r.front.peers.heardWithin(r.span()), r.front.away.Load() > 0:
		return ""
	default:
		return build
	}
}

// lookUpOrigin queries the replicas that may store a stream's origin until one returns it.
func (r *request) lookUpOrigin(ctx context.Context, stream []byte) *mtsearch.Search {
	f := r.front
	return r.lookUp(ctx, stream, slices.Concat(f.replicaSidecars(stream, originReplicas, true),
		f.replicaSidecars(stream, originsQueried, false), f.originEntries(stream, originsQueried)))
}

// lookUp asks processes for a stream's origin, and for the builds that may have begun it.
func (r *request) lookUp(ctx context.Context, stream []byte, keepers []keeper) *mtsearch.Search {
	f := r.front
	asked := map[string]keeper{}
	for _, k := range keepers {
		asked[k.name()] = k
	}
	search := mtsearch.New(slices.Sorted(maps.Keys(asked)))
	number := f.lookups.begin(search)
	defer f.lookups.end(number)
	lookup := &fleetv1.Lookup{Ask: number, Stream: stream, Service: r.service.GetName(), Span: uint32(r.span().Milliseconds())}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	for ctx.Err() == nil {
		for _, name := range search.Pending() {
			asked[name].send(f, lookup)
		}
		select {
		case <-search.Done():
			return search
		case <-time.After(lookupRetry):
		case <-ctx.Done():
		}
	}
	return search
}

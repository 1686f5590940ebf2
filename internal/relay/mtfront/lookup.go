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
	// lookupTime bounds the search for a stream's origin: the way to another region and back,
	// some times.
	lookupTime = 250 * time.Millisecond
	// lookupAgain is when those that have not answered are asked again, and then each time.
	lookupAgain = 60 * time.Millisecond
)

// lookups are the searches that wait for answers. The zero value is ready for use.
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

// take takes in an answer; one for which nobody waits any more is not heard.
func (l *lookups) take(from string, found *fleetv1.Found) {
	l.mu.Lock()
	search := l.open[found.GetAsk()]
	l.mu.Unlock()
	if search != nil {
		search.Take(from, found)
	}
}

// How a stream's origin was found, or why the stream can't go on.
const (
	originOwn      = "own"
	originFound    = "found"
	originOnly     = "only build"
	originUnknown  = "unknown"
	originDisputed = "disputed"
	originMoved    = "moved"
)

// takesUp says that the caller has events of a stream that it wants to go on.
func (r *request) takesUp() bool {
	return r.route.GetRepeat() == fleetv1.Repeat_REPEAT_STREAM && (r.ask.GetResume() != "" || r.ask.GetBegun() != "")
}

// locate finds out what began a stream that the caller takes up, and refuses the request where
// that is not known: any other build would write what does not fit.
func (r *request) locate(ctx context.Context) bool {
	if !r.takesUp() {
		return true
	}
	origin, how, from := r.search(ctx)
	if how == originOwn || how == originFound {
		how = r.lead(origin, how)
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

// unservable tells callers why their streams can't go on.
var unservable = map[string]string{
	originUnknown:  "it is not known which software version began the stream; begin it anew",
	originDisputed: "several software versions are said to have begun the stream; begin it anew",
	originMoved:    "the route no longer leads to the service that began the stream; begin it anew",
}

// lead sends the request to the service that began the stream, where its route leads there. It
// returns how the origin was found, or why the stream can't go on.
func (r *request) lead(origin *fleetv1.Origin, how string) string {
	if origin.GetDisputed() {
		return originDisputed
	}
	for _, share := range r.route.GetShares() {
		if share.GetService() == origin.GetService() && share.GetWeight() > 0 {
			r.service = r.front.service(origin.GetService())
			return how
		}
	}
	return originMoved
}

// search looks for the origin here and at those that keep it. Where nobody knows it, it can only
// be the one build that the service has had for as long as streams last.
func (r *request) search(ctx context.Context) (origin *fleetv1.Origin, how, from string) {
	var search *mtsearch.Search
	if first := r.ask.GetBegun(); first != "" {
		if own := r.front.origins.Find(r.named(first)); own != nil {
			return own, originOwn, r.front.socket.Address()
		}
		search = r.askKeepers(ctx, r.named(first))
		if origin, from := search.Origin(); origin != nil {
			return origin, originFound, from
		}
	}
	if build := r.onlyBuild(search); build != "" {
		return &fleetv1.Origin{Service: r.service.GetName(), Build: build}, originOnly, ""
	}
	return nil, originUnknown, ""
}

// onlyBuild is the one build that can have begun the stream, after a search in vain; "" where
// there may be several. An entry that hears nobody may have missed another.
func (r *request) onlyBuild(search *mtsearch.Search) string {
	for _, share := range r.route.GetShares() {
		if share.GetService() != r.service.GetName() && share.GetWeight() > 0 {
			return ""
		}
	}
	switch {
	case search == nil || search.Heard() == 0:
		if r.front.away.Load() > 0 {
			return ""
		}
	case search.Mixed():
		return ""
	}
	build, only := r.front.builds.Only(r.service.GetName(), r.span())
	if !only {
		return ""
	}
	return build
}

// askKeepers asks those that may keep a stream's origin, until one knows it.
func (r *request) askKeepers(ctx context.Context, stream []byte) *mtsearch.Search {
	f := r.front
	asked := map[string]keeper{}
	for _, list := range [][]keeper{
		f.originSidecars(stream, originCopies, true), f.originSidecars(stream, originAsked, false), f.originEntries(stream, originAsked),
	} {
		for _, k := range list {
			asked[k.name()] = k
		}
	}
	search := mtsearch.New(slices.Sorted(maps.Keys(asked)))
	number := f.lookups.begin(search)
	defer f.lookups.end(number)
	lookup := &fleetv1.Lookup{Ask: number, Stream: stream, Service: r.service.GetName(), Span: uint32(r.span().Milliseconds())}
	ctx, cancel := context.WithTimeout(ctx, lookupTime)
	defer cancel()
	for ctx.Err() == nil {
		for _, name := range search.Silent() {
			asked[name].send(f, lookup)
		}
		select {
		case <-search.Done():
			return search
		case <-time.After(lookupAgain):
		case <-ctx.Done():
		}
	}
	return search
}

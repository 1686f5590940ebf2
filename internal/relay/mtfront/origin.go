package mtfront

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/members/mtassign"
	"github.com/mustardtide/mustardtide/internal/relay/mtports"
	"github.com/mustardtide/mustardtide/internal/request/mtorigin"
)

const (
	// originReplicas is how many sidecars, and how many other entries, store a stream's origin:
	// one may restart or miss the datagram.
	originReplicas = 2
	// originsQueried is how many of each a lookup asks: entries differ in which they believe alive.
	originsQueried = 2 * originReplicas
	// republishInterval is how often the origins of open streams are sent again while a
	// service's targets run several builds.
	republishInterval = 500 * time.Millisecond
	// originBatch bounds the origins in one datagram, at some fifty bytes each.
	originBatch = 20
	// returnWindow is how long after its deadline a caller may still resume a stream.
	returnWindow = 5 * time.Second
)

// streams are the requests whose streams this entry passes on. The zero value is ready for use.
type streams struct {
	mu   sync.Mutex
	open map[*request]bool
}

func (s *streams) begin(r *request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = map[*request]bool{}
	}
	s.open[r] = true
}

func (s *streams) end(r *request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, r)
}

func (s *streams) list() []*request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.open))
}

// publishOrigin replicates the origin of the stream whose first event the caller is about to get.
// A caller that has resumed the stream may name either request when it resumes it again.
func (r *request) publishOrigin(build string) {
	origin := &fleetv1.Origin{Stream: r.named(r.ask.GetId()), Service: r.service.GetName(), Build: build}
	r.origins = []*fleetv1.Origin{origin}
	if first := r.ask.GetBegun(); r.origin != nil && first != "" {
		r.origins = append(r.origins, &fleetv1.Origin{Stream: r.named(first), Service: origin.GetService(), Build: build})
	}
	r.originsUntil = r.until
	if wait := r.ask.GetWait(); wait != nil && r.begun.Add(wait.AsDuration()).After(r.originsUntil) {
		r.originsUntil = r.begun.Add(wait.AsDuration())
	}
	r.originsUntil = r.originsUntil.Add(returnWindow)
	for _, origin := range r.unexpiredOrigins() {
		r.front.storeOrigin(origin)
	}
	r.front.streams.begin(r)
	r.front.replicateOrigins([]*request{r}, r.front.mixed(r))
}

// named is the digest of the stream that a request of the same account began.
func (r *request) named(id string) []byte { return mtorigin.Stream(r.account.GetName(), id) }

// unexpiredOrigins are the origins to replicate, with their remaining lifetime.
func (r *request) unexpiredOrigins() []*fleetv1.Origin {
	left := time.Until(r.originsUntil).Milliseconds()
	if left <= 0 {
		return nil
	}
	list := make([]*fleetv1.Origin, 0, len(r.origins))
	for _, origin := range r.origins {
		list = append(list, &fleetv1.Origin{Stream: origin.GetStream(), Service: origin.GetService(), Build: origin.GetBuild(), Left: uint32(left)})
	}
	return list
}

// span is the longest time between the start of a stream and the end of its caller's last attempt.
func (r *request) span() time.Duration {
	const tries = 2
	return tries*r.route.GetTimeout().AsDuration() + returnWindow
}

// republishOrigins sends the origins of open streams again while their services run several
// builds: a replica may have restarted, or have missed the datagram.
func (f *Front) republishOrigins(ctx context.Context) error {
	ticks := time.NewTicker(republishInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks.C:
		}
		var mixed []*request
		for _, r := range f.streams.list() {
			if f.mixed(r) {
				mixed = append(mixed, r)
			}
		}
		f.replicateOrigins(mixed, true)
	}
}

// mixed reports whether targets of another build may be able to continue the stream.
func (f *Front) mixed(r *request) bool {
	_, only := f.builds.Only(r.service.GetName(), r.span())
	return !only
}

// replicateOrigins sends the origins of streams to their replicas: sidecars, which rarely fail
// together with entries, and also entries where another build could continue the streams.
func (f *Front) replicateOrigins(list []*request, mixed bool) {
	batches := map[keeper][]*fleetv1.Origin{}
	for _, r := range list {
		for _, origin := range r.unexpiredOrigins() {
			sidecars := f.replicaSidecars(origin.GetStream(), originReplicas, true)
			for _, k := range sidecars {
				batches[k] = append(batches[k], origin)
			}
			if !mixed && len(sidecars) == originReplicas {
				continue
			}
			for _, k := range f.originEntries(origin.GetStream(), originReplicas) {
				batches[k] = append(batches[k], origin)
			}
		}
	}
	for k, origins := range batches {
		for batch := range slices.Chunk(origins, originBatch) {
			k.send(f, &fleetv1.Origins{Origins: batch})
		}
	}
}

// replicaSidecars are the sidecars that store what has a hash: a stream's origin, or a promise.
func (f *Front) replicaSidecars(hash []byte, most int, live bool) []keeper {
	var list []keeper
	for _, address := range f.board.SidecarsOf(hash, most, live, time.Duration(f.round.Load())) {
		list = append(list, sidecarKeeper{words: mtports.SidecarWords.At(f.site, address)})
	}
	return list
}

// originEntries are the other entries that store it.
func (f *Front) originEntries(stream []byte, most int) []keeper {
	var list []keeper
	for _, address := range mtassign.Leading(string(stream), f.peers.list(), most) {
		list = append(list, entryKeeper{address})
	}
	return list
}

// receiveOrigins stores origins that another entry replicates.
func (f *Front) receiveOrigins(origins *fleetv1.Origins) {
	for _, origin := range origins.GetOrigins() {
		f.storeOrigin(origin)
	}
}

func (f *Front) storeOrigin(origin *fleetv1.Origin) {
	if !f.origins.Take(origin) {
		f.trail.Metrics().Add("origins_dropped_total", 1)
	}
}

// answerLookup replies with what this entry stores of a stream.
func (f *Front) answerLookup(from string, lookup *fleetv1.Lookup) {
	span := time.Duration(lookup.GetSpan()) * time.Millisecond
	found := &fleetv1.Found{
		Ask: lookup.GetAsk(), Origin: f.origins.Find(lookup.GetStream()),
		Mixed: f.builds.Several(lookup.GetService(), span), Only: f.builds.Listed(lookup.GetService(), span),
	}
	f.words.Send(from, &fleetv1.Word{Word: &fleetv1.Word_Found{Found: found}})
}

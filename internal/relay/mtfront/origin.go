package mtfront

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/relay/mtports"
	"github.com/mustardtide/mustardtide/internal/request/mtorigin"
)

const (
	// originCopies is how many sidecars, and how many other entries, keep a stream's origin:
	// one may restart or lose the datagram.
	originCopies = 2
	// originAsked is how many of each are asked: entries differ in whom they know to live.
	originAsked = 2 * originCopies
	// originTime is how often the origins of streams that still run are told anew, while
	// a service's targets have several builds.
	originTime = 500 * time.Millisecond
	// originBatch bounds the origins of one datagram, at some fifty bytes each.
	originBatch = 20
	// returnTime is how long after the end of its time a caller may come back.
	returnTime = 5 * time.Second
)

// streams are the requests whose streams run here. The zero value is ready for use.
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

// keep tells others what began the stream whose first event the caller is about to get. Where
// the caller has taken it up, it may name either request when it comes again.
func (r *request) keep(build string) {
	origin := &fleetv1.Origin{Stream: r.named(r.ask.GetId()), Service: r.service.GetName(), Build: build}
	r.kept = []*fleetv1.Origin{origin}
	if first := r.ask.GetBegun(); r.origin != nil && first != "" {
		r.kept = append(r.kept, &fleetv1.Origin{Stream: r.named(first), Service: origin.GetService(), Build: build})
	}
	r.keptUntil = r.until
	if wait := r.ask.GetWait(); wait != nil && r.begun.Add(wait.AsDuration()).After(r.keptUntil) {
		r.keptUntil = r.begun.Add(wait.AsDuration())
	}
	r.keptUntil = r.keptUntil.Add(returnTime)
	for _, origin := range r.lasting() {
		r.front.hearOrigin(origin)
	}
	r.front.streams.begin(r)
	r.front.tell([]*request{r}, r.front.mixed(r))
}

// named is the digest of the stream that a request of the same account began.
func (r *request) named(id string) []byte { return mtorigin.Stream(r.account.GetName(), id) }

// lasting are the origins to keep, with the time that is left.
func (r *request) lasting() []*fleetv1.Origin {
	left := time.Until(r.keptUntil).Milliseconds()
	if left <= 0 {
		return nil
	}
	list := make([]*fleetv1.Origin, 0, len(r.kept))
	for _, origin := range r.kept {
		list = append(list, &fleetv1.Origin{Stream: origin.GetStream(), Service: origin.GetService(), Build: origin.GetBuild(), Left: uint32(left)})
	}
	return list
}

// span is for how long a stream may last over its caller's tries.
func (r *request) span() time.Duration {
	const tries = 2
	return tries*r.route.GetTimeout().AsDuration() + returnTime
}

// tellOrigins tells the origins of the streams that run here anew while there are several builds:
// who keeps them may have restarted, or have lost the datagram.
func (f *Front) tellOrigins(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(originTime):
		}
		var mixed []*request
		for _, r := range f.streams.list() {
			if f.mixed(r) {
				mixed = append(mixed, r)
			}
		}
		f.tell(mixed, true)
	}
	return ctx.Err()
}

// mixed says that another build than the stream's may serve it.
func (f *Front) mixed(r *request) bool {
	_, only := f.builds.Only(r.service.GetName(), r.span())
	return !only
}

// tell tells the processes that keep them what began some streams: sidecars, which few faults
// stop together with entries, and entries too where another build could go on with the streams.
func (f *Front) tell(list []*request, mixed bool) {
	batches := map[keeper][]*fleetv1.Origin{}
	for _, r := range list {
		for _, origin := range r.lasting() {
			sidecars := f.originSidecars(origin.GetStream(), originCopies, true)
			for _, k := range sidecars {
				batches[k] = append(batches[k], origin)
			}
			if !mixed && len(sidecars) == originCopies {
				continue
			}
			for _, k := range f.originEntries(origin.GetStream(), originCopies) {
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

// originSidecars are the sidecars that keep a stream's origin.
func (f *Front) originSidecars(stream []byte, most int, live bool) []keeper {
	var list []keeper
	for _, address := range f.board.Attendants(stream, most, live, time.Duration(f.round.Load())) {
		list = append(list, sidecarKeeper{words: mtports.SidecarWords.At(f.site, address)})
	}
	return list
}

// originEntries are the other entries that do.
func (f *Front) originEntries(stream []byte, most int) []keeper {
	type ranked struct {
		address string
		score   uint64
	}
	peers := f.peers.list()
	ranks := make([]ranked, 0, len(peers))
	for _, address := range peers {
		ranks = append(ranks, ranked{address, xxh3.HashSeed(stream, xxh3.HashString(address))})
	}
	slices.SortFunc(ranks, func(a, b ranked) int { return cmp.Compare(b.score, a.score) })
	list := make([]keeper, 0, most)
	for _, next := range ranks[:min(most, len(ranks))] {
		list = append(list, entryKeeper{next.address})
	}
	return list
}

// hearOrigins takes in what began others' streams.
func (f *Front) hearOrigins(origins *fleetv1.Origins) {
	for _, origin := range origins.GetOrigins() {
		f.hearOrigin(origin)
	}
}

func (f *Front) hearOrigin(origin *fleetv1.Origin) {
	if !f.origins.Take(origin) {
		f.trail.Metrics().Add("origins_dropped_total", 1)
	}
}

// answerLookup says what this entry knows of a stream.
func (f *Front) answerLookup(from string, lookup *fleetv1.Lookup) {
	found := &fleetv1.Found{
		Ask: lookup.GetAsk(), Origin: f.origins.Find(lookup.GetStream()),
		Mixed: f.builds.Several(lookup.GetService(), time.Duration(lookup.GetSpan())*time.Millisecond),
	}
	f.words.Send(from, &fleetv1.Word{Word: &fleetv1.Word_Found{Found: found}})
}

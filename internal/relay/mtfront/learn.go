package mtfront

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1/fleetv1connect"
	"github.com/mustardtide/mustardtide/internal/members/mtreader"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	"github.com/mustardtide/mustardtide/internal/relay/mtports"
)

// What the store accepts reaches an entry by its own watch, or by another
// entry's. A watch that the store has forgotten, or a store that turns this
// entry away, shows as a peer that knows more. So most watches may wait long,
// which costs few calls, and two entries look often for a store that was silent
// for all.
const (
	// quickWatch is how long the watches of the entries that look often wait: a
	// change must be in force two seconds after the third second from the store's
	// return, and a swallowed watch ends 0.8 s after its time.
	quickWatch = 2200 * time.Millisecond
	// slowWatch is the same for the others.
	slowWatch = 15 * time.Second
	// quickGather is how long changes gather at the entries that look often: short
	// beside the two seconds in which they must be in force. The others hear of
	// them from these.
	quickGather = 250 * time.Millisecond
	// gatherRate bounds the calls that the other readers make together in a second while
	// changes follow each other: a rollout changes every engine's entry.
	gatherRate = 6
	// leastGather is the least time in which changes gather there.
	leastGather = 500 * time.Millisecond
	// aloneRetry is the longest wait between calls while the store is silent for all:
	// short beside the two seconds in which a change must be in force. heardRetry is the
	// same for an entry that it turns away while others hear it, and are heard: a third
	// of a large fleet that is turned away made most of its calls.
	aloneRetry = 400 * time.Millisecond
	heardRetry = 2 * time.Second
	// ownTime is how long an entry waits for its own calls before it asks a peer
	// that knows more: usually both hear together. startTime is the same while it
	// has no complete list yet: after a restart of all, lists of thousands of
	// targets from each side would fill a small link. awayTime is the same while
	// the store does not answer.
	ownTime   = 120 * time.Millisecond
	startTime = 900 * time.Millisecond
	awayTime  = 40 * time.Millisecond
	// relayTime is how long changes of targets gather at an entry that hears of them from
	// others only.
	relayTime = 300 * time.Millisecond
	// askTime bounds that call.
	askTime = 700 * time.Millisecond
)

// watchTime is how long this entry's watches wait.
func (f *Front) watchTime() time.Duration {
	if f.looksOften() {
		return quickWatch
	}
	return slowWatch
}

// gatherTime is how long changes may gather before the store is asked again:
// each call counts, and a rollout changes every engine's entry.
func (f *Front) gatherTime() time.Duration {
	if f.looksOften() {
		return quickGather
	}
	return max(leastGather, time.Duration(min(mtreader.Most, f.peers.count()))*time.Second/gatherRate)
}

// looksOften says that this entry is one of those that look often.
func (f *Front) looksOften() bool { return f.readers.Often() }

// Follows says that the entry follows the store itself, and not by other entries.
func (f *Front) Follows() bool { return f.readers.Reads() }

// first says that the entry is the one that does what one does for all: the first of
// those that take requests and reach the store.
func (f *Front) first() bool {
	return f.away.Load() == 0 && f.closing.Load() == nil && f.readers.Before() == 0
}

// join says whether this entry may follow the store for others: only one that knows the
// targets may.
func (f *Front) join() {
	switch {
	case f.closing.Load() != nil:
		f.readers.Leave()
	case f.roster.View().Complete() > 0:
		f.readers.Join(f.away.Load() > 0)
	}
}

// ahead is an entry that knows more, and how far it knows.
type ahead struct {
	from   string
	digest *fleetv1.Digest
}

// knowsLess says that another entry knows more than this one.
func (f *Front) knowsLess(digest *fleetv1.Digest) bool {
	return f.missesOrders(digest) || f.missesTargets(digest)
}

// missesOrders says that another entry has a newer configuration, newer weights or a
// newer custody.
func (f *Front) missesOrders(digest *fleetv1.Digest) bool {
	catalog := f.catalog.Load()
	return digest.GetCatalog() > 0 && (catalog == nil || digest.GetCatalog() > catalog.Revision()) ||
		digest.GetWeights() > f.board.NewestWeightsRevision() || digest.GetCustody() > f.standbys.version()
}

// missesTargets says that another entry has a newer list of targets that differs.
func (f *Front) missesTargets(digest *fleetv1.Digest) bool {
	view := f.roster.View()
	return digest.GetTargets() > view.Complete() && digest.GetSum() != view.Sum()
}

// learnAll asks entries that know more, one after another.
func (f *Front) learnAll(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case a := <-f.learn:
			f.waitForOwn(ctx, f.missesOrders(a.digest))
			if ctx.Err() == nil && f.knowsLess(a.digest) {
				f.ask(ctx, a.from)
			}
		}
	}
}

// waitForOwn gives the entry's own calls to the store the time to tell. An entry that
// makes none waits only for more targets to change.
func (f *Front) waitForOwn(ctx context.Context, orders bool) {
	wait := ownTime
	switch {
	case f.roster.View().Complete() == 0:
		wait = startTime
	case f.away.Load() > 0:
		wait = awayTime
	case f.readers.Reads():
	case orders:
		return
	default:
		wait = relayTime
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

// ask takes over what another entry knows. What is older changes nothing.
func (f *Front) ask(ctx context.Context, from string) {
	address := mtports.EntryCalls.At(f.site, from)
	client := fleetv1connect.NewPeerServiceClient(f.asker, "http://"+address)
	request := &fleetv1.KnowRequest{Targets: f.roster.View().Complete(), Custody: f.standbys.version()}
	if catalog := f.catalog.Load(); catalog != nil {
		request.Catalog = catalog.Revision()
	}
	answer, err := client.Know(ctx, connect.NewRequest(request))
	if err != nil {
		f.trail.Warn(mtkind.PeerLost, zap.String("peer", address), zap.Error(err))
		return
	}
	known := answer.Msg
	if known.GetCatalog() != nil {
		f.configure(known.GetCatalog(), "entry "+address, known.GetCatalogage().AsDuration())
	}
	for _, weights := range known.GetNamed() {
		f.named(weights, "entry "+address)
	}
	f.standbys.adopt(known.GetCustody(), "entry "+address)
	f.learnTargets(known, "entry "+address)
}

// learnTargets takes over another entry's list, or what changed in it.
func (f *Front) learnTargets(known *fleetv1.Knowledge, source string) {
	complete := f.roster.View().Complete()
	if known.GetRevision() > complete && len(known.GetTargets())+len(known.GetGone()) > 0 {
		age := known.GetTargetsage().AsDuration()
		f.targetsHeard.note(age)
		f.histogram(`heard_seconds{kind="targets"}`).Observe(age)
	}
	switch {
	case known.GetRevision() <= complete:
	case known.GetSince() == 0:
		found := map[string]*fleetv1.Target{}
		for _, target := range known.GetTargets() {
			found[target.GetId()] = target
		}
		f.replace(found, known.GetRevision(), source)
	case known.GetSince() <= complete:
		f.change(func(yield func(string, *fleetv1.Target) bool) {
			for _, id := range known.GetGone() {
				if !yield(id, nil) {
					return
				}
			}
			for _, target := range known.GetTargets() {
				if !yield(target.GetId(), target) {
					return
				}
			}
		}, known.GetRevision(), source)
	}
}

// Know answers another entry with what it does not know: a whole list a change
// would fill the links of hundreds of entries while weights are rolled out.
func (f *Front) Know(_ context.Context, request *connect.Request[fleetv1.KnowRequest]) (*connect.Response[fleetv1.Knowledge], error) {
	view := f.roster.View()
	known := &fleetv1.Knowledge{
		Revision: view.Settled(), Named: f.board.NewestWeights(), Speeds: f.board.Speeds(),
		Catalogage: durationpb.New(f.catalogHeard.age()), Targetsage: durationpb.New(f.targetsHeard.age()),
	}
	if request.Msg.GetQuotas() {
		known.Usages = f.quota.Usages()
	}
	if catalog := f.catalog.Load(); catalog != nil && catalog.Revision() > request.Msg.GetCatalog() {
		known.Catalog = catalog.Source()
	}
	if f.standbys.version() > request.Msg.GetCustody() {
		known.Custody = f.standbys.known()
	}
	if since := request.Msg.GetTargets(); since > 0 {
		if changed, gone, ok := view.Since(since); ok {
			known.Since, known.Targets, known.Gone = since, changed, gone
			return connect.NewResponse(known), nil
		}
	}
	for _, target := range view.All() {
		known.Targets = append(known.Targets, target)
	}
	return connect.NewResponse(known), nil
}

// maxPeerRequest bounds what another entry asks, in bytes.
const maxPeerRequest = 64 << 10

// Peer is the handler for other entries.
func (f *Front) Peer() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(fleetv1connect.NewPeerServiceHandler(f, connect.WithReadMaxBytes(maxPeerRequest)))
	return mux
}

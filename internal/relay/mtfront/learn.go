package mtfront

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/zeebo/xxh3"
	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1/fleetv1connect"
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
	// quickGather and slowGather are how long changes gather: short beside the two
	// seconds in which they must be in force.
	quickGather = 100 * time.Millisecond
	slowGather  = 500 * time.Millisecond
	// quick is how many entries look often: two, as one may be cut off.
	quick = 2
	// digestTime is how often entries tell each other how far they know.
	digestTime = 300 * time.Millisecond
	// ownTime is how long an entry waits for its own calls before it asks a peer
	// that knows more: usually both hear together. startTime is the same while it
	// has no complete list yet: after a restart of all, lists of thousands of
	// targets from each side would fill a small link. awayTime is the same while
	// the store does not answer.
	ownTime   = 120 * time.Millisecond
	startTime = 900 * time.Millisecond
	awayTime  = 40 * time.Millisecond
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
	return slowGather
}

// looksOften says that this entry is one of those that look often.
func (f *Front) looksOften() bool {
	peers := f.peers.list()
	if len(peers) < quick {
		return true
	}
	self := xxh3.HashString(f.socket.Address())
	before := 0
	for _, address := range peers {
		if xxh3.HashString(address) < self {
			before++
		}
	}
	return before < quick
}

// digest lets the other entries hear at once how far this one knows.
func (f *Front) digest() { nudge(f.spread) }

// spreadAll tells the other entries now and then, and at once where something
// has changed.
func (f *Front) spreadAll(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-f.spread:
		case <-time.After(digestTime):
		}
		view := f.roster.View()
		digest := &fleetv1.Digest{Entry: f.site.GetName(), Targets: view.Complete(), Sum: view.Sum(), Suspects: f.recent(), Speeds: f.board.Speeds()}
		if catalog := f.catalog.Load(); catalog != nil {
			digest.Catalog = catalog.Revision()
		}
		if closing := f.closing.Load(); closing != nil {
			digest.Left = durationpb.New(max(0, closing.Left(time.Now())))
		}
		f.peers.tell(f.socket, &fleetv1.Word{Word: &fleetv1.Word_Digest{Digest: digest}})
	}
	return ctx.Err()
}

// hearDigest takes in how far another entry knows.
func (f *Front) hearDigest(from string, digest *fleetv1.Digest) {
	f.peers.hear(from, digest.GetLeft())
	for _, suspect := range digest.GetSuspects() {
		f.suspects.Crash(suspect.GetDigest(), suspect.GetSource())
	}
	for _, speed := range digest.GetSpeeds() {
		f.adopt(speed, "entry "+digest.GetEntry())
	}
	if f.knowsLess(digest) {
		select {
		case f.learn <- ahead{from, digest}:
		default:
		}
	}
}

// ahead is an entry that knows more, and how far it knows.
type ahead struct {
	from   string
	digest *fleetv1.Digest
}

// knowsLess says that another entry has a newer configuration, or a newer list
// that differs.
func (f *Front) knowsLess(digest *fleetv1.Digest) bool {
	catalog := f.catalog.Load()
	if digest.GetCatalog() > 0 && (catalog == nil || digest.GetCatalog() > catalog.Revision()) {
		return true
	}
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
			f.waitForOwn(ctx)
			if ctx.Err() == nil && f.knowsLess(a.digest) {
				f.ask(ctx, a.from)
			}
		}
	}
}

// waitForOwn gives the entry's own calls to the store the time to tell.
func (f *Front) waitForOwn(ctx context.Context) {
	wait := ownTime
	switch {
	case f.away.Load() > 0:
		wait = awayTime
	case f.roster.View().Complete() == 0:
		wait = startTime
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
	answer, err := client.Know(ctx, connect.NewRequest(&fleetv1.KnowRequest{}))
	if err != nil {
		f.trail.Warn(mtkind.PeerLost, zap.String("peer", address), zap.Error(err))
		return
	}
	known := answer.Msg
	if known.GetCatalog() != nil {
		f.configure(known.GetCatalog(), "entry "+address)
	}
	for _, weights := range known.GetNamed() {
		f.named(weights, "entry "+address)
	}
	if view := f.roster.View(); known.GetRevision() > view.Complete() {
		found := map[string]*fleetv1.Target{}
		for _, target := range known.GetTargets() {
			found[target.GetId()] = target
		}
		f.replace(found, known.GetRevision(), "entry "+address)
	}
}

// Know answers another entry.
func (f *Front) Know(context.Context, *connect.Request[fleetv1.KnowRequest]) (*connect.Response[fleetv1.Knowledge], error) {
	view := f.roster.View()
	known := &fleetv1.Knowledge{Revision: view.Complete(), Named: f.board.Named(), Speeds: f.board.Speeds()}
	if catalog := f.catalog.Load(); catalog != nil {
		known.Catalog = catalog.Source()
	}
	for _, target := range view.All() {
		known.Targets = append(known.Targets, target)
	}
	return connect.NewResponse(known), nil
}

// Peer is the handler for other entries.
func (f *Front) Peer() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(fleetv1connect.NewPeerServiceHandler(f))
	return mux
}

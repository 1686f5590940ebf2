package mtfront

import (
	"context"
	"math"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/zeebo/xxh3"
	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1/fleetv1connect"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	"github.com/mustardtide/mustardtide/internal/relay/mtdigest"
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
	// gatherRate bounds the calls that the others make together in a second while
	// changes follow each other: a rollout changes every engine's entry.
	gatherRate = 6
	// leastGather and mostGather bound how long changes gather there, so that an
	// entry to which nobody speaks is in time too.
	leastGather = 500 * time.Millisecond
	mostGather  = 3 * time.Second
	// aloneRetry is the longest wait between calls while the store is silent for all:
	// short beside the two seconds in which a change must be in force. heardRetry is the
	// same for an entry that it turns away while others hear it, and are heard: a third
	// of a large fleet that is turned away made most of its calls.
	aloneRetry = 400 * time.Millisecond
	heardRetry = 2 * time.Second
	// quick is how many entries look often: two, as one may be cut off.
	quick = 2
	// digestTime is how often entries tell each other how far they know.
	digestTime = 300 * time.Millisecond
	// digestPeers are the entries, drawn anew each time, that are told: what is new
	// passes through a hundred entries in three such steps, and what each sends does
	// not grow with their number.
	digestPeers = 6
	// digestSize bounds a digest to a datagram.
	digestSize = 1300
	// holderEach is how often the entry that orders engines without sidecars speaks to
	// all others, which take them over when it falls silent.
	holderEach = time.Second
	// toldPeers are the entries that a digest names where no sidecar does.
	toldPeers = 4
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
	return min(mostGather, max(leastGather, time.Duration(f.peers.count())*time.Second/gatherRate))
}

// looksOften says that this entry is one of those that look often.
func (f *Front) looksOften() bool {
	return f.before(f.peers.reaching()) < quick
}

// first says that the entry is the one that does what one does for all: the first of
// those that take requests and reach the store.
func (f *Front) first() bool {
	return f.away.Load() == 0 && f.closing.Load() == nil && f.before(f.peers.serving()) == 0
}

// entries is the number of live entries: as the sidecars have counted them, or as they
// are heard of where there are no sidecars.
func (f *Front) entries() int { return max(f.board.Entries(), f.peers.count()+1) }

// before counts the entries that go before this one: all agree on their order.
func (f *Front) before(peers map[string]bool) int {
	self := xxh3.HashString(f.site.GetName())
	count := 0
	for name := range peers {
		if xxh3.HashString(name) < self {
			count++
		}
	}
	return count
}

// digest lets some of the other entries hear at once how far this one knows; they
// tell others.
func (f *Front) digest() { nudge(f.spread) }

// alarm lets every other entry hear at once what this one says for itself alone: a
// request that broke a target, and its own end.
func (f *Front) alarm() { nudge(f.alarms) }

// spreadAll tells some of the other entries now and then, and at once where
// something has changed.
func (f *Front) spreadAll(ctx context.Context) error {
	all := time.Now()
	for ctx.Err() == nil {
		most := digestPeers
		if f.standbys.holds() && time.Since(all) > holderEach {
			all, most = time.Now(), math.MaxInt
		}
		select {
		case <-ctx.Done():
		case <-f.alarms:
			most = math.MaxInt
		case <-f.spread:
		case <-time.After(digestTime):
		}
		view := f.roster.View()
		digest := &fleetv1.Digest{Entry: f.site.GetName(), Targets: view.Complete(), Sum: view.Sum(), Suspects: f.recent(), Speeds: f.board.Speeds()}
		if catalog := f.catalog.Load(); catalog != nil {
			digest.Catalog = catalog.Revision()
		}
		digest.Bans = f.banned()
		if f.limited() > 0 {
			digest.Entries = uint32(f.quota.ObservedSize())
		}
		digest.Custody, digest.Away = f.standbys.version(), f.away.Load() > 0
		if f.board.Entries() == 0 {
			digest.Peers, digest.Named = f.peers.fresh(toldPeers), f.board.Named()
		}
		if closing := f.closing.Load(); closing != nil {
			digest.Left = durationpb.New(max(0, closing.Left(time.Now())))
		}
		mtdigest.Fit(digest, digestSize)
		f.peers.tell(f.words, &fleetv1.Word{Word: &fleetv1.Word_Digest{Digest: digest}}, most)
	}
	return ctx.Err()
}

// hearDigest takes in how far another entry knows.
func (f *Front) hearDigest(from string, digest *fleetv1.Digest) {
	f.peers.hear(from, digest)
	if digest.GetEntries() > 0 {
		f.quota.SetPeerSize(int(digest.GetEntries()))
	}
	f.peers.see(digest.GetPeers(), f.socket.Address())
	for _, suspect := range digest.GetSuspects() {
		f.suspects.Crash(suspect.GetDigest(), suspect.GetSource())
	}
	for _, ban := range digest.GetBans() {
		f.suspects.Adopt(ban.GetDigest(), ban.GetAge().AsDuration())
	}
	for _, speed := range digest.GetSpeeds() {
		f.adopt(speed, "entry "+digest.GetEntry())
	}
	for _, weights := range digest.GetNamed() {
		f.named(weights, "entry "+digest.GetEntry())
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
	if digest.GetCustody() > f.standbys.version() {
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
		f.configure(known.GetCatalog(), "entry "+address)
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
	known := &fleetv1.Knowledge{Revision: view.Complete(), Named: f.board.Named(), Speeds: f.board.Speeds()}
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

// Peer is the handler for other entries.
func (f *Front) Peer() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(fleetv1connect.NewPeerServiceHandler(f))
	return mux
}

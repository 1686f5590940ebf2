package mtfront

import (
	"context"
	"math"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/relay/mtdigest"
	"github.com/mustardtide/mustardtide/internal/relay/mtports"
)

const (
	// digestTime is how often entries tell each other how far they know.
	digestTime = 300 * time.Millisecond
	// alarmTime is how long more of an alarm's cause is waited for.
	alarmTime = 5 * time.Millisecond
	// digestPeers are the entries, drawn anew each time, that are told: what is new
	// passes through a hundred entries in three such steps, and what each sends does
	// not grow with their number.
	digestPeers = 6
	// digestSize bounds a digest to a datagram.
	digestSize = 1300
	// holderEach is how often the entry that orders engines without sidecars speaks to
	// all others, which take them over when it falls silent.
	holderEach = time.Second
	// toldPeers are the entries that a digest names where no sidecar does, shownPeers those
	// that an answer to an entry which knows few names.
	toldPeers  = 4
	shownPeers = 12
	// meetTime is how long after its start an entry asks for others.
	meetTime = 3 * time.Second
)

// entries is the number of live entries: the greatest of those that the sidecars have
// counted, that are heard of, and that the data centres have told of.
func (f *Front) entries() int {
	return max(f.board.Entries(), f.peers.count()+1, f.census.Size())
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
			// A crash breaks many requests off at once.
			pause(ctx, alarmTime)
		case <-f.spread:
		case <-time.After(digestTime):
		}
		digest := f.digestNow()
		word := &fleetv1.Word{Word: &fleetv1.Word_Digest{Digest: digest}}
		f.peers.tell(f.words, word, most, f.site.GetDatacentre())
		if digest.GetAsks() {
			f.meet(word)
		}
	}
	return ctx.Err()
}

// pause waits for a time, or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// digestNow says how far this entry knows.
func (f *Front) digestNow() *fleetv1.Digest {
	view := f.roster.View()
	digest := &fleetv1.Digest{
		Entry: f.site.GetName(), Datacentre: f.site.GetDatacentre(), Targets: view.Settled(), Sum: view.Sum(),
		Speeds: f.board.Speeds(), Readers: f.lookForReaders(), Weights: f.board.NewestWeightsRevision(),
		Counts: f.census.Known(), Asks: f.knowsFew(),
	}
	if catalog := f.catalog.Load(); catalog != nil {
		digest.Catalog = catalog.Revision()
	}
	f.culprits.Tell(digest)
	if f.limited() > 0 || f.limits.Count() > 0 {
		digest.Entries = uint32(max(f.quota.ObservedSize(), f.limiter.ObservedSize()))
	}
	digest.Limits = f.limits.Recent(maxLimits)
	digest.Levels = f.admissions.messages()
	digest.Custody, digest.Away = f.standbys.version(), f.away.Load() > 0
	if f.board.Entries() == 0 {
		digest.Peers, digest.Named = f.peers.fresh(toldPeers), f.board.NewestWeights()
	}
	if closing := f.closing.Load(); closing != nil {
		digest.Left = durationpb.New(max(0, closing.Remaining(time.Now())))
	}
	mtdigest.Fit(digest, digestSize)
	return digest
}

// knowsFew says that this entry knows no other, or has just started and knows fewer than
// a digest goes to.
func (f *Front) knowsFew() bool {
	known := f.peers.count()
	return known == 0 || known < digestPeers && time.Since(f.begun) < meetTime
}

// meet sends a digest to the entries that the settings name: while no target is listed
// there is no sidecar at which entries hear of each other.
func (f *Front) meet(word *fleetv1.Word) {
	for _, seed := range f.site.GetSeeds() {
		if to := mtports.EntryWords.At(f.site, seed); to != f.socket.Address() {
			f.words.Send(to, word)
		}
	}
}

// introduce names some entries to one that knows few.
func (f *Front) introduce(to string) {
	digest := f.digestNow()
	digest.Peers = f.peers.fresh(shownPeers)
	// Two that know few would answer each other for ever.
	digest.Asks = false
	f.words.Send(to, &fleetv1.Word{Word: &fleetv1.Word_Digest{Digest: digest}})
}

// lookForReaders finds out whether this entry has come to follow the store, and lists the
// entries that do.
func (f *Front) lookForReaders() []*fleetv1.Reader {
	near, _ := f.peers.parted(f.site.GetDatacentre())
	f.census.Count(len(near) + 1)
	f.readers.Resize(f.entries())
	f.join()
	f.readers.Look()
	known := f.readers.Known()
	if f.limits.Count() == 0 {
		for _, reader := range known {
			reader.Address = ""
		}
	}
	return known
}

// hearDigest takes in how far another entry knows.
func (f *Front) hearDigest(from string, digest *fleetv1.Digest) {
	f.peers.hear(from, digest)
	if digest.GetAsks() {
		f.introduce(from)
	}
	f.census.Hear(digest.GetCounts())
	f.readers.Hear(digest.GetReaders())
	f.readers.Meet(from)
	f.readers.Look()
	if digest.GetEntries() > 0 {
		f.quota.SetPeerSize(int(digest.GetEntries()))
		f.limiter.SetPeerSize(int(digest.GetEntries()))
	}
	f.hearLevels(from, digest.GetLevels())
	f.logLimits(f.limits.Merge(digest.GetLimits()), digest.GetEntry())
	f.peers.see(digest.GetPeers(), f.socket.Address())
	f.hearCrashes(digest)
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

package mtfront

import (
	"context"
	"iter"
	"time"

	"go.uber.org/zap"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/members/mtreader"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	"github.com/mustardtide/mustardtide/internal/placement/mtnaming"
	"github.com/mustardtide/mustardtide/internal/routing/mtcatalog"
	"github.com/mustardtide/mustardtide/platform/mtobjects"
)

// follower is what the sinks of all kinds of objects share.
type follower struct{ front *Front }

// Wait is how long a watch may wait.
func (s *follower) Wait() time.Duration { return s.front.watchTime() }

// Shorter tells when this entry comes to look often.
func (s *follower) Shorter() <-chan struct{} { return s.front.readers.Hurried() }

// Await waits while other entries follow the store for this one.
func (s *follower) Await(ctx context.Context) { s.front.readers.Await(ctx) }

// Pause is how long changes may gather.
func (s *follower) Pause() time.Duration { return s.front.gatherTime() }

// Retry is the longest wait between calls while the store is away.
func (s *follower) Retry() time.Duration {
	if len(s.front.peers.reaching()) >= mtreader.Quick {
		return heardRetry
	}
	return aloneRetry
}

// targets takes in the entries of targets.
type targets struct{ follower }

// Revision is that of the list.
func (s *targets) Revision() int64 { return s.front.roster.View().Complete() }

// Replace gets the complete list.
func (s *targets) Replace(list []mtobjects.Change[*fleetv1.Target], revision int64) {
	found := map[string]*fleetv1.Target{}
	for _, change := range list {
		if !change.Gone() {
			found[change.Name()] = change.Value()
		}
	}
	s.front.replace(found, revision, "store")
}

// replace takes in a complete list of targets.
func (f *Front) replace(found map[string]*fleetv1.Target, revision int64, source string) {
	before := f.roster.View()
	f.tellTargets(before, found, revision, source)
	for _, id := range f.roster.Replace(found, revision) {
		f.trail.Warn(mtkind.TargetGone, zap.String("target", id), zap.String("why", "not on the list"), zap.String("from", source))
	}
	f.listed()
}

// Changes gets what changed.
func (s *targets) Changes(changes []mtobjects.Change[*fleetv1.Target], revision int64) {
	if len(changes) > 0 {
		s.front.targetsHeard.note(0)
	}
	s.front.change(func(yield func(string, *fleetv1.Target) bool) {
		for _, change := range changes {
			var target *fleetv1.Target
			if !change.Gone() {
				target = change.Value()
			}
			if !yield(change.Name(), target) {
				return
			}
		}
	}, revision, "store")
}

// change takes in entries' new values, nil for one that is gone, up to a revision.
func (f *Front) change(updates iter.Seq2[string, *fleetv1.Target], revision int64, source string) {
	before := f.roster.View()
	count := 0
	logged := func(yield func(string, *fleetv1.Target) bool) {
		for id, target := range updates {
			count++
			if target != nil {
				f.tellTarget(before.Target(id), target, source)
			}
			if !yield(id, target) {
				return
			}
		}
	}
	for id, dropped := range f.roster.Change(logged, revision) {
		kind := mtkind.TargetMissing
		if dropped {
			kind = mtkind.TargetGone
		}
		f.trail.Warn(kind, zap.String("target", id), zap.String("from", source))
	}
	if count > 0 {
		f.listed()
	}
}

// tellTarget logs what a target's entry changes.
func (f *Front) tellTarget(before, now *fleetv1.Target, source string) {
	fields := []zap.Field{
		zap.String("target", now.GetId()), zap.String("service", now.GetService()),
		zap.String("address", now.GetAddress()), zap.String("build", now.GetBuild()), zap.Int64("revision", now.GetRevision()), zap.String("from", source),
	}
	switch {
	case now.GetLeaving() && !before.GetLeaving():
		f.trail.Warn(mtkind.TargetLeaving, fields...)
	case before == nil:
		f.trail.Say(mtkind.TargetListed, fields...)
	}
}

// Away keeps what is known.
func (s *targets) Away(err error) {
	s.front.roster.Away()
	s.front.lost("targets", err)
}

// Back gives entries that lapsed a moment to come back.
func (s *targets) Back() {
	s.front.roster.Back()
	s.front.back("targets")
}

// catalogs takes in the operators' configuration.
type catalogs struct{ follower }

// Revision is that of the configuration in force.
func (s *catalogs) Revision() int64 {
	if catalog := s.front.catalog.Load(); catalog != nil {
		return catalog.Revision()
	}
	return 0
}

// Replace gets the configuration, if there is one.
func (s *catalogs) Replace(list []mtobjects.Change[*fleetv1.Catalog], revision int64) {
	s.Changes(list, revision)
}

// Changes gets new configurations. One that is gone, unreadable or not newer
// leaves the one in force: a configuration never reverts.
func (s *catalogs) Changes(changes []mtobjects.Change[*fleetv1.Catalog], _ int64) {
	for _, change := range changes {
		if change.Gone() {
			s.front.trail.Warn(mtkind.CatalogIgnored, zap.String("name", change.Name()), zap.String("why", "gone or unreadable"))
			continue
		}
		s.front.configure(change.Value(), "store", 0)
	}
}

// Away keeps the configuration.
func (s *catalogs) Away(err error) { s.front.lost("catalog", err) }

// Back says that the store answers.
func (s *catalogs) Back() { s.front.back("catalog") }

// configure puts a configuration in force if it is newer. Its age is how long ago an entry
// has had it from the store.
func (f *Front) configure(source *fleetv1.Catalog, from string, age time.Duration) {
	f.configuring.Lock()
	defer f.configuring.Unlock()
	old := f.catalog.Load()
	if old != nil && (source.GetVersion() <= old.Version() || source.GetRevision() <= old.Revision()) {
		if source.GetRevision() != old.Revision() {
			f.trail.Warn(mtkind.CatalogIgnored, zap.Int64("version", source.GetVersion()), zap.Int64("inforce", old.Version()))
		}
		return
	}
	catalog := mtcatalog.New(source)
	if catalog.Ambiguous() && !f.site.GetKeyed() {
		f.trail.Warn(mtkind.CatalogIgnored, zap.Int64("version", source.GetVersion()), zap.String("from", from),
			zap.String("why", "it does not say whether requests need a key"))
		return
	}
	f.catalog.Store(catalog)
	f.board.SetRanked(catalog.Ranked())
	f.admissions.configure(catalog)
	f.catalogHeard.note(age)
	f.histogram(`heard_seconds{kind="configuration"}`).Observe(age)
	f.trail.Say(mtkind.CatalogInForce, zap.Int64("version", source.GetVersion()), zap.Int64("revision", source.GetRevision()),
		zap.Int("routes", len(source.GetRoutes())), zap.Int("accounts", len(source.GetAccounts())), zap.Bool("keyed", f.keyed(catalog)),
		zap.String("from", from), zap.Duration("heard", age))
	for _, account := range source.GetUnreadable() {
		f.trail.Warn(mtkind.AccountUnreadable, zap.String("account", clip(account)), zap.Int64("version", source.GetVersion()))
	}
	f.digest()
	if old == nil {
		f.hurry()
		f.start.NotifyChange()
	}
}

// weights takes in the named weights of models.
type weights struct {
	follower
	// watched says that the changes that come were made just now.
	watched bool
}

// Revision is the greatest of the named weights.
func (s *weights) Revision() int64 { return s.front.board.NewestWeightsRevision() }

// Replace gets the complete list.
func (s *weights) Replace(list []mtobjects.Change[*fleetv1.Weights], revision int64) {
	s.watched = false
	if len(list) > 0 {
		s.front.weightsListed.Store(true)
	}
	s.Changes(list, revision)
}

// Changes gets models' newest weights, and tells the sidecars at once.
func (s *weights) Changes(changes []mtobjects.Change[*fleetv1.Weights], _ int64) {
	for _, change := range changes {
		switch {
		case change.Gone():
		case s.watched:
			s.front.named(change.Value(), "store")
		default:
			s.front.named(mtnaming.FromListing(change.Value()), "store")
		}
	}
	s.watched = true
}

// Away keeps what was named. What comes after it may have been named long before.
func (s *weights) Away(err error) {
	s.watched = false
	s.front.lost("weights", err)
}

// Back says that the store answers.
func (s *weights) Back() { s.front.back("weights") }

func (f *Front) named(named *fleetv1.Weights, source string) {
	if !f.board.MergeWeights(named) {
		return
	}
	f.trail.Say(mtkind.WeightsNamed, zap.String("model", named.GetModel()), zap.Int64("version", named.GetVersion()),
		zap.Int64("revision", named.GetRevision()), zap.Duration("age", f.board.NewestWeightsAge()), zap.String("from", source))
	f.digest()
	f.hurry()
}

func (f *Front) lost(kind string, err error) {
	f.away.Add(1)
	f.join()
	f.digest()
	f.trail.Warn(mtkind.StoreLost, zap.String("kind", kind), zap.Error(err))
}

func (f *Front) back(kind string) {
	f.away.Add(-1)
	// The next watch waits for as long as this entry's place says.
	f.join()
	f.trail.Warn(mtkind.StoreBack, zap.String("kind", kind))
}

// listed takes a changed list over to the board.
func (f *Front) listed() {
	view := f.roster.View()
	f.board.UpdateTargets(view.All(), view.Replaced)
	f.builds.See(view.All(), view.Complete() > 0)
	f.digest()
	f.start.NotifyChange()
	if !f.greeted.Load() {
		f.hurry()
	}
}

// hurry lets the next greeting go out now.
func (f *Front) hurry() { nudge(f.wake) }

// nudge wakes a loop, which finds all that has changed since.
func nudge(loop chan<- struct{}) {
	select {
	case loop <- struct{}{}:
	default:
	}
}

// greetTime is how often each sidecar hears from each entry, and the entry from
// it, while the fleet is small.
const greetTime = 250 * time.Millisecond

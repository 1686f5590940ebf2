package mtfront

import (
	"time"

	"go.uber.org/zap"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	"github.com/mustardtide/mustardtide/internal/routing/mtcatalog"
	"github.com/mustardtide/mustardtide/platform/mtobjects"
)

// targets takes in the entries of targets.
type targets struct{ front *Front }

// Replace gets the complete list.
func (s *targets) Replace(list []mtobjects.Change[*fleetv1.Target]) {
	found := map[string]*fleetv1.Target{}
	for _, change := range list {
		if !change.Gone() {
			found[change.Name()] = change.Value()
		}
	}
	before := s.front.roster.View()
	for id, target := range found {
		s.tell(before.Target(id), target)
	}
	for _, id := range s.front.roster.Replace(found) {
		s.front.trail.Warn(mtkind.TargetGone, zap.String("target", id), zap.String("why", "not on the list"))
	}
	s.front.listed()
}

// Change gets one entry's change.
func (s *targets) Change(change mtobjects.Change[*fleetv1.Target]) {
	if change.Gone() {
		if s.front.roster.View().Target(change.Name()) == nil {
			return
		}
		kind := mtkind.TargetMissing
		if s.front.roster.Remove(change.Name()) {
			kind = mtkind.TargetGone
		}
		s.front.trail.Warn(kind, zap.String("target", change.Name()))
	} else {
		s.tell(s.front.roster.View().Target(change.Name()), change.Value())
		s.front.roster.Put(change.Name(), change.Value())
	}
	s.front.listed()
}

// tell logs what an entry changes.
func (s *targets) tell(before, now *fleetv1.Target) {
	fields := []zap.Field{
		zap.String("target", now.GetId()), zap.String("service", now.GetService()),
		zap.String("address", now.GetAddress()), zap.Int64("revision", now.GetRevision()),
	}
	switch {
	case now.GetLeaving() && !before.GetLeaving():
		s.front.trail.Warn(mtkind.TargetLeaving, fields...)
	case before == nil:
		s.front.trail.Say(mtkind.TargetListed, fields...)
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
type catalogs struct{ front *Front }

// Replace gets the configuration, if there is one.
func (s *catalogs) Replace(list []mtobjects.Change[*fleetv1.Catalog]) {
	for _, change := range list {
		s.Change(change)
	}
}

// Change gets a new configuration. One that is gone, unreadable or not newer
// leaves the one in force: a configuration never reverts.
func (s *catalogs) Change(change mtobjects.Change[*fleetv1.Catalog]) {
	if change.Gone() {
		s.front.trail.Warn(mtkind.CatalogIgnored, zap.String("name", change.Name()), zap.String("why", "gone or unreadable"))
		return
	}
	s.front.configure(change.Value())
}

// Away keeps the configuration.
func (s *catalogs) Away(err error) { s.front.lost("catalog", err) }

// Back says that the store answers.
func (s *catalogs) Back() { s.front.back("catalog") }

// configure puts a configuration in force if it is newer.
func (f *Front) configure(source *fleetv1.Catalog) {
	old := f.catalog.Load()
	if old != nil && (source.GetVersion() <= old.Version() || source.GetRevision() <= old.Revision()) {
		if source.GetRevision() != old.Revision() {
			f.trail.Warn(mtkind.CatalogIgnored, zap.Int64("version", source.GetVersion()), zap.Int64("inforce", old.Version()))
		}
		return
	}
	f.catalog.Store(mtcatalog.New(source))
	f.trail.Say(mtkind.CatalogInForce, zap.Int64("version", source.GetVersion()), zap.Int64("revision", source.GetRevision()),
		zap.Int("routes", len(source.GetRoutes())), zap.Int("accounts", len(source.GetAccounts())))
}

// weights takes in the named weights of models.
type weights struct{ front *Front }

// Replace gets the complete list.
func (s *weights) Replace(list []mtobjects.Change[*fleetv1.Weights]) {
	for _, change := range list {
		s.Change(change)
	}
}

// Change gets one model's newest weights, and tells the sidecars at once.
func (s *weights) Change(change mtobjects.Change[*fleetv1.Weights]) {
	if !change.Gone() {
		s.front.named(change.Value(), "store")
	}
}

// Away keeps what was named.
func (s *weights) Away(err error) { s.front.lost("weights", err) }

// Back says that the store answers.
func (s *weights) Back() { s.front.back("weights") }

func (f *Front) named(named *fleetv1.Weights, source string) {
	if !f.board.Name(named) {
		return
	}
	f.trail.Say(mtkind.WeightsNamed, zap.String("model", named.GetModel()), zap.Int64("version", named.GetVersion()),
		zap.Int64("revision", named.GetRevision()), zap.String("from", source))
	f.hurry()
}

func (f *Front) lost(kind string, err error) {
	f.trail.Warn(mtkind.StoreLost, zap.String("kind", kind), zap.Error(err))
}

func (f *Front) back(kind string) {
	f.trail.Warn(mtkind.StoreBack, zap.String("kind", kind))
}

// listed takes a changed list over to the board.
func (f *Front) listed() {
	f.board.List(f.roster.View().All())
}

// hurry lets the next greeting go out now.
func (f *Front) hurry() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// greetTime is how often each sidecar hears from each entry, and the entry from
// it, while the fleet is small.
const greetTime = 250 * time.Millisecond

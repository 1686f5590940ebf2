package mtfront

import (
	"sync"
	"time"

	"go.uber.org/zap"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtlevel"
	"github.com/mustardtide/mustardtide/internal/admission/mtschedule"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	"github.com/mustardtide/mustardtide/internal/placement/mtboard"
	"github.com/mustardtide/mustardtide/internal/routing/mtcatalog"
)

// loggedLevelStep is by how much a level has to differ from the last logged one.
const loggedLevelStep = 0.25

// admission is the state by which a service that ranks its requests admits them.
type admission struct {
	level *mtlevel.Level
	// logged is the level that was logged last.
	logged float64
	// schedule says when refused callers should return.
	schedule *mtschedule.Schedule
}

// admissions are those of the services that rank their requests. The zero value is ready for use.
type admissions struct {
	mu        sync.Mutex
	byService map[string]*admission
}

// configure takes in a configuration. A level is kept while its service has the same classes, a
// schedule while the service ranks its requests.
func (a *admissions) configure(catalog *mtcatalog.Catalog) {
	a.mu.Lock()
	defer a.mu.Unlock()
	old := a.byService
	a.byService = map[string]*admission{}
	for service := range catalog.Ranked() {
		known := old[service]
		if known == nil {
			known = &admission{schedule: mtschedule.New()}
		}
		if classes := catalog.Ranking(service).Classes(); known.level == nil || !known.level.Serves(classes) {
			known.level = mtlevel.New(classes)
		}
		known.logged = known.level.Value()
		a.byService[service] = known
	}
}

// use calls f with a service's admission, if it has one.
func (a *admissions) use(service string, f func(*admission)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if known := a.byService[service]; known != nil {
		f(known)
	}
}

// messages returns the levels that other entries are told.
func (a *admissions) messages() []*fleetv1.Level {
	a.mu.Lock()
	defer a.mu.Unlock()
	var list []*fleetv1.Level
	for service, known := range a.byService {
		if message := known.level.Message(service); message != nil {
			list = append(list, message)
		}
	}
	return list
}

// changed returns the levels that differ from those returned before.
func (a *admissions) changed() map[string]float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	news := map[string]float64{}
	for service, known := range a.byService {
		value := known.level.Value()
		if diff := value - known.logged; diff > loggedLevelStep || -diff > loggedLevelStep {
			known.logged, news[service] = value, value
		}
	}
	return news
}

// lowest returns the lowest level in force in parts of a thousand, -1 if no service has one.
func (a *admissions) lowest() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	lowest := int64(-1)
	for _, known := range a.byService {
		const parts = 1000
		if value := int64(parts * known.level.Value()); lowest < 0 || value < lowest {
			lowest = value
		}
	}
	return lowest
}

// hearLevels takes in another entry's levels.
func (f *Front) hearLevels(from string, list []*fleetv1.Level) {
	for _, message := range list {
		f.admissions.use(message.GetService(), func(a *admission) { a.level.Hear(from, message) })
	}
}

// logLevels logs the admission levels that have changed.
func (f *Front) logLevels() {
	for service, value := range f.admissions.changed() {
		f.trail.Say(mtkind.LevelChanged, zap.String("service", service), zap.Float64("level", value), zap.Float64("free", f.board.FreeShare(service)))
	}
}

// observePause records the longest pause of a stream that has ended, or that its caller has given
// up: a target that is full of work lets runs that it has admitted wait too.
func (r *request) observePause() {
	if !r.ranked() || r.first == 0 {
		return
	}
	class := r.class()
	r.front.admissions.use(r.service.GetName(), func(a *admission) {
		a.level.Observe(class, r.pause, r.route.GetGap().AsDuration())
	})
}

// observeQueue records how long the request has queued at its target, which took a time to the
// first byte.
func (r *request) observeQueue(choice *mtboard.Choice, took time.Duration) {
	if !r.ranked() {
		return
	}
	class := r.class()
	queued := max(0, took-(choice.Estimate()-choice.QueueTime()))
	r.front.admissions.use(r.service.GetName(), func(a *admission) {
		a.level.Observe(class, queued, r.route.GetAim().AsDuration())
	})
}

package mtfront

import (
	"sync"
	"time"

	"go.uber.org/zap"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtlevel"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	"github.com/mustardtide/mustardtide/internal/placement/mtboard"
	"github.com/mustardtide/mustardtide/internal/routing/mtcatalog"
)

// loggedLevelStep is by how much a level has to differ from the last logged one.
const loggedLevelStep = 0.25

// levels are the admission levels of the services that rank their requests. The zero value is
// ready for use.
type levels struct {
	mu        sync.Mutex
	byService map[string]*mtlevel.Level
	logged    map[string]float64
}

// configure takes in a configuration. A level is kept while its service has the same classes.
func (l *levels) configure(catalog *mtcatalog.Catalog) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.byService
	l.byService, l.logged = map[string]*mtlevel.Level{}, map[string]float64{}
	for service := range catalog.Ranked() {
		classes := catalog.Ranking(service).Classes()
		if known := old[service]; known != nil && known.Serves(classes) {
			l.byService[service] = known
		} else {
			l.byService[service] = mtlevel.New(classes)
		}
		l.logged[service] = l.byService[service].Value()
	}
}

// use calls f with a service's level, if it has one.
func (l *levels) use(service string, f func(*mtlevel.Level)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if level := l.byService[service]; level != nil {
		f(level)
	}
}

// messages returns the levels that other entries are told.
func (l *levels) messages() []*fleetv1.Level {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []*fleetv1.Level
	for service, level := range l.byService {
		if message := level.Message(service); message != nil {
			list = append(list, message)
		}
	}
	return list
}

// changed returns the levels that differ from those returned before.
func (l *levels) changed() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	news := map[string]float64{}
	for service, level := range l.byService {
		value := level.Value()
		if diff := value - l.logged[service]; diff > loggedLevelStep || -diff > loggedLevelStep {
			l.logged[service], news[service] = value, value
		}
	}
	return news
}

// lowest returns the lowest level in force in parts of a thousand, -1 if no service has one.
func (l *levels) lowest() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	lowest := int64(-1)
	for _, level := range l.byService {
		const parts = 1000
		if value := int64(parts * level.Value()); lowest < 0 || value < lowest {
			lowest = value
		}
	}
	return lowest
}

// hearLevels takes in another entry's levels.
func (f *Front) hearLevels(from string, list []*fleetv1.Level) {
	for _, message := range list {
		f.levels.use(message.GetService(), func(level *mtlevel.Level) { level.Hear(from, message) })
	}
}

// logLevels logs the admission levels that have changed.
func (f *Front) logLevels() {
	for service, value := range f.levels.changed() {
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
	r.front.levels.use(r.service.GetName(), func(level *mtlevel.Level) {
		level.Observe(class, r.pause, r.route.GetGap().AsDuration())
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
	r.front.levels.use(r.service.GetName(), func(level *mtlevel.Level) {
		level.Observe(class, queued, r.route.GetAim().AsDuration())
	})
}

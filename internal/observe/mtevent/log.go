// Package mtevent keeps a process's numbered events.
package mtevent

import (
	"fmt"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/timestamppb"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	"github.com/mustardtide/mustardtide/internal/observe/mtmetric"
	"github.com/mustardtide/mustardtide/internal/observe/mtstamp"
)

// defaultKept bounds the events that a process keeps for the timeline: at
// about 200 bytes an event, 4 MB.
const defaultKept = 20000

// Log writes events to zap and keeps the newest for the timeline. Its memory
// is bounded; Events says how many were dropped.
type Log struct {
	source string
	clock  *mtstamp.Clock
	zap    *zap.Logger
	set    *mtmetric.Set
	counts map[mtkind.Kind]metrics.Counter

	mu   sync.Mutex
	ring []*mustardtidev1.Event
	next int
	seq  uint64
}

// New returns a log for the process named source. A nil logger writes nothing.
func New(source string, clock *mtstamp.Clock, logger *zap.Logger) *Log {
	if logger == nil {
		logger = zap.NewNop()
	}
	set := mtmetric.New()
	return &Log{
		source: source,
		clock:  clock,
		zap:    logger.With(zap.String("source", source)),
		set:    set,
		counts: counters(set),
	}
}

// counters makes one counter a kind, so that Add looks none up by its name.
func counters(set *mtmetric.Set) map[mtkind.Kind]metrics.Counter {
	counts := map[mtkind.Kind]metrics.Counter{}
	for _, kind := range mtkind.All() {
		counts[kind] = set.Counter(fmt.Sprintf("events_total{event=%q}", kind.Name()))
	}
	return counts
}

// Source is the process's name.
func (l *Log) Source() string { return l.source }

// Clock is the process's logical clock.
func (l *Log) Clock() *mtstamp.Clock { return l.clock }

// Metrics is the process's metrics; each kind of event is counted there.
func (l *Log) Metrics() *mtmetric.Set { return l.set }

// Add logs one event. It sets stamp, seq, time and source of e.
func (l *Log) Add(kind mtkind.Kind, e *mustardtidev1.Event) {
	l.keep(kind, e)
	if count := l.counts[kind]; count != nil {
		count.Inc(1)
	}
	l.zap.Info(kind.Name(),
		zap.Uint32("event", e.GetCode()),
		zap.Uint64("stamp", e.GetStamp()),
		zap.String("run", e.GetRun()),
		zap.String("account", e.GetAccount()),
		zap.String("target", e.GetTarget()),
		zap.String("text", e.GetText()),
	)
}

// Events returns the kept events that match the filled fields of the request,
// oldest first, and the count of events no longer kept.
func (l *Log) Events(ask *mustardtidev1.EventsRequest) ([]*mustardtidev1.Event, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []*mustardtidev1.Event
	for i := range l.ring {
		e := l.ring[(l.next+i)%len(l.ring)]
		if matches(ask, e) {
			found = append(found, e)
		}
	}
	if most := int(ask.GetMost()); most > 0 && len(found) > most {
		found = found[len(found)-most:]
	}
	return found, l.seq - uint64(len(l.ring))
}

func (l *Log) keep(kind mtkind.Kind, e *mustardtidev1.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seq++
	e.Code = uint32(kind)
	e.Source = l.source
	e.Seq = l.seq
	e.Stamp = l.clock.Now()
	e.Time = timestamppb.New(time.Now())
	if len(l.ring) < defaultKept {
		l.ring = append(l.ring, e)
		return
	}
	l.ring[l.next] = e
	l.next = (l.next + 1) % defaultKept
}

func matches(ask *mustardtidev1.EventsRequest, e *mustardtidev1.Event) bool {
	return (ask.GetRun() == "" || ask.GetRun() == e.GetRun()) &&
		(ask.GetAccount() == "" || ask.GetAccount() == e.GetAccount()) &&
		(ask.GetTarget() == "" || ask.GetTarget() == e.GetTarget())
}

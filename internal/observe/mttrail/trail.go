// Package mttrail writes the log lines from which a request's story is told
// afterwards: one for each decision that touches it or changes what the
// process believes.
package mttrail

import (
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	"github.com/mustardtide/mustardtide/internal/observe/mtmetric"
)

// Lines a second of each kind; refusals and failures come first, as they are
// what is asked about afterwards. At 300 bytes a line the whole stays below
// 0.5 MB a second.
const (
	routineRate = 200
	troubleRate = 1000
)

// Trail is one process's. It is safe for concurrent use.
type Trail struct {
	log    *zap.Logger
	set    *mtmetric.Set
	counts map[mtkind.Kind]metrics.Counter

	mu      sync.Mutex
	second  time.Time
	written map[mtkind.Kind]int
	omitted map[mtkind.Kind]int
}

// New returns a trail for the process named source, which writes to out.
func New(source string, out zapcore.WriteSyncer) *Trail {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.EpochMillisTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), out, zapcore.InfoLevel)
	set := mtmetric.New()
	t := &Trail{
		log:     zap.New(core).With(zap.String("source", source)),
		set:     set,
		counts:  map[mtkind.Kind]metrics.Counter{},
		written: map[mtkind.Kind]int{},
		omitted: map[mtkind.Kind]int{},
	}
	for _, kind := range mtkind.All() {
		t.counts[kind] = set.Counter(`events_total{event="` + kind.Name() + `"}`)
	}
	return t
}

// Metrics are the process's counters.
func (t *Trail) Metrics() *mtmetric.Set { return t.set }

// CountStoreCall counts a call to the platform's store.
func (t *Trail) CountStoreCall(kind, call string) {
	t.set.Add(`store_calls_total{kind="`+kind+`",call="`+call+`"}`, 1)
}

// Say writes a routine line.
func (t *Trail) Say(kind mtkind.Kind, fields ...zap.Field) {
	t.write(zapcore.InfoLevel, kind, routineRate, fields)
}

// Warn writes a line about a refusal, a failure or a dependency.
func (t *Trail) Warn(kind mtkind.Kind, fields ...zap.Field) {
	t.write(zapcore.WarnLevel, kind, troubleRate, fields)
}

func (t *Trail) write(level zapcore.Level, kind mtkind.Kind, rate int, fields []zap.Field) {
	if count := t.counts[kind]; count != nil {
		count.Inc(1)
	}
	omitted, ok := t.admit(kind, rate)
	if !ok {
		return
	}
	entry := t.log.Check(level, kind.Name())
	if entry == nil {
		return
	}
	fields = append(fields, zap.Uint32("event", uint32(kind)))
	if omitted > 0 {
		fields = append(fields, zap.Int("omitted", omitted))
	}
	entry.Write(fields...)
}

// admit bounds the lines of a kind in each second; the first line of the next
// tells how many were left out.
func (t *Trail) admit(kind mtkind.Kind, rate int) (int, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if now.Sub(t.second) >= time.Second {
		t.second = now
		clear(t.written)
	}
	if t.written[kind] >= rate {
		t.omitted[kind]++
		return 0, false
	}
	t.written[kind]++
	omitted := t.omitted[kind]
	delete(t.omitted, kind)
	return omitted, true
}

package mtfront

import (
	"time"

	"go.uber.org/zap"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtcapacity"
	"github.com/mustardtide/mustardtide/internal/admission/mtconnection"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
)

const (
	// expireTime is how often connections are looked at for their times.
	expireTime = time.Second
	// lateExpire is when that was not done for so long that the process stood still.
	lateExpire = 3 * expireTime
)

// connectionLimits are those of callers' connections.
func connectionLimits(c mtcapacity.Capacity) mtconnection.Limits {
	return mtconnection.NewLimits(c.Callers(), c.Connections(), c.Unread())
}

// Callers are the connections of callers.
func (f *Front) Callers() *mtconnection.Table { return f.callers }

// Resize takes in settings with other limits. What is held beyond lower ones is kept until its
// requests end.
func (f *Front) Resize(site *fleetv1.Site) {
	capacity := mtcapacity.Of(site)
	f.memory.Resize(capacity.Requests())
	f.callers.Resize(connectionLimits(capacity))
}

// expireCallers closes connections that take longer than the configuration allows.
func (f *Front) expireCallers() {
	catalog := f.catalog.Load()
	if catalog == nil {
		return
	}
	limits := catalog.Limits()
	f.callers.BoundHead(limits.GetHeader())
	f.callers.Expire(limits.GetHead().AsDuration(), limits.GetIdle().AsDuration(), lateExpire)
}

// closings is what was logged of closed connections.
type closings struct{ crowded, head, idle, refused int64 }

// logClosings logs how many connections were closed since the last call, if any were for want of
// room: one line, however many clients there are.
func (f *Front) logClosings(logged *closings) {
	now := closings{
		crowded: f.callers.Closed(mtconnection.CauseCrowded),
		head:    f.callers.Closed(mtconnection.CauseHead),
		idle:    f.callers.Closed(mtconnection.CauseIdle),
		refused: f.callers.Refused(),
	}
	if now.crowded > logged.crowded || now.head > logged.head || now.refused > logged.refused {
		f.trail.Warn(mtkind.ConnectionsClosed, zap.Int64("crowded", now.crowded-logged.crowded), zap.Int64("head", now.head-logged.head),
			zap.Int64("idle", now.idle-logged.idle), zap.Int64("refused", now.refused-logged.refused),
			zap.Int("open", f.callers.Count()), zap.Int64("bytes", f.callers.Bytes()))
	}
	*logged = now
}

// holdingGauges are what callers make the process hold, the limits of it, and what was refused and
// closed for them.
func (f *Front) holdingGauges() {
	set := f.trail.Metrics()
	set.Gauge("caller_connections", func() int64 { return int64(f.callers.Count()) })
	set.Gauge("caller_connection_bytes", f.callers.Bytes)
	set.Gauge("request_bytes", f.memory.Used)
	set.Gauge("request_bytes_limit", f.memory.Limit)
	set.Gauge("target_connections_idle", func() int64 { return int64(f.pool.Idle()) })
	set.Gauge("requests_broken_off_total", func() int64 {
		broken, _ := f.memory.Counts()
		return broken
	})
	set.Gauge("requests_without_memory_total", func() int64 {
		_, refused := f.memory.Counts()
		return refused
	})
	set.Gauge("connections_refused_total", f.callers.Refused)
	for _, cause := range []string{mtconnection.CauseCrowded, mtconnection.CauseHead, mtconnection.CauseIdle} {
		set.Gauge(`connections_closed_total{cause="`+cause+`"}`, func() int64 { return f.callers.Closed(cause) })
	}
}

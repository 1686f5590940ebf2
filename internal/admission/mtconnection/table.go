// Package mtconnection bounds the callers' connections of one process, and what they hold while no
// request of theirs is being served. It decides which connection is closed where there are too many.
package mtconnection

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// restBytes is what a connection takes between two requests: its goroutine, two buffers and
	// what the server notes of it.
	restBytes = 20 << 10
	// serveBytes is what a request takes on top of that, with its connection to a target.
	serveBytes = 44 << 10
	// headFactor is how many bytes each byte of a head takes: as it came, and as it was read.
	headFactor = 2
	// headStep is by how much a head grows before it is counted; small ones are part of restBytes. So
	// much of a body may come with a head.
	headStep = 4 << 10
	// slowAfter is when a connection that sends a request counts as slow. Callers give up a request
	// that is not read for so long.
	slowAfter = time.Second
	// bufferShare is the part of the free receive buffers that one connection gets, and maxBuffer
	// and minBuffer bound it: the first hundreds get what they need, and many share the rest.
	bufferShare = 64
	maxBuffer   = 64 << 10
	minBuffer   = 4 << 10
)

// Causes for which connections are closed.
const (
	CauseCrowded = "crowded"
	CauseHead    = "head-time"
	CauseIdle    = "idle-time"
)

// Limits bound a table; a zero is no bound.
type Limits struct {
	count          int
	bytes, buffers int64
}

// NewLimits returns limits of a number of connections, of the bytes that they take, and of the bytes
// that may wait unread in all of them.
func NewLimits(count int, bytes, buffers int64) Limits {
	return Limits{count: count, bytes: bytes, buffers: buffers}
}

// Table is the connections of one process. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	limits  Limits
	open    map[*Connection]struct{}
	bytes   int64
	buffers int64
	closed  map[string]int64
	refused int64
	// head is the greatest size of a head, 0 for no bound.
	head atomic.Int64
	// expired is when connections were last looked at for their times.
	expired time.Time
}

// New returns an empty table.
func New(limits Limits) *Table {
	return &Table{limits: limits, open: map[*Connection]struct{}{}, closed: map[string]int64{}, expired: time.Now()}
}

// Resize sets the limits. Connections beyond lower ones are closed as others come.
func (t *Table) Resize(limits Limits) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limits = limits
}

// BoundHead sets the greatest size of a head in bytes, 0 for no bound.
func (t *Table) BoundHead(limit int64) { t.head.Store(limit) }

// Count is the number of connections.
func (t *Table) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open)
}

// Bytes are those that the connections take.
func (t *Table) Bytes() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bytes
}

// Closed is the number of connections that were closed for a cause.
func (t *Table) Closed(cause string) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.closed[cause]
}

// Refused is the number of connections and requests for which there was no room.
func (t *Table) Refused() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.refused
}

// Open takes in a connection; end closes it and must not call the table. Where there are too many,
// another one is closed. Open returns nil where none may be: each is being served.
func (t *Table) Open(end func()) *Connection {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := &Connection{table: t, end: end, since: time.Now()}
	if !t.makeRoom(c, restBytes, 1) {
		t.refused++
		return nil
	}
	c.held = restBytes
	c.buffer = t.newBuffer()
	t.bytes += c.held
	t.buffers += c.buffer
	t.open[c] = struct{}{}
	return c
}

// newBuffer is the receive buffer of a new connection; the table is locked.
func (t *Table) newBuffer() int64 {
	if t.limits.buffers <= 0 {
		return maxBuffer
	}
	return max(minBuffer, min(maxBuffer, (t.limits.buffers-t.buffers)/bufferShare))
}

// makeRoom closes connections until a number of further ones, and some bytes, fit. It reports false
// where no other than c may be closed.
func (t *Table) makeRoom(c *Connection, bytes int64, count int) bool {
	now := time.Now()
	for t.limits.count > 0 && len(t.open)+count > t.limits.count || t.limits.bytes > 0 && t.bytes+bytes > t.limits.bytes {
		other := t.victim(c, now)
		if other == nil {
			return false
		}
		t.close(other, CauseCrowded)
	}
	return true
}

// victim returns the connection that is closed first, nil for none.
func (t *Table) victim(except *Connection, now time.Time) *Connection {
	var found *Connection
	best := keep
	for c := range t.open {
		if c == except {
			continue
		}
		rank := c.rank(now)
		if rank < best || rank == best && found != nil && c.since.Before(found.since) {
			found, best = c, rank
		}
	}
	return found
}

// close ends a connection for a cause; the table is locked.
func (t *Table) close(c *Connection, cause string) {
	t.closed[cause]++
	t.cut(c)
}

// cut ends a connection; the table is locked.
func (t *Table) cut(c *Connection) {
	c.crossed.Store(true)
	t.remove(c)
	c.end()
}

func (t *Table) remove(c *Connection) {
	if _, ok := t.open[c]; !ok {
		return
	}
	delete(t.open, c)
	t.bytes -= c.held
	t.buffers -= c.buffer
	c.held, c.buffer, c.gone = 0, 0, true
}

// CloseResting closes the connections that wait for their next request; Crossed tells of those whose
// request came in meanwhile.
func (t *Table) CloseResting() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.open {
		if c.state == resting {
			t.cut(c)
		}
	}
}

// Expire closes the connections whose request's head, or next request, has not come within a time;
// 0 is no bound. It does nothing if it was not called for longer than every: the process stood
// still, and what came meanwhile is still to be read.
func (t *Table) Expire(head, idle, every time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	late := now.Sub(t.expired) > every
	t.expired = now
	if late {
		return
	}
	for c := range t.open {
		waited := now.Sub(c.since)
		switch {
		case head > 0 && c.state == receivingHead && waited > head:
			t.close(c, CauseHead)
		case idle > 0 && (c.state == resting || c.state == silent) && waited > idle:
			t.close(c, CauseIdle)
		}
	}
}

package mtconnection

import (
	"errors"
	"sync/atomic"
	"time"
)

// state is what a connection does.
type state int

const (
	// silent connections have sent nothing yet.
	silent state = iota
	receivingHead
	receivingBody
	serving
	resting
	// lingering connections have a refusal, and are open for it to be read.
	lingering
)

// Ranks of connections, the first to be closed first; those of one rank go by their age.
const (
	rankLingering = iota
	// rankSlow is that of a connection that has never sent a whole request, and takes long for it:
	// most crowds are of such, and a caller behind it loses nothing that was begun.
	rankSlow
	// rankResting comes before those that send: a caller can open another connection at no loss.
	rankResting
	rankSlowAgain
	// rankUnread is that of a connection whose caller does not read its answer.
	rankUnread
	rankNew
	// keep is the rank of those that are not closed.
	keep
)

// Connection is one caller's. A nil one has no bounds. Its methods are called by the goroutines that
// serve it.
type Connection struct {
	table   *Table
	end     func()
	crossed atomic.Bool
	// head counts the bytes of the request's head; it is negative after the head.
	head atomic.Int64
	// writing is since when a part of an answer is being written, in Unix nanoseconds, 0 for none.
	writing atomic.Int64

	// These are guarded by the table. counted are the bytes of the head that are in held.
	counted int64
	state   state
	since   time.Time
	proven  bool
	gone    bool
	held    int64
	buffer  int64
}

// rank is when the connection is closed; the table is locked.
func (c *Connection) rank(now time.Time) int {
	slow := now.Sub(c.since) > slowAfter
	switch c.state {
	case lingering:
		return rankLingering
	case serving:
		if began := c.writing.Load(); began > 0 && now.UnixNano()-began > int64(slowAfter) {
			return rankUnread
		}
		return keep
	case resting:
		return rankResting
	case silent, receivingHead, receivingBody:
	}
	switch {
	case slow && !c.proven:
		return rankSlow
	case slow:
		return rankSlowAgain
	case !c.proven:
		return rankNew
	default:
		return keep
	}
}

// Buffer is the size of its receive buffer in bytes.
func (c *Connection) Buffer() int {
	if c == nil {
		return maxBuffer
	}
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	return int(c.buffer)
}

// Crossed says that the connection was closed before its request was served, so that its caller gets
// no answer.
func (c *Connection) Crossed() bool { return c != nil && c.crossed.Load() }

// ErrHead is the error of a head over the limit.
var ErrHead = errors.New("the head is over the configured limit")

// Read counts bytes that came, and returns ErrHead if they are of a head over the limit.
func (c *Connection) Read(n int) error {
	if c == nil || n <= 0 || c.head.Load() < 0 {
		return nil
	}
	head := c.head.Add(int64(n))
	if limit := c.table.head.Load(); limit > 0 && head > limit+headStep {
		return ErrHead
	}
	if first := head == int64(n); first || head >= headStep {
		c.table.grow(c, first, head)
	}
	return nil
}

// grow notes that a head begins or that it has grown; it may close the connection.
func (t *Table) grow(c *Connection, first bool, head int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.gone {
		return
	}
	if first {
		c.state, c.since = receivingHead, time.Now()
	}
	grown := head - c.counted
	if grown < headStep {
		return
	}
	c.counted = head
	if !t.makeRoom(c, headFactor*grown, 0) {
		t.close(c, CauseCrowded)
		return
	}
	t.bytes += headFactor * grown
	c.held += headFactor * grown
}

// Begin records that a request's head is complete, and takes the memory that serving it needs. It
// reports false where that is not free: the request must be refused.
func (c *Connection) Begin() bool {
	if c == nil {
		return true
	}
	c.head.Store(-1)
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	c.state, c.since = receivingBody, time.Now()
	if c.gone {
		// Closed at rest or for others: its caller gets no answer.
		return true
	}
	if !t.makeRoom(c, serveBytes, 0) {
		t.refused++
		return false
	}
	t.bytes += serveBytes
	c.held += serveBytes
	return true
}

// Received records that all of the request has come.
func (c *Connection) Received() {
	if c == nil {
		return
	}
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.state, c.proven = serving, true
}

// Writing records that a part of an answer is being written, Written that it was.
func (c *Connection) Writing() {
	if c != nil {
		c.writing.Store(time.Now().UnixNano())
	}
}

// Written is told after Writing.
func (c *Connection) Written() {
	if c != nil {
		c.writing.Store(0)
	}
}

// Refused records that the request was refused before it came whole, so that the connection ends
// with the refusal.
func (c *Connection) Refused() {
	if c == nil {
		return
	}
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.state, c.since = lingering, time.Now()
}

// Rest records that the request is over.
func (c *Connection) Rest() {
	if c == nil {
		return
	}
	c.head.Store(0)
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	c.counted = 0
	c.state, c.since = resting, time.Now()
	if c.gone {
		return
	}
	t.bytes -= c.held - restBytes
	c.held = restBytes
}

// Close records that the connection is closed. Further calls do nothing.
func (c *Connection) Close() {
	if c == nil {
		return
	}
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.table.remove(c)
}

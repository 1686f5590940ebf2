// Package mtbuffer keeps the unacknowledged part of a run's answer, so that it
// can be sent again over a new connection.
package mtbuffer

import (
	"context"
	"math"
	"sync"

	"github.com/gravitational/trace"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
)

// joinLimit bounds the pieces sent as one: the size of an HTTP/2 frame.
const joinLimit = 16 << 10

// segment is one written piece; pieces are never split or joined, so that a
// reader sees whole server-sent events.
type segment struct {
	offset uint64
	data   []byte
}

// Buffer has one writer, the target's answer, and readers that may come and
// go. Its memory is bounded: a writer waits while the unacknowledged part is
// at the limit.
type Buffer struct {
	limit int

	mu       sync.Mutex
	segments []segment
	size     int
	end      uint64
	base     uint64
	head     *mustardtidev1.Head
	finish   *mustardtidev1.Finish
	wake     chan struct{}
}

// New returns an empty buffer for at most limit unacknowledged bytes.
func New(limit int) *Buffer {
	return &Buffer{limit: limit, wake: make(chan struct{})}
}

// Start sets the head that precedes the payload.
func (b *Buffer) Start(head *mustardtidev1.Head) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.head = head
	b.stir()
}

// Write appends one piece; it waits for room until ctx ends.
func (b *Buffer) Write(ctx context.Context, data []byte) error {
	for {
		wake, ok := b.tryWrite(data)
		if ok {
			return nil
		}
		select {
		case <-wake:
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		}
	}
}

// Finish marks the answer's end; the first call wins.
func (b *Buffer) Finish(finish *mustardtidev1.Finish) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.finish != nil {
		return
	}
	b.finish = finish
	b.stir()
}

// Ack drops the pieces that end at or below offset.
func (b *Buffer) Ack(offset uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.segments) > 0 && b.segments[0].end() <= offset {
		b.size -= len(b.segments[0].data)
		b.base = b.segments[0].end()
		b.segments = b.segments[1:]
	}
	b.stir()
}

// Drop frees an ended answer whose reader has all of it.
func (b *Buffer) Drop() { b.Ack(math.MaxUint64) }

// Next returns the pieces that are ready at offset, some kilobytes at most, or
// the finish where the answer ends there, or neither and a channel that closes at the next change. It fails where the
// piece is no longer kept.
func (b *Buffer) Next(offset uint64) ([]byte, *mustardtidev1.Finish, <-chan struct{}, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if offset < b.base || offset > b.end {
		return nil, nil, nil, trace.NotFound("offset %d is outside %d to %d", offset, b.base, b.end)
	}
	for i, s := range b.segments {
		if s.end() > offset {
			return join(s.data[offset-s.offset:], b.segments[i+1:]), nil, b.wake, nil
		}
	}
	return nil, b.finish, b.wake, nil
}

// join adds the pieces that are ready as well: a reader that has fallen behind
// catches up in few frames.
func join(first []byte, more []segment) []byte {
	size := len(first)
	n := 0
	for n < len(more) && size+len(more[n].data) <= joinLimit {
		size += len(more[n].data)
		n++
	}
	if n == 0 {
		return first
	}
	joined := append(make([]byte, 0, size), first...)
	for _, s := range more[:n] {
		joined = append(joined, s.data...)
	}
	return joined
}

// Head returns the head and the finish, nil where they have not come, and a
// channel that closes at the next change. All three are of one moment: read
// apart, an end that came in between would be seen by nobody until the next
// change.
func (b *Buffer) Head() (*mustardtidev1.Head, *mustardtidev1.Finish, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.head, b.finish, b.wake
}

// End returns the finish, or nil while the answer goes on.
func (b *Buffer) End() *mustardtidev1.Finish {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.finish
}

func (b *Buffer) tryWrite(data []byte) (<-chan struct{}, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.size > 0 && b.size+len(data) > b.limit {
		return b.wake, false
	}
	b.segments = append(b.segments, segment{offset: b.end, data: data})
	b.size += len(data)
	b.end += uint64(len(data))
	b.stir()
	return nil, true
}

// stir wakes whoever waits for a change. The lock is held.
func (b *Buffer) stir() {
	close(b.wake)
	b.wake = make(chan struct{})
}

func (s segment) end() uint64 { return s.offset + uint64(len(s.data)) }

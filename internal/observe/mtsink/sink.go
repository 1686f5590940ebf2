// Package mtsink writes a process's log without ever blocking the writer.
package mtsink

import (
	"context"
	"io"
	"sync"
	"time"
)

const (
	// held bounds the bytes that wait for the output: about two seconds of lines
	// at a busy entry's rate.
	held = 512 << 10
	// flushEvery is how long a line waits at most before it is written.
	flushEvery = 50 * time.Millisecond
)

// Sink holds lines in memory and writes them from one goroutine. Lines beyond
// its bound are dropped and counted: a pipe that nobody reads must not stop
// requests.
type Sink struct {
	out  io.Writer
	wake chan struct{}

	mu      sync.Mutex
	buffer  []byte
	dropped int64
}

// New returns a sink to out; Run writes.
func New(out io.Writer) *Sink {
	return &Sink{out: out, wake: make(chan struct{}, 1)}
}

// Write takes a line. It never blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.buffer)+len(line) > held {
		s.dropped++
		return len(line), nil
	}
	s.buffer = append(s.buffer, line...)
	if len(s.buffer) == len(line) {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

// Sync is there for the logger; Run writes what is held.
func (s *Sink) Sync() error { return nil }

// Dropped is how many lines did not fit.
func (s *Sink) Dropped() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dropped
}

// Run writes until ctx ends, and then what is left.
func (s *Sink) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			s.flush()
			return ctx.Err()
		case <-s.wake:
			time.Sleep(flushEvery)
			s.flush()
		}
	}
}

func (s *Sink) flush() {
	s.mu.Lock()
	lines := s.buffer
	s.buffer = nil
	s.mu.Unlock()
	if len(lines) > 0 {
		// Where the output has gone, the log has no place left to say so.
		_, _ = s.out.Write(lines)
	}
}

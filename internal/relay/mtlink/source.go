package mtlink

import (
	"bytes"
	"errors"
	"net"
	"os"
	"time"
)

const (
	// maxHead limits in bytes the heads that are read for one response, interim ones included.
	maxHead = 64 << 10
	// maxHeadLines limits the lines of a head: a short line takes about twenty times its bytes once
	// it is parsed. The lines of one more buffer may come with them.
	maxHeadLines = 512
	// lastLook is for bytes that arrived in time while the process did not run.
	lastLook = 20 * time.Millisecond
)

// ErrHead is the error of a response whose head passes the limits.
var ErrHead = errors.New("the head of the response is over 64 KB or 512 lines")

// source reads from a connection, and limits what is read of heads.
type source struct {
	conn net.Conn
	// inHead reports whether a head is being read, of which left bytes may follow and lines have
	// been read. passed reports that a limit was passed: a reader of lines hides the error behind
	// the part of a line before it.
	inHead bool
	left   int
	lines  int
	passed bool
	// span is how long bytes of a body may come without any of its content, 0 for any time; waited
	// is how long they have, and pending reports whether one has come.
	span    time.Duration
	waited  time.Duration
	pending bool
}

// ErrFraming is the error of a body of which only framing comes.
var ErrFraming = errors.New("bytes came for too long without any of the body")

// Read reads from the connection, of a head only what its limits allow.
func (s *source) Read(p []byte) (int, error) {
	if !s.inHead {
		return s.readBody(p)
	}
	if s.left <= 0 || s.lines > maxHeadLines {
		s.passed = true
		return 0, ErrHead
	}
	n, err := s.read(p[:min(len(p), s.left)])
	s.left -= n
	s.lines += bytes.Count(p[:n], []byte{'\n'})
	return n, err
}

// readBody reads from the connection. A target that is silent is waited for; one that sends only
// framing, as the digits of one chunk size, is not.
func (s *source) readBody(p []byte) (int, error) {
	began := time.Now()
	n, err := s.read(p)
	if s.span <= 0 || n == 0 {
		return n, err
	}
	if s.pending {
		s.waited += time.Since(began)
	}
	s.pending = true
	if s.waited >= s.span {
		return 0, ErrFraming
	}
	return n, err
}

// progress records that some of the body's content was read.
func (s *source) progress() { s.waited, s.pending = 0, false }

func (s *source) read(p []byte) (int, error) {
	n, err := s.conn.Read(p)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	if err := s.conn.SetReadDeadline(time.Now().Add(lastLook)); err != nil {
		return 0, err
	}
	return s.conn.Read(p)
}

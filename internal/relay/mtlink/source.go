package mtlink

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"time"

	"github.com/mustardtide/mustardtide/internal/relay/mthead"
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
	// ended returns the error of a connection that is at its end.
	ended func() error
	// inHead reports whether a head is being read, of which left bytes may follow and lines have
	// been read. checker checks it. fault is the error of a head that is not accepted: a reader of
	// lines hides an error behind the part of a line before it.
	inHead  bool
	left    int
	lines   int
	checker mthead.Checker
	fault   error
	// received reports whether any byte was read since the last request.
	received bool
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
		s.fault = ErrHead
		return 0, ErrHead
	}
	n, err := s.read(p[:min(len(p), s.left)])
	s.left -= n
	s.lines += bytes.Count(p[:n], []byte{'\n'})
	if s.check(p[:n]); s.fault != nil {
		return 0, s.fault
	}
	return n, err
}

// beginHead begins the heads of a response, of which some bytes have been read with the one before.
func (s *source) beginHead(buffered []byte) {
	s.inHead, s.checker = true, mthead.Checker{}
	s.left -= len(buffered)
	s.check(buffered)
}

// endHead ends them; some of the bytes that have been read lie behind them.
func (s *source) endHead(buffered int) {
	s.inHead = false
	s.left += buffered
}

func (s *source) check(p []byte) {
	if err := s.checker.Take(p); err != nil {
		s.fault = err
	}
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
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		if err := s.conn.SetReadDeadline(time.Now().Add(lastLook)); err != nil {
			return 0, err
		}
		n, err = s.conn.Read(p)
	}
	if errors.Is(err, io.EOF) {
		err = s.ended()
	}
	s.received = s.received || n > 0
	return n, err
}

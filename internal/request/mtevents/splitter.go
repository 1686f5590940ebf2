// Package mtevents finds the ends of server-sent events in a stream that comes in parts. A line
// ends with LF, CR or CRLF, an event with an empty line (WHATWG HTML, 9.2.5).
package mtevents

// Splitter has seen the beginning of a stream. The zero value has seen nothing.
type Splitter struct {
	events int
	// line says that the last line has not ended, comment that it is a comment, and fields
	// that lines of the last event have ended.
	line, comment, fields bool
	// returned says that the last byte was a CR: an LF behind it ends no other line.
	returned bool
}

// Take sees the next bytes of the stream. It returns how many of them lie before the last
// point among them at which no event is open, 0 where there is none.
func (s *Splitter) Take(b []byte) int {
	closed := 0
	for i := 0; i < len(b); {
		if !ends(b[i]) {
			i += s.text(b[i:])
			continue
		}
		if b[i] == '\r' || !s.returned {
			s.endLine()
		}
		s.returned = b[i] == '\r'
		i++
		if !s.Open() {
			closed = i
		}
	}
	return closed
}

// ends says that a byte ends a line.
func ends(c byte) bool { return c == '\n' || c == '\r' }

// text sees bytes up to the line's end and returns how many these are.
func (s *Splitter) text(b []byte) int {
	if !s.line {
		s.line, s.comment = true, b[0] == ':'
	}
	s.returned = false
	for i, c := range b {
		if ends(c) {
			return i
		}
	}
	return len(b)
}

// endLine sees a line's end.
func (s *Splitter) endLine() {
	switch {
	case !s.line && s.fields:
		s.events++
		s.fields = false
	case s.line && !s.comment:
		s.fields = true
	}
	s.line = false
}

// Open says that the stream stands inside an event or a line.
func (s *Splitter) Open() bool { return s.line || s.fields }

// Events is how many events have ended.
func (s *Splitter) Events() int { return s.events }

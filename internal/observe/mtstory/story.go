// Package mtstory tells a request's story from the logs of several processes.
package mtstory

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
)

const (
	// around is how long before and after a request lines about its targets
	// belong to its story: a rollout's turn or an outage of some seconds, and
	// clocks that differ by as much.
	around = 6 * time.Second
	// maxLine bounds a line of a log.
	maxLine = 1 << 20
)

// Story collects the lines of logs. Each process's lines are told by its own
// clock: wall clocks differ, and no line of one process is moved by another's.
type Story struct {
	id    string
	lines []line
	seen  int
}

// line is one line of a log.
type line struct {
	time    time.Time
	source  string
	message string
	event   uint32
	request string
	target  string
	fields  map[string]any
}

// New returns the story of a request, without lines.
func New(id string) *Story { return &Story{id: id} }

// Read takes in one process's log. Whatever stands before a line's JSON, such as
// a collector's own time, is ignored, and so are lines of other programs.
func (s *Story) Read(from io.Reader) error {
	scanner := bufio.NewScanner(from)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		if l, ok := parse(text[start:]); ok {
			s.seen++
			s.lines = append(s.lines, l)
		}
	}
	return trace.Wrap(scanner.Err())
}

func parse(text []byte) (line, bool) {
	var fields map[string]any
	if err := json.Unmarshal(text, &fields); err != nil {
		return line{}, false
	}
	l := line{fields: fields}
	millis, ok := fields["ts"].(float64)
	if !ok {
		return line{}, false
	}
	l.time = time.UnixMicro(int64(millis * 1000)).UTC()
	l.source, _ = fields["source"].(string)
	l.message, _ = fields["msg"].(string)
	l.request, _ = fields["request"].(string)
	l.target, _ = fields["target"].(string)
	if event, ok := fields["event"].(float64); ok {
		l.event = uint32(event)
	}
	for _, name := range []string{"ts", "source", "msg", "request", "event", "level"} {
		delete(fields, name)
	}
	return l, true
}

// Write tells the story: the request's own lines, then for each of its targets
// what other processes said of it around that time.
func (s *Story) Write(out io.Writer) error {
	own := s.own()
	if len(own) == 0 {
		return trace.NotFound("none of %d lines names the request %q; give the logs of every entry, as a caller's retry has an id of its own", s.seen, s.id)
	}
	fmt.Fprintf(out, "request %s, by the clock of %s\n", s.id, own[0].source)
	begun := own[0].time
	targets := map[string]bool{}
	for _, l := range own {
		fmt.Fprintf(out, "  %+9.3fs %s\n", l.time.Sub(begun).Seconds(), l.text())
		if l.target != "" {
			targets[l.target] = true
		}
	}
	for _, target := range slices.Sorted(maps.Keys(targets)) {
		s.writeTarget(out, target, begun, own[len(own)-1].time)
	}
	return nil
}

// own are the request's lines in the order of their time.
func (s *Story) own() []line {
	var own []line
	for _, l := range s.lines {
		if l.request == s.id {
			own = append(own, l)
		}
	}
	slices.SortStableFunc(own, func(a, b line) int { return a.time.Compare(b.time) })
	return own
}

func (s *Story) writeTarget(out io.Writer, target string, begun, ended time.Time) {
	var lines []line
	for _, l := range s.lines {
		if l.target == target && l.request == "" && l.time.After(begun.Add(-around)) && l.time.Before(ended.Add(around)) {
			lines = append(lines, l)
		}
	}
	if len(lines) == 0 {
		return
	}
	slices.SortStableFunc(lines, func(a, b line) int {
		if c := strings.Compare(a.source, b.source); c != 0 {
			return c
		}
		return a.time.Compare(b.time)
	})
	fmt.Fprintf(out, "around it, of target %s, each by its own clock\n", target)
	for _, l := range lines {
		fmt.Fprintf(out, "  %+9.3fs %s: %s\n", l.time.Sub(begun).Seconds(), l.source, l.text())
	}
}

// text says what happened, and the values that decided it.
func (l line) text() string {
	var b strings.Builder
	b.WriteString(l.message)
	if text := mtkind.Kind(l.event).Text(); text != "" {
		b.WriteString(" (" + text + ")")
	}
	for _, name := range slices.Sorted(maps.Keys(l.fields)) {
		fmt.Fprintf(&b, " %s=%v", name, l.fields[name])
	}
	return b.String()
}

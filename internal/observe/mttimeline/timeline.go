// Package mttimeline joins the event logs of many processes into one order.
package mttimeline

import (
	"cmp"
	"fmt"
	"io"
	"slices"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/encoding/protojson"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
)

// Timeline collects events. Its order is by logical stamp: messages carry their
// sender's stamp, so that an effect never stands before its cause even where
// the instances' wall clocks disagree.
type Timeline struct {
	events  []*mustardtidev1.Event
	dropped map[string]uint64
}

// New returns an empty timeline.
func New() *Timeline {
	return &Timeline{dropped: map[string]uint64{}}
}

// Add takes in one process's share, and how many of its events are no longer kept.
func (t *Timeline) Add(source string, reply *mustardtidev1.EventsReply) {
	t.events = append(t.events, reply.GetEvents()...)
	if reply.GetDropped() > 0 {
		t.dropped[source] = reply.GetDropped()
	}
}

// Events returns all events in order; equal stamps by source, then by the
// source's own count.
func (t *Timeline) Events() []*mustardtidev1.Event {
	slices.SortFunc(t.events, func(a, b *mustardtidev1.Event) int {
		return cmp.Or(
			cmp.Compare(a.GetStamp(), b.GetStamp()),
			cmp.Compare(a.GetSource(), b.GetSource()),
			cmp.Compare(a.GetSeq(), b.GetSeq()),
		)
	})
	return t.events
}

// Text writes one line an event: time, source, event, and what it is about.
func (t *Timeline) Text(w io.Writer) error {
	const clock = "15:04:05.000000"
	for _, e := range t.Events() {
		at := e.GetTime().AsTime().Format(clock)
		_, err := fmt.Fprintf(w, "%s %-16s %d %-20s%s\n", at, e.GetSource(), e.GetCode(), mtkind.Kind(e.GetCode()).Name(), about(e))
		if err != nil {
			return trace.Wrap(err)
		}
	}
	return t.note(w)
}

// JSON writes one JSON object an event and line.
func (t *Timeline) JSON(w io.Writer) error {
	for _, e := range t.Events() {
		encoded, err := protojson.Marshal(e)
		if err != nil {
			return trace.Wrap(err)
		}
		if _, err := fmt.Fprintf(w, "%s\n", encoded); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// note says which sources no longer keep all they logged: an event that is not
// shown may have happened.
func (t *Timeline) note(w io.Writer) error {
	for source, n := range t.dropped {
		if _, err := fmt.Fprintf(w, "# %s no longer keeps its first %d events\n", source, n); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func about(e *mustardtidev1.Event) string {
	text := ""
	for _, field := range []struct{ name, value string }{
		{"run", e.GetRun()},
		{"account", e.GetAccount()},
		{"target", e.GetTarget()},
	} {
		if field.value != "" {
			text += " " + field.name + "=" + field.value
		}
	}
	if e.GetText() != "" {
		text += " " + e.GetText()
	}
	return text
}

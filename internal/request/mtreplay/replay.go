// Package mtreplay continues a streamed model answer from a second run of the
// same request, after the target of the first died.
//
// What a caller has can't be taken back. The second run's text is compared with
// it byte by byte and left out; only what follows is passed on. An answer that
// differs, as when an engine samples at random, can't be continued.
package mtreplay

import (
	"bytes"

	"github.com/gravitational/trace"
)

// keptLimit bounds what is kept of one answer: about a thousand tokens' events.
// Longer answers are passed on too, but not continued.
const keptLimit = 256 << 10

// eventEnd parts server-sent events.
var eventEnd = []byte("\n\n")

// Replay sees the events of one answer on their way to the caller.
type Replay struct {
	kept     []byte
	overlong bool

	// rerun says that another run's events come now; pending is the delivered
	// text that it has not repeated yet.
	rerun   bool
	pending []byte
	before  delivered
}

// delivered is what a caller has of an answer.
type delivered struct {
	event
	events   int
	finished bool
	counted  bool
	text     []byte
}

// New returns a replay of an answer of which nothing was delivered.
func New() *Replay { return &Replay{} }

// Pass takes one or more whole events and returns what is to be delivered; the
// caller of Pass must deliver it. It fails with trace.CompareFailed where a
// rerun says something else than what was delivered.
func (r *Replay) Pass(events []byte) ([]byte, error) {
	if !r.rerun {
		r.keep(events)
		return events, nil
	}
	var out []byte
	for len(events) > 0 {
		one, rest, _ := bytes.Cut(events, eventEnd)
		events = rest
		passed, err := r.check(one)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		out = append(out, passed...)
	}
	r.keep(out)
	return out, nil
}

// Rewind prepares for the events of another run. It fails with
// trace.LimitExceeded or trace.NotImplemented where the delivered part is too
// long or holds more than text.
func (r *Replay) Rewind() error {
	if r.overlong {
		return trace.LimitExceeded("more than %d bytes were delivered", keptLimit)
	}
	before := delivered{}
	kept := r.kept
	for len(kept) > 0 {
		one, rest, _ := bytes.Cut(kept, eventEnd)
		kept = rest
		parsed, err := parse(one)
		if err != nil {
			return trace.Wrap(err)
		}
		before.add(parsed)
	}
	r.before = before
	r.pending = before.text
	r.rerun = true
	return nil
}

func (r *Replay) keep(events []byte) {
	if r.overlong {
		return
	}
	if len(r.kept)+len(events) > keptLimit {
		r.overlong = true
		r.kept = nil
		return
	}
	r.kept = append(r.kept, events...)
}

// check compares one event of a rerun and returns what is new in it.
func (r *Replay) check(raw []byte) ([]byte, error) {
	parsed, err := parse(raw)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	known := min(len(parsed.text), len(r.pending))
	if parsed.text[:known] != string(r.pending[:known]) {
		return nil, trace.CompareFailed("the second run differs after %d bytes", len(r.before.text)-len(r.pending))
	}
	r.pending = r.pending[known:]
	fresh := parsed.text[known:]
	if parsed.finished && len(r.pending) > 0 {
		return nil, trace.CompareFailed("the second run ended %d bytes early", len(r.pending))
	}
	if fresh != "" && r.before.finished {
		return nil, trace.CompareFailed("the second run is longer than the finished answer")
	}
	fresh, skip := r.fresh(parsed, fresh)
	if skip {
		return nil, nil
	}
	return parsed.render(fresh, r.before.event)
}

// fresh says whether an event holds nothing that the caller does not have.
func (r *Replay) fresh(parsed event, text string) (string, bool) {
	switch {
	case text != "":
		return text, false
	case parsed.finished:
		return "", r.before.finished
	case parsed.counted:
		return "", r.before.counted
	default:
		return "", r.before.events > 0
	}
}

func (d *delivered) add(e event) {
	if d.events == 0 {
		d.event = e
	}
	d.events++
	d.text = append(d.text, e.text...)
	d.finished = d.finished || e.finished
	d.counted = d.counted || e.counted
}

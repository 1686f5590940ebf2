package mtreplay

import (
	"bytes"
	"encoding/json"

	"github.com/gravitational/trace"
)

// Members of the published API's events that a replay reads or replaces.
const (
	keyID      = "id"
	keyCreated = "created"
	keyChoices = "choices"
	keyDelta   = "delta"
	keyText    = "text"
	keyContent = "content"
	keyRole    = "role"
	keyFinish  = "finish_reason"
	keyIndex   = "index"
	keyUsage   = "usage"
)

var (
	dataPrefix = []byte("data:")
	null       = []byte("null")
)

// object is one JSON object whose members stay as they came.
type object map[string]json.RawMessage

// event is one event of a streamed answer.
type event struct {
	whole    object
	choice   object
	delta    object
	text     string
	finished bool
	counted  bool
}

// parse reads one event. Events with more than one choice's text, a role, a
// finish reason and usage are refused: they can't be compared here.
func parse(raw []byte) (event, error) {
	data, ok := bytes.CutPrefix(raw, dataPrefix)
	if !ok {
		return event{}, trace.NotImplemented("the answer holds an event without data")
	}
	e := event{}
	if err := json.Unmarshal(data, &e.whole); err != nil {
		return event{}, trace.BadParameter("an event is not JSON: %v", err)
	}
	e.counted = has(e.whole[keyUsage])
	var choices []object
	if has(e.whole[keyChoices]) {
		if err := json.Unmarshal(e.whole[keyChoices], &choices); err != nil {
			return event{}, trace.BadParameter("an event's choices can't be read: %v", err)
		}
	}
	if len(choices) == 0 {
		return e, nil
	}
	if len(choices) > 1 {
		return event{}, trace.NotImplemented("an event holds %d choices", len(choices))
	}
	e.choice = choices[0]
	return e, e.read()
}

// read takes text and finish reason out of the choice.
func (e *event) read() error {
	for key, value := range e.choice {
		switch key {
		case keyIndex, keyDelta, keyText:
		case keyFinish:
			e.finished = has(value)
		default:
			if has(value) {
				return trace.NotImplemented("an event holds %s", key)
			}
		}
	}
	source := e.choice[keyText]
	if has(e.choice[keyDelta]) {
		if err := json.Unmarshal(e.choice[keyDelta], &e.delta); err != nil {
			return trace.BadParameter("an event's delta can't be read: %v", err)
		}
		source = e.delta[keyContent]
	}
	for key, value := range e.delta {
		if key != keyContent && key != keyRole && has(value) {
			return trace.NotImplemented("an event holds %s", key)
		}
	}
	if !has(source) {
		return nil
	}
	return trace.Wrap(json.Unmarshal(source, &e.text))
}

// render writes the event with another text, under the first run's id.
func (e *event) render(text string, first event) ([]byte, error) {
	if e.choice != nil && text != e.text {
		encoded, err := json.Marshal(text)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if err := e.replace(encoded); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	for _, key := range []string{keyID, keyCreated} {
		if value, ok := first.whole[key]; ok {
			e.whole[key] = value
		}
	}
	encoded, err := json.Marshal(e.whole)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return append(append([]byte("data: "), encoded...), eventEnd...), nil
}

// replace puts a text into the choice.
func (e *event) replace(text json.RawMessage) error {
	if e.delta == nil {
		e.choice[keyText] = text
	} else {
		e.delta[keyContent] = text
		encoded, err := json.Marshal(e.delta)
		if err != nil {
			return trace.Wrap(err)
		}
		e.choice[keyDelta] = encoded
	}
	encoded, err := json.Marshal([]object{e.choice})
	if err != nil {
		return trace.Wrap(err)
	}
	e.whole[keyChoices] = encoded
	return nil
}

// has says that a member is there and not null.
func has(value json.RawMessage) bool {
	return len(value) > 0 && !bytes.Equal(bytes.TrimSpace(value), null)
}

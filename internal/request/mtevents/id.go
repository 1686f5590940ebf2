package mtevents

import "bytes"

// idField begins a line with an event's id.
var idField = []byte("id:")

// LastID returns the id that the last of some whole events with one bears, a part of them, or
// nil.
func LastID(events []byte) []byte {
	for {
		start := bytes.LastIndex(events, idField)
		if start < 0 {
			return nil
		}
		if start == 0 || ends(events[start-1]) {
			if id := value(events[start+len(idField):]); len(id) > 0 {
				return id
			}
		}
		events = events[:start]
	}
}

// value is what a line holds behind its field's name, without the spaces around it.
func value(line []byte) []byte {
	if end := bytes.IndexFunc(line, func(c rune) bool { return c == '\n' || c == '\r' }); end >= 0 {
		line = line[:end]
	}
	return bytes.Trim(line, " ")
}

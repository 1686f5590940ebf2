// Package mtsplit splits JSON by one level. encoding/json checks a text as a whole, and refuses it for
// one value that is nested too deeply; split first, only that value is lost.
package mtsplit

import (
	"bytes"
	"encoding/json"

	"github.com/gravitational/trace"
)

// Value is a JSON value as it was written. What it contains is not checked.
type Value []byte

// blanks may stand between the parts of a value (RFC 8259, 2).
const blanks = " \t\r\n"

// Elements returns the elements of an array, none of null. Any other value is a trace.BadParameter.
func (v Value) Elements() ([]Value, error) {
	if len(v) == 0 || string(bytes.Trim(v, blanks)) == "null" {
		return nil, nil
	}
	elements, err := v.split('[', ']')
	return elements, trace.Wrap(err)
}

// Members returns the members of an object; of several with a name the last one counts. Any other
// value is a trace.BadParameter.
func (v Value) Members() (map[string]Value, error) {
	parts, err := v.split('{', '}')
	if err != nil {
		return nil, trace.Wrap(err)
	}
	members := make(map[string]Value, len(parts))
	for _, part := range parts {
		end := stringEnd(part)
		var name string
		if end == 0 || json.Unmarshal(part[:end], &name) != nil {
			return nil, trace.BadParameter("a member has no name")
		}
		value, found := bytes.CutPrefix(bytes.TrimLeft(part[end:], blanks), []byte{':'})
		if !found {
			return nil, trace.BadParameter("the member %q has no value", name)
		}
		members[name] = bytes.Trim(value, blanks)
	}
	return members, nil
}

// split returns what stands between the brackets, apart from the commas outside all others.
func (v Value) split(opening, closing byte) ([]Value, error) {
	inner := bytes.Trim(v, blanks)
	if len(inner) < 2 || inner[0] != opening || inner[len(inner)-1] != closing {
		return nil, trace.BadParameter("the value is not between %c and %c", opening, closing)
	}
	inner = inner[1 : len(inner)-1]
	var parts []Value
	depth, begin := 0, 0
	for i := 0; i < len(inner); i++ {
		switch inner[i] {
		case '"':
			size := stringEnd(inner[i:])
			if size == 0 {
				return nil, trace.BadParameter("a string has no end")
			}
			i += size - 1
		case '[', '{':
			depth++
		case ']', '}':
			depth--
		case ',':
			if depth == 0 {
				parts = append(parts, bytes.Trim(inner[begin:i], blanks))
				begin = i + 1
			}
		}
		if depth < 0 {
			return nil, trace.BadParameter("a bracket has no beginning")
		}
	}
	if depth > 0 {
		return nil, trace.BadParameter("a bracket has no end")
	}
	last := bytes.Trim(inner[begin:], blanks)
	if len(last) == 0 && len(parts) == 0 {
		return nil, nil
	}
	return append(parts, last), nil
}

// stringEnd returns the size of the string with which a text begins, 0 if there is none.
func stringEnd(text []byte) int {
	if len(text) == 0 || text[0] != '"' {
		return 0
	}
	for i := 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return 0
}

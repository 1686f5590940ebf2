package mtengine

import (
	"math"

	"github.com/gravitational/trace"
)

// tokenIDs is the list of a prompt's token ids. It is read by hand: a cache
// event of a new prompt holds thousands, and reading them by reflection was a
// quarter of the processor time of the whole path (make overhead).
type tokenIDs []uint32

// UnmarshalJSON reads a list of whole numbers, or null.
func (t *tokenIDs) UnmarshalJSON(data []byte) error {
	if string(data) == "null" {
		return nil
	}
	if len(data) < 2 || data[0] != '[' || data[len(data)-1] != ']' {
		return trace.BadParameter("token ids are no list")
	}
	// An id and its comma take four to eleven characters.
	const perID = 5
	ids := make(tokenIDs, 0, len(data)/perID)
	var value uint64
	digits := false
	for _, c := range data[1:] {
		switch {
		case c >= '0' && c <= '9':
			value = value*10 + uint64(c-'0')
			digits = true
			if value > math.MaxUint32 {
				return trace.BadParameter("a token id is above 32 bits")
			}
		case c == ',' || c == ']':
			if digits {
				ids = append(ids, uint32(value))
			}
			value, digits = 0, false
		case c == ' ' || c == '\t' || c == '\n' || c == '\r':
		default:
			return trace.BadParameter("a token id is no whole number")
		}
	}
	*t = ids
	return nil
}

// Package mtcode numbers the results that callers and operators see.
//
// docs/CODES.md holds the same table; a test compares them.
package mtcode

import (
	"fmt"
	"net/http"
	"slices"
)

// Code is a numbered result. Its hundreds name the area that gives it:
// 1 the caller's request, 2 admission, 3 targets and streams, 4 requests that
// may not be repeated, 5 settings, 6 platform and orders.
type Code uint32

// row is what the table says of one code.
type row struct {
	name   string
	status int
	text   string
	next   string
}

// Name is the code's short name, as printed beside the number.
func (c Code) Name() string { return rowOf(c).name }

// Status is the HTTP status that a caller gets with the code.
func (c Code) Status() int { return rowOf(c).status }

// Text says what happened.
func (c Code) Text() string { return rowOf(c).text }

// Next says what to do about it.
func (c Code) Next() string { return rowOf(c).next }

// Known says whether the table has the code.
func (c Code) Known() bool {
	_, ok := table()[c]
	return ok
}

// String gives number and name.
func (c Code) String() string {
	return fmt.Sprintf("%d %s", uint32(c), c.Name())
}

// All lists the codes in the order of their numbers.
func All() []Code {
	rows := table()
	codes := make([]Code, 0, len(rows))
	for code := range rows {
		codes = append(codes, code)
	}
	slices.Sort(codes)
	return codes
}

func rowOf(c Code) row {
	if r, ok := table()[c]; ok {
		return r
	}
	return row{
		name:   "unlisted",
		status: http.StatusInternalServerError,
		text:   "a result that this version does not know",
		next:   "ask with a command line of the newest version",
	}
}

package mtfront

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Failure: an answer that comes as its question ends changes the list of the silent while
// the request's goroutine reads it, and the process dies.
func TestLateAnswerLeavesTheSilentAlone(t *testing.T) {
	g := NewWithT(t)
	var q questions
	number := q.begin(&question{open: map[string]bool{"a": true, "b": true}, done: make(chan struct{})})
	late := q.find(number, "a")
	silent := q.end(number)
	q.answered(late, "a")
	g.Expect(silent).To(Equal(map[string]bool{"a": true, "b": true}))
	g.Expect(q.find(number, "b")).To(BeNil())
}

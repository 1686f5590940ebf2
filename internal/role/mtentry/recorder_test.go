package mtentry_test

import (
	"net/http"
	"strings"
	"sync"
)

// recorder notes which runs have reached a target's program.
type recorder struct {
	program http.Handler

	mu    *sync.Mutex
	begun map[string]int
}

// newRecorders returns the record that several programs share.
func newRecorders() *recorder { return &recorder{mu: &sync.Mutex{}, begun: map[string]int{}} }

// of returns a program whose calls are recorded.
func (r *recorder) of(program http.Handler) http.Handler {
	return &recorder{program: program, mu: r.mu, begun: r.begun}
}

// times is how often a run has reached a program.
func (r *recorder) times(run string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.begun[run]
}

func (r *recorder) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	run := q.Header.Get("Mustardtide-Run")
	if id, ok := strings.CutPrefix(q.Header.Get("X-Request-Id"), "mt-"); ok {
		run, _, _ = strings.Cut(id, "-")
	}
	if run != "" {
		r.mu.Lock()
		r.begun[run]++
		r.mu.Unlock()
	}
	r.program.ServeHTTP(w, q)
}

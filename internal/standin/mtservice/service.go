// Package mtservice is a stand-in for a plain service whose calls may not be
// repeated: it counts how often each key ran.
package mtservice

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// HeaderSending is how tests name each sending of a key.
const HeaderSending = "X-Sending"

// Service is an http.Handler that answers every call after some time.
type Service struct {
	took time.Duration

	mu   sync.Mutex
	runs []*run
}

// run is one call that the service began.
type run struct {
	key     string
	sending string
	answer  string
	from    time.Time
	until   time.Time
}

// New returns a service whose calls take the given time.
func New(took time.Duration) *Service {
	return &Service{took: took}
}

// Runs gives how often each Idempotency-Key was run.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := map[string]int{}
	for _, r := range s.runs {
		runs[r.key]++
	}
	return runs
}

// Each calls visit with every call that the service began: its key, sending,
// answer, and when it began and ended; a call under way has no end.
func (s *Service) Each(visit func(key, sending, answer string, from, until time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.runs {
		visit(r.key, r.sending, r.answer, r.from, r.until)
	}
}

// ServeHTTP counts the call, waits and answers with what it was sent.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	began := s.begin(r, string(body))
	time.Sleep(s.took)
	s.mu.Lock()
	began.until = time.Now()
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, began.answer)
}

// begin counts the call.
func (s *Service) begin(r *http.Request, body string) *run {
	s.mu.Lock()
	defer s.mu.Unlock()
	began := &run{key: r.Header.Get("Idempotency-Key"), sending: r.Header.Get(HeaderSending), from: time.Now()}
	count := 1
	for _, before := range s.runs {
		if before.key == began.key {
			count++
		}
	}
	// A map of texts and numbers always encodes.
	encoded, _ := json.Marshal(map[string]any{"path": r.URL.Path, "key": began.key, "run": count, "sending": began.sending, "echo": body})
	began.answer = string(encoded) + "\n"
	s.runs = append(s.runs, began)
	return began
}

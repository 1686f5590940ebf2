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

// Service is an http.Handler that answers every call after some time.
type Service struct {
	took time.Duration

	mu   sync.Mutex
	runs map[string]int
}

// New returns a service whose calls take the given time.
func New(took time.Duration) *Service {
	return &Service{took: took, runs: map[string]int{}}
}

// Runs gives how often each Idempotency-Key was run.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for key, n := range s.runs {
		runs[key] = n
	}
	return runs
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
	key := r.Header.Get("Idempotency-Key")
	s.mu.Lock()
	s.runs[key]++
	count := s.runs[key]
	s.mu.Unlock()
	time.Sleep(s.took)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"path": r.URL.Path, "key": key, "run": count, "echo": string(body)})
}

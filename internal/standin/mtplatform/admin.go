package mtplatform

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/mustardtide/mustardtide/internal/standin/mtfault"
)

const adminPrefix = "/standin/"

// faultsBody is what PUT /standin/faults takes; a field left out is no fault.
type faultsBody struct {
	Down    bool    `json:"down"`
	Hang    bool    `json:"hang"`
	Slow    string  `json:"slow"`
	Lose    float64 `json:"lose"`
	Reads   int     `json:"reads"`
	Writes  int     `json:"writes"`
	Watches bool    `json:"watches"`
	Lag     string  `json:"lag"`
}

// countsBody is what GET /standin/counts answers.
type countsBody struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	Limited uint64 `json:"limited"`
	Lost    uint64 `json:"lost"`
}

// Faults are the failures that this store shows.
func (s *Server) Faults() *mtfault.Faults { return s.faults }

// Lag delays every later change of the list of instances.
func (s *Server) Lag(by time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = by
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var body faultsBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		fail(w, http.StatusBadRequest, "BadRequest", err.Error())
		return
	}
	slow, err := duration(body.Slow)
	if err != nil {
		fail(w, http.StatusBadRequest, "BadRequest", err.Error())
		return
	}
	lag, err := duration(body.Lag)
	if err != nil {
		fail(w, http.StatusBadRequest, "BadRequest", err.Error())
		return
	}
	s.Lag(lag)
	s.faults.Slow(slow)
	s.faults.Lose(body.Lose)
	s.faults.Limit(body.Reads, body.Writes)
	s.faults.BreakWatches(body.Watches)
	s.faults.Hang(body.Hang)
	s.faults.Down(body.Down)
	answer(w, status{Kind: "Status", Status: "Success"})
}

func (s *Server) counts(w http.ResponseWriter, _ *http.Request) {
	answer(w, countsBody{
		Reads:   s.faults.Reads(),
		Writes:  s.faults.Writes(),
		Watches: s.faults.Watches(),
		Limited: s.faults.Limited(),
		Lost:    s.faults.Lost(),
	})
}

func duration(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	return time.ParseDuration(text)
}

func isAdmin(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, adminPrefix) }

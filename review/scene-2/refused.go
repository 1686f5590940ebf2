package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// Figures of the case "refused": when one server begins to fail, for how long, and which share of its
// requests. They are the largest of the site file.
const (
	greyFrom  = 2 * time.Second
	greyFor   = 6500 * time.Millisecond
	greyShare = 0.45
)

// post sends one unsafe request and returns the status of its answer, 0 for none.
func (s *stage) post(p *process, id string) int {
	response, body, err := send(p.front, "POST", "post.example", "/post/1", map[string]string{
		"Mustardtide-Attempt-Id": id, "Mustardtide-Deadline-Ms": "1500", "Authorization": "Bearer key-sese",
	}, "slip", 2*time.Second)
	if err != nil {
		s.note("answer %s: %v", id, err)
		return 0
	}
	s.note("answer %s: %d, %d bytes, seal %q, not-run %q", id, response.StatusCode, len(body), response.Header.Get("Mustardtide-Response-Seal"), response.Header.Get("Mustardtide-Not-Run"))
	return response.StatusCode
}

// refused lets one of three servers fail the requests that it has run, with a 503 that does not say
// that the request has not run.
func refused(s *stage, trouble bool) string {
	s.store.put("config", "main", catalog(7, tenant("sese", "key-sese", false)))
	var servers []*engine
	for i := 1; i <= 3; i++ {
		servers = append(servers, s.addEngine(fmt.Sprintf("i-app%d", i), "app", "", fmt.Sprintf("%s.%d", s.net, 20+i), 6))
	}
	entry := s.addProcess("front-1", "entry", s.net+".1", "", 284)
	s.awaitReady(entry, 15*time.Second)
	time.Sleep(3500 * time.Millisecond)
	broken := ""
	for begun, i := time.Now(), 0; time.Since(begun) < 12*time.Second; i++ {
		since := time.Since(begun)
		servers[0].fail(trouble && since > greyFrom && since < greyFrom+greyFor)
		id := fmt.Sprintf("slip-%d", i)
		status := s.post(entry, id)
		if (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) && s.runsOf(id) > 0 {
			// The client takes the refusal's word and sends its slip again.
			again := id + "-again"
			s.post(entry, again)
			if broken == "" {
				broken = fmt.Sprintf("REFUSED: unsafe request %s was answered %d and has run; sent again as %s, which ran %d times", id, status, again, s.runsOf(again))
			}
		}
		time.Sleep(30 * time.Millisecond)
	}
	return broken
}

// fail lets a share of the requests fail from now on after they have run, or none.
func (e *engine) fail(some bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.status, e.unmarked = 0, false
	if some && rand.Float64() < greyShare {
		e.status, e.unmarked = http.StatusServiceUnavailable, true
	}
}

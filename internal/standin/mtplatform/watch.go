package mtplatform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
)

// watch sends every change under prefix after the asked version, as lines.
func (s *Server) watch(w http.ResponseWriter, r *http.Request, prefix string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("resourceVersion"), 10, 64)
	group := groupOf(r)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	encoder := json.NewEncoder(w)
	broken := s.faults.Watching()
	_ = control.Flush()
	for {
		if !s.faults.Gate(r.Context()) {
			return
		}
		changes, wake, gone := s.since(after)
		if gone {
			_ = encoder.Encode(map[string]any{"type": "ERROR", "object": status{Kind: "Status", Status: "Failure", Reason: "Expired", Code: http.StatusGone}})
			return
		}
		for _, c := range changes {
			after = c.version
			if !strings.HasPrefix(c.object.path, prefix) || !c.object.inGroup(group) {
				continue
			}
			if err := encoder.Encode(map[string]any{"type": c.kind, "object": c.object}); err != nil {
				return
			}
		}
		_ = control.Flush()
		select {
		case <-wake:
		case <-broken:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the changes after a version, a channel that closes at the next
// one, and whether the version is older than the history kept.
func (s *Server) since(after uint64) ([]change, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.changes) > 0 && after+1 < s.changes[0].version {
		return nil, nil, true
	}
	var found []change
	for _, c := range s.changes {
		if c.version > after {
			found = append(found, c)
		}
	}
	return found, s.wake, false
}

package mtfault

import (
	"bytes"
	"io"
	"net/http"
	"time"
)

// meter counts the calls of one kind and bounds them in each second.
type meter struct {
	limit   int
	total   uint64
	refused uint64
	second  time.Time
	used    int
}

// verdict is what happens to one call.
type verdict int

const (
	pass verdict = iota
	unavailable
	limited
)

// Serve passes a call on to the handler, under the faults in force.
func (f *Faults) Serve(w http.ResponseWriter, r *http.Request, handler http.Handler) {
	// The server notices that its client is gone only once the body is read.
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	outcome, delay := f.enter(r)
	if !f.Gate(r.Context()) {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(delay)
	switch outcome {
	case unavailable:
		http.Error(w, `{"kind":"Status","reason":"ServiceUnavailable"}`, http.StatusServiceUnavailable)
	case limited:
		w.Header().Set("Retry-After", "1")
		http.Error(w, `{"kind":"Status","reason":"TooManyRequests"}`, http.StatusTooManyRequests)
	case pass:
		f.take(w, r, handler)
	}
}

// take lets the call take effect; a lost answer breaks its connection.
func (f *Faults) take(w http.ResponseWriter, r *http.Request, handler http.Handler) {
	if r.Method == http.MethodGet || !f.loses() {
		handler.ServeHTTP(w, r)
		return
	}
	handler.ServeHTTP(&discard{header: http.Header{}}, r)
	panic(http.ErrAbortHandler)
}

func (f *Faults) loses() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lose == 0 || f.random.Float64() >= f.lose {
		return false
	}
	f.lost++
	return true
}

// enter counts a call and decides on it.
func (f *Faults) enter(r *http.Request) (verdict, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	watch := r.URL.Query().Get("watch") == "true"
	m := &f.writes
	if r.Method == http.MethodGet {
		m = &f.reads
	}
	if watch {
		f.opened++
	} else {
		m.total++
	}
	switch {
	case f.down || (watch && f.broken):
		return unavailable, 0
	case !m.admit():
		return limited, 0
	default:
		return pass, f.slow
	}
}

// admit counts a call against the second's bound.
func (m *meter) admit() bool {
	now := time.Now()
	if now.Sub(m.second) >= time.Second {
		m.second = now
		m.used = 0
	}
	if m.limit > 0 && m.used >= m.limit {
		m.refused++
		return false
	}
	m.used++
	return true
}

// discard is a ResponseWriter whose answer nobody gets.
type discard struct{ header http.Header }

// Header is not sent.
func (d *discard) Header() http.Header { return d.header }

// Write drops the bytes.
func (d *discard) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader drops the status.
func (d *discard) WriteHeader(int) {}

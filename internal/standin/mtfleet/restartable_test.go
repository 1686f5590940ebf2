package mtfleet_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/mustardtide/mustardtide/internal/standin/mtengine"
)

// cacheFault is what happens to cache events: some of ten are dropped, some
// repeated, and all come late.
type cacheFault struct {
	drop   int
	repeat int
	late   time.Duration
}

// restartable is an engine that can be restarted behind its address, and that
// keeps the truth about what it ever cached.
type restartable struct {
	mu      sync.Mutex
	current *mtengine.Engine
	stored  map[string]bool
	last    string
	fault   cacheFault
	events  int
}

func newRestartable() *restartable {
	r := &restartable{}
	r.restart()
	return r
}

// restart starts a new engine with an empty cache, small enough to evict.
func (r *restartable) restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.current = mtengine.New(4, 20000, time.Millisecond, 110)
	r.stored = map[string]bool{}
}

func (r *restartable) setFault(fault cacheFault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = fault
}

func (r *restartable) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.mu.Lock()
	engine := r.current
	r.mu.Unlock()
	switch request.URL.Path {
	case "/kv_events":
		w = &faultyEvents{ResponseWriter: w, engine: r}
	case "/v1/completions":
		r.note(request)
	}
	engine.ServeHTTP(w, request)
}

// note keeps a prompt as one that this incarnation may have cached.
func (r *restartable) note(request *http.Request) {
	body, _ := io.ReadAll(request.Body)
	request.Body = io.NopCloser(bytes.NewReader(body))
	var ask struct {
		Prompt string `json:"prompt"`
		Salt   string `json:"cache_salt"`
	}
	if json.Unmarshal(body, &ask) != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last = ask.Salt
	for end := 64; end <= len(ask.Prompt); end += 64 {
		r.stored[ask.Salt+"\x00"+ask.Prompt[:end]] = true
	}
}

// ever counts the leading tokens of a prompt that this incarnation was asked
// to compute under a salt.
func (r *restartable) ever(salt, prompt string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	end := 0
	for end+64 <= len(prompt) && r.stored[salt+"\x00"+prompt[:end+64]] {
		end += 64
	}
	return end / 4
}

// cached counts the leading tokens of a prompt that the cache holds now.
func (r *restartable) cached(salt, prompt string) int {
	r.mu.Lock()
	engine := r.current
	r.mu.Unlock()
	return engine.Cached(salt, []byte(prompt))
}

// foreign gives the last request's salt if it is not of a weights version.
func (r *restartable) foreign(version string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.last == "" || strings.Contains(r.last, "\x00"+version+"\x00") {
		return nil
	}
	return []string{r.last}
}

// faultyEvents passes an engine's events on with the fault in force.
type faultyEvents struct {
	http.ResponseWriter
	engine *restartable
}

// Unwrap lets the engine flush.
func (f *faultyEvents) Unwrap() http.ResponseWriter { return f.ResponseWriter }

// Write takes one event.
func (f *faultyEvents) Write(event []byte) (int, error) {
	f.engine.mu.Lock()
	fault := f.engine.fault
	f.engine.events++
	number := f.engine.events
	f.engine.mu.Unlock()
	time.Sleep(fault.late)
	if number%10 < 3*fault.drop {
		return len(event), nil
	}
	if fault.repeat > 0 && number%3 == 0 {
		if n, err := f.ResponseWriter.Write(event); err != nil {
			return n, err
		}
	}
	return f.ResponseWriter.Write(event)
}

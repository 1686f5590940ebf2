// Package mtengine is a stand-in for a model engine, for tests and the demo.
//
// It speaks the published completions API with server-sent events, batches up
// to a number of slots, takes prefill and decode time, caches prompt prefixes
// in limited memory and publishes cache events. A token is four bytes of text.
package mtengine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mustardtide/mustardtide/internal/standin/mtblocks"
)

// Sizes of the stand-in's tokens and cache blocks.
const (
	tokenBytes  = 4
	blockTokens = 16
	blockBytes  = tokenBytes * blockTokens
)

// Engine is an http.Handler that starts with an empty cache.
type Engine struct {
	slots   chan struct{}
	prefill float64
	decode  time.Duration

	prefilling chan struct{} // a mutex held in a sleep would stop a paused clock
	mu         sync.Mutex
	cache      *mtblocks.Cache
	events     events
	orders     orders

	running  atomic.Int64
	waiting  atomic.Int64
	begun    atomic.Int64
	computed atomic.Int64
	crashes  atomic.Int64
	marker   atomic.Pointer[string]
	life     atomic.Pointer[life]
	blocks   int
	mux      *http.ServeMux
}

// New returns an engine with a batch of slots, a prefill rate in tokens a
// second, a time between tokens and a cache of so many blocks.
func New(slots int, prefill float64, decode time.Duration, blocks int) *Engine {
	e := &Engine{
		slots:      make(chan struct{}, slots),
		prefill:    prefill,
		decode:     decode,
		prefilling: make(chan struct{}, 1),
		cache:      mtblocks.New(blocks),
		blocks:     blocks,
		mux:        http.NewServeMux(),
	}
	e.life.Store(newLife(time.Now()))
	e.events.wake = make(chan struct{})
	e.mux.HandleFunc("POST /v1/completions", e.complete)
	e.mux.HandleFunc("POST /v1/chat/completions", e.complete)
	e.mux.HandleFunc("GET /kv_events", e.follow)
	e.mux.HandleFunc("GET /metrics", e.metrics)
	e.mux.HandleFunc("POST /order", e.takeOrder)
	e.mux.HandleFunc("GET /order", e.showOrders)
	e.mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	return e
}

// Begun counts the requests that this engine began to run.
func (e *Engine) Begun() int64 { return e.begun.Load() }

// Computed counts the prompt tokens that were not in the cache.
func (e *Engine) Computed() int64 { return e.computed.Load() }

// Cached is the leading tokens of a prompt that the cache holds under a salt.
func (e *Engine) Cached(salt string, prompt []byte) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.Peek(hashes(salt, prompt)) * blockTokens
}

func (e *Engine) metrics(w http.ResponseWriter, _ *http.Request) {
	fmt.Fprintf(w, "process_start_time_seconds %.9f\n", float64(e.life.Load().start.UnixNano())/float64(time.Second))
	fmt.Fprintf(w, "vllm:num_requests_running %d\n", e.running.Load())
	fmt.Fprintf(w, "vllm:num_requests_waiting %d\n", e.waiting.Load())
}

// complete runs one request.
func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var ask request
	if err := json.NewDecoder(r.Body).Decode(&ask); err != nil {
		http.Error(w, `{"error":{"message":"bad request"}}`, http.StatusBadRequest)
		return
	}
	if !e.enter(r) {
		return
	}
	defer e.leave()
	e.begun.Add(1)
	prompt := ask.text()
	cached, err := e.fill(r, ask.CacheSalt, prompt)
	if err != nil {
		return
	}
	if e.poisoned(prompt) {
		e.Crash()
		return
	}
	a := answer{engine: e, ask: &ask, id: r.Header.Get("X-Request-Id"), prompt: len(prompt) / tokenBytes, cached: cached}
	if ask.Stream {
		a.stream(w, r)
		return
	}
	a.whole(w, r)
}

// enter waits for a batch slot.
func (e *Engine) enter(r *http.Request) bool {
	e.waiting.Add(1)
	defer e.waiting.Add(-1)
	select {
	case e.slots <- struct{}{}:
		e.running.Add(1)
		return true
	case <-r.Context().Done():
		return false
	}
}

func (e *Engine) leave() {
	e.running.Add(-1)
	<-e.slots
}

// fill computes what of the prompt is not cached and returns the cached tokens.
func (e *Engine) fill(r *http.Request, salt string, prompt []byte) (int, error) {
	blocks := hashes(salt, prompt)
	select {
	case e.prefilling <- struct{}{}:
	case <-r.Context().Done():
		return 0, r.Context().Err()
	}
	defer func() { <-e.prefilling }()
	e.mu.Lock()
	matched := e.cache.Match(blocks)
	e.mu.Unlock()
	cached := matched * blockTokens
	missing := len(prompt)/tokenBytes - cached
	e.computed.Add(int64(missing))
	if err := sleep(r, time.Duration(float64(missing)/e.prefill*float64(time.Second))); err != nil {
		return 0, err
	}
	e.mu.Lock()
	_, evicted := e.cache.Store(blocks)
	e.events.stored(salt, prompt, blocks, matched)
	e.events.removed(evicted)
	e.mu.Unlock()
	return cached, nil
}

func sleep(r *http.Request, d time.Duration) error {
	if d <= 0 {
		return r.Context().Err()
	}
	select {
	case <-time.After(d):
		return nil
	case <-r.Context().Done():
		return r.Context().Err()
	}
}

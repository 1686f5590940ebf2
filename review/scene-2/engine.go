package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// use says whose cached part a request ran on.
type use struct {
	request, tenant, part, salt, maker string
	version                            int64
}

// run is one request that an engine began to work on.
type run struct{ id, tenant, engine, path string }

// cached is a part that an engine holds.
type cached struct {
	maker   string
	version int64
	tokens  int
}

// engine is a stand-in of a model engine, or of a plain service where model is empty.
type engine struct {
	id, service, address, zone, model string
	slots                             int
	stage                             *stage

	mu      sync.Mutex
	version int64
	orders  int64
	kept    map[string]map[string]cached
	events  []any
	epoch   int
	running int
	work    time.Duration
	// status is the engine's own failure, 0 for none; unmarked says that it comes after the request has
	// run, and without the mark of one that has not.
	status   int
	unmarked bool
	// stop ends the running program; generation counts the programs before it.
	stop       func()
	generation int
}

// serve listens at the engine's address.
func (e *engine) serve() {
	listener := listen(e.address)
	e.address = listener.Addr().String()
	e.mu.Lock()
	if e.version == 0 {
		e.version = 1
	}
	e.kept, e.events, e.orders, e.epoch = map[string]map[string]cached{}, nil, 0, e.epoch+1
	e.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("/api/report", e.report)
	mux.HandleFunc("/api/order", e.order)
	mux.HandleFunc("/api/kv-events", e.kvEvents)
	mux.HandleFunc("/api/kv-list", e.kvEvents)
	mux.HandleFunc("/health", e.health)
	mux.HandleFunc("/", e.request)
	conns := &connections{open: map[net.Conn]bool{}}
	server := &http.Server{Handler: mux, MaxHeaderBytes: 1 << 20, ConnState: conns.track}
	e.stop = func() {
		listener.Close()
		conns.reset()
	}
	go func() { _ = server.Serve(listener) }()
}

// connections are those of one program.
type connections struct {
	mu   sync.Mutex
	open map[net.Conn]bool
}

func (c *connections) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.open, conn)
		return
	}
	c.open[conn] = true
}

// reset ends all connections as a crash does.
func (c *connections) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		conn.Close()
	}
}

// entry is the engine's own entry in the store.
func (e *engine) entry(state string) map[string]any {
	entry := map[string]any{"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots, "state": state, "cold_remaining_ms": 0, "sequence": 1}
	if e.model != "" {
		e.mu.Lock()
		entry["stage"], entry["models"] = "both", []any{map[string]any{"name": e.model, "version": e.version, "adapters": []any{}}}
		e.mu.Unlock()
	}
	return entry
}

func (e *engine) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{
		"stage": "both", "models": []any{map[string]any{"name": e.model, "version": e.version, "adapters": []any{}}}, "busy": false,
		"sequence": e.orders, "waiting": 0, "running": e.running, "kv_used": 1000, "kv_total": 140000, "handles": 0, "state": "ready", "runs": []any{},
	})
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Version int64  `json:"version"`
		Holder  string `json:"holder"`
		Fence   int64  `json:"fence"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	e.stage.note("order at %s: holder %s, fence %d, version %d", e.id, body.Holder, body.Fence, body.Version)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders++
	if e.version != body.Version {
		e.version, e.kept = body.Version, map[string]map[string]cached{}
	}
	w.WriteHeader(http.StatusAccepted)
}

func (e *engine) kvEvents(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
	for end := time.Now().Add(time.Duration(wait) * time.Millisecond); ; time.Sleep(10 * time.Millisecond) {
		e.mu.Lock()
		since = min(max(0, since), len(e.events))
		found := append([]any{}, e.events[since:]...)
		next, epoch := len(e.events), e.epoch
		e.mu.Unlock()
		if len(found) > 0 || time.Now().After(end) {
			answer(w, http.StatusOK, map[string]any{"boot_epoch": epoch, "next": next, "lost": false, "events": found})
			return
		}
	}
}

func (e *engine) health(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Mustardtide-Instance-Id", e.id)
	w.WriteHeader(http.StatusOK)
}

func (e *engine) head(w http.ResponseWriter, id string) {
	w.Header().Set("Mustardtide-Attempt-Id", id)
	w.Header().Set("Mustardtide-Instance-Id", e.id)
	w.Header().Set("Mustardtide-Instance-Load", fmt.Sprintf("%d,0,%d", e.running, e.slots))
}

// request runs a caller's request.
func (e *engine) request(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Mustardtide-Attempt-Id")
	expect := r.Header.Get("Mustardtide-Expect-Instance")
	version, _ := strconv.ParseInt(r.Header.Get("Mustardtide-Expect-Version"), 10, 64)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.mu.Lock()
	if expect != "" && expect != e.id || version > 0 && version != e.version {
		e.head(w, id)
		e.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.running++
	work, status, unmarked := e.work, e.status, e.unmarked
	e.head(w, id)
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	if status == http.StatusServiceUnavailable && !unmarked {
		w.Header().Set("Mustardtide-Not-Run", "1")
		w.WriteHeader(status)
		return
	}
	tenant := r.Header.Get("Mustardtide-Tenant")
	e.stage.ran(run{id: id, tenant: tenant, engine: e.id, path: r.URL.Path})
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Mustardtide-Response-Seal", fmt.Sprintf("%s.%d", id, len(body)))
	if e.model == "" || r.Header.Get("Mustardtide-Prompt-Prefix") == "" {
		if status != 0 {
			w.WriteHeader(status)
		}
		_, _ = io.WriteString(w, strings.Repeat("x", 800))
		return
	}
	e.prefill(r, id, tenant)
	if prompt := r.Header.Get("Mustardtide-Prompt-Prefix"); e.stage.deadly != nil && strings.Contains(prompt, deadlyPart) {
		e.stage.deadly.crash(id, prompt)
		e.crash()
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Mustardtide-Weight-Versions", strconv.FormatInt(e.version, 10))
	for i := 1; i <= 5; i++ {
		fmt.Fprintf(w, "id: %d\ndata: token\n\n", i)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(2 * time.Millisecond)
	}
}

// prefill reads the prompt: parts that are cached under the request's salt, with all before them, are
// used, also those of another engine that the request names; the others are made.
func (e *engine) prefill(r *http.Request, id, tenant string) {
	salt := r.Header.Get("Mustardtide-Cache-Salt")
	other := e.stage.engineAt(r.Header.Get("Mustardtide-Kv-Fetch"))
	whole := true
	for _, entry := range strings.Split(r.Header.Get("Mustardtide-Prompt-Prefix"), ",") {
		part, tokens, _ := strings.Cut(strings.TrimSpace(entry), ":")
		count, _ := strconv.Atoi(tokens)
		held, ok := e.holds(salt, part)
		if !ok && other != nil {
			held, ok = other.holds(salt, part)
		}
		whole = whole && ok
		if whole {
			e.stage.used(use{request: id, tenant: tenant, part: part, salt: salt, maker: held.maker, version: held.version})
			e.keep(salt, part, held)
			continue
		}
		e.keep(salt, part, cached{maker: tenant, version: e.version, tokens: count})
	}
}

func (e *engine) holds(salt, part string) (cached, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	held, ok := e.kept[salt][part]
	return held, ok
}

func (e *engine) keep(salt, part string, c cached) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.kept[salt][part]; ok {
		return
	}
	if e.kept[salt] == nil {
		e.kept[salt] = map[string]cached{}
	}
	e.kept[salt][part] = c
	e.events = append(e.events, []any{len(e.events) + 1, "+", salt, part, c.tokens, e.model})
}

// send sends one request on a connection of its own and returns the answer's status, body and error.
func send(address, method, host, path string, headers map[string]string, body string, timeout time.Duration) (*http.Response, string, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(timeout))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n", method, path, host, len(body))
	for name, value := range headers {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	b.WriteString("\r\n" + body)
	if _, err := io.WriteString(conn, b.String()); err != nil {
		return nil, "", err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return nil, "", err
	}
	text, err := io.ReadAll(response.Body)
	return response, string(text), err
}

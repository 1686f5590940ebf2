//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/mustardtide/mustardtide/platform/standin/mtstore"
)

// loadTime is how long an engine takes to load new weights.
const loadTime = 550 * time.Millisecond

// plainWork is the time that a plain service takes for a request.
const plainWork = 30 * time.Millisecond

// engine is a sound engine: it checks the id that a request expects, echoes the request's id and
// signs its answers. Without a model it is a plain service.
type engine struct {
	fleet   *fleet
	id      string
	service string
	model   string
	address string
	born    int64
	server  *server
	batch   *batch
	// deadly begins the paths of requests that crash the engine, "" for none; down is how long it is
	// away then. crashes are when it did, by path.
	deadly  string
	down    time.Duration
	crashes map[string][]time.Time
	crashed time.Time

	mu      sync.Mutex
	running int
	runs    []run
	// versions are the weights by model, in the order of names. An order keeps the engine busy.
	names    []string
	versions map[string]int64
	busy     bool
	sequence int64
	orders   []order
}

// order is one that the engine got.
type order struct {
	holder  string
	model   string
	version int64
	fence   int64
	status  int
	at      time.Time
}

// run is a request that the engine began to work on.
type run struct {
	id, path, expected string
	at                 time.Time
}

// newEngine starts an engine at an address. It serves at once; list writes its entry.
func (f *fleet) newEngine(id, service, model, address string) (*engine, error) {
	e := &engine{fleet: f, id: id, service: service, model: model, address: address, born: time.Now().UnixMilli(), batch: newBatch(), versions: map[string]int64{}, crashes: map[string][]time.Time{}}
	if model != "" {
		e.names = strings.Split(model, ",")
		for _, name := range e.names {
			e.versions[name] = 1
		}
	}
	var err error
	e.server, err = f.serve(address, e)
	f.record.say("engine %s of service %s starts at %s", id, service, address)
	return e, err
}

// list writes the engine's entry into the platform's store.
func (e *engine) list(state string) {
	e.mu.Lock()
	models, err := json.Marshal(e.models())
	sequence := e.sequence
	e.mu.Unlock()
	if err != nil {
		panic(err)
	}
	revision := e.fleet.store.Put(mtstore.Targets, e.id, fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":"north","version":"v1","slots":16,"state":%q,"cold_remaining_ms":0,"born":%d,"stage":"both","models":%s,"sequence":%d}`,
		e.service, e.address, state, e.born, models, sequence))
	e.fleet.record.say("entry of engine %s (%s, %s) is %s, revision %d", e.id, e.service, e.address, state, revision)
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.model != "" {
		switch r.URL.Path {
		case "/api/report":
			e.report(w)
			return
		case "/api/kv-events":
			wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
			select {
			case <-time.After(time.Duration(wait) * time.Millisecond):
			case <-r.Context().Done():
			}
			fmt.Fprintf(w, `{"boot_epoch":%d,"next":0,"lost":false,"events":[]}`, e.born)
			return
		case "/api/order":
			e.order(w, r)
			return
		}
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	e.request(w, r)
}

// orderBody is an order as it comes.
type orderBody struct {
	Op       string `json:"op"`
	Model    string `json:"model"`
	Version  int64  `json:"version"`
	Holder   string `json:"holder"`
	Fence    int64  `json:"fence"`
	Expected *int64 `json:"expected"`
}

// models is what the engine says of its weights; it is locked.
func (e *engine) models() []any {
	list := []any{}
	for _, name := range e.names {
		list = append(list, map[string]any{"name": name, "version": e.versions[name], "adapters": []any{}})
	}
	return list
}

// order carries out an order for new weights, as the pages say.
func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o orderBody
	err := json.NewDecoder(r.Body).Decode(&o)
	w.WriteHeader(e.carryOut(r.Header, o, err, w.Header()))
}

// carryOut carries out an order and returns the status of its answer.
func (e *engine) carryOut(head http.Header, o orderBody, err error, answer http.Header) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	status := http.StatusAccepted
	expected := head.Get("Mustardtide-Expect-Instance")
	switch {
	case expected != "" && expected != e.id:
		answer.Set("Mustardtide-Instance-Id", e.id)
		status = http.StatusMisdirectedRequest
	case err != nil || o.Op != "version" || o.Holder == "" || o.Fence == 0 || e.versions[o.Model] == 0:
		status = http.StatusBadRequest
	case e.fleet.fencing && o.Fence < e.highest():
		status = http.StatusPreconditionFailed
	case e.busy || o.Expected != nil && *o.Expected != e.sequence:
		status = http.StatusConflict
	case e.versions[o.Model] == o.Version:
		status = http.StatusOK
	}
	e.orders = append(e.orders, order{holder: o.Holder, model: o.Model, version: o.Version, fence: o.Fence, status: status, at: time.Now()})
	e.fleet.record.say("engine %s: order of holder %s: %s version %d, fence %d: %d", e.id, o.Holder, o.Model, o.Version, o.Fence, status)
	if status == http.StatusAccepted {
		e.busy = true
		e.sequence++
		time.AfterFunc(loadTime, func() {
			e.mu.Lock()
			e.busy, e.versions[o.Model] = false, o.Version
			e.mu.Unlock()
			e.list("ready")
		})
	}
	return status
}

// highest is the highest fencing number of the orders that were not refused; the engine is locked.
func (e *engine) highest() int64 {
	var highest int64
	for _, o := range e.orders {
		if o.status == http.StatusAccepted || o.status == http.StatusOK {
			highest = max(highest, o.fence)
		}
	}
	return highest
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "both", "models": e.models(),
		"busy": e.busy, "sequence": e.sequence, "waiting": e.batch.waiting(), "running": e.running, "kv_used": 0, "kv_total": 70000, "handles": 0, "born": e.born,
	})
}

func (e *engine) request(w http.ResponseWriter, r *http.Request) {
	id, expected := r.Header.Get("Mustardtide-Attempt-Id"), r.Header.Get("Mustardtide-Expect-Instance")
	if expected != "" && expected != e.id {
		e.fleet.record.say("engine %s (%s): request %s %s expects %s: 421, not run", e.id, e.service, id, r.RequestURI, expected)
		w.Header().Set("Mustardtide-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	if e.model != "" {
		version := strconv.FormatInt(e.versions[r.Header.Get("Mustardtide-Model")], 10)
		w.Header().Set("Mustardtide-Weight-Versions", version)
		wanted := r.Header.Get("Mustardtide-Expect-Version")
		switch {
		case e.busy:
			w.Header().Set("Mustardtide-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			e.mu.Unlock()
			return
		case wanted != "" && wanted != version:
			e.fleet.record.say("engine %s: request %s for %s expects version %s, has %s: 421, not run", e.id, id, r.Header.Get("Mustardtide-Model"), wanted, version)
			w.WriteHeader(http.StatusMisdirectedRequest)
			e.mu.Unlock()
			return
		}
	}
	e.running++
	e.runs = append(e.runs, run{id: id, path: r.RequestURI, expected: expected, at: time.Now()})
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	e.fleet.record.say("engine %s (%s): runs request %s %s, expected instance %q", e.id, e.service, id, r.RequestURI, expected)
	w.Header().Set("Mustardtide-Attempt-Id", id)
	w.Header().Set("Mustardtide-Response-Seal", "seal-"+e.id+"-"+id)
	if e.model == "" {
		time.Sleep(plainWork)
		_, _ = io.WriteString(w, "answer of "+e.id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	_, output, _ := strings.Cut(r.Header.Get("Mustardtide-Token-Count"), ",")
	count, _ := strconv.Atoi(output)
	dies := e.deadly != "" && strings.HasPrefix(r.RequestURI, e.deadly)
	tokens := e.batch.add(r.Context(), r.Header.Get("Mustardtide-Prompt-Prefix"), count)
	for i := 1; i <= count; i++ {
		select {
		case <-tokens:
		case <-r.Context().Done():
			e.fleet.record.say("engine %s (%s): request %s is cut off after %d of %d tokens", e.id, e.service, id, i-1, count)
			return
		}
		if dies {
			e.crash(id, r.RequestURI)
			// The answer must not end in order before the connection is gone.
			<-r.Context().Done()
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token %d of %s\n\n", i, i, e.id); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

// crash ends the program as it begins to write an answer, and starts it again after a time.
func (e *engine) crash(id, path string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Since(e.crashed) < e.down {
		return
	}
	e.crashed = time.Now()
	e.crashes[path] = append(e.crashes[path], e.crashed)
	e.fleet.record.say("engine %s crashes under request %s", e.id, id)
	go func() {
		e.server.crash()
		time.Sleep(e.down)
		e.mu.Lock()
		e.born, e.batch, e.sequence = time.Now().UnixMilli(), newBatch(), 0
		e.mu.Unlock()
		var err error
		if e.server, err = e.fleet.serve(e.address, e); err != nil {
			panic(err)
		}
		e.list("ready")
		e.fleet.record.say("engine %s is back", e.id)
	}()
}

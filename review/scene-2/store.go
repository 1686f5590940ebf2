package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageSize is the number of items in one answer to a list.
const pageSize = 500

// object is one object of the platform's store.
type object struct {
	name              string
	revision, created int64
	spec              json.RawMessage
	status            json.RawMessage
}

// event is one change of a kind of objects.
type event struct {
	revision int64
	frame    json.RawMessage
	deleted  bool
}

// store is a stand-in of the platform's metadata store. Each process of the system reaches it at an
// address of its own, so that it can turn single machines away.
type store struct {
	mu       sync.Mutex
	revision int64
	kinds    map[string]map[string]*object
	events   map[string][]event
	changed  chan struct{}
	doors    map[string]*door
}

// door is the address at which one process reaches the store.
type door struct {
	address string
	mu      sync.Mutex
	// turned is how calls are turned away: "" for not at all, "busy" for 503, "silent" for no answer.
	turned string
}

func newStore() *store {
	return &store{revision: 100, kinds: map[string]map[string]*object{}, events: map[string][]event{}, changed: make(chan struct{}), doors: map[string]*door{}}
}

// open listens at an address for one process.
func (s *store) open(name, address string) *door {
	listener := listen(address)
	d := &door{address: listener.Addr().String()}
	s.doors[name] = d
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(d, w, r) })}
	go func() { _ = server.Serve(listener) }()
	return d
}

func (d *door) turn(how string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.turned = how
}

func (d *door) state() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.turned
}

func (o *object) frame() json.RawMessage {
	text, _ := json.Marshal(map[string]any{
		"metadata": map[string]any{"name": o.name, "revision": o.revision, "created": o.created, "finalizers": []string{}, "deleting": false},
		"spec":     o.spec, "status": o.status,
	})
	return text
}

// put writes an object whatever its revision, as the operator and the servers do, and returns the
// new revision.
func (s *store) put(kind, name string, spec any) int64 {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(kind, name, text)
}

func (s *store) write(kind, name string, spec json.RawMessage) int64 {
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]*object{}
	}
	s.revision++
	o := s.kinds[kind][name]
	if o == nil {
		o = &object{name: name, created: s.revision}
		s.kinds[kind][name] = o
	}
	o.spec, o.revision = spec, s.revision
	s.tell(kind, event{revision: s.revision, frame: o.frame()})
	return s.revision
}

// remove deletes an object.
func (s *store) remove(kind, name string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	if o == nil {
		return 0
	}
	s.revision++
	delete(s.kinds[kind], name)
	o.revision = s.revision
	s.tell(kind, event{revision: s.revision, frame: o.frame(), deleted: true})
	return s.revision
}

func (s *store) tell(kind string, e event) {
	s.events[kind] = append(s.events[kind], e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serve(d *door, w http.ResponseWriter, r *http.Request) {
	switch d.state() {
	case "busy":
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	case "silent":
		<-r.Context().Done()
		return
	}
	path := strings.Split(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	kind, name := path[0], ""
	if len(path) > 1 {
		name = path[1]
	}
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && name == "" && query.Has("watch"):
		s.watch(d, w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind, query.Get("after"))
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.change(w, r, kind, name, len(path) > 2)
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
		answer(w, http.StatusOK, map[string]any{})
	default:
		http.Error(w, "no such call", http.StatusBadRequest)
	}
}

func answer(w http.ResponseWriter, status int, value any) {
	text, _ := json.Marshal(value)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	var names []string
	for name := range s.kinds[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > pageSize
	names = names[:min(len(names), pageSize)]
	items := []json.RawMessage{}
	for _, name := range names {
		items = append(items, s.kinds[kind][name].frame())
	}
	revision := s.revision
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"items": items, "more": more, "store_revision": revision})
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o := s.kinds[kind][name]
	var frame json.RawMessage
	if o != nil {
		frame = o.frame()
	}
	s.mu.Unlock()
	if o == nil {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	answer(w, http.StatusOK, frame)
}

func (s *store) watch(d *door, w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		s.mu.Lock()
		var found []map[string]any
		for _, e := range s.events[kind] {
			if e.revision > after {
				found = append(found, map[string]any{"object": e.frame, "deleted": e.deleted})
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if d.state() == "silent" {
			<-r.Context().Done()
			return
		}
		if len(found) > 0 || over {
			if found == nil {
				found = []map[string]any{}
			}
			answer(w, http.StatusOK, map[string]any{"events": found, "store_revision": revision})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-timer.C:
			over = true
		case <-changed:
		}
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string, status bool) {
	var body struct {
		Metadata struct {
			Name     string `json:"name"`
			Revision int64  `json:"revision"`
		} `json:"metadata"`
		Spec   json.RawMessage `json:"spec"`
		Status json.RawMessage `json:"status"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, "bad body", http.StatusBadRequest)
		return
	}
	if name == "" {
		name = body.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	switch {
	case r.Method == http.MethodPost && o != nil, o != nil && body.Metadata.Revision != 0 && body.Metadata.Revision != o.revision:
		answer(w, http.StatusConflict, o.frame())
		return
	case r.Method == http.MethodPut && o == nil:
		answer(w, http.StatusNotFound, map[string]any{})
		return
	case status:
		o.status = body.Status
	}
	s.write(kind, name, body.Spec)
	answer(w, http.StatusOK, s.kinds[kind][name].frame())
}

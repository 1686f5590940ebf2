// Package mtplatform is a stand-in for the platform's object API and its list
// of instances, for tests and the demo. It keeps everything in memory.
package mtplatform

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/standin/mtfault"
)

// history bounds the changes kept for watches; older versions get 410 Gone.
const history = 4096

// change is one step of the store's single order.
type change struct {
	version uint64
	kind    string
	object  object
}

// Server is an http.Handler. Its zero value is not for use.
type Server struct {
	mu      sync.Mutex
	version uint64
	objects map[string]object
	members map[string]*mustardtidev1.Member
	orders  map[string]uint64
	changed uint64
	lag     time.Duration
	changes []change
	wake    chan struct{}
	mux     *http.ServeMux
	faults  *mtfault.Faults
}

// New returns an empty store without faults.
func New() *Server { return Seeded(1) }

// Seeded returns an empty store; seed decides which answers a fault loses.
func Seeded(seed uint64) *Server {
	s := &Server{
		objects: map[string]object{},
		members: map[string]*mustardtidev1.Member{},
		orders:  map[string]uint64{},
		faults:  mtfault.New(seed),
		wake:    make(chan struct{}),
		mux:     http.NewServeMux(),
	}
	s.routes()
	return s
}

// ServeHTTP answers one call of the object API.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if isAdmin(r) {
		s.mux.ServeHTTP(w, r)
		return
	}
	s.faults.Serve(w, r, s.mux)
}

func (s *Server) routes() {
	const records = "/apis/mustardtide.dev/v1/namespaces/{namespace}/records"
	s.mux.HandleFunc("GET "+records, s.list)
	s.mux.HandleFunc("POST "+records, s.create)
	s.mux.HandleFunc("GET "+records+"/{name}", s.get)
	s.mux.HandleFunc("PUT "+records+"/{name}", s.update)
	s.mux.HandleFunc("DELETE "+records+"/{name}", s.remove)
	s.mux.HandleFunc("GET /apis/discovery.k8s.io/v1/namespaces/{namespace}/endpointslices", s.slices)
	s.mux.HandleFunc("PUT /standin/members/{name}", s.putMember)
	s.mux.HandleFunc("DELETE /standin/members/{name}", s.dropMember)
	s.mux.HandleFunc("PUT /standin/faults", s.putFaults)
	s.mux.HandleFunc("GET /standin/counts", s.counts)
}

// apply stores a new value under the next version. The lock is held.
func (s *Server) apply(kind string, o object) object {
	s.version++
	o.Metadata.ResourceVersion = strconv.FormatUint(s.version, 10)
	s.changes = append(s.changes, change{version: s.version, kind: kind, object: o})
	if len(s.changes) > history {
		s.changes = s.changes[len(s.changes)-history:]
	}
	close(s.wake)
	s.wake = make(chan struct{})
	return o
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	o, ok := s.objects[key(r, r.PathValue("name"))]
	s.mu.Unlock()
	if !ok {
		fail(w, http.StatusNotFound, "NotFound", r.PathValue("name"))
		return
	}
	answer(w, o)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("watch") == "true" {
		s.watch(w, r, recordPrefix(r))
		return
	}
	group := groupOf(r)
	s.mu.Lock()
	items := []object{}
	for name, o := range s.objects {
		if strings.HasPrefix(name, recordPrefix(r)) && o.inGroup(group) {
			items = append(items, o)
		}
	}
	version := strconv.FormatUint(s.version, 10)
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	answer(w, list{Metadata: metadata{ResourceVersion: version}, Items: items})
}

func (s *Server) create(w http.ResponseWriter, r *http.Request) {
	o, ok := decode(w, r)
	if !ok {
		return
	}
	name := key(r, o.Metadata.Name)
	s.mu.Lock()
	_, exists := s.objects[name]
	if !exists {
		o = s.apply("ADDED", o.under(name))
		s.objects[name] = o
	}
	s.mu.Unlock()
	if exists {
		fail(w, http.StatusConflict, "AlreadyExists", o.Metadata.Name)
		return
	}
	w.WriteHeader(http.StatusCreated)
	answer(w, o)
}

func (s *Server) update(w http.ResponseWriter, r *http.Request) {
	o, ok := decode(w, r)
	if !ok {
		return
	}
	name := key(r, r.PathValue("name"))
	s.mu.Lock()
	old, exists := s.objects[name]
	fits := exists && old.Metadata.ResourceVersion == o.Metadata.ResourceVersion
	if fits {
		o = s.apply("MODIFIED", o.under(name))
		s.objects[name] = o
	}
	s.mu.Unlock()
	switch {
	case !exists:
		fail(w, http.StatusNotFound, "NotFound", r.PathValue("name"))
	case !fits:
		fail(w, http.StatusConflict, "Conflict", "the object has been modified")
	default:
		answer(w, o)
	}
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Preconditions metadata `json:"preconditions"`
	}
	// A delete without a body has no precondition.
	_ = json.NewDecoder(r.Body).Decode(&body)
	name := key(r, r.PathValue("name"))
	want := body.Preconditions.ResourceVersion
	s.mu.Lock()
	old, exists := s.objects[name]
	fits := exists && (want == "" || old.Metadata.ResourceVersion == want)
	if fits {
		delete(s.objects, name)
		s.apply("DELETED", old)
	}
	s.mu.Unlock()
	switch {
	case !exists:
		fail(w, http.StatusNotFound, "NotFound", r.PathValue("name"))
	case !fits:
		fail(w, http.StatusConflict, "Conflict", "the object has been modified")
	default:
		answer(w, status{Kind: "Status", Status: "Success"})
	}
}

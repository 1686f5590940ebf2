package mtplatform

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
)

const slicePrefix = "slices/"

// PutMember lists an instance or changes its entry, after the list's lag.
func (s *Server) PutMember(m *mustardtidev1.Member) {
	s.later(m.GetName(), func() {
		s.members[m.GetName()] = m
		s.apply("MODIFIED", sliceOf(m))
	})
}

// DropMember takes an instance off the list, after the list's lag.
func (s *Server) DropMember(name string) {
	s.later(name, func() {
		m, ok := s.members[name]
		if !ok {
			return
		}
		delete(s.members, name)
		s.apply("DELETED", sliceOf(m))
	})
}

// later makes a change of the list after its lag, unless a newer change of the
// same instance was made already, as after the lag was shortened.
func (s *Server) later(name string, change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changed++
	order := s.changed
	if s.lag == 0 {
		s.orders[name] = order
		change()
		return
	}
	time.AfterFunc(s.lag, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.orders[name] < order {
			s.orders[name] = order
			change()
		}
	})
}

func (s *Server) slices(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("watch") == "true" {
		s.watch(w, r, slicePrefix)
		return
	}
	s.mu.Lock()
	items := make([]object, 0, len(s.members))
	for _, m := range s.members {
		items = append(items, sliceOf(m))
	}
	version := strconv.FormatUint(s.version, 10)
	s.mu.Unlock()
	answer(w, list{Metadata: metadata{ResourceVersion: version}, Items: items})
}

func (s *Server) putMember(w http.ResponseWriter, r *http.Request) {
	var raw json.RawMessage
	if err := json.NewDecoder(r.Body).Decode(&raw); err != nil {
		fail(w, http.StatusBadRequest, "BadRequest", err.Error())
		return
	}
	m := &mustardtidev1.Member{}
	if err := protojson.Unmarshal(raw, m); err != nil {
		fail(w, http.StatusBadRequest, "BadRequest", err.Error())
		return
	}
	m.Name = r.PathValue("name")
	s.PutMember(m)
	answer(w, status{Kind: "Status", Status: "Success"})
}

func (s *Server) dropMember(w http.ResponseWriter, r *http.Request) {
	s.DropMember(r.PathValue("name"))
	answer(w, status{Kind: "Status", Status: "Success"})
}

// sliceOf gives each instance an EndpointSlice of its own.
func sliceOf(m *mustardtidev1.Member) object {
	host, portText, err := net.SplitHostPort(m.GetAddress())
	if err != nil {
		host, portText = m.GetAddress(), "0"
	}
	endpoints, _ := json.Marshal([]map[string]any{{
		"addresses":  []string{host},
		"conditions": map[string]bool{"ready": !m.GetLeaving(), "terminating": m.GetLeaving()},
		"targetRef":  map[string]string{"name": m.GetName()},
		"zone":       m.GetDatacentre(),
	}})
	return object{
		APIVersion: "discovery.k8s.io/v1",
		Kind:       "EndpointSlice",
		Metadata: metadata{
			Name:   strings.ToLower(m.GetName()),
			Labels: map[string]string{"mustardtide.dev/role": m.GetRole(), "mustardtide.dev/service": m.GetService()},
		},
		Endpoints: endpoints,
		Ports:     json.RawMessage(fmt.Sprintf(`[{"port":%s}]`, portText)),
		path:      slicePrefix + m.GetName(),
	}
}

package mtplatform

import (
	"encoding/json"
	"net/http"
	"strings"
)

// maxBody is the largest request in bytes: a megabyte's value in base64.
const maxBody = 3 << 19

// object is the JSON form of everything that the store keeps.
type object struct {
	APIVersion string          `json:"apiVersion"`
	Kind       string          `json:"kind"`
	Metadata   metadata        `json:"metadata"`
	Spec       json.RawMessage `json:"spec,omitempty"`
	Endpoints  json.RawMessage `json:"endpoints,omitempty"`
	Ports      json.RawMessage `json:"ports,omitempty"`

	path string
}

type metadata struct {
	Name            string            `json:"name,omitempty"`
	ResourceVersion string            `json:"resourceVersion,omitempty"`
	Labels          map[string]string `json:"labels,omitempty"`
}

type list struct {
	Metadata metadata `json:"metadata"`
	Items    []object `json:"items"`
}

type status struct {
	Kind    string `json:"kind"`
	Status  string `json:"status"`
	Reason  string `json:"reason,omitempty"`
	Message string `json:"message,omitempty"`
	Code    int    `json:"code,omitempty"`
}

func (o object) under(path string) object {
	o.path = path
	return o
}

func (o object) inGroup(group string) bool {
	return group == "" || o.Metadata.Labels["group"] == group
}

func recordPrefix(r *http.Request) string {
	return "records/" + r.PathValue("namespace") + "/"
}

func key(r *http.Request, name string) string {
	return recordPrefix(r) + name
}

// groupOf reads the one label selector that the store knows.
func groupOf(r *http.Request) string {
	return strings.TrimPrefix(r.URL.Query().Get("labelSelector"), "group=")
}

func decode(w http.ResponseWriter, r *http.Request) (object, bool) {
	var o object
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&o); err != nil {
		fail(w, http.StatusBadRequest, "BadRequest", err.Error())
		return o, false
	}
	return o, true
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func fail(w http.ResponseWriter, code int, reason, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(status{Kind: "Status", Status: "Failure", Reason: reason, Message: message, Code: code})
}

package mtplatform

import (
	"encoding/json"
	"net/http"

	"github.com/gravitational/trace"
)

// Reasons of the API's Status objects.
const (
	reasonExists   = "AlreadyExists"
	reasonConflict = "Conflict"
)

// status is the API's error form.
type status struct {
	Reason  string `json:"reason"`
	Message string `json:"message"`
}

// failure turns an error answer into a typed error. A 5xx answer is a
// connection problem: a write may have taken effect behind it.
func failure(response *http.Response) error {
	var s status
	// A broken body leaves the reason empty; the HTTP status still decides.
	_ = json.NewDecoder(response.Body).Decode(&s)
	switch response.StatusCode {
	case http.StatusNotFound:
		return trace.NotFound("%s", s.Message)
	case http.StatusConflict:
		if s.Reason == reasonExists {
			return trace.AlreadyExists("%s", s.Message)
		}
		return trace.CompareFailed("%s", s.Message)
	case http.StatusGone:
		return trace.CompareFailed("%s", s.Message)
	case http.StatusTooManyRequests:
		return trace.LimitExceeded("%s", s.Message)
	case http.StatusBadRequest, http.StatusUnprocessableEntity, http.StatusRequestEntityTooLarge:
		return trace.BadParameter("%s", s.Message)
	default:
		return trace.ConnectionProblem(nil, "the object API answered %d %s", response.StatusCode, s.Message)
	}
}

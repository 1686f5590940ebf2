package mtentry

import (
	"net/http"
)

// Paths that the balancer asks for.
const (
	healthPath = "/healthz"
	readyPath  = "/readyz"
)

// routes is what callers and the balancer can ask for. It is no ServeMux: that
// would answer a plain service's path such as //x with a redirect.
func (e *Entry) routes() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case healthPath:
		case readyPath:
			e.readyz(w, r)
		default:
			e.serve(w, r)
		}
	})
}

func (e *Entry) readyz(w http.ResponseWriter, _ *http.Request) {
	if !e.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

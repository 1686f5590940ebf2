package mtentry

import (
	"net/http"
)

// routes is what callers and the balancer can ask for.
func (e *Entry) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/readyz", e.readyz)
	mux.HandleFunc("/", e.serve)
	return mux
}

func (e *Entry) readyz(w http.ResponseWriter, _ *http.Request) {
	if !e.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

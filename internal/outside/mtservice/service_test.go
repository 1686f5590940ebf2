package mtservice_test

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/outside/mtservice"
	"github.com/mustardtide/mustardtide/internal/standin/mtwire"
)

// Story: a service reads a consent over a kept connection, acts on it and
// dies before it answers. net/http takes the broken connection for one that
// was closed while idle and, since the request carries an Idempotency-Key,
// would send it again by itself: the parent would be reminded twice.
func TestNoSecondSendOverAKeptConnection(t *testing.T) {
	for _, body := range []string{"yes", ""} {
		t.Run("body "+body, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				wire := mtwire.New()
				listener, err := wire.Listen("10.0.0.1:80")
				g.Expect(err).NotTo(HaveOccurred())
				var calls atomic.Int64
				server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.ReadAll(r.Body)
					if calls.Add(1) > 1 {
						panic(http.ErrAbortHandler)
					}
				})}
				done := make(chan error, 1)
				go func() { done <- server.Serve(listener) }()
				transport := wire.Net().Outside()
				service := mtservice.New("http://10.0.0.1:80", transport)
				call := &mustardtidev1.Call{
					Method:  http.MethodPost,
					Path:    "/slips",
					Body:    []byte(body),
					Headers: []*mustardtidev1.Header{{Name: "Idempotency-Key", Value: "slip-1"}},
				}
				emit := func(*mustardtidev1.Frame) error { return nil }
				_, err = service.Run(t.Context(), &mustardtidev1.Work{}, call, emit)
				g.Expect(err).NotTo(HaveOccurred())
				_, err = service.Run(t.Context(), &mustardtidev1.Work{}, call, emit)
				g.Expect(err).To(HaveOccurred())
				g.Expect(calls.Load()).To(BeEquivalentTo(2), "one call for each Run")
				transport.CloseIdleConnections()
				g.Expect(server.Close()).To(Succeed())
				<-done
			})
		})
	}
}

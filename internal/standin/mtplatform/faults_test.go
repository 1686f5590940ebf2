package mtplatform_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gravitational/trace"
	. "github.com/onsi/gomega"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	platformclient "github.com/mustardtide/mustardtide/internal/outside/mtplatform"
	"github.com/mustardtide/mustardtide/internal/outside/mtrecord"
	"github.com/mustardtide/mustardtide/internal/relay/mttransport"
	"github.com/mustardtide/mustardtide/internal/standin/mtplatform"
	"github.com/mustardtide/mustardtide/internal/standin/mtwire"
)

const address = "10.0.0.1:80"

// withPlatform runs a test against a store on a network in memory.
func withPlatform(t *testing.T, test func(ctx context.Context, g Gomega, store *mtplatform.Server, client *platformclient.Client, transport *mttransport.Transport)) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		wire := mtwire.New()
		listener, err := wire.Listen(address)
		g.Expect(err).NotTo(HaveOccurred())
		store := mtplatform.New()
		server := &http.Server{Handler: store}
		done := make(chan error, 1)
		go func() { done <- server.Serve(listener) }()
		transport := wire.Net().Outside()
		test(t.Context(), g, store, platformclient.New("http://"+address, "default", transport), transport)
		transport.CloseIdleConnections()
		g.Expect(server.Close()).To(Succeed())
		<-done
	})
}

// Story: the platform fails in each way that the brief names. A client must be
// able to tell a refused call from one whose effect it can't know.
func TestFaults(t *testing.T) {
	withPlatform(t, func(ctx context.Context, g Gomega, store *mtplatform.Server, client *platformclient.Client, _ *mttransport.Transport) {
		faults := store.Faults()
		_, err := client.Create(ctx, "claims.0.1", []byte("first"))
		g.Expect(err).NotTo(HaveOccurred())

		faults.Lose(1)
		_, err = client.Create(ctx, "claims.0.2", []byte("second"))
		g.Expect(trace.IsConnectionProblem(err)).To(BeTrue(), "%v", err)
		faults.Lose(0)
		record, err := client.Get(ctx, "claims.0.2")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(record.Data()).To(BeEquivalentTo("second"))
		g.Expect(faults.Lost()).To(BeEquivalentTo(1))

		faults.Down(true)
		_, err = client.Get(ctx, "claims.0.1")
		g.Expect(trace.IsConnectionProblem(err)).To(BeTrue(), "%v", err)
		faults.Down(false)

		faults.Hang(true)
		short, cancel := context.WithTimeout(ctx, time.Second)
		_, err = client.Get(short, "claims.0.1")
		cancel()
		g.Expect(trace.IsConnectionProblem(err)).To(BeTrue(), "%v", err)
		faults.Hang(false)

		faults.Slow(3 * time.Second)
		short, cancel = context.WithTimeout(ctx, time.Second)
		_, err = client.Create(short, "claims.0.3", []byte("late"))
		cancel()
		g.Expect(trace.IsConnectionProblem(err)).To(BeTrue(), "%v", err)
		faults.Slow(0)
		time.Sleep(5 * time.Second)
		_, err = client.Get(ctx, "claims.0.3")
		g.Expect(err).NotTo(HaveOccurred(), "a slow write takes effect after its client gave up")

		faults.Limit(0, 1)
		_, _ = client.Create(ctx, "claims.0.4", nil)
		_, err = client.Create(ctx, "claims.0.5", nil)
		g.Expect(trace.IsLimitExceeded(err)).To(BeTrue(), "%v", err)
		g.Expect(faults.Limited()).To(BeEquivalentTo(1))
		g.Expect(faults.Writes()).To(BeEquivalentTo(5))
		g.Expect(faults.Reads()).To(BeEquivalentTo(4))
	})
}

// Story: a watch breaks, and the list of instances lags by ten seconds.
func TestWatchAndLag(t *testing.T) {
	withPlatform(t, func(ctx context.Context, g Gomega, store *mtplatform.Server, client *platformclient.Client, transport *mttransport.Transport) {
		end := make(chan error, 1)
		go func() { end <- client.Watch(ctx, "claims.0", "0", func(mtrecord.Record) {}) }()
		synctest.Wait()
		store.Faults().BreakWatches(true)
		g.Expect(trace.IsConnectionProblem(<-end)).To(BeTrue())
		g.Expect(store.Faults().Watches()).To(BeEquivalentTo(1))

		body := strings.NewReader(`{"lag":"10s"}`)
		request, err := http.NewRequest(http.MethodPut, "http://"+address+"/standin/faults", body)
		g.Expect(err).NotTo(HaveOccurred())
		response, err := (&http.Client{Transport: transport}).Do(request)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.Body.Close()).To(Succeed())
		store.PutMember(&mustardtidev1.Member{Name: "trip-0", Role: "sidecar", Address: "10.0.0.2:80"})
		time.Sleep(9 * time.Second)
		members, _, err := client.Instances(ctx)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(members).To(BeEmpty())
		time.Sleep(2 * time.Second)
		members, _, err = client.Instances(ctx)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(members).To(HaveLen(1))
	})
}

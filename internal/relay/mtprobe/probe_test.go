package mtprobe_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/relay/mtprobe"
	"github.com/mustardtide/mustardtide/internal/standin/mtwire"
	"github.com/mustardtide/mustardtide/platform/standin/mtform"
)

const (
	address = "10.0.0.1:8080"
	// reportTime bounds the call for a report.
	reportTime = 250 * time.Millisecond
)

// Failure: an engine answers the call for its report with bytes without end, quickly or a few at
// a time, and its sidecar reads them into memory, or waits for their end.
func TestReportsWithoutEnd(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, c := range map[string]struct {
		first, piece string
		pause        time.Duration
		most         int
	}{
		"head":          {ok, "X-Filler: " + strings.Repeat("a", 200) + "\r\n", 0, 64 << 10},
		"slow head":     {ok, "X-Filler: a\r\n", 10 * time.Millisecond, 64 << 10},
		"interim":       {"", "HTTP/1.1 100 Continue\r\n\r\n", 0, 64 << 10},
		"body":          {ok + "\r\n", strings.Repeat(" ", 1000), 0, 1 << 20},
		"slow body":     {ok + "\r\n", " ", 10 * time.Millisecond, 1 << 20},
		"no chunk size": {ok + "Transfer-Encoding: chunked\r\n\r\n", "no number\r\n", 0, 64 << 10},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				wire := mtwire.New()
				listener, err := wire.Listen(address)
				g.Expect(err).NotTo(HaveOccurred())
				outcome, stop := mtform.ServeEndless(listener, c.first, c.piece, c.pause, 4<<20)
				begun := time.Now()
				_, err = mtprobe.New(address, wire.Net().Dial).Report(context.Background())
				g.Expect(err).To(HaveOccurred())
				g.Expect(time.Since(begun)).To(BeNumerically("<=", reportTime))
				synctest.Wait()
				taken, reset := outcome()
				g.Expect(taken).To(BeNumerically("<=", c.most+32<<10))
				g.Expect(reset).To(BeTrue())
				stop()
			})
		})
	}
}

// Failure: what is no response, or ends within its head, counts as an engine's report or names its id.
func TestInvalidReports(t *testing.T) {
	const report = "Mustardtide-Instance-Id: i-1\r\nContent-Length: 2\r\n\r\n{}"
	for name, text := range map[string]string{
		"000":                    "HTTP/1.1 000 Broken\r\n" + report,
		"101, a response behind": "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\nHTTP/1.1 200 OK\r\n" + report,
		"600":                    "HTTP/1.1 600 Odd\r\n" + report,
		"a blank in a name":      "HTTP/1.1 200 OK\r\nX Odd: 1\r\n" + report,
		"a head that ends early": "HTTP/1.1 200 OK\r\nMustardtide-Instance-Id: i-1\r\n",
		"a short body":           "HTTP/1.1 200 OK\r\nMustardtide-Instance-Id: i-1\r\nContent-Length: 3\r\n\r\n{}",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				wire := mtwire.New()
				listener, err := wire.Listen(address)
				g.Expect(err).NotTo(HaveOccurred())
				server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					// The reader may have gone.
					_ = mtform.Send(w, text)
				})}
				served := make(chan error, 1)
				go func() { served <- server.Serve(listener) }()
				probe := mtprobe.New(address, wire.Net().Dial)
				_, err = probe.Report(context.Background())
				g.Expect(err).To(HaveOccurred())
				id, err := probe.ID(context.Background(), "/health")
				g.Expect(err).To(HaveOccurred())
				g.Expect(id).To(BeEmpty())
				g.Expect(server.Close()).To(Succeed())
				<-served
			})
		})
	}
}

package mtprobe_test

import (
	"context"
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

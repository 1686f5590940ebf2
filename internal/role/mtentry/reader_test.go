package mtentry_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	"github.com/mustardtide/mustardtide/internal/standin/mtfleet"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
)

// longAnswer is eight times what a sidecar keeps of one.
const longAnswer = 8 << 20

// pouring is a program that pours out a long answer and notes how much of it
// was taken and when its caller was gone.
type pouring struct {
	taken int
	gone  chan time.Time
}

func (p *pouring) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		return
	}
	piece := bytes.Repeat([]byte("0123456789abcdef"), 1024)
	for p.taken < longAnswer {
		if _, err := w.Write(piece); err != nil {
			break
		}
		p.taken += len(piece)
	}
	<-r.Context().Done()
	p.gone <- time.Now()
}

// pour starts a fleet with a pouring program and opens its answer.
func pour(ctx context.Context, t *testing.T, g *WithT) (*mtfleet.Fleet, *pouring, *pathCaller, *http.Response) {
	fleet := newPathFleet(t, g)
	program := &pouring{gone: make(chan time.Time, 1)}
	g.Expect(fleet.AddTarget("form-0", "form", "imanta", program)).To(Succeed())
	g.Expect(fleet.AddEntry("entry-0", "imanta")).To(Succeed())
	time.Sleep(5 * time.Second)
	c := newCaller(fleet)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fleet.Entry("entry-0")+"/v1/services/form/ledger", strings.NewReader("x"))
	g.Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer schools-key")
	response, err := c.transport.RoundTrip(request)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.StatusCode).To(Equal(http.StatusOK))
	return fleet, program, c, response
}

func closePour(fleet *mtfleet.Fleet, c *pathCaller) {
	c.close()
	_ = fleet.Close()
	time.Sleep(pingsEnd)
}

// A retailer's ledger is longer than what a sidecar keeps of an answer. The
// entry must say what it has, or the answer would stop at the bound.
func TestLongAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		fleet, program, c, response := pour(ctx, t, g)
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, longAnswer))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(n).To(BeEquivalentTo(longAnswer))
		cancel()
		<-program.gone
		closePour(fleet, c)
	})
}

// A clerk's machine stops reading in the middle of a long answer, for good. The
// entry and the sidecar must hold a bounded part of it, cut the caller with
// code 307 and end the call at its program.
func TestSlowReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fleet, program, c, response := pour(context.Background(), t, g)
		_, err := io.ReadFull(response.Body, make([]byte, 1000))
		g.Expect(err).NotTo(HaveOccurred())
		begun := time.Now()
		gone := <-program.gone
		g.Expect(gone.Sub(begun)).To(BeNumerically("<", 20*time.Second))
		g.Expect(program.taken).To(BeNumerically("<", longAnswer/2), "more of the answer is held than its bounds allow")
		time.Sleep(time.Second)
		events, _ := fleet.Log("entry-0").Events(&mustardtidev1.EventsRequest{})
		var told []string
		for _, e := range events {
			if mtkind.Kind(e.GetCode()) == mtkind.RequestBroken {
				told = append(told, e.GetText())
			}
		}
		g.Expect(told).To(ConsistOf(HavePrefix("307 slow-reader")))
		_, err = io.Copy(io.Discard, response.Body)
		g.Expect(err).To(HaveOccurred(), "a cut answer must not look whole")
		closePour(fleet, c)
	})
}

// A parent closes the page while an answer comes. The program must be told at
// once, not at the request's deadline a minute later.
func TestCallerGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		fleet, program, c, _ := pour(ctx, t, g)
		begun := time.Now()
		cancel()
		g.Expect((<-program.gone).Sub(begun)).To(BeNumerically("<", time.Second))
		closePour(fleet, c)
	})
}

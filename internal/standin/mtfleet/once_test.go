package mtfleet_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/standin/mtfleet"
	"github.com/mustardtide/mustardtide/internal/standin/mtservice"
)

const onceBase = `
datacentres: [imanta]
accounts:
  - name: schools
    hashes: [c2b2c8d9d0bbecf03be7238fcd16281cf54e084a4bcdd02cd5fd0a7fd1dd6b3c]
services:
  - name: consent
    kind: plain
    once: true
    deadline: 10s
    keep: 24h
`

// reply is what a caller got: err where it got no whole answer.
type reply struct {
	status int
	code   string
	ran    string
	body   string
	err    error
}

// post sends one consent with a key through an entry.
func post(client *http.Client, entry, key, body string) reply {
	request, err := http.NewRequest(http.MethodPost, entry+"/v1/services/consent/slips", strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	request.Header.Set("Authorization", "Bearer schools-key")
	request.Header.Set("Idempotency-Key", key)
	response, err := client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return reply{
		status: response.StatusCode,
		code:   response.Header.Get("Mustardtide-Code"),
		ran:    response.Header.Get("Mustardtide-Ran"),
		body:   string(text),
		err:    err,
	}
}

// Story: a parent's consent is sent, sent again while it runs, again after it
// ended through another entry, once with another body, and once while the
// platform is down. It must run once, and each answer must say what happened.
func TestOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fleet, err := mtfleet.New()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(fleet.Submit(onceBase)).To(Succeed())
		services := map[string]*mtservice.Service{}
		for _, name := range []string{"consent-0", "consent-1", "consent-2"} {
			services[name] = mtservice.New(300 * time.Millisecond)
			g.Expect(fleet.AddTarget(name, "consent", "imanta", services[name])).To(Succeed())
		}
		g.Expect(fleet.AddEntry("entry-0", "imanta")).To(Succeed())
		g.Expect(fleet.AddEntry("entry-1", "imanta")).To(Succeed())
		time.Sleep(5 * time.Second)
		transport := fleet.Wire().Transport()
		client := &http.Client{Transport: transport}
		entries := []string{fleet.Entry("entry-0"), fleet.Entry("entry-1")}

		replies := make(chan reply, 4)
		for i := range 4 {
			go func() { replies <- post(client, entries[i%2], "slip-1", "yes") }()
			time.Sleep(50 * time.Millisecond)
		}
		var first string
		for range 4 {
			got := <-replies
			g.Expect(got.status).To(Equal(http.StatusOK), got.body)
			if first == "" {
				first = got.body
			}
			g.Expect(got.body).To(Equal(first))
		}
		again := post(client, entries[1], "slip-1", "yes")
		g.Expect(again.body).To(Equal(first))
		other := post(client, entries[0], "slip-1", "no")
		g.Expect(other.code).To(Equal("402"), other.body)

		fleet.Platform().Faults().Down(true)
		asked := time.Now()
		down := post(client, entries[0], "slip-2", "yes")
		g.Expect(down.code).To(Equal("404"), down.body)
		g.Expect(down.ran).To(Equal("no"))
		g.Expect(time.Since(asked)).To(BeNumerically("<", time.Second))
		known := post(client, entries[0], "slip-1", "yes")
		g.Expect(known.body).To(Equal(first), "a kept answer needs no platform")
		fleet.Platform().Faults().Down(false)
		time.Sleep(3 * time.Second)
		g.Expect(post(client, entries[0], "slip-2", "yes").status).To(Equal(http.StatusOK))

		counts := map[string]int{}
		for _, service := range services {
			for key, n := range service.Runs() {
				counts[key] += n
			}
		}
		g.Expect(counts).To(Equal(map[string]int{"slip-1": 1, "slip-2": 1}))
		transport.CloseIdleConnections()
		g.Expect(fleet.Close()).To(Succeed())
	})
}

// Story: a target's instance is replaced while consents wait for their claims,
// which take long because the platform is slow. A consent that was handed back
// then would leave its claim with the leaving sidecar, and its caller and every
// resend would be told that its outcome is unknown.
func TestStopWithinAClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fleet, err := mtfleet.New()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(fleet.Submit(onceBase)).To(Succeed())
		for _, name := range []string{"consent-0", "consent-1", "consent-2"} {
			g.Expect(fleet.AddTarget(name, "consent", "imanta", mtservice.New(100*time.Millisecond))).To(Succeed())
		}
		g.Expect(fleet.AddEntry("entry-0", "imanta")).To(Succeed())
		time.Sleep(5 * time.Second)
		transport := fleet.Wire().Transport()
		client := &http.Client{Transport: transport}
		entry := fleet.Entry("entry-0")
		for i := range 32 {
			g.Expect(post(client, entry, fmt.Sprintf("before-%d", i), "yes").status).To(Equal(http.StatusOK))
		}
		fleet.Platform().Faults().Slow(300 * time.Millisecond)
		replies := make(chan reply, 24)
		for i := range 24 {
			go func() { replies <- post(client, entry, fmt.Sprintf("slip-%d", i), "yes") }()
		}
		time.Sleep(400 * time.Millisecond)
		g.Expect(fleet.Stop("consent-0")).To(Succeed())
		for range 24 {
			got := <-replies
			g.Expect(got.status).To(Equal(http.StatusOK), got.body)
		}
		transport.CloseIdleConnections()
		g.Expect(fleet.Close()).To(Succeed())
		time.Sleep(lastCalls)
	})
}

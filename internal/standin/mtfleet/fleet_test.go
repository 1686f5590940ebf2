package mtfleet_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/standin/mtengine"
	"github.com/mustardtide/mustardtide/internal/standin/mtfleet"
)

// base has one account whose key is "schools-key".
const base = `
datacentres: [imanta]
accounts:
  - name: schools
    hashes: [c2b2c8d9d0bbecf03be7238fcd16281cf54e084a4bcdd02cd5fd0a7fd1dd6b3c]
services:
  - name: trip
    kind: model
    model: dossier
    deadline: 60s
    granule: 64
    stride: 16
`

func TestWholePath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fleet, err := mtfleet.New()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(fleet.Submit(base)).To(Succeed())
		engine := mtengine.New(8, 20000, 10*time.Millisecond, 1000)
		g.Expect(fleet.AddTarget("trip-0", "trip", "imanta", engine)).To(Succeed())
		g.Expect(fleet.AddEntry("entry-0", "imanta")).To(Succeed())
		time.Sleep(5 * time.Second)

		body := `{"model":"dossier","stream":true,"max_tokens":4,"prompt":"Is the list complete?"}`
		request, err := http.NewRequest(http.MethodPost, fleet.Entry("entry-0")+"/v1/completions", strings.NewReader(body))
		g.Expect(err).NotTo(HaveOccurred())
		request.Header.Set("Authorization", "Bearer schools-key")
		transport := fleet.Wire().Transport()
		response, err := (&http.Client{Transport: transport}).Do(request)
		g.Expect(err).NotTo(HaveOccurred())
		answer, err := io.ReadAll(response.Body)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.StatusCode).To(Equal(http.StatusOK), string(answer))
		g.Expect(string(answer)).To(HaveSuffix("data: [DONE]\n\n"))
		g.Expect(strings.Count(string(answer), "data: {")).To(Equal(5))
		transport.CloseIdleConnections()
		g.Expect(fleet.Close()).To(Succeed())
	})
}

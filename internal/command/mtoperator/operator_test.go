package mtoperator_test

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/command/mtoperator"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
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
    slots: 4
    memory: 64000
    prefill: 20000
    decode: 10ms
`

func ask(g *WithT, client *http.Client, url string) {
	body := `{"model":"dossier","stream":true,"max_tokens":4,"prompt":"Is the list complete?"}`
	request, err := http.NewRequest(http.MethodPost, url+"/v1/completions", strings.NewReader(body))
	g.Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer schools-key")
	response, err := client.Do(request)
	g.Expect(err).NotTo(HaveOccurred())
	answer, err := io.ReadAll(response.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(answer)).To(HaveSuffix("data: [DONE]\n\n"))
}

// An operator looks at a running fleet: every process is in the status, and one
// run's events of two processes stand in causal order. Then a process is killed
// while the list still names it: the others still answer.
func TestOperatorSeesTheFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx := context.Background()
		fleet, err := mtfleet.New()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(fleet.Submit(base)).To(Succeed())
		g.Expect(fleet.AddTarget("trip-0", "trip", "imanta", mtengine.New(4, 20000, 10*time.Millisecond, 1000))).To(Succeed())
		g.Expect(fleet.AddEntry("entry-0", "imanta")).To(Succeed())
		time.Sleep(5 * time.Second)
		callers := fleet.Wire().Transport()
		ask(g, &http.Client{Transport: callers}, fleet.Entry("entry-0"))

		operator := mtoperator.New(fleet.Wire().Net(), fleet.Client(), nil)
		statuses, err := operator.Statuses(ctx)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(statuses).To(HaveLen(2))
		g.Expect(statuses[0].GetReady()).To(BeTrue())
		g.Expect(statuses[1].GetReady()).To(BeTrue())
		g.Expect(statuses[1].GetPeer().GetRevision()).To(BeEquivalentTo(1))

		timeline, silent, err := operator.Timeline(ctx, &mustardtidev1.EventsRequest{Account: "schools"})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(silent).To(BeEmpty())
		g.Expect(inOrder(timeline.Events(), mtkind.RequestAccepted, mtkind.RunBegan, mtkind.RunFinished, mtkind.RequestAnswered)).To(BeTrue())

		g.Expect(fleet.Kill("trip-0")).To(Succeed())
		_, silent, err = operator.Timeline(ctx, &mustardtidev1.EventsRequest{})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(silent).To(ConsistOf("trip-0"))
		operator.Close()
		callers.CloseIdleConnections()
		g.Expect(fleet.Close()).To(Succeed())
	})
}

// inOrder says whether the kinds stand in the events in this order.
func inOrder(events []*mustardtidev1.Event, kinds ...mtkind.Kind) bool {
	for _, e := range events {
		if len(kinds) > 0 && e.GetCode() == uint32(kinds[0]) {
			kinds = slices.Delete(kinds, 0, 1)
		}
	}
	return len(kinds) == 0
}

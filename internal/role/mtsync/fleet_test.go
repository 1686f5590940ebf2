package mtsync_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	"github.com/mustardtide/mustardtide/internal/standin/mtfleet"
	"github.com/mustardtide/mustardtide/internal/standin/mtservice"
)

// platform is the stand-in platform's address in a fleet.
const platform = "10.0.0.1:80"

// settings is a base file whose deadline tells its versions apart. Its one
// account's key is "schools-key".
func settings(version int) string {
	return fmt.Sprintf(`
datacentres: [imanta]
accounts:
  - name: schools
    hashes: [c2b2c8d9d0bbecf03be7238fcd16281cf54e084a4bcdd02cd5fd0a7fd1dd6b3c]
services:
  - name: forms
    kind: plain
    deadline: %ds
`, 10+version)
}

// world is a fleet of real roles under a paused clock.
type world struct {
	Gomega
	*mtfleet.Fleet
	transport *http.Transport
}

func withWorld(t *testing.T, entries, sidecars int, test func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fleet, err := mtfleet.New()
		g.Expect(err).NotTo(HaveOccurred())
		w := &world{Gomega: g, Fleet: fleet, transport: fleet.Wire().Transport()}
		defer func() {
			w.transport.CloseIdleConnections()
			g.Expect(fleet.Close()).To(Succeed())
			// Calls that the platform was slow with end, and idle connections
			// that went silent.
			time.Sleep(2 * time.Minute)
		}()
		g.Expect(fleet.Submit(settings(1))).To(Succeed())
		for i := range sidecars {
			g.Expect(fleet.AddTarget(fmt.Sprint("forms-", i), "forms", "imanta", mtservice.New(time.Millisecond))).To(Succeed())
		}
		for i := range entries {
			g.Expect(fleet.AddEntry(fmt.Sprint("entry-", i), "imanta")).To(Succeed())
		}
		time.Sleep(20 * time.Second)
		test(w)
	})
}

// ready waits until an entry tells the balancer that it is, and returns how
// long that took.
func (w *world) ready(entry string) time.Duration {
	start := time.Now()
	for {
		response, err := (&http.Client{Transport: w.transport}).Get(w.Entry(entry) + "/readyz")
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return time.Since(start)
			}
		}
		w.Expect(time.Since(start)).To(BeNumerically("<", time.Minute), "%s is not ready", entry)
		time.Sleep(10 * time.Millisecond)
	}
}

// serves sends one request through an entry and expects its answer.
func (w *world) serves(entry string) {
	request, err := http.NewRequest(http.MethodPost, w.Entry(entry)+"/v1/services/forms/slips", strings.NewReader(`{"slip":7}`))
	w.Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer schools-key")
	response, err := (&http.Client{Transport: w.transport}).Do(request)
	w.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	w.Expect(err).NotTo(HaveOccurred())
	w.Expect(response.StatusCode).To(Equal(http.StatusOK), "%s: %s", entry, answer)
}

// adoption is a revision that a process put in force.
type adoption struct {
	revision uint64
	at       time.Time
}

// adoptions are what a process's log says, in order.
func adoptions(events []*mustardtidev1.Event) []adoption {
	var list []adoption
	for _, e := range events {
		if mtkind.Kind(e.GetCode()) != mtkind.SettingsAdopted {
			continue
		}
		var revision uint64
		if _, err := fmt.Sscanf(e.GetText(), "revision %d", &revision); err == nil {
			list = append(list, adoption{revision: revision, at: e.GetTime().AsTime()})
		}
	}
	return list
}

func (w *world) adoptions(name string) []adoption {
	events, _ := w.Log(name).Events(&mustardtidev1.EventsRequest{})
	return adoptions(events)
}

// count gives how often a process logged an event.
func (w *world) count(name string, kind mtkind.Kind) int {
	events, _ := w.Log(name).Events(&mustardtidev1.EventsRequest{})
	n := 0
	for _, e := range events {
		if mtkind.Kind(e.GetCode()) == kind {
			n++
		}
	}
	return n
}

// revision is the one in force in a process; 0 if none.
func (w *world) revision(name string) uint64 {
	list := w.adoptions(name)
	if len(list) == 0 {
		return 0
	}
	return list[len(list)-1].revision
}

// inForce waits until a revision is in force in all the named processes and
// returns how long that took.
func (w *world) inForce(revision uint64, names []string) time.Duration {
	start := time.Now()
	for _, name := range names {
		for w.revision(name) < revision {
			w.Expect(time.Since(start)).To(BeNumerically("<", 5*time.Minute), "%s stays on revision %d", name, w.revision(name))
			time.Sleep(10 * time.Millisecond)
		}
	}
	return time.Since(start)
}

func names(entries, sidecars int) []string {
	var list []string
	for i := range entries {
		list = append(list, fmt.Sprint("entry-", i))
	}
	for i := range sidecars {
		list = append(list, fmt.Sprint("forms-", i))
	}
	return list
}

package mtfleet_test

import (
	"encoding/json"
	"fmt"
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

// dossiers is a fleet of engines and entries that is asked nested prompts.
type dossiers struct {
	g       *WithT
	fleet   *mtfleet.Fleet
	engines []*mtengine.Engine
	client  *http.Client
}

func newDossiers(t *testing.T, engines int, entries ...string) *dossiers {
	d := &dossiers{g: NewWithT(t)}
	fleet, err := mtfleet.New()
	d.g.Expect(err).NotTo(HaveOccurred())
	d.fleet = fleet
	d.client = &http.Client{Transport: fleet.Wire().Transport()}
	d.g.Expect(fleet.Submit(base)).To(Succeed())
	for i := range engines {
		d.engines = append(d.engines, mtengine.New(8, 20000, 10*time.Millisecond, 4000))
		d.g.Expect(fleet.AddTarget(fmt.Sprintf("trip-%d", i), "trip", "imanta", d.engines[i])).To(Succeed())
	}
	for _, name := range entries {
		d.g.Expect(fleet.AddEntry(name, "imanta")).To(Succeed())
	}
	time.Sleep(5 * time.Second)
	return d
}

func (d *dossiers) close() {
	d.client.CloseIdleConnections()
	d.g.Expect(d.fleet.Close()).To(Succeed())
}

// prompt is a school's rules, a dossier and a question.
func dossierPrompt(dossier, question int) string {
	rules := strings.Repeat("Every slip is signed. ", 190)
	trip := strings.Repeat(fmt.Sprintf("Pupil %05d goes on. ", dossier), 1400)
	return rules + trip + fmt.Sprintf("Question %d: is the list complete?", question)
}

// ask sends a question through an entry and returns the prompt tokens that
// were cached and the target that answered.
func (d *dossiers) ask(entry string, dossier, question int) (cached, prompt int, target string) {
	body, err := json.Marshal(map[string]any{"model": "dossier", "max_tokens": 4, "prompt": dossierPrompt(dossier, question)})
	d.g.Expect(err).NotTo(HaveOccurred())
	request, err := http.NewRequest(http.MethodPost, d.fleet.Entry(entry)+"/v1/completions", strings.NewReader(string(body)))
	d.g.Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer schools-key")
	response, err := d.client.Do(request)
	d.g.Expect(err).NotTo(HaveOccurred())
	answer, err := io.ReadAll(response.Body)
	d.g.Expect(err).NotTo(HaveOccurred())
	d.g.Expect(response.StatusCode).To(Equal(http.StatusOK), string(answer))
	var parsed struct {
		Usage struct {
			Prompt  int `json:"prompt_tokens"`
			Details struct {
				Cached int `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		} `json:"usage"`
	}
	d.g.Expect(json.Unmarshal(answer, &parsed)).To(Succeed())
	return parsed.Usage.Details.Cached, parsed.Usage.Prompt, response.Header.Get("Mustardtide-Target")
}

// Parents ask about the same trips through several entries. Each dossier
// should be computed once: a router that ignores caches computes it on every
// engine, and one that hashes the first mark sends all trips to one engine.
func TestNestedPromptsAreComputedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDossiers(t, 5, "entry-0", "entry-1", "entry-2")
		const trips, questions = 8, 6
		used := map[string]bool{}
		for q := range questions {
			for trip := range trips {
				cached, prompt, target := d.ask(fmt.Sprintf("entry-%d", (q+trip)%3), trip, q)
				used[target] = true
				if q > 0 {
					d.g.Expect(prompt-cached).To(BeNumerically("<", 600), "trip %d question %d", trip, q)
				}
			}
		}
		d.g.Expect(len(used)).To(BeNumerically(">=", 3), "the trips are spread")
		d.close()
	})
}

// All entries restart at once with empty memories. The next question of each
// parent must find the engine that holds its dossier.
func TestRestartedEntriesFindTheSameHomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDossiers(t, 5, "entry-0", "entry-1")
		homes := map[int]string{}
		for trip := range 8 {
			_, _, homes[trip] = d.ask("entry-0", trip, 0)
		}
		d.client.CloseIdleConnections()
		for _, name := range []string{"entry-0", "entry-1"} {
			d.g.Expect(d.fleet.Kill(name)).To(Succeed())
			d.g.Expect(d.fleet.AddEntry(name+"-again", "imanta")).To(Succeed())
		}
		time.Sleep(5 * time.Second)
		for trip := range 8 {
			cached, prompt, target := d.ask(fmt.Sprintf("entry-%d-again", trip%2), trip, 1)
			d.g.Expect(target).To(Equal(homes[trip]))
			d.g.Expect(prompt - cached).To(BeNumerically("<", 600))
		}
		d.close()
	})
}

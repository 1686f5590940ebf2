package mtsync_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/gen/mustardtide/v1/mustardtidev1connect"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	"github.com/mustardtide/mustardtide/internal/settings/mtmanifest"
	"github.com/mustardtide/mustardtide/internal/standin/mtproof"
)

// atOnce bounds the time from a process's start to its word that it is ready:
// one wait for a platform or peers that hang, and the exchange itself.
const atOnce = 750 * time.Millisecond

// stalePeer answers with a revision that is long past, as a process would that
// was cut off and is found again.
type stalePeer struct {
	mustardtidev1connect.UnimplementedControlServiceHandler
	manifest *mtmanifest.Manifest
}

func (p *stalePeer) Pull(_ context.Context, ask *connect.Request[mustardtidev1.PullRequest]) (*connect.Response[mustardtidev1.PullReply], error) {
	reply := &mustardtidev1.PullReply{Peer: &mustardtidev1.Peer{Revision: p.manifest.Revision(), Source: "stale"}, Manifest: p.manifest.Head()}
	for digest, text := range p.manifest.Chunks() {
		reply.Chunks = append(reply.Chunks, &mustardtidev1.Chunk{Digest: digest, Text: text})
	}
	return connect.NewResponse(reply), nil
}

// stale adds such a peer with revision 1 of other settings.
func (w *world) stale() string {
	old := mtmanifest.Empty().Next("old", "operator", map[string][]byte{"base": []byte("datacentres: [imanta]\n")})
	mux := http.NewServeMux()
	mux.Handle(mustardtidev1connect.NewControlServiceHandler(&stalePeer{manifest: old}))
	address, err := w.AddPeer("stale", mux)
	w.Expect(err).NotTo(HaveOccurred())
	return address
}

// Story: the platform's object API is away, refusing calls or hanging, and an
// entry is restarted; then all entries at once, as a rollout gone wrong does
// it. A caller whose request reaches a restarted entry must be served, by the
// settings that were accepted last, though no entry that knew them is left and
// the first peer asked has a revision that is long past.
func TestProofRestartServes(t *testing.T) {
	proof := mtproof.New(t, "restart-serves")
	const entries, sidecars = 4, 4
	for _, away := range []string{"down", "hang"} {
		t.Run(away, func(t *testing.T) {
			withWorld(t, entries, sidecars, func(w *world) {
				w.Expect(w.Submit(settings(2))).To(Succeed())
				all := names(entries, sidecars)
				w.inForce(2, all)
				w.SetPeers(w.stale(), w.Address("forms-0"), w.Address("forms-1"), w.Address("entry-1"))
				if away == "down" {
					w.Platform().Faults().Down(true)
				} else {
					w.Platform().Faults().Hang(true)
				}
				proof.Add("histories", 1)
				proof.Add("faults", 1)

				restart := func(names ...string) {
					for _, name := range names {
						w.Expect(w.Kill(name)).To(Succeed())
						proof.Add("faults", 1)
					}
					for _, name := range names {
						w.Expect(w.AddEntry(name, "imanta")).To(Succeed())
					}
					for _, name := range names {
						took := w.ready(name)
						t.Logf("%s, %d restarted: %s ready after %v", away, len(names), name, took)
						w.Expect(took).To(BeNumerically("<", atOnce))
						w.Expect(w.adoptions(name)[0].revision).To(BeEquivalentTo(2), "the first revision in force is the highest")
						w.serves(name)
						proof.Add("operations", 1)
					}
				}
				restart("entry-0")
				time.Sleep(time.Minute)
				restart(names(entries, 0)...)

				w.Platform().Faults().Down(false)
				w.Platform().Faults().Hang(false)
				w.Expect(w.Submit(settings(3))).To(Succeed())
				took := w.inForce(3, all)
				w.Expect(took).To(BeNumerically("<", 16*time.Second))
			})
		})
	}
}

// Story: all entries restart together while the platform is well, as in a
// rollout. Each would read the platform's whole list of instances at once, a
// megabyte at 3,120 instances, and use up its calls for everybody; peers have
// the list, so that it is read later, at each entry's turn.
func TestHerdSparesThePlatform(t *testing.T) {
	const entries, sidecars = 20, 4
	withWorld(t, entries, sidecars, func(w *world) {
		w.SetPeers(w.Address("forms-0"), w.Address("forms-1"), w.Address("forms-2"), w.Address("forms-3"))
		for _, name := range names(entries, 0) {
			w.Expect(w.Kill(name)).To(Succeed())
		}
		faults := w.Platform().Faults()
		reads, watches := faults.Reads(), faults.Watches()
		for _, name := range names(entries, 0) {
			w.Expect(w.AddEntry(name, "imanta")).To(Succeed())
		}
		for _, name := range names(entries, 0) {
			w.Expect(w.ready(name)).To(BeNumerically("<", atOnce))
		}
		atStart := faults.Reads() - reads + faults.Watches() - watches
		time.Sleep(10 * time.Second)
		t.Logf("%d entries: %d calls at the start, %d within 10 s", entries, atStart, faults.Reads()-reads+faults.Watches()-watches)
		// The manifest, and the list and watch of suspicions (mtsuspicion).
		w.Expect(atStart).To(BeNumerically("<=", 3*entries))
	})
}

// Story: two sidecars run for a while without an entry and know only each
// other. They
// answer each other, so that neither turns to the platform, and both stay on
// settings that are long past while the fleet goes on.
func TestIslands(t *testing.T) {
	withWorld(t, 0, 2, func(w *world) {
		time.Sleep(10 * time.Minute)
		w.Expect(w.AddEntry("entry-0", "imanta")).To(Succeed())
		w.Expect(w.Submit(settings(2))).To(Succeed())
		w.Expect(w.inForce(2, names(1, 2))).To(BeNumerically("<", within))
	})
}

// Story: a manifest that this version can't read is put in place, as by a newer
// command line. No process may fall over it, take it, or fetch it again and
// again; the next good submit is in force everywhere.
func TestUnreadableManifest(t *testing.T) {
	const entries, sidecars = 2, 2
	withWorld(t, entries, sidecars, func(w *world) {
		w.Expect(w.Submit("datacentres: [imanta]\ncolour: green\n")).To(Succeed())
		time.Sleep(time.Minute)
		for _, name := range names(entries, sidecars) {
			w.Expect(w.revision(name)).To(BeEquivalentTo(1))
		}
		w.serves("entry-0")
		time.Sleep(10 * time.Minute)
		for _, name := range names(entries, sidecars) {
			w.Expect(w.count(name, mtkind.SettingsRejected)).To(Equal(1), "%s read it again", name)
		}
		w.Expect(w.Submit(settings(3))).To(Succeed())
		w.inForce(3, names(entries, sidecars))
		w.serves("entry-1")
	})
}

// Package mtoverhead measures what entry and sidecar add to a direct call to
// the same stand-in engine, over loopback, in one run. make overhead runs it;
// it has no verdict.
package mtoverhead

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/observe/mtevent"
	"github.com/mustardtide/mustardtide/internal/observe/mtstamp"
	"github.com/mustardtide/mustardtide/internal/role/mtentry"
	"github.com/mustardtide/mustardtide/internal/role/mtnet"
	"github.com/mustardtide/mustardtide/internal/role/mtserver"
	"github.com/mustardtide/mustardtide/internal/role/mtsidecar"
	"github.com/mustardtide/mustardtide/internal/settings/mtmanifest"
	"github.com/mustardtide/mustardtide/internal/standin/mtengine"
	"github.com/mustardtide/mustardtide/internal/standin/mtplatform"

	platformclient "github.com/mustardtide/mustardtide/internal/outside/mtplatform"
)

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
    slots: 256
    memory: 400000000
    prefill: 100000000
    decode: 1us
`

// tokens is the answer's length: a handful of events.
const tokens = 4

// sample is what one load cost.
type sample struct {
	p50, p99 time.Duration
	cpu      time.Duration
	allocs   float64
	bytes    float64
}

// fleet is one entry, one sidecar and one engine on loopback.
type fleet struct{ direct, path string }

func freeAddress(g Gomega) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	return listener.Addr().String()
}

func start(b *testing.B, g Gomega) fleet {
	engine := httptest.NewServer(mtengine.New(256, 1e12, 0, 100000))
	store := mtplatform.New()
	platform := httptest.NewServer(store)
	b.Cleanup(engine.Close)
	b.Cleanup(platform.Close)
	client := platformclient.New(platform.URL, "default", http.DefaultTransport.(*http.Transport))
	held, err := mtmanifest.Load(b.Context(), client, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(held.Save(b.Context(), client, held.Next("1", "overhead", map[string][]byte{"base": []byte(base)}))).To(Succeed())
	sidecar := &mustardtidev1.Process{Name: "trip-0", Datacentre: "imanta", Internal: freeAddress(g), Platform: platform.URL, Namespace: "default", Target: engine.URL, Service: "trip"}
	store.PutMember(&mustardtidev1.Member{Name: "trip-0", Role: "sidecar", Address: sidecar.GetInternal(), Datacentre: "imanta", Service: "trip"})
	entry := &mustardtidev1.Process{Name: "entry-0", Datacentre: "imanta", Public: freeAddress(g), Internal: freeAddress(g), Platform: platform.URL, Namespace: "default"}
	log := func(name string) *mtevent.Log { return mtevent.New(name, &mtstamp.Clock{}, nil) }
	one, err := mtsidecar.New(sidecar, mtnet.System(), log("trip-0")).Open(b.Context())
	g.Expect(err).NotTo(HaveOccurred())
	two, err := mtentry.New(entry, mtnet.System(), log("entry-0")).Open(b.Context())
	g.Expect(err).NotTo(HaveOccurred())
	for _, server := range append([]*mtserver.Server{one}, two...) {
		go func() { _ = server.Start(context.Background()) }()
		b.Cleanup(func() { _ = server.Close() })
	}
	return fleet{direct: engine.URL, path: "http://" + entry.GetPublic()}
}

// load sends n requests, so many at once, and measures the whole process:
// caller and engine cost the same on both ways.
func load(url string, at, n, prompt int) sample {
	transport := &http.Transport{MaxIdleConnsPerHost: at}
	defer transport.CloseIdleConnections()
	text := strings.Repeat("x", prompt)
	var next atomic.Int64
	took := make([]time.Duration, n)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	cpu := cpuTime()
	var group sync.WaitGroup
	for range at {
		group.Go(func() {
			for i := next.Add(1) - 1; i < int64(n); i = next.Add(1) - 1 {
				body := fmt.Sprintf(`{"model":"dossier","stream":true,"max_tokens":%d,"prompt":"%d %s"}`, tokens, i, text)
				begun := time.Now()
				answer, status := ask(transport, url, body)
				took[i] = time.Since(begun)
				if status != http.StatusOK || !bytes.HasSuffix(answer, []byte("data: [DONE]\n\n")) {
					panic(fmt.Sprintf("status %d: %s", status, answer))
				}
			}
		})
	}
	group.Wait()
	spent := cpuTime() - cpu
	runtime.ReadMemStats(&after)
	slices.Sort(took)
	return sample{
		p50:    took[n/2],
		p99:    took[n*99/100],
		cpu:    spent / time.Duration(n),
		allocs: float64(after.Mallocs-before.Mallocs) / float64(n),
		bytes:  float64(after.TotalAlloc-before.TotalAlloc) / float64(n),
	}
}

func ask(transport *http.Transport, url, body string) ([]byte, int) {
	request, err := http.NewRequest(http.MethodPost, url+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return []byte(err.Error()), 0
	}
	request.Header.Set("Authorization", "Bearer schools-key")
	response, err := transport.RoundTrip(request)
	if err != nil {
		return []byte(err.Error()), 0
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return []byte(err.Error()), 0
	}
	return answer, response.StatusCode
}

// cpuTime is the processor time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkOverhead prints a line for each load and way, and one of the
// differences and ratios.
func BenchmarkOverhead(b *testing.B) {
	g := NewWithT(b)
	f := start(b, g)
	g.Eventually(func() int {
		_, status := ask(&http.Transport{DisableKeepAlives: true}, f.path, `{"model":"dossier","max_tokens":1,"prompt":"x"}`)
		return status
	}, "20s", "50ms").Should(Equal(http.StatusOK))
	fmt.Println("concurrency\tprompt\tway\tp50\tp99\tcpu\tallocs\tbytes")
	for _, at := range []int{1, 64} {
		for _, prompt := range []int{2 << 10, 200 << 10} {
			n := 3000
			if prompt > 100<<10 {
				n = 600
			}
			load(f.path, at, n/10, prompt)
			direct := load(f.direct, at, n, prompt)
			path := load(f.path, at, n, prompt)
			show := func(way string, s sample) {
				fmt.Printf("%d\t%d\t%s\t%v\t%v\t%v\t%.0f\t%.0f\n", at, prompt, way, s.p50.Round(time.Microsecond), s.p99.Round(time.Microsecond), s.cpu.Round(time.Microsecond), s.allocs, s.bytes)
			}
			show("direct", direct)
			show("path", path)
			show("added", sample{path.p50 - direct.p50, path.p99 - direct.p99, path.cpu - direct.cpu, path.allocs - direct.allocs, path.bytes - direct.bytes})
			fmt.Printf("%d\t%d\tratio\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\n", at, prompt, ratio(path.p50, direct.p50), ratio(path.p99, direct.p99), ratio(path.cpu, direct.cpu), path.allocs/direct.allocs, path.bytes/direct.bytes)
		}
	}
}

func ratio(a, b time.Duration) float64 { return float64(a) / float64(b) }

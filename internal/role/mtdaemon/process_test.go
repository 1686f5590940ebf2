package mtdaemon_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const module = "github.com/mustardtide/mustardtide"

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
    slots: 8
    memory: 400000
    prefill: 20000
    decode: 10ms
    retry: 1
`

// upTime bounds the waits on conditions; it decides nothing but a hang.
const upTime = "60s"

// processes are the real programs of one fleet, each a child of this test.
type processes struct {
	g     Gomega
	dir   string
	alive map[string]*exec.Cmd
	// drawn are the addresses that processes were given.
	drawn map[string]bool
}

func (p *processes) start(name, program string, args ...string) {
	child := exec.Command(filepath.Join(p.dir, program), args...)
	log, err := os.Create(filepath.Join(p.dir, name+".log"))
	p.g.Expect(err).NotTo(HaveOccurred())
	child.Stdout, child.Stderr = log, log
	p.g.Expect(child.Start()).To(Succeed())
	p.alive[name] = child
}

func (p *processes) signal(name string, signal syscall.Signal) {
	p.g.Expect(p.alive[name].Process.Signal(signal)).To(Succeed())
}

// end waits for a child that was told to stop and returns how it ended.
func (p *processes) end(name string) error {
	child := p.alive[name]
	delete(p.alive, name)
	return child.Wait()
}

func (p *processes) kill() {
	for _, child := range p.alive {
		_ = child.Process.Kill()
		_ = child.Wait()
	}
}

func (p *processes) settings(name, text string) string {
	path := filepath.Join(p.dir, name+".yaml")
	p.g.Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

// freeAddress returns an address that nobody listens at, and never the same one twice: a
// port that is free again may be the next that is drawn.
func (p *processes) freeAddress() string {
	for {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		p.g.Expect(err).NotTo(HaveOccurred())
		address := listener.Addr().String()
		p.g.Expect(listener.Close()).To(Succeed())
		if !p.drawn[address] {
			p.drawn[address] = true
			return address
		}
	}
}

func put(g Gomega, url, body string) {
	request, err := http.NewRequest(http.MethodPut, url, strings.NewReader(body))
	g.Expect(err).NotTo(HaveOccurred())
	response, err := http.DefaultClient.Do(request)
	g.Expect(err).NotTo(HaveOccurred())
	response.Body.Close()
	g.Expect(response.StatusCode).To(Equal(http.StatusOK))
}

func status(url string) int {
	response, err := http.Get(url)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// sidecar starts an engine with its sidecar and lists it.
func (p *processes) sidecar(i int, platform string) {
	engine, internal := p.freeAddress(), p.freeAddress()
	name := fmt.Sprintf("trip-%d", i)
	p.start(name+"-program", "mustardtide-standin", "--listen", engine, "engine")
	path := p.settings(name, fmt.Sprintf("name: %s\ndatacentre: imanta\ninternal: %s\nplatform: %s\nnamespace: default\ntarget: http://%s\nservice: trip\n", name, internal, platform, engine))
	p.start(name, "mustardtide", "sidecar", "--settings", path)
	put(p.g, platform+"/standin/members/"+name, fmt.Sprintf(`{"name":%q,"role":"sidecar","address":%q,"datacentre":"imanta","service":"trip"}`, name, internal))
}

// run starts a platform, two targets and an entry, and returns the entry's URL.
func (p *processes) run() string {
	address := p.freeAddress()
	platform := "http://" + address
	p.start("platform", "mustardtide-standin", "--listen", address, "platform")
	p.g.Eventually(func() int { return status(platform + "/apis/mustardtide.dev/v1/namespaces/default/records") }, upTime).Should(Equal(http.StatusOK))
	submit := exec.Command(filepath.Join(p.dir, "mustardtide"), "submit", "--platform", platform, "--base", p.settings("base", base))
	out, err := submit.CombinedOutput()
	p.g.Expect(err).NotTo(HaveOccurred(), string(out))
	for i := range 2 {
		p.sidecar(i, platform)
	}
	public := p.freeAddress()
	path := p.settings("entry", fmt.Sprintf("name: entry-0\ndatacentre: imanta\npublic: %s\ninternal: %s\nplatform: %s\nnamespace: default\nlag: 500ms\n", public, p.freeAddress(), platform))
	p.start("entry", "mustardtide", "entry", "--settings", path)
	url := "http://" + public
	p.g.Eventually(func() error { return ask(url, 1, nil) }, upTime).Should(Succeed())
	return url
}

// ask streams an answer and calls each for every event; an answer that is not
// whole is an error.
func ask(url string, tokens int, each func(n int)) error {
	body := fmt.Sprintf(`{"model":"dossier","stream":true,"max_tokens":%d,"prompt":"Is the list complete?"}`, tokens)
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer schools-key")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	events := 0
	lines := bufio.NewScanner(response.Body)
	last := ""
	for lines.Scan() {
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			last = data
			if json.Valid([]byte(data)) {
				events++
			}
			if each != nil {
				each(events)
			}
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("after %d events: %w", events, err)
	}
	if last != "[DONE]" || events != tokens+1 {
		rest, _ := io.ReadAll(response.Body)
		return fmt.Errorf("%d: %d events, last %q %s", response.StatusCode, events, last, rest)
	}
	return nil
}

// build compiles the programs into a directory of the test's.
func build(t *testing.T, g Gomega) string {
	dir := t.TempDir()
	out, err := exec.Command("go", "build", "-o", dir+"/", module, module+"/cmd/mustardtide-standin").CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(out))
	return dir
}

// Callers read answers of a second from real processes. A sidecar is frozen and
// later runs on; another is told to stop, twice; then the entry is. No answer
// may be cut, and each process must end by itself without an error.
func TestRealProcessesStop(t *testing.T) {
	g := NewWithT(t)
	p := &processes{g: g, dir: build(t, g), alive: map[string]*exec.Cmd{}, drawn: map[string]bool{}}
	defer p.kill()
	url := p.run()
	const callers, tokens = 8, 100
	failed := make(chan error, callers)
	round := func(act func()) {
		var group sync.WaitGroup
		begun := make(chan struct{}, callers)
		for range callers {
			group.Go(func() {
				// One that fails before its fifth event must not be waited for.
				once := sync.OnceFunc(func() { begun <- struct{}{} })
				defer once()
				failed <- ask(url, tokens, func(n int) {
					if n == 5 {
						once()
					}
				})
			})
		}
		for range callers {
			<-begun
		}
		act()
		group.Wait()
		for range callers {
			g.Expect(<-failed).To(Succeed())
		}
	}
	round(func() { p.signal("trip-0", syscall.SIGSTOP) })
	p.signal("trip-0", syscall.SIGCONT)
	g.Eventually(func() error { return ask(url, 1, nil) }, upTime).Should(Succeed())
	round(func() {
		p.signal("trip-1", syscall.SIGTERM)
		p.signal("trip-1", syscall.SIGTERM)
	})
	g.Expect(p.end("trip-1")).To(Succeed())
	round(func() {
		p.signal("entry", syscall.SIGTERM)
		g.Eventually(func() int { return status(url + "/readyz") }, upTime, 10*time.Millisecond).Should(Equal(http.StatusServiceUnavailable))
		p.signal("entry", syscall.SIGTERM)
	})
	g.Expect(p.end("entry")).To(Succeed())
	p.signal("trip-0", syscall.SIGTERM)
	g.Expect(p.end("trip-0")).To(Succeed())
}

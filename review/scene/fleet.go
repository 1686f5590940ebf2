//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/mustardtide/mustardtide/platform/standin/mtstore"
)

// Bounds of the deployment, those of the users' small sites.
const (
	grace     = 8 * time.Second
	heartbeat = 1200 * time.Millisecond
	reuse     = 2 * time.Second
)

// A scene has one of so many parts of the loopback net to itself.
const (
	firstNet = 20
	nets     = 200
)

// fleet is a small deployment: the project's daemons as processes, and stand-ins in this one.
type fleet struct {
	dir     string
	program string
	net     string
	record  *record
	// fencing says that engines check fencing numbers (fencing_required).
	fencing bool
	store   *mtstore.Store
	// balancer leads callers to entries, where a scene uses it.
	balancer *balancer

	mu        sync.Mutex
	processes []*process
	servers   []*server
}

// server is a stand-in's listener with its connections.
type server struct {
	http     *http.Server
	listener net.Listener
}

func newFleet(program string, rec *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, program: program, record: rec, store: mtstore.New()}
	// Other scenes on the machine may have some of the nets.
	for n := range nets {
		f.net = fmt.Sprintf("127.%d", firstNet+(os.Getpid()+n)%nets)
		if _, err = f.serve(f.storeAddress(), f.store); err == nil {
			return f, nil
		}
	}
	return nil, err
}

// ip is the loopback address of one of a group: 1 store, 2 engines, 3 plain services, 4 entries.
func (f *fleet) ip(group, n int) string { return fmt.Sprintf("%s.%d.%d", f.net, group, n) }

func (f *fleet) storeAddress() string { return f.ip(1, 1) + ":8784" }

func (f *fleet) serve(address string, handler http.Handler) (*server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &server{http: &http.Server{Handler: handler}, listener: listener}
	go func() { _ = s.http.Serve(listener) }()
	f.mu.Lock()
	f.servers = append(f.servers, s)
	f.mu.Unlock()
	return s, nil
}

// crash ends a stand-in: its port refuses and its connections are gone.
func (s *server) crash() { _ = s.http.Close() }

// process is one daemon.
type process struct {
	name  string
	child *exec.Cmd
	done  chan struct{}
}

// start runs a role of the deploy file: target/mustardtide ROLE.
func (f *fleet) start(name, role, ip, app, service string) (*process, error) {
	file := filepath.Join(f.dir, name+".yaml")
	text := fmt.Sprintf(`node: %q
role: %q
ip: %q
zone: "north"
region: "land"
listen: {front: "%s:8782", ready: "%s:8789"}
internal_ports: [7340, 7355]
bootstrap: true
limits: {cpu_share: 0.304, cores: 1, memory_mb: 134, max_fds: 4200}
heartbeat_ms: 1200
bounds: {reuse_after_s: 2, stable_window_ms: 3000, drain_ms: 2000, grace_s: 8, loss_slack_ms: 200, config_apply_ms: 2000, retry_budget_ratio: 0.2, retry_budget_slack: 52, budget_window_s: 10, fencing_required: %t, lease_ms: 3000, thaw_ms: 300, version_ms: 8000, version_all_ms: 11000}
platform: {address: %q, form: "objects", writes_per_s: 400, reads_per_s: 2000, history_s: 20}
`, name, role, ip, ip, ip, f.fencing, f.storeAddress())
	if app != "" {
		text += fmt.Sprintf("app: %q\nservice: %q\n", app, service)
	}
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(f.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	child := exec.Command(f.program, role)
	child.Env = append(os.Environ(), "MUSTARDTIDE_BOOT="+file)
	child.Stdout, child.Stderr = log, log
	if err := child.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, child: child, done: make(chan struct{})}
	go func() { _ = child.Wait(); _ = log.Close(); close(p.done) }()
	f.mu.Lock()
	f.processes = append(f.processes, p)
	f.mu.Unlock()
	return p, nil
}

// rewrite changes the settings file of a process to another service and tells it by SIGHUP.
func (f *fleet) rewrite(name, before, after string) error {
	file := filepath.Join(f.dir, name+".yaml")
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if err := os.WriteFile(file, bytes.ReplaceAll(text, []byte(before), []byte(after)), 0o600); err != nil {
		return err
	}
	for _, p := range f.processes {
		if p.name == name {
			f.record.say("the settings of %s name service %s, SIGHUP", name, after)
			return p.child.Process.Signal(syscall.SIGHUP)
		}
	}
	return fmt.Errorf("no process %s", name)
}

// close ends all processes, by their ids.
func (f *fleet) close() {
	for _, p := range f.processes {
		_ = p.child.Process.Signal(syscall.SIGCONT)
		_ = p.child.Process.Kill()
		<-p.done
	}
	for _, s := range f.servers {
		s.crash()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs:", f.dir)
	}
}

// awaitReady waits until an entry says that it is ready.
func awaitReady(ctx context.Context, ip string) error {
	for ctx.Err() == nil {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+ip+":8789/api/ready", http.NoBody)
		if err != nil {
			return err
		}
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready", ip)
}

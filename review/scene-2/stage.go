package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// bounds are those of a small deployment (sites/bvs-dakar).
const bounds = `bounds:
  seed_lag_s: 3
  reuse_after_s: 2
  stable_window_ms: 3000
  ack_ms: 4000
  catch_up_s: 4
  drain_ms: 2000
  grace_s: 8
  loss_slack_ms: 200
  config_apply_ms: 2000
  rollback_slack_ms: 250
  max_skew_ms: 5000
  strict_revoke: false
  revoke_ms: 5000
  retry_budget_ratio: 0.2
  budget_window_s: 10
  retry_budget_slack: 54
  recover_s: 12
  transit_ms: 120
  reuse_window_s: 10
  fencing_required: false
  lease_ms: 3000
  thaw_ms: 300
  version_ms: 8000
  version_all_ms: 11000
`

// stage is a small deployment: the store, engines and the project's own processes.
type stage struct {
	begun   time.Time
	dir     string
	program string
	net     string
	ports   int
	store   *store
	engines []*engine
	deadly  *deadlyCrowd

	mu     sync.Mutex
	record *os.File
	runs   []run
	uses   []use
	procs  []*process
}

// process is one process of the project.
type process struct {
	stage                *stage
	name, role, ip, file string
	front, ready         string
	memory               int

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	ended   []string
	closing bool
}

func newStage(folder string) *stage {
	dir, err := os.MkdirTemp("", "stage")
	check(err)
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	check(err)
	program, err := filepath.Abs("target/mustardtide")
	check(err)
	if _, err := os.Stat(program); err != nil {
		fail(2, "the build of the deploy file is missing: %v", err)
	}
	// A part of the loopback range and of the ports that other runs hardly use.
	s := &stage{begun: time.Now(), dir: dir, program: program, record: record, net: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250)), ports: 20000 + rand.IntN(8000)}
	s.store = newStore()
	s.bound()
	return s
}

// maxTime is how long a case may run.
const maxTime = 110 * time.Second

// bound ends the case, with all that it has started, when it takes too long or is told to end.
func (s *stage) bound() {
	ends := make(chan os.Signal, 1)
	signal.Notify(ends, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		select {
		case <-ends:
		case <-time.After(maxTime):
		}
		fail(2, "the case was ended before its time")
	}()
}

func check(err error) {
	if err != nil {
		fail(2, "%v", err)
	}
}

var running *stage

// fail ends the case.
func fail(code int, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if running != nil {
		running.note("%s", text)
		running.close()
	}
	fmt.Println(text)
	os.Exit(code)
}

func listen(address string) net.Listener {
	listener, err := net.Listen("tcp", address)
	check(err)
	return listener
}

// note writes a line to the record.
func (s *stage) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f  %s\n", time.Since(s.begun).Seconds(), fmt.Sprintf(format, args...))
}

func (s *stage) ran(r run) {
	s.note("run    %s at %s for tenant %q, %s", r.id, r.engine, r.tenant, r.path)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, r)
}

func (s *stage) used(u use) {
	s.note("cache  %s of tenant %q uses part %s under salt %q, made by a request of tenant %q", u.request, u.tenant, u.part, u.salt, u.maker)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.uses = append(s.uses, u)
}

func (s *stage) runsOf(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, r := range s.runs {
		if r.id == id {
			count++
		}
	}
	return count
}

func (s *stage) engineAt(address string) *engine {
	for _, e := range s.engines {
		if address != "" && e.address == address {
			return e
		}
	}
	return nil
}

// addEngine starts an engine and lists it in the store.
func (s *stage) addEngine(id, service, model, ip string, slots int) *engine {
	e := &engine{id: id, service: service, model: model, slots: slots, zone: "plateau", address: ip + ":0", stage: s, work: 20 * time.Millisecond}
	e.serve()
	s.engines = append(s.engines, e)
	s.store.put("servers", id, e.entry("ready"))
	return e
}

// addProcess writes the settings of a process and starts it.
func (s *stage) addProcess(name, role, ip, app string, memory int) *process {
	p := &process{stage: s, name: name, role: role, ip: ip, memory: memory, file: filepath.Join(s.dir, name+".yaml")}
	d := s.store.doors[name]
	if d == nil {
		d = s.store.open(name, ip+":0")
	}
	class := "front"
	if role == "sidecar" {
		class = "side"
	}
	text := fmt.Sprintf("node: %q\nrole: %q\nmachine_class: %q\nserves: [%q]\nip: %q\nzone: \"plateau\"\nregion: \"dakar\"\nzones: {plateau: \"dakar\"}\n", name, role, class, class, ip)
	if role == "entry" {
		p.front, p.ready = fmt.Sprintf("%s:%d", ip, s.ports+100), fmt.Sprintf("%s:%d", ip, s.ports+101)
		text += fmt.Sprintf("listen:\n  front: %q\n  ready: %q\n", p.front, p.ready)
	} else {
		text += fmt.Sprintf("listen: {}\napp: %q\n", app)
	}
	text += fmt.Sprintf("internal_ports: [%d, %d]\nseeds: []\nbootstrap: true\nlimits:\n  cpu_share: 0.3\n  cores: 1\n  memory_mb: %d\n  max_fds: 4200\n  link_mbps: 1000.0\n  disk_mb: 0\ndata_dir: null\ndiscovery: \"platform\"\nentry: \"vip\"\nheartbeat_ms: 1200\n", s.ports, s.ports+15, memory)
	text += bounds + fmt.Sprintf("platform:\n  address: %q\n  form: \"objects\"\n  writes_per_s: 400\n  reads_per_s: 2000\n  history_s: 20\n  value_bytes: 1048576\n", d.address)
	check(os.WriteFile(p.file, []byte(text), 0o600))
	s.procs = append(s.procs, p)
	p.start()
	return p
}

func (p *process) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(p.stage.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	cmd := exec.Command(p.stage.program, p.role)
	cmd.Env = append(os.Environ(), "MUSTARDTIDE_BOOT="+p.file)
	cmd.Stdout, cmd.Stderr = log, log
	check(cmd.Start())
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		p.ended = append(p.ended, fmt.Sprint(err))
		closing := p.closing
		p.mu.Unlock()
		if !closing {
			p.stage.note("process %s ended: %v", p.name, err)
		}
		close(exited)
	}()
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s)
}

// kill ends the process and waits for its end.
func (p *process) kill() {
	p.mu.Lock()
	p.closing = true
	exited := p.exited
	p.mu.Unlock()
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-exited
}

// close ends all that the case has started.
func (s *stage) close() {
	for _, p := range s.procs {
		p.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("kept:", s.dir)
	}
}

// awaitReady returns once an entry says that it is ready.
func (s *stage) awaitReady(p *process, bound time.Duration) {
	for end := time.Now().Add(bound); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + p.ready + "/api/ready")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	fail(2, "%s did not become ready", p.name)
}

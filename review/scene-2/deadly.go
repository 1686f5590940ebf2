package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the case "deadly".
const (
	deadlyEngines = 9
	deadlyEntries = 4
	// deadlyParts is the number of parts that crash engines; requests with them come by turns, one each
	// deadlyEvery, for deadlyFor. The sound request of the same session follows after siblingAfter.
	deadlyParts  = 3
	deadlyEvery  = 2 * time.Second
	deadlyFor    = 95 * time.Second
	siblingAfter = time.Second
	// sessionParts is the number of parts of a session; with them a head has about 13 KB, where the
	// configuration allows 16,384 bytes.
	sessionParts = 1100
	// downFor is how long an engine is away after a crash, lapse when its entry lapses.
	downFor = 2 * time.Second
	lapse   = 3600 * time.Millisecond
	// stableWindow is the site's `stable_window_ms`, crashesAllowed and lateAllowed are the rule's.
	stableWindow   = 3 * time.Second
	crashesAllowed = 5
	lateAllowed    = 3
	// deadlyPart begins the names of the parts that crash engines.
	deadlyPart = "deadbee"
)

// deadlyCrowd plays requests with one part that crashes engines, beside sound ones of the same caller.
type deadlyCrowd struct {
	stage   *stage
	entries []*process

	mu      sync.Mutex
	crashes [deadlyParts][]time.Time
	// late are the requests with each part that reached an engine later than the rule allows for.
	late        [deadlyParts]int
	sent, begun int
}

// crash notes that a request with a part that crashes engines has begun at one.
func (d *deadlyCrowd) crash(id, prompt string) {
	_, name, _ := strings.Cut(prompt, deadlyPart)
	part := int(name[0] - '0')
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	known := d.crashes[part]
	late := len(known) >= crashesAllowed && now.Sub(known[crashesAllowed-1]) > stableWindow
	if late {
		d.late[part]++
	}
	d.crashes[part] = append(known, now)
	d.stage.note("crash  %d of part %d, by %s, late %v", len(d.crashes[part]), part, id, late)
}

// session returns the parts of one session.
func session() []string {
	var list []string
	for range sessionParts {
		list = append(list, fmt.Sprintf("%08x:8", rand.Uint32()))
	}
	return list
}

// prompt is that of a request of a session, with a part that crashes engines or, below 0, without.
func prompt(deadly int, session []string) string {
	list := []string{"5c1e07a2:400", "91bd3f06:200"}
	for i, part := range session {
		if deadly >= 0 && i == len(session)*3/4 {
			list = append(list, fmt.Sprintf("%s%d:100", deadlyPart, deadly))
		}
		list = append(list, part)
	}
	return strings.Join(append(list, fmt.Sprintf("%08x:100", rand.Uint32())), ",")
}

// ask sends one request to one of the entries.
func (d *deadlyCrowd) ask(id string, deadly int, session []string) {
	entry := d.entries[rand.N(len(d.entries))]
	response, _, err := send(entry.front, http.MethodPost, "query.example", "/query/1", map[string]string{
		"Mustardtide-Attempt-Id": id, "Mustardtide-Model": model, "Mustardtide-Token-Count": "10000,20", "Mustardtide-Prompt-Prefix": prompt(deadly, session),
		"Mustardtide-Deadline-Ms": "3000", "Authorization": "Bearer key-sese",
	}, id, 4*time.Second)
	status := 0
	if response != nil {
		status = response.StatusCode
	}
	d.stage.note("answer %s: %d, error %v", id, status, err)
	if deadly >= 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sent++
	if status == http.StatusOK {
		d.begun++
	}
}

// sessions sends for each session a request with the part that crashes engines, if there is trouble, and
// then a sound one that shares all other parts.
func (d *deadlyCrowd) sessions(end time.Time, trouble bool, clients *sync.WaitGroup) {
	for i := 0; time.Now().Before(end); i++ {
		clients.Add(1)
		go func() {
			defer clients.Done()
			parts := session()
			if trouble {
				d.ask(fmt.Sprintf("deadly-%d", i), i%deadlyParts, parts)
			}
			time.Sleep(siblingAfter)
			d.ask(fmt.Sprintf("sibling-%d", i), -1, parts)
		}()
		time.Sleep(deadlyEvery)
	}
}

// deadly lets requests come that hold one part under which engines crash.
func deadly(s *stage, trouble bool) string {
	d := &deadlyCrowd{stage: s}
	s.deadly = d
	s.store.put("config", "main", catalog(7, tenant("sese", "key-sese", false)))
	s.store.put("versions", model, map[string]any{"model": model, "version": 1})
	for i := 1; i <= deadlyEngines; i++ {
		ip := fmt.Sprintf("%s.%d", s.net, 10+i)
		e := s.addEngine(fmt.Sprintf("i-llm%d", i), "llm", model, ip, 128)
		s.addProcess(fmt.Sprintf("side-%d", i), "sidecar", ip, e.address, 216)
	}
	for i := 1; i <= deadlyEntries; i++ {
		d.entries = append(d.entries, s.addProcess(fmt.Sprintf("front-%d", i), "entry", fmt.Sprintf("%s.%d", s.net, i), "", 284))
	}
	for _, entry := range d.entries {
		s.awaitReady(entry, 15*time.Second)
	}
	time.Sleep(stableWindow + time.Second/2)
	end := time.Now().Add(deadlyFor)
	var clients sync.WaitGroup
	clients.Add(1)
	go func() {
		defer clients.Done()
		d.sessions(end, trouble, &clients)
	}()
	for i := 0; time.Now().Before(end); i++ {
		clients.Add(1)
		go func() {
			defer clients.Done()
			d.ask(fmt.Sprintf("sound-%d", i), -1, nil)
		}()
		time.Sleep(50 * time.Millisecond)
	}
	clients.Wait()
	broken := ""
	for part, known := range d.crashes {
		s.note("part %d: %d crashes, %d requests reached an engine later than %v after crash %d", part, len(known), d.late[part], stableWindow, crashesAllowed)
		if d.late[part] > lateAllowed {
			broken += fmt.Sprintf("BUDGET: part %d: %d requests with it reached engines later than %v after the fifth crash, %d crashes in all; ", part, d.late[part], stableWindow, len(known))
		}
	}
	s.note("%d of %d sound requests began", d.begun, d.sent)
	return broken
}

// crash ends the engine as a crash does. It starts again after a while, under another id.
func (e *engine) crash() {
	e.mu.Lock()
	e.generation++
	former, id := e.id, fmt.Sprintf("%s.%d", strings.SplitN(e.id, ".", 2)[0], e.generation)
	e.mu.Unlock()
	e.stop()
	time.AfterFunc(downFor, func() {
		e.mu.Lock()
		e.id, e.running = id, 0
		e.mu.Unlock()
		e.serve()
		e.stage.store.put("servers", id, e.entry("ready"))
	})
	time.AfterFunc(lapse, func() { e.stage.store.remove("servers", former) })
}

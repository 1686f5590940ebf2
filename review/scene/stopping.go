//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/mustardtide/mustardtide/platform/standin/mtstore"
)

// Of the requests: connections with replies, dossiers a second, and the time that callers wait.
const (
	entryCount  = 4
	engineCount = 6
	connections = 140
	dossiers    = 40
	replyWait   = 15 * time.Second
)

// Answers have 96 tokens in the mean and 226 at most, with a spread of 0.69, as a sheet has it.
const (
	meanTokens = 95.8
	mostTokens = 226
	spread     = 0.69
)

// length draws the tokens of an answer.
func length(draw *rand.Rand) int {
	return min(mostTokens, max(1, int(meanTokens*math.Exp(spread*draw.NormFloat64()-spread*spread/2))))
}

// noticed is how long after a SIGTERM a request may be sent that the grace time may cut.
const noticed = 3 * time.Second

// The entries are stopped and started in turn: so many times, each after a time without a
// stop, and one each gap.
const (
	rounds = 3
	steady = 8 * time.Second
	gap    = 2 * time.Second
)

// restartTime is how long the platform takes to start a process again.
const restartTime = 150 * time.Millisecond

// term is the SIGTERM of an entry.
type term struct {
	entry int
	at    time.Time
}

// sent is one request on a kept connection.
type sent struct {
	id       string
	entry    int
	tokens   int
	at, over time.Time
	status   int
	complete bool
	err      error
}

func init() { scenes["stopping-entry"] = stoppingEntry }

// stoppingEntry stops four entries in turn while callers ask for one stream after another, half of
// them on kept connections.
func stoppingEntry(f *fleet, trouble bool) (bool, error) {
	f.store.Put(mtstore.Config, "main", fmt.Sprintf(
		`{"version":7,"routes":[{"name":"dossier","host":%q,"path_prefix":"/dossier/","kind":"streaming","timeout_ms":6000,"target_latency_ms":800,"priority":1,"backends":[{"service":"pool","weight":100}],"max_attempts":1,"public":false,"sticky":true,"resumable":false,"gap_target_ms":250},{"name":"reply","host":%q,"path_prefix":"/reply/","kind":"streaming","timeout_ms":15000,"target_latency_ms":500,"priority":1,"backends":[{"service":"pool","weight":100}],"max_attempts":1,"public":false,"sticky":true,"resumable":false,"gap_target_ms":250}],"services":[{"name":"pool","max_connections":290,"health_path":"/health","engine":{"slots":48,"kv_capacity":70000,"models":[{"name":%q}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"school","api_keys":[%q],"priority":1,"isolated":false}]}`,
		host, host, model, key))
	f.store.Put(mtstore.Weights, model, fmt.Sprintf(`{"model":%q,"version":1}`, model))
	var engines []*engine
	for i := range engineCount {
		e, err := f.newEngine(fmt.Sprintf("i-%d", i), "pool", model, f.ip(2, i+1)+":8785")
		if err != nil {
			return false, err
		}
		e.list("ready")
		engines = append(engines, e)
		if _, err := f.start(fmt.Sprintf("side-%d", i), "sidecar", f.ip(2, i+1), e.address, "pool"); err != nil {
			return false, err
		}
	}
	var entries []*process
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for i := range entryCount {
		p, err := f.start(fmt.Sprintf("front-%d", i), "entry", f.ip(4, i+1), "", "")
		if err != nil {
			return false, err
		}
		entries = append(entries, p)
	}
	for i := range entryCount {
		if err := awaitReady(ctx, f.ip(4, i+1)); err != nil {
			return false, err
		}
	}
	var mu sync.Mutex
	var all []sent
	var wait sync.WaitGroup
	const lasts = rounds * (steady + entryCount*gap + grace)
	stop := time.Now().Add(lasts)
	f.balancer = newBalancer(f.ip(4, 1), f.ip(4, 2), f.ip(4, 3), f.ip(4, 4))
	go f.balancer.run(f)
	others := newCallers(f, f.balancer.ips)
	wait.Add(1)
	go func() {
		defer wait.Done()
		others.flood("/dossier/", dossiers, 13, lasts, 6*time.Second)
	}()
	for n := range connections {
		wait.Add(1)
		go func() {
			defer wait.Done()
			// Their first requests come spread over one answer's time.
			time.Sleep(time.Duration(n) * 20 * time.Millisecond)
			f.converse(n, stop, func(s sent) {
				mu.Lock()
				defer mu.Unlock()
				all = append(all, s)
			})
		}()
	}
	var terms []term
	for range rounds {
		time.Sleep(steady)
		if !trouble {
			continue
		}
		stopped, err := f.roll(entries)
		if err != nil {
			return false, err
		}
		terms = append(terms, stopped...)
	}
	time.Sleep(time.Until(stop))
	wait.Wait()
	others.wait.Wait()
	return f.judgeStop(engines, all, terms)
}

// roll stops all entries, one each gap, and starts each again when it has ended.
func (f *fleet) roll(entries []*process) ([]term, error) {
	var terms []term
	failures := make(chan error, len(entries))
	for i := range entries {
		terms = append(terms, term{entry: i, at: time.Now()})
		go func() { failures <- f.restart(entries, i) }()
		time.Sleep(gap)
	}
	for range entries {
		if err := <-failures; err != nil {
			return nil, err
		}
	}
	return terms, nil
}

// restart stops an entry and starts it again.
func (f *fleet) restart(entries []*process, which int) error {
	old, began := entries[which], time.Now()
	f.record.say("SIGTERM to %s", old.name)
	if err := old.child.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-old.done:
	case <-time.After(grace):
		f.record.say("SIGKILL to %s, %v after SIGTERM", old.name, grace)
		_ = old.child.Process.Kill()
		<-old.done
	}
	f.record.say("%s has ended %.2f s after SIGTERM", old.name, time.Since(began).Seconds())
	time.Sleep(restartTime)
	var err error
	entries[which], err = f.start(old.name, "entry", f.ip(4, which+1), "", "")
	return err
}

// converse asks for one stream after another, callers of even numbers on one connection as long as
// it is open, and lets
// the balancer choose the entry of the next.
func (f *fleet) converse(n int, stop time.Time, note func(sent)) {
	draw := rand.New(rand.NewPCG(7, uint64(n)))
	count := 0
	for time.Now().Before(stop) {
		entry := f.balancer.pick(n + count)
		conn, err := net.DialTimeout("tcp", f.ip(4, entry+1)+":8782", time.Second)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		reader := bufio.NewReader(conn)
		for time.Now().Before(stop) {
			s := sent{id: fmt.Sprintf("reply%02d-%03d", n, count), entry: entry, tokens: length(draw), at: time.Now()}
			count++
			again := f.askOn(conn, reader, &s)
			note(s)
			if !again || n%2 == 1 {
				break
			}
		}
		_ = conn.Close()
	}
}

// askOn sends one request and reads its answer. It reports whether the connection may carry
// another.
func (f *fleet) askOn(conn net.Conn, reader *bufio.Reader, s *sent) bool {
	body := "body of " + s.id
	request, err := http.NewRequest(http.MethodPost, "http://"+host+"/reply/"+s.id, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Header.Set("Mustardtide-Attempt-Id", s.id)
	request.Header.Set("Mustardtide-Deadline-Ms", fmt.Sprint(replyWait.Milliseconds()))
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Mustardtide-Model", model)
	request.Header.Set("Mustardtide-Token-Count", fmt.Sprintf("826,%d", s.tokens))
	request.Header.Set("Mustardtide-Prompt-Prefix", fmt.Sprintf("aa:198,%x:628", s.id))
	_ = conn.SetDeadline(s.at.Add(replyWait))
	f.record.say("caller sends %s (%d tokens) to front-%d", s.id, s.tokens, s.entry)
	var response *http.Response
	if err = request.Write(conn); err == nil {
		response, err = http.ReadResponse(reader, request)
	}
	again := false
	var pause float64
	if err == nil {
		s.status = response.StatusCode
		var got []byte
		got, err = io.ReadAll(response.Body)
		s.complete = err == nil && strings.Contains(string(got), fmt.Sprintf("id: %d\n", s.tokens))
		again = err == nil && !response.Close
		pause, _ = strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	}
	s.err, s.over = err, time.Now()
	f.record.say("caller gets %s: status %d, complete %v, error %v", s.id, s.status, s.complete, err)
	time.Sleep(max(time.Duration(pause*float64(time.Second)), 20*time.Millisecond))
	return again
}

// judgeStop applies the rule to requests that were sent later than 3 s after the SIGTERM of their
// entry and ended within 1 s after the grace time: one that was passed on to an engine must get its
// whole answer.
func (f *fleet) judgeStop(engines []*engine, all []sent, terms []term) (bool, error) {
	ran := map[string]bool{}
	for _, e := range engines {
		for _, r := range e.runs {
			ran[r.id] = true
		}
	}
	lost, whole := 0, 0
	for _, s := range all {
		if s.complete {
			whole++
			continue
		}
		for _, t := range terms {
			late := s.at.After(t.at.Add(noticed)) && s.over.Before(t.at.Add(grace+time.Second))
			if s.entry == t.entry && late && ran[s.id] && s.over.Before(s.at.Add(replyWait)) {
				lost++
				f.record.say("LOST broken: %s of %d tokens was sent to front-%d %.2f s after its SIGTERM, passed on, and ended %.2f s after it: status %d, %v",
					s.id, s.tokens, s.entry, s.at.Sub(t.at).Seconds(), s.over.Sub(t.at).Seconds(), s.status, s.err)
			}
		}
	}
	f.record.say("sent %d, whole %d, lost %d", len(all), whole, lost)
	fmt.Printf("sent %d, whole %d, lost %d\n", len(all), whole, lost)
	if whole == 0 {
		return false, fmt.Errorf("nothing was served")
	}
	return lost > 0, nil
}

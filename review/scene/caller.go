//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// host is that of all routes, key the one of the account school.
const (
	host = "fleet.example"
	key  = "key-of-school"
	// Prompts have a part that all of a route share, and one of their own.
	sharedTokens = 6300
	ownTokens    = 2890
)

// answer is what a caller got.
type answer struct {
	id, path string
	sent     time.Time
	status   int
	seal     string
	body     string
	err      error
}

// callers send requests to the entries in turn.
type callers struct {
	fleet *fleet
	ips   []string
	http  *http.Client
	// model is the one that they ask.
	model string

	mu      sync.Mutex
	answers []answer
	wait    sync.WaitGroup
}

func newCallers(f *fleet, ips []string) *callers {
	return &callers{fleet: f, ips: ips, model: model, http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// flood sends so many requests a second to a path for a time, at random moments.
func (c *callers) flood(path string, perSecond, tokens int, lasts, deadline time.Duration) {
	arrivals := rand.New(rand.NewPCG(1, 1))
	over := time.After(lasts)
	for n := 0; ; n++ {
		select {
		case <-over:
			return
		case <-time.After(time.Duration(arrivals.ExpFloat64() * float64(time.Second) / float64(perSecond))):
		}
		c.wait.Add(1)
		go func() {
			defer c.wait.Done()
			c.ask(c.entry(n), fmt.Sprintf("%s%05d", strings.Trim(path, "/"), n), fmt.Sprintf("%s%d", path, n), tokens, deadline)
		}()
	}
}

// entry is the one that gets a new connection.
func (c *callers) entry(n int) string {
	if c.fleet.balancer != nil {
		return c.ips[c.fleet.balancer.pick(n)]
	}
	return c.ips[n%len(c.ips)]
}

// ask sends one request, of tokens for a model engine, and notes its answer.
func (c *callers) ask(ip, id, path string, tokens int, deadline time.Duration) {
	c.send(ip, id, path, "body of "+id, fmt.Sprintf("%d,%d", sharedTokens+ownTokens, tokens), fmt.Sprintf("%x:%d,%x:%d", path[:3], sharedTokens, id, ownTokens), deadline)
}

// send sends one request and notes its answer.
func (c *callers) send(ip, id, path, body, tokens, parts string, deadline time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	a := answer{id: id, path: path, sent: time.Now()}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+ip+":8782"+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Host = host
	request.Header.Set("Mustardtide-Attempt-Id", id)
	request.Header.Set("Mustardtide-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Mustardtide-Model", c.model)
	request.Header.Set("Mustardtide-Token-Count", tokens)
	request.Header.Set("Mustardtide-Prompt-Prefix", parts)
	c.fleet.record.say("caller sends %s %s to %s", id, path, ip)
	response, err := c.http.Do(request)
	if err == nil {
		a.status, a.seal = response.StatusCode, response.Header.Get("Mustardtide-Response-Seal")
		var got []byte
		got, err = io.ReadAll(response.Body)
		a.body = string(got)
		_ = response.Body.Close()
	}
	a.err = err
	c.fleet.record.say("caller gets %s: status %d, seal %q, error %v", id, a.status, a.seal, err)
	c.mu.Lock()
	c.answers = append(c.answers, a)
	c.mu.Unlock()
}

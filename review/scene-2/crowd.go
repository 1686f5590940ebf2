package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the case "crowd". The burst is the largest of the site file.
const (
	crowdMemory = 134
	crowdUsual  = 230
	crowdBurst  = 1.7
	// crowdHead is the size of a request's head; the configuration allows 16,384 bytes.
	crowdHead = 15_600
)

// shortHead returns header fields with short names up to a size in bytes.
func shortHead(size int) string {
	const digits = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		b.WriteString(string([]byte{'x', digits[i/36%36], digits[i%36], digits[i/1296%36]}) + ":1\r\n")
	}
	return b.String()
}

// residentMB is what the process holds, by the kernel's count.
func residentMB(pid int) int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(text), "\n") {
		var kb int
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kb); err == nil {
			return kb / 1024
		}
	}
	return 0
}

// guardMemory kills the process when it exceeds its memory, as the platform does, and returns what it
// held at most.
func (s *stage) guardMemory(p *process, over <-chan struct{}) (most int, killed bool) {
	pid := p.cmd.Process.Pid
	for {
		select {
		case <-over:
			return most, false
		case <-time.After(5 * time.Millisecond):
		}
		held := residentMB(pid)
		most = max(most, held)
		if held > p.memory {
			s.note("%s holds %d MB of %d MB and is killed", p.name, held, p.memory)
			p.signal(syscall.SIGKILL)
			return most, true
		}
	}
}

// crowd lets many clients send requests whose heads have many short fields, within the configured limit.
func crowd(s *stage, trouble bool) string {
	s.store.put("config", "main", catalog(7, tenant("sese", "key-sese", false)))
	s.store.put("versions", model, map[string]any{"model": model, "version": 1})
	for i := 1; i <= 3; i++ {
		ip := fmt.Sprintf("%s.%d", s.net, 10+i)
		e := s.addEngine(fmt.Sprintf("i-llm%d", i), "llm", model, ip, 128)
		e.work = 4 * time.Second
		s.addProcess(fmt.Sprintf("side-%d", i), "sidecar", ip, e.address, 216)
	}
	for i := 1; i <= 3; i++ {
		s.addEngine(fmt.Sprintf("i-app%d", i), "app", "", fmt.Sprintf("%s.%d", s.net, 20+i), 200)
	}
	entry := s.addProcess("front-1", "entry", s.net+".1", "", crowdMemory)
	s.awaitReady(entry, 15*time.Second)
	time.Sleep(3500 * time.Millisecond)
	s.note("%s holds %d MB before the clients come", entry.name, residentMB(entry.cmd.Process.Pid))
	count := crowdUsual
	if trouble {
		count = int(crowdUsual * crowdBurst)
	}
	head := shortHead(crowdHead)
	var mu sync.Mutex
	answered := 0
	var unanswered []string
	var clients sync.WaitGroup
	open := make(chan *client, count)
	for i := range count {
		go func() { open <- s.connect(entry, fmt.Sprintf("first-%d", i)) }()
	}
	var kept []*client
	for range count {
		if c := <-open; c != nil {
			kept = append(kept, c)
		}
	}
	s.note("%d of %d clients have a connection that has carried a request", len(kept), count)
	for i, c := range kept {
		clients.Add(1)
		go func() {
			defer clients.Done()
			defer c.conn.Close()
			id := fmt.Sprintf("query-%d", i)
			status := s.askOver(c, id, head)
			mu.Lock()
			defer mu.Unlock()
			if status > 0 {
				answered++
			} else {
				unanswered = append(unanswered, id)
			}
		}()
	}
	over := make(chan struct{})
	go func() { clients.Wait(); close(over) }()
	most, killed := s.guardMemory(entry, over)
	clients.Wait()
	lost := 0
	for _, id := range unanswered {
		lost += min(1, s.runsOf(id))
	}
	s.note("%d clients: %d answered, %d without an answer, %d of these passed on; %s held %d MB at most", len(kept), answered, len(unanswered), lost, entry.name, most)
	if killed && lost > 3 {
		return fmt.Sprintf("LOST: %s exceeded its %d MB and was killed; %d requests ended without an answer, %d of them had been passed on", entry.name, crowdMemory, len(unanswered), lost)
	}
	return ""
}

// client is a client with its connection.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// connect opens a connection and sends a small request on it; nil where that isn't answered.
func (s *stage) connect(p *process, id string) *client {
	conn, err := net.DialTimeout("tcp", p.front, time.Second)
	if err != nil {
		s.note("answer %s: %v", id, err)
		return nil
	}
	_ = conn.SetDeadline(time.Now().Add(15 * time.Second))
	c := &client{conn: conn, reader: bufio.NewReader(conn)}
	if s.exchange(c, id, fmt.Sprintf("POST /post/1 HTTP/1.1\r\nHost: post.example\r\nContent-Length: 0\r\nMustardtide-Attempt-Id: %s\r\nMustardtide-Deadline-Ms: 1500\r\nAuthorization: Bearer key-sese\r\n\r\n", id)) == 0 {
		conn.Close()
		return nil
	}
	return c
}

// askOver sends a streaming request on a kept connection and returns the status of its answer, 0 for none.
func (s *stage) askOver(c *client, id, head string) int {
	return s.exchange(c, id, fmt.Sprintf("POST /query/1 HTTP/1.1\r\nHost: query.example\r\nContent-Length: 6\r\nMustardtide-Attempt-Id: %s\r\nMustardtide-Model: %s\r\nMustardtide-Token-Count: 500,20\r\nMustardtide-Prompt-Prefix: 5c1e07a2:200,%s:300\r\nMustardtide-Deadline-Ms: 15000\r\nAuthorization: Bearer key-sese\r\n%s\r\nprompt", id, model, id, head))
}

// exchange sends a request and reads its answer to the end; it returns the status, 0 for no whole answer.
func (s *stage) exchange(c *client, id, request string) int {
	if _, err := io.WriteString(c.conn, request); err != nil {
		s.note("answer %s: %v", id, err)
		return 0
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		s.note("answer %s: %v", id, err)
		return 0
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		s.note("answer %s: %d, %v after %d bytes", id, response.StatusCode, err, len(body))
		return 0
	}
	s.note("answer %s: %d, %d bytes", id, response.StatusCode, len(body))
	return response.StatusCode
}

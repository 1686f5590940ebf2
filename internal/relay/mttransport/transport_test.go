package mttransport_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/relay/mttransport"
)

func client() *http.Client {
	return &http.Client{Transport: mttransport.New(func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	})}
}

// target answers each connection by a function, after the head of its first request.
func target(t *testing.T, answer func(conn *net.TCPConn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReaderSize(conn, 16)); err == nil {
					answer(conn.(*net.TCPConn))
				}
			}()
		}
	}()
	return "http://" + listener.Addr().String()
}

// read sends a request and reads its response to the end.
func read(c *http.Client, method, url string, body []byte) (string, error) {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	response, err := c.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return string(text), err
}

const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"

// Failure: the store, a service or another process sends what is no response, and its caller takes it
// for one.
func TestInvalidResponses(t *testing.T) {
	for name, text := range map[string]string{
		"000":                   "HTTP/1.1 000 Broken\r\nContent-Length: 2\r\n\r\n{}",
		"099, another behind":   "HTTP/1.1 099 Broken\r\n\r\n" + whole,
		"101, another behind":   "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n" + whole,
		"600":                   "HTTP/1.1 600 Odd\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/3.7":              "HTTP/3.7 200 OK\r\nContent-Length: 2\r\n\r\n{}",
		"a blank in a name":     "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\n{}",
		"a blank in a length":   "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}more",
		"HTTP/1.0, chunked":     "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
		"a trailer":             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX Odd: 1\r\n\r\n",
		"the head ends early":   "HTTP/1.1 200 OK\r\nContent-Len",
		"the status line alone": "HTTP/1.1 200 OK\r\n",
		"no empty line":         "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
		"half an empty line":    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r",
		"no last chunk":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n",
		"a last chunk's half":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n",
		"short of its length":   "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}",
	} {
		t.Run(name, func(t *testing.T) {
			url := target(t, func(conn *net.TCPConn) { _, _ = io.WriteString(conn, text) })
			_, err := read(client(), http.MethodGet, url, nil)
			NewWithT(t).Expect(err).To(HaveOccurred())
		})
	}
}

// Failure: a response without a length is reset while the request is being written, and its part
// counts as whole. Guards against the same where the connection ends in order.
func TestResponsesBesideUploads(t *testing.T) {
	g := NewWithT(t)
	part := func(end func(conn *net.TCPConn)) string {
		return target(t, func(conn *net.TCPConn) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n{}")
			end(conn)
		})
	}
	reset := part(func(conn *net.TCPConn) { _ = conn.SetLinger(0) })
	inOrder := part(func(conn *net.TCPConn) {
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
	})
	for range 20 {
		_, err := read(client(), http.MethodPost, reset, make([]byte, 4<<20))
		g.Expect(err).To(HaveOccurred())
		g.Expect(read(client(), http.MethodPost, inOrder, make([]byte, 4<<20))).To(Equal("{}"))
	}
}

// Sound responses come whole, and their connection carries the next request; interim ones are skipped.
func TestConnectionsAreKept(t *testing.T) {
	g := NewWithT(t)
	var conns atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusEarlyHints)
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			conns.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	c := client()
	for _, body := range []string{"a", strings.Repeat("b", 100_000), ""} {
		g.Expect(read(c, http.MethodPut, server.URL, []byte(body))).To(Equal(body))
		response, err := c.Get(server.URL)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.Body.Close()).To(Succeed())
	}
	g.Expect(conns.Load()).To(BeNumerically("<=", 2), "a long request may still be counted as being written")
	c.CloseIdleConnections()
}

// Failure: the target closes a kept connection as the next request comes, and a request that may run
// once is sent again, or one that changes nothing is not.
func TestClosedConnections(t *testing.T) {
	for method, sent := range map[string]int64{http.MethodGet: 3, http.MethodPost: 2} {
		t.Run(method, func(t *testing.T) {
			g := NewWithT(t)
			var requests atomic.Int64
			url := target(t, func(conn *net.TCPConn) {
				first := requests.Add(1) == 1
				_, _ = io.WriteString(conn, whole)
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil && first {
					requests.Add(1)
				}
			})
			c := client()
			g.Expect(read(c, method, url, nil)).To(Equal("{}"))
			_, err := read(c, method, url, nil)
			g.Expect(err == nil).To(Equal(method == http.MethodGet))
			g.Expect(requests.Load()).To(Equal(sent))
		})
	}
}

// A caller's context ends an exchange before the head and within the body, with its own error.
func TestContextEndsTheExchange(t *testing.T) {
	for name, text := range map[string]string{"head": "HTTP/1.1", "body": "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			ended := make(chan error, 1)
			url := target(t, func(conn *net.TCPConn) {
				_, _ = io.WriteString(conn, text)
				_, err := io.Copy(io.Discard, conn)
				ended <- err
			})
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
			g.Expect(err).NotTo(HaveOccurred())
			response, err := client().Do(request)
			if err == nil {
				_, err = io.ReadAll(response.Body)
				response.Body.Close()
			}
			g.Expect(err).To(MatchError(context.DeadlineExceeded))
			g.Eventually(ended).Should(Receive())
		})
	}
}

package mtlink_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/relay/mtlink"
)

// target is a listener whose connections a test answers byte by byte.
type target struct {
	g        Gomega
	listener net.Listener
	dials    int
	pool     *mtlink.Pool
	// scripts are the answers on one connection after another, in their order.
	scripts chan []string
}

// hang ends an exchange that would wait for ever.
const hang = 20 * time.Second

func newTarget(t *testing.T) *target {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { listener.Close() })
	o := &target{g: g, listener: listener, scripts: make(chan []string, 8)}
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}
	o.pool = mtlink.NewPool(dial, func() { o.dials++ })
	return o
}

func (o *target) address() string { return o.listener.Addr().String() }

// accept takes the next connection and answers each request with the next text.
// Connections are taken in the order of the calls.
func (o *target) accept(answers ...string) {
	o.scripts <- answers
	go func() {
		conn, err := o.listener.Accept()
		if err != nil {
			return
		}
		o.answer(conn, <-o.scripts)
	}()
}

func (o *target) answer(conn net.Conn, answers []string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for _, answer := range answers {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, answer)
	}
	// What is left of the connection's life is the caller's to end.
	_, _ = io.Copy(io.Discard, reader)
}

// exchange sends one request and reads its answer to the end.
func (o *target) exchange(id string) (string, error) {
	link, err := o.pool.Take(context.Background(), o.address())
	o.g.Expect(err).NotTo(HaveOccurred())
	defer time.AfterFunc(hang, link.Close).Stop()
	if err := link.Send(http.MethodGet, "/", "h", http.Header{"Id": {id}}, nil); err != nil {
		link.Close()
		return "", err
	}
	response, err := link.Receive(http.MethodGet, func(r *http.Response) bool { return r.Header.Get("Id") == id })
	if err != nil {
		link.Close()
		return "", err
	}
	body, err := io.ReadAll(response.Body)
	link.Release(0)
	return string(body), err
}

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 3\r\n\r\n" + body
}

// Two requests share a connection.
func TestConnectionIsKept(t *testing.T) {
	o := newTarget(t)
	o.accept(answer("1", "one"), answer("2", "two"))
	o.g.Expect(o.exchange("1")).To(Equal("one"))
	o.g.Expect(o.exchange("2")).To(Equal("two"))
	o.g.Expect(o.dials).To(Equal(1))
}

// A target sends a second answer to an earlier request where the next is
// expected: it belongs to nobody, and the caller gets its own.
func TestStrayAnswerIsSkipped(t *testing.T) {
	o := newTarget(t)
	o.accept(answer("1", "one"), answer("1", "one")+answer("2", "two"))
	o.g.Expect(o.exchange("1")).To(Equal("one"))
	o.g.Expect(o.exchange("2")).To(Equal("two"))
}

// Bytes after an answer belong to no request: the connection carries no other.
func TestBytesThatNobodyAskedFor(t *testing.T) {
	o := newTarget(t)
	o.accept(answer("1", "one")+"HTTP/1.1 200 OK\r\n", answer("2", "bad"))
	o.accept(answer("2", "two"))
	o.g.Expect(o.exchange("1")).To(Equal("one"))
	o.g.Eventually(func() (string, error) { return o.exchange("2") }).Should(Equal("two"))
	o.g.Expect(o.dials).To(Equal(2))
}

// A target closes an idle connection: the next request goes over a new one and
// is not lost.
func TestIdleConnectionIsClosed(t *testing.T) {
	o := newTarget(t)
	closed := make(chan struct{})
	go func() {
		conn, err := o.listener.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.WriteString(conn, answer("1", "one"))
		}
		conn.Close()
		close(closed)
	}()
	o.g.Expect(o.exchange("1")).To(Equal("one"))
	<-closed
	time.Sleep(10 * time.Millisecond)
	o.accept(answer("2", "two"))
	o.g.Expect(o.exchange("2")).To(Equal("two"))
}

// Answers without a length end with their connection, which is not kept; one
// that was cut short of its length is an error.
func TestFrames(t *testing.T) {
	o := newTarget(t)
	go func() {
		for _, text := range []string{"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall", "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 9\r\n\r\nhalf"} {
			conn, err := o.listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, text)
			}
			conn.Close()
		}
	}()
	o.g.Expect(o.exchange("1")).To(Equal("all"))
	_, err := o.exchange("2")
	o.g.Expect(err).To(HaveOccurred())
	o.g.Expect(o.dials).To(Equal(2))
}

// A target answers before it has read a long body and keeps the connection: what
// it reads later must be the rest of that body, so nothing else is sent on it.
func TestEarlyAnswer(t *testing.T) {
	o := newTarget(t)
	go func() {
		conn, err := o.listener.Accept()
		if err != nil {
			return
		}
		_, _ = bufio.NewReaderSize(conn, 16).ReadString('\n')
		_, _ = io.WriteString(conn, answer("1", "one"))
		time.Sleep(time.Second)
		conn.Close()
	}()
	link, err := o.pool.Take(context.Background(), o.address())
	o.g.Expect(err).NotTo(HaveOccurred())
	body := []byte(strings.Repeat("x", 32<<20))
	o.g.Expect(link.Send(http.MethodPost, "/", "h", http.Header{}, body)).To(Succeed())
	response, err := link.Receive(http.MethodPost, func(*http.Response) bool { return true })
	o.g.Expect(err).NotTo(HaveOccurred())
	_, err = io.ReadAll(response.Body)
	o.g.Expect(err).NotTo(HaveOccurred())
	link.Release(0)
	o.accept(answer("2", "two"))
	o.g.Expect(o.exchange("2")).To(Equal("two"))
	o.g.Expect(o.dials).To(Equal(2))
}

// Nobody listens: nothing was sent.
func TestUnreached(t *testing.T) {
	o := newTarget(t)
	address := o.address()
	o.listener.Close()
	_, err := o.pool.Take(context.Background(), address)
	o.g.Expect(err).To(HaveOccurred())
}

// A caller leaves while its request lies unread at a frozen target: the
// connection ends with a reset, so that the target does not run the request
// when it wakes. One whose answer was read whole ends as usual.
func TestAbandonedRequestIsReset(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		end    error
	}{
		"unread":   {"", syscall.ECONNRESET},
		"answered": {answer("1", "one"), nil},
	} {
		t.Run(name, func(t *testing.T) {
			o := newTarget(t)
			left, ends := make(chan struct{}), make(chan error, 1)
			go func() {
				conn, err := o.listener.Accept()
				if err != nil {
					ends <- err
					return
				}
				defer conn.Close()
				if c.answer != "" {
					// An empty write would take the reset off a connection that has ended
					// already.
					_, _ = io.WriteString(conn, c.answer)
				}
				<-left
				_, err = io.Copy(io.Discard, conn)
				ends <- err
			}()
			link, err := o.pool.Take(context.Background(), o.address())
			o.g.Expect(err).NotTo(HaveOccurred())
			o.g.Expect(link.Send(http.MethodGet, "/", "h", http.Header{"Id": {"1"}}, nil)).To(Succeed())
			if c.answer != "" {
				response, err := link.Receive(http.MethodGet, func(*http.Response) bool { return true })
				o.g.Expect(err).NotTo(HaveOccurred())
				o.g.Expect(io.ReadAll(response.Body)).To(BeEquivalentTo("one"))
				link.Release(0)
			}
			link.Close()
			close(left)
			if c.end == nil {
				o.g.Expect(<-ends).NotTo(HaveOccurred())
			} else {
				o.g.Expect(<-ends).To(MatchError(c.end))
			}
		})
	}
}

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

// target is a listener whose connections are answered with scripted bytes.
type target struct {
	g        Gomega
	listener net.Listener
	dials    int
	pool     *mtlink.Pool
	// scripts holds the responses of each connection, in order of acceptance.
	scripts chan []string
}

// exchangeTimeout ends an exchange that would otherwise block forever.
const exchangeTimeout = 20 * time.Second

func newTarget(t *testing.T) *target {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { listener.Close() })
	o := &target{g: g, listener: listener, scripts: make(chan []string, 8)}
	o.pool = mtlink.NewPool(dialTCP, func() { o.dials++ })
	return o
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

func (o *target) address() string { return o.listener.Addr().String() }

// accept accepts the next connection and answers each request with the next text.
// Connections are accepted in the order of the calls.
func (o *target) accept(responses ...string) {
	o.scripts <- responses
	go func() {
		conn, err := o.listener.Accept()
		if err != nil {
			return
		}
		o.serve(conn, <-o.scripts)
	}()
}

func (o *target) serve(conn net.Conn, responses []string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for _, response := range responses {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, response)
	}
	// Keeps the connection open until the caller closes it.
	_, _ = io.Copy(io.Discard, reader)
}

// exchange sends one request and reads its response to the end.
func (o *target) exchange(id string) (string, error) {
	link, err := o.pool.Take(context.Background(), o.address())
	o.g.Expect(err).NotTo(HaveOccurred())
	defer time.AfterFunc(exchangeTimeout, link.Close).Stop()
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

func okResponse(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 3\r\n\r\n" + body
}

// Two successive requests use the same connection.
func TestConnectionIsReused(t *testing.T) {
	o := newTarget(t)
	o.accept(okResponse("1", "one"), okResponse("2", "two"))
	o.g.Expect(o.exchange("1")).To(Equal("one"))
	o.g.Expect(o.exchange("2")).To(Equal("two"))
	o.g.Expect(o.dials).To(Equal(1))
}

// A target sends a second response to an earlier request where the next one is expected:
// it is skipped, and the caller gets the response to its own request.
func TestStrayResponseIsSkipped(t *testing.T) {
	o := newTarget(t)
	o.accept(okResponse("1", "one"), okResponse("1", "one")+okResponse("2", "two"))
	o.g.Expect(o.exchange("1")).To(Equal("one"))
	o.g.Expect(o.exchange("2")).To(Equal("two"))
}

// Bytes after a response belong to no request: the connection is not used for another.
func TestUnsolicitedBytesCloseConnection(t *testing.T) {
	o := newTarget(t)
	o.accept(okResponse("1", "one")+"HTTP/1.1 200 OK\r\n", okResponse("2", "bad"))
	o.accept(okResponse("2", "two"))
	o.g.Expect(o.exchange("1")).To(Equal("one"))
	o.g.Eventually(func() (string, error) { return o.exchange("2") }).Should(Equal("two"))
	o.g.Expect(o.dials).To(Equal(2))
}

// A target closes an idle connection: the next request uses a new one and is not lost.
func TestIdleConnectionClosedByTarget(t *testing.T) {
	o := newTarget(t)
	targetClosed := make(chan struct{})
	go func() {
		conn, err := o.listener.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.WriteString(conn, okResponse("1", "one"))
		}
		conn.Close()
		close(targetClosed)
	}()
	o.g.Expect(o.exchange("1")).To(Equal("one"))
	<-targetClosed
	time.Sleep(10 * time.Millisecond)
	o.accept(okResponse("2", "two"))
	o.g.Expect(o.exchange("2")).To(Equal("two"))
}

// Responses without a length end with their connection, which is not kept; a response
// shorter than its length is an error.
func TestResponseFraming(t *testing.T) {
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

// A target responds before it has read a long body and keeps the connection: it must next
// read the rest of that body, so no other request is sent on the connection.
func TestResponseBeforeBodyIsRead(t *testing.T) {
	o := newTarget(t)
	go func() {
		conn, err := o.listener.Accept()
		if err != nil {
			return
		}
		_, _ = bufio.NewReaderSize(conn, 16).ReadString('\n')
		_, _ = io.WriteString(conn, okResponse("1", "one"))
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
	o.accept(okResponse("2", "two"))
	o.g.Expect(o.exchange("2")).To(Equal("two"))
	o.g.Expect(o.dials).To(Equal(2))
}

// No listener at the address: Take returns an error, and nothing was sent.
func TestUnreachableTarget(t *testing.T) {
	o := newTarget(t)
	address := o.address()
	o.listener.Close()
	_, err := o.pool.Take(context.Background(), address)
	o.g.Expect(err).To(HaveOccurred())
}

// A caller gives up while its request is unread at a suspended target: the connection is
// reset, so that the target does not run the request on resuming. A connection whose
// response was read completely closes normally.
func TestAbandonedRequestIsReset(t *testing.T) {
	for name, c := range map[string]struct {
		response string
		wantErr  error
	}{
		"unread":   {"", syscall.ECONNRESET},
		"answered": {okResponse("1", "one"), nil},
	} {
		t.Run(name, func(t *testing.T) {
			o := newTarget(t)
			abandoned, readErr := make(chan struct{}), make(chan error, 1)
			go func() {
				conn, err := o.listener.Accept()
				if err != nil {
					readErr <- err
					return
				}
				defer conn.Close()
				if c.response != "" {
					// An empty write would consume the reset of a connection that has already
					// ended.
					_, _ = io.WriteString(conn, c.response)
				}
				<-abandoned
				_, err = io.Copy(io.Discard, conn)
				readErr <- err
			}()
			link, err := o.pool.Take(context.Background(), o.address())
			o.g.Expect(err).NotTo(HaveOccurred())
			o.g.Expect(link.Send(http.MethodGet, "/", "h", http.Header{"Id": {"1"}}, nil)).To(Succeed())
			if c.response != "" {
				response, err := link.Receive(http.MethodGet, func(*http.Response) bool { return true })
				o.g.Expect(err).NotTo(HaveOccurred())
				o.g.Expect(io.ReadAll(response.Body)).To(BeEquivalentTo("one"))
				link.Release(0)
			}
			link.Close()
			close(abandoned)
			if c.wantErr == nil {
				o.g.Expect(<-readErr).NotTo(HaveOccurred())
			} else {
				o.g.Expect(<-readErr).To(MatchError(c.wantErr))
			}
		})
	}
}

// Failure: a target sends heads without end, and they are read into memory. All that is read
// before the response to a request counts together.
func TestHeadsAreLimited(t *testing.T) {
	stray := func(filler int) string {
		return "HTTP/1.1 200 OK\r\nId: 0\r\nX-Filler: " + strings.Repeat("a", filler) + "\r\nContent-Length: 3\r\n\r\nold"
	}
	interim := "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	for name, c := range map[string]struct {
		response string
		limited  bool
	}{
		"a long head":           {"HTTP/1.1 200 OK\r\nX-Filler: " + strings.Repeat("a", 60<<10) + "\r\nId: 1\r\nContent-Length: 3\r\n\r\none", false},
		"a head that is longer": {"HTTP/1.1 200 OK\r\nX-Filler: " + strings.Repeat("a", 64<<10) + "\r\nId: 1\r\nContent-Length: 3\r\n\r\none", true},
		"many lines":            {"HTTP/1.1 200 OK\r\n" + strings.Repeat("a: b\r\n", 500) + "Id: 1\r\nContent-Length: 3\r\n\r\none", false},
		"too many lines":        {"HTTP/1.1 200 OK\r\n" + strings.Repeat("a: b\r\n", 2000) + "Id: 1\r\nContent-Length: 3\r\n\r\none", true},
		"interim":               {strings.Repeat(interim, 1000) + okResponse("1", "one"), false},
		"too many interim":      {strings.Repeat(interim, 2000) + okResponse("1", "one"), true},
		"a stray":               {stray(40<<10) + okResponse("1", "one"), false},
		"two strays":            {stray(40<<10) + stray(40<<10) + okResponse("1", "one"), true},
	} {
		t.Run(name, func(t *testing.T) {
			o := newTarget(t)
			o.accept(c.response)
			body, err := o.exchange("1")
			if c.limited {
				o.g.Expect(err).To(MatchError(mtlink.ErrHead))
				return
			}
			o.g.Expect(body, err).To(Equal("one"))
		})
	}
}

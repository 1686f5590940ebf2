package mtlink

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

const (
	// apartSize is the size of a body from which on it is written beside the
	// reading of the answer: a target may answer before it has read a long body,
	// and a connection's windows are small.
	apartSize = 8 << 10
	// strays is how many answers to other requests are skipped on a connection
	// before it is given up.
	strays = 3
	// strayBody bounds the body of an answer that is skipped.
	strayBody = 1 << 20
	// bufferSize holds the head of an answer and most small answers whole.
	bufferSize = 4 << 10
)

// Link is one connection to a target. It carries one request at a time.
type Link struct {
	pool    *Pool
	address string
	conn    net.Conn
	reader  *bufio.Reader
	until   time.Time
	reused  bool

	closed atomic.Bool
	// open says that a request was begun whose answer was not read to its end.
	open atomic.Bool
	// written gets the outcome of a body that is written apart.
	written chan error
	body    *tracked
	keep    bool
}

// tracked notes whether a body was read to its end.
type tracked struct {
	io.ReadCloser
	whole bool
}

func (t *tracked) Read(p []byte) (int, error) {
	n, err := t.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		t.whole = true
	}
	return n, err
}

func newLink(pool *Pool, address string, conn net.Conn) *Link {
	return &Link{pool: pool, address: address, conn: conn, reader: bufio.NewReaderSize(conn, bufferSize)}
}

// Reused says that the connection carried a request before.
func (l *Link) Reused() bool { return l.reused }

// Send writes one request. A long body goes on in a goroutine that ends with
// the connection or the body; Release waits for it.
func (l *Link) Send(method, uri, host string, header http.Header, body []byte) error {
	l.open.Store(true)
	var head bytes.Buffer
	head.WriteString(method + " " + uri + " HTTP/1.1\r\nHost: " + host + "\r\n")
	if err := header.Write(&head); err != nil {
		return trace.Wrap(err)
	}
	if len(body) > 0 || method == http.MethodPost || method == http.MethodPut {
		head.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n")
	}
	head.WriteString("\r\n")
	if len(body) <= apartSize {
		head.Write(body)
		_, err := l.conn.Write(head.Bytes())
		return trace.Wrap(err)
	}
	l.written = make(chan error, 1)
	go func() {
		buffers := net.Buffers{head.Bytes(), body}
		_, err := buffers.WriteTo(l.conn)
		l.written <- err
	}()
	return nil
}

// Receive reads the head of the answer for which mine holds. A target may send
// a second answer to an earlier request, late, where the next is expected: it
// belongs to no request and is skipped.
func (l *Link) Receive(method string, mine func(*http.Response) bool) (*http.Response, error) {
	asked := &http.Request{Method: method}
	for range strays {
		response, err := l.head(asked)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if mine(response) {
			l.body = &tracked{ReadCloser: response.Body}
			response.Body = l.body
			l.keep = !response.Close && framed(response)
			return response, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, strayBody))
		if err != nil || n == strayBody || response.Close {
			break
		}
	}
	return nil, trace.BadParameter("%s sent an answer to another request", l.address)
}

// head reads the next head that is no interim answer.
func (l *Link) head(asked *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(l.reader, asked)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// framed says that the answer's end does not rest on the connection's.
func framed(r *http.Response) bool {
	return r.ContentLength >= 0 || len(r.TransferEncoding) > 0
}

// Release returns the connection to the pool if nothing is left on it, and
// closes it otherwise. idle is how long the target keeps it, 0 if not told.
func (l *Link) Release(idle time.Duration) {
	if l.body != nil && l.body.whole {
		l.open.Store(false)
	}
	if !l.whole() {
		l.Close()
		return
	}
	l.reused = true
	l.body = nil
	keep := idleTime
	if idle > 0 {
		keep = min(keep, time.Duration(float64(idle)*idleShare))
	}
	l.until = time.Now().Add(keep)
	if !l.pool.push(l) {
		l.Close()
	}
}

// whole says that the last request was written and its answer read to the end,
// and nothing more came.
func (l *Link) whole() bool {
	if l.closed.Load() || !l.keep || l.body == nil || !l.body.whole || l.reader.Buffered() > 0 {
		return false
	}
	if l.written == nil {
		return true
	}
	// An answer that came before the body was read: what the target reads later
	// must be the rest of that body, so the connection carries nothing else.
	select {
	case err := <-l.written:
		l.written = nil
		return err == nil
	default:
		return false
	}
}

// Close ends the connection; a request on it is cancelled at most targets. One
// whose answer is still open ends with a reset: a target that stood still, as
// on a frozen instance, would else find the request in its buffers when it
// wakes and run it for nobody.
func (l *Link) Close() {
	if !l.closed.CompareAndSwap(false, true) {
		return
	}
	if conn, ok := l.conn.(*net.TCPConn); ok && l.open.Load() {
		// Without it the connection ends as any other; nothing else depends on it.
		_ = conn.SetLinger(0)
	}
	l.conn.Close()
}

// usable says that an idle connection is neither closed by the target nor
// holds bytes that nobody asked for.
func (l *Link) usable() bool {
	if l.closed.Load() || time.Now().After(l.until) {
		return false
	}
	source, ok := l.conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, failure := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(failure, syscall.EAGAIN)
	})
	return err == nil && quiet
}

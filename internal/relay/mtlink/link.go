package mtlink

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"github.com/mustardtide/mustardtide/internal/relay/mthead"
)

const (
	// asyncWriteSize is the size above which a body is written concurrently with reading the
	// response: a target may respond before it has read a long body, and a connection's
	// windows are small.
	asyncWriteSize = 8 << 10
	// maxStrayResponses is the number of responses read on a connection, in search of the
	// expected one, before the connection is given up.
	maxStrayResponses = 3
	// maxStrayBody limits the body of a response that is skipped.
	maxStrayBody = 1 << 20
	// bufferSize fits the head of a response and most small responses entirely.
	bufferSize = 4 << 10
)

// Link is a connection to a target. It carries one request at a time.
type Link struct {
	pool    *Pool
	address string
	conn    net.Conn
	source  *source
	reader  *bufio.Reader
	expires time.Time
	reused  bool

	closed atomic.Bool
	// unfinished reports whether a request was started whose response has not been read to
	// its end.
	unfinished atomic.Bool
	// upload is the last request if it is written asynchronously.
	upload   *upload
	body     *trackedBody
	reusable bool
}

// trackedBody records whether a body was read to its end, and checks what follows it.
type trackedBody struct {
	io.ReadCloser
	response *http.Response
	source   *source
	complete bool
}

func (t *trackedBody) Read(p []byte) (int, error) {
	n, err := t.ReadCloser.Read(p)
	if n > 0 {
		t.source.progress()
	}
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if err := mthead.CheckTrailer(t.response.Trailer); err != nil {
		return n, trace.Wrap(err)
	}
	t.complete = true
	return n, io.EOF
}

func newLink(pool *Pool, address string, conn net.Conn) *Link {
	link := &Link{pool: pool, address: address, conn: conn}
	link.source = &source{conn: conn, ended: link.endOfStream}
	link.reader = bufio.NewReaderSize(link.source, bufferSize)
	return link
}

// Reused reports whether the connection has carried a request before.
func (l *Link) Reused() bool { return l.reused }

// Send writes one request, whose body is the pieces in their order. A long body is written by a goroutine that ends with the
// connection or the body; Release returns the connection to the pool only if that
// goroutine has ended.
func (l *Link) Send(method, uri, host string, header http.Header, body ...[]byte) error {
	l.unfinished.Store(true)
	l.upload, l.source.received = nil, false
	var head bytes.Buffer
	head.WriteString(method + " " + uri + " HTTP/1.1\r\nHost: " + host + "\r\n")
	if err := header.Write(&head); err != nil {
		return trace.Wrap(err)
	}
	size := 0
	for _, piece := range body {
		size += len(piece)
	}
	if size > 0 || method == http.MethodPost || method == http.MethodPut {
		head.WriteString("Content-Length: " + strconv.Itoa(size) + "\r\n")
	}
	head.WriteString("\r\n")
	if size <= asyncWriteSize {
		for _, piece := range body {
			head.Write(piece)
		}
		_, err := l.conn.Write(head.Bytes())
		return trace.Wrap(err)
	}
	// Writing consumes the list, which is needed again for another target.
	l.upload = beginUpload(l.conn, append(net.Buffers{head.Bytes()}, body...))
	return nil
}

// Written reports whether the request is not being written any more, so that its body is not in use.
func (l *Link) Written() bool {
	if l.upload == nil {
		return true
	}
	ended, _ := l.upload.ended()
	return ended
}

// Receive reads the head of the response for which matches returns true. A target may send
// a late second response to an earlier request where the next one is expected: it
// belongs to no request and is skipped. The heads of all responses that are read together are
// limited to maxHead; the error is ErrHead beyond.
func (l *Link) Receive(method string, matches func(*http.Response) bool) (*http.Response, error) {
	request := &http.Request{Method: method}
	l.source.left = maxHead
	for range maxStrayResponses {
		response, err := l.readHead(request)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if matches(response) {
			l.body = &trackedBody{ReadCloser: response.Body, response: response, source: l.source}
			response.Body = l.body
			l.reusable = !response.Close && selfDelimited(response)
			return response, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStrayBody))
		if err != nil || n == maxStrayBody || response.Close {
			break
		}
	}
	return nil, trace.BadParameter("%s sent a response to another request", l.address)
}

// readHead reads the next response head that is not an interim response. No head that fails the
// check of its bytes is returned.
func (l *Link) readHead(request *http.Request) (*http.Response, error) {
	// What is buffered is peeked without an error.
	buffered, _ := l.reader.Peek(l.reader.Buffered())
	l.source.beginHead(buffered)
	defer func() { l.source.endHead(l.reader.Buffered()) }()
	for {
		l.source.lines = 0
		response, err := http.ReadResponse(l.reader, request)
		if l.source.fault != nil {
			return nil, trace.Wrap(l.source.fault)
		}
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// selfDelimited reports whether the response's end does not depend on the connection's.
func selfDelimited(r *http.Response) bool {
	return r.ContentLength >= 0 || len(r.TransferEncoding) > 0
}

// Answered reports whether any byte has been received since the request was sent.
func (l *Link) Answered() bool { return l.source.received }

// Within lets what is read next of the response take at most a time, after which reading fails
// with os.ErrDeadlineExceeded. Release ends the limit.
func (l *Link) Within(d time.Duration) {
	// On an error the connection is closed, which the next read reports.
	_ = l.conn.SetReadDeadline(time.Now().Add(d))
}

// BoundFraming lets bytes of the response's body come for at most a span without any of its content.
// Release ends the bound.
func (l *Link) BoundFraming(span time.Duration) {
	l.source.progress()
	l.source.span = span
}

// Excess reports whether bytes were received after the whole response.
func (l *Link) Excess() bool {
	return l.body != nil && l.body.complete && l.reader.Buffered() > 0
}

// Release returns the connection to the pool if no data is left on it, and closes it
// otherwise. idle is how long the target keeps idle connections, 0 if unknown.
func (l *Link) Release(idle time.Duration) {
	if l.body != nil && l.body.complete && !l.Excess() {
		l.unfinished.Store(false)
	}
	if !l.finished() || l.conn.SetReadDeadline(time.Time{}) != nil {
		l.Close()
		return
	}
	l.reused = true
	l.BoundFraming(0)
	l.body = nil
	lifetime := l.pool.idleTime
	if idle > 0 {
		lifetime = min(lifetime, time.Duration(float64(idle)*idleShare))
	}
	l.expires = time.Now().Add(lifetime)
	if !l.pool.push(l) {
		l.Close()
	}
}

// finished reports whether the last request was written and its response read to the
// end, with no further bytes received.
func (l *Link) finished() bool {
	if l.closed.Load() || !l.reusable || l.body == nil || !l.body.complete || l.reader.Buffered() > 0 {
		return false
	}
	if l.upload == nil {
		return true
	}
	// The response arrived before the body was read: the target must next read the rest
	// of that body, so the connection can't carry another request.
	ended, err := l.upload.ended()
	return ended && err == nil
}

// Close closes the connection, which cancels its request at most targets. A connection
// with an unfinished response, or with bytes after it, is reset: a target that was suspended, as on a frozen
// instance, would otherwise find the request in its buffers on resuming and run it
// although no caller is left.
func (l *Link) Close() {
	if !l.closed.CompareAndSwap(false, true) {
		return
	}
	if conn, ok := l.conn.(interface{ SetLinger(seconds int) error }); ok && l.unfinished.Load() {
		// On an error the connection closes normally; nothing else depends on the reset.
		_ = conn.SetLinger(0)
	}
	l.conn.Close()
}

// usable reports whether an idle connection has not expired, was not closed by the target
// and holds no unsolicited bytes.
func (l *Link) usable() bool {
	if l.closed.Load() || time.Now().After(l.expires) {
		return false
	}
	source, ok := l.conn.(syscall.Conn)
	if !ok {
		return l.quiet()
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		n, _, recvErr := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(recvErr, syscall.EAGAIN)
		if n > 0 {
			l.unfinished.Store(true)
		}
	})
	return err == nil && quiet
}

// quiet reports the same of a connection without a socket of its own, such as one with TLS.
func (l *Link) quiet() bool {
	if l.conn.SetReadDeadline(time.Unix(1, 0)) != nil {
		return false
	}
	n, err := l.conn.Read(make([]byte, 1))
	if n > 0 {
		l.unfinished.Store(true)
	}
	return n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && l.conn.SetReadDeadline(time.Time{}) == nil
}

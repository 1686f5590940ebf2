package mtlink

import (
	"errors"
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// upload is a request that is written while its response is read.
type upload struct {
	done chan struct{}
	// err is how the writing ended, once done is closed.
	err error
}

// beginUpload writes buffers to a connection. The goroutine ends with the buffers or the connection,
// and reports its end on done.
func beginUpload(conn net.Conn, buffers net.Buffers) *upload {
	u := &upload{done: make(chan struct{})}
	go func() {
		_, u.err = buffers.WriteTo(conn)
		close(u.done)
	}()
	return u
}

// ended reports whether nothing more is written, and how the writing ended.
func (u *upload) ended() (bool, error) {
	select {
	case <-u.done:
		return true, u.err
	default:
		return false, nil
	}
}

// endOfStream tells the end of a connection from a failure that its reader was not told of, and returns
// io.EOF or the failure. A system reports a failure, a reset or a time-out, once, to the writer or to
// the reader; the other one meets an ordinary end. A target that ended its side in order and was reset
// by what it was still sent has sent its whole response: the writer gets EPIPE.
func (l *Link) endOfStream() error {
	if l.upload == nil {
		return io.EOF
	}
	ended, err := l.upload.ended()
	if !ended && disconnected(l.conn) {
		// A write to such a connection fails at once.
		<-l.upload.done
		err = l.upload.err
	}
	if err == nil || errors.Is(err, syscall.EPIPE) {
		return io.EOF
	}
	return err
}

// stateClose is that of a connection that has ended in both directions, TCP_CLOSE in Linux.
const stateClose = 7

// disconnected reports whether a connection has ended in both directions, so that no more is written
// to it; false if that is not known.
func disconnected(conn net.Conn) bool {
	source, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && info.State == stateClose
	})
	return err == nil && closed
}

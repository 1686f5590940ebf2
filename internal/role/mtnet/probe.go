package mtnet

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unacknowledged is how long sent bytes may stay without an acknowledgement:
	// a connection that something between has forgotten shows in no other way.
	// It spares two lost packets in a row, of a third of a second each.
	unacknowledged = 1500 * time.Millisecond
	// probeAfter, probeEvery and probes find a silent connection on which
	// nothing is being sent within 2.5 s.
	probeAfter = time.Second
	probeEvery = 500 * time.Millisecond
	probes     = 3
	// newBuffer and targetBuffer are the bytes that may wait unread on a connection that is not
	// accepted yet, and on one to a target.
	newBuffer    = 16 << 10
	targetBuffer = 16 << 10
	// sendBuffer is the bytes that may wait to be sent on such connections.
	sendBuffer = 64 << 10
	// queue is how many connections may wait to be accepted.
	queue = 512
)

// Probing is the instance's own network, on which dials are bounded and
// connections that went silent are found.
func Probing(bound time.Duration) *Net {
	dialer := &net.Dialer{Timeout: bound, KeepAliveConfig: probing(), Control: guard}
	narrow := *dialer
	narrow.Control = guardNarrow
	config := net.ListenConfig{KeepAliveConfig: probing(), Control: boundBuffers(newBuffer)}
	return &Net{
		listen: func(address string) (net.Listener, error) {
			return listen(config, address)
		},
		dial:   dialer.DialContext,
		narrow: narrow.DialContext,
	}
}

// listen opens a listener whose connections hold little until they are accepted. A longer queue of
// them is for a process that stands still for a moment.
func listen(config net.ListenConfig, address string) (net.Listener, error) {
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	raw, err := listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return nil, errors.Join(err, listener.Close())
	}
	// Where the system refuses, its own bound holds.
	err = raw.Control(func(fd uintptr) { _ = unix.Listen(int(fd), queue) })
	return listener, err
}

// Widen lets so many bytes wait unread on an accepted connection.
func Widen(conn net.Conn, size int) error {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var failure error
	err = raw.Control(func(fd uintptr) {
		failure = errors.Join(unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size),
			// The window of a connection that was accepted with a small buffer does not grow otherwise.
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, size))
	})
	return errors.Join(err, failure)
}

// boundBuffers sets a socket's receive and send buffers, which the connections of a listener inherit:
// the system's own grow to megabytes.
func boundBuffers(size int) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			// Where the system refuses, its own bound holds.
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size)
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBuffer)
		})
	}
}

// guardNarrow is guard for connections of which there may be one for each caller's.
func guardNarrow(network, address string, c syscall.RawConn) error {
	if err := guard(network, address, c); err != nil {
		return err
	}
	return boundBuffers(targetBuffer)(network, address, c)
}

func probing() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeAfter, Interval: probeEvery, Count: probes}
}

func guard(_, _ string, c syscall.RawConn) error {
	var failure error
	err := c.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}

package mtnet

import (
	"context"
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
)

// Probing is the instance's own network, on which dials are bounded and
// connections that went silent are found.
func Probing(bound time.Duration) *Net {
	dialer := &net.Dialer{Timeout: bound, KeepAliveConfig: probing(), Control: guard}
	config := net.ListenConfig{KeepAliveConfig: probing()}
	return &Net{
		listen: func(address string) (net.Listener, error) {
			return config.Listen(context.Background(), "tcp", address)
		},
		dial: dialer.DialContext,
	}
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

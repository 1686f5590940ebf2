package mtwire_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/standin/mtwire"
)

// Guards against connections that a closed listener never accepted and that stay open: their
// clients wait forever for an answer.
func TestClosedListenerClosesQueuedConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		wire := mtwire.New()
		listener, err := wire.Listen("10.0.0.1:80")
		g.Expect(err).NotTo(HaveOccurred())
		conn, err := wire.Dial(context.Background(), "tcp", "10.0.0.1:80")
		g.Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		g.Expect(conn.SetReadDeadline(time.Now().Add(time.Minute))).To(Succeed())
		g.Expect(listener.Close()).To(Succeed())
		_, err = conn.Read(make([]byte, 1))
		g.Expect(err).To(MatchError(io.EOF))
	})
}

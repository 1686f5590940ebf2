package mtserver_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/admission/mtconnection"
	"github.com/mustardtide/mustardtide/internal/role/mtserver"
)

// A connection that rests is closed, one whose request is under way is not, and
// its answer comes whole. A request that crosses the close is told to its
// handler as such.
func TestCloseResting(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	begun, on := make(chan struct{}), make(chan struct{})
	crossed := make(chan bool, 8)
	server := mtserver.NewDirect(listener, http.HandlerFunc(func(w http.ResponseWriter, in *http.Request) {
		if in.URL.Path == "/slow" {
			begun <- struct{}{}
			<-on
		}
		crossed <- mtserver.Closed(in.Context())
		_, _ = io.WriteString(w, "ok")
	}), mtconnection.New(mtconnection.Limits{}))
	ended := make(chan error, 1)
	go func() { ended <- server.Start(context.Background()) }()

	ask := func(conn net.Conn, path string) {
		_, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
		g.Expect(err).NotTo(HaveOccurred())
	}
	answer := func(conn net.Conn) error {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return err
		}
		_, err = io.ReadAll(response.Body)
		return err
	}
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", listener.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { conn.Close() })
		return conn
	}
	rests, busy := dial(), dial()
	ask(rests, "/")
	g.Expect(answer(rests)).To(Succeed())
	g.Expect(<-crossed).To(BeFalse())
	ask(busy, "/slow")
	<-begun
	// The answer's end is noted a little after its last byte.
	g.Eventually(func() error {
		server.CloseResting()
		_ = rests.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		_, err := rests.Read(make([]byte, 1))
		return err
	}).Should(MatchError(io.EOF))
	close(on)
	g.Expect(answer(busy)).To(Succeed())
	g.Expect(<-crossed).To(BeFalse())

	// Whatever the order in which close and request arrive, a request that is
	// begun either is answered or knows that it won't be.
	for range 300 {
		conn := dial()
		ask(conn, "/")
		g.Expect(answer(conn)).To(Succeed())
		<-crossed
		closing := make(chan struct{})
		go func() {
			server.CloseResting()
			close(closing)
		}()
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		failed := answer(conn)
		<-closing
		conn.Close()
		select {
		case known := <-crossed:
			g.Expect(known).To(Equal(failed != nil))
		case <-time.After(5 * time.Millisecond):
			g.Expect(failed).To(HaveOccurred())
		}
	}
	g.Expect(server.Stop(context.Background())).To(Succeed())
	g.Expect(<-ended).NotTo(HaveOccurred())
}

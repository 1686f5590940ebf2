package mtserver_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/admission/mtconnection"
	"github.com/mustardtide/mustardtide/internal/role/mtserver"
)

// Failure: a server cuts an answer short, and a caller that speaks HTTP/1.0 takes the
// connection's end for the answer's.
func TestAbortedAnswerDoesNotLookWhole(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	server := mtserver.NewDirect(listener, http.HandlerFunc(func(w http.ResponseWriter, in *http.Request) {
		_, _ = io.WriteString(w, "half")
		_ = http.NewResponseController(w).Flush()
		if in.URL.Path == "/cut" {
			mtserver.Abort(w, in)
		}
		_, _ = io.WriteString(w, "whole")
	}), mtconnection.New(mtconnection.Limits{}))
	ended := make(chan error, 1)
	go func() { ended <- server.Start(context.Background()) }()
	ask := func(path, version string) (string, error) {
		conn, err := net.Dial("tcp", listener.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		fmt.Fprintf(conn, "GET %s HTTP/%s\r\nHost: h\r\nConnection: close\r\n\r\n", path, version)
		text, err := io.ReadAll(conn)
		_, body, _ := strings.Cut(string(text), "\r\n\r\n")
		return body, err
	}
	_, err = ask("/cut", "1.0")
	g.Expect(err).To(MatchError(syscall.ECONNRESET))
	g.Expect(ask("/", "1.0")).To(Equal("halfwhole"))
	g.Expect(ask("/cut", "1.1")).NotTo(HaveSuffix("0\r\n\r\n"))
	g.Expect(server.Stop(context.Background())).To(Succeed())
	g.Expect(<-ended).NotTo(HaveOccurred())
}

package mtlink_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/relay/mtlink"
)

// Failure: a head within 64 KB whose lines are short takes megabytes once it is parsed.
func TestMemoryOfAHead(t *testing.T) {
	const links = 20
	var short, long strings.Builder
	for i := range 10_000 {
		fmt.Fprintf(&short, "%x:\n", i)
	}
	for i := range 500 {
		fmt.Fprintf(&long, "X-%d: %s\r\n", i, strings.Repeat("a", 110))
	}
	for name, lines := range map[string]string{"short lines": short.String(), "long lines": long.String()} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			pool := mtlink.NewPool(func(context.Context, string) (net.Conn, error) {
				near, far := net.Pipe()
				go func() {
					// The reader leaves where a limit is passed.
					_, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\n"+lines+"\r\n")
				}()
				return near, nil
			}, func() {})
			var kept []*http.Response
			before := heap()
			for range links {
				link, err := pool.Take(context.Background(), "a")
				g.Expect(err).NotTo(HaveOccurred())
				defer link.Close()
				response, err := link.Receive(http.MethodGet, func(*http.Response) bool { return true })
				if err == nil {
					kept = append(kept, response)
				}
			}
			each := (heap() - before) / links
			t.Logf("%d bytes each of %d kept", each, len(kept))
			g.Expect(each).To(BeNumerically("<", 256<<10))
			runtime.KeepAlive(kept)
		})
	}
}

// heap is what is in use of the heap.
func heap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

package mtlink_test

import (
	"context"
	"io"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/relay/mtlink"
)

// Guards against idle connections to many targets that together take the descriptors of a process.
func TestIdleConnectionsAreBounded(t *testing.T) {
	o := newTarget(t)
	o.pool.BoundIdle(1)
	var links []*mtlink.Link
	for _, id := range []string{"1", "2"} {
		o.accept(okResponse(id, "one"))
		link, err := o.pool.Take(context.Background(), o.address())
		o.g.Expect(err).NotTo(HaveOccurred())
		o.g.Expect(link.Send(http.MethodGet, "/", "h", http.Header{"Id": {id}})).To(Succeed())
		response, err := link.Receive(http.MethodGet, func(*http.Response) bool { return true })
		o.g.Expect(err).NotTo(HaveOccurred())
		_, err = io.Copy(io.Discard, response.Body)
		o.g.Expect(err).NotTo(HaveOccurred())
		links = append(links, link)
	}
	for _, link := range links {
		link.Release(0)
	}
	o.g.Expect(o.pool.Idle()).To(Equal(1))
	o.pool.Sweep(func(string) bool { return false })
	o.g.Expect(o.pool.Idle()).To(BeZero())
}

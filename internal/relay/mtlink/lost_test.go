package mtlink_test

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/relay/mtlink"
	"github.com/mustardtide/mustardtide/internal/role/mtnet"
)

// Failure: a target sends a part of its answer and takes no more of the request, until the connection
// is given up. The writer is told of the time-out, the reader meets an ordinary end, and the part
// counts as a whole answer.
func TestAnswerBesideAnUploadThatIsGivenUpIsNotWhole(t *testing.T) {
	o := newTarget(t)
	network := mtnet.Probing(time.Second)
	o.pool = mtlink.NewPool(func(ctx context.Context, address string) (net.Conn, error) {
		return network.Dial(ctx, address)
	}, func() {})
	release := make(chan struct{})
	defer close(release)
	go o.early(func(*net.TCPConn) { <-release })
	_, err := o.upload(make([]byte, 32<<20))
	o.g.Expect(err).To(HaveOccurred())
}

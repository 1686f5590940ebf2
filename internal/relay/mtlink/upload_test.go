package mtlink_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/relay/mtlink"
)

const (
	// earlyRead is how much of a request a target reads before it answers.
	earlyRead = 600
	// exchanges is how many meet each way of ending an answer, atOnce of them at a time.
	exchanges = 20
	atOnce    = 10
)

// early answers the next connection before it has read the request: a success without a length, which
// begins with part and ends as end says.
func (o *target) early(end func(conn *net.TCPConn)) {
	conn, err := o.listener.Accept()
	if err != nil {
		return
	}
	defer conn.Close()
	if _, err := io.ReadFull(conn, make([]byte, earlyRead)); err != nil {
		return
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
	end(conn.(*net.TCPConn))
}

// upload sends a long request and reads its answer.
func (o *target) upload(body []byte) (string, error) {
	link, err := o.pool.Take(context.Background(), o.address())
	o.g.Expect(err).NotTo(HaveOccurred())
	defer link.Close()
	defer time.AfterFunc(exchangeTimeout, link.Close).Stop()
	if err := link.Send(http.MethodPost, "/", "h", http.Header{}, body); err != nil {
		return "", err
	}
	response, err := link.Receive(http.MethodPost, func(*http.Response) bool { return true })
	if err != nil {
		return "", err
	}
	text, err := io.ReadAll(response.Body)
	return string(text), err
}

// whole counts the exchanges whose answer was read without an error; each must be the part.
func (o *target) whole(size int, end func(conn *net.TCPConn)) int {
	o.pool = mtlink.NewPool(dialTCP, func() {})
	body := make([]byte, size)
	var count atomic.Int64
	var group sync.WaitGroup
	for range atOnce {
		group.Go(func() {
			for range exchanges / atOnce {
				go o.early(end)
				if text, err := o.upload(body); err == nil {
					o.g.Expect(text).To(Equal("part"))
					count.Add(1)
				}
			}
		})
	}
	group.Wait()
	return int(count.Load())
}

// Failure: a target sends a part of its answer and resets the connection while the request is being
// written. The writer is told of the reset, the reader meets an ordinary end, and the part counts as
// a whole answer.
func TestAnswerResetBesideAnUploadIsNotWhole(t *testing.T) {
	for _, size := range []int{20 << 10, 1 << 20, 4 << 20, 32 << 20} {
		for _, pause := range []time.Duration{0, time.Millisecond, 50 * time.Millisecond} {
			for name, end := range map[string]func(*net.TCPConn){
				"unread bytes": func(*net.TCPConn) {},
				"no linger":    func(conn *net.TCPConn) { _ = conn.SetLinger(0) },
			} {
				t.Run(fmt.Sprint(size, " ", pause, " ", name), func(t *testing.T) {
					o := newTarget(t)
					o.g.Expect(o.whole(size, func(conn *net.TCPConn) {
						time.Sleep(pause)
						end(conn)
					})).To(BeZero())
				})
			}
		}
	}
}

// Guards against taking an answer that ends with its connection in order for one that was reset, and
// against waiting for the rest of the request: the target shuts its side, and reads on or leaves the
// rest unread until the answer has been taken.
func TestAnswerThatEndsInOrderBesideAnUploadIsWhole(t *testing.T) {
	before := runtime.NumGoroutine()
	for _, size := range []int{1 << 20, 32 << 20} {
		t.Run(fmt.Sprint(size, " read on"), func(t *testing.T) {
			o := newTarget(t)
			o.g.Expect(o.whole(size, func(conn *net.TCPConn) {
				_ = conn.CloseWrite()
				_, _ = io.Copy(io.Discard, conn)
			})).To(Equal(exchanges))
		})
		t.Run(fmt.Sprint(size, " left unread"), func(t *testing.T) {
			o := newTarget(t)
			taken := make(chan struct{})
			go o.early(func(conn *net.TCPConn) {
				_ = conn.CloseWrite()
				<-taken
			})
			o.g.Expect(o.upload(make([]byte, size))).To(Equal("part"))
			close(taken)
		})
	}
	NewWithT(t).Eventually(runtime.NumGoroutine).Should(BeNumerically("<=", before), "no writer is left")
}

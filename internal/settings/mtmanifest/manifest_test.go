package mtmanifest_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gravitational/trace"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/mustardtide/mustardtide/internal/outside/mtplatform"
	"github.com/mustardtide/mustardtide/internal/settings/mtmanifest"
	"github.com/mustardtide/mustardtide/internal/settings/mtmerge"
	"github.com/mustardtide/mustardtide/internal/settings/mtpiece"
	"github.com/mustardtide/mustardtide/internal/standin/mtwire"

	standin "github.com/mustardtide/mustardtide/internal/standin/mtplatform"
)

const address = "10.0.0.1:80"

// operator submits to a stand-in platform under a paused clock.
type operator struct {
	Gomega
	ctx    context.Context
	store  *standin.Server
	client *mtplatform.Client
	after  func(*http.Request)
}

// hook calls after with each request that was answered or lost.
type hook struct {
	http.RoundTripper
	operator *operator
}

func (h hook) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := h.RoundTripper.RoundTrip(r)
	if h.operator.after != nil {
		h.operator.after(r)
	}
	return response, err
}

func withOperator(t *testing.T, test func(o *operator)) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		wire := mtwire.New()
		listener, err := wire.Listen(address)
		g.Expect(err).NotTo(HaveOccurred())
		store := standin.New()
		server := &http.Server{Handler: store}
		done := make(chan error, 1)
		go func() { done <- server.Serve(listener) }()
		transport := wire.Net().Outside()
		o := &operator{Gomega: g, ctx: t.Context(), store: store}
		o.client = mtplatform.New("http://"+address, "default", hook{RoundTripper: transport, operator: o})
		defer func() {
			transport.CloseIdleConnections()
			g.Expect(server.Close()).To(Succeed())
			<-done
		}()
		test(o)
	})
}

func (o *operator) load() *mtmanifest.Manifest {
	held, err := mtmanifest.Load(o.ctx, o.client, nil)
	o.Expect(err).NotTo(HaveOccurred())
	return held
}

// next is the manifest with a base file of a text after the one in force.
func (o *operator) next(held *mtmanifest.Manifest, text string) *mtmanifest.Manifest {
	return held.Next("submission of "+text, "operator", map[string][]byte{mtmerge.BaseName: []byte("datacentres: [" + text + "]\n")})
}

func (o *operator) submit(text string) {
	held := o.load()
	next := o.next(held, text)
	o.Expect(held.Save(o.ctx, o.client, next)).To(Succeed())
	o.Expect(held.Retire(o.ctx, o.client, next)).To(Succeed())
}

// Story: the platform takes a submit and its answer is lost; the operator, told
// that it failed, would submit again and undo what a colleague did meanwhile.
// The command must find its own submission, also under those that followed.
func TestLostAnswer(t *testing.T) {
	withOperator(t, func(o *operator) {
		o.store.Faults().Lose(1)
		held := o.load()
		o.Expect(held.Save(o.ctx, o.client, o.next(held, "a"))).To(Succeed())
		o.Expect(held.Save(o.ctx, o.client, o.next(held, "b"))).To(MatchError(trace.IsCompareFailed, "CompareFailed"))
		o.store.Faults().Lose(0)
		o.Expect(o.load().Revision()).To(BeEquivalentTo(1))
		o.submit("c")
		// The same submission once more, as after a cut connection.
		o.Expect(held.Save(o.ctx, o.client, o.next(held, "a"))).To(Succeed())
		o.Expect(string(o.load().Text(mtmerge.BaseName))).To(ContainSubstring("[c]"))
		for i := range 20 {
			o.submit(fmt.Sprint("d", i))
		}
		o.Expect(held.Save(o.ctx, o.client, o.next(held, "a"))).To(MatchError(trace.IsConnectionProblem, "ConnectionProblem"),
			"so many came after it that nobody can tell")
	})
}

// Story: the platform goes down between the chunks and the manifest's answer
// and stays down: the operator is told that it is not known, within 15 s, and
// not that nothing was submitted.
func TestUnsettled(t *testing.T) {
	withOperator(t, func(o *operator) {
		o.submit("a")
		held := o.load()
		next := o.next(held, "b")
		o.store.Faults().Lose(1)
		o.after = func(r *http.Request) {
			if r.Method == http.MethodPut && strings.HasSuffix(r.URL.Path, "/settings.manifest") {
				o.store.Faults().Down(true)
			}
		}
		start := time.Now()
		o.Expect(held.Save(o.ctx, o.client, next)).To(MatchError(trace.IsConnectionProblem, "ConnectionProblem"))
		o.Expect(time.Since(start)).To(BeNumerically("<=", 15*time.Second))
		o.store.Faults().Down(false)
		o.Expect(o.load().Revision()).To(BeEquivalentTo(2))
	})
}

// Story: an operator takes a change back after an hour. The chunk that was
// retired is named again just as another operator's submit removes it: if it
// went, no process could start from that manifest.
func TestRetiredChunkComesBack(t *testing.T) {
	withOperator(t, func(o *operator) {
		o.submit("a")
		o.submit("b")
		records := func() int {
			list, _, err := o.client.List(o.ctx, "chunks")
			o.Expect(err).NotTo(HaveOccurred())
			return len(list)
		}
		time.Sleep(59 * time.Minute)
		o.submit("c")
		o.Expect(records()).To(Equal(3), "nothing is removed within the hour")
		time.Sleep(2 * time.Minute)

		held := o.load()
		back := o.next(held, "a")
		o.Expect(held.Save(o.ctx, o.client, back)).To(Succeed())
		// Another's sweep comes before ours: it holds the list of "a".
		o.Expect(held.Retire(o.ctx, o.client, back)).To(Succeed())
		o.Expect(string(o.load().Text(mtmerge.BaseName))).To(ContainSubstring("[a]"))

		time.Sleep(2 * time.Hour)
		o.submit("d")
		o.submit("e")
		o.submit("f")
		o.Expect(records()).To(BeNumerically("<=", 4), "what nobody names goes")
		o.Expect(o.load().Missing()).To(BeEmpty())
	})
}

// TestChangeCost: a change of one client account among 12,000 moves a few
// kilobytes. At 9,700 changes a day, one every 8.9 s, a node that may spend
// 5 KB a second has 44 KB for each.
func TestChangeCost(t *testing.T) {
	g := NewWithT(t)
	var file bytes.Buffer
	file.WriteString("datacentres: [imanta]\naccounts:\n")
	for n := range 12000 {
		fmt.Fprintf(&file, "  - name: client-account-%05d\n    weight: 1\n    rate: 50000\n    streams: 32\n    hashes: [%064x]\n", n, n)
	}
	first := mtmanifest.Empty().Next("first", "operator", map[string][]byte{mtmerge.BaseName: file.Bytes()})
	worst, sum := 0, 0
	const changes = 200
	for i := range changes {
		name := fmt.Sprintf("client-account-%05d\n    weight: ", i*12000/changes)
		changed := bytes.Replace(file.Bytes(), []byte(name+"1"), []byte(name+"2"), 1)
		moved := proto.Size(first.Head())
		for _, piece := range mtpiece.Cut(changed) {
			if first.Chunk(piece.Digest()) == nil {
				moved += len(piece.Text())
			}
		}
		worst, sum = max(worst, moved), sum+moved
	}
	t.Logf("file %d bytes, %d chunks, manifest %d bytes, moved a change: mean %d, worst %d",
		file.Len(), len(first.Chunks()), proto.Size(first.Head()), sum/changes, worst)
	g.Expect(worst).To(BeNumerically("<", 44_000*3/4), "in base64, as the platform sends it")
}

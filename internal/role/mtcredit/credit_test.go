package mtcredit_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/gen/mustardtide/v1/mustardtidev1connect"
	"github.com/mustardtide/mustardtide/internal/admission/mtquota"
	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
	"github.com/mustardtide/mustardtide/internal/members/mtlist"
	"github.com/mustardtide/mustardtide/internal/observe/mtcode"
	"github.com/mustardtide/mustardtide/internal/observe/mtevent"
	"github.com/mustardtide/mustardtide/internal/observe/mtstamp"
	"github.com/mustardtide/mustardtide/internal/role/mtcontrol"
	"github.com/mustardtide/mustardtide/internal/role/mtcredit"
	"github.com/mustardtide/mustardtide/internal/role/mtnet"
	"github.com/mustardtide/mustardtide/internal/role/mtserver"
	"github.com/mustardtide/mustardtide/internal/settings/mtmanifest"
	"github.com/mustardtide/mustardtide/internal/settings/mtspread"
	"github.com/mustardtide/mustardtide/internal/standin/mtwire"
)

const (
	rate  = 1000
	burst = 2000
	// floodSeconds is how long a flood lasts.
	floodSeconds = 20
)

// settings have an account with a rate and one without.
var settings = fmt.Sprintf("datacentres: [imanta]\naccounts:\n  - {name: clerks, rate: %d, burst: %d}\n  - {name: schools}\n", rate, burst)

var (
	clerks  = &mustardtidev1.Account{Name: "clerks"}
	schools = &mustardtidev1.Account{Name: "schools"}
)

// fleet is some entries on one wire, of which each counts what it sends and gets.
type fleet struct {
	g       *WithT
	wire    *mtwire.Wire
	members []*mustardtidev1.Member
	entries []*entry
}

type entry struct {
	*mtcredit.Credit
	spread *mtspread.Spread
	list   *mtlist.List
	bytes  atomic.Int64
	end    <-chan error
	server *mtserver.Server
	served chan error
}

// counted is a connection whose bytes are counted.
type counted struct {
	net.Conn
	bytes *atomic.Int64
}

func (c counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// withFleet starts entries without settings and without a list.
func withFleet(t *testing.T, entries int, test func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{g: NewWithT(t), wire: mtwire.New()}
		ctx, cancel := context.WithCancel(context.Background())
		for i := range entries {
			f.members = append(f.members, &mustardtidev1.Member{Name: fmt.Sprint("entry-", i), Role: "entry", Address: fmt.Sprintf("10.0.0.%d:80", i+1)})
			f.entries = append(f.entries, f.start(ctx, f.members[i]))
		}
		defer func() {
			cancel()
			for _, e := range f.entries {
				f.g.Expect(<-e.end).To(Succeed())
				f.g.Expect(e.server.Close()).To(Succeed())
				f.g.Expect(<-e.served).To(Succeed())
			}
			time.Sleep(2 * time.Minute)
		}()
		test(f)
	})
}

func (f *fleet) start(ctx context.Context, member *mustardtidev1.Member) *entry {
	log := mtevent.New(member.GetName(), &mtstamp.Clock{}, nil)
	e := &entry{spread: mtspread.New("imanta", log), list: mtlist.New(log), served: make(chan error, 1)}
	network := mtnet.New(f.wire.Listen, func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := f.wire.Dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return counted{conn, &e.bytes}, nil
	})
	status := func() *mustardtidev1.StatusReply { return &mustardtidev1.StatusReply{} }
	control := mtcontrol.New(log, e.spread, e.list, status, func() uint32 { return 0 })
	e.Credit = mtcredit.New(member.GetName(), network, e.spread, e.list, control)
	mux := http.NewServeMux()
	mux.Handle(mustardtidev1connect.NewQuotaServiceHandler(e.Credit, connect.WithInterceptors(control.Interceptor())))
	listener, err := network.Listen(member.GetAddress())
	f.g.Expect(err).NotTo(HaveOccurred())
	e.server = mtserver.New(listener, nil, mux)
	go func() { e.served <- e.server.Start(context.Background()) }()
	e.end = e.Follow(ctx)
	return e
}

// adopt puts the settings in force at an entry and gives it the list.
func (f *fleet) adopt(entries ...*entry) {
	for _, e := range entries {
		f.g.Expect(e.spread.Adopt(mtmanifest.Empty().Next("first", "operator", map[string][]byte{"base": []byte(settings)}))).To(Succeed())
		e.list.Take(f.members, 0)
	}
}

// take takes a cost of the clerks' and says whether it was admitted.
func (f *fleet) take(e *entry, cost uint64) bool {
	_, refusal := e.Take(context.Background(), clerks, cost)
	if refusal == nil {
		return true
	}
	f.g.Expect(refusal.Code()).To(Equal(mtcode.RateExceeded))
	f.g.Expect(refusal.RetryAfter()).To(BeNumerically(">", 0))
	return false
}

// flood takes all it can get at an entry for a time.
func (f *fleet) flood(e *entry) int {
	const cost = 20
	got := 0
	for end := time.Now().Add(floodSeconds * time.Second); time.Now().Before(end); {
		if f.take(e, cost) {
			got += cost
		}
		time.Sleep(cost * time.Second / rate / 2)
	}
	return got
}

// Failure: an entry that starts and has no settings yet grants whatever it is asked.
func TestNothingIsGrantedWithoutSettings(t *testing.T) {
	withFleet(t, 2, func(f *fleet) {
		ask := &mustardtidev1.DrawRequest{Peer: &mustardtidev1.Peer{Source: "entry-1"}, Draws: []*fleetv1.Draw{
			{Run: 1, Number: 1, Needs: []*fleetv1.Need{{Account: "clerks", Waiting: 100}}},
		}}
		_, err := f.entries[0].Draw(context.Background(), connect.NewRequest(ask))
		f.g.Expect(connect.CodeOf(err)).To(Equal(connect.CodeUnavailable))
		f.adopt(f.entries[0])
		reply, err := f.entries[0].Draw(context.Background(), connect.NewRequest(ask))
		f.g.Expect(err).NotTo(HaveOccurred())
		f.g.Expect(reply.Msg.GetGrants()[0].GetCredits()[0].GetAmount()).To(BeZero())
	})
}

// Failure: entries of which only some have started hand out the rate of all.
func TestRateWhereSomeEntriesAreSilent(t *testing.T) {
	withFleet(t, 3, func(f *fleet) {
		f.adopt(f.entries[0])
		time.Sleep(30 * time.Second)
		f.g.Expect(f.flood(f.entries[0])).To(BeNumerically("~", (floodSeconds*rate+burst)/3, rate/4))
		f.adopt(f.entries[1:]...)
		time.Sleep(5 * time.Second)
		f.g.Expect(f.flood(f.entries[0])).To(BeNumerically("~", floodSeconds*rate+burst, rate/4))
	})
}

// What did not run costs nothing, what costs more is paid off, and an account without a
// rate is not bounded.
func TestCostsAreCorrected(t *testing.T) {
	withFleet(t, 2, func(f *fleet) {
		f.adopt(f.entries...)
		time.Sleep(10 * time.Second)
		for i := range 100 {
			settle, refusal := f.entries[i%2].Take(context.Background(), clerks, burst/10)
			f.g.Expect(passes(refusal)).To(BeTrue())
			settle(0)
		}
		time.Sleep(20 * time.Second)
		settle, refusal := f.entries[0].Take(context.Background(), clerks, 10)
		f.g.Expect(passes(refusal)).To(BeTrue())
		settle(burst + 2*rate)
		time.Sleep(4 * mtquota.TickInterval)
		f.g.Expect(f.take(f.entries[1], 10)).To(BeFalse())
		time.Sleep(2 * time.Second)
		f.g.Expect(f.take(f.entries[1], 10)).To(BeTrue())
		for range 100 {
			_, refusal := f.entries[0].Take(context.Background(), schools, 1e12)
			f.g.Expect(passes(refusal)).To(BeTrue())
		}
	})
}

// What entries send and get for the rates of some hundred accounts stays within a share of
// the 5 KB a second that control may take.
func TestDrawsTakeFewBytes(t *testing.T) {
	const seconds, most = 60, 2500
	withFleet(t, 4, func(f *fleet) {
		f.adopt(f.entries...)
		time.Sleep(10 * time.Second)
		var before int64
		for _, e := range f.entries {
			before += e.bytes.Load()
		}
		for i := range seconds * 10 {
			f.take(f.entries[i%4], 90)
			time.Sleep(100 * time.Millisecond)
		}
		var after int64
		for _, e := range f.entries {
			after += e.bytes.Load()
		}
		each := (after - before) / seconds / int64(len(f.entries))
		t.Logf("%d bytes a second at an entry, both ways", each)
		f.g.Expect(each).To(BeNumerically("<", most))
	})
}

func passes(refusal *mtrefusal.Refusal) bool { return refusal == nil }

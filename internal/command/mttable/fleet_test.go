package mttable

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/types/known/durationpb"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1/fleetv1connect"
)

// knowing is an entry that knows a fleet in which one engine has no sidecar.
type knowing struct{}

func (knowing) Know(context.Context, *connect.Request[fleetv1.KnowRequest]) (*connect.Response[fleetv1.Knowledge], error) {
	models := []*fleetv1.Weights{{Model: "m", Version: 3}}
	return connect.NewResponse(&fleetv1.Knowledge{
		Revision: 9,
		Targets: []*fleetv1.Target{
			{Id: "a", Service: "pool", Address: "10.0.0.1:80", Models: models},
			{Id: "b", Service: "pool", Address: "10.0.0.2:80", Models: models},
			{Id: "c", Service: "shop", Address: "10.0.0.3:80"},
		},
		Custody: &fleetv1.Custody{Holder: "entry-7", Charges: []*fleetv1.Charge{
			{Address: "10.0.0.1:80", Fence: 5}, {Address: "10.0.0.2:80", Taken: true},
		}},
		Usages: []*fleetv1.Usage{
			{Account: "school", Rate: 1000, Demand: 80, Held: 40, Over: true, Refused: 90, Allocator: "10.0.0.9:7340", Heard: durationpb.New(30 * time.Millisecond)},
			{Account: "town", Rate: 1000, Demand: 80},
		},
	}), nil
}

// A rollout does not end, and the operator asks who should order the engine that is
// behind: its sidecar, or the entry that has taken it.
func TestStatusNamesWhoOrders(t *testing.T) {
	g := NewWithT(t)
	mux := http.NewServeMux()
	mux.Handle(fleetv1connect.NewPeerServiceHandler(knowing{}))
	server := httptest.NewServer(mux)
	defer server.Close()
	var out bytes.Buffer
	g.Expect(fleetStatus(t.Context(), strings.TrimPrefix(server.URL, "http://"), &out)).To(Succeed())
	var orders []string
	for _, line := range strings.Split(strings.TrimSpace(out.String()), "\n")[3:] {
		fields := strings.Fields(line)
		orders = append(orders, fields[0]+" "+fields[len(fields)-1])
	}
	g.Expect(orders).To(Equal([]string{"TARGET ORDERS", "a sidecar", "b entry-7", "c -"}))
	g.Expect(out.String()).To(MatchRegexp(`(?m)^school +1000 +80 +40 +90 +10\.0\.0\.9:7340 +30ms ago$`), "the account over its quota alone")
	g.Expect(out.String()).NotTo(ContainSubstring("town"))
}

package mttable

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1/fleetv1connect"
	"github.com/mustardtide/mustardtide/internal/role/mtnet"
)

// askTime bounds a question to an entry.
const askTime = 3 * time.Second

// fleetStatus shows what an entry on the users' platform knows.
func fleetStatus(ctx context.Context, address string, out io.Writer) error {
	client := fleetv1connect.NewPeerServiceClient(&http.Client{Transport: mtnet.System().Outside(), Timeout: askTime}, "http://"+address)
	answer, err := client.Know(ctx, connect.NewRequest(&fleetv1.KnowRequest{Quotas: true}))
	if err != nil {
		return trace.ConnectionProblem(err, "no entry answers at %s; its address is the instance's and its third internal port", address)
	}
	known := answer.Msg
	fmt.Fprintf(out, "configuration %d at revision %d, targets complete to revision %d\n",
		known.GetCatalog().GetVersion(), known.GetCatalog().GetRevision(), known.GetRevision())
	for _, w := range known.GetNamed() {
		fmt.Fprintf(out, "model %s: weights %d named at revision %d\n", w.GetModel(), w.GetVersion(), w.GetRevision())
	}
	for _, s := range known.GetSpeeds() {
		fmt.Fprintf(out, "service %s: a first token in %v and %v a token of the prompt, answers of %v\n", s.GetService(),
			s.GetStart().AsDuration().Round(time.Millisecond), s.GetRead().AsDuration().Round(100*time.Nanosecond),
			s.GetAnswer().AsDuration().Round(time.Millisecond))
	}
	if err := quotas(known.GetUsages(), out); err != nil {
		return trace.Wrap(err)
	}
	taken := map[string]bool{}
	for _, charge := range known.GetCustody().GetCharges() {
		taken[charge.GetAddress()] = charge.GetTaken()
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "TARGET\tSERVICE\tADDRESS\tDATA CENTRE\tSTATE\tWEIGHTS\tORDERS")
	targets := known.GetTargets()
	slices.SortFunc(targets, func(a, b *fleetv1.Target) int {
		return strings.Compare(a.GetService()+"/"+a.GetId(), b.GetService()+"/"+b.GetId())
	})
	for _, t := range targets {
		state := "ready"
		if t.GetLeaving() {
			state = "leaving"
		}
		var weights []string
		for _, m := range t.GetModels() {
			weights = append(weights, fmt.Sprintf("%s@%d", m.GetModel(), m.GetVersion()))
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", t.GetId(), t.GetService(), t.GetAddress(), t.GetDatacentre(), state,
			strings.Join(weights, " "), orders(t, taken, known.GetCustody().GetHolder()))
	}
	return trace.Wrap(table.Flush())
}

// nearQuota is the part of its quota from which on an account is shown where it asks one
// entry alone for so much.
const nearQuota = 0.5

// quotas shows the accounts that are over their quotas or near them.
func quotas(usages []*fleetv1.Usage, out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	shown := false
	for _, u := range usages {
		if !u.GetOver() && u.GetDemand() < nearQuota*u.GetRate() {
			continue
		}
		if !shown {
			fmt.Fprintln(table, "ACCOUNT\tQUOTA/S\tASKED HERE/S\tHELD HERE\tREFUSED\tALLOCATOR\tHEARD")
			shown = true
		}
		fmt.Fprintf(table, "%s\t%.0f\t%.0f\t%d\t%d\t%s\t%v ago\n", u.GetAccount(), u.GetRate(), u.GetDemand(), u.GetHeld(), u.GetRefused(),
			cmp.Or(u.GetAllocator(), "none"), u.GetHeard().AsDuration().Round(time.Millisecond))
	}
	return trace.Wrap(table.Flush())
}

// orders names who gives a target its orders: its sidecar, or the entry that has taken it.
func orders(target *fleetv1.Target, taken map[string]bool, holder string) string {
	switch {
	case len(target.GetModels()) == 0:
		return "-"
	case taken[target.GetAddress()]:
		return holder
	default:
		return "sidecar"
	}
}

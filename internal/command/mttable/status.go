package mttable

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/encoding/protojson"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
)

func bindStatus(c *kingpin.CmdClause) action {
	flags := bindOperatorFlags(c)
	asJSON := c.Flag("json", "One JSON object a process and line.").Bool()
	entry := c.Flag("entry", "IP:PORT of an entry on the users' platform: show what it knows.").String()
	return func(ctx context.Context, out io.Writer) error {
		if *entry != "" {
			return fleetStatus(ctx, *entry, out)
		}
		operator, err := flags.operator()
		if err != nil {
			return trace.Wrap(err)
		}
		statuses, err := operator.Statuses(ctx)
		if err != nil {
			return trace.Wrap(err)
		}
		if *asJSON {
			return statusJSON(out, statuses)
		}
		return statusText(out, statuses)
	}
}

func statusJSON(out io.Writer, statuses []*mustardtidev1.StatusReply) error {
	for _, s := range statuses {
		encoded, err := protojson.Marshal(s)
		if err != nil {
			return trace.Wrap(err)
		}
		fmt.Fprintf(out, "%s\n", encoded)
	}
	return nil
}

func statusText(out io.Writer, statuses []*mustardtidev1.StatusReply) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "NAME\tROLE\tDATA CENTRE\tSTATE\tREVISION\tRUNNING\tQUEUED\tWAIT\tCACHED\tINCARNATION")
	for _, s := range statuses {
		state := s.GetState()
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\t%d\t%s\n",
			s.GetName(), s.GetRole(), s.GetDatacentre(), stateWord(s), s.GetPeer().GetRevision(),
			state.GetRunning(), state.GetQueued(), state.GetWait().AsDuration().Round(time.Millisecond),
			state.GetCached(), state.GetIncarnation())
	}
	return trace.Wrap(table.Flush())
}

func stateWord(s *mustardtidev1.StatusReply) string {
	switch {
	case s.GetPeer() == nil:
		return "silent"
	case s.GetLeaving():
		return "leaving"
	case s.GetReady():
		return "ready"
	default:
		return "not ready"
	}
}

package mttable

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
)

func bindTimeline(c *kingpin.CmdClause) action {
	flags := bindOperatorFlags(c)
	ask := &mustardtidev1.EventsRequest{}
	c.Flag("run", "Only events of this run.").StringVar(&ask.Run)
	c.Flag("account", "Only events of this client account.").StringVar(&ask.Account)
	c.Flag("target", "Only events of this target.").StringVar(&ask.Target)
	c.Flag("most", "At most so many events of each process; 0: all that are kept.").Default("1000").Uint32Var(&ask.Most)
	asJSON := c.Flag("json", "One JSON object an event and line.").Bool()
	return func(ctx context.Context, out io.Writer) error {
		operator, err := flags.operator()
		if err != nil {
			return trace.Wrap(err)
		}
		timeline, silent, err := operator.Timeline(ctx, ask)
		if err != nil {
			return trace.Wrap(err)
		}
		if *asJSON {
			return timeline.JSON(out)
		}
		if err := timeline.Text(out); err != nil {
			return trace.Wrap(err)
		}
		if len(silent) > 0 {
			fmt.Fprintf(out, "# no answer from %s\n", strings.Join(silent, ", "))
		}
		return nil
	}
}

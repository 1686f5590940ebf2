package mttable

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"
)

func bindDrain(c *kingpin.CmdClause) action {
	flags := bindOperatorFlags(c)
	name := c.Arg("name", "The process, as `mustardtide status` names it.").Required().String()
	return func(ctx context.Context, out io.Writer) error {
		operator, err := flags.operator()
		if err != nil {
			return trace.Wrap(err)
		}
		running, err := operator.Drain(ctx, *name)
		if err != nil {
			return trace.Wrap(err)
		}
		fmt.Fprintf(out, "%s takes no new work; %d requests under way will finish\n", *name, running)
		return nil
	}
}

package mttable

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
)

func bindOrder(c *kingpin.CmdClause) action {
	flags := bindOperatorFlags(c)
	order := &mustardtidev1.Order{}
	c.Flag("model", "Load this model.").StringVar(&order.Model)
	c.Flag("weights", "Load this version of the weights.").StringVar(&order.Weights)
	c.Flag("adapter", "Load this adapter.").StringVar(&order.Adapter)
	c.Flag("role", "Change the target's role.").StringVar(&order.Role)
	name := c.Arg("target", "The target, as `mustardtide status` names it.").Required().String()
	return func(ctx context.Context, out io.Writer) error {
		operator, err := flags.operator()
		if err != nil {
			return trace.Wrap(err)
		}
		number, err := operator.Order(ctx, *name, order)
		if err != nil {
			return trace.Wrap(err)
		}
		fmt.Fprintf(out, "%s has carried out order %d\n", *name, number)
		return nil
	}
}

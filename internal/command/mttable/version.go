package mttable

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/mustardtide/mustardtide/internal/command/mtversion"
)

func bindVersion(*kingpin.CmdClause) action {
	return func(_ context.Context, out io.Writer) error {
		fmt.Fprintln(out, mtversion.Version())
		return nil
	}
}

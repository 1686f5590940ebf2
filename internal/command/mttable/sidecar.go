package mttable

import (
	"context"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/mustardtide/mustardtide/internal/role/mtdaemon"
)

func bindSidecar(c *kingpin.CmdClause) action {
	settings := c.Flag("settings", "File with this process's settings.").Short('s').Required().String()
	return func(context.Context, io.Writer) error {
		return mtdaemon.RunSidecar(*settings)
	}
}

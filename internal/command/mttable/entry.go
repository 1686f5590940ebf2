package mttable

import (
	"context"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/mustardtide/mustardtide/internal/role/mtdaemon"
	"github.com/mustardtide/mustardtide/internal/role/mtfleet"
)

func bindEntry(c *kingpin.CmdClause) action {
	with := c.Flag("with", "Use a mechanism that is off by default: copies, which keeps a copy of runs at a second engine while engines crash.").PlaceHolder("NAME").Strings()
	without := c.Flag("without", "Development: leave a mechanism out, to measure what it is worth.").Hidden().Strings()
	return daemon(c, mtdaemon.RunEntry, func() error { return mtfleet.RunEntry(*with, *without) })
}

// daemon binds a daemon that runs with a settings file of the project's own, or
// with the settings that the users' platform gives to the process.
func daemon(c *kingpin.CmdClause, own func(path string) error, fleet func() error) action {
	settings := c.Flag("settings", "File with this process's settings; on the users' platform, which gives them itself, leave it out.").Short('s').String()
	return func(context.Context, io.Writer) error {
		if *settings == "" && mtfleet.Active() {
			return fleet()
		}
		if *settings == "" {
			return errNoSettings
		}
		return own(*settings)
	}
}

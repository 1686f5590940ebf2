package mttable

import (
	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/mustardtide/mustardtide/internal/role/mtdaemon"
	"github.com/mustardtide/mustardtide/internal/role/mtfleet"
)

// errNoSettings says what to do where neither a flag nor the platform names a
// settings file.
var errNoSettings = trace.BadParameter("name the process's settings with --settings FILE; docs/SETTINGS.md explains them under Process")

func bindSidecar(c *kingpin.CmdClause) action {
	return daemon(c, mtdaemon.RunSidecar, mtfleet.RunSidecar)
}

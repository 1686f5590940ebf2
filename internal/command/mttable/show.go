package mttable

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/mustardtide/mustardtide/internal/command/mtfailure"
	"github.com/mustardtide/mustardtide/internal/observe/mtcode"
	"github.com/mustardtide/mustardtide/internal/settings/mtmanifest"
)

func bindShow(c *kingpin.CmdClause) action {
	platform := bindPlatform(c)
	name := c.Arg("file", "Print this file's text: base or a data centre.").String()
	return func(ctx context.Context, out io.Writer) error {
		held, err := load(ctx, platform.client())
		if err != nil {
			return trace.Wrap(err)
		}
		if held.Revision() == 0 {
			return mtfailure.New(mtcode.SettingsMissing, "nothing was submitted yet")
		}
		if *name == "" {
			return show(out, held)
		}
		text := held.Text(*name)
		if text == nil {
			return trace.NotFound("revision %d has no file %q; it has %q", held.Revision(), *name, names(held))
		}
		_, err = out.Write(text)
		return trace.Wrap(err)
	}
}

// show prints what is in force, without the texts.
func show(out io.Writer, held *mtmanifest.Manifest) error {
	head := held.Head()
	fmt.Fprintf(out, "revision %d, submission %s\n", head.GetRevision(), head.GetSubmission())
	fmt.Fprintf(out, "by %q at %s\n", head.GetAuthor(), head.GetTime().AsTime().Format(time.RFC3339))
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "file\trevision\tbytes\tchunks")
	for _, file := range head.GetFiles() {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\n", file.GetName(), file.GetRevision(), len(held.Text(file.GetName())), len(file.GetPieces()))
	}
	return trace.Wrap(table.Flush())
}

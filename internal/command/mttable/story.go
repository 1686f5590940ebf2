package mttable

import (
	"context"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/mustardtide/mustardtide/internal/observe/mtstory"
)

func bindStory(c *kingpin.CmdClause) action {
	id := c.Arg("id", "The request's id, as the caller sent it.").Required().String()
	files := c.Arg("files", "Logs of the entries and sidecars; standard input if none is given.").Strings()
	return func(_ context.Context, out io.Writer) error {
		story := mtstory.New(*id)
		if len(*files) == 0 {
			if err := story.Read(os.Stdin); err != nil {
				return trace.Wrap(err)
			}
		}
		for _, path := range *files {
			if err := readLog(story, path); err != nil {
				return trace.BadParameter("%s: %v", path, err)
			}
		}
		return trace.Wrap(story.Write(out))
	}
}

func readLog(story *mtstory.Story, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer func() { _ = file.Close() }()
	return trace.Wrap(story.Read(file))
}

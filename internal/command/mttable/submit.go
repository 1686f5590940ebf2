package mttable

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/outside/mtplatform"
	"github.com/mustardtide/mustardtide/internal/settings/mtmanifest"
	"github.com/mustardtide/mustardtide/internal/settings/mtschema"
	"github.com/mustardtide/mustardtide/internal/settings/mtspread"
)

func bindSubmit(c *kingpin.CmdClause) action {
	platform := c.Flag("platform", "URL of the platform's object API.").Required().String()
	namespace := c.Flag("namespace", "Namespace of the system's objects.").Default("default").String()
	base := c.Flag("base", "The base file.").String()
	overlays := c.Flag("overlay", "An overlay; may be given more than once.").Strings()
	return func(ctx context.Context, out io.Writer) error {
		texts, err := readFiles(*base, *overlays)
		if err != nil {
			return trace.Wrap(err)
		}
		client := mtplatform.New(*platform, *namespace, http.DefaultTransport)
		return submit(ctx, out, client, texts)
	}
}

// readFiles gives the texts by their names in the manifest.
func readFiles(base string, overlays []string) (map[string][]byte, error) {
	texts := map[string][]byte{}
	if base != "" {
		text, err := os.ReadFile(base)
		if err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		texts[mtspread.BaseName] = text
	}
	for _, path := range overlays {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		overlay := &mustardtidev1.Overlay{}
		if err := mtschema.New(path).Decode(text, overlay); err != nil {
			return nil, trace.Wrap(err)
		}
		texts[overlay.GetDatacentre()] = text
	}
	return texts, nil
}

func submit(ctx context.Context, out io.Writer, client *mtplatform.Client, texts map[string][]byte) error {
	held, err := mtmanifest.Load(ctx, client, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	next := held.Next(rand.Text(), os.Getenv("USER"), texts)
	base, err := mtspread.Compile(next, "")
	if err != nil {
		return trace.Wrap(err)
	}
	for _, datacentre := range base.GetDatacentres() {
		if _, err := mtspread.Compile(next, datacentre); err != nil {
			return trace.Wrap(err)
		}
	}
	if err := held.Save(ctx, client, next); err != nil {
		return trace.Wrap(err)
	}
	fmt.Fprintf(out, "revision %d is accepted\n", next.Revision())
	return nil
}

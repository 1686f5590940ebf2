// Command mustardtide-variants writes deployments that nobody has seen: copies of
// a deployment's description with drawn figures.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/mustardtide/mustardtide/platform/standin/mtvariant"
)

func main() {
	app := kingpin.New("mustardtide-variants", "Write variants of a deployment's description.")
	base := app.Flag("base", "The deployment's description.").Required().ExistingFile()
	ranges := app.Flag("ranges", "What may differ, and how far.").Default("test/variants/ranges.yaml").ExistingFile()
	into := app.Flag("into", "Folder to write to.").Required().ExistingDir()
	first := app.Flag("first", "The first seed.").Default("1").Uint64()
	count := app.Flag("count", "How many to write.").Default("20").Uint64()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	for seed := *first; seed < *first+*count; seed++ {
		if err := write(*base, *ranges, *into, seed); err != nil {
			fmt.Fprintln(os.Stderr, "mustardtide-variants:", trace.UserMessage(err))
			os.Exit(1)
		}
	}
}

// write draws one variant and prints what was drawn.
func write(base, ranges, into string, seed uint64) error {
	site, err := os.ReadFile(base)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	spans, err := os.ReadFile(ranges)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	variant, err := mtvariant.Draw(site, spans, seed)
	if err != nil {
		return trace.Wrap(err)
	}
	name := fmt.Sprintf("%s-%03d", strings.TrimSuffix(filepath.Base(base), filepath.Ext(base)), seed)
	variant.Name(name)
	text, err := variant.Encode()
	if err != nil {
		return trace.Wrap(err)
	}
	fmt.Printf("%s: %s\n", name, strings.Join(variant.Drawn(), ", "))
	folder, err := os.OpenRoot(into)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer func() { _ = folder.Close() }()
	return trace.ConvertSystemError(folder.WriteFile(name+".toml", text, 0o600))
}

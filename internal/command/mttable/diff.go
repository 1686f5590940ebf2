package mttable

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"
	"github.com/pmezard/go-difflib/difflib"

	"github.com/mustardtide/mustardtide/internal/settings/mtcheck"
	"github.com/mustardtide/mustardtide/internal/settings/mtmanifest"
)

// contextLines stand around each changed place.
const contextLines = 3

func bindDiff(c *kingpin.CmdClause) action {
	platform := bindPlatform(c)
	files := bindFiles(c)
	return func(ctx context.Context, out io.Writer) error {
		held, err := load(ctx, platform.client())
		if err != nil {
			return trace.Wrap(err)
		}
		checker := mtcheck.New()
		texts, err := files.read(checker, held, nil)
		if err != nil {
			return trace.Wrap(err)
		}
		fmt.Fprintf(out, "revision %d is in force\n%s", held.Revision(), difference(held, held.Next("", "", texts)))
		return nil
	}
}

// difference gives the changed files of two manifests as unified differences.
func difference(before, after *mtmanifest.Manifest) string {
	var b strings.Builder
	for _, name := range names(before, after) {
		old, now := before.Text(name), after.Text(name)
		if bytes.Equal(old, now) {
			continue
		}
		text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
			A:        lines(old),
			B:        lines(now),
			FromFile: fmt.Sprintf("%s of revision %d", name, before.Revision()),
			ToFile:   name,
			Context:  contextLines,
		})
		if err != nil {
			text = fmt.Sprintf("%s differs\n", name)
		}
		b.WriteString(text)
	}
	if b.Len() == 0 {
		return "no file differs\n"
	}
	return b.String()
}

// lines splits a text after each newline.
func lines(text []byte) []string {
	return slices.Collect(strings.Lines(string(text)))
}

// names lists the files of both manifests.
func names(manifests ...*mtmanifest.Manifest) []string {
	set := map[string]bool{}
	for _, m := range manifests {
		for _, file := range m.Head().GetFiles() {
			set[file.GetName()] = true
		}
	}
	return slices.Sorted(maps.Keys(set))
}

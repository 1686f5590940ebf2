package mttable

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/mustardtide/mustardtide/internal/observe/mtcode"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
)

// firstKind is the lowest number of an event; result codes are below it.
const firstKind = 1000

func bindExplain(c *kingpin.CmdClause) action {
	number := c.Arg("number", "A result code or an event's number; all of them if not given.").Uint32()
	return func(_ context.Context, out io.Writer) error {
		if *number == 0 {
			explainAll(out)
			return nil
		}
		if *number < firstKind {
			return explainCode(out, mtcode.Code(*number))
		}
		return explainKind(out, mtkind.Kind(*number))
	}
}

func explainCode(out io.Writer, code mtcode.Code) error {
	if !code.Known() {
		return unknownNumber(uint32(code))
	}
	fmt.Fprintf(out, "%s (HTTP %d)\n  what: %s\n  next: %s\n", code, code.Status(), code.Text(), code.Next())
	return nil
}

func explainKind(out io.Writer, kind mtkind.Kind) error {
	if !kind.Known() {
		return unknownNumber(uint32(kind))
	}
	fmt.Fprintf(out, "%d %s\n  what: %s\n", uint32(kind), kind.Name(), kind.Text())
	return nil
}

func explainAll(out io.Writer) {
	for _, code := range mtcode.All() {
		fmt.Fprintf(out, "%s: %s\n", code, code.Text())
	}
	for _, kind := range mtkind.All() {
		fmt.Fprintf(out, "%d %s: %s\n", uint32(kind), kind.Name(), kind.Text())
	}
}

func unknownNumber(n uint32) error {
	return trace.NotFound("no code or event has the number %d; `mustardtide explain` lists them", n)
}

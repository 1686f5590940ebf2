package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/alecthomas/kingpin/v2"

	"github.com/mustardtide/mustardtide/internal/standin/mtload"
)

// bindLoad declares the load's flags and returns what sends it.
func bindLoad(c *kingpin.CmdClause) func() {
	entry := c.Flag("entry", "URL of an entry.").Required().String()
	model := c.Flag("model", "Model to ask for.").Required().String()
	keys := c.Flag("key", "Bearer key of a client account; may be repeated.").Required().Strings()
	rate := c.Flag("rate", "Requests a second.").Default("50").Float64()
	duration := c.Flag("for", "How long to send.").Default("10s").Duration()
	tokens := c.Flag("tokens", "Output tokens of a request.").Default("32").Int()
	seed := c.Flag("seed", "Seed of arrivals and prompts.").Default("1").Uint64()
	return func() {
		ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
		defer stop()
		load := mtload.New(*entry, *model, *keys, *rate, *duration, *tokens, *seed)
		load.Run(ctx).Print(os.Stdout)
	}
}

// Package mtdemo shows the main job in one process: entries, sidecars and
// stand-ins, nested prompts of two client accounts and a call that may not be
// repeated.
package mtdemo

import (
	"context"
	_ "embed"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/mustardtide/mustardtide/internal/standin/mtengine"
	"github.com/mustardtide/mustardtide/internal/standin/mtfleet"
	"github.com/mustardtide/mustardtide/internal/standin/mtservice"
)

//go:embed base.yaml
var base string

// Sizes of the demo's engines: slow enough to see what a cached prefix saves.
const (
	engines   = 3
	slots     = 8
	prefill   = 8000
	decode    = 2 * time.Millisecond
	blocks    = 4000
	callTime  = 5 * time.Millisecond
	readyWait = 10 * time.Second
	readyPoll = 20 * time.Millisecond
)

// Demo is a running fleet in one process.
type Demo struct {
	fleet *mtfleet.Fleet
	http  *http.Client
}

// Start brings the fleet up and returns when it takes requests.
func Start(ctx context.Context) (*Demo, error) {
	fleet, err := mtfleet.New()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	d := &Demo{fleet: fleet, http: &http.Client{Transport: fleet.Wire().Transport()}}
	if err := d.populate(); err != nil {
		return nil, trace.NewAggregate(err, fleet.Close())
	}
	if err := d.ready(ctx); err != nil {
		return nil, trace.NewAggregate(err, fleet.Close())
	}
	return d, nil
}

// Close ends the fleet.
func (d *Demo) Close() error {
	d.http.CloseIdleConnections()
	return trace.Wrap(d.fleet.Close())
}

// Handler is the entry's public API, for a listener outside the demo.
func (d *Demo) Handler() http.Handler { return d.fleet.Handler("entry-0") }

func (d *Demo) populate() error {
	if err := d.fleet.Submit(base); err != nil {
		return trace.Wrap(err)
	}
	for i := range engines {
		name := fmt.Sprintf("trip-%d", i)
		if err := d.fleet.AddTarget(name, "trip", "imanta", mtengine.New(slots, prefill, decode, blocks)); err != nil {
			return trace.Wrap(err)
		}
	}
	if err := d.fleet.AddTarget("consent-0", "consent", "imanta", mtservice.New(callTime)); err != nil {
		return trace.Wrap(err)
	}
	return d.fleet.AddEntry("entry-0", "imanta")
}

// ready waits until both services answer.
func (d *Demo) ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyWait)
	defer cancel()
	steps := []step{
		{account: "schools", path: "/v1/completions", body: completion("ready?")},
		{account: "schools", path: "/v1/services/consent/ready", body: "{}", key: "ready"},
	}
	for _, s := range steps {
		for {
			seen, err := d.ask(ctx, s)
			if err == nil && seen.status == http.StatusOK {
				break
			}
			select {
			case <-ctx.Done():
				return trace.Wrap(ctx.Err(), "the demo's fleet did not come up")
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}

// Run sends the demo's requests and explains what is seen.
func (d *Demo) Run(ctx context.Context, out io.Writer) error {
	fmt.Fprintln(out, strings.TrimSpace(opening))
	fmt.Fprintln(out)
	fmt.Fprintf(out, "%-34s %-9s %-10s %8s %10s\n", "request", "account", "ran on", "cached", "first byte")
	for _, s := range steps() {
		seen, err := d.ask(ctx, s)
		if err != nil {
			return trace.Wrap(err)
		}
		if seen.status != http.StatusOK {
			return trace.BadParameter("%s: status %d: %s", s.what, seen.status, seen.body)
		}
		fmt.Fprintf(out, "%-34s %-9s %-10s %8s %10s\n", s.what, s.account, seen.target, seen.share(), seen.first.Round(time.Millisecond))
		if s.key != "" {
			fmt.Fprintf(out, "    %s\n", strings.TrimSpace(seen.body))
		}
		time.Sleep(settle)
	}
	fmt.Fprintln(out)
	fmt.Fprintln(out, strings.TrimSpace(closing))
	return nil
}

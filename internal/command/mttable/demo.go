package mttable

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	klog "github.com/go-kratos/kratos/v2/log"
	"github.com/gravitational/trace"

	"github.com/mustardtide/mustardtide/internal/command/mtdemo"
)

// headerTime bounds a request's headers at the held demo's listener.
const headerTime = 10 * time.Second

func bindDemo(c *kingpin.CmdClause) action {
	hold := c.Flag("hold", "Keep the fleet up until interrupted, and print a curl line.").Bool()
	return func(ctx context.Context, out io.Writer) error {
		klog.SetLogger(klog.NewStdLogger(io.Discard))
		demo, err := mtdemo.Start(ctx)
		if err != nil {
			return trace.Wrap(err)
		}
		if err := demo.Run(ctx, out); err != nil {
			return trace.NewAggregate(err, demo.Close())
		}
		if *hold {
			err = holdDemo(ctx, out, demo)
		}
		return trace.NewAggregate(err, demo.Close())
	}
}

// holdDemo serves the demo's entry on loopback until an interrupt.
func holdDemo(ctx context.Context, out io.Writer, demo *mtdemo.Demo) error {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	config := net.ListenConfig{}
	listener, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return trace.Wrap(err)
	}
	server := &http.Server{Handler: demo.Handler(), ReadHeaderTimeout: headerTime}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	fmt.Fprintf(out, "\ncurl -N http://%s/v1/completions -H 'Authorization: Bearer schools-key' \\\n  -d '{\"model\":\"dossier\",\"stream\":true,\"prompt\":\"Are medical notes missing?\"}'\n", listener.Addr())
	<-ctx.Done()
	if err := server.Close(); err != nil {
		return trace.Wrap(err)
	}
	if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err)
	}
	return nil
}

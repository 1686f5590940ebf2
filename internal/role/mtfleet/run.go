// Package mtfleet runs the daemons on the users' platform, with the settings
// that the platform gives to each process.
package mtfleet

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/go-kratos/kratos/v2"
	klog "github.com/go-kratos/kratos/v2/log"
	"github.com/go-kratos/kratos/v2/transport"
	"github.com/gravitational/trace"
	"go.uber.org/zap"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtcapacity"
	"github.com/mustardtide/mustardtide/internal/admission/mtconnection"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	"github.com/mustardtide/mustardtide/internal/observe/mtsink"
	"github.com/mustardtide/mustardtide/internal/observe/mttrail"
	"github.com/mustardtide/mustardtide/internal/role/mtnet"
	"github.com/mustardtide/mustardtide/internal/role/mtserver"
	"github.com/mustardtide/mustardtide/platform/mtboot"
)

const (
	// metricsPort is where metrics are served on every instance.
	metricsPort = 9102
	// dialTime bounds a new connection: a hundred times the way between data
	// centres; an instance without power does not answer at all.
	dialTime = 300 * time.Millisecond
	// closeTime is left at the end of the grace time to close connections.
	closeTime = 300 * time.Millisecond
	// sideTime is how long a request to a port beside the callers' may take to come.
	sideTime = 5 * time.Second
)

// Active says that the platform has given this process its settings.
func Active() bool { return mtboot.Path() != "" }

// daemon is what both roles share.
type daemon struct {
	path    string
	site    *fleetv1.Site
	sink    *mtsink.Sink
	trail   *mttrail.Trail
	network *mtnet.Net
}

// open reads the settings and opens the log.
func open() (*daemon, error) {
	path := mtboot.Path()
	site, err := mtboot.Load(path)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	limitRuntime(site)
	sink := mtsink.New(os.Stdout)
	klog.SetLogger(klog.NewStdLogger(quiet{}))
	return &daemon{path: path, site: site, sink: sink, trail: mttrail.New(site.GetName(), sink), network: mtnet.Probing(dialTime)}, nil
}

// limitRuntime lets the runtime collect harder near a part of the instance's memory: the rest is for
// buffers of the kernel and bursts.
func limitRuntime(site *fleetv1.Site) {
	if limit := mtcapacity.Of(site).Runtime(); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
}

// quiet drops the framework's own lines: start and stop are events of ours.
type quiet struct{}

func (quiet) Write(p []byte) (int, error) { return len(p), nil }

// metrics serves the process's counters.
func (d *daemon) metrics() (*mtserver.Server, error) {
	address := net.JoinHostPort(d.site.GetAddress(), strconv.Itoa(metricsPort))
	return d.listenSide(address, d.trail.Metrics())
}

// listenSide serves a port that the platform or an operator asks now and then.
func (d *daemon) listenSide(address string, handler http.Handler) (*mtserver.Server, error) {
	server, err := d.listen(address, handler, mtconnection.New(mtconnection.NewLimits(mtcapacity.Of(d.site).Side(), 0, 0)))
	if err != nil {
		return nil, err
	}
	server.BoundRequests(sideTime)
	return server, nil
}

func (d *daemon) listen(address string, handler http.Handler, table *mtconnection.Table) (*mtserver.Server, error) {
	listener, err := d.network.Listen(address)
	if err != nil {
		return nil, trace.Wrap(err, "listening on %s", address)
	}
	return mtserver.NewDirect(listener, handler, table), nil
}

// serve runs the servers and the role until SIGTERM; drain then ends the role's
// work within the grace time.
func (d *daemon) serve(servers []*mtserver.Server, role func(context.Context) error, drain func(context.Context), resize func(*fleetv1.Site)) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ends := make(chan error, 2)
	go func() { ends <- role(ctx) }()
	go func() { ends <- d.reload(ctx, resize) }()
	logging, endLog := context.WithCancel(context.Background())
	logged := make(chan error, 1)
	go func() { logged <- d.sink.Run(logging) }()
	d.trail.Say(mtkind.FleetStarted, zap.String("role", "daemon"), zap.String("datacentre", d.site.GetDatacentre()),
		zap.String("address", d.site.GetAddress()), zap.Int("pid", os.Getpid()))

	list := make([]transport.Server, 0, len(servers))
	for _, s := range servers {
		list = append(list, s)
	}
	app := kratos.New(
		kratos.Name(d.site.GetName()),
		kratos.Endpoint(&url.URL{Scheme: "http", Host: d.site.GetAddress()}),
		kratos.Server(list...),
		kratos.Signal(syscall.SIGTERM, syscall.SIGINT),
		kratos.StopTimeout(closeTime),
		kratos.BeforeStop(func(context.Context) error {
			bound, done := context.WithTimeout(context.Background(), d.site.GetBounds().GetGrace().AsDuration()-closeTime)
			defer done()
			drain(bound)
			return nil
		}),
	)
	err := app.Run()
	cancel()
	ended := errors.Join(<-ends, <-ends)
	d.trail.Say(mtkind.FleetStopped, zap.NamedError("role", ended))
	endLog()
	if err := <-logged; err != nil && !errors.Is(err, context.Canceled) {
		return trace.Wrap(err)
	}
	return trace.Wrap(err)
}

// reload reads the settings again when SIGHUP says that they have changed, and passes them to resize
// for its limits; the others are those of the start. The default action of that signal would end the
// process.
func (d *daemon) reload(ctx context.Context, resize func(*fleetv1.Site)) error {
	hups := make(chan os.Signal, 1)
	signal.Notify(hups, syscall.SIGHUP)
	defer signal.Stop(hups)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-hups:
			site, err := mtboot.Load(d.path)
			if err != nil {
				d.trail.Warn(mtkind.FleetReloaded, zap.Error(err), zap.String("outcome", "the settings read before stay in force"))
				continue
			}
			limitRuntime(site)
			resize(site)
			d.trail.Say(mtkind.FleetReloaded, zap.Bool("changed", site.String() != d.site.String()))
		}
	}
}

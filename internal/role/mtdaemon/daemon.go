// Package mtdaemon runs a role as a process: settings file, logs, signals and
// graceful stop by a kratos application.
package mtdaemon

import (
	"context"
	"os"
	"syscall"
	"time"

	"github.com/go-kratos/kratos/v2"
	klog "github.com/go-kratos/kratos/v2/log"
	"github.com/go-kratos/kratos/v2/transport"
	"github.com/gravitational/trace"
	"go.uber.org/zap"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/observe/mtevent"
	"github.com/mustardtide/mustardtide/internal/observe/mtstamp"
	"github.com/mustardtide/mustardtide/internal/role/mtentry"
	"github.com/mustardtide/mustardtide/internal/role/mtnet"
	"github.com/mustardtide/mustardtide/internal/role/mtserver"
	"github.com/mustardtide/mustardtide/internal/role/mtsidecar"
	"github.com/mustardtide/mustardtide/internal/role/mttls"
	"github.com/mustardtide/mustardtide/internal/settings/mtschema"
)

// defaultStop bounds a graceful stop where the settings give none; it must
// outlast the longest stream.
const defaultStop = 10 * time.Minute

// role is what a daemon runs: an entry or a sidecar.
type role interface {
	Drain(ctx context.Context) error
	Wait() error
}

// RunEntry runs an entry until it is told to stop.
func RunEntry(path string) error {
	return run(path, entryNeeds, func(ctx context.Context, process *mustardtidev1.Process, network *mtnet.Net, log *mtevent.Log) (role, []*mtserver.Server, error) {
		entry := mtentry.New(process, network, log)
		servers, err := entry.Open(ctx)
		return entry, servers, trace.Wrap(err)
	})
}

// RunSidecar runs a sidecar until it is told to stop.
func RunSidecar(path string) error {
	return run(path, sidecarNeeds, func(ctx context.Context, process *mustardtidev1.Process, network *mtnet.Net, log *mtevent.Log) (role, []*mtserver.Server, error) {
		sidecar := mtsidecar.New(process, network, log)
		server, err := sidecar.Open(ctx)
		return sidecar, []*mtserver.Server{server}, trace.Wrap(err)
	})
}

// opener opens a role's servers and starts what runs in the background.
type opener func(context.Context, *mustardtidev1.Process, *mtnet.Net, *mtevent.Log) (role, []*mtserver.Server, error)

// run opens a role, serves until a signal and waits for all that it started.
func run(path string, needs []need, open opener) error {
	process, log, err := prepare(path, needs)
	if err != nil {
		return trace.Wrap(err)
	}
	network, err := connect(process)
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	opened, servers, err := open(ctx, process, network, log)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := serve(process, servers, opened.Drain); err != nil {
		return trace.Wrap(err)
	}
	cancel()
	return opened.Wait()
}

// prepare reads the process's settings and opens its log.
func prepare(path string, needs []need) (*mustardtidev1.Process, *mtevent.Log, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, trace.ConvertSystemError(err)
	}
	process := &mustardtidev1.Process{}
	if err := mtschema.New(path).Decode(text, process); err != nil {
		return nil, nil, trace.Wrap(err)
	}
	if err := complete(path, process, needs); err != nil {
		return nil, nil, trace.Wrap(err)
	}
	config := zap.NewProductionConfig()
	// Sampling would leave out events of a burst, which is when they matter.
	config.Sampling = nil
	logger, err := config.Build()
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	klog.SetLogger(kratosLogger{zap: logger})
	return process, mtevent.New(process.GetName(), &mtstamp.Clock{}, logger), nil
}

// connect returns the instance's network, secured where the settings give keys.
func connect(process *mustardtidev1.Process) (*mtnet.Net, error) {
	network := mtnet.System()
	if process.GetTls() == nil {
		return network, nil
	}
	keys, err := mttls.Load(process.GetTls())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return network.Secured(keys.Server(), keys.Client()), nil
}

// serve runs the servers until a signal, drains, and stops them. A second
// signal cuts nothing: kratos reads only the first.
func serve(process *mustardtidev1.Process, servers []*mtserver.Server, drain func(context.Context) error) error {
	stop := process.GetStop().AsDuration()
	if stop == 0 {
		stop = defaultStop
	}
	list := make([]transport.Server, 0, len(servers))
	for _, s := range servers {
		list = append(list, s)
	}
	app := kratos.New(
		kratos.Name(process.GetName()),
		kratos.Server(list...),
		kratos.Signal(syscall.SIGTERM, syscall.SIGINT),
		kratos.StopTimeout(stop),
		kratos.BeforeStop(func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, stop)
			defer cancel()
			return drain(ctx)
		}),
	)
	return trace.Wrap(app.Run())
}

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

// RunEntry runs an entry until it is told to stop.
func RunEntry(path string) error {
	process, log, err := prepare(path)
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	network, err := connect(process)
	if err != nil {
		return trace.Wrap(err)
	}
	entry := mtentry.New(process, network, log)
	servers, err := entry.Open(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := serve(process, servers, entry.Drain); err != nil {
		return trace.Wrap(err)
	}
	cancel()
	return entry.Wait()
}

// RunSidecar runs a sidecar until it is told to stop.
func RunSidecar(path string) error {
	process, log, err := prepare(path)
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	network, err := connect(process)
	if err != nil {
		return trace.Wrap(err)
	}
	sidecar := mtsidecar.New(process, network, log)
	server, err := sidecar.Open(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := serve(process, []*mtserver.Server{server}, sidecar.Drain); err != nil {
		return trace.Wrap(err)
	}
	cancel()
	return sidecar.Wait()
}

func prepare(path string) (*mustardtidev1.Process, *mtevent.Log, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, trace.ConvertSystemError(err)
	}
	process := &mustardtidev1.Process{}
	if err := mtschema.New(path).Decode(text, process); err != nil {
		return nil, nil, trace.Wrap(err)
	}
	logger, err := zap.NewProduction()
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

// Package process assembles the processes of the serving tier. For each role it connects consensus, sessions, stores and
// servers with the addresses and limits of the settings.
package process

import (
	"context"
	"errors"
	"net/http"
	"sync"

	"github.com/joomcode/errorx"
	"github.com/phuslu/log"
	"saffronyard.example/saffronyard/internal/tier/gateway"
	"saffronyard.example/saffronyard/internal/tier/metrics"
	"saffronyard.example/saffronyard/internal/tier/rpc"
	"saffronyard.example/saffronyard/internal/tier/settings"
	"saffronyard.example/saffronyard/internal/tier/wal"
)

// Names of the roles, as used in sessions and logs.
const (
	RoleGateway      = "gateway"
	RoleControlPlane = "controlplane"
	RoleTurnStore    = "turnstore"
)

// Ports of the roles' internal listeners, counted from the first of internal_port_range.
const (
	ControlPlanePort = 0
	TurnStorePort    = 1
)

// metricsPattern is where the internal listeners of control planes and turn stores serve metrics. A gateway serves them at
// its readiness address.
const metricsPattern = http.MethodGet + " " + metrics.Path

// Config is the configuration of a process. Settings and Log are required.
type Config struct {
	Settings settings.Settings
	Log      *log.Logger
	FS       wal.FS // of a turn store's data directory; nil: that of the machine
}

// Process is a running process of the tier.
type Process struct {
	cancel context.CancelFunc
	leave  func() // begins a graceful shutdown; nil: the same as cancel
	client *http.Client
	parts  sync.WaitGroup

	mu     sync.Mutex
	failed error // of the parts that ended by themselves
}

// Start opens the data directory and the ports of a role and begins to serve. Errors are those of the directory, of the
// ports, and of an unknown role. The process ends at once, as by Kill, when ctx does.
func Start(ctx context.Context, role string, config Config) (*Process, error) {
	start, known := map[string]func(*Process, context.Context, Config) error{
		RoleGateway:      (*Process).startGateway,
		RoleControlPlane: (*Process).startControlPlane,
		RoleTurnStore:    (*Process).startTurnStore,
	}[role]
	if !known {
		return nil, errorx.IllegalArgument.New("no role is called %q", role)
	}
	ctx, cancel := context.WithCancel(ctx)
	process := &Process{cancel: cancel, client: rpc.NewClient()}
	if err := start(process, ctx, config); err != nil {
		process.Kill()
		return nil, err
	}
	return process, nil
}

// Leave begins a graceful shutdown, as SIGTERM does: partitions and clients are handed over first, within the grace period.
func (process *Process) Leave() {
	if process.leave == nil {
		process.cancel()
		return
	}
	process.leave()
}

// Wait returns when all parts have ended, with the errors of those that ended by themselves.
func (process *Process) Wait() error {
	process.parts.Wait()
	process.client.CloseIdleConnections()
	process.mu.Lock()
	defer process.mu.Unlock()
	return process.failed
}

// Kill ends the process at once and waits until it has: connections are reset, the data directory stays as it is.
func (process *Process) Kill() {
	process.cancel()
	_ = process.Wait()
}

// run starts a part of the process. When a part ends, all others are stopped.
func (process *Process) run(ctx context.Context, part func(context.Context) error) {
	process.parts.Go(func() {
		err := part(ctx)
		if err != nil && !errors.Is(err, context.Canceled) {
			process.mu.Lock()
			process.failed = errors.Join(process.failed, err)
			process.mu.Unlock()
		}
		process.cancel()
	})
}

// startGateway starts the gateway role. Its errors come from Wait.
func (process *Process) startGateway(ctx context.Context, config Config) error {
	role := gateway.New(gateway.Config{Settings: config.Settings, ControlPlane: dialer(process.client, dialControlPlane),
		TurnStore: dialer(process.client, dialTurnStore), Log: config.Log})
	process.run(ctx, role.Run)
	return nil
}

// Package process assembles the processes of the serving tier. For each role it connects consensus, sessions, stores and
// servers with the addresses and limits of the settings.
//
// A Process owns the goroutines of its components: one that ends stops the others, and Wait returns when all have ended. The
// persistent data of a role is in the data directory of the settings, which the components open; a disk that fails and may recover
// is reopened (disk.go). Exported functions may be called from any goroutine.
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
	cancel     context.CancelFunc
	shutdown   func() // begins a graceful shutdown; nil: the same as cancel
	client     *http.Client
	components sync.WaitGroup

	mu           sync.Mutex
	componentErr error // of the components that ended by themselves
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
		return nil, errorx.IllegalArgument.New("unknown role %q", role)
	}
	ctx, cancel := context.WithCancel(ctx)
	process := &Process{cancel: cancel, client: rpc.NewClient()}
	if err := start(process, ctx, config); err != nil {
		process.Kill()
		return nil, err
	}
	return process, nil
}

// Shutdown begins a graceful shutdown, as SIGTERM does: partitions and clients are handed over first, within the grace period of
// the settings. It may return before the shutdown has ended; Wait waits for that.
func (process *Process) Shutdown() {
	if process.shutdown == nil {
		process.cancel()
		return
	}
	process.shutdown()
}

// Wait returns when all components have ended, with the errors of those that ended by themselves.
func (process *Process) Wait() error {
	process.components.Wait()
	process.client.CloseIdleConnections()
	process.mu.Lock()
	defer process.mu.Unlock()
	return process.componentErr
}

// Kill ends the process at once and waits until it has ended: connections are reset, the data directory stays as it is.
func (process *Process) Kill() {
	process.cancel()
	_ = process.Wait()
}

// runComponent starts a component of the process in a goroutine that Wait waits for. When a component ends, all others are stopped.
func (process *Process) runComponent(ctx context.Context, component func(context.Context) error) {
	process.components.Go(func() {
		err := component(ctx)
		if err != nil && !errors.Is(err, context.Canceled) {
			process.mu.Lock()
			process.componentErr = errors.Join(process.componentErr, err)
			process.mu.Unlock()
		}
		process.cancel()
	})
}

// startGateway starts the gateway role. Wait returns the errors of the role.
func (process *Process) startGateway(ctx context.Context, config Config) error {
	role := gateway.New(gateway.Config{Settings: config.Settings, ControlPlane: dialer(process.client, dialControlPlane),
		TurnStore: dialer(process.client, dialTurnStore), Log: config.Log})
	process.runComponent(ctx, role.Run)
	return nil
}

// Package process assembles the processes of the serving tier from their parts: what a role needs of consensus, sessions,
// stores and servers, wired to the addresses and limits of its settings.
package process

import (
	"context"
	"errors"
	"net/http"
	"sync"

	"dockshift.example/dockshift/internal/tier/gateway"
	"dockshift.example/dockshift/internal/tier/metrics"
	"dockshift.example/dockshift/internal/tier/rpcserver"
	"dockshift.example/dockshift/internal/tier/settings"
	"dockshift.example/dockshift/internal/tier/wal"
	"github.com/joomcode/errorx"
	"github.com/phuslu/log"
)

// Names of the roles, as sessions and logs tell them.
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

// Config is what a process is started with.
type Config struct {
	Settings settings.Settings
	Log      *log.Logger
	FS       wal.FS // of a turn store's data directory; nil: the machine's
}

// Process is a running process of the tier.
type Process struct {
	cancel context.CancelFunc
	leave  func() // begins an orderly end; nil: the same as cancel
	client *http.Client
	loops  sync.WaitGroup

	mu     sync.Mutex
	failed error // of the first loop that ended by itself with an error
}

// Start opens the data directory and the ports of a role and begins its work. Errors are those of the directory, of the
// ports, and of a role that does not exist. The process ends at once, as by a kill, when ctx does.
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
	p := &Process{cancel: cancel, client: rpcserver.NewClient()}
	if err := start(p, ctx, config); err != nil {
		p.Kill()
		return nil, err
	}
	return p, nil
}

// Leave begins an orderly end, as SIGTERM asks for: duties are handed over first, within the grace period.
func (p *Process) Leave() {
	if p.leave == nil {
		p.cancel()
		return
	}
	p.leave()
}

// Wait returns when all work has ended, with the error of a part that ended by itself.
func (p *Process) Wait() error {
	p.loops.Wait()
	p.client.CloseIdleConnections()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failed
}

// Kill ends the process at once and waits for it: connections are reset, the data directory stays as it is.
func (p *Process) Kill() {
	p.cancel()
	_ = p.Wait()
}

// run begins a part of the process. When one ends by itself, all of the process ends.
func (p *Process) run(ctx context.Context, part func(context.Context) error) {
	p.loops.Go(func() {
		err := part(ctx)
		if err != nil && !errors.Is(err, context.Canceled) {
			p.mu.Lock()
			p.failed = errors.Join(p.failed, err)
			p.mu.Unlock()
		}
		p.cancel()
	})
}

func (p *Process) startGateway(ctx context.Context, config Config) error {
	role := gateway.New(gateway.Config{Settings: config.Settings, ControlPlane: dialer(p.client, dialControlPlane),
		TurnStore: dialer(p.client, dialTurnStore), Log: config.Log})
	p.run(ctx, role.Run)
	return nil
}

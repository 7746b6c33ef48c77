// Package gateway is the role that carries the traffic: it takes requests from clients, asks a turn store for what a turn goes on
// from and whether its budget has room, picks an endpoint by the load balancer, and passes the answer back.
package gateway

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"dockshift.example/dockshift/internal/tier/ingress"
	"dockshift.example/dockshift/internal/tier/loadbalancer"
	"dockshift.example/dockshift/internal/tier/routing"
	"dockshift.example/dockshift/internal/tier/session"
	"dockshift.example/dockshift/internal/tier/settings"
	"dockshift.example/dockshift/internal/tier/upstream"
	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
	"github.com/phuslu/log"
)

// Config is what a gateway is given.
type Config struct {
	Settings     settings.Settings
	ControlPlane func(address string) tierv1.ControlPlane
	TurnStore    func(address string) tierv1.TurnStore
	Log          *log.Logger
}

// Gateway carries requests between clients and endpoints. Its methods may be called from any goroutine.
type Gateway struct {
	c       Config
	log     *log.Logger
	started time.Time
	session *session.Client
	stores  *storeClient
	pool    *upstream.Pool
	texts   *textCache

	routing atomic.Pointer[routing.Table]
	listed  atomic.Bool // a list of endpoints has come

	mu           sync.Mutex // guards what follows
	loadbalancer *loadbalancer.Balancer
	endpoints    *tierv1.Endpoints
	serving      map[string]bool // instances on the newest list that are not draining
	freed        chan struct{}   // closed when a place may have come free, if somebody waits
	waiting      int
	releasing    map[string]map[chan struct{}]bool // by program: closed when a reservation that is being released here is settled

	lastReady atomic.Bool // the readiness last answered
	leaving   atomic.Bool
	settling  sync.WaitGroup // settlements that go on behind their requests
}

// New makes a gateway that Run starts.
func New(c Config) *Gateway {
	gateway := &Gateway{c: c, log: c.Log, started: time.Now(), loadbalancer: loadbalancer.New(c.Settings.Zone), freed: make(chan struct{}), releasing: map[string]map[chan struct{}]bool{}}
	gateway.stores = newStoreClient(c.Settings, c.TurnStore, c.Log)
	gateway.pool = newPool(c.Settings)
	gateway.texts = newTextCache(c.Settings.MemoryMB << 20 / 16)
	gateway.session = session.New(session.Config{Settings: c.Settings, Role: "gateway", Dial: c.ControlPlane, Log: c.Log,
		Configuration: gateway.takeConfiguration, Endpoints: gateway.takeEndpoints, PartitionMap: gateway.stores.apply})
	return gateway
}

func (gateway *Gateway) now() time.Duration { return time.Since(gateway.started) }

func (gateway *Gateway) takeConfiguration(v *tierv1.Configuration) {
	c, err := routing.Parse(v.Body)
	if err != nil { // the control plane has checked it
		gateway.log.Error().Str("event", "catalog_unreadable").Err(err).Msg("")
		return
	}
	gateway.routing.Store(c)
	gateway.log.Info().Str("event", "configuration").Int64("revision", c.Revision).Uint64("version", v.Version).Msg("")
	gateway.relist()
}

func (gateway *Gateway) takeEndpoints(v *tierv1.Endpoints) {
	gateway.mu.Lock()
	gateway.endpoints = v
	gateway.mu.Unlock()
	gateway.relist()
	gateway.listed.Store(true)
}

// relist tells the load balancer the endpoints, with what the configuration says of their services.
func (gateway *Gateway) relist() {
	c := gateway.routing.Load()
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	if gateway.endpoints == nil {
		return
	}
	list := make([]loadbalancer.Endpoint, 0, len(gateway.endpoints.List))
	gateway.serving = make(map[string]bool, len(gateway.endpoints.List))
	for _, e := range gateway.endpoints.List {
		one := loadbalancer.Endpoint{Instance: e.Instance, Service: e.Service, Address: e.Address, Zone: e.Zone, Capacity: int(e.Capacity),
			Draining: e.Draining, ColdRemaining: time.Duration(e.ColdRemainingMs) * time.Millisecond}
		if c != nil {
			if s := c.Services[e.Service]; s != nil && s.Engine != nil {
				one.CacheTokens = s.Engine.CacheTokens
			}
		}
		list = append(list, one)
		if !e.Draining {
			gateway.serving[e.Instance] = true
		}
	}
	gateway.loadbalancer.SetEndpoints(gateway.now(), list)
	gateway.wake()
}

// wake has all that wait for a place look again. The caller holds mu.
func (gateway *Gateway) wake() {
	if gateway.waiting > 0 {
		close(gateway.freed)
		gateway.freed = make(chan struct{})
		gateway.waiting = 0
	}
}

// ready: all views have come in this life, and it is neither leaving nor cut off.
func (gateway *Gateway) ready() bool {
	return !gateway.leaving.Load() && !gateway.cutOff() && gateway.routing.Load() != nil && gateway.listed.Load() && gateway.stores.ready()
}

func (gateway *Gateway) limits() ingress.Limits {
	l := ingress.Limits{MaxHeader: 16 << 10, MaxBody: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	if c := gateway.routing.Load(); c != nil {
		l = ingress.Limits{MaxHeader: c.Limits.MaxHeader, MaxBody: c.Limits.MaxBody, HeaderTimeout: c.Limits.HeaderTimeout, IdleTimeout: c.Limits.IdleTimeout}
	}
	return l
}

// Run serves until ctx ends, then leaves: it is not ready any more, goes on for as long as the platform may still send
// clients, and ends what it has read.
func (gateway *Gateway) Run(ctx context.Context) error {
	s := gateway.c.Settings
	sessions, stopSessions := context.WithCancel(context.WithoutCancel(ctx))
	defer stopSessions()
	go gateway.session.Run(sessions)
	probe := &ingress.Server{Handler: gateway.readiness, Limits: gateway.limits, MaxConns: 64, Log: gateway.log}
	server := &ingress.Server{Handler: gateway.handle, Limits: gateway.limits, MaxConns: max(64, s.Descriptors*6/10), Log: gateway.log}
	failed := make(chan error, 2)
	for _, one := range []struct {
		address string
		server  *ingress.Server
	}{{s.Readiness, probe}, {s.Frontend, server}} {
		l, err := listen(ctx, one.address)
		if err != nil {
			return err
		}
		go func() { failed <- one.server.Serve(l) }()
	}
	gateway.log.Info().Str("event", "started").Str("role", "gateway").Str("node", s.Node).Msg("")
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	gateway.leaving.Store(true)
	gateway.session.Leave()
	gateway.log.Info().Str("event", "leaving").Str("node", s.Node).Msg("")
	server.Drain()
	// The platform asks once a second and sends clients until two answers were missed.
	linger := time.NewTimer(min(3*time.Second, s.Grace*2/5))
	<-linger.C
	last, cancel := context.WithTimeout(sessions, s.Grace/2)
	defer cancel()
	err := server.Shutdown(last)
	done := make(chan struct{})
	go func() { gateway.settling.Wait(); close(done) }()
	select {
	case <-done:
	case <-last.Done():
	}
	gateway.log.Info().Str("event", "left").Str("node", s.Node).Msg("")
	return err
}

// listen waits a little for a port that a former process may still hold.
func listen(ctx context.Context, address string) (net.Listener, error) {
	var lc net.ListenConfig
	for until := time.Now().Add(5 * time.Second); ; {
		l, err := lc.Listen(ctx, "tcp", address)
		if err == nil || ctx.Err() != nil || time.Now().After(until) {
			return l, err
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (gateway *Gateway) readiness(x *ingress.Exchange) {
	ready := gateway.ready()
	if gateway.lastReady.Swap(ready) != ready {
		gateway.log.Info().Str("event", "readiness").Bool("ready", ready).Msg("")
	}
	if ready {
		x.Respond(200, nil, nil)
		return
	}
	x.Respond(503, nil, nil)
}

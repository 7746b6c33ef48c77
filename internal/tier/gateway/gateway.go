// Package gateway is the role that carries the traffic: it takes requests from clients, asks a turn store for what a turn goes on
// from and whether its budget has room, picks an endpoint by the load balancer, and passes the answer back.
package gateway

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"saffronyard.example/saffronyard/internal/tier/ingress"
	"saffronyard.example/saffronyard/internal/tier/loadbalancer"
	"saffronyard.example/saffronyard/internal/tier/routing"
	"saffronyard.example/saffronyard/internal/tier/rpc"
	"saffronyard.example/saffronyard/internal/tier/session"
	"saffronyard.example/saffronyard/internal/tier/settings"
	"saffronyard.example/saffronyard/internal/tier/upstream"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// Config is what a gateway is given; all of it is needed.
type Config struct {
	Settings     settings.Settings
	ControlPlane func(address string) tierv1.ControlPlane // a client of the control plane's process there
	TurnStore    func(address string) tierv1.TurnStore    // a client of the turn store there
	Log          *log.Logger
}

// Gateway carries requests between clients and endpoints. Its methods may be called from any goroutine.
type Gateway struct {
	config      Config
	log         *log.Logger
	started     time.Time
	session     *session.Client
	storeClient *storeClient
	pool        *upstream.Pool
	transcripts *transcriptCache
	affinity    *affinityTable

	routing      atomic.Pointer[routing.Table]
	hasEndpoints atomic.Bool // a list of endpoints has come

	mu              sync.Mutex // guards what follows
	loadbalancer    *loadbalancer.Balancer
	endpoints       *tierv1.Endpoints
	routable        map[string]bool // instances on the newest list that are not draining
	capacityFreed   chan struct{}   // closed when a place may have come free, if somebody waits
	waiters         int
	pendingReleases map[string]map[chan struct{}]bool // by program: closed when a reservation that is being released here is settled

	ejectionsVersion uint64 // version of the newest ejection that others reported and that was taken

	counters       *counters
	activeRequests atomic.Int64 // requests of clients under way
	lastReady      atomic.Bool  // the readiness last answered
	draining       atomic.Bool
	settlements    sync.WaitGroup // settlements that go on behind their requests

	runContext       context.Context // ends with Run
	cancelRun        context.CancelFunc
	lateReleaseSlots chan struct{}             // semaphore of releases that go on beyond their usual time
	healthReports    chan loadbalancer.Reports // to be reported
}

// New makes a gateway that Run starts.
func New(c Config) *Gateway {
	gateway := &Gateway{config: c, log: c.Log, started: time.Now(), loadbalancer: loadbalancer.New(c.Settings.Zone, c.Settings.Node),
		capacityFreed: make(chan struct{}), pendingReleases: map[string]map[chan struct{}]bool{}, lateReleaseSlots: make(chan struct{}, maxLateReleases),
		healthReports: make(chan loadbalancer.Reports, maxQueuedHealthReports),
		counters:      newCounters()}
	gateway.runContext, gateway.cancelRun = context.WithCancel(context.Background())
	gateway.storeClient = newStoreClient(c.Settings, c.TurnStore, c.Log)
	gateway.pool = newPool(c.Settings)
	gateway.transcripts = newTranscriptCache(c.Settings.MemoryMB << 20 / 16)
	gateway.affinity = newAffinityTable()
	gateway.session = session.New(session.Config{Settings: c.Settings, Role: "gateway", Dial: c.ControlPlane, Log: c.Log,
		Configuration: gateway.applyConfiguration, Endpoints: gateway.applyEndpoints, PartitionMap: gateway.storeClient.apply, Ejections: gateway.applyEjections})
	return gateway
}

// now is a steady time since the gateway was made.
func (gateway *Gateway) now() time.Duration { return time.Since(gateway.started) }

// applyConfiguration puts a newer configuration in force.
func (gateway *Gateway) applyConfiguration(configuration *tierv1.Configuration) {
	table, err := routing.Parse(configuration.Body)
	if err != nil { // the control plane has checked it
		gateway.log.Error().Str("event", "catalog_unreadable").Err(err).Msg("")
		return
	}
	gateway.routing.Store(table)
	gateway.log.Info().Str("event", "configuration").Int64("revision", table.Revision).Uint64("version", configuration.Version).Msg("")
	gateway.updateBalancer()
}

// applyEndpoints puts a newer list of endpoints in force.
func (gateway *Gateway) applyEndpoints(endpoints *tierv1.Endpoints) {
	gateway.mu.Lock()
	gateway.endpoints = endpoints
	gateway.mu.Unlock()
	gateway.updateBalancer()
	gateway.hasEndpoints.Store(true)
}

// updateBalancer tells the load balancer the endpoints, with what the configuration says of their services.
func (gateway *Gateway) updateBalancer() {
	table := gateway.routing.Load()
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	if gateway.endpoints == nil {
		return
	}
	list := make([]loadbalancer.Endpoint, 0, len(gateway.endpoints.List))
	gateway.routable = make(map[string]bool, len(gateway.endpoints.List))
	for _, e := range gateway.endpoints.List {
		list = append(list, loadbalancer.Endpoint{Instance: e.Instance, Service: e.Service, Address: e.Address, Zone: e.Zone,
			Capacity: int(e.Capacity), Draining: e.Draining, SlowStartRemaining: time.Duration(e.SlowStartRemainingMs) * time.Millisecond,
			CacheTokens: cacheTokens(table, e.Service)})
		if !e.Draining {
			gateway.routable[e.Instance] = true
		}
	}
	gateway.loadbalancer.SetEndpoints(gateway.now(), list)
	gateway.notifyWaiters()
}

// cacheTokens is the memory of the engines of a service, in tokens; 0 where they are none or the configuration has not come.
func cacheTokens(table *routing.Table, name string) int64 {
	if table == nil {
		return 0
	}
	service := table.Services[name]
	if service == nil || service.Engine == nil {
		return 0
	}
	return service.Engine.CacheTokens
}

// notifyWaiters has all that wait for a place look again. The caller holds mu.
func (gateway *Gateway) notifyWaiters() {
	if gateway.waiters > 0 {
		close(gateway.capacityFreed)
		gateway.capacityFreed = make(chan struct{})
		gateway.waiters = 0
	}
}

// ready: all views have come in this life, and it is neither leaving nor cut off.
func (gateway *Gateway) ready() bool {
	return !gateway.draining.Load() && !gateway.isolated() && gateway.routing.Load() != nil && gateway.hasEndpoints.Load() && gateway.storeClient.ready()
}

// limits bound what clients send, by the configuration in force; until one has come, by defaults.
func (gateway *Gateway) limits() ingress.Limits {
	table := gateway.routing.Load()
	if table == nil {
		return ingress.Limits{MaxHeader: 16 << 10, MaxBody: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	}
	return ingress.Limits{MaxHeader: table.Limits.MaxHeader, MaxBody: table.Limits.MaxBody,
		HeaderTimeout: table.Limits.HeaderTimeout, IdleTimeout: table.Limits.IdleTimeout}
}

// Run serves until ctx ends, then leaves: it is not ready any more, goes on for as long as the platform may still send
// clients, and ends what it has read.
func (gateway *Gateway) Run(ctx context.Context) error {
	defer gateway.cancelRun()
	settings := gateway.config.Settings
	sessions, stopSessions := context.WithCancel(context.WithoutCancel(ctx))
	defer stopSessions()
	go gateway.session.Run(sessions)
	go gateway.reportHealth(sessions)
	probe := &ingress.Server{Handler: gateway.probe, Limits: gateway.limits, MaxConns: 64, Log: gateway.log}
	server := &ingress.Server{Handler: gateway.handle, Limits: gateway.limits, MaxConns: max(64, settings.Descriptors*6/10), Log: gateway.log}
	failed := make(chan error, 2)
	for _, one := range []struct {
		address string
		server  *ingress.Server
	}{{settings.Readiness, probe}, {settings.Frontend, server}} {
		l, err := rpc.Listen(ctx, net.ListenConfig{}, one.address, anyError)
		if err != nil {
			return err
		}
		go func() { failed <- one.server.Serve(l) }()
	}
	gateway.log.Info().Str("event", "started").Str("role", "gateway").Str("node", settings.Node).Msg("")
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	return gateway.shutdown(sessions, server)
}

// anyError has the gateway retry to listen whatever the error is.
func anyError(error) bool { return true }

// shutdown ends the gateway in order. ctx is that of its sessions: they stand until the last answer has been given.
func (gateway *Gateway) shutdown(ctx context.Context, server *ingress.Server) error {
	settings := gateway.config.Settings
	gateway.draining.Store(true)
	gateway.session.Drain()
	gateway.log.Info().Str("event", "leaving").Str("node", settings.Node).Msg("")
	server.Drain()
	// The platform asks once a second and sends clients until two answers were missed.
	linger := time.NewTimer(min(3*time.Second, settings.Grace*2/5))
	<-linger.C
	last, cancel := context.WithTimeout(ctx, settings.Grace/2)
	defer cancel()
	err := server.Shutdown(last)
	settled := make(chan struct{})
	go func() { gateway.settlements.Wait(); close(settled) }()
	select {
	case <-settled:
	case <-last.Done():
	}
	gateway.log.Info().Str("event", "left").Str("node", settings.Node).Msg("")
	return err
}

// readiness answers the platform: 200 while the gateway is ready, else 503.
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

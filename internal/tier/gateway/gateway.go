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

// Config configures a gateway. All fields are required.
type Config struct {
	Settings     settings.Settings
	ControlPlane func(address string) tierv1.ControlPlane // returns a client of the control-plane process at an internal address
	TurnStore    func(address string) tierv1.TurnStore    // returns a client of the turn store at an internal address
	Log          *log.Logger
}

// Gateway forwards requests of clients to endpoints, and the answers to the clients. Its methods are safe for concurrent use.
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
	hasEndpoints atomic.Bool // endpoints have been received

	mu              sync.Mutex // guards the fields up to ejectionsVersion
	loadbalancer    *loadbalancer.Balancer
	endpoints       *tierv1.Endpoints
	routable        map[string]bool                   // instances in the newest endpoint list that are not draining
	capacityFreed   chan struct{}                     // closed and replaced when waiting requests should select an endpoint again
	waiters         int                               // requests that wait for capacityFreed
	pendingReleases map[string]map[chan struct{}]bool // by program; a channel is closed when its reservation is released or given up

	ejectionsVersion uint64 // of the newest ejection applied

	counters       *counters
	activeRequests atomic.Int64 // in flight
	lastReady      atomic.Bool  // readiness as last logged
	draining       atomic.Bool
	settlements    sync.WaitGroup // background releases, except late ones

	runContext       context.Context // canceled when Run returns
	cancelRun        context.CancelFunc
	lateReleaseSlots chan struct{}             // semaphore of late releases
	healthReports    chan loadbalancer.Reports // to be sent to the control plane
}

const (
	maxProbeConnections     = 64              // to the readiness address
	minClientConnections    = 64              // least limit on client connections; higher if the file descriptors allow it
	maxLinger               = 3 * time.Second // longest time for which a draining gateway still accepts new clients
	transcriptCacheFraction = 16              // cached transcripts may take 1/transcriptCacheFraction of the memory
)

// New returns a gateway that is idle until Run.
func New(config Config) *Gateway {
	gateway := &Gateway{config: config, log: config.Log, started: time.Now(), loadbalancer: loadbalancer.New(config.Settings.Zone, config.Settings.Node),
		capacityFreed: make(chan struct{}), pendingReleases: map[string]map[chan struct{}]bool{}, lateReleaseSlots: make(chan struct{}, maxLateReleases),
		healthReports: make(chan loadbalancer.Reports, maxQueuedHealthReports),
		counters:      newCounters()}
	gateway.runContext, gateway.cancelRun = context.WithCancel(context.Background())
	gateway.storeClient = newStoreClient(config.Settings, config.TurnStore)
	gateway.pool = newPool(config.Settings)
	gateway.transcripts = newTranscriptCache(config.Settings.MemoryMB << 20 / transcriptCacheFraction)
	gateway.affinity = newAffinityTable()
	gateway.session = session.New(session.Config{Settings: config.Settings, Role: "gateway", Dial: config.ControlPlane, Log: config.Log,
		Configuration: gateway.applyConfiguration, Endpoints: gateway.applyEndpoints, PartitionMap: gateway.storeClient.apply, Ejections: gateway.applyEjections})
	return gateway
}

// now returns the monotonic time since New.
func (gateway *Gateway) now() time.Duration { return time.Since(gateway.started) }

// Run serves until ctx ends, then shuts down gracefully: it reports that it is not ready, serves for as long as the platform may
// still send clients, and completes the requests that it has read. It returns the error of a listener, or of a shutdown that took
// longer than half of the grace period.
func (gateway *Gateway) Run(ctx context.Context) error {
	defer gateway.cancelRun()
	settings := gateway.config.Settings
	sessions, stopSessions := context.WithCancel(context.WithoutCancel(ctx))
	defer stopSessions()
	go gateway.session.Run(sessions)
	go gateway.reportHealth(sessions)
	probe := &ingress.Server{Handler: gateway.probe, Limits: gateway.limits, MaxConns: maxProbeConnections, Log: gateway.log}
	server := &ingress.Server{Handler: gateway.handle, Limits: gateway.limits, MaxConns: max(minClientConnections, settings.MaxFileDescriptors*6/10), Log: gateway.log}
	failed := make(chan error, 2)
	for _, listener := range []struct {
		address string
		server  *ingress.Server
	}{{settings.Readiness, probe}, {settings.Frontend, server}} {
		l, err := rpc.Listen(ctx, net.ListenConfig{}, listener.address, anyError)
		if err != nil {
			return err
		}
		go func() { failed <- listener.server.Serve(l) }()
	}
	gateway.log.Info().Str("event", "started").Str("role", "gateway").Str("node", settings.Node).Msg("started to serve")
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	return gateway.shutdown(sessions, server)
}

// anyError makes rpc.Listen retry after any error.
func anyError(error) bool { return true }

// shutdown shuts down gracefully. ctx is the context of the control-plane session, which must last until the last answer is sent.
func (gateway *Gateway) shutdown(ctx context.Context, server *ingress.Server) error {
	settings := gateway.config.Settings
	gateway.draining.Store(true)
	gateway.session.Drain()
	gateway.log.Info().Str("event", "leaving").Str("node", settings.Node).Msg("draining")
	server.Drain()
	// The platform checks readiness once a second, and sends clients until two checks have failed.
	linger := time.NewTimer(min(maxLinger, settings.GracePeriod*2/5))
	<-linger.C
	last, cancel := context.WithTimeout(ctx, settings.GracePeriod/2)
	defer cancel()
	err := server.Shutdown(last)
	settled := make(chan struct{})
	go func() { gateway.settlements.Wait(); close(settled) }()
	select {
	case <-settled:
	case <-last.Done():
	}
	gateway.log.Info().Str("event", "left").Str("node", settings.Node).Msg("shut down")
	return err
}

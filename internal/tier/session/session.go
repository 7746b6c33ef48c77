package session

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/phuslu/log"

	"saffronyard.example/saffronyard/internal/tier/rpc"
	"saffronyard.example/saffronyard/internal/tier/settings"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// Config is the configuration of a Client.
type Config struct {
	Settings    settings.Settings
	Role        string // gateway or turnstore
	Folder      string // identity of a turn store; empty for other roles
	Address     string // of this process's internal listener, empty if none
	EmptyFolder bool   // the folder was empty at the start
	Dial        func(address string) tierv1.ControlPlane
	// Synced returns the replicas of a turn store's partitions that are synced, and a channel that is closed at the next
	// change of these or of Disk. It is nil for other roles.
	Synced func() ([]*tierv1.SyncedReplica, <-chan struct{})
	// Disk returns the state of a turn store's disk. It is nil for other roles.
	Disk func() tierv1.DiskState
	Log  *log.Logger

	// Configuration, Endpoints, PartitionMap and Ejections are called with newer versions, one call after the other, on the
	// goroutine of Run. They must not block. Any may be nil.
	Configuration func(*tierv1.Configuration)
	Endpoints     func(*tierv1.Endpoints)
	PartitionMap  func(*tierv1.PartitionMap)
	Ejections     func(*tierv1.Ejections) // endpoints that several gateways have ejected; an endpoint may be delivered again
}

// Client is a session. Its methods may be called from any goroutine; Run is called once.
type Client struct {
	config      Config
	incarnation string   // of this process, new with each start
	seeds       []string // addresses

	mu        sync.Mutex          // guards all below
	applied   tierv1.WatchRequest // the versions that are in force here, which the next call acknowledges
	members   []string            // addresses
	hint      string              // address of the primary, as last known
	active    bool                // the primary answered the last call
	lastReply time.Time           // of the primary; zero: none in this incarnation
	draining  bool
	lease     lease
	roundTrip roundTrip // to the primary
}

// New returns a session that begins with Run.
func New(config Config) *Client {
	client := &Client{config: config, incarnation: rpc.NewIncarnation(), seeds: config.Settings.SeedInternal()}
	client.lease.length = config.Settings.ContactWindow * leaseTenths / 10
	return client
}

// Active reports whether the session is active, that is, the primary answered the last call, and how long ago it last
// answered.
func (client *Client) Active() (bool, time.Duration) {
	client.mu.Lock()
	defer client.mu.Unlock()
	if client.lastReply.IsZero() {
		return false, time.Hour
	}
	return client.active, time.Since(client.lastReply)
}

// Remaining returns how much longer the session is active if the primary answers no further call; 0 if it is not active.
func (client *Client) Remaining() time.Duration {
	active, since := client.Active()
	if !active {
		return 0
	}
	return max(0, client.callTimeout()-since)
}

// Primary returns the last known internal address of the primary, empty if it is unknown.
func (client *Client) Primary() string {
	client.mu.Lock()
	defer client.mu.Unlock()
	return client.hint
}

// ReportHealth reports to the primary which endpoints were ejected here, and which ejected ones have answered since. The
// report is a hint: it is sent once, and may be lost.
func (client *Client) ReportHealth(ctx context.Context, ejected, restored []string) {
	at := client.Primary()
	if active, _ := client.Active(); !active || at == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, client.config.Settings.ContactWindow/searchDivisor)
	defer cancel()
	report := &tierv1.EjectionReport{Node: client.config.Settings.Node, Ejected: ejected, Restored: restored}
	if _, err := client.config.Dial(at).ReportEjections(ctx, report); err != nil {
		client.config.Log.Debug().Str("event", "ejections_unreported").Err(err).Msg("failed to report ejections")
	}
}

// Drain makes the session report, from the next call on, that the process is draining.
func (client *Client) Drain() {
	client.mu.Lock()
	client.draining = true
	client.mu.Unlock()
}

// Run maintains the session until ctx ends: it finds the primary and makes consecutive long polls.
func (client *Client) Run(ctx context.Context) {
	window := client.config.Settings.ContactWindow
	failures := 0 // searches in a row without success
	for ctx.Err() == nil {
		limit := searchLimit(window, failures)
		begun := time.Now()
		primary := client.findPrimary(ctx, limit)
		client.recordSearch(time.Since(begun), limit, primary)
		if primary.address == "" {
			failures++
			client.markInactive("no primary found")
			sleep(ctx, window/searchPauseDivisor+rand.N(window/searchPauseDivisor+1))
			continue
		}
		failures = 0
		for ctx.Err() == nil && client.watch(ctx, primary.address) {
		}
	}
}

// markInactive records that the session is not active; the reason is logged.
func (client *Client) markInactive(reason string) {
	client.mu.Lock()
	was := client.active
	client.active = false
	client.mu.Unlock()
	if was {
		client.config.Log.Warn().Str("event", "session_lost").Str("why", reason).Msg("lost the session with the primary")
	}
}

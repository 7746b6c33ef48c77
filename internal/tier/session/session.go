// Package session holds a process's session with the control primary: one held call after the other (Watch), each of which
// acknowledges what the last one brought. It finds the primary among seeds and members, and moves on when it falls silent.
package session

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/phuslu/log"
	"saffronyard.example/saffronyard/internal/tier/rpcserver"
	"saffronyard.example/saffronyard/internal/tier/settings"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// Parts of the contact window: a session must be found again well inside it.
const (
	holdPart      = 6  // a held call lasts so long at most,
	turnStorePart = 12 // and a turn store's so long: its loss holds up all turns of its partitions
	graceOver     = 10 // and its answer is waited for so much longer, at least: a distant primary holds for less
	lookPart      = 8  // one asked whether it is the primary answers within it
	answerPart    = 1  // a call of a search that is over is broken off after it
	pausePart     = 60 // between rounds of asking
)

// Config is what a session is given.
type Config struct {
	Settings settings.Settings
	Role     string // gateway or turn store
	Folder   string // a turn store's identity
	Address  string // of this process's internal listener, empty if none
	Empty    bool   // the folder was empty at the start
	Dial     func(address string) tierv1.ControlPlane
	Synced   func() ([]*tierv1.SyncedReplica, <-chan struct{}) // of a turn store: copies that are whole, and a channel closed at the next change
	Disk     func() tierv1.DiskState                           // of a turn store: how its disk is; a change closes Synced's channel, too
	Log      *log.Logger

	// Called with newer views, one after the other. They must not block.
	Configuration func(*tierv1.Configuration)
	Endpoints     func(*tierv1.Endpoints)
	PartitionMap  func(*tierv1.PartitionMap)
	Ejections     func(*tierv1.Ejections) // endpoints that several gateways have ejected; the same one may come again
}

// Client is a session. Its methods may be called from any goroutine; Run is called once.
type Client struct {
	config Config
	life   string   // of this process, new with each start
	seeds  []string // addresses

	mu        sync.Mutex
	applied   tierv1.WatchRequest // versions taken
	members   []string            // addresses
	hint      string              // address of the primary, as last known
	stands    bool                // the last call was answered by the primary
	lastReply time.Time           // of the primary; zero: none in this life
	leaving   bool
	lease     lease
	roundTrip roundTrip // to the primary
}

// New makes a session that Run begins.
func New(c Config) *Client {
	client := &Client{config: c, life: rpcserver.Life(), seeds: c.Settings.SeedInternal()}
	client.lease.length = c.Settings.ContactWindow * leaseTenths / 10
	return client
}

// Stands tells whether the session stands, and how long ago the primary answered last.
func (client *Client) Stands() (bool, time.Duration) {
	client.mu.Lock()
	defer client.mu.Unlock()
	if client.lastReply.IsZero() {
		return false, time.Hour
	}
	return client.stands, time.Since(client.lastReply)
}

// Remaining tells how much longer the session stands if the primary answers no more; 0 where it does not stand.
func (client *Client) Remaining() time.Duration {
	stands, since := client.Stands()
	if !stands {
		return 0
	}
	return max(0, client.patience()-since)
}

// longestHold is how long the primary may hold a call where its answer takes no longer than a tenth of the contact window.
func (client *Client) longestHold() time.Duration {
	window := client.config.Settings.ContactWindow
	if client.config.Folder != "" {
		return window / turnStorePart
	}
	return window / holdPart
}

// patience is how long a held call is waited for in all. The age of what an answer brings is bounded by it, so it does not
// depend on how distant the primary is.
func (client *Client) patience() time.Duration {
	return client.longestHold() + client.config.Settings.ContactWindow/graceOver
}

// hold is how long the primary may hold a call: what patience leaves beside the time that the answer takes. The control plane
// reckons with the same sum: it takes a session that holds calls for less to be so much more distant.
func (client *Client) hold() time.Duration {
	window := client.config.Settings.ContactWindow
	patience := client.patience()
	client.mu.Lock()
	defer client.mu.Unlock()
	return patience - client.roundTrip.answerWait(window/graceOver, patience-window/pausePart)
}

// Primary is the address of the control primary as last known.
func (client *Client) Primary() string {
	client.mu.Lock()
	defer client.mu.Unlock()
	return client.hint
}

// ReportHealth tells the primary of endpoints that were ejected here, and of ejected ones that have answered. The report is a hint: it
// is made once, and may be lost.
func (client *Client) ReportHealth(ctx context.Context, ejected, restored []string) {
	at := client.Primary()
	if stands, _ := client.Stands(); !stands || at == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, client.config.Settings.ContactWindow/lookPart)
	defer cancel()
	report := &tierv1.EjectionReport{Node: client.config.Settings.Node, Ejected: ejected, Restored: restored}
	if _, err := client.config.Dial(at).ReportEjections(ctx, report); err != nil {
		client.config.Log.Debug().Str("event", "ejections_unreported").Err(err).Msg("")
	}
}

// Leave tells control from the next call on that the process is leaving.
func (client *Client) Leave() {
	client.mu.Lock()
	client.leaving = true
	client.mu.Unlock()
}

// Run keeps the session until ctx ends.
func (client *Client) Run(ctx context.Context) {
	window := client.config.Settings.ContactWindow
	failures := 0 // searches in a row that found none
	for ctx.Err() == nil {
		limit := searchLimit(window, failures)
		begun := time.Now()
		primary := client.findPrimary(ctx, limit)
		client.noteSearch(time.Since(begun), limit, primary)
		if primary.at == "" {
			failures++
			client.markLost("no primary found")
			pause(ctx, window/pausePart+rand.N(window/pausePart+1))
			continue
		}
		failures = 0
		for ctx.Err() == nil && client.watch(ctx, primary.at) {
		}
	}
}

// pause waits for d, or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// markLost notes that the session does not stand; why goes into the log.
func (client *Client) markLost(why string) {
	client.mu.Lock()
	was := client.stands
	client.stands = false
	client.mu.Unlock()
	if was {
		client.config.Log.Warn().Str("event", "session_lost").Str("why", why).Msg("")
	}
}

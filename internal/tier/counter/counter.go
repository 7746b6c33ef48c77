// Package counter is the role that carries the traffic: it takes requests from clients, asks a vault for what a turn goes on
// from and whether its budget has room, picks an endpoint by the board, and passes the answer back.
package counter

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"dockshift.example/dockshift/internal/tier/board"
	"dockshift.example/dockshift/internal/tier/catalog"
	"dockshift.example/dockshift/internal/tier/front"
	"dockshift.example/dockshift/internal/tier/session"
	"dockshift.example/dockshift/internal/tier/settings"
	"dockshift.example/dockshift/internal/tier/upstream"
	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
	"github.com/phuslu/log"
)

// Config is what a counter is told.
type Config struct {
	Settings settings.Settings
	Clearing func(address string) tierv1.Clearing
	Vault    func(address string) tierv1.Vault
	Log      *log.Logger
}

// Counter is the role.
type Counter struct {
	c       Config
	log     *log.Logger
	started time.Time
	session *session.Client
	keeping *keeping
	pool    *upstream.Pool
	held    *held

	catalog atomic.Pointer[catalog.Catalog]
	listed  atomic.Bool // a list of endpoints has come

	mu        sync.Mutex // guards what follows
	board     *board.Board
	endpoints *tierv1.Endpoints
	serving   map[string]bool // instances on the newest list that are not draining
	freed     chan struct{}   // closed when a place may have come free, if somebody waits
	waiting   int
	dropping  map[string]map[chan struct{}]bool // by program: closed when a reservation that is given up here is settled

	told     atomic.Bool // the readiness told last
	leaving  atomic.Bool
	settling sync.WaitGroup // settlements that go on behind their requests
}

// New makes a counter that Run starts.
func New(c Config) *Counter {
	k := &Counter{c: c, log: c.Log, started: time.Now(), board: board.New(c.Settings.Zone), freed: make(chan struct{}), dropping: map[string]map[chan struct{}]bool{}}
	k.keeping = newKeeping(c.Settings, c.Vault, c.Log)
	k.pool = newPool(c.Settings)
	k.held = newHeld(c.Settings.MemoryMB << 20 / 16)
	k.session = session.New(session.Config{Settings: c.Settings, Role: "counter", Dial: c.Clearing, Log: c.Log,
		Catalog: k.takeCatalog, Endpoints: k.takeEndpoints, Vaults: k.keeping.apply})
	return k
}

func (k *Counter) now() time.Duration { return time.Since(k.started) }

func (k *Counter) takeCatalog(v *tierv1.Catalog) {
	c, err := catalog.Parse(v.Body)
	if err != nil { // control has checked it
		k.log.Error().Str("event", "catalog_unreadable").Err(err).Msg("")
		return
	}
	k.catalog.Store(c)
	k.log.Info().Str("event", "catalog").Int64("revision", c.Revision).Uint64("version", v.Version).Msg("")
	k.relist()
}

func (k *Counter) takeEndpoints(v *tierv1.Endpoints) {
	k.mu.Lock()
	k.endpoints = v
	k.mu.Unlock()
	k.relist()
	k.listed.Store(true)
}

// relist tells the board the endpoints, with what the catalog says of their services.
func (k *Counter) relist() {
	c := k.catalog.Load()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.endpoints == nil {
		return
	}
	list := make([]board.Endpoint, 0, len(k.endpoints.List))
	k.serving = make(map[string]bool, len(k.endpoints.List))
	for _, e := range k.endpoints.List {
		one := board.Endpoint{Instance: e.Instance, Service: e.Service, Address: e.Address, Zone: e.Zone, Capacity: int(e.Capacity),
			Draining: e.Draining, ColdRemaining: time.Duration(e.ColdRemainingMs) * time.Millisecond}
		if c != nil {
			if s := c.Services[e.Service]; s != nil && s.Engine != nil {
				one.CacheTokens = s.Engine.CacheTokens
			}
		}
		list = append(list, one)
		if !e.Draining {
			k.serving[e.Instance] = true
		}
	}
	k.board.SetEndpoints(k.now(), list)
	k.wake()
}

// wake has all that wait for a place look again. The caller holds mu.
func (k *Counter) wake() {
	if k.waiting > 0 {
		close(k.freed)
		k.freed = make(chan struct{})
		k.waiting = 0
	}
}

// ready: all views have come in this life, and it is not leaving.
func (k *Counter) ready() bool {
	return !k.leaving.Load() && k.catalog.Load() != nil && k.listed.Load() && k.keeping.ready()
}

func (k *Counter) limits() front.Limits {
	l := front.Limits{MaxHeader: 16 << 10, MaxBody: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	if c := k.catalog.Load(); c != nil {
		l = front.Limits{MaxHeader: c.Limits.MaxHeader, MaxBody: c.Limits.MaxBody, HeaderTimeout: c.Limits.HeaderTimeout, IdleTimeout: c.Limits.IdleTimeout}
	}
	return l
}

// Run serves until ctx ends, then leaves: it is not ready any more, goes on for as long as the platform may still send
// clients, and ends what it has read.
func (k *Counter) Run(ctx context.Context) error {
	s := k.c.Settings
	held, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	go k.session.Run(held)
	probe := &front.Server{Handler: k.readiness, Limits: k.limits, MaxConns: 64, Log: k.log}
	server := &front.Server{Handler: k.handle, Limits: k.limits, MaxConns: max(64, s.Descriptors*6/10), Log: k.log}
	failed := make(chan error, 2)
	for _, one := range []struct {
		address string
		server  *front.Server
	}{{s.Readiness, probe}, {s.Frontend, server}} {
		l, err := listen(ctx, one.address)
		if err != nil {
			return err
		}
		go func() { failed <- one.server.Serve(l) }()
	}
	k.log.Info().Str("event", "started").Str("role", "counter").Str("node", s.Node).Msg("")
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	k.leaving.Store(true)
	k.session.Leave()
	k.log.Info().Str("event", "leaving").Str("node", s.Node).Msg("")
	server.Drain()
	// The platform asks once a second and sends clients until two answers were missed.
	linger := time.NewTimer(min(3*time.Second, s.Grace*2/5))
	<-linger.C
	last, cancel := context.WithTimeout(held, s.Grace/2)
	defer cancel()
	err := server.Shutdown(last)
	done := make(chan struct{})
	go func() { k.settling.Wait(); close(done) }()
	select {
	case <-done:
	case <-last.Done():
	}
	k.log.Info().Str("event", "left").Str("node", s.Node).Msg("")
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

func (k *Counter) readiness(x *front.Exchange) {
	ready := k.ready()
	if k.told.Swap(ready) != ready {
		k.log.Info().Str("event", "readiness").Bool("ready", ready).Msg("")
	}
	if ready {
		x.Respond(200, nil, nil)
		return
	}
	x.Respond(503, nil, nil)
}

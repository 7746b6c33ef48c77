// Package session holds a process's session with the control primary: one held call after the other (Watch), each of which
// acknowledges what the last one brought. It finds the primary among seeds and members, and moves on when it falls silent.
package session

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"dockshift.example/dockshift/internal/tier/rpcserver"
	"dockshift.example/dockshift/internal/tier/settings"
	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
	"github.com/joomcode/errorx"
	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"
)

// Parts of the contact window: a session must be found again well inside it.
const (
	holdPart      = 6  // a held call lasts so long at most,
	turnStorePart = 12 // and a turn store's so long: its loss holds up all turns of its partitions
	graceOver     = 10 // and its answer is waited for so much longer
	lookPart      = 8  // one asked whether it is the primary answers within it
	pausePart     = 60 // between rounds of asking
)

// Config is what a session is told.
type Config struct {
	Settings settings.Settings
	Role     string // gateway or turn store
	Folder   string // a turn store's identity
	Address  string // of this process's internal listener, empty if none
	Empty    bool   // the folder was empty at the start
	Dial     func(address string) tierv1.ControlPlane
	Synced   func() ([]*tierv1.SyncedCopy, <-chan struct{}) // of a turn store: copies that are whole, and a channel closed at the next change
	Log      *log.Logger

	// Told of newer views, one after the other. They must not block.
	Configuration func(*tierv1.Configuration)
	Endpoints     func(*tierv1.Endpoints)
	PartitionMap  func(*tierv1.PartitionMap)
}

// Client is a session.
type Client struct {
	config Config
	life   string
	seeds  []string

	mu        sync.Mutex
	applied   tierv1.WatchRequest // versions taken
	members   []string            // addresses
	hint      string
	stands    bool
	lastReply time.Time
	leaving   bool
	lease     lease
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

// Primary is the address of the control primary as last known.
func (client *Client) Primary() string {
	client.mu.Lock()
	defer client.mu.Unlock()
	return client.hint
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
	for ctx.Err() == nil {
		begun := time.Now()
		at := client.findPrimary(ctx)
		client.noteSearch(begun, at != "")
		if at == "" {
			client.markLost("no primary found")
			pause(ctx, window/pausePart+rand.N(window/pausePart+1))
			continue
		}
		for ctx.Err() == nil && client.watch(ctx, at) {
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func (client *Client) markLost(why string) {
	client.mu.Lock()
	was := client.stands
	client.stands = false
	client.mu.Unlock()
	if was {
		client.config.Log.Warn().Str("event", "session_lost").Str("why", why).Msg("")
	}
}

// candidates are all that may be or know the primary, the hint first.
func (client *Client) candidates() []string {
	client.mu.Lock()
	defer client.mu.Unlock()
	var all []string
	seen := map[string]bool{"": true}
	for _, list := range [][]string{{client.hint}, client.members, client.seeds} {
		for _, a := range list {
			if !seen[a] {
				seen[a] = true
				all = append(all, a)
			}
		}
	}
	return all
}

// findPrimary asks all candidates at once who is the primary, and gives the address of the first that says that it is.
func (client *Client) findPrimary(ctx context.Context) string {
	all := client.candidates()
	ctx, cancel := context.WithTimeout(ctx, client.config.Settings.ContactWindow/lookPart)
	defer cancel()
	type answer struct {
		at    string
		reply *tierv1.WatchReply
	}
	answers := make(chan answer, 2*len(all)+8)
	asked := map[string]bool{}
	out := 0
	ask := func(at string) {
		if asked[at] || at == "" || out >= cap(answers) {
			return
		}
		asked[at] = true
		out++
		go func() {
			// One that is not the primary may be it in a moment: it is asked again, whoever else is still waited for.
			for {
				// It claims to hold all: what is new is brought by the held call.
				reply, err := client.config.Dial(at).Watch(ctx, &tierv1.WatchRequest{Node: client.config.Settings.Node, Life: client.life,
					Configuration: math.MaxUint64, Endpoints: math.MaxUint64, PartitionMap: math.MaxUint64, Members: math.MaxUint64})
				if err != nil {
					reply = nil
				}
				select {
				case answers <- answer{at, reply}:
				case <-ctx.Done():
					return
				}
				if reply.GetPrimary() {
					return
				}
				pause(ctx, client.config.Settings.ContactWindow/pausePart)
				if ctx.Err() != nil {
					return
				}
			}
		}()
	}
	for _, a := range all {
		ask(a)
	}
	for out > 0 {
		var got answer
		select {
		case got = <-answers:
		case <-ctx.Done():
			return ""
		}
		if got.reply == nil {
			continue
		}
		if got.reply.Primary {
			return got.at
		}
		ask(got.reply.Hint)
	}
	return ""
}

// watch makes one held call, and reports whether the session goes on there.
func (client *Client) watch(ctx context.Context, at string) bool {
	window := client.config.Settings.ContactWindow
	client.mu.Lock()
	req := proto.Clone(&client.applied).(*tierv1.WatchRequest)
	req.Leaving = client.leaving
	stood := client.stands
	client.mu.Unlock()
	set := client.config.Settings
	req.Node, req.Role, req.Folder, req.Address = set.Node, client.config.Role, client.config.Folder, client.config.Address
	req.Zone, req.Region, req.Life, req.IdleDisk = set.Zone, set.Region, client.life, client.config.Empty
	req.UnpacksEndpoints = true
	hold := window / holdPart
	if client.config.Folder != "" {
		hold = window / turnStorePart
	}
	patience := hold + window/graceOver
	if !stood { // its answer renews the lease, but may bring all views anew, and is waited for as long as others
		hold = window / pausePart
	}
	req.HoldMs = uint32(hold.Milliseconds())
	begun := time.Now()
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	var renewed atomic.Bool
	if client.config.Synced != nil {
		reports, changed := client.config.Synced()
		req.Synced = reports
		done := make(chan struct{})
		defer close(done)
		go func() {
			select {
			case <-changed: // tell it at once
				renewed.Store(true)
				cancel()
			case <-done:
			}
		}()
	}
	reply, err := client.config.Dial(at).Watch(ctx, req)
	if err != nil {
		if renewed.Load() && ctx.Err() != nil {
			return true
		}
		client.markLost(err.Error())
		return false
	}
	// The primary's lease was looked at after the call was sent and before it was answered. How old an answer can be is
	// bounded by this only, also where a process was paused on the way.
	if time.Since(begun) > patience {
		client.markLost("answered too late")
		return false
	}
	if !reply.Primary {
		client.mu.Lock()
		if reply.Hint != "" {
			client.hint = reply.Hint
		}
		client.mu.Unlock()
		client.markLost("no longer primary")
		return false
	}
	if client.apply(at, reply) {
		client.renewLease(begun)
	}
	return true
}

// apply takes the views that are newer, and tells whether all came undamaged.
func (client *Client) apply(at string, reply *tierv1.WatchReply) (whole bool) {
	whole = true
	client.mu.Lock()
	if !client.stands {
		client.config.Log.Info().Str("event", "session").Str("primary", at).Uint64("epoch", reply.Epoch).Msg("")
	}
	client.stands, client.lastReply, client.hint = true, time.Now(), at
	if m := reply.Members; m != nil && m.Version > client.applied.Members {
		client.applied.Members = m.Version
		client.members = client.members[:0]
		for _, one := range m.List {
			client.members = append(client.members, one.Address)
		}
	}
	configuration, endpoints, partitionMap := reply.Configuration, reply.Endpoints, reply.PartitionMap
	if configuration != nil && configuration.Version <= client.applied.Configuration {
		configuration = nil
	}
	if endpoints != nil && endpoints.Version <= client.applied.Endpoints {
		endpoints = nil
	}
	if partitionMap != nil && partitionMap.Version <= client.applied.PartitionMap {
		partitionMap = nil
	}
	client.mu.Unlock()
	if len(configuration.GetPacked()) > 0 {
		var err error
		if configuration, err = unpack(configuration); err != nil { // it is not acknowledged, and comes again
			client.config.Log.Error().Str("event", "configuration_damaged").Err(err).Msg("")
			whole = false
		}
	}
	if len(endpoints.GetPacked()) > 0 {
		var err error
		if endpoints, err = unpackEndpoints(endpoints); err != nil { // as with a configuration
			client.config.Log.Error().Str("event", "endpoints_damaged").Err(err).Msg("")
			whole = false
		}
	}
	if configuration != nil && client.config.Configuration != nil {
		client.config.Configuration(configuration)
	}
	if endpoints != nil && client.config.Endpoints != nil {
		client.config.Endpoints(endpoints)
	}
	if partitionMap != nil && client.config.PartitionMap != nil {
		client.config.PartitionMap(partitionMap)
	}
	client.mu.Lock() // acknowledged once it has been taken in
	if configuration != nil {
		client.applied.Configuration = configuration.Version
	}
	if endpoints != nil {
		client.applied.Endpoints = endpoints.Version
	}
	if partitionMap != nil {
		client.applied.PartitionMap = partitionMap.Version
	}
	client.mu.Unlock()
	return whole
}

// unpackedMost is the largest size, in bytes, of what came packed.
const unpackedMost = 64 << 20

// unpack gives a configuration as the operator sent it; nil with an error.
func unpack(c *tierv1.Configuration) (*tierv1.Configuration, error) {
	body, err := decompress(c.Packed)
	if err != nil {
		return nil, errorx.Decorate(err, "configuration of version %d", c.Version)
	}
	return &tierv1.Configuration{Version: c.Version, Body: body}, nil
}

// unpackEndpoints gives a list of endpoints with its entries; nil with an error.
func unpackEndpoints(e *tierv1.Endpoints) (*tierv1.Endpoints, error) {
	body, err := decompress(e.Packed)
	if err != nil {
		return nil, errorx.Decorate(err, "endpoints of version %d", e.Version)
	}
	whole := &tierv1.Endpoints{}
	if err := proto.Unmarshal(body, whole); err != nil {
		return nil, errorx.Decorate(err, "endpoints of version %d", e.Version)
	}
	whole.Version = e.Version
	return whole, nil
}

func decompress(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(r, unpackedMost+1))
	if err == nil && len(body) > unpackedMost {
		err = errorx.IllegalFormat.New("it has more than %d bytes", unpackedMost)
	}
	return body, err
}

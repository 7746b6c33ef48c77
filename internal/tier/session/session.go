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
	c     Config
	life  string
	seeds []string

	mu      sync.Mutex
	have    tierv1.WatchRequest // versions taken
	members []string            // addresses
	hint    string
	stands  bool
	heard   time.Time
	leaving bool
}

// New makes a session that Run begins.
func New(c Config) *Client {
	s := &Client{c: c, life: rpcserver.Life(), seeds: c.Settings.SeedInternal()}
	return s
}

// Stands tells whether the session stands, and how long ago the primary answered last.
func (s *Client) Stands() (bool, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heard.IsZero() {
		return false, time.Hour
	}
	return s.stands, time.Since(s.heard)
}

// Primary is the address of the control primary as last known.
func (s *Client) Primary() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hint
}

// Leave tells control from the next call on that the process is leaving.
func (s *Client) Leave() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
}

// Run keeps the session until ctx ends.
func (s *Client) Run(ctx context.Context) {
	window := s.c.Settings.ContactWindow
	for ctx.Err() == nil {
		at := s.look(ctx)
		if at == "" {
			s.lost("no primary found")
			pause(ctx, window/pausePart+rand.N(window/pausePart+1))
			continue
		}
		for ctx.Err() == nil && s.hold(ctx, at) {
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

func (s *Client) lost(why string) {
	s.mu.Lock()
	was := s.stands
	s.stands = false
	s.mu.Unlock()
	if was {
		s.c.Log.Warn().Str("event", "session_lost").Str("why", why).Msg("")
	}
}

// candidates are all that may be or know the primary, the hint first.
func (s *Client) candidates() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []string
	seen := map[string]bool{"": true}
	for _, list := range [][]string{{s.hint}, s.members, s.seeds} {
		for _, a := range list {
			if !seen[a] {
				seen[a] = true
				all = append(all, a)
			}
		}
	}
	return all
}

// look asks all candidates at once who is the primary, and gives the address of the first that says that it is.
func (s *Client) look(ctx context.Context) string {
	all := s.candidates()
	ctx, cancel := context.WithTimeout(ctx, s.c.Settings.ContactWindow/lookPart)
	defer cancel()
	type answer struct {
		at   string
		news *tierv1.WatchReply
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
				news, err := s.c.Dial(at).Watch(ctx, &tierv1.WatchRequest{Node: s.c.Settings.Node, Life: s.life,
					Configuration: math.MaxUint64, Endpoints: math.MaxUint64, PartitionMap: math.MaxUint64, Members: math.MaxUint64})
				if err != nil {
					news = nil
				}
				select {
				case answers <- answer{at, news}:
				case <-ctx.Done():
					return
				}
				if news.GetPrimary() {
					return
				}
				pause(ctx, s.c.Settings.ContactWindow/pausePart)
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
		if got.news == nil {
			continue
		}
		if got.news.Primary {
			return got.at
		}
		ask(got.news.Hint)
	}
	return ""
}

// hold makes one held call, and reports whether the session goes on there.
func (s *Client) hold(ctx context.Context, at string) bool {
	window := s.c.Settings.ContactWindow
	s.mu.Lock()
	req := proto.Clone(&s.have).(*tierv1.WatchRequest)
	req.Leaving = s.leaving
	s.mu.Unlock()
	set := s.c.Settings
	req.Node, req.Role, req.Folder, req.Address = set.Node, s.c.Role, s.c.Folder, s.c.Address
	req.Zone, req.Region, req.Life, req.IdleDisk = set.Zone, set.Region, s.life, s.c.Empty
	hold := window / holdPart
	if s.c.Folder != "" {
		hold = window / turnStorePart
	}
	req.HoldMs = uint32(hold.Milliseconds())
	ctx, cancel := context.WithTimeout(ctx, hold+window/graceOver)
	defer cancel()
	var renewed atomic.Bool
	if s.c.Synced != nil {
		reports, changed := s.c.Synced()
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
	news, err := s.c.Dial(at).Watch(ctx, req)
	if err != nil {
		if renewed.Load() && ctx.Err() != nil {
			return true
		}
		s.lost(err.Error())
		return false
	}
	if !news.Primary {
		s.mu.Lock()
		if news.Hint != "" {
			s.hint = news.Hint
		}
		s.mu.Unlock()
		s.lost("no longer primary")
		return false
	}
	s.take(at, news)
	return true
}

func (s *Client) take(at string, news *tierv1.WatchReply) {
	s.mu.Lock()
	if !s.stands {
		s.c.Log.Info().Str("event", "session").Str("primary", at).Uint64("epoch", news.Epoch).Msg("")
	}
	s.stands, s.heard, s.hint = true, time.Now(), at
	if m := news.Members; m != nil && m.Version > s.have.Members {
		s.have.Members = m.Version
		s.members = s.members[:0]
		for _, one := range m.List {
			s.members = append(s.members, one.Address)
		}
	}
	routing, endpoints, turnStores := news.Configuration, news.Endpoints, news.PartitionMap
	if routing != nil && routing.Version <= s.have.Configuration {
		routing = nil
	}
	if endpoints != nil && endpoints.Version <= s.have.Endpoints {
		endpoints = nil
	}
	if turnStores != nil && turnStores.Version <= s.have.PartitionMap {
		turnStores = nil
	}
	s.mu.Unlock()
	if len(routing.GetPacked()) > 0 {
		var err error
		if routing, err = unpack(routing); err != nil { // it is not acknowledged, and comes again
			s.c.Log.Error().Str("event", "catalog_unpacked").Err(err).Msg("")
		}
	}
	if routing != nil && s.c.Configuration != nil {
		s.c.Configuration(routing)
	}
	if endpoints != nil && s.c.Endpoints != nil {
		s.c.Endpoints(endpoints)
	}
	if turnStores != nil && s.c.PartitionMap != nil {
		s.c.PartitionMap(turnStores)
	}
	s.mu.Lock() // acknowledged once it has been taken in
	if routing != nil {
		s.have.Configuration = routing.Version
	}
	if endpoints != nil {
		s.have.Endpoints = endpoints.Version
	}
	if turnStores != nil {
		s.have.PartitionMap = turnStores.Version
	}
	s.mu.Unlock()
}

const unpackedMost = 64 << 20 // bytes of a configuration

// unpack gives a configuration as the operator sent it; nil with an error.
func unpack(c *tierv1.Configuration) (*tierv1.Configuration, error) {
	r, err := gzip.NewReader(bytes.NewReader(c.Packed))
	if err != nil {
		return nil, errorx.Decorate(err, "configuration of version %d", c.Version)
	}
	body, err := io.ReadAll(io.LimitReader(r, unpackedMost+1))
	if err == nil && len(body) > unpackedMost {
		err = errorx.IllegalFormat.New("it has more than %d bytes", unpackedMost)
	}
	if err != nil {
		return nil, errorx.Decorate(err, "configuration of version %d", c.Version)
	}
	return &tierv1.Configuration{Version: c.Version, Body: body}, nil
}

package nameserver

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/miekg/dns"

	"saffronyard.example/saffronyard/internal/membership"
	"saffronyard.example/saffronyard/internal/zone"
)

// Config is what is held, served and followed.
type Config struct {
	Listen     string // of the server, UDP and TCP; empty: there is none
	Folder     string // of what must outlast the process
	Keys       []Key
	Zones      []ZoneConfig
	Members    []membership.Member
	Spans      membership.FollowerConfig
	MaxRecords int // of a zone, at most
}

// ZoneConfig is one zone: from a file, which updates may change too, or from a primary.
type ZoneConfig struct {
	Name         string // absolute, lower case
	File         string
	Primary      string   // address:port
	Key          string   // signs what the primary is asked
	TransferKeys []string // keys that may have it whole
	Notify       []string // address:port of secondaries that are told of changes
	NotifyKey    string
	Updates      []Update
	Bounds       *zone.Bounds // of what the primary's SOA asks for; nil: the usual ones
}

// Update is what one key may change.
type Update struct {
	Key string
	zone.Grant
}

// DefaultMaxRecords is how many records a zone has at most, unless it is stated.
const DefaultMaxRecords = 1_000_000

// Check says what is wrong with a configuration.
func (c *Config) Check() error {
	keys := NewKeyring(c.Keys)
	seen := map[string]bool{}
	for i := range c.Zones {
		z := &c.Zones[i]
		bad := func(format string, args ...any) error {
			return fmt.Errorf("zone %s: %w", z.Name, fmt.Errorf(format, args...))
		}
		switch {
		case z.Name == "" || !zone.IsName(z.Name) || z.Name != zone.Name(z.Name):
			return bad("it is no zone's name")
		case seen[z.Name]:
			return bad("it is there twice")
		case (z.File == "") == (z.Primary == ""):
			return bad("it comes from a file or from a primary: one of them is named")
		case z.Primary != "" && len(z.Updates) > 0:
			return bad("what comes from a primary is updated there")
		}
		seen[z.Name] = true
		used := append(append([]string{}, z.TransferKeys...), z.Key, z.NotifyKey)
		for _, u := range z.Updates {
			used = append(used, u.Key)
			if len(u.Names) == 0 {
				return bad("key %s may change no name", u.Key)
			}
			for _, n := range u.Names {
				if !zone.IsName(n) || !zone.Within(z.Name, zone.Name(n)) {
					return bad("key %s: %q is no name within it", u.Key, n)
				}
			}
		}
		for _, k := range used {
			if k != "" && !keys.Has(k) {
				return bad("there is no key %s", k)
			}
		}
		for _, a := range append(append([]string{}, z.Notify...), z.Primary) {
			if _, _, err := net.SplitHostPort(a); a != "" && err != nil {
				return bad("%q is no address:port: %w", a, err)
			}
		}
	}
	for _, m := range c.Members {
		if !zone.IsName(m.Name) || m.Name != zone.Name(m.Name) {
			return fmt.Errorf("member %d: %q is no absolute name", m.Destination, m.Name)
		}
		if !m.SRV && m.Port == 0 {
			return fmt.Errorf("member %d: %s: without SRV a port is named", m.Destination, m.Name)
		}
	}
	return nil
}

// Service holds zones, serves them, and follows members' names through them. It is a source of endpoints.
type Service struct {
	config   *Config
	log      *slog.Logger
	keys     *Keyring
	zones    map[string]*hostedZone
	zoneList []*managedZone
	server   *server
	files    *fileWatcher
	start    time.Time
	stop     context.CancelFunc
	done     sync.WaitGroup
	notifier *notifier

	mu            sync.Mutex // the rest
	follower      *membership.Follower
	membersByName map[string]map[int]struct{} // members by the names that their answers rest on
	namesByMember [][]string                  // and the other way round
	staleMembers  map[int]struct{}            // members to be asked again
	wake          chan struct{}
	initial       membership.Update
}

// Start opens what an earlier process left, reads files, and begins to serve and to follow. A zone that can't be had is
// told in the log; the sender starts without it.
func Start(c *Config, log *slog.Logger) (*Service, error) { return start(c, log, osDisk{}) }

func start(c *Config, log *slog.Logger, d disk) (*Service, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	if c.MaxRecords == 0 {
		c.MaxRecords = DefaultMaxRecords
	}
	if err := os.MkdirAll(c.Folder, 0o700); err != nil {
		return nil, fmt.Errorf("dns: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &Service{config: c, log: log, keys: NewKeyring(c.Keys), zones: map[string]*hostedZone{}, start: time.Now(), stop: stop,
		follower: membership.NewFollower(c.Members, c.Spans), membersByName: map[string]map[int]struct{}{}, namesByMember: make([][]string, len(c.Members)),
		staleMembers: map[int]struct{}{}, wake: make(chan struct{}, 1)}
	var fromFiles []*managedZone
	for i := range c.Zones {
		zc := &c.Zones[i]
		h := &hostedZone{transferKeys: map[string]bool{}, grants: map[string]*zone.Grant{}}
		h.managedZone = newManagedZone(zc, d, c.Folder, c.MaxRecords, log, func(names []string, all bool) { s.zoneChanged(h.managedZone, names, all) })
		for _, k := range zc.TransferKeys {
			h.transferKeys[zone.Name(k)] = true
		}
		for i := range zc.Updates {
			h.grants[zone.Name(zc.Updates[i].Key)] = &zc.Updates[i].Grant
		}
		if zc.File != "" {
			h.loadFile() // it tells what is wrong
			fromFiles = append(fromFiles, h.managedZone)
		} else {
			h.secondary = newSecondary(h.managedZone, s.keys, s.now)
		}
		s.zones[zc.Name] = h
		s.zoneList = append(s.zoneList, h.managedZone)
	}
	s.server = newServer(s.zones, s.keys, log, s.now)
	var err error
	if c.Listen != "" {
		if err = s.server.listen(c.Listen); err != nil {
			stop()
			return nil, errors.Join(err, s.closeZones())
		}
		log.Info("dns", "listen", s.server.addr(), "zones", len(c.Zones), "members", len(c.Members))
	}
	if s.files, err = newFileWatcher(fromFiles, log); err != nil {
		stop()
		return nil, errors.Join(fmt.Errorf("dns: %w", err), s.server.close(), s.closeZones())
	}
	notify := newNotifier(ctx, s.zoneList, s.keys, log)
	s.mu.Lock()
	s.notifier = notify
	for i := range c.Members {
		s.staleMembers[i] = struct{}{}
	}
	s.initial = membership.Update{Servers: s.resolveStale()}
	s.mu.Unlock()
	for _, run := range []func(){func() { s.files.run(ctx) }, func() { writeBack(ctx, fromFiles) }} {
		s.done.Add(1)
		go func() {
			defer s.done.Done()
			run()
		}()
	}
	for _, h := range s.zones {
		if h.secondary != nil {
			s.done.Add(1)
			go func() {
				defer s.done.Done()
				h.secondary.run(ctx)
			}()
		}
	}
	return s, nil
}

// now is the follower's clock.
func (s *Service) now() time.Duration { return time.Since(s.start) }

// Address is where the server listens; empty without one.
func (s *Service) Address() string { return s.server.addr() }

// Initial is what is known at the start.
func (s *Service) Initial() membership.Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.initial
}

// Destinations are those of which it will speak.
func (s *Service) Destinations() []uint32 {
	var all []uint32
	for _, m := range s.config.Members {
		all = append(all, m.Destination)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// SetKeys changes the keys in service. One that a zone's settings name must be there still.
func (s *Service) SetKeys(keys []Key) error {
	c := *s.config
	c.Keys = keys
	if err := c.Check(); err != nil {
		return err
	}
	s.keys.Set(keys)
	return nil
}

// Rescan has all files read again now.
func (s *Service) Rescan() {
	select {
	case s.files.rescan <- struct{}{}:
	default:
	}
}

// zoneChanged books that names of a zone have changed, or all of it.
func (s *Service) zoneChanged(z *managedZone, names []string, all bool) {
	s.mu.Lock()
	if all || len(names) > maxChangedNames {
		for i := range s.config.Members {
			s.staleMembers[i] = struct{}{}
		}
	} else {
		for _, n := range names {
			s.markStale(n, z.config.Name)
		}
	}
	notify := s.notifier
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	if notify != nil {
		notify.zoneChanged(z)
	}
}

// maxChangedNames is how many changed names are looked up one by one; with more, all members are asked again.
const maxChangedNames = 50

// markStale marks the members whose answers rest on a name that has changed. A name that comes or goes may also be a cut, a
// wildcard, or the closest encloser that hides one (RFC 4592 3.3): those below it, or below a name between it and the
// zone's origin, are asked again too. The caller holds mu.
func (s *Service) markStale(name, origin string) {
	for i := range s.membersByName[name] {
		s.staleMembers[i] = struct{}{}
	}
	if name == origin { // each version changes its SOA, which says nothing of others
		return
	}
	top := name
	for up := name; up != origin && zone.Within(origin, up); {
		top = up
		off, end := dns.NextLabel(up, 0)
		if end {
			break
		}
		up = up[off:]
	}
	if strings.HasPrefix(top, "*.") { // a wildcard at the origin itself speaks for all
		top = origin
	}
	for n, members := range s.membersByName {
		if zone.Within(top, n) {
			for i := range members {
				s.staleMembers[i] = struct{}{}
			}
		}
	}
}

// resolveStale asks for the members that are stale and gives the lines that change. The caller holds mu.
func (s *Service) resolveStale() []membership.Target {
	var heard []membership.Observation
	for i := range s.staleMembers {
		for _, n := range s.namesByMember[i] {
			delete(s.membersByName[n], i)
			if len(s.membersByName[n]) == 0 {
				delete(s.membersByName, n)
			}
		}
		a, on := membership.Resolve(s.findZone, &s.config.Members[i])
		s.namesByMember[i] = on
		for _, n := range on {
			if s.membersByName[n] == nil {
				s.membersByName[n] = map[int]struct{}{}
			}
			s.membersByName[n][i] = struct{}{}
		}
		heard = append(heard, membership.Observation{Member: i, Answer: a})
	}
	clear(s.staleMembers)
	slices.SortFunc(heard, func(a, b membership.Observation) int { return cmp.Compare(a.Member, b.Member) })
	return s.follower.Step(s.now(), heard)
}

// findZone finds the zone for a name.
func (s *Service) findZone(name string) (membership.ZoneState, bool) {
	h := s.server.find(name)
	if h == nil {
		return membership.ZoneState{}, false
	}
	v := h.current.Load()
	return membership.ZoneState{Zone: v.Zone, Expired: v.expired}, true
}

// Follow passes on what changes, until ctx ends.
func (s *Service) Follow(ctx context.Context, news func(membership.Update)) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		s.mu.Lock()
		lines := s.resolveStale()
		next := s.follower.Next()
		s.mu.Unlock()
		if len(lines) > 0 {
			news(membership.Update{Servers: lines})
		}
		timer.Reset(max(0, min(next-s.now(), time.Hour)))
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-timer.C:
		}
	}
}

func (s *Service) closeZones() error {
	var err error
	for _, z := range s.zoneList {
		err = errors.Join(err, z.close())
	}
	return err
}

// Close ends it. What was answered is on the disk already.
func (s *Service) Close() error {
	s.stop()
	err := s.server.close()
	s.done.Wait()
	s.notifier.done.Wait()
	return errors.Join(err, s.closeZones())
}

// ---- For operators

// ZoneState is what is known of a zone.
type ZoneState struct {
	Name    string `json:"name"`
	From    string `json:"from"`
	State   string `json:"state"` // held, expired, or never had
	Serial  uint32 `json:"serial"`
	Records int    `json:"records"`
	ForMS   int64  `json:"for_ms"` // the version is held
	Behind  bool   `json:"behind,omitempty"`
	Fault   string `json:"fault,omitempty"`
}

// Report is all that is known.
type Report struct {
	Address string                   `json:"address,omitempty"`
	Zones   []ZoneState              `json:"zones"`
	Members []membership.MemberState `json:"members"`
	Counts  map[string]int64         `json:"counts"`
}

// Report tells what is held and where members are.
func (s *Service) Report() Report {
	r := Report{Address: s.Address(), Zones: []ZoneState{}, Counts: map[string]int64{}}
	for _, z := range s.zoneList {
		z.mu.Lock()
		v := z.current.Load()
		st := ZoneState{Name: z.config.Name, From: z.config.File, State: "held", Behind: z.fileBehind, Fault: z.lastFault, ForMS: time.Since(z.currentSince).Milliseconds()}
		z.mu.Unlock()
		if z.config.Primary != "" {
			st.From = z.config.Primary
		}
		switch {
		case v.Zone == nil:
			st.State = "never had"
		case v.expired:
			st.State = "expired"
		}
		if v.Zone != nil {
			st.Serial, st.Records = v.Serial(), v.Records()
		}
		r.Zones = append(r.Zones, st)
	}
	n := &s.server.counts
	for name, c := range map[string]int64{"queries": n.queries.Load(), "updates": n.updates.Load(), "refused": n.refused.Load(),
		"notifies": n.notifies.Load(), "transfers": n.transfers.Load(), "dropped": n.dropped.Load()} {
		r.Counts[name] = c
	}
	s.mu.Lock()
	r.Members = s.follower.MemberStates()
	s.mu.Unlock()
	if r.Members == nil {
		r.Members = []membership.MemberState{}
	}
	return r
}

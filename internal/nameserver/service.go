package nameserver

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"sync"
	"time"

	"saffronyard.example/saffronyard/internal/membership"
	"saffronyard.example/saffronyard/internal/zone"
)

// Service manages and serves zones, and is a source of endpoints: it resolves the names of members through the zones. Its methods are safe
// for concurrent use.
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

	mu            sync.Mutex // guards the fields below
	follower      *membership.Follower
	membersByName map[string]map[int]struct{} // indexes of members, by the names on which their answers depend
	namesByMember [][]string                  // the inverse, by index of the member
	staleMembers  map[int]struct{}            // indexes of members to resolve again
	wake          chan struct{}
	initial       membership.Update
}

// Start opens the stores, reads the zone files, and starts to serve the zones and to watch their files and primaries. A zone that can't be
// loaded is logged, and the service starts without it. The caller must close the service.
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
		if h := s.addZone(&c.Zones[i], d); h.config.File != "" {
			fromFiles = append(fromFiles, h.managedZone)
		}
	}
	s.server = newServer(s.zones, s.keys, log, s.now)
	var err error
	if c.Listen != "" {
		if err = s.server.listen(c.Listen); err != nil {
			stop()
			return nil, errors.Join(err, s.closeZones())
		}
		log.Info("name server listens", "listen", s.server.addr(), "zones", len(c.Zones), "members", len(c.Members))
	}
	if s.files, err = newFileWatcher(fromFiles, log); err != nil {
		stop()
		return nil, errors.Join(fmt.Errorf("dns: %w", err), s.server.close(), s.closeZones())
	}
	notifier := newNotifier(ctx, s.zoneList, s.keys, log)
	s.mu.Lock()
	s.notifier = notifier
	for i := range c.Members {
		s.staleMembers[i] = struct{}{}
	}
	s.initial = membership.Update{Servers: s.resolveStale()}
	s.mu.Unlock()
	s.run(func() { s.files.run(ctx) })
	s.run(func() { writeBack(ctx, fromFiles) })
	for _, h := range s.zones {
		if h.secondary != nil {
			s.run(func() { h.secondary.run(ctx) })
		}
	}
	return s, nil
}

// addZone opens a zone: from its file, which is read now, or as a secondary, which queries its primary once its goroutine runs.
func (s *Service) addZone(c *ZoneConfig, d disk) *hostedZone {
	h := &hostedZone{transferKeys: map[string]bool{}, grants: map[string]*zone.Grant{}}
	h.managedZone = newManagedZone(c, zoneOptions{disk: d, folder: s.config.Folder, maxRecords: s.config.MaxRecords, log: s.log,
		onChange: func(names []string, all bool) { s.zoneChanged(h.managedZone, names, all) }})
	for _, k := range c.TransferKeys {
		h.transferKeys[zone.Name(k)] = true
	}
	for i := range c.Updates {
		h.grants[zone.Name(c.Updates[i].Key)] = &c.Updates[i].Grant
	}
	if c.File != "" {
		h.loadFile() // logs its errors itself
	} else {
		h.secondary = newSecondary(h.managedZone, s.keys, s.now)
	}
	s.zones[c.Name] = h
	s.zoneList = append(s.zoneList, h.managedZone)
	return h
}

// run runs f in a goroutine that Close waits for.
func (s *Service) run(f func()) {
	s.done.Add(1)
	go func() {
		defer s.done.Done()
		f()
	}()
}

// now returns the time since the start, on the clock of the follower, the server and the secondaries.
func (s *Service) now() time.Duration { return time.Since(s.start) }

// Address returns the address at which the server listens; empty without a server.
func (s *Service) Address() string { return s.server.addr() }

// Initial returns the endpoints that were known at the start.
func (s *Service) Initial() membership.Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.initial
}

// Destinations returns the destinations that the members belong to, sorted.
func (s *Service) Destinations() []uint32 {
	var all []uint32
	for _, m := range s.config.Members {
		all = append(all, m.Destination)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// SetKeys replaces the keys while the service runs. They must include all keys that the zones' configuration names.
func (s *Service) SetKeys(keys []Key) error {
	c := *s.config
	c.Keys = keys
	if err := c.Check(); err != nil {
		return err
	}
	s.keys.Set(keys)
	return nil
}

// Rescan requests that all zone files are read again now.
func (s *Service) Rescan() {
	select {
	case s.files.rescan <- struct{}{}:
	default:
	}
}

func (s *Service) closeZones() error {
	var err error
	for _, z := range s.zoneList {
		err = errors.Join(err, z.close())
	}
	return err
}

// Close stops the server and all goroutines, and waits for them. Acknowledged changes are durable already.
func (s *Service) Close() error {
	s.stop()
	err := s.server.close()
	s.done.Wait()
	s.notifier.done.Wait()
	return errors.Join(err, s.closeZones())
}

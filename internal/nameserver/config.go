package nameserver

import (
	"fmt"
	"net"

	"saffronyard.example/saffronyard/internal/membership"
	"saffronyard.example/saffronyard/internal/zone"
)

// Config is the configuration of a Service.
type Config struct {
	Listen     string // address:port of the server, UDP and TCP; empty: no server
	Folder     string // folder of the stores
	Keys       []Key
	Zones      []ZoneConfig
	Members    []membership.Member
	Spans      membership.FollowerConfig
	MaxRecords int // of a zone; 0: DefaultMaxRecords
}

// ZoneConfig is one zone: a primary zone from a file, which updates may change too, or a secondary zone.
type ZoneConfig struct {
	Name         string // absolute, lower case
	File         string
	Primary      string   // address:port
	Key          string   // signs the requests to the primary; empty: unsigned
	TransferKeys []string // keys that may transfer the zone
	Notify       []string // address:port of secondaries that are notified of changes
	NotifyKey    string
	Updates      []Update
	Bounds       *zone.Bounds // bounds of the timers in the primary's SOA; nil: zone.DefaultBounds
}

// Update is the grant of a key: the names and types that updates signed with it may change.
type Update struct {
	Key string
	zone.Grant
}

// DefaultMaxRecords bounds the records of a zone if Config.MaxRecords is 0.
const DefaultMaxRecords = 1_000_000

// Check returns an error for the first invalid zone or member: a *ConfigError, or that of net.SplitHostPort for an address.
func (c *Config) Check() error {
	keys := NewKeyring(c.Keys)
	seen := map[string]bool{}
	for i := range c.Zones {
		z := &c.Zones[i]
		if err := z.check(keys, seen[z.Name]); err != nil {
			return fmt.Errorf("zone %s: %w", z.Name, err)
		}
		seen[z.Name] = true
	}
	for _, m := range c.Members {
		if !zone.IsName(m.Name) || m.Name != zone.Name(m.Name) {
			return configError("member %d: %q is not an absolute lower-case name", m.Destination, m.Name)
		}
		if !m.SRV && m.Port == 0 {
			return configError("member %d: %s: a port is required without SRV", m.Destination, m.Name)
		}
	}
	return nil
}

// check checks one zone; duplicate is whether an earlier zone has its name.
func (z *ZoneConfig) check(keys *Keyring, duplicate bool) error {
	switch {
	case z.Name == "" || !zone.IsName(z.Name) || z.Name != zone.Name(z.Name):
		return configError("the name is not an absolute lower-case name")
	case duplicate:
		return configError("the zone is configured twice")
	case (z.File == "") == (z.Primary == ""):
		return configError("exactly one of a file and a primary is required")
	case z.Primary != "" && len(z.Updates) > 0:
		return configError("a secondary zone can't be updated here, only at its primary")
	}
	used := append(append([]string{}, z.TransferKeys...), z.Key, z.NotifyKey)
	for _, u := range z.Updates {
		used = append(used, u.Key)
		if len(u.Names) == 0 {
			return configError("key %s: the grant has no names", u.Key)
		}
		for _, n := range u.Names {
			if !zone.IsName(n) || !zone.Within(z.Name, zone.Name(n)) {
				return configError("key %s: %q is not a name within the zone", u.Key, n)
			}
		}
	}
	for _, k := range used {
		if k != "" && !keys.Has(k) {
			return configError("there is no key %s", k)
		}
	}
	for _, a := range append(append([]string{}, z.Notify...), z.Primary) {
		if _, _, err := net.SplitHostPort(a); a != "" && err != nil {
			return fmt.Errorf("%q is not an address:port: %w", a, err)
		}
	}
	return nil
}

// isStored reports whether a zone has a store: it is changed by updates, or is a secondary.
func (z *ZoneConfig) isStored() bool { return z.Primary != "" || len(z.Updates) > 0 }

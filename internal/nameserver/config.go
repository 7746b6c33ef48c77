package nameserver

import (
	"fmt"
	"net"

	"saffronyard.example/saffronyard/internal/membership"
	"saffronyard.example/saffronyard/internal/zone"
)

// Config is the configuration of a Service.
type Config struct {
	Listen     string // address:port of the server, UDP and TCP; empty: none
	Folder     string // of the stores
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
	Key          string   // signs the questions to the primary; empty: unsigned
	TransferKeys []string // that may transfer it
	Notify       []string // address:port of secondaries that are notified of changes
	NotifyKey    string
	Updates      []Update
	Bounds       *zone.Bounds // of the timers in the primary's SOA; nil: zone.DefaultBounds
}

// Update grants a key what it may change.
type Update struct {
	Key string
	zone.Grant
}

// DefaultMaxRecords bounds the records of a zone where Config.MaxRecords is 0.
const DefaultMaxRecords = 1_000_000

// Check returns a *ConfigError for the first zone or member that can't be as it is.
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
			return configError("member %d: %q is no absolute name", m.Destination, m.Name)
		}
		if !m.SRV && m.Port == 0 {
			return configError("member %d: %s: without SRV a port is named", m.Destination, m.Name)
		}
	}
	return nil
}

// check checks a zone by itself; duplicate is whether another has its name.
func (z *ZoneConfig) check(keys *Keyring, duplicate bool) error {
	switch {
	case z.Name == "" || !zone.IsName(z.Name) || z.Name != zone.Name(z.Name):
		return configError("it is no zone's name")
	case duplicate:
		return configError("it is there twice")
	case (z.File == "") == (z.Primary == ""):
		return configError("it comes from a file or from a primary: one of them is named")
	case z.Primary != "" && len(z.Updates) > 0:
		return configError("what comes from a primary is updated there")
	}
	used := append(append([]string{}, z.TransferKeys...), z.Key, z.NotifyKey)
	for _, u := range z.Updates {
		used = append(used, u.Key)
		if len(u.Names) == 0 {
			return configError("key %s may change no name", u.Key)
		}
		for _, n := range u.Names {
			if !zone.IsName(n) || !zone.Within(z.Name, zone.Name(n)) {
				return configError("key %s: %q is no name within it", u.Key, n)
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
			return fmt.Errorf("%q is no address:port: %w", a, err)
		}
	}
	return nil
}

// isStored reports whether a zone has a state of its own that is stored: updates, or a primary's versions.
func (z *ZoneConfig) isStored() bool { return z.Primary != "" || len(z.Updates) > 0 }

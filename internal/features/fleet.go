package features

import (
	"fmt"
	"strings"

	"saffronyard.example/saffronyard/internal/fleet"
	"saffronyard.example/saffronyard/internal/peers"
	"saffronyard.example/saffronyard/internal/tomlfile"
)

// Fleet is the participation of this sender in the consensus of all senders.
type Fleet struct {
	Cluster string        `toml:"cluster"` // the deployment's name; senders with another name are not members
	Listen  string        `toml:"listen"`  // address for other senders; a loopback address; default ":7948"
	Lease   tomlfile.Span `toml:"lease"`   // a partitioned sender starts no call after this time; from 500ms to 1m, default 3s
	Lend    tomlfile.Span `toml:"lend"`    // how long units of a limit are granted for; default: one and a half leases and 500ms
	Reach   []PeerReach   `toml:"reach"`   // routes to senders that can't be reached at their own addresses; default: none
	Folder  string        `toml:"folder"`  // default: "fleet" in the sender's state folder
	// KeysFile has the fleet's keys, one per line in base64, the first for sending; default: no keys
	KeysFile string       `toml:"keys_file"`
	Voters   []FleetVoter `toml:"voter"` // the initial voters, the same in every sender's file; an odd number
}

// FleetVoter is a sender that stores the replicated log and votes.
type FleetVoter struct {
	Name    string `toml:"name"`
	Address string `toml:"address"` // the address at which this sender reaches the voter
}

// Config returns the fleet's configuration. host is the host of the sender's client address, and replaces a missing host in listen.
func (f *Fleet) Config(name, host string) fleet.Config {
	c := fleet.Config{Name: name, Cluster: f.Cluster, Listen: peers.WithHost(f.Listen, host), Folder: f.Folder}
	c.LeaseTerms.Duration, c.QuotaDuration, c.Reach = f.Lease.D(), f.Lend.D(), routesOf(f.Reach)
	for _, v := range f.Voters {
		c.Voters = append(c.Voters, fleet.Voter(v))
	}
	c.ApplyDefaults()
	return c
}

// Keys reads the key file; nil without one.
func (f *Fleet) Keys() ([][]byte, error) { return readKeys("fleet", f.KeysFile) }

func (f *Fleet) check(doc document) error {
	if f == nil {
		return nil
	}
	setDefault(&f.Listen, ":7948")
	setDefault(&f.Lease, tomlfile.Span(fleet.DefaultLeaseDuration))
	// Each key is checked alone in an otherwise valid configuration, so that the error names its line.
	for _, one := range []struct {
		key  string
		edit func(*fleet.Config)
	}{{"cluster", func(c *fleet.Config) { c.Cluster = f.Cluster }}, {"listen", func(c *fleet.Config) { c.Listen = peers.WithHost(f.Listen, "127.0.0.1") }},
		{"lease", func(c *fleet.Config) { c.LeaseTerms.Duration = f.Lease.D() }},
		{"lend", func(c *fleet.Config) { c.LeaseTerms.Duration, c.QuotaDuration = f.Lease.D(), f.Lend.D() }}, {"reach", func(c *fleet.Config) { c.Reach = routesOf(f.Reach) }},
		{"voter", func(c *fleet.Config) { c.Voters = f.Config("n", "127.0.0.1").Voters }}} {
		valid := fleet.Config{Name: "n", Cluster: "c", Listen: "127.0.0.1:0", Voters: []fleet.Voter{{Name: "n", Address: "127.0.0.1:1"}}}
		valid.ApplyDefaults()
		one.edit(&valid)
		if err := valid.Check(); err != nil {
			return doc.errorAt("fleet", 0, one.key, "%w", err)
		}
	}
	return nil
}

func (f *Fleet) lines() []string {
	if f == nil {
		return nil
	}
	var names []string
	for _, v := range f.Voters {
		names = append(names, v.Name)
	}
	return []string{fmt.Sprintf("fleet: cluster %s, at %s; voters %s; a partitioned sender starts no call after %v", f.Cluster, f.Listen, strings.Join(names, ", "), f.Lease.D())}
}

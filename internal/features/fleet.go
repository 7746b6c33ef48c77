package features

import (
	"fmt"
	"strings"

	"saffronyard.example/saffronyard/internal/fleet"
	"saffronyard.example/saffronyard/internal/peers"
	"saffronyard.example/saffronyard/internal/tomlfile"
)

// Fleet is how this sender takes part in what all senders agree on.
type Fleet struct {
	Cluster string        `toml:"cluster"` // the deployment's name: others do not mix in
	Listen  string        `toml:"listen"`  // where others reach this sender; a loopback address; default ":7948"
	Lease   tomlfile.Span `toml:"lease"`   // a sender that is cut off begins no call after it; from 500ms to 1m, default 3s
	Lend    tomlfile.Span `toml:"lend"`    // units of a limit are lent for so long; default: half as long again as a lease, and 500ms
	Reach   []PeerReach   `toml:"reach"`   // where others are reached whose own addresses do not lead there; default: none
	Folder  string        `toml:"folder"`  // default: "fleet" in the sender's state folder
	// KeysFile has the fleet's keys, a line each in base64, the first for what is sent; default: none
	KeysFile string       `toml:"keys_file"`
	Voters   []FleetVoter `toml:"voter"` // the first ones, the same in every sender's file; an odd number of them
}

// FleetVoter is a sender that keeps the log.
type FleetVoter struct {
	Name    string `toml:"name"`
	Address string `toml:"address"` // as this sender reaches it
}

// Config is what the file says; host is where clients connect, which an address without a host means.
func (f *Fleet) Config(name, host string) fleet.Config {
	c := fleet.Config{Name: name, Cluster: f.Cluster, Listen: peers.WithHost(f.Listen, host), Folder: f.Folder}
	c.LeaseTerms.Duration, c.QuotaDuration, c.Reach = f.Lease.D(), f.Lend.D(), reaches(f.Reach)
	for _, v := range f.Voters {
		c.Voters = append(c.Voters, fleet.Voter(v))
	}
	c.ApplyDefaults()
	return c
}

// Keys reads the file of keys; nil without one.
func (f *Fleet) Keys() ([][]byte, error) { return readKeys("fleet", f.KeysFile) }

func (f *Fleet) check(doc document) error {
	if f == nil {
		return nil
	}
	setDefault(&f.Listen, ":7948")
	setDefault(&f.Lease, tomlfile.Span(fleet.DefaultLeaseDuration))
	// One key after another is put into a sound configuration, so that the error names the line.
	for _, one := range []struct {
		key  string
		edit func(*fleet.Config)
	}{{"cluster", func(c *fleet.Config) { c.Cluster = f.Cluster }}, {"listen", func(c *fleet.Config) { c.Listen = peers.WithHost(f.Listen, "127.0.0.1") }},
		{"lease", func(c *fleet.Config) { c.LeaseTerms.Duration = f.Lease.D() }},
		{"lend", func(c *fleet.Config) { c.LeaseTerms.Duration, c.QuotaDuration = f.Lease.D(), f.Lend.D() }}, {"reach", func(c *fleet.Config) { c.Reach = reaches(f.Reach) }},
		{"voter", func(c *fleet.Config) { c.Voters = f.Config("n", "127.0.0.1").Voters }}} {
		sound := fleet.Config{Name: "n", Cluster: "c", Listen: "127.0.0.1:0", Voters: []fleet.Voter{{Name: "n", Address: "127.0.0.1:1"}}}
		sound.ApplyDefaults()
		one.edit(&sound)
		if err := sound.Check(); err != nil {
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
	return []string{fmt.Sprintf("fleet: of cluster %s, at %s; voters %s; a sender that is cut off begins no call after %v", f.Cluster, f.Listen, strings.Join(names, ", "), f.Lease.D())}
}

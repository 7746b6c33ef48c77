package features

import (
	"encoding/base64"
	"fmt"
	"os"
	"strings"

	"saffronyard.example/saffronyard/internal/peers"
)

// Peers is the membership of this sender among the senders of its deployment, and the exchange of facts between them.
type Peers struct {
	Cluster  string   `toml:"cluster"`   // the deployment's name; senders with another name are not members
	Listen   string   `toml:"listen"`    // address of membership, TCP and UDP; a loopback address; default ":7946"
	Exchange string   `toml:"exchange"`  // address at which other senders fetch facts; a loopback address; default ":7947"
	Seeds    []string `toml:"seeds"`     // membership addresses of some other senders
	KeysFile string   `toml:"keys_file"` // keys of membership, one per line in base64, the first for sending; default: no keys
	Follow   int      `toml:"follow"`    // maximum number of peers followed at once; from 1 to 16, default 3
	Facts    int      `toml:"facts"`     // maximum number of facts stored per followed peer; from 100 to 1000000, default 50000
	// Reach has routes to senders that can't be reached at their own addresses; default: none
	Reach []PeerReach `toml:"reach"`
}

// PeerReach is the route to a sender that can't be reached at its own address.
type PeerReach struct {
	Address string `toml:"address"` // the address that the sender announces: of its membership, or of its exchange
	Via     string `toml:"via"`     // the address at which this sender reaches it, TCP and UDP
}

// Reaches returns the routes as package peers takes them.
func (p *Peers) Reaches() []peers.Route { return routesOf(p.Reach) }

func routesOf(all []PeerReach) (routes []peers.Route) {
	for _, r := range all {
		routes = append(routes, peers.Route(r))
	}
	return routes
}

// Keys reads the key file; nil without one.
func (p *Peers) Keys() ([][]byte, error) { return readKeys("peers", p.KeysFile) }

// readKeys reads a key file; it returns nil if file is empty. An error names the table, or the file and the line.
func readKeys(table, file string) ([][]byte, error) {
	if file == "" {
		return nil, nil
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("%s: keys_file: %w", table, err)
	}
	var keys [][]byte
	for i, line := range strings.Split(string(raw), "\n") {
		if line = strings.TrimSpace(line); line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		k, err := base64.StdEncoding.DecodeString(line)
		if err != nil {
			return nil, fmt.Errorf("%s:%d: the key is not valid base64: %w", file, i+1, err)
		}
		if n := len(k); n != 16 && n != 24 && n != 32 {
			return nil, settingError("%s:%d: a key of %d bytes, not of 16, 24 or 32", file, i+1, n)
		}
		keys = append(keys, k)
	}
	if len(keys) == 0 {
		return nil, settingError("%s: the file has no key", file)
	}
	return keys, nil
}

func (p *Peers) check(doc document) error {
	if p == nil {
		return nil
	}
	setDefault(&p.Listen, ":7946")
	setDefault(&p.Exchange, ":7947")
	setDefault(&p.Follow, peers.DefaultMaxFollowed)
	setDefault(&p.Facts, peers.DefaultMaxFacts)
	if p.Follow < 1 || p.Follow > 16 {
		return doc.errorAt("peers", 0, "follow", "peers.follow = %d is not from 1 to 16", p.Follow)
	}
	if p.Facts < 100 || p.Facts > 1_000_000 {
		return doc.errorAt("peers", 0, "facts", "peers.facts = %d is not from 100 to 1000000", p.Facts)
	}
	for _, one := range []struct {
		key  string
		edit func(*peers.Config)
	}{{"cluster", func(c *peers.Config) { c.Cluster = p.Cluster }}, {"listen", func(c *peers.Config) { c.Listen = p.Listen }},
		{"exchange", func(c *peers.Config) { c.Exchange = p.Exchange }}, {"seeds", func(c *peers.Config) { c.Seeds = p.Seeds }},
		{"reach", func(c *peers.Config) { c.Routes = p.Reaches() }}} {
		// An address without a host gets the host that clients connect to, which is not in the file; here it is 127.0.0.1.
		valid := peers.Config{Name: "n", Cluster: "c", Listen: "127.0.0.1:0", Exchange: "127.0.0.1:0"}
		one.edit(&valid)
		valid.Listen, valid.Exchange = peers.WithHost(valid.Listen, "127.0.0.1"), peers.WithHost(valid.Exchange, "127.0.0.1")
		if err := valid.Check(); err != nil {
			return doc.errorAt("peers", 0, one.key, "%w", err)
		}
	}
	return nil
}

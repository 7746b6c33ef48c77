package features

import (
	"encoding/base64"
	"fmt"
	"os"
	"strings"

	"saffronyard.example/saffronyard/internal/peers"
)

// Peers is how this sender takes part among the others of its deployment.
type Peers struct {
	Cluster  string   `toml:"cluster"`   // the deployment's name: others do not mix in
	Listen   string   `toml:"listen"`    // of membership, TCP and UDP; a loopback address; default ":7946"
	Exchange string   `toml:"exchange"`  // where others ask what is known; a loopback address; default ":7947"
	Seeds    []string `toml:"seeds"`     // membership of some other senders
	KeysFile string   `toml:"keys_file"` // keys of membership, a line each in base64, the first for sending; default: none
	Follow   int      `toml:"follow"`    // so many are followed at once; from 1 to 16, default 3
	Facts    int      `toml:"facts"`     // held of what each tells; from 100 to 1000000, default 50000
	// Reach is where others are reached whose own addresses do not lead there; default: none
	Reach []PeerReach `toml:"reach"`
}

// PeerReach is one of them.
type PeerReach struct {
	Address string `toml:"address"` // as it tells it: of its membership, or of its exchange
	Via     string `toml:"via"`     // as this sender reaches it, TCP and UDP
}

// Reaches are all of them.
func (p *Peers) Reaches() []peers.Route { return reaches(p.Reach) }

func reaches(all []PeerReach) (is []peers.Route) {
	for _, r := range all {
		is = append(is, peers.Route(r))
	}
	return is
}

// Keys reads the file of keys; nil without one.
func (p *Peers) Keys() ([][]byte, error) { return readKeys("peers", p.KeysFile) }

// readKeys reads a file of keys; there are none without one.
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
			return nil, fmt.Errorf("%s:%d: no key in base64: %w", file, i+1, err)
		}
		if n := len(k); n != 16 && n != 24 && n != 32 {
			return nil, settingError("%s:%d: a key of %d bytes; 16, 24 or 32 are wanted", file, i+1, n)
		}
		keys = append(keys, k)
	}
	if len(keys) == 0 {
		return nil, settingError("%s: it holds no key", file)
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
		// Without a host it is the one that clients connect to, which the file does not know.
		sound := peers.Config{Name: "n", Cluster: "c", Listen: "127.0.0.1:0", Exchange: "127.0.0.1:0"}
		one.edit(&sound)
		sound.Listen, sound.Exchange = peers.WithHost(sound.Listen, "127.0.0.1"), peers.WithHost(sound.Exchange, "127.0.0.1")
		if err := sound.Check(); err != nil {
			return doc.errorAt("peers", 0, one.key, "%w", err)
		}
	}
	return nil
}

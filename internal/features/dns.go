package features

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/miekg/dns"

	"saffronyard.example/saffronyard/internal/membership"
	"saffronyard.example/saffronyard/internal/nameserver"
	"saffronyard.example/saffronyard/internal/tomlfile"
	"saffronyard.example/saffronyard/internal/zone"
)

// DNS is the name server and the members whose endpoints are resolved by name.
type DNS struct {
	Listen     string        `toml:"listen"`     // address of the name server, UDP and TCP; default: no server
	Folder     string        `toml:"folder"`     // default: "zones" in the sender's state folder
	KeysFile   string        `toml:"keys_file"`  // TSIG keys, one per line: NAME ALGORITHM SECRET; default: no keys
	Records    int           `toml:"records"`    // maximum number of records of a zone; from 10 to 10000000, default 1000000
	Precedence string        `toml:"precedence"` // names, discovery or both; default "names"
	Keep       tomlfile.Span `toml:"keep"`       // an address that returns within this time is the same endpoint; from 2s to 1h, default 2m
	Flaps      int           `toml:"flaps"`      // an address that was removed so many times flaps; from 1 to 100, default 3
	FlapSpan   tomlfile.Span `toml:"flap_span"`  // the time window of flaps; from 1s to 1h, default 30s
	Settle     tomlfile.Span `toml:"settle"`     // a flapping address serves again once it has been stable for this time; from 1s to 1h, default 10s
	Zones      []Zone        `toml:"zone"`
	Members    []Member      `toml:"member"`
}

// Zone is one zone, from a file or from a primary.
type Zone struct {
	Name         string       `toml:"name"`
	File         string       `toml:"file"`
	Primary      string       `toml:"primary"`       // address:port
	Key          string       `toml:"key"`           // signs the requests to the primary; default: unsigned
	TransferKeys []string     `toml:"transfer_keys"` // keys that may transfer the zone
	Notify       []string     `toml:"notify"`        // address:port of secondaries to notify
	NotifyKey    string       `toml:"notify_key"`
	Updates      []ZoneUpdate `toml:"update"`
}

// ZoneUpdate grants one key updates of some names and types.
type ZoneUpdate struct {
	Key   string   `toml:"key"`
	Names []string `toml:"names"` // exact names, or "*." and a name, for all names below it
	Types []string `toml:"types"` // default: all
}

// Member is a name that resolves to endpoints of a destination.
type Member struct {
	Destination uint32        `toml:"destination"`
	Name        string        `toml:"name"`
	SRV         bool          `toml:"srv"`
	Port        uint16        `toml:"port"` // of the addresses; required without srv
	Kind        string        `toml:"kind"`
	Zone        string        `toml:"zone"`
	Weight      float64       `toml:"weight"`      // default 1
	EmptyAfter  tomlfile.Span `toml:"empty_after"` // delay before an answer without addresses takes effect; up to 24h, default 0s: none
	Precedence  string        `toml:"precedence"`  // default: that of [dns]
}

const (
	maxZones   = 10_000
	maxMembers = 100_000
)

func (d *DNS) check(doc document) error {
	if d == nil {
		return nil
	}
	setDefault(&d.Records, nameserver.DefaultMaxRecords)
	setDefault(&d.Precedence, membership.NamesFirst.String())
	defaults := membership.DefaultFollowerConfig()
	setDefault(&d.Keep, tomlfile.Span(defaults.Retention))
	setDefault(&d.Flaps, defaults.MaxFlaps)
	setDefault(&d.FlapSpan, tomlfile.Span(defaults.FlapWindow))
	setDefault(&d.Settle, tomlfile.Span(defaults.Stabilization))
	if d.Records < 10 || d.Records > 10_000_000 {
		return doc.errorAt("dns", 0, "records", "dns.records = %d is not from 10 to 10000000", d.Records)
	}
	if d.Flaps < 1 || d.Flaps > 100 {
		return doc.errorAt("dns", 0, "flaps", "dns.flaps = %d is not from 1 to 100", d.Flaps)
	}
	for _, s := range []struct {
		key   string
		v     tomlfile.Span
		least time.Duration
	}{{"keep", d.Keep, 2 * time.Second}, {"flap_span", d.FlapSpan, time.Second}, {"settle", d.Settle, time.Second}} {
		if s.v.D() < s.least || s.v.D() > time.Hour {
			return doc.errorAt("dns", 0, s.key, "dns.%s = %v is not from %v to 1h", s.key, s.v.D(), s.least)
		}
	}
	if _, err := membership.PrecedenceOf(d.Precedence); err != nil {
		return doc.errorAt("dns", 0, "precedence", "dns.precedence: %w", err)
	}
	if d.Listen != "" {
		if _, _, err := net.SplitHostPort(d.Listen); err != nil {
			return doc.errorAt("dns", 0, "listen", "dns.listen = %q is not an address:port", d.Listen)
		}
	}
	if len(d.Zones) == 0 {
		return doc.errorAt("dns", 0, "", "dns has no [[dns.zone]]: no name can be resolved")
	}
	if len(d.Zones) > maxZones || len(d.Members) > maxMembers {
		return doc.errorAt("dns", 0, "", "dns has more than %d zones or %d members", maxZones, maxMembers)
	}
	if err := d.checkZones(doc); err != nil {
		return err
	}
	precedences := map[uint32]string{}
	for i := range d.Members {
		if err := d.checkMember(doc, i, precedences); err != nil {
			return err
		}
	}
	return nil
}

// checkZones checks each zone. The existence of its keys is checked later, when the key file is read.
func (d *DNS) checkZones(doc document) error {
	updates := 0
	for i := range d.Zones {
		z := &d.Zones[i]
		for j := range z.Updates {
			for _, t := range z.Updates[j].Types {
				if _, ok := dns.StringToType[t]; !ok {
					return doc.errorAt("dns.zone.update", updates+j, "types", "dns.zone %q: update: %q is not a record type", z.Name, t)
				}
			}
		}
		updates += len(z.Updates)
		one := nameserver.Config{Zones: []nameserver.ZoneConfig{z.config()}}
		one.Keys = d.keysNamedBy(z)
		if err := one.Check(); err != nil {
			return doc.errorAt("dns.zone", i, "name", "%w", err)
		}
	}
	return nil
}

// checkMember checks the i-th member and adds its precedence to precedences, which contains the precedences of the earlier members by
// destination.
func (d *DNS) checkMember(doc document, i int, precedences map[uint32]string) error {
	m := &d.Members[i]
	setDefault(&m.Weight, 1)
	at := func(key, format string, args ...any) error {
		return doc.errorAt("dns.member", i, key, "dns.member %d: %w", i+1, settingError(format, args...))
	}
	if m.Destination > maxDestination {
		return at("destination", "destination %d is over %d", m.Destination, maxDestination)
	}
	if !zone.IsName(m.Name) {
		return at("name", "name = %q is not a domain name", m.Name)
	}
	if m.SRV == (m.Port != 0) {
		return at("port", "exactly one of srv = true and port is required")
	}
	if !(m.Weight > 0 && m.Weight <= 1e6) {
		return at("weight", "weight = %v is not above 0 and at most 1000000", m.Weight)
	}
	if m.EmptyAfter.D() > 24*time.Hour {
		return at("empty_after", "empty_after = %v is over 24h", m.EmptyAfter.D())
	}
	if m.Precedence != "" {
		if _, err := membership.PrecedenceOf(m.Precedence); err != nil {
			return at("precedence", "precedence: %w", err)
		}
		if p, ok := precedences[m.Destination]; ok && p != m.Precedence {
			return at("precedence", "destination %d has precedence %q and %q", m.Destination, p, m.Precedence)
		}
		precedences[m.Destination] = m.Precedence
	}
	name := zone.Name(m.Name)
	if !slices.ContainsFunc(d.Zones, func(z Zone) bool { return zone.Within(zone.Name(z.Name), name) }) {
		return at("name", "%s is not in any of the zones", m.Name)
	}
	return nil
}

// keysNamedBy returns keys with the names that a zone uses, so that the check of the zone passes: the existence of the keys is checked
// later, when the key file is read.
func (d *DNS) keysNamedBy(z *Zone) []nameserver.Key {
	var keys []nameserver.Key
	if d.KeysFile == "" {
		return nil
	}
	all := append(append([]string{}, z.TransferKeys...), z.Key, z.NotifyKey)
	for _, u := range z.Updates {
		all = append(all, u.Key)
	}
	for _, k := range all {
		keys = append(keys, nameserver.Key{Name: zone.Name(k)})
	}
	return keys
}

func (z *Zone) config() nameserver.ZoneConfig {
	canonical := func(names []string) []string {
		var out []string
		for _, n := range names {
			out = append(out, zone.Name(n))
		}
		return out
	}
	key := func(k string) string {
		if k == "" {
			return ""
		}
		return zone.Name(k)
	}
	c := nameserver.ZoneConfig{File: z.File, Primary: z.Primary, Key: key(z.Key), TransferKeys: canonical(z.TransferKeys), Notify: z.Notify, NotifyKey: key(z.NotifyKey)}
	if z.Name != "" {
		c.Name = zone.Name(z.Name)
	}
	for _, u := range z.Updates {
		g := zone.Grant{Names: canonical(u.Names)}
		for _, t := range u.Types {
			g.Types = append(g.Types, dns.StringToType[t])
		}
		c.Updates = append(c.Updates, nameserver.Update{Key: key(u.Key), Grant: g})
	}
	return c
}

// Keys reads the key file; nil without one.
func (d *DNS) Keys() ([]nameserver.Key, error) {
	if d.KeysFile == "" {
		return nil, nil
	}
	return nameserver.ReadKeys(d.KeysFile)
}

// Config returns the name server's configuration. folder is the default of its state folder.
func (d *DNS) Config(folder string) (*nameserver.Config, error) {
	keys, err := d.Keys()
	if err != nil {
		return nil, err
	}
	c := &nameserver.Config{Listen: d.Listen, Folder: d.Folder, Keys: keys, MaxRecords: d.Records,
		Spans: membership.FollowerConfig{Retention: d.Keep.D(), MaxFlaps: d.Flaps, FlapWindow: d.FlapSpan.D(), Stabilization: d.Settle.D()}}
	if c.Folder == "" {
		c.Folder = folder
	}
	for i := range d.Zones {
		c.Zones = append(c.Zones, d.Zones[i].config())
	}
	for _, m := range d.Members {
		c.Members = append(c.Members, membership.Member{Destination: m.Destination, Name: zone.Name(m.Name), SRV: m.SRV, Port: m.Port,
			Kind: m.Kind, Zone: m.Zone, Weight: m.Weight, EmptyAfter: m.EmptyAfter.D()})
	}
	return c, nil
}

// Precedences returns the precedence by destination, and that of all other destinations.
func (d *DNS) Precedences() (map[uint32]membership.Precedence, membership.Precedence) {
	byDestination := map[uint32]membership.Precedence{}
	fallback, _ := membership.PrecedenceOf(d.Precedence) // validated when the file was read
	for _, m := range d.Members {
		if p, err := membership.PrecedenceOf(m.Precedence); err == nil {
			byDestination[m.Destination] = p
		}
	}
	return byDestination, fallback
}

func (d *DNS) lines() []string {
	if d == nil {
		return nil
	}
	where := "no server"
	if d.Listen != "" {
		where = "served at " + d.Listen
	}
	lines := []string{fmt.Sprintf("dns: %d zones, %s; %d members are followed by name, precedence %s", len(d.Zones), where, len(d.Members), d.Precedence)}
	for _, z := range d.Zones {
		from := "the file " + z.File
		if z.Primary != "" {
			from = "its primary " + z.Primary
		}
		line := fmt.Sprintf("dns: zone %s from %s", z.Name, from)
		for _, u := range z.Updates {
			kinds := "all types"
			if len(u.Types) > 0 {
				kinds = strings.Join(u.Types, ", ")
			}
			line += fmt.Sprintf("; key %s may change %s of %s", u.Key, kinds, strings.Join(u.Names, ", "))
		}
		if len(z.TransferKeys) > 0 {
			line += "; transfers to " + strings.Join(z.TransferKeys, ", ")
		}
		lines = append(lines, line)
	}
	return lines
}

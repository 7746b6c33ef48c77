package features

import (
	"strings"
	"testing"
	"time"

	"github.com/miekg/dns"

	"saffronyard.example/saffronyard/internal/membership"
)

const dnsFile = `[dns]
keys_file = "keys"
keep = "3m"
[[dns.zone]]
name = "Member.Example.org"
file = "/etc/m.zone"
transfer_keys = ["xfer"]
[[dns.zone.update]]
key = "ops"
names = ["*.Member.example.org"]
types = ["A", "SRV"]
[[dns.zone]]
name = "other.example.org"
primary = "127.0.0.1:53"
[[dns.member]]
destination = 7
name = "hooks.member.example.org"
port = 8443
empty_after = "30s"
[[dns.member]]
destination = 8
name = "_hooks._tcp.other.example.org"
srv = true
precedence = "both"
`

func TestParse_DNS(t *testing.T) {
	f, err := Parse("x.toml", []byte(dnsFile))
	if err != nil {
		t.Fatal(err)
	}
	d := f.DNS
	d.KeysFile = ""
	c, err := d.Config("state")
	if err != nil {
		t.Fatal(err)
	}
	m, z := c.Members[0], c.Zones[0]
	if c.Folder != "state" || c.Spans.Retention != 3*time.Minute || c.Spans.MaxFlaps != 3 || c.MaxRecords != 1_000_000 || m.Name != "hooks.member.example.org." || m.Weight != 1 ||
		m.EmptyAfter != 30*time.Second || z.Name != "member.example.org." || z.TransferKeys[0] != "xfer." || z.Updates[0].Key != "ops." ||
		z.Updates[0].Names[0] != "*.member.example.org." || z.Updates[0].Types[1] != dns.TypeSRV || c.Zones[1].Primary != "127.0.0.1:53" {
		t.Errorf("%+v", c)
	}
	by, fallback := d.Precedences()
	if len(by) != 1 || by[8] != membership.Both || fallback != membership.NamesFirst {
		t.Error(by, fallback)
	}
	if lines := strings.Join(f.Lines(), "\n"); !strings.Contains(lines, "2 zones, no server; 2 members") || !strings.Contains(lines, "key ops may change A, SRV of") {
		t.Error(lines)
	}
}

// Each error names the line of the invalid setting.
func TestParse_DNSErrors(t *testing.T) {
	edit := func(old, new string) string { return strings.Replace(dnsFile, old, new, 1) }
	for says, text := range map[string]string{
		`x.toml:1: dns has no [[dns.zone]]`:                             "[dns]\n",
		`x.toml:3: dns.keep = 1s is not from 2s`:                        edit("3m", "1s"),
		`x.toml:2: dns.flaps = 101`:                                     edit(`keys_file = "keys"`, "flaps = 101"),
		`x.toml:2: dns.records = 5`:                                     edit(`keys_file = "keys"`, "records = 5"),
		`x.toml:2: dns.precedence: "dns" is no precedence`:              edit(`keys_file = "keys"`, `precedence = "dns"`),
		`x.toml:2: dns.listen = "53" is not an address:port`:            edit(`keys_file = "keys"`, `listen = "53"`),
		`x.toml:5: zone member.example.org.: there is no key xfer.`:     edit(`keys_file = "keys"`, ""),
		`x.toml:5: zone member.example.org.: exactly one of a file and`: edit("file = \"/etc/m.zone\"\n", ""),
		`x.toml:5: zone member.example.org.: key ops.: "*.example`:      edit("*.Member.example.org", "*.example.net"),
		`x.toml:11: dns.zone "Member.Example.org": update: "AA" is`:     edit(`"A", `, `"AA", `),
		`x.toml:16: dns.member 1: destination 70000 is over`:            edit("= 7", "= 70000"),
		`x.toml:17: dns.member 1: name = "a..b" is not a domain name`:   edit("hooks.member.example.org", "a..b"),
		`x.toml:17: dns.member 1: x.example.net is not in any`:          edit("hooks.member.example.org", "x.example.net"),
		`x.toml:15: dns.member 1: exactly one of srv = true and`:        edit("port = 8443\n", ""),
		`x.toml:19: dns.member 1: empty_after = 25h0m0s is over`:        edit(`"30s"`, `"25h"`),
		`x.toml:24: dns.member 2: precedence: "all" is no precedence`:   edit(`"both"`, `"all"`),
		`x.toml:16: unknown key "dns.member.dest"`:                      edit("destination = 7", "dest = 7"),
	} {
		if _, err := Parse("x.toml", []byte(text)); err == nil || !strings.Contains(err.Error(), says) {
			t.Errorf("%v, want %q", err, says)
		}
	}
}

package nameserver

import (
	"strings"
	"testing"
)

func TestConfig_Check(t *testing.T) {
	dir := t.TempDir()
	for want, edit := range map[string]func(*Config){
		"zone Example.: the name is not an absolute lower-case name": func(c *Config) { c.Zones[0].Name = "Example." },
		"configured twice":                           func(c *Config) { c.Zones = append(c.Zones, c.Zones[0]) },
		"exactly one of":                             func(c *Config) { c.Zones[0].Primary = "127.0.0.1:53" },
		"only at its primary":                        func(c *Config) { c.Zones[0].File, c.Zones[0].Primary = "", "127.0.0.1:53" },
		"there is no key nope.":                      func(c *Config) { c.Zones[0].TransferKeys = []string{"nope."} },
		"the grant has no names":                     func(c *Config) { c.Zones[0].Updates[0].Names = nil },
		"is not a name within":                       func(c *Config) { c.Zones[0].Updates[0].Names = []string{"x.other."} },
		"is not an address:port":                     func(c *Config) { c.Zones[0].Notify = []string{"127.0.0.1"} },
		`"hooks" is not an absolute lower-case name`: func(c *Config) { c.Members[0].Name = "hooks" },
		"a port is required":                         func(c *Config) { c.Members[0].Port = 0 },
	} {
		c := testConfig(t, dir)
		edit(c)
		if _, err := Start(c, discardLogger()); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
	}
}

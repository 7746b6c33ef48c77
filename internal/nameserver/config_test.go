package nameserver

import (
	"strings"
	"testing"
)

func TestConfig_Check(t *testing.T) {
	dir := t.TempDir()
	for want, edit := range map[string]func(*Config){
		"no zone's name":        func(c *Config) { c.Zones[0].Name = "Example." },
		"twice":                 func(c *Config) { c.Zones = append(c.Zones, c.Zones[0]) },
		"one of them":           func(c *Config) { c.Zones[0].Primary = "127.0.0.1:53" },
		"updated there":         func(c *Config) { c.Zones[0].File, c.Zones[0].Primary = "", "127.0.0.1:53" },
		"there is no key nope.": func(c *Config) { c.Zones[0].TransferKeys = []string{"nope."} },
		"may change no name":    func(c *Config) { c.Zones[0].Updates[0].Names = nil },
		"no name within":        func(c *Config) { c.Zones[0].Updates[0].Names = []string{"x.other."} },
		"no address:port":       func(c *Config) { c.Zones[0].Notify = []string{"127.0.0.1"} },
		"no absolute name":      func(c *Config) { c.Members[0].Name = "hooks" },
		"a port is named":       func(c *Config) { c.Members[0].Port = 0 },
	} {
		c := updated(t, dir)
		edit(c)
		if _, err := Start(c, quiet()); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
	}
}

package peers

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strings"
)

// Config is how a sender takes part among its peers.
type Config struct {
	Name        string   // of this sender; no two have the same
	Incarnation uint64   // of this process; a later one's is higher
	Cluster     string   // of the deployment: others on the same network do not mix in
	Listen      string   // host:port for membership, TCP and UDP; port 0 for any
	Exchange    string   // host:port where others ask what is known; port 0 for any
	Seeds       []string // host:port of some other senders' membership
	Keys        [][]byte // of the membership's messages, the first for what is sent: 16, 24 or 32 bytes each; none: in clear
	MaxFollowed int      // so many peers are followed at once
	MaxFacts    int      // held of what each tells, at most
	Routes      []Route  // of others that are not reached at their own address
}

// The defaults.
const (
	DefaultMaxFollowed = 3
	DefaultMaxFacts    = 50_000
)

// ErrBeyondLoopback is that the exchange would be open to a network without TLS.
var ErrBeyondLoopback = errors.New("it is not a loopback address, and the exchange between senders has no TLS yet")

// ConfigError is a configuration of peers that can't be used.
type ConfigError struct{ Problem string }

// Error gives the problem.
func (e *ConfigError) Error() string { return "peers: " + e.Problem }

// configError is a ConfigError whose problem is formatted.
func configError(format string, args ...any) error {
	return &ConfigError{fmt.Sprintf(format, args...)}
}

// Check says what is wrong with a configuration: a *ConfigError, or one that names the setting and wraps its cause.
func (c *Config) Check() error {
	if c.Name == "" || len(c.Name) > 128 {
		return configError("name %q is empty or over 128 bytes", c.Name)
	}
	if c.Cluster == "" || len(c.Cluster) > 128 {
		return configError("cluster %q is empty or over 128 bytes", c.Cluster)
	}
	for _, a := range [][2]string{{"listen", c.Listen}, {"exchange", c.Exchange}} {
		if err := CheckLoopback(a[1]); err != nil {
			return fmt.Errorf("peers: %s = %q: %w", a[0], a[1], err)
		}
	}
	for _, s := range c.Seeds {
		if _, _, err := net.SplitHostPort(s); err != nil {
			return fmt.Errorf("peers: seed %q: %w", s, err)
		}
	}
	if _, err := NewRouteTable(c.Routes); err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	for i, k := range c.Keys {
		if n := len(k); n != 16 && n != 24 && n != 32 {
			return configError("key %d has %d bytes; 16, 24 or 32 are wanted", i+1, n)
		}
	}
	return nil
}

// WithHost gives an address that has none its host.
func WithHost(addr, host string) string {
	if strings.HasPrefix(addr, ":") {
		return host + addr
	}
	return addr
}

// CheckLoopback says why senders may not talk at an address without TLS: it is no numeric host:port, or ErrBeyondLoopback.
func CheckLoopback(addr string) error {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return fmt.Errorf("host:port with a numeric address is wanted: %w", err)
	}
	if !a.Addr().IsLoopback() {
		return ErrBeyondLoopback
	}
	return nil
}

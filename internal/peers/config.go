package peers

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strings"
)

// Config configures the exchange of a sender with its peers.
type Config struct {
	Name        string   // of this sender, unique in the deployment
	Incarnation uint64   // of this process; a later process has a higher one
	Cluster     string   // name of the deployment; separates it from others on the same network
	Listen      string   // host:port for membership, TCP and UDP; port 0 for any
	Exchange    string   // host:port where peers follow this sender's facts; port 0 for any
	Seeds       []string // host:port of some other senders' membership
	Keys        [][]byte // encrypt membership messages, 16, 24 or 32 bytes each; the first is used for sending; none: no encryption
	MaxFollowed int      // maximum number of peers followed at once
	MaxFacts    int      // maximum number of facts stored of each peer
	Routes      []Route  // to peers that are not reachable at their own address
}

// Defaults of Config.
const (
	DefaultMaxFollowed = 3
	DefaultMaxFacts    = 50_000
)

// ErrBeyondLoopback means that the exchange would be exposed to a network without TLS.
var ErrBeyondLoopback = errors.New("it is not a loopback address, and the exchange between senders has no TLS yet")

// ConfigError reports an invalid configuration of peers.
type ConfigError struct{ Problem string }

// Error returns the problem.
func (e *ConfigError) Error() string { return "peers: " + e.Problem }

// configError returns a ConfigError with a formatted problem.
func configError(format string, args ...any) error {
	return &ConfigError{fmt.Sprintf(format, args...)}
}

// Check validates a configuration. The error is a *ConfigError, or one that names the setting and wraps the cause.
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
			return configError("key %d has %d bytes; must be 16, 24 or 32", i+1, n)
		}
	}
	return nil
}

// WithHost adds the host to an address without one (":port").
func WithHost(addr, host string) string {
	if strings.HasPrefix(addr, ":") {
		return host + addr
	}
	return addr
}

// CheckLoopback returns an error if senders must not communicate at an address without TLS: ErrBeyondLoopback, or that the address
// is not a numeric host:port.
func CheckLoopback(addr string) error {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return fmt.Errorf("must be host:port with a numeric address: %w", err)
	}
	if !a.Addr().IsLoopback() {
		return ErrBeyondLoopback
	}
	return nil
}

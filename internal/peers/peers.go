// Package peers is how senders of one deployment know of each other and tell each other what they have seen of
// receivers. Who is there is found by gossip (SWIM, hashicorp/memberlist); what they know goes over gRPC, and each tells
// what it has seen itself and nothing that it has heard.
//
// A sender never waits for its peers: what they tell comes when it comes, and one that is silent, slow, endless or lies
// costs a bounded amount of memory and time.
package peers

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Config is how a sender takes part.
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

func configError(format string, args ...any) error {
	return &ConfigError{fmt.Sprintf(format, args...)}
}

// Check says what is wrong with a configuration.
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

// CheckLoopback says why an address is none that senders may talk at without TLS.
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

// Member is a sender as another knows it.
type Member struct {
	Name        string        `json:"name"`
	Incarnation uint64        `json:"life"`
	Address     string        `json:"address"`  // of its membership
	Exchange    string        `json:"exchange"` // where it tells what it knows
	Since       time.Duration `json:"since"`    // it is known to be there, on our clock
	State       string        `json:"state"`    // here, left, dead
}

// peer is what the choice of peers goes by.
type peer struct {
	Member
	following bool
	failures  int           // in a row
	retryAt   time.Duration // it is not tried before
}

const (
	minBackoff = 200 * time.Millisecond // after a stream that failed; doubles
	maxBackoff = 30 * time.Second
)

// choosePeers gives those to begin to follow, so that most are: those that are here and are not pausing after a failure,
// first those that failed least, then those that have been there the longest: they have seen most, while one that has
// just come is as new as we may be.
func choosePeers(all []peer, most int, now time.Duration) []string {
	n := 0
	var may []peer
	for _, f := range all {
		switch {
		case f.following:
			n++
		case f.State == stateAlive && f.Exchange != "" && now >= f.retryAt:
			may = append(may, f)
		}
	}
	slices.SortFunc(may, func(a, b peer) int {
		return cmp.Or(cmp.Compare(a.failures, b.failures), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Name, b.Name))
	})
	var names []string
	for _, f := range may[:min(len(may), max(0, most-n))] {
		names = append(names, f.Name)
	}
	return names
}

// backoff is how long one is left alone after so many failures in a row.
func backoff(failures int) time.Duration {
	return min(minBackoff<<min(max(0, failures-1), 10), maxBackoff)
}

const (
	stateAlive = "here"
	stateLeft  = "left"
	stateDead  = "dead"
)

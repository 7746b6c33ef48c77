// Package routing holds the operator's configuration: routes, services and limits, read whole and checked before use.
package routing

import (
	"strings"
	"time"

	"github.com/joomcode/errorx"
)

var (
	space = errorx.NewNamespace("configuration")
	// Invalid is the type of the error of a configuration that must not come into force.
	Invalid = space.NewType("invalid")
)

// Kind tells what may be repeated on a route.
type Kind int

// The kinds of routes. A Streaming one is not idempotent either.
const (
	NonIdempotent Kind = iota
	Idempotent
	Streaming
)

// String gives the name used in configurations.
func (k Kind) String() string {
	for name, kind := range kinds {
		if kind == k {
			return name
		}
	}
	return "unknown"
}

var kinds = map[string]Kind{"idempotent": Idempotent, "non_idempotent": NonIdempotent, "streaming": Streaming}

// Table is one whole configuration. It is not changed once parsed, so it may be shared between goroutines.
type Table struct {
	Revision int64
	Routes   []*Route
	Services map[string]*Service
	Limits   Limits
	Raw      []byte // as the operator sent it, with the fields unknown here

	hosts map[string]*hostRoutes
}

// Route tells where requests of one host and prefix go.
type Route struct {
	Name, Host, Prefix string // Host in lower case, without a port
	Kind               Kind
	Timeout            time.Duration // longest time to hold a request
	Aim                time.Duration // answer within it earns its full worth; Timeout where the operator gives none
	Priority           int           // 0 is the highest
	MaxAttempts        int           // endpoints to which one try may be sent, at least 1
	Split              []Weighted
	Persisted          bool
	Retention          time.Duration // how long a turn is kept; 0 where none is given
	Sticky             bool          // session_affinity
	Resumable          bool
	GapAim             time.Duration // longest pause between events; 0 where none is given

	ends []float64 // per entry of Split, where its part of [0, 1) ends
}

// Weighted is one service of a route with its share.
type Weighted struct {
	Service string
	Weight  float64 // not negative
}

// Service is what runs the requests of routes.
type Service struct {
	Name, HealthPath string // HealthPath empty where none is given
	MaxConnections   int    // of an endpoint, from all callers together; 0 where none is given
	Engine           *Engine
}

// Engine tells how an endpoint of a service runs models.
type Engine struct {
	Capacity       int
	CacheTokens    int64
	TokensPerEvent int // at least 1
	Models         []string
}

// Limits bound what a client may send.
type Limits struct {
	MaxHeader, MaxBody         int // bytes
	HeaderTimeout, IdleTimeout time.Duration
}

// hostRoutes are the routes of one host, by prefix, with the lengths that there are, longest first.
type hostRoutes struct {
	lengths  []int
	byPrefix map[string]*Route
}

// Match gives the route with the longest prefix that begins the path (a query is left out), or nil.
// The case of the host and its port don't count.
func (table *Table) Match(host, path string) *Route {
	routes := table.hosts[hostname(host)]
	if routes == nil {
		return nil
	}
	if i := strings.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}
	for _, n := range routes.lengths {
		if n <= len(path) && path[n-1] == '/' {
			if r := routes.byPrefix[path[:n]]; r != nil {
				return r
			}
		}
	}
	return nil
}

// hostname gives a host in lower case without its port.
func hostname(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.Contains(host[i:], "]") &&
		(strings.IndexByte(host, ':') == i || strings.HasPrefix(host, "[")) {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Pick gives the service for an even hash: each as often as its weight says, one of weight 0 never.
func (r *Route) Pick(hash uint64) string {
	at := float64(hash>>11) / (1 << 53)
	last := ""
	for i, w := range r.Split {
		if w.Weight <= 0 {
			continue
		}
		if at < r.ends[i] {
			return w.Service
		}
		last = w.Service
	}
	return last
}

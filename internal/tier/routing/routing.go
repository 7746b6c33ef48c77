// Package routing has the route table, which is the operator's configuration: routes, services and limits. It is parsed and
// checked as a whole before use.
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

// Kind is which requests of a route may be repeated.
type Kind int

// The kinds of routes. Requests of a Streaming one are not idempotent either.
const (
	NonIdempotent Kind = iota
	Idempotent
	Streaming
)

// String returns the name used in configurations.
func (kind Kind) String() string {
	for name, known := range kinds {
		if known == kind {
			return name
		}
	}
	return "unknown"
}

var kinds = map[string]Kind{"idempotent": Idempotent, "non_idempotent": NonIdempotent, "streaming": Streaming}

// Table is one whole configuration. It does not change once parsed, so that goroutines may share it.
type Table struct {
	Revision int64
	Routes   []*Route
	Services map[string]*Service
	Limits   Limits
	Raw      []byte // as the operator sent it, with the fields that this version does not know

	hosts map[string]*hostRoutes
}

// Route is where the requests of one host and path prefix go.
type Route struct {
	Name, Host, Prefix string // Host in lower case, without a port
	Kind               Kind
	Timeout            time.Duration // maximum time of a request
	Aim                time.Duration // target latency; Timeout where the operator gives none
	Priority           int           // 0 is the highest
	MaxAttempts        int           // endpoints that one request may be sent to, 1 or more
	Split              []Weighted
	Persisted          bool
	Retention          time.Duration // of a turn; 0 where none is given
	Sticky             bool          // session_affinity
	Resumable          bool
	GapAim             time.Duration // target of the pause between events; 0 where none is given

	ends []float64 // for each entry of Split, the end of its part of [0, 1)
}

// Weighted is one service of a traffic split with its weight.
type Weighted struct {
	Service string
	Weight  float64 // not negative
}

// Service is a group of endpoints that run the same requests.
type Service struct {
	Name, HealthPath string // HealthPath empty where none is given
	MaxConnections   int    // of an endpoint, by all gateways together; 0 where none is given
	Engine           *Engine
}

// Engine is how an endpoint of a service runs models.
type Engine struct {
	Capacity       int   // requests at once
	CacheTokens    int64 // size of its cache
	TokensPerEvent int   // 1 or more
	Models         []string
}

// Limits are the bounds of what a client may send.
type Limits struct {
	MaxHeader, MaxBody         int // bytes
	HeaderTimeout, IdleTimeout time.Duration
}

// hostRoutes are the routes of one host by prefix, and the lengths of these prefixes, longest first.
type hostRoutes struct {
	lengths  []int
	byPrefix map[string]*Route
}

// Match returns the route with the longest prefix of the path, or nil. The query of the path, the port of the host and its
// case are ignored. Match does not allocate where the host is in lower case.
func (table *Table) Match(host, path string) *Route {
	routes := table.hosts[hostname(host)]
	if routes == nil {
		return nil
	}
	if i := strings.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}
	for _, length := range routes.lengths {
		if length <= len(path) && path[length-1] == '/' {
			if route := routes.byPrefix[path[:length]]; route != nil {
				return route
			}
		}
	}
	return nil
}

// hostname returns a host in lower case without its port.
func hostname(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.Contains(host[i:], "]") &&
		(strings.IndexByte(host, ':') == i || strings.HasPrefix(host, "[")) {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Pick returns the service for a hash: of evenly distributed hashes, each service gets a part by its weight, and one of weight
// 0 gets none.
func (route *Route) Pick(hash uint64) string {
	point := float64(hash>>11) / (1 << 53)
	last := ""
	for i, share := range route.Split {
		if share.Weight <= 0 {
			continue
		}
		if point < route.ends[i] {
			return share.Service
		}
		last = share.Service
	}
	return last
}

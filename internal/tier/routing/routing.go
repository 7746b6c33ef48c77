// Package routing implements the route table, which is the operator's configuration: routes, services and limits.
//
// Parse decodes a configuration from JSON (json.go) and validates all of it (parse.go): it returns a Table, which is immutable and
// safe for concurrent use, or an error of type Invalid that lists all findings. Unknown fields are ignored. Table.Match and
// Route.Pick are called for each request. The package stores nothing.
package routing

import (
	"strings"
	"time"

	"github.com/joomcode/errorx"
)

var (
	errorTypes = errorx.NewNamespace("configuration")
	// Invalid is the type of the error of a configuration that must not be applied.
	Invalid = errorTypes.NewType("invalid")
)

// Kind is the kind of a route's requests. It determines whether a request may be executed more than once.
type Kind int

// Kinds of routes. Requests of a Streaming route are not idempotent either.
const (
	NonIdempotent Kind = iota
	Idempotent
	Streaming
)

// String implements fmt.Stringer with the name in configurations.
func (kind Kind) String() string {
	for name, known := range kindNames {
		if known == kind {
			return name
		}
	}
	return "unknown"
}

// kindNames are the kinds by route_type.
var kindNames = map[string]Kind{"idempotent": Idempotent, "non_idempotent": NonIdempotent, "streaming": Streaming}

// Table is a parsed configuration. It is immutable.
type Table struct {
	Revision int64
	Routes   []*Route
	Services map[string]*Service
	Limits   Limits
	Raw      []byte // as the operator sent it, including unknown fields

	hosts map[string]*hostRoutes
}

// Route is how the requests of one host and path prefix are served.
type Route struct {
	Name, Host, Prefix string // Host in lower case, without a port
	Kind               Kind
	Timeout            time.Duration // of a request
	LatencyTarget      time.Duration // Timeout if the operator gives none
	Priority           int           // 0 is the highest
	MaxAttempts        int           // attempts at endpoints for one request, 1 or more
	Split              []WeightedService
	Persisted          bool
	Retention          time.Duration // of a stored turn; 0: not given
	SessionAffinity    bool          // requests of a session go to the same service
	Resumable          bool
	EventGapTarget     time.Duration // target of the time between events; 0: not given

	cumulativeWeights []float64 // for each entry of Split: the end of its interval in [0, 1)
}

// WeightedService is a service of a traffic split with its weight.
type WeightedService struct {
	Service string
	Weight  float64 // not negative
}

// Service is a group of endpoints that serve the same requests.
type Service struct {
	Name, HealthPath string // HealthPath is empty if it is not given
	MaxConnections   int    // to one endpoint, from all gateways together; 0: no limit
	Engine           *Engine
}

// Engine describes the inference engine of each endpoint of a service.
type Engine struct {
	Capacity       int   // concurrent requests
	CacheTokens    int64 // size of its prefix cache
	TokensPerEvent int   // tokens that one event of an answer counts as, 1 or more
	Models         []string
}

// Limits are the limits on what a client may send.
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
// case are ignored. Match does not allocate if the host is in lower case.
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

// Pick returns the service for a hash. Evenly distributed hashes are split over the services in proportion to their weights; a service
// of weight 0 gets none.
func (route *Route) Pick(hash uint64) string {
	point := float64(hash>>11) / (1 << 53)
	last := ""
	for i, candidate := range route.Split {
		if candidate.Weight <= 0 {
			continue
		}
		if point < route.cumulativeWeights[i] {
			return candidate.Service
		}
		last = candidate.Service
	}
	return last
}

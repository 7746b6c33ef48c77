package routing

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/joomcode/errorx"
)

const (
	maxDuration     = 365 * 24 * time.Hour // longer durations are reduced to this
	maxExactInteger = 1 << 53              // above it a float64 cannot represent every integer
	maxSetting      = math.MaxInt32

	// Defaults of limits that are not configured.
	defaultMaxHeader     = 64 << 10
	defaultMaxBody       = 16 << 20
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = time.Minute
)

// findings collects the errors of a configuration.
type findings struct{ list []error }

// add adds an error at a JSON path.
func (found *findings) add(path, message string, args ...any) {
	found.list = append(found.list, Invalid.New("%s: %s", path, fmt.Sprintf(message, args...)))
}

// number is a numeric field.
type number struct {
	field string
	value float64
}

// addNegative adds an error for each number below 0. The function at returns the JSON path of a field.
func (found *findings) addNegative(at func(field string) string, numbers ...number) {
	for _, number := range numbers {
		if number.value < 0 {
			found.add(at(number.field), "is %v, below 0", number.value)
		}
	}
}

// fieldsOf returns a function that returns the JSON path of a field of the object at path.
func fieldsOf(path string) func(field string) string {
	return func(field string) string { return path + "." + field }
}

// Parse parses and validates a configuration. The error, of type Invalid, lists all errors with their JSON paths. The caller must check
// that the revision is above the current one. The table refers to body, which must not be modified afterwards.
func Parse(body []byte) (*Table, error) {
	var found findings
	table := &Table{Services: map[string]*Service{}, Raw: body, hosts: map[string]*hostRoutes{}}
	if document, ok := decode(body, &found); ok {
		table.parse(&document, &found)
	}
	if len(found.list) > 0 {
		return nil, errorx.WrapMany(Invalid, fmt.Sprintf("configuration with %d findings", len(found.list)), found.list...)
	}
	for _, routes := range table.hosts {
		slices.SortFunc(routes.lengths, func(a, b int) int { return b - a })
		routes.lengths = slices.Compact(routes.lengths)
	}
	return table, nil
}

// parse fills the table from a decoded configuration, and adds its errors to found.
func (table *Table) parse(document *jsonTable, found *findings) {
	switch {
	case document.Revision == nil:
		found.add("revision", "is missing")
	case *document.Revision < 1 || *document.Revision != math.Trunc(*document.Revision) || *document.Revision > maxExactInteger:
		found.add("revision", "is %v, not a whole number above 0", *document.Revision)
	default:
		table.Revision = int64(*document.Revision)
	}
	table.Limits = document.Limits.parse(found)
	if document.Services == nil {
		found.add("services", "is missing")
	} else {
		table.addServices(*document.Services, found)
	}
	if document.Routes == nil {
		found.add("routes", "is missing")
		return
	}
	table.Routes = make([]*Route, 0, len(*document.Routes))
	seen := map[[2]string]int{}
	for i := range *document.Routes {
		table.addRoute(i, &(*document.Routes)[i], seen, found)
	}
}

// addServices validates and adds the services.
func (table *Table) addServices(services []jsonService, found *findings) {
	for i, service := range services {
		path := fmt.Sprintf("services[%d]", i)
		if service.Name == "" {
			found.add(path+".name", "is missing")
			continue
		}
		table.Services[service.Name] = service.parse(path, found)
	}
}

// addRoute validates and adds a route. The map seen has the index of the route of each host and prefix so far.
func (table *Table) addRoute(index int, document *jsonRoute, seen map[[2]string]int, found *findings) {
	at := func(field string) string { return fmt.Sprintf("routes[%d].%s", index, field) }
	route := &Route{
		Name: document.Name, Host: hostname(document.Hostname), Prefix: document.Prefix, Priority: clamp(document.Priority), MaxAttempts: max(1, clamp(document.Attempts)),
		Persisted: document.Persisted, SessionAffinity: document.Affinity, Resumable: document.Resumable,
		LatencyTarget: milliseconds(document.TargetLatency), EventGapTarget: milliseconds(document.EventGapTarget), Retention: milliseconds(document.Retention * 1000),
	}
	document.parse(route, at, found)
	table.parseSplit(route, document, at, found)

	key := [2]string{route.Host, route.Prefix}
	if first, duplicate := seen[key]; duplicate {
		found.add(at("path_prefix"), "%s%s is that of routes[%d] too", route.Host, route.Prefix, first)
		return
	}
	seen[key] = index
	table.Routes = append(table.Routes, route)
	routes := table.hosts[route.Host]
	if routes == nil {
		routes = &hostRoutes{byPrefix: map[string]*Route{}}
		table.hosts[route.Host] = routes
	}
	routes.byPrefix[route.Prefix] = route
	routes.lengths = append(routes.lengths, len(route.Prefix))
}

// parse validates the fields of a route that do not depend on the services, and sets its kind, its time-out and its latency target,
// which defaults to the time-out.
func (route *jsonRoute) parse(parsed *Route, at func(field string) string, found *findings) {
	found.addNegative(at, number{"target_latency_ms", route.TargetLatency}, number{"gap_aim_ms", route.EventGapTarget},
		number{"retention_s", route.Retention}, number{"priority", route.Priority}, number{"max_attempts", route.Attempts})
	if parsed.Host == "" {
		found.add(at("hostname"), "is missing")
	}
	if !strings.HasPrefix(parsed.Prefix, "/") || !strings.HasSuffix(parsed.Prefix, "/") {
		found.add(at("path_prefix"), "is %q, does not begin and end with a slash", parsed.Prefix)
	}
	if route.Type != nil {
		kind, known := kindNames[*route.Type]
		if !known {
			found.add(at("route_type"), "is %q, not known", *route.Type)
		}
		parsed.Kind = kind
	}
	switch {
	case route.Timeout == nil:
		found.add(at("timeout_ms"), "is missing")
	case *route.Timeout <= 0:
		found.add(at("timeout_ms"), "is %v, not above 0", *route.Timeout)
	default:
		parsed.Timeout = max(milliseconds(*route.Timeout), time.Nanosecond)
	}
	if parsed.LatencyTarget == 0 {
		parsed.LatencyTarget = parsed.Timeout
	}
}

// parseSplit validates and sets the traffic split of a route.
func (table *Table) parseSplit(route *Route, document *jsonRoute, at func(string) string, found *findings) {
	if document.Service != nil && (*document.Service != "" || len(document.Split) == 0) {
		if table.Services[*document.Service] == nil {
			found.add(at("service_name"), "%q is not known", *document.Service)
		}
		if len(document.Split) == 0 {
			route.Split, route.cumulativeWeights = []WeightedService{{Service: *document.Service, Weight: 1}}, []float64{1}
			return
		}
	}
	if len(document.Split) == 0 {
		found.add(at("service_name"), "is missing, and so is traffic_split")
		return
	}
	total := 0.0
	for i, entry := range document.Split {
		if table.Services[entry.Service] == nil {
			found.add(at(fmt.Sprintf("traffic_split[%d].service_name", i)), "%q is not known", entry.Service)
		}
		if entry.Weight < 0 {
			found.add(at(fmt.Sprintf("traffic_split[%d].weight", i)), "is %v, below 0", entry.Weight)
		}
		total += entry.Weight
		route.Split = append(route.Split, WeightedService(entry))
		route.cumulativeWeights = append(route.cumulativeWeights, total)
	}
	if !(total > 0) || math.IsInf(total, 0) {
		found.add(at("traffic_split"), "weights add up to %v", total)
		return
	}
	for i := range route.cumulativeWeights {
		route.cumulativeWeights[i] /= total
	}
}

// parse validates a service and returns it.
func (service jsonService) parse(path string, found *findings) *Service {
	parsed := &Service{Name: service.Name, HealthPath: service.HealthPath, MaxConnections: clamp(service.MaxConnections)}
	found.addNegative(fieldsOf(path), number{"max_connections", service.MaxConnections})
	engine := service.Engine
	if engine == nil {
		return parsed
	}
	found.addNegative(fieldsOf(path+".inference_engine"), number{"capacity", engine.Capacity},
		number{"cache_tokens", engine.CacheTokens}, number{"tokens_per_event", engine.TokensPerEvent})
	parsed.Engine = &Engine{
		Capacity:       clamp(engine.Capacity),
		CacheTokens:    int64(min(max(engine.CacheTokens, 0), maxExactInteger)),
		TokensPerEvent: max(1, clamp(engine.TokensPerEvent)),
	}
	for _, model := range engine.Models {
		parsed.Engine.Models = append(parsed.Engine.Models, model.Name)
	}
	return parsed
}

// parse validates the limits and returns them, with defaults for those that are 0.
func (limits jsonLimits) parse(found *findings) Limits {
	found.addNegative(fieldsOf("limits"), number{"max_header_bytes", limits.MaxHeader}, number{"max_body_bytes", limits.MaxBody},
		number{"header_timeout_ms", limits.HeaderTimeout}, number{"idle_timeout_ms", limits.IdleTimeout})
	parsed := Limits{
		MaxHeader: clamp(limits.MaxHeader), MaxBody: clamp(limits.MaxBody),
		HeaderTimeout: milliseconds(limits.HeaderTimeout), IdleTimeout: milliseconds(limits.IdleTimeout),
	}
	if parsed.MaxHeader == 0 {
		parsed.MaxHeader = defaultMaxHeader
	}
	if parsed.MaxBody == 0 {
		parsed.MaxBody = defaultMaxBody
	}
	if parsed.HeaderTimeout == 0 {
		parsed.HeaderTimeout = defaultHeaderTimeout
	}
	if parsed.IdleTimeout == 0 {
		parsed.IdleTimeout = defaultIdleTimeout
	}
	return parsed
}

// clamp returns the integer part of a number, limited to 0 to maxSetting.
func clamp(number float64) int { return int(min(max(number, 0), maxSetting)) }

// milliseconds returns a number of milliseconds as a duration, limited to 0 to maxDuration.
func milliseconds(number float64) time.Duration {
	return time.Duration(min(max(number, 0)*float64(time.Millisecond), float64(maxDuration)))
}

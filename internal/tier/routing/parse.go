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
	maxDuration = 365 * 24 * time.Hour // longer times are cut to this
	maxWhole    = 1 << 53              // above it a float64 does not hold each whole number
	maxSetting  = math.MaxInt32

	// In force where the operator gives no limits.
	defaultMaxHeader     = 64 << 10
	defaultMaxBody       = 16 << 20
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = time.Minute
)

// findings collects what is wrong with a configuration.
type findings struct{ list []error }

// report adds a finding: where it is, and what is wrong there.
func (found *findings) report(place, message string, args ...any) {
	found.list = append(found.list, Invalid.New("%s: %s", place, fmt.Sprintf(message, args...)))
}

// number is a field with its value.
type number struct {
	field string
	value float64
}

// reportNegative adds a finding for each number below 0. The function at returns the place of a field.
func (found *findings) reportNegative(at func(field string) string, numbers ...number) {
	for _, number := range numbers {
		if number.value < 0 {
			found.report(at(number.field), "is %v, below 0", number.value)
		}
	}
}

// within returns a function that returns the place of a field of a part.
func within(place string) func(field string) string {
	return func(field string) string { return place + "." + field }
}

// Parse reads and checks a whole configuration. The error, of type Invalid, lists all findings with their places.
// Whether the revision is above the current one is for the caller to check. The body is kept and must not be changed.
func Parse(body []byte) (*Table, error) {
	var found findings
	table := &Table{Services: map[string]*Service{}, Raw: body, hosts: map[string]*hostRoutes{}}
	if sent, ok := decode(body, &found); ok {
		table.parse(&sent, &found)
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

// parse fills the table from a configuration as sent, and reports what is wrong with it.
func (table *Table) parse(sent *wireTable, found *findings) {
	switch {
	case sent.Revision == nil:
		found.report("revision", "is missing")
	case *sent.Revision < 1 || *sent.Revision != math.Trunc(*sent.Revision) || *sent.Revision > maxWhole:
		found.report("revision", "is %v, not a whole number above 0", *sent.Revision)
	default:
		table.Revision = int64(*sent.Revision)
	}
	table.Limits = sent.Limits.parse(found)
	if sent.Services == nil {
		found.report("services", "is missing")
	} else {
		table.addServices(*sent.Services, found)
	}
	if sent.Routes == nil {
		found.report("routes", "is missing")
		return
	}
	table.Routes = make([]*Route, 0, len(*sent.Routes))
	places := map[[2]string]int{}
	for i := range *sent.Routes {
		table.addRoute(i, &(*sent.Routes)[i], places, found)
	}
}

// addServices checks and adds the services.
func (table *Table) addServices(sent []wireService, found *findings) {
	for i, service := range sent {
		place := fmt.Sprintf("services[%d]", i)
		if service.Name == "" {
			found.report(place+".name", "is missing")
			continue
		}
		table.Services[service.Name] = service.parse(place, found)
	}
}

// addRoute checks and adds one route. The map places holds the index of the route of each host and prefix so far.
func (table *Table) addRoute(index int, sent *wireRoute, places map[[2]string]int, found *findings) {
	at := func(field string) string { return fmt.Sprintf("routes[%d].%s", index, field) }
	route := &Route{
		Name: sent.Name, Host: hostname(sent.Hostname), Prefix: sent.Prefix, Priority: clamp(sent.Priority), MaxAttempts: max(1, clamp(sent.Attempts)),
		Persisted: sent.Persisted, Sticky: sent.Affinity, Resumable: sent.Resumable,
		Aim: milliseconds(sent.TargetLatency), GapAim: milliseconds(sent.GapAim), Retention: milliseconds(sent.Retention * 1000),
	}
	sent.parse(route, at, found)
	table.parseSplit(route, sent, at, found)

	place := [2]string{route.Host, route.Prefix}
	if first, twice := places[place]; twice {
		found.report(at("path_prefix"), "%s%s is that of routes[%d] too", route.Host, route.Prefix, first)
		return
	}
	places[place] = index
	table.Routes = append(table.Routes, route)
	routes := table.hosts[route.Host]
	if routes == nil {
		routes = &hostRoutes{byPrefix: map[string]*Route{}}
		table.hosts[route.Host] = routes
	}
	routes.byPrefix[route.Prefix] = route
	routes.lengths = append(routes.lengths, len(route.Prefix))
}

// parse checks the fields of a route that do not depend on others, and sets its kind, its time-out, and its target latency,
// which is the time-out where none is given.
func (sent *wireRoute) parse(route *Route, at func(field string) string, found *findings) {
	found.reportNegative(at, number{"target_latency_ms", sent.TargetLatency}, number{"gap_aim_ms", sent.GapAim},
		number{"retention_s", sent.Retention}, number{"priority", sent.Priority}, number{"max_attempts", sent.Attempts})
	if route.Host == "" {
		found.report(at("hostname"), "is missing")
	}
	if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
		found.report(at("path_prefix"), "is %q, does not begin and end with a slash", route.Prefix)
	}
	if sent.Type != nil {
		kind, known := kinds[*sent.Type]
		if !known {
			found.report(at("route_type"), "is %q, not known", *sent.Type)
		}
		route.Kind = kind
	}
	switch {
	case sent.Timeout == nil:
		found.report(at("timeout_ms"), "is missing")
	case *sent.Timeout <= 0:
		found.report(at("timeout_ms"), "is %v, not above 0", *sent.Timeout)
	default:
		route.Timeout = max(milliseconds(*sent.Timeout), time.Nanosecond)
	}
	if route.Aim == 0 {
		route.Aim = route.Timeout
	}
}

// parseSplit checks and sets the traffic split of a route.
func (table *Table) parseSplit(route *Route, sent *wireRoute, at func(string) string, found *findings) {
	if sent.Service != nil && (*sent.Service != "" || len(sent.Split) == 0) {
		if table.Services[*sent.Service] == nil {
			found.report(at("service_name"), "%q is not known", *sent.Service)
		}
		if len(sent.Split) == 0 {
			route.Split, route.ends = []Weighted{{Service: *sent.Service, Weight: 1}}, []float64{1}
			return
		}
	}
	if len(sent.Split) == 0 {
		found.report(at("service_name"), "is missing, and so is traffic_split")
		return
	}
	total := 0.0
	for i, share := range sent.Split {
		if table.Services[share.Service] == nil {
			found.report(at(fmt.Sprintf("traffic_split[%d].service_name", i)), "%q is not known", share.Service)
		}
		if share.Weight < 0 {
			found.report(at(fmt.Sprintf("traffic_split[%d].weight", i)), "is %v, below 0", share.Weight)
		}
		total += share.Weight
		route.Split = append(route.Split, Weighted(share))
		route.ends = append(route.ends, total)
	}
	if !(total > 0) || math.IsInf(total, 0) {
		found.report(at("traffic_split"), "weights add up to %v", total)
		return
	}
	for i := range route.ends {
		route.ends[i] /= total
	}
}

// parse checks a service and returns it.
func (sent wireService) parse(place string, found *findings) *Service {
	service := &Service{Name: sent.Name, HealthPath: sent.HealthPath, MaxConnections: clamp(sent.MaxConnections)}
	found.reportNegative(within(place), number{"max_connections", sent.MaxConnections})
	engine := sent.Engine
	if engine == nil {
		return service
	}
	found.reportNegative(within(place+".inference_engine"), number{"capacity", engine.Capacity},
		number{"cache_tokens", engine.CacheTokens}, number{"tokens_per_event", engine.TokensPerEvent})
	service.Engine = &Engine{
		Capacity:       clamp(engine.Capacity),
		CacheTokens:    int64(min(max(engine.CacheTokens, 0), maxWhole)),
		TokensPerEvent: max(1, clamp(engine.TokensPerEvent)),
	}
	for _, model := range engine.Models {
		service.Engine.Models = append(service.Engine.Models, model.Name)
	}
	return service
}

// parse checks the limits and returns them, with the defaults for those that are 0.
func (sent wireLimits) parse(found *findings) Limits {
	found.reportNegative(within("limits"), number{"max_header_bytes", sent.MaxHeader}, number{"max_body_bytes", sent.MaxBody},
		number{"header_timeout_ms", sent.HeaderTimeout}, number{"idle_timeout_ms", sent.IdleTimeout})
	limits := Limits{
		MaxHeader: clamp(sent.MaxHeader), MaxBody: clamp(sent.MaxBody),
		HeaderTimeout: milliseconds(sent.HeaderTimeout), IdleTimeout: milliseconds(sent.IdleTimeout),
	}
	if limits.MaxHeader == 0 {
		limits.MaxHeader = defaultMaxHeader
	}
	if limits.MaxBody == 0 {
		limits.MaxBody = defaultMaxBody
	}
	if limits.HeaderTimeout == 0 {
		limits.HeaderTimeout = defaultHeaderTimeout
	}
	if limits.IdleTimeout == 0 {
		limits.IdleTimeout = defaultIdleTimeout
	}
	return limits
}

// clamp returns the whole part of a number, or the nearest bound of a setting: 0 or maxSetting.
func clamp(number float64) int { return int(min(max(number, 0), maxSetting)) }

// milliseconds returns a number of milliseconds as a time from 0 to maxDuration.
func milliseconds(number float64) time.Duration {
	return time.Duration(min(max(number, 0)*float64(time.Millisecond), float64(maxDuration)))
}

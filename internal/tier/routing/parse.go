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
	longest = 365 * 24 * time.Hour // longer times are cut to this
	maxInt  = 1 << 53              // above it a float64 does not hold each whole number
	maxSize = math.MaxInt32

	// In force where the operator gives no limits.
	defaultMaxHeader     = 64 << 10
	defaultMaxBody       = 16 << 20
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = time.Minute
)

// findings collects what is wrong, each with its place.
type findings struct{ list []error }

// add notes a finding: where it is, and what is wrong there.
func (f *findings) add(place, message string, args ...any) {
	f.list = append(f.list, Invalid.New("%s: %s", place, fmt.Sprintf(message, args...)))
}

// Parse reads and checks a whole configuration. The error, of type Invalid, tells all findings with their places.
// Whether the revision is above the current one is for the caller to check. The body is kept and must not be changed.
func Parse(body []byte) (*Table, error) {
	var found findings
	c := &Table{Services: map[string]*Service{}, Raw: body, hosts: map[string]*hostRoutes{}}
	if w, ok := decode(body, &found); ok {
		c.fill(&w, &found)
	}
	if len(found.list) > 0 {
		return nil, errorx.WrapMany(Invalid, fmt.Sprintf("configuration with %d findings", len(found.list)), found.list...)
	}
	for _, routes := range c.hosts {
		slices.SortFunc(routes.lengths, func(a, b int) int { return b - a })
		routes.lengths = slices.Compact(routes.lengths)
	}
	return c, nil
}

// fill takes in a configuration and notes what is wrong with it.
func (table *Table) fill(w *wire, found *findings) {
	switch {
	case w.Revision == nil:
		found.add("revision", "is missing")
	case *w.Revision < 1 || *w.Revision != math.Trunc(*w.Revision) || *w.Revision > maxInt:
		found.add("revision", "is %v, not a whole number above 0", *w.Revision)
	default:
		table.Revision = int64(*w.Revision)
	}
	table.Limits = w.Limits.limits(found)
	if w.Services == nil {
		found.add("services", "is missing")
	} else {
		for i, s := range *w.Services {
			if s.Name == "" {
				found.add(fmt.Sprintf("services[%d].name", i), "is missing")
				continue
			}
			table.Services[s.Name] = s.service(fmt.Sprintf("services[%d]", i), found)
		}
	}
	if w.Routes == nil {
		found.add("routes", "is missing")
		return
	}
	table.Routes = make([]*Route, 0, len(*w.Routes))
	places := map[[2]string]int{}
	for i := range *w.Routes {
		table.addRoute(i, &(*w.Routes)[i], places, found)
	}
}

// addRoute checks one route and takes it in.
func (table *Table) addRoute(i int, w *wireRoute, places map[[2]string]int, found *findings) {
	at := func(field string) string { return fmt.Sprintf("routes[%d].%s", i, field) }
	r := &Route{
		Name: w.Name, Host: hostname(w.Hostname), Prefix: w.Prefix, Priority: clamp(w.Priority), MaxAttempts: max(1, clamp(w.Attempts)),
		Persisted: w.Persisted, Sticky: w.Affinity, Resumable: w.Resumable,
		Aim: millis(w.Aim), GapAim: millis(w.GapAim), Retention: millis(w.Retention * 1000),
	}
	w.check(r, at, found)
	table.split(r, w, at, found)

	place := [2]string{r.Host, r.Prefix}
	if first, twice := places[place]; twice {
		found.add(at("path_prefix"), "%s%s is that of routes[%d] too", r.Host, r.Prefix, first)
		return
	}
	places[place] = i
	table.Routes = append(table.Routes, r)
	routes := table.hosts[r.Host]
	if routes == nil {
		routes = &hostRoutes{byPrefix: map[string]*Route{}}
		table.hosts[r.Host] = routes
	}
	routes.byPrefix[r.Prefix] = r
	routes.lengths = append(routes.lengths, len(r.Prefix))
}

// check checks the fields of a route that stand alone, and takes in those that a route must have: its kind, time-out and
// aim. The aim is the time-out where none is given.
func (w *wireRoute) check(r *Route, at func(field string) string, found *findings) {
	for _, n := range []struct {
		field string
		value float64
	}{{"target_latency_ms", w.Aim}, {"gap_aim_ms", w.GapAim}, {"retention_s", w.Retention}, {"priority", w.Priority}, {"max_attempts", w.Attempts}} {
		if n.value < 0 {
			found.add(at(n.field), "is %v, below 0", n.value)
		}
	}
	if r.Host == "" {
		found.add(at("hostname"), "is missing")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		found.add(at("path_prefix"), "is %q, does not begin and end with a slash", r.Prefix)
	}
	if w.Type != nil {
		kind, known := kinds[*w.Type]
		if !known {
			found.add(at("route_type"), "is %q, not known", *w.Type)
		}
		r.Kind = kind
	}
	switch {
	case w.Timeout == nil:
		found.add(at("timeout_ms"), "is missing")
	case *w.Timeout <= 0:
		found.add(at("timeout_ms"), "is %v, not above 0", *w.Timeout)
	default:
		r.Timeout = max(millis(*w.Timeout), time.Nanosecond)
	}
	if r.Aim == 0 {
		r.Aim = r.Timeout
	}
}

// split checks and takes in the services of a route.
func (table *Table) split(r *Route, w *wireRoute, at func(string) string, found *findings) {
	if w.Service != nil && (*w.Service != "" || len(w.Split) == 0) {
		if table.Services[*w.Service] == nil {
			found.add(at("service_name"), "%q is not known", *w.Service)
		}
		if len(w.Split) == 0 {
			r.Split, r.ends = []Weighted{{Service: *w.Service, Weight: 1}}, []float64{1}
			return
		}
	}
	if len(w.Split) == 0 {
		found.add(at("service_name"), "is missing, and so is traffic_split")
		return
	}
	total := 0.0
	for i, s := range w.Split {
		if table.Services[s.Service] == nil {
			found.add(at(fmt.Sprintf("traffic_split[%d].service_name", i)), "%q is not known", s.Service)
		}
		if s.Weight < 0 {
			found.add(at(fmt.Sprintf("traffic_split[%d].weight", i)), "is %v, below 0", s.Weight)
		}
		total += s.Weight
		r.Split = append(r.Split, Weighted(s))
		r.ends = append(r.ends, total)
	}
	if !(total > 0) || math.IsInf(total, 0) {
		found.add(at("traffic_split"), "weights add up to %v", total)
		return
	}
	for i := range r.ends {
		r.ends[i] /= total
	}
}

func (w wireService) service(place string, found *findings) *Service {
	s := &Service{Name: w.Name, HealthPath: w.HealthPath, MaxConnections: clamp(w.MaxConnections)}
	if w.MaxConnections < 0 {
		found.add(place+".max_connections", "is %v, below 0", w.MaxConnections)
	}
	e := w.Engine
	if e == nil {
		return s
	}
	for _, n := range []struct {
		field string
		value float64
	}{{"capacity", e.Capacity}, {"cache_tokens", e.CacheTokens}, {"tokens_per_event", e.TokensPerEvent}} {
		if n.value < 0 {
			found.add(place+".inference_engine."+n.field, "is %v, below 0", n.value)
		}
	}
	s.Engine = &Engine{
		Capacity:       clamp(e.Capacity),
		CacheTokens:    int64(min(max(e.CacheTokens, 0), maxInt)),
		TokensPerEvent: max(1, clamp(e.TokensPerEvent)),
	}
	for _, m := range e.Models {
		s.Engine.Models = append(s.Engine.Models, m.Name)
	}
	return s
}

func (w wireLimits) limits(found *findings) Limits {
	for _, n := range []struct {
		field string
		value float64
	}{{"max_header_bytes", w.MaxHeader}, {"max_body_bytes", w.MaxBody}, {"header_timeout_ms", w.HeaderTimeout}, {"idle_timeout_ms", w.IdleTimeout}} {
		if n.value < 0 {
			found.add("limits."+n.field, "is %v, below 0", n.value)
		}
	}
	l := Limits{
		MaxHeader: clamp(w.MaxHeader), MaxBody: clamp(w.MaxBody),
		HeaderTimeout: millis(w.HeaderTimeout), IdleTimeout: millis(w.IdleTimeout),
	}
	if l.MaxHeader == 0 {
		l.MaxHeader = defaultMaxHeader
	}
	if l.MaxBody == 0 {
		l.MaxBody = defaultMaxBody
	}
	if l.HeaderTimeout == 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout == 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}

// clamp cuts a number to a whole one from 0 up.
func clamp(v float64) int { return int(min(max(v, 0), maxSize)) }

// millis gives the time of a number of milliseconds, 0 where it is below.
func millis(v float64) time.Duration {
	return time.Duration(min(max(v, 0)*float64(time.Millisecond), float64(longest)))
}

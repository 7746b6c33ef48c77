package fleetpolicy

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"saffronyard.example/saffronyard/internal/quota"
	"saffronyard.example/saffronyard/internal/tomlfile"
)

// Limit is what all senders together do no more of. It is one of calls, bytes, at_once and a_day, for each of the destinations or endpoints
// named, each of the tenants, each of the classes, or each pair of two of these.
type Limit struct {
	Destinations []uint32 `toml:"destinations,omitempty"`
	Endpoints    []string `toml:"endpoints,omitempty"`
	Tenants      []string `toml:"tenants,omitempty"`
	Classes      []string `toml:"classes,omitempty"`

	Calls      float64 `toml:"calls,omitempty"`   // begun in any span
	Bytes      int64   `toml:"bytes,omitempty"`   // of the messages of those
	Concurrent int64   `toml:"at_once,omitempty"` // calls that are out
	Daily      int64   `toml:"a_day,omitempty"`   // calls begun in a day, as the calendars of those in charge have it (UTC); it outlasts every process

	Span          tomlfile.Span `toml:"span,omitempty"`    // of calls and bytes; default 1s
	TransitJitter tomlfile.Span `toml:"transit,omitempty"` // by so much may the ways of two calls differ; default 20ms
	MaxCallTime   tomlfile.Span `toml:"lasts,omitempty"`   // of at_once: no call lasts longer; needed there

	CutOffExtra  int64 `toml:"over,omitempty"`      // each sender that is cut off may go so much beyond; default 0
	Reserve      int64 `toml:"floor,omitempty"`     // each of the first floor_for members keeps so much for itself, also cut off
	ReserveCount int64 `toml:"floor_for,omitempty"` // goes with floor
	Adaptive     bool  `toml:"learn,omitempty"`     // of calls: what the receiver tells counts where it is lower
}

const (
	maxUnits         = 1 << 40
	maxSpan          = 24 * time.Hour
	maxTransitJitter = 10 * time.Second
	maxLimits        = 20_000 // that tables come to

	defaultSpan          = time.Second
	defaultTransitJitter = 20 * time.Millisecond
)

// subject is what one limit is of; what is empty is not looked at.
type subject struct {
	destination uint32
	shape       shape
	endpoint    string
	tenant      string
	class       string
}

// shape is which parts of a subject are named.
type shape uint8

const (
	byDestination shape = 1 << iota
	byEndpoint
	byTenant
	byClass
)

// limitIndex are those of a policy, as calls are held against them.
type limitIndex struct {
	bySubject map[subject][]quota.Limit
	shapes    []shape // that occur
}

func parseLimits(all []Limit) (limitIndex, error) {
	ls := limitIndex{bySubject: map[subject][]quota.Limit{}}
	n := 0
	for i, l := range all {
		bad := func(format string, args ...any) (limitIndex, error) {
			return limitIndex{}, fmt.Errorf("limit %d: "+format, append([]any{i + 1}, args...)...)
		}
		q, err := l.quota()
		if err != nil {
			return bad("%w", err)
		}
		subjects, err := l.subjects()
		if err != nil {
			return bad("%w", err)
		}
		for _, s := range subjects {
			q.Key = s.String()
			if q.Kind != quota.Calls {
				q.Key += ", " + q.Kind.String()
			}
			if slices.ContainsFunc(ls.bySubject[s], func(o quota.Limit) bool { return o.Key == q.Key }) {
				return bad("%s is limited twice", q.Key)
			}
			ls.bySubject[s] = append(ls.bySubject[s], q)
			if !slices.Contains(ls.shapes, s.shape) {
				ls.shapes = append(ls.shapes, s.shape)
			}
			if n++; n > maxLimits {
				return bad("the tables come to more than %d limits", maxLimits)
			}
		}
	}
	slices.Sort(ls.shapes)
	return ls, nil
}

// quota checks the figures.
func (l Limit) quota() (q quota.Limit, err error) {
	q = quota.Limit{Span: cmp.Or(l.Span.D(), defaultSpan), TransitJitter: cmp.Or(l.TransitJitter.D(), defaultTransitJitter), CutOffExtra: l.CutOffExtra, Reserve: l.Reserve, ReserveCount: l.ReserveCount, Adaptive: l.Adaptive}
	given := 0
	if l.Calls != 0 {
		given++
		if !(l.Calls > 0 && l.Calls <= maxUnits) || float64(q.Span)/min(l.Calls, 1) > float64(maxSpan) {
			return q, fmt.Errorf("calls = %v: up to %d in the span, and one in %v at least", l.Calls, maxUnits, maxSpan)
		}
		q.Kind, q.Units = quota.Calls, int64(l.Calls)
		if l.Calls < 1 { // fewer than one: one in a longer span
			q.Units, q.Span = 1, time.Duration(float64(q.Span)/l.Calls)
		}
	}
	if l.Bytes != 0 {
		given++
		q.Kind, q.Units = quota.Bytes, l.Bytes
	}
	if l.Concurrent != 0 {
		given++
		q.Kind, q.Units, q.Span = quota.Concurrent, l.Concurrent, 0
	}
	if l.Daily != 0 {
		given++
		q.Kind, q.Units, q.Span, q.TransitJitter = quota.Daily, l.Daily, 0, 0
	}
	switch {
	case given != 1:
		return q, fmt.Errorf("one of calls, bytes, at_once and a_day is needed, and no more")
	case q.Units < 1 || q.Units > maxUnits:
		return q, fmt.Errorf("%s = %d is not from 1 to %d", strings.ReplaceAll(q.Kind.String(), " ", "_"), q.Units, maxUnits)
	case l.Span < 0 || l.Span.D() > maxSpan || l.TransitJitter < 0 || l.TransitJitter.D() > maxTransitJitter:
		return q, fmt.Errorf("span = %v, transit = %v: up to %v and %v are possible", l.Span.D(), l.TransitJitter.D(), maxSpan, maxTransitJitter)
	case (q.Kind == quota.Concurrent) != (l.MaxCallTime > 0) || l.MaxCallTime.D() > maxSpan:
		return q, fmt.Errorf("lasts = %v goes with at_once, is needed there, and is %v at most", l.MaxCallTime.D(), maxSpan)
	case q.Span == 0 && l.Span != 0:
		return q, fmt.Errorf("at_once and a_day have no span")
	case q.Kind == quota.Daily && (l.CutOffExtra != 0 || l.Reserve != 0):
		return q, fmt.Errorf("a_day has neither over nor floor: who is cut off uses what it holds")
	case l.CutOffExtra < 0 || l.CutOffExtra > maxUnits:
		return q, fmt.Errorf("over = %d is not from 0 to %d", l.CutOffExtra, maxUnits)
	case l.Reserve < 0 || (l.Reserve > 0) != (l.ReserveCount > 0) || l.ReserveCount < 0 || l.Reserve > 0 && l.ReserveCount > q.Units/l.Reserve:
		return q, fmt.Errorf("floor = %d for floor_for = %d senders: both or none, and together no more than the limit of %d", l.Reserve, l.ReserveCount, q.Units)
	case l.Adaptive && q.Kind != quota.Calls:
		return q, fmt.Errorf("learn goes with calls")
	case l.Adaptive && l.Reserve > 0:
		return q, fmt.Errorf("learn and floor: a floor can't hold below a limit that falls")
	}
	q.MaxCallTime = l.MaxCallTime.D()
	return q, nil
}

// subjects are what a table is of, one for each limit.
func (l Limit) subjects() (all []subject, err error) {
	dims := 0
	for _, n := range []int{len(l.Destinations), len(l.Endpoints), len(l.Tenants), len(l.Classes)} {
		if n > 0 {
			dims++
		}
	}
	if dims == 0 || dims > 2 || len(l.Destinations) > 0 && len(l.Endpoints) > 0 {
		return nil, fmt.Errorf("it is of destinations or endpoints, of tenants, of classes, or of pairs of two of these")
	}
	all = []subject{{}}
	each := func(n int, with func(s *subject, i int)) {
		if n == 0 {
			return
		}
		var next []subject
		for _, s := range all {
			for i := range n {
				t := s
				with(&t, i)
				next = append(next, t)
			}
		}
		all = next
	}
	if len(l.Destinations) > maxDestinations || len(l.Endpoints) > maxLimits || len(l.Tenants) > maxLimits || len(l.Classes) > maxLimits {
		return nil, fmt.Errorf("it names too much")
	}
	for _, names := range [][]string{l.Endpoints, l.Tenants, l.Classes} {
		for _, n := range names {
			if n == "" || len(n) > maxTextBytes {
				return nil, fmt.Errorf("a name is empty, or has over %d bytes", maxTextBytes)
			}
		}
	}
	each(len(l.Destinations), func(s *subject, i int) { s.destination, s.shape = l.Destinations[i], s.shape|byDestination })
	each(len(l.Endpoints), func(s *subject, i int) { s.endpoint, s.shape = l.Endpoints[i], s.shape|byEndpoint })
	each(len(l.Tenants), func(s *subject, i int) { s.tenant, s.shape = l.Tenants[i], s.shape|byTenant })
	each(len(l.Classes), func(s *subject, i int) { s.class, s.shape = l.Classes[i], s.shape|byClass })
	return all, nil
}

// String is the subject as operators read it.
func (s subject) String() string {
	var parts []string
	if s.shape&byDestination != 0 {
		parts = append(parts, fmt.Sprintf("destination %d", s.destination))
	}
	if s.shape&byEndpoint != 0 {
		parts = append(parts, "endpoint "+s.endpoint)
	}
	if s.shape&byTenant != 0 {
		parts = append(parts, "tenant "+s.tenant)
	}
	if s.shape&byClass != 0 {
		parts = append(parts, "class "+s.class)
	}
	return strings.Join(parts, ", ")
}

// subjectOf is what of a call a shape looks at.
func (c Call) subjectOf(is shape) subject {
	s := subject{shape: is}
	if is&byDestination != 0 {
		s.destination = c.Destination
	}
	if is&byEndpoint != 0 {
		s.endpoint = c.Endpoint
	}
	if is&byTenant != 0 {
		s.tenant = c.Tenant
	}
	if is&byClass != 0 {
		s.class = c.Class
	}
	return s
}

// Usages are the units that a call takes of each limit that it is under. Of one that is not about to be written, and goes to no
// endpoint yet, those of endpoints are missing.
func (p *Policy) Usages(c Call) (uses []quota.Usage) {
	for _, is := range p.limits.shapes {
		for _, l := range p.limits.bySubject[c.subjectOf(is)] {
			units := int64(1)
			if l.Kind == quota.Bytes {
				units = max(1, c.Bytes)
			}
			uses = append(uses, quota.Usage{Key: l.Key, Units: units})
		}
	}
	return uses
}

// Limits are all limits, by key.
func (p *Policy) Limits() []quota.Limit {
	var all []quota.Limit
	for _, ls := range p.limits.bySubject {
		all = append(all, ls...)
	}
	slices.SortFunc(all, func(a, b quota.Limit) int { return cmp.Compare(a.Key, b.Key) })
	return all
}

// RateLimit is the limit of calls that a destination is under by itself; ok is false if it is under none. It is what its calls are spread by.
func (p *Policy) RateLimit(destination uint32) (l quota.Limit, ok bool) {
	for _, l := range p.limits.bySubject[subject{destination: destination, shape: byDestination}] {
		if l.Kind == quota.Calls {
			return l, true
		}
	}
	return quota.Limit{}, false
}

// names are the classes and tenants that limits name.
func (ls limitIndex) names() (classes, tenants []string) {
	c, t := map[string]bool{}, map[string]bool{}
	for s := range ls.bySubject {
		if s.class != "" {
			c[s.class] = true
		}
		if s.tenant != "" {
			t[s.tenant] = true
		}
	}
	return sortedKeys(c), sortedKeys(t)
}

// DescribeLimit tells a limit in words.
func DescribeLimit(l quota.Limit) string {
	text := ""
	switch l.Kind {
	case quota.Calls:
		text = fmt.Sprintf("%d calls in %v", l.Units, l.Span)
	case quota.Bytes:
		text = fmt.Sprintf("%d bytes in %v", l.Units, l.Span)
	case quota.Concurrent:
		text = fmt.Sprintf("%d calls at once, of %v at most", l.Units, l.MaxCallTime)
	case quota.Daily:
		text = fmt.Sprintf("%d calls a day", l.Units)
	}
	if l.Adaptive {
		text += ", or as the receiver tells"
	}
	if l.Reserve > 0 {
		text += fmt.Sprintf(", %d of them kept by each of the first %d senders", l.Reserve, l.ReserveCount)
	}
	if l.CutOffExtra > 0 {
		text += fmt.Sprintf(", and %d more by each that is cut off", l.CutOffExtra)
	}
	return text
}

// diffLimits tells how the limits of two policies differ.
func diffLimits(was, is *Policy) (lines []string) {
	by := func(p *Policy) map[string]quota.Limit {
		m := map[string]quota.Limit{}
		for _, l := range p.Limits() {
			m[l.Key] = l
		}
		return m
	}
	a, b := by(was), by(is)
	changed := map[string]struct{}{}
	addDifferences(changed, a, b)
	word := func(m map[string]quota.Limit, key string) string {
		if l, ok := m[key]; ok {
			return DescribeLimit(l)
		}
		return "not limited"
	}
	for _, key := range slices.Sorted(maps.Keys(changed)) {
		lines = append(lines, fmt.Sprintf("%s: %s -> %s", key, word(a, key), word(b, key)))
	}
	return lines
}

// WithLimit is a document with another limit of a destination by itself, in place of those of the same sort, or without any. Comments of
// the document are lost.
func WithLimit(raw []byte, destination uint32, l Limit, none bool) ([]byte, error) {
	d := &Document{}
	if err := tomlfile.Decode("the version in force", raw, d); err != nil {
		return nil, err
	}
	l.Destinations, l.Endpoints, l.Tenants, l.Classes = []uint32{destination}, nil, nil, nil
	var sort quota.Kind
	if !none {
		q, err := l.quota()
		if err != nil {
			return nil, err
		}
		sort = q.Kind
	}
	var keep []Limit
	for _, was := range d.Limits {
		q, err := was.quota()
		if err != nil {
			return nil, err
		}
		if len(was.Tenants)+len(was.Classes) == 0 && (none || q.Kind == sort) {
			was.Destinations = slices.DeleteFunc(slices.Clone(was.Destinations), func(o uint32) bool { return o == destination })
			if len(was.Destinations) == 0 && len(was.Endpoints) == 0 {
				continue
			}
		}
		keep = append(keep, was)
	}
	if d.Limits = keep; !none {
		d.Limits = append(d.Limits, l)
	}
	return toml.Marshal(d)
}

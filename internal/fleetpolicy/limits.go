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

	Calls  float64 `toml:"calls,omitempty"`   // begun in any span
	Bytes  int64   `toml:"bytes,omitempty"`   // of the messages of those
	AtOnce int64   `toml:"at_once,omitempty"` // calls that are out
	ADay   int64   `toml:"a_day,omitempty"`   // calls begun in a day, as the calendars of those in charge have it (UTC); it outlasts every process

	Span    tomlfile.Span `toml:"span,omitempty"`    // of calls and bytes; default 1s
	Transit tomlfile.Span `toml:"transit,omitempty"` // by so much may the ways of two calls differ; default 20ms
	Lasts   tomlfile.Span `toml:"lasts,omitempty"`   // of at_once: no call lasts longer; needed there

	Over     int64 `toml:"over,omitempty"`      // each sender that is cut off may go so much beyond; default 0
	Floor    int64 `toml:"floor,omitempty"`     // each of the first floor_for members keeps so much for itself, also cut off
	FloorFor int64 `toml:"floor_for,omitempty"` // goes with floor
	Learn    bool  `toml:"learn,omitempty"`     // of calls: what the receiver tells counts where it is lower
}

const (
	unitsMost   = 1 << 40
	spanMost    = 24 * time.Hour
	transitMost = 10 * time.Second
	limitsMost  = 20_000 // that tables come to

	spanDefault    = time.Second
	transitDefault = 20 * time.Millisecond
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

// limits are those of a policy, as calls are held against them.
type limits struct {
	of     map[subject][]quota.Limit
	shapes []shape // that occur
}

func newLimits(all []Limit) (limits, error) {
	ls := limits{of: map[subject][]quota.Limit{}}
	n := 0
	for i, l := range all {
		bad := func(format string, args ...any) (limits, error) {
			return limits{}, fmt.Errorf("limit %d: "+format, append([]any{i + 1}, args...)...)
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
			if q.Sort != quota.Calls {
				q.Key += ", " + q.Sort.String()
			}
			if slices.ContainsFunc(ls.of[s], func(o quota.Limit) bool { return o.Key == q.Key }) {
				return bad("%s is limited twice", q.Key)
			}
			ls.of[s] = append(ls.of[s], q)
			if !slices.Contains(ls.shapes, s.shape) {
				ls.shapes = append(ls.shapes, s.shape)
			}
			if n++; n > limitsMost {
				return bad("the tables come to more than %d limits", limitsMost)
			}
		}
	}
	slices.Sort(ls.shapes)
	return ls, nil
}

// quota checks the figures.
func (l Limit) quota() (q quota.Limit, err error) {
	q = quota.Limit{Span: cmp.Or(l.Span.D(), spanDefault), Transit: cmp.Or(l.Transit.D(), transitDefault), Over: l.Over, Floor: l.Floor, FloorFor: l.FloorFor, Learns: l.Learn}
	given := 0
	if l.Calls != 0 {
		given++
		if !(l.Calls > 0 && l.Calls <= unitsMost) || float64(q.Span)/min(l.Calls, 1) > float64(spanMost) {
			return q, fmt.Errorf("calls = %v: up to %d in the span, and one in %v at least", l.Calls, unitsMost, spanMost)
		}
		q.Sort, q.Units = quota.Calls, int64(l.Calls)
		if l.Calls < 1 { // fewer than one: one in a longer span
			q.Units, q.Span = 1, time.Duration(float64(q.Span)/l.Calls)
		}
	}
	if l.Bytes != 0 {
		given++
		q.Sort, q.Units = quota.Bytes, l.Bytes
	}
	if l.AtOnce != 0 {
		given++
		q.Sort, q.Units, q.Span = quota.AtOnce, l.AtOnce, 0
	}
	if l.ADay != 0 {
		given++
		q.Sort, q.Units, q.Span, q.Transit = quota.Daily, l.ADay, 0, 0
	}
	switch {
	case given != 1:
		return q, fmt.Errorf("one of calls, bytes, at_once and a_day is needed, and no more")
	case q.Units < 1 || q.Units > unitsMost:
		return q, fmt.Errorf("%s = %d is not from 1 to %d", strings.ReplaceAll(q.Sort.String(), " ", "_"), q.Units, unitsMost)
	case l.Span < 0 || l.Span.D() > spanMost || l.Transit < 0 || l.Transit.D() > transitMost:
		return q, fmt.Errorf("span = %v, transit = %v: up to %v and %v are possible", l.Span.D(), l.Transit.D(), spanMost, transitMost)
	case (q.Sort == quota.AtOnce) != (l.Lasts > 0) || l.Lasts.D() > spanMost:
		return q, fmt.Errorf("lasts = %v goes with at_once, is needed there, and is %v at most", l.Lasts.D(), spanMost)
	case q.Span == 0 && l.Span != 0:
		return q, fmt.Errorf("at_once and a_day have no span")
	case q.Sort == quota.Daily && (l.Over != 0 || l.Floor != 0):
		return q, fmt.Errorf("a_day has neither over nor floor: who is cut off uses what it holds")
	case l.Over < 0 || l.Over > unitsMost:
		return q, fmt.Errorf("over = %d is not from 0 to %d", l.Over, unitsMost)
	case l.Floor < 0 || (l.Floor > 0) != (l.FloorFor > 0) || l.FloorFor < 0 || l.Floor > 0 && l.FloorFor > q.Units/l.Floor:
		return q, fmt.Errorf("floor = %d for floor_for = %d senders: both or none, and together no more than the limit of %d", l.Floor, l.FloorFor, q.Units)
	case l.Learn && q.Sort != quota.Calls:
		return q, fmt.Errorf("learn goes with calls")
	case l.Learn && l.Floor > 0:
		return q, fmt.Errorf("learn and floor: a floor can't hold below a limit that falls")
	}
	q.Lasts = l.Lasts.D()
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
	if len(l.Destinations) > destinationsMost || len(l.Endpoints) > limitsMost || len(l.Tenants) > limitsMost || len(l.Classes) > limitsMost {
		return nil, fmt.Errorf("it names too much")
	}
	for _, names := range [][]string{l.Endpoints, l.Tenants, l.Classes} {
		for _, n := range names {
			if n == "" || len(n) > textMost {
				return nil, fmt.Errorf("a name is empty, or has over %d bytes", textMost)
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

// Uses are the units that a call takes of each limit that it is under. Of one that is not about to be written, and goes to no
// endpoint yet, those of endpoints are missing.
func (p *Policy) Uses(c Call) (uses []quota.Use) {
	for _, is := range p.limits.shapes {
		for _, l := range p.limits.of[c.subjectOf(is)] {
			units := int64(1)
			if l.Sort == quota.Bytes {
				units = max(1, c.Bytes)
			}
			uses = append(uses, quota.Use{Key: l.Key, Units: units})
		}
	}
	return uses
}

// Limits are all limits, by key.
func (p *Policy) Limits() []quota.Limit {
	var all []quota.Limit
	for _, ls := range p.limits.of {
		all = append(all, ls...)
	}
	slices.SortFunc(all, func(a, b quota.Limit) int { return cmp.Compare(a.Key, b.Key) })
	return all
}

// Paced is the limit of calls that a destination is under by itself; ok is false if it is under none. It is what its calls are spread by.
func (p *Policy) Paced(destination uint32) (l quota.Limit, ok bool) {
	for _, l := range p.limits.of[subject{destination: destination, shape: byDestination}] {
		if l.Sort == quota.Calls {
			return l, true
		}
	}
	return quota.Limit{}, false
}

// names are the classes and tenants that limits name.
func (ls limits) names() (classes, tenants []string) {
	c, t := map[string]bool{}, map[string]bool{}
	for s := range ls.of {
		if s.class != "" {
			c[s.class] = true
		}
		if s.tenant != "" {
			t[s.tenant] = true
		}
	}
	return sorted(c), sorted(t)
}

// LimitWords tells a limit in words.
func LimitWords(l quota.Limit) string {
	text := ""
	switch l.Sort {
	case quota.Calls:
		text = fmt.Sprintf("%d calls in %v", l.Units, l.Span)
	case quota.Bytes:
		text = fmt.Sprintf("%d bytes in %v", l.Units, l.Span)
	case quota.AtOnce:
		text = fmt.Sprintf("%d calls at once, of %v at most", l.Units, l.Lasts)
	case quota.Daily:
		text = fmt.Sprintf("%d calls a day", l.Units)
	}
	if l.Learns {
		text += ", or as the receiver tells"
	}
	if l.Floor > 0 {
		text += fmt.Sprintf(", %d of them kept by each of the first %d senders", l.Floor, l.FloorFor)
	}
	if l.Over > 0 {
		text += fmt.Sprintf(", and %d more by each that is cut off", l.Over)
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
	differ(changed, a, b)
	word := func(m map[string]quota.Limit, key string) string {
		if l, ok := m[key]; ok {
			return LimitWords(l)
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
	var sort quota.Sort
	if !none {
		q, err := l.quota()
		if err != nil {
			return nil, err
		}
		sort = q.Sort
	}
	var keep []Limit
	for _, was := range d.Limits {
		q, err := was.quota()
		if err != nil {
			return nil, err
		}
		if len(was.Tenants)+len(was.Classes) == 0 && (none || q.Sort == sort) {
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

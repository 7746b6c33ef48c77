package fleetpolicy

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"saffronyard.example/saffronyard/internal/quota"
	"saffronyard.example/saffronyard/internal/tomlfile"
)

// Limit is a table that bounds the calls of all senders together by one of calls, bytes, at_once and a_day, for each of the destinations or
// endpoints named, each of the tenants, each of the classes, or each pair of two of these.
type Limit struct {
	Destinations []uint32 `toml:"destinations,omitempty"`
	Endpoints    []string `toml:"endpoints,omitempty"`
	Tenants      []string `toml:"tenants,omitempty"`
	Classes      []string `toml:"classes,omitempty"`

	Calls      float64 `toml:"calls,omitempty"`   // begun in any span
	Bytes      int64   `toml:"bytes,omitempty"`   // of the messages sent in any span
	Concurrent int64   `toml:"at_once,omitempty"` // calls in flight
	Daily      int64   `toml:"a_day,omitempty"`   // calls begun in a day (UTC), by the clocks of the limit's owners; the count survives restarts of all processes

	Span          tomlfile.Span `toml:"span,omitempty"`    // of calls and bytes; default 1s
	TransitJitter tomlfile.Span `toml:"transit,omitempty"` // by which the transit of two calls may differ; default 20ms
	MaxCallTime   tomlfile.Span `toml:"lasts,omitempty"`   // upper bound on a call's duration; goes with at_once, and is needed there

	PartitionExtra int64 `toml:"over,omitempty"`      // units that each sender without a lease may use beyond its grant; default 0
	Reserve        int64 `toml:"floor,omitempty"`     // units that each of the first floor_for members always has, even without a lease
	ReserveCount   int64 `toml:"floor_for,omitempty"` // number of members that have the floor; goes with floor
	Adaptive       bool  `toml:"learn,omitempty"`     // goes with calls: a lower limit that the receiver reports applies instead
}

const (
	maxUnits         = 1 << 40
	maxSpan          = 24 * time.Hour
	maxTransitJitter = 10 * time.Second
	maxLimits        = 20_000 // that the tables of a document define in total

	defaultSpan          = time.Second
	defaultTransitJitter = 20 * time.Millisecond
)

// parseLimits checks the tables of limits and indexes them by what they limit.
func parseLimits(all []Limit) (limitIndex, error) {
	index := limitIndex{bySubject: map[subject][]quota.Limit{}}
	n := 0
	for i, l := range all {
		name := fmt.Sprintf("limit %d", i+1)
		q, err := l.quota()
		if err != nil {
			return limitIndex{}, within(name, err)
		}
		subjects, err := l.subjects()
		if err != nil {
			return limitIndex{}, within(name, err)
		}
		for _, s := range subjects {
			q.Key = s.String()
			if q.Kind != quota.Calls {
				q.Key += ", " + q.Kind.String()
			}
			if !index.add(s, q) {
				return limitIndex{}, invalidIn(name, "%s is limited twice", q.Key)
			}
			if n++; n > maxLimits {
				return limitIndex{}, invalidIn(name, "the tables come to more than %d limits", maxLimits)
			}
		}
	}
	slices.Sort(index.shapes)
	return index, nil
}

// quota checks the values of a table, and returns the limit that they define, without its key.
func (l Limit) quota() (q quota.Limit, err error) {
	q = quota.Limit{Span: cmp.Or(l.Span.D(), defaultSpan), TransitJitter: cmp.Or(l.TransitJitter.D(), defaultTransitJitter), PartitionExtra: l.PartitionExtra, Reserve: l.Reserve, ReserveCount: l.ReserveCount, Adaptive: l.Adaptive}
	given := 0
	if l.Calls != 0 {
		given++
		if !(l.Calls > 0 && l.Calls <= maxUnits) || float64(q.Span)/min(l.Calls, 1) > float64(maxSpan) {
			return q, invalid("calls = %v: up to %d in the span, and one in %v at least", l.Calls, maxUnits, maxSpan)
		}
		q.Kind, q.Units = quota.Calls, int64(l.Calls)
		if l.Calls < 1 { // less than one call in the span becomes one call in a longer span
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
		return q, invalid("one of calls, bytes, at_once and a_day is needed, and no more")
	case q.Units < 1 || q.Units > maxUnits:
		return q, invalid("%s = %d is not from 1 to %d", strings.ReplaceAll(q.Kind.String(), " ", "_"), q.Units, maxUnits)
	case l.Span < 0 || l.Span.D() > maxSpan || l.TransitJitter < 0 || l.TransitJitter.D() > maxTransitJitter:
		return q, invalid("span = %v, transit = %v: up to %v and %v are possible", l.Span.D(), l.TransitJitter.D(), maxSpan, maxTransitJitter)
	case (q.Kind == quota.Concurrent) != (l.MaxCallTime > 0) || l.MaxCallTime.D() > maxSpan:
		return q, invalid("lasts = %v goes with at_once, is needed there, and is %v at most", l.MaxCallTime.D(), maxSpan)
	case q.Span == 0 && l.Span != 0:
		return q, invalid("at_once and a_day have no span")
	case q.Kind == quota.Daily && (l.PartitionExtra != 0 || l.Reserve != 0):
		return q, invalid("a_day has neither over nor floor: who is cut off uses what it holds")
	case l.PartitionExtra < 0 || l.PartitionExtra > maxUnits:
		return q, invalid("over = %d is not from 0 to %d", l.PartitionExtra, maxUnits)
	case l.Reserve < 0 || (l.Reserve > 0) != (l.ReserveCount > 0) || l.ReserveCount < 0 || l.Reserve > 0 && l.ReserveCount > q.Units/l.Reserve:
		return q, invalid("floor = %d for floor_for = %d senders: both or none, and together no more than the limit of %d", l.Reserve, l.ReserveCount, q.Units)
	case l.Adaptive && q.Kind != quota.Calls:
		return q, invalid("learn goes with calls")
	case l.Adaptive && l.Reserve > 0:
		return q, invalid("learn and floor: a floor can't hold below a limit that falls")
	}
	q.MaxCallTime = l.MaxCallTime.D()
	return q, nil
}

package settings

import (
	"fmt"
	"maps"
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"
)

const longest = 365 * 24 * time.Hour

// check gives what is wrong with a text, or nothing.
type check func(string) string

func filled(v string) string {
	if v == "" {
		return "is empty"
	}
	return ""
}

func address(v string) string {
	if _, err := netip.ParseAddr(v); err != nil {
		return fmt.Sprintf("is %q, not an IP address", v)
	}
	return ""
}

func endpoint(v string) string {
	if v == "" {
		return ""
	}
	if _, err := netip.ParseAddrPort(v); err != nil {
		return fmt.Sprintf("is %q, not an IP address with a port", v)
	}
	return ""
}

// bound is the least a number may be.
type bound struct {
	least float64
	open  bool // least itself is out of range
}

func above(v float64) bound { return bound{v, true} }
func from(v float64) bound  { return bound{v, false} }

// check gives a number and what is wrong with it.
func (b bound) check(value any) (float64, string) {
	v, ok := float(value)
	switch {
	case !ok || math.IsNaN(v) || math.IsInf(v, 0):
		return 0, fmt.Sprintf("is %s, not a number", shown(value))
	case v < b.least:
		return 0, fmt.Sprintf("is %v, below %v", v, b.least)
	case b.open && v == b.least:
		return 0, fmt.Sprintf("is %v, not above %v", v, b.least)
	}
	return v, ""
}

func float(value any) (float64, bool) {
	switch v := value.(type) {
	case int:
		return float64(v), true
	case int64:
		return float64(v), true
	case uint64:
		return float64(v), true
	case float64:
		return v, true
	}
	return 0, false
}

func shown(value any) string {
	if v, ok := value.(string); ok {
		return fmt.Sprintf("%q", v)
	}
	return fmt.Sprintf("%v", value)
}

func text(path string, fallback any, about string, to func(*Settings) *string, checks ...check) entry {
	return entry{path, "text", fallback, about, func(s *Settings, value any) string {
		v, ok := value.(string)
		if !ok {
			return fmt.Sprintf("is %s, not a text", shown(value))
		}
		for _, c := range checks {
			if problem := c(v); problem != "" {
				return problem
			}
		}
		*to(s) = v
		return ""
	}}
}

func texts(path, about string, to func(*Settings) *[]string, checks ...check) entry {
	return entry{path, "list of texts", []any{}, about, func(s *Settings, value any) string {
		list, ok := value.([]any)
		if !ok {
			return fmt.Sprintf("is %s, not a list", shown(value))
		}
		out := make([]string, 0, len(list))
		for i, one := range list {
			v, ok := one.(string)
			if !ok {
				return fmt.Sprintf("[%d] is %s, not a text", i, shown(one))
			}
			for _, c := range checks {
				if problem := c(v); problem != "" {
					return fmt.Sprintf("[%d] %s", i, problem)
				}
			}
			out = append(out, v)
		}
		*to(s) = out
		return ""
	}}
}

func textMap(path, about string, to func(*Settings) *map[string]string) entry {
	return entry{path, "map of texts", map[string]any{}, about, func(s *Settings, value any) string {
		m, ok := value.(map[string]any)
		if !ok {
			return fmt.Sprintf("is %s, not a map", shown(value))
		}
		out := make(map[string]string, len(m))
		for _, k := range slices.Sorted(maps.Keys(m)) {
			v, ok := m[k].(string)
			if !ok {
				return fmt.Sprintf("[%s] is %s, not a text", k, shown(m[k]))
			}
			out[k] = v
		}
		*to(s) = out
		return ""
	}}
}

func flag(path, about string, to func(*Settings) *bool) entry {
	return entry{path, "true or false", false, about, func(s *Settings, value any) string {
		v, ok := value.(bool)
		if !ok {
			return fmt.Sprintf("is %s, not true or false", shown(value))
		}
		*to(s) = v
		return ""
	}}
}

func number(path string, fallback float64, b bound, about string, to func(*Settings) *float64) entry {
	return entry{path, "number", fallback, about, func(s *Settings, value any) string {
		v, problem := b.check(value)
		if problem == "" {
			*to(s) = v
		}
		return problem
	}}
}

// whole is a number of which only the whole part is used.
func whole(path string, fallback, least int, about string, to func(*Settings) *int) entry {
	return entry{path, "whole number", fallback, about, func(s *Settings, value any) string {
		v, problem := from(float64(least)).check(value)
		if problem == "" {
			*to(s) = int(min(v, most))
		}
		return problem
	}}
}

// span is a time; the end of its path tells the unit, ms or s.
func span(path string, fallback float64, b bound, about string, to func(*Settings) *time.Duration) entry {
	kind, unit := "ms", time.Millisecond
	if !strings.HasSuffix(path, "_ms") {
		kind, unit = "s", time.Second
	}
	return entry{path, kind, fallback, about, func(s *Settings, value any) string {
		v, problem := b.check(value)
		if problem == "" {
			*to(s) = time.Duration(min(math.Round(v*float64(unit)), float64(longest)))
		}
		return problem
	}}
}

func ports(path, about string) entry {
	return entry{path, "two ports", nil, about, func(s *Settings, value any) string {
		list, ok := value.([]any)
		if !ok || len(list) != 2 {
			return fmt.Sprintf("is %s, not two ports", shown(value))
		}
		var pair [2]int
		for i, one := range list {
			v, ok := float(one)
			if !ok || v != math.Trunc(v) || v < 1 || v > math.MaxUint16 {
				return fmt.Sprintf("[%d] is %s, not a port", i, shown(one))
			}
			pair[i] = int(v)
		}
		if pair[0] > pair[1] {
			return fmt.Sprintf("goes from %d down to %d", pair[0], pair[1])
		}
		s.PortFirst, s.PortLast = pair[0], pair[1]
		return ""
	}}
}

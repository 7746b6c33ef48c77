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

// maxDuration is the maximum of durations; longer ones are reduced to it.
const maxDuration = 365 * 24 * time.Hour

// check returns a description of what is wrong with a text; empty if the text is valid.
type check func(string) string

// notEmpty checks that a text is not empty.
func notEmpty(text string) string {
	if text == "" {
		return "is empty"
	}
	return ""
}

// address checks that a text is an IP address.
func address(text string) string {
	if _, err := netip.ParseAddr(text); err != nil {
		return fmt.Sprintf("is %q, not an IP address", text)
	}
	return ""
}

// endpoint checks that a text is an IP address with a port, or empty.
func endpoint(text string) string {
	if text == "" {
		return ""
	}
	if _, err := netip.ParseAddrPort(text); err != nil {
		return fmt.Sprintf("is %q, not an IP address with a port", text)
	}
	return ""
}

// bound is the minimum of a number.
type bound struct {
	minimum   float64
	exclusive bool // the minimum itself is not allowed
}

// above allows numbers greater than a minimum.
func above(v float64) bound { return bound{v, true} }

// atLeast allows numbers from a minimum on.
func atLeast(v float64) bound { return bound{v, false} }

// check returns a value as a number, and a description of what is wrong with it; empty if the value is valid.
func (bound bound) check(value any) (float64, string) {
	v, ok := toFloat(value)
	switch {
	case !ok || math.IsNaN(v) || math.IsInf(v, 0):
		return 0, fmt.Sprintf("is %s, not a number", quoted(value))
	case v < bound.minimum:
		return 0, fmt.Sprintf("is %v, below %v", v, bound.minimum)
	case bound.exclusive && v == bound.minimum:
		return 0, fmt.Sprintf("is %v, not above %v", v, bound.minimum)
	}
	return v, ""
}

// toFloat returns a value of any numeric type of the YAML decoder as a float64.
func toFloat(value any) (float64, bool) {
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

// quoted returns a value as shown in findings: texts are quoted.
func quoted(value any) string {
	if v, ok := value.(string); ok {
		return fmt.Sprintf("%q", v)
	}
	return fmt.Sprintf("%v", value)
}

// text is a setting with a text, which must pass all checks.
func text(path string, defaultValue any, meaning string, target func(*Settings) *string, checks ...check) entry {
	return entry{path, "text", defaultValue, meaning, func(settings *Settings, value any) string {
		v, ok := value.(string)
		if !ok {
			return fmt.Sprintf("is %s, not a text", quoted(value))
		}
		for _, c := range checks {
			if problem := c(v); problem != "" {
				return problem
			}
		}
		*target(settings) = v
		return ""
	}}
}

// texts is a setting with a list of texts, each of which must pass all checks.
func texts(path, meaning string, target func(*Settings) *[]string, checks ...check) entry {
	return entry{path, "list of texts", []any{}, meaning, func(settings *Settings, value any) string {
		list, ok := value.([]any)
		if !ok {
			return fmt.Sprintf("is %s, not a list", quoted(value))
		}
		values := make([]string, 0, len(list))
		for i, one := range list {
			v, ok := one.(string)
			if !ok {
				return fmt.Sprintf("[%d] is %s, not a text", i, quoted(one))
			}
			for _, c := range checks {
				if problem := c(v); problem != "" {
					return fmt.Sprintf("[%d] %s", i, problem)
				}
			}
			values = append(values, v)
		}
		*target(settings) = values
		return ""
	}}
}

// textMap is a setting with a map from texts to texts.
func textMap(path, meaning string, target func(*Settings) *map[string]string) entry {
	return entry{path, "map of texts", map[string]any{}, meaning, func(settings *Settings, value any) string {
		entries, ok := value.(map[string]any)
		if !ok {
			return fmt.Sprintf("is %s, not a map", quoted(value))
		}
		values := make(map[string]string, len(entries))
		for _, k := range slices.Sorted(maps.Keys(entries)) {
			v, ok := entries[k].(string)
			if !ok {
				return fmt.Sprintf("[%s] is %s, not a text", k, quoted(entries[k]))
			}
			values[k] = v
		}
		*target(settings) = values
		return ""
	}}
}

// flag is a setting that is true or false.
func flag(path, meaning string, target func(*Settings) *bool) entry {
	return entry{path, "true or false", false, meaning, func(settings *Settings, value any) string {
		v, ok := value.(bool)
		if !ok {
			return fmt.Sprintf("is %s, not true or false", quoted(value))
		}
		*target(settings) = v
		return ""
	}}
}

// number is a setting with a number.
func number(path string, defaultValue float64, bound bound, meaning string, target func(*Settings) *float64) entry {
	return entry{path, "number", defaultValue, meaning, func(settings *Settings, value any) string {
		v, problem := bound.check(value)
		if problem == "" {
			*target(settings) = v
		}
		return problem
	}}
}

// integer is a setting with a number that is truncated to an integer.
func integer(path string, defaultValue, minimum int, meaning string, target func(*Settings) *int) entry {
	return entry{path, "whole number", defaultValue, meaning, func(settings *Settings, value any) string {
		v, problem := atLeast(float64(minimum)).check(value)
		if problem == "" {
			*target(settings) = int(min(v, maxNumber))
		}
		return problem
	}}
}

// duration is a setting with a duration. Its unit is the suffix of its path, ms or s.
func duration(path string, defaultValue float64, bound bound, meaning string, target func(*Settings) *time.Duration) entry {
	unitName, unit := "ms", time.Millisecond
	if !strings.HasSuffix(path, "_ms") {
		unitName, unit = "s", time.Second
	}
	return entry{path, unitName, defaultValue, meaning, func(settings *Settings, value any) string {
		v, problem := bound.check(value)
		if problem == "" {
			*target(settings) = time.Duration(min(math.Round(v*float64(unit)), float64(maxDuration)))
		}
		return problem
	}}
}

// ports is the setting with the first and the last internal port.
func ports(path, meaning string) entry {
	return entry{path, "two ports", nil, meaning, func(settings *Settings, value any) string {
		list, ok := value.([]any)
		if !ok || len(list) != 2 {
			return fmt.Sprintf("is %s, not two ports", quoted(value))
		}
		var pair [2]int
		for i, one := range list {
			v, ok := toFloat(one)
			if !ok || v != math.Trunc(v) || v < 1 || v > math.MaxUint16 {
				return fmt.Sprintf("[%d] is %s, not a port", i, quoted(one))
			}
			pair[i] = int(v)
		}
		if pair[0] > pair[1] {
			return fmt.Sprintf("goes from %d down to %d", pair[0], pair[1])
		}
		settings.PortFirst, settings.PortLast = pair[0], pair[1]
		return ""
	}}
}

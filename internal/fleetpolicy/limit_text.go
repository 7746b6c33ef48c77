package fleetpolicy

import (
	"fmt"
	"maps"
	"slices"

	"saffronyard.example/saffronyard/internal/quota"
)

// DescribeLimit describes a limit in words for operators.
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
	if l.PartitionExtra > 0 {
		text += fmt.Sprintf(", and %d more by each that is cut off", l.PartitionExtra)
	}
	return text
}

// diffLimits is the part of Diff on limits.
func diffLimits(before, after *Policy) (lines []string) {
	by := func(p *Policy) map[string]quota.Limit {
		m := map[string]quota.Limit{}
		for _, l := range p.Limits() {
			m[l.Key] = l
		}
		return m
	}
	a, b := by(before), by(after)
	changed := map[string]struct{}{}
	addDifferences(changed, a, b)
	describe := func(m map[string]quota.Limit, key string) string {
		if l, ok := m[key]; ok {
			return DescribeLimit(l)
		}
		return "not limited"
	}
	for _, key := range slices.Sorted(maps.Keys(changed)) {
		lines = append(lines, fmt.Sprintf("%s: %s -> %s", key, describe(a, key), describe(b, key)))
	}
	return lines
}

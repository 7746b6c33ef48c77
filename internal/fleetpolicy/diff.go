package fleetpolicy

import (
	"fmt"
	"slices"
)

// Diff describes in words for operators how two policies differ, with a line for each difference.
func Diff(before, after *Policy) []string {
	var lines []string
	addLine := func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }
	if before.document.OnPartition != after.document.OnPartition || before.document.PartitionGrace != after.document.PartitionGrace {
		addLine("a sender that is cut off: %s -> %s", before.describePartition(), after.describePartition())
	}
	t := AffectedBySwitch(before, after)
	// Destinations that change in the same way share a line.
	type change struct{ from, to string }
	by := map[change][]uint32{}
	var order []change
	for _, d := range sortedKeys(t.destinations) {
		c := change{before.describeRoute(d), after.describeRoute(d)}
		if by[c] == nil {
			order = append(order, c)
		}
		by[c] = append(by[c], d)
	}
	for _, c := range order {
		addLine("destination %s: %s -> %s", ranges(by[c]), c.from, c.to)
	}
	description := map[bool]string{true: "suspended", false: "served"}
	for _, n := range sortedKeys(t.tenants) {
		addLine("tenant %q: %s -> %s", n, description[before.suspended[n]], description[after.suspended[n]])
	}
	lines = append(lines, diffLimits(before, after)...)
	lines = append(lines, diffHealthRules(before, after)...)
	classes := map[string]struct{}{}
	addDifferences(classes, before.classes, after.classes)
	for _, n := range sortedKeys(classes) {
		addLine("class %q, deadline at most: %s -> %s (messages that are handed in from then on)", n, describeDeadline(before, n), describeDeadline(after, n))
	}
	return lines
}

func (p *Policy) describePartition() string {
	if d := p.PartitionGrace(); d > 0 {
		return fmt.Sprintf("goes on for %v", d)
	}
	return "begins no call"
}

func (p *Policy) describeRoute(d uint32) string {
	r, ruled := p.routes[d]
	switch {
	case !ruled:
		return "open"
	case r.closed:
		return "closed"
	case r.kind != "":
		return fmt.Sprintf("as of kind %q", r.kind)
	}
	return fmt.Sprintf("moved to %d", r.to)
}

func describeDeadline(p *Policy, class string) string {
	if d, ok := p.classes[class]; ok {
		return d.String()
	}
	return "its own"
}

// ranges abbreviates sorted numbers: 1-3, 7.
func ranges(all []uint32) string {
	text := ""
	for i := 0; i < len(all); {
		j := i
		for j+1 < len(all) && all[j+1] == all[j]+1 {
			j++
		}
		if text != "" {
			text += ", "
		}
		text += fmt.Sprint(all[i])
		if j > i {
			text += fmt.Sprintf("-%d", all[j])
		}
		i = j + 1
	}
	return text
}

// CountMessages counts the pending messages that a switch affects, in total and by destination in descending order. Operators see the counts
// before they propose a change.
func (t *Affected) CountMessages(held map[Call]int) (total int, by []MessageCount) {
	counts := map[uint32]int{}
	for c, n := range held {
		if t.HasCall(c) {
			counts[c.Destination] += n
			total += n
		}
	}
	for _, d := range sortedKeys(counts) {
		by = append(by, MessageCount{d, counts[d]})
	}
	slices.SortStableFunc(by, func(a, b MessageCount) int { return b.Messages - a.Messages })
	return total, by
}

// MessageCount is how many messages for a destination are pending.
type MessageCount struct {
	Destination uint32 `json:"destination"`
	Messages    int    `json:"messages"`
}

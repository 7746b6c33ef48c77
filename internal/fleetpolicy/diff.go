package fleetpolicy

import (
	"fmt"
	"slices"
)

// Diff tells in words how two policies differ, a line each, by what they touch.
func Diff(was, is *Policy) []string {
	var lines []string
	say := func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }
	if was.document.CutOff != is.document.CutOff || was.document.GoOnFor != is.document.GoOnFor {
		say("a sender that is cut off: %s -> %s", was.cutOff(), is.cutOff())
	}
	t := Touches(was, is)
	// Destinations that change in the same way stand in one line.
	type change struct{ from, to string }
	by := map[change][]uint32{}
	var order []change
	for _, d := range sorted(t.destinations) {
		c := change{was.routed(d), is.routed(d)}
		if by[c] == nil {
			order = append(order, c)
		}
		by[c] = append(by[c], d)
	}
	for _, c := range order {
		say("destination %s: %s -> %s", ranges(by[c]), c.from, c.to)
	}
	word := map[bool]string{true: "suspended", false: "served"}
	for _, n := range sorted(t.tenants) {
		say("tenant %q: %s -> %s", n, word[was.suspended[n]], word[is.suspended[n]])
	}
	lines = append(lines, diffLimits(was, is)...)
	lines = append(lines, diffVerdicts(was, is)...)
	classes := map[string]struct{}{}
	differ(classes, was.classes, is.classes)
	for _, n := range sorted(classes) {
		say("class %q, deadline at most: %s -> %s (messages that are handed in from then on)", n, bound(was, n), bound(is, n))
	}
	return lines
}

func (p *Policy) cutOff() string {
	if d := p.GoesOn(); d > 0 {
		return fmt.Sprintf("goes on for %v", d)
	}
	return "begins no call"
}

func (p *Policy) routed(d uint32) string {
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

func bound(p *Policy, class string) string {
	if d, ok := p.classes[class]; ok {
		return d.String()
	}
	return "its own"
}

// ranges writes sorted numbers in short: 1-3, 7.
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

// Affects counts those of some messages that a switch touches, by destination, the most first: what operators are told before
// they propose.
func (t *Touched) Affects(held map[Call]int) (total int, by []Count) {
	counts := map[uint32]int{}
	for c, n := range held {
		if t.Call(c) {
			counts[c.Destination] += n
			total += n
		}
	}
	for _, d := range sorted(counts) {
		by = append(by, Count{d, counts[d]})
	}
	slices.SortStableFunc(by, func(a, b Count) int { return b.Messages - a.Messages })
	return total, by
}

// Count is how many messages for a destination are held.
type Count struct {
	Destination uint32 `json:"destination"`
	Messages    int    `json:"messages"`
}

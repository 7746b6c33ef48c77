package undelivered

import (
	"cmp"
	"slices"
	"time"
)

// CheckRules returns the index of the first invalid rule, with a *RuleError that says what is wrong.
func CheckRules(rules []Rule) (at int, err error) {
	for i := range rules {
		r := &rules[i]
		switch {
		case r.Name == "":
			return i, ruleError("the rule has no name")
		case slices.ContainsFunc(rules[:i], func(o Rule) bool { return o.Name == r.Name }):
			return i, ruleError("there is another rule %q", r.Name)
		case !(r.RateFraction > 0 && r.RateFraction <= 1):
			return i, ruleError("rule %s: share = %v is not above 0, and up to 1", r.Name, r.RateFraction)
		case r.MaxResends < 1 || r.MaxResends > 100:
			return i, ruleError("rule %s: most = %d is not from 1 to 100", r.Name, r.MaxResends)
		case r.Deadline < time.Second || r.Deadline > time.Hour:
			return i, ruleError("rule %s: deadline = %v is not from 1s to 1h", r.Name, r.Deadline)
		case r.From < 0 || r.To < 0 || r.From >= 24*time.Hour || r.To > 24*time.Hour:
			return i, ruleError("rule %s: from and to must be times of day", r.Name)
		case slices.Contains(r.Reasons, ReasonHandedBack):
			return i, ruleError("rule %s: messages handed back to the client are resent only on an operator's request", r.Name)
		}
		for j := range rules[:i] {
			if ruleCovers(&rules[j], r) {
				return i, ruleError("rule %s is never reached: rule %s matches all messages that it matches", r.Name, rules[j].Name)
			}
		}
	}
	return 0, nil
}

// ruleCovers reports whether a matches all that b matches.
func ruleCovers(a, b *Rule) bool {
	return subset(b.Members, a.Members) && subset(b.Reasons, a.Reasons) && subset(b.Classes, a.Classes)
}

// subset reports whether all of a are in b; an empty list stands for all values.
func subset[T cmp.Ordered](a, b []T) bool {
	if len(b) == 0 {
		return true
	}
	if len(a) == 0 {
		return false
	}
	for _, x := range a {
		if !slices.Contains(b, x) {
			return false
		}
	}
	return true
}

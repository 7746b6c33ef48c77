package fleetpolicy

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Settings are the names of a sender's settings that a policy may use.
type Settings struct{ Classes, Tenants, Kinds []string }

// CheckSettings checks that a sender with these settings can apply the policy. A sender that can't rejects the policy, which then takes effect
// nowhere. The error is a *SettingsError.
func (p *Policy) CheckSettings(s Settings) error {
	kinds := map[string]bool{}
	for _, r := range p.routes {
		if r.kind != "" {
			kinds[r.kind] = true
		}
	}
	classes, tenants := p.limits.names()
	return cmp.Or(checkNames("class", slices.Concat(sortedKeys(p.classes), classes), s.Classes), checkNames("tenant", slices.Concat(sortedKeys(p.suspended), tenants), s.Tenants),
		checkNames("kind", sortedKeys(kinds), s.Kinds))
}

// checkNames returns a *SettingsError for the first name that the settings lack.
func checkNames(what string, names, has []string) error {
	for _, name := range names {
		if !slices.Contains(has, name) {
			return &SettingsError{What: what, Name: name, Has: has}
		}
	}
	return nil
}

func quoted(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	var all []string
	for _, n := range names[:min(len(names), 20)] {
		all = append(all, fmt.Sprintf("%q", n))
	}
	return strings.Join(all, ", ")
}

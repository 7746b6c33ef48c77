package features

import (
	"strings"
	"time"

	"saffronyard.example/saffronyard/internal/mapping"
	"saffronyard.example/saffronyard/internal/tomlfile"
)

// Events is the intake of CloudEvents at POST /events.
type Events struct {
	Remember     tomlfile.Span     `toml:"remember"`      // how long the outcome of an event is remembered; default 10m
	RememberMost int               `toml:"remember_most"` // maximum number of outcomes remembered; default 10000
	BatchEvents  int               `toml:"batch_events"`  // maximum number of events in a batch; default 100
	BatchBytes   int               `toml:"batch_bytes"`   // maximum size of a batch; default 262144
	Deadline     tomlfile.Span     `toml:"deadline"`      // for rules without a deadline; default: that of the class
	Destinations map[string]uint32 `toml:"destinations"`  // numbers of destinations by name
	Rules        []Rule            `toml:"rule"`
	Default      *Rule             `toml:"default"` // for events that no rule matches; without it they are rejected
}

// Rule is one rule of the mapping; see mapping.Rule for its fields.
type Rule struct {
	Name        string            `toml:"name"`
	Type        string            `toml:"type"`
	Source      string            `toml:"source"`
	Subject     string            `toml:"subject"`
	Extensions  map[string]string `toml:"extensions"`
	Refuse      string            `toml:"refuse"`
	Class       string            `toml:"class"`
	Tenant      string            `toml:"tenant"`
	Destination string            `toml:"destination"`
	Key         string            `toml:"key"`
	Order       string            `toml:"order"`
	Deadline    tomlfile.Span     `toml:"deadline"`
}

const (
	minRetention  = time.Second
	maxRetention  = 24 * time.Hour
	maxRemembered = 4 << 20 // outcomes of events
	maxRules      = 1000
)

func (e *Events) check(doc document) error {
	if e == nil {
		return nil
	}
	setDefault(&e.Remember, tomlfile.Span(10*time.Minute))
	setDefault(&e.RememberMost, 10000)
	setDefault(&e.BatchEvents, 100)
	setDefault(&e.BatchBytes, 256<<10)
	if d := e.Remember.D(); d < minRetention || d > maxRetention {
		return doc.errorAt("events", 0, "remember", "events.remember = %v is not from %v to %v", d, minRetention, maxRetention)
	}
	if d := e.Deadline.D(); d > maxDeadline {
		return doc.errorAt("events", 0, "deadline", "events.deadline = %v is over %v", d, maxDeadline)
	}
	for _, n := range []struct {
		key        string
		v, to, min int
	}{{"remember_most", e.RememberMost, maxRemembered, 1}, {"batch_events", e.BatchEvents, maxBatchEvents, 1}, {"batch_bytes", e.BatchBytes, maxBatchBytes, 64 << 10}} {
		if n.v < n.min || n.v > n.to {
			return doc.errorAt("events", 0, n.key, "events.%s = %d is not from %d to %d", n.key, n.v, n.min, n.to)
		}
	}
	for name, n := range e.Destinations {
		if n > maxDestination {
			return doc.errorAt("events.destinations", 0, name, "events.destinations.%s = %d is over %d", name, n, maxDestination)
		}
	}
	if len(e.Rules) == 0 && e.Default == nil {
		return doc.errorAt("events", 0, "", "events has neither a rule nor a default: every event would be rejected")
	}
	if len(e.Rules) > maxRules {
		return doc.errorAt("events.rule", maxRules, "", "events.rule: more than %d rules", maxRules)
	}
	rules := e.Mapping()
	for i := range rules.List {
		if err := e.checkRule(&rules.List[i]); err != nil {
			return doc.errorAt("events.rule", i, "", "%s: %w", rules.Name(i), err)
		}
	}
	if i, before, ok := rules.Reachable(); ok {
		return doc.errorAt("events.rule", i, "", "%s is never reached: %s comes first and matches every event that it matches", rules.Name(i), rules.Name(before))
	}
	if d := e.Default; d != nil {
		if d.Type+d.Source+d.Subject != "" || len(d.Extensions) > 0 {
			return doc.errorAt("events.default", 0, "", "default: conditions are allowed in rules only")
		}
		if err := e.checkRule(rules.Fallback); err != nil {
			return doc.errorAt("events.default", 0, "", "default: %w", err)
		}
	}
	return nil
}

func (e *Events) checkRule(r *mapping.Rule) error {
	if r.Deadline > maxDeadline {
		return settingError("deadline = %v is over %v", r.Deadline, maxDeadline)
	}
	if err := r.Check(); err != nil {
		return err
	}
	if r.Refuse == "" && !strings.ContainsAny(r.Destination, "{}") {
		if _, ok := e.Destinations[r.Destination]; !ok && strings.Trim(r.Destination, "0123456789") != "" {
			return settingError("destination = %q is neither a number nor named in events.destinations", r.Destination)
		}
	}
	return nil
}

// Mapping returns the rules as package mapping takes them.
func (e *Events) Mapping() mapping.Rules {
	one := func(r Rule) mapping.Rule {
		return mapping.Rule{Name: r.Name, Type: r.Type, Source: r.Source, Subject: r.Subject, Extensions: r.Extensions, Refuse: r.Refuse,
			Class: r.Class, Tenant: r.Tenant, Destination: r.Destination, Key: r.Key, Order: r.Order, Deadline: r.Deadline.D()}
	}
	m := mapping.Rules{Destinations: e.Destinations, Deadline: e.Deadline.D()}
	for _, r := range e.Rules {
		m.List = append(m.List, one(r))
	}
	if e.Default != nil {
		f := one(*e.Default)
		m.Fallback = &f
	}
	return m
}

// Package fleetpolicy is what operators change in service for the whole fleet, and how a change takes hold everywhere or
// nowhere. It is free of I/O and of clocks: the document, what it says of a call, how two versions differ, the state that the
// fleet agrees on, and what the one who leads does next.
package fleetpolicy

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"saffronyard.example/saffronyard/internal/tomlfile"
)

// Document is a policy as operators write it. What it does not name is as the platform has it.
type Document struct {
	// CutOff is what a sender does that has no lease: "hold" (the default) begins no call; "go-on" goes on under the version
	// that it had, for GoOnFor at most. The latter gives up that no call is begun under a version that others have left.
	CutOff      string        `toml:"cut_off,omitempty"`
	CutOffGrace tomlfile.Span `toml:"go_on_for,omitempty"`

	Routes  []Route  `toml:"route,omitempty"`
	Tenants []Tenant `toml:"tenant,omitempty"`
	Classes []Class  `toml:"class,omitempty"`
	Limits  []Limit  `toml:"limit,omitempty"`

	Health []HealthRule `toml:"verdict,omitempty"`
}

// Route says where the messages for some destinations go.
type Route struct {
	Destinations []uint32 `toml:"destinations"`
	// State is "closed": nowhere, they are handed back; "moved": to another destination; "apart": as of another kind of the
	// settings, one whose endpoints are routes apart, say, each with its own limit, pace and outages.
	State string  `toml:"state"`
	To    *uint32 `toml:"to,omitempty"`   // of moved
	Kind  string  `toml:"kind,omitempty"` // of apart
	Why   string  `toml:"why,omitempty"`
}

// Tenant is one whose messages are not sent.
type Tenant struct {
	Name  string `toml:"name"`
	State string `toml:"state"` // "suspended"
	Why   string `toml:"why,omitempty"`
}

// Class bounds a class of message.
type Class struct {
	Name        string        `toml:"name"`
	MaxDeadline tomlfile.Span `toml:"deadline_most"` // a message is given up no later than this after it was handed in
}

// Bounds of a document. A larger one would not fit a step of the log.
const (
	maxDocumentBytes = 1 << 20 // bytes
	maxDestinations  = 100_000 // named, in all
	maxTextBytes     = 500     // bytes of a reason
	maxCutOffGrace   = 24 * time.Hour
)

const (
	cutOffHold     = "hold"
	cutOffContinue = "go-on"
)

// Parse reads a document and checks it as a whole; name is for its errors.
func Parse(name string, raw []byte) (*Policy, error) {
	if len(raw) > maxDocumentBytes {
		return nil, fmt.Errorf("%s: %d bytes; %d are the most", name, len(raw), maxDocumentBytes)
	}
	d := &Document{}
	if err := tomlfile.Decode(name, raw, d); err != nil {
		return nil, err
	}
	p := &Policy{document: d, routes: map[uint32]routeRule{}, suspended: map[string]bool{}, classes: map[string]time.Duration{}}
	bad := func(format string, args ...any) error {
		return fmt.Errorf("%s: "+format, append([]any{name}, args...)...)
	}
	switch d.CutOff {
	case "":
		d.CutOff = cutOffHold
	case cutOffHold, cutOffContinue:
	default:
		return nil, bad("cut_off = %q; there are %q and %q", d.CutOff, cutOffHold, cutOffContinue)
	}
	if (d.CutOff == cutOffContinue) != (d.CutOffGrace > 0) || d.CutOffGrace.D() > maxCutOffGrace {
		return nil, bad("go_on_for = %v: it goes with cut_off = %q, and is %v at most", d.CutOffGrace.D(), cutOffContinue, maxCutOffGrace)
	}
	for i, r := range d.Routes {
		at := fmt.Sprintf("route %d", i+1)
		switch {
		case len(r.Destinations) == 0:
			return nil, bad("%s names no destinations", at)
		case len(r.Why) > maxTextBytes:
			return nil, bad("%s: why has %d bytes; %d are the most", at, len(r.Why), maxTextBytes)
		case r.State != "closed" && r.State != "moved" && r.State != "apart":
			return nil, bad("%s: state = %q; there are \"closed\", \"moved\" and \"apart\"", at, r.State)
		case (r.State == "apart") != (r.Kind != ""):
			return nil, bad("%s: kind goes with state = \"apart\", and is needed there", at)
		case (r.State == "moved") != (r.To != nil):
			return nil, bad("%s: to goes with state = \"moved\", and is needed there", at)
		}
		for _, dest := range r.Destinations {
			if _, twice := p.routes[dest]; twice {
				return nil, bad("%s: destination %d is named twice", at, dest)
			}
			is := routeRule{closed: r.State == "closed", kind: r.Kind}
			if r.To != nil {
				is.to = *r.To
			}
			p.routes[dest] = is
		}
	}
	if len(p.routes) > maxDestinations {
		return nil, bad("%d destinations are named; %d are the most", len(p.routes), maxDestinations)
	}
	for i, r := range d.Routes {
		if r.To == nil {
			continue
		}
		if _, again := p.routes[*r.To]; again {
			return nil, bad("route %d: destination %d, to which it moves, has a route of its own: a message moves once", i+1, *r.To)
		}
	}
	for i, t := range d.Tenants {
		switch {
		case t.Name == "" || len(t.Name) > maxTextBytes || len(t.Why) > maxTextBytes:
			return nil, bad("tenant %d: name and why have %d bytes at most, the name not none", i+1, maxTextBytes)
		case t.State != "suspended":
			return nil, bad("tenant %q: state = %q; there is \"suspended\"", t.Name, t.State)
		case p.suspended[t.Name]:
			return nil, bad("tenant %q is named twice", t.Name)
		}
		p.suspended[t.Name] = true
	}
	for _, c := range d.Classes {
		if _, twice := p.classes[c.Name]; twice || c.Name == "" {
			return nil, bad("class %q is named twice, or not at all", c.Name)
		}
		if c.MaxDeadline <= 0 {
			return nil, bad("class %q: deadline_most = %v is not over 0", c.Name, c.MaxDeadline.D())
		}
		p.classes[c.Name] = c.MaxDeadline.D()
	}
	var err error
	if p.limits, err = parseLimits(d.Limits); err != nil {
		return nil, bad("%w", err)
	}
	if p.healthRules, err = parseHealthRules(d.Health); err != nil {
		return nil, bad("%w", err)
	}
	return p, nil
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

package fleetpolicy

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"saffronyard.example/saffronyard/internal/tomlfile"
)

// Document is a policy as operators write it, in TOML. The platform's settings apply to what it does not name.
type Document struct {
	// OnPartition is what a sender without a lease does: "hold" (the default) begins no call; "go-on" continues under its last version, for
	// PartitionGrace at most. With "go-on", calls may be begun under a version that other senders have already replaced.
	OnPartition    string        `toml:"cut_off,omitempty"`
	PartitionGrace tomlfile.Span `toml:"go_on_for,omitempty"`

	Routes  []Route  `toml:"route,omitempty"`
	Tenants []Tenant `toml:"tenant,omitempty"`
	Classes []Class  `toml:"class,omitempty"`
	Limits  []Limit  `toml:"limit,omitempty"`

	Health []HealthRule `toml:"verdict,omitempty"`
}

// Route says where the messages for some destinations go.
type Route struct {
	Destinations []uint32 `toml:"destinations"`
	// State is "closed": they are returned to their senders; "moved": they go to another destination; "apart": the settings of another kind
	// apply, such as one whose endpoints are separate routes, each with its own limit, rate and outages.
	State string  `toml:"state"`
	To    *uint32 `toml:"to,omitempty"`   // of moved
	Kind  string  `toml:"kind,omitempty"` // of apart
	Why   string  `toml:"why,omitempty"`
}

// Tenant is a tenant whose messages are not sent.
type Tenant struct {
	Name  string `toml:"name"`
	State string `toml:"state"` // "suspended"
	Why   string `toml:"why,omitempty"`
}

// Class bounds the messages of a class.
type Class struct {
	Name        string        `toml:"name"`
	MaxDeadline tomlfile.Span `toml:"deadline_most"` // upper bound on a message's deadline, from its submission
}

// Bounds of a document. A larger one would not fit a command of the log.
const (
	maxDocumentBytes  = 1 << 20 // bytes
	maxDestinations   = 100_000 // named in all
	maxTextBytes      = 500     // of a name or a reason
	maxPartitionGrace = 24 * time.Hour
)

// Values in a document.
const (
	partitionHold     = "hold"
	partitionContinue = "go-on"
	stateClosed       = "closed"
	stateMoved        = "moved"
	stateApart        = "apart"
	stateSuspended    = "suspended"
)

// Parse decodes a document and checks all of it; errors begin with name, and are of type *DocumentError or the TOML decoder's.
func Parse(name string, raw []byte) (*Policy, error) {
	if len(raw) > maxDocumentBytes {
		return nil, invalidIn(name, "%d bytes; %d are the most", len(raw), maxDocumentBytes)
	}
	d := &Document{}
	if err := tomlfile.Decode(name, raw, d); err != nil {
		return nil, err
	}
	p := &Policy{document: d, routes: map[uint32]routeRule{}, suspended: map[string]bool{}, classes: map[string]time.Duration{}}
	for _, parse := range []func() error{p.parsePartition, p.parseRoutes, p.parseTenants, p.parseClasses, p.parseLimits, p.parseHealthRules} {
		if err := parse(); err != nil {
			return nil, within(name, err)
		}
	}
	return p, nil
}

func (p *Policy) parsePartition() error {
	d := p.document
	switch d.OnPartition {
	case "":
		d.OnPartition = partitionHold
	case partitionHold, partitionContinue:
	default:
		return invalid("cut_off = %q; there are %q and %q", d.OnPartition, partitionHold, partitionContinue)
	}
	if (d.OnPartition == partitionContinue) != (d.PartitionGrace > 0) || d.PartitionGrace.D() > maxPartitionGrace {
		return invalid("go_on_for = %v: it goes with cut_off = %q, and is %v at most", d.PartitionGrace.D(), partitionContinue, maxPartitionGrace)
	}
	return nil
}

func (p *Policy) parseRoutes() error {
	for i, r := range p.document.Routes {
		if err := r.check(fmt.Sprintf("route %d", i+1)); err != nil {
			return err
		}
		for _, destination := range r.Destinations {
			if _, twice := p.routes[destination]; twice {
				return invalid("route %d: destination %d is named twice", i+1, destination)
			}
			rule := routeRule{closed: r.State == stateClosed, kind: r.Kind}
			if r.To != nil {
				rule.to = *r.To
			}
			p.routes[destination] = rule
		}
	}
	if len(p.routes) > maxDestinations {
		return invalid("%d destinations are named; %d are the most", len(p.routes), maxDestinations)
	}
	for i, r := range p.document.Routes {
		if r.To == nil {
			continue
		}
		if _, again := p.routes[*r.To]; again {
			return invalid("route %d: destination %d, to which it moves, has a route of its own: a message moves once", i+1, *r.To)
		}
	}
	return nil
}

// check checks a route by itself; name is for its errors.
func (r *Route) check(name string) error {
	switch {
	case len(r.Destinations) == 0:
		return invalid("%s names no destinations", name)
	case len(r.Why) > maxTextBytes:
		return invalid("%s: why has %d bytes; %d are the most", name, len(r.Why), maxTextBytes)
	case r.State != stateClosed && r.State != stateMoved && r.State != stateApart:
		return invalid("%s: state = %q; there are \"closed\", \"moved\" and \"apart\"", name, r.State)
	case (r.State == stateApart) != (r.Kind != ""):
		return invalid("%s: kind goes with state = \"apart\", and is needed there", name)
	case (r.State == stateMoved) != (r.To != nil):
		return invalid("%s: to goes with state = \"moved\", and is needed there", name)
	}
	return nil
}

func (p *Policy) parseTenants() error {
	for i, t := range p.document.Tenants {
		switch {
		case t.Name == "" || len(t.Name) > maxTextBytes || len(t.Why) > maxTextBytes:
			return invalid("tenant %d: name and why have %d bytes at most, the name not none", i+1, maxTextBytes)
		case t.State != stateSuspended:
			return invalid("tenant %q: state = %q; there is \"suspended\"", t.Name, t.State)
		case p.suspended[t.Name]:
			return invalid("tenant %q is named twice", t.Name)
		}
		p.suspended[t.Name] = true
	}
	return nil
}

func (p *Policy) parseClasses() error {
	for _, c := range p.document.Classes {
		if _, twice := p.classes[c.Name]; twice || c.Name == "" {
			return invalid("class %q is named twice, or not at all", c.Name)
		}
		if c.MaxDeadline <= 0 {
			return invalid("class %q: deadline_most = %v is not over 0", c.Name, c.MaxDeadline.D())
		}
		p.classes[c.Name] = c.MaxDeadline.D()
	}
	return nil
}

func (p *Policy) parseLimits() (err error) {
	p.limits, err = parseLimits(p.document.Limits)
	return err
}

func (p *Policy) parseHealthRules() (err error) {
	p.healthRules, err = parseHealthRules(p.document.Health)
	return err
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

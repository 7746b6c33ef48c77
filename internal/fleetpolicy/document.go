// Package fleetpolicy is what operators change in service for the whole fleet, and how a change takes hold everywhere or
// nowhere. It is free of I/O and of clocks: the document, what it says of a call, how two versions differ, the state that the
// fleet agrees on, and what the one who leads does next.
package fleetpolicy

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"saffronyard.example/saffronyard/internal/health"
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

// Policy is a document that was checked, as calls are judged by it.
type Policy struct {
	document    *Document
	routes      map[uint32]routeRule
	suspended   map[string]bool
	classes     map[string]time.Duration
	limits      limitIndex
	healthRules map[uint32]health.Rule
}

type routeRule struct {
	closed bool
	kind   string // of one that is apart
	to     uint32 // of one that is moved
}

// Empty is the policy before the first document: all goes as the platform has it.
func Empty() *Policy { return &Policy{document: &Document{CutOff: cutOffHold}} }

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

// Settings are the names of a sender's settings that a policy may use.
type Settings struct{ Classes, Tenants, Kinds []string }

// CheckSettings says what is wrong with the policy at a sender with these settings: a sender that can't do what it says refuses it, and
// then it takes hold nowhere.
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

// checkNames says which name the settings lack.
func checkNames(what string, names, has []string) error {
	for _, name := range names {
		if !slices.Contains(has, name) {
			return fmt.Errorf("%s %q is not in this sender's settings, which have %s", what, name, quoted(has))
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

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// Call is what a policy judges: a message and where it goes.
type Call struct {
	Destination uint32
	Tenant      string

	// What limits go by besides; empty where no call is about to be written.
	Endpoint string
	Class    string
	Bytes    int64
}

// IsOpen reports whether calls for a destination are begun at all.
func (p *Policy) IsOpen(destination uint32) bool {
	r, ruled := p.routes[destination]
	return !ruled || r.kind != ""
}

// Kind is the kind of a destination that is listed as of another.
func (p *Policy) Kind(destination uint32, listed string) string {
	if r, ruled := p.routes[destination]; ruled && r.kind != "" {
		return r.kind
	}
	return listed
}

// Allows reports whether a call is begun; why is for who is told.
func (p *Policy) Allows(c Call) (ok bool, why string) {
	if r, ruled := p.routes[c.Destination]; ruled && r.kind == "" {
		if r.closed {
			return false, "the fleet's policy has closed its destination"
		}
		return false, fmt.Sprintf("the fleet's policy has moved its destination to %d", r.to)
	}
	if p.suspended[c.Tenant] {
		return false, "the fleet's policy has suspended its tenant"
	}
	return true, ""
}

// MovedTo is where a message for a destination goes that is handed in now.
func (p *Policy) MovedTo(destination uint32) uint32 {
	if r, ruled := p.routes[destination]; ruled && !r.closed && r.kind == "" {
		return r.to
	}
	return destination
}

// MaxDeadline is the bound of a class; 0 if it has none.
func (p *Policy) MaxDeadline(class string) time.Duration { return p.classes[class] }

// CutOffGrace is for how long a sender without a lease goes on; 0: it holds.
func (p *Policy) CutOffGrace() time.Duration {
	if p.document.CutOff == cutOffContinue {
		return p.document.CutOffGrace.D()
	}
	return 0
}

// Affected is what differs between two policies: the calls that a switch from the one to the other holds up.
type Affected struct {
	destinations map[uint32]struct{}
	tenants      map[string]struct{}
}

// AffectedBySwitch is what a switch between two policies touches.
func AffectedBySwitch(a, b *Policy) *Affected {
	t := &Affected{map[uint32]struct{}{}, map[string]struct{}{}}
	addDifferences(t.destinations, a.routes, b.routes)
	addDifferences(t.tenants, a.suspended, b.suspended)
	return t
}

func addDifferences[K, V comparable](into map[K]struct{}, a, b map[K]V) {
	for k, v := range a {
		if w, ok := b[k]; !ok || v != w {
			into[k] = struct{}{}
		}
	}
	for k := range b {
		if _, ok := a[k]; !ok {
			into[k] = struct{}{}
		}
	}
}

// HasCall reports whether a call is touched.
func (t *Affected) HasCall(c Call) bool {
	if t == nil {
		return false
	}
	_, dest := t.destinations[c.Destination]
	_, tenant := t.tenants[c.Tenant]
	return dest || tenant
}

// HasDestination reports whether all calls for a destination are touched.
func (t *Affected) HasDestination(d uint32) bool {
	if t == nil {
		return false
	}
	_, is := t.destinations[d]
	return is
}

package fleetpolicy

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"saffronyard.example/saffronyard/internal/health"
	"saffronyard.example/saffronyard/internal/tomlfile"
)

// HealthRule is a table by which the fleet decides the health of destinations together. Without one, each sender decides by itself.
type HealthRule struct {
	Destinations  []uint32      `toml:"destinations"`
	Quorum        int           `toml:"agree,omitempty"`    // senders that have to report the destination as out; default 2. A single report counts after 2 s
	ProbeInterval tomlfile.Span `toml:"probe,omitempty"`    // while the destination is ejected, all senders together send it one call per interval; default 500ms
	InitialRate   int64         `toml:"cold"`               // calls per second of all senders together when slow start begins
	FullRate      int64         `toml:"warm"`               // calls per second of all senders together when slow start ends
	SlowStart     tomlfile.Span `toml:"warm_for,omitempty"` // duration of slow start; default 14s
	TTL           tomlfile.Span `toml:"lasts,omitempty"`    // after which a status that is not renewed expires; default 15s
	TransitJitter tomlfile.Span `toml:"transit,omitempty"`  // by which the transit of two calls may differ; default 20ms
}

const (
	defaultQuorum        = 2
	maxQuorum            = 64
	defaultProbeInterval = 500 * time.Millisecond
	defaultSlowStart     = 14 * time.Second
	defaultTTL           = 15 * time.Second
	minTTL               = 3 * time.Second // a status is renewed three times in its TTL
	minProbeInterval     = 50 * time.Millisecond
	maxSlowStart         = time.Hour
)

func parseHealthRules(all []HealthRule) (map[uint32]health.Rule, error) {
	rules := map[uint32]health.Rule{}
	for i, v := range all {
		name := fmt.Sprintf("verdict %d", i+1)
		r := health.Rule{Quorum: cmp.Or(v.Quorum, defaultQuorum), ProbeInterval: cmp.Or(v.ProbeInterval.D(), defaultProbeInterval), InitialRate: v.InitialRate, FullRate: v.FullRate, SlowStart: cmp.Or(v.SlowStart.D(), defaultSlowStart), TTL: cmp.Or(v.TTL.D(), defaultTTL),
			TransitJitter: cmp.Or(v.TransitJitter.D(), defaultTransitJitter)}
		switch {
		case len(v.Destinations) == 0:
			return nil, invalidIn(name, "it names no destinations")
		case r.Quorum < 1 || r.Quorum > maxQuorum:
			return nil, invalidIn(name, "agree = %d is not from 1 to %d", r.Quorum, maxQuorum)
		case r.ProbeInterval < minProbeInterval || r.ProbeInterval > time.Minute:
			return nil, invalidIn(name, "probe = %v is not from %v to 1m", r.ProbeInterval, minProbeInterval)
		case r.InitialRate < 1 || r.FullRate < r.InitialRate || r.FullRate > maxUnits:
			return nil, invalidIn(name, "cold = %d and warm = %d: both are needed, calls a second, the second no fewer", r.InitialRate, r.FullRate)
		case r.SlowStart <= 0 || r.SlowStart > maxSlowStart:
			return nil, invalidIn(name, "warm_for = %v is not up to %v", r.SlowStart, maxSlowStart)
		case r.TransitJitter > maxTransitJitter:
			return nil, invalidIn(name, "transit = %v is not up to %v", r.TransitJitter, maxTransitJitter)
		case r.TTL < minTTL || r.TTL > health.MaxTTL:
			return nil, invalidIn(name, "lasts = %v is not from %v to %v", r.TTL, minTTL, health.MaxTTL)
		}
		for _, d := range v.Destinations {
			if _, twice := rules[d]; twice {
				return nil, invalidIn(name, "destination %d is named twice", d)
			}
			rules[d] = r
		}
	}
	if len(rules) > maxDestinations {
		return nil, invalid("verdicts name %d destinations; %d are the most", len(rules), maxDestinations)
	}
	return rules, nil
}

// HealthRule is the rule of a destination. ok is false if there is none: then each sender decides the destination's health by itself.
func (p *Policy) HealthRule(destination uint32) (r health.Rule, ok bool) {
	r, ok = p.healthRules[destination]
	return r, ok
}

// HasHealthRules reports whether any destination has a health rule.
func (p *Policy) HasHealthRules() bool { return len(p.healthRules) > 0 }

// diffHealthRules is the part of Diff on health rules.
func diffHealthRules(before, after *Policy) (lines []string) {
	changed := map[uint32]struct{}{}
	addDifferences(changed, before.healthRules, after.healthRules)
	describe := func(p *Policy, d uint32) string {
		r, ok := p.healthRules[d]
		if !ok {
			return "each sender by itself"
		}
		return fmt.Sprintf("%d agree, a probe every %v, back with %d calls a second, %d after %v, lasts %v", r.Quorum, r.ProbeInterval, r.InitialRate, r.FullRate, r.SlowStart, r.TTL)
	}
	for _, d := range slices.Sorted(maps.Keys(changed)) {
		lines = append(lines, fmt.Sprintf("destination %d, verdicts: %s -> %s", d, describe(before, d), describe(after, d)))
	}
	return lines
}

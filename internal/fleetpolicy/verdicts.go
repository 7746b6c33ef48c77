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

// Verdict has the fleet hold together of some destinations that they are out, or come back cold, and go there accordingly. Without it each
// sender finds out by itself.
type Verdict struct {
	Destinations []uint32      `toml:"destinations"`
	Agree        int           `toml:"agree,omitempty"`    // senders that have to hold it to be out; default 2. One alone counts after 2 s
	Probe        tomlfile.Span `toml:"probe,omitempty"`    // while it is out one call of all senders goes there so often; default 500ms
	Cold         int64         `toml:"cold"`               // calls a second of all senders as it comes back
	Warm         int64         `toml:"warm"`               // which grow to so many
	WarmFor      tomlfile.Span `toml:"warm_for,omitempty"` // in this time; default 14s
	Lasts        tomlfile.Span `toml:"lasts,omitempty"`    // a verdict that is not said again is over; default 15s
	Transit      tomlfile.Span `toml:"transit,omitempty"`  // by so much may the ways of two calls differ; default 20ms
}

const (
	agreeDefault = 2
	agreeMost    = 64
	probeDefault = 500 * time.Millisecond
	warmDefault  = 14 * time.Second
	lastsDefault = 15 * time.Second
	lastsLeast   = 3 * time.Second // it is said again three times in it
	probeLeast   = 50 * time.Millisecond
	warmMost     = time.Hour
)

func verdictRules(all []Verdict) (map[uint32]health.Rule, error) {
	rules := map[uint32]health.Rule{}
	for i, v := range all {
		bad := func(format string, args ...any) (map[uint32]health.Rule, error) {
			return nil, fmt.Errorf("verdict %d: "+format, append([]any{i + 1}, args...)...)
		}
		r := health.Rule{Quorum: cmp.Or(v.Agree, agreeDefault), ProbeInterval: cmp.Or(v.Probe.D(), probeDefault), InitialRate: v.Cold, FullRate: v.Warm, SlowStart: cmp.Or(v.WarmFor.D(), warmDefault), TTL: cmp.Or(v.Lasts.D(), lastsDefault),
			TransitJitter: cmp.Or(v.Transit.D(), transitDefault)}
		switch {
		case len(v.Destinations) == 0:
			return bad("it names no destinations")
		case r.Quorum < 1 || r.Quorum > agreeMost:
			return bad("agree = %d is not from 1 to %d", r.Quorum, agreeMost)
		case r.ProbeInterval < probeLeast || r.ProbeInterval > time.Minute:
			return bad("probe = %v is not from %v to 1m", r.ProbeInterval, probeLeast)
		case r.InitialRate < 1 || r.FullRate < r.InitialRate || r.FullRate > unitsMost:
			return bad("cold = %d and warm = %d: both are needed, calls a second, the second no fewer", r.InitialRate, r.FullRate)
		case r.SlowStart <= 0 || r.SlowStart > warmMost:
			return bad("warm_for = %v is not up to %v", r.SlowStart, warmMost)
		case r.TransitJitter > transitMost:
			return bad("transit = %v is not up to %v", r.TransitJitter, transitMost)
		case r.TTL < lastsLeast || r.TTL > health.MaxTTL:
			return bad("lasts = %v is not from %v to %v", r.TTL, lastsLeast, health.MaxTTL)
		}
		for _, d := range v.Destinations {
			if _, twice := rules[d]; twice {
				return bad("destination %d is named twice", d)
			}
			rules[d] = r
		}
	}
	if len(rules) > destinationsMost {
		return nil, fmt.Errorf("verdicts name %d destinations; %d are the most", len(rules), destinationsMost)
	}
	return rules, nil
}

// VerdictRule is how verdicts on a destination are found; ok is false if each sender finds out by itself.
func (p *Policy) VerdictRule(destination uint32) (r health.Rule, ok bool) {
	r, ok = p.verdicts[destination]
	return r, ok
}

// Guards reports whether the fleet holds anything together of any destination.
func (p *Policy) Guards() bool { return len(p.verdicts) > 0 }

// diffVerdicts tells how the rules of two policies differ.
func diffVerdicts(was, is *Policy) (lines []string) {
	changed := map[uint32]struct{}{}
	differ(changed, was.verdicts, is.verdicts)
	word := func(p *Policy, d uint32) string {
		r, ok := p.verdicts[d]
		if !ok {
			return "each sender by itself"
		}
		return fmt.Sprintf("%d agree, a probe every %v, back with %d calls a second, %d after %v, lasts %v", r.Quorum, r.ProbeInterval, r.InitialRate, r.FullRate, r.SlowStart, r.TTL)
	}
	for _, d := range slices.Sorted(maps.Keys(changed)) {
		lines = append(lines, fmt.Sprintf("destination %d, verdicts: %s -> %s", d, word(was, d), word(is, d)))
	}
	return lines
}

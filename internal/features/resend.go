package features

import (
	"time"

	"saffronyard.example/saffronyard/internal/tomlfile"
	"saffronyard.example/saffronyard/internal/undelivered"
)

// Resend is a rule by which undelivered messages are resent.
type Resend struct {
	Name     string        `toml:"name"`
	Members  []string      `toml:"members"` // default: all, as for reasons and classes
	Reasons  []string      `toml:"reasons"`
	Classes  []string      `toml:"classes"`
	WellFor  tomlfile.Span `toml:"well_for"` // the receiver has been healthy for so long; to 24h, default 30s
	From     string        `toml:"from"`     // "01:00", with to: only then; UTC
	To       string        `toml:"to"`
	ByHand   bool          `toml:"by_hand"`  // never by itself
	Share    float64       `toml:"share"`    // of the pace that the receiver takes; default 0.2
	Newest   bool          `toml:"newest"`   // first; default: the oldest
	Most     int           `toml:"most"`     // times; from 1 to 100, default 3
	Age      tomlfile.Span `toml:"age"`      // it is resent until so long after it ended first; default: as long as it is stored
	Deadline tomlfile.Span `toml:"deadline"` // it may then take so long; from 1s to 1h, default 28s
	Then     string        `toml:"then"`     // what went so often, or is too old: "keep" or "drop"; default "keep"
}

// checkResend checks the rules by which messages are resent.
func (u *Undelivered) checkResend(doc document, on bool) error {
	for i := range u.Resend {
		r := &u.Resend[i]
		setDefault(&r.WellFor, tomlfile.Span(30*time.Second))
		setDefault(&r.Share, 0.2)
		setDefault(&r.Most, 3)
		setDefault(&r.Deadline, tomlfile.Span(28*time.Second))
		setDefault(&r.Then, "keep")
		at := func(key, format string, args ...any) error {
			return doc.errorAt("undelivered.resend", i, key, "undelivered.resend %d: %w", i+1, settingError(format, args...))
		}
		if r.Then != "keep" && r.Then != "drop" {
			return at("then", "then = %q; there are keep and drop", r.Then)
		}
		if r.WellFor.D() > 24*time.Hour {
			return at("well_for", "well_for = %v is over 24h", r.WellFor.D())
		}
		if (r.From == "") != (r.To == "") {
			return at("from", "from and to go together")
		}
		for _, t := range []string{r.From, r.To} {
			if t != "" {
				if _, err := parseTimeOfDay(t); err != nil {
					return at("from", "%w", err)
				}
			}
		}
		for _, name := range r.Reasons {
			if _, err := undelivered.ParseReason(name); err != nil {
				return at("reasons", "%w", err)
			}
		}
		if !on {
			return at("name", "kept messages go again as background work: the file has no [work]")
		}
	}
	if i, err := undelivered.CheckRules(u.Rules()); err != nil {
		return doc.errorAt("undelivered.resend", i, "name", "undelivered.resend %d: %w", i+1, err)
	}
	return nil
}

// Rules returns the rules as package undelivered takes them.
func (u *Undelivered) Rules() []undelivered.Rule {
	var rules []undelivered.Rule
	for i := range u.Resend {
		r := &u.Resend[i]
		rule := undelivered.Rule{Name: r.Name, Members: r.Members, Classes: r.Classes, HealthyFor: r.WellFor.D(), ManualOnly: r.ByHand, RateFraction: r.Share,
			NewestFirst: r.Newest, MaxResends: r.Most, MaxAge: r.Age.D(), Deadline: r.Deadline.D(), DropExhausted: r.Then == "drop"}
		for _, name := range r.Reasons {
			rule.Reasons = append(rule.Reasons, undelivered.Reason(name))
		}
		if r.From != "" {
			rule.From, _ = parseTimeOfDay(r.From) // checked as the file was read
			rule.To, _ = parseTimeOfDay(r.To)
		}
		rules = append(rules, rule)
	}
	return rules
}

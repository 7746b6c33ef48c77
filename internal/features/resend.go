package features

import (
	"time"

	"saffronyard.example/saffronyard/internal/tomlfile"
	"saffronyard.example/saffronyard/internal/undelivered"
)

// Resend is a rule by which undelivered messages are resent.
type Resend struct {
	Name     string        `toml:"name"`
	Members  []string      `toml:"members"` // default: all; the same holds for reasons and classes
	Reasons  []string      `toml:"reasons"`
	Classes  []string      `toml:"classes"`
	WellFor  tomlfile.Span `toml:"well_for"` // how long the receiver must have been healthy; up to 24h, default 30s
	From     string        `toml:"from"`     // start of the daily window of resends, such as "01:00", in UTC; default: at any time
	To       string        `toml:"to"`       // end of the window
	ByHand   bool          `toml:"by_hand"`  // messages are resent only by an operator, not automatically
	Share    float64       `toml:"share"`    // fraction of the rate that the receiver accepts; default 0.2
	Newest   bool          `toml:"newest"`   // the newest messages are resent first; default: the oldest
	Most     int           `toml:"most"`     // maximum number of resends of a message; from 1 to 100, default 3
	Age      tomlfile.Span `toml:"age"`      // maximum time since a message first ended; default: as long as it is stored
	Deadline tomlfile.Span `toml:"deadline"` // of a resent message, from its resend; from 1s to 1h, default 28s
	Then     string        `toml:"then"`     // what happens to a message beyond most or age: "keep" or "drop"; default "keep"
}

// checkResend validates the rules and fills in their defaults. hasWork is whether the file has [work], which rules need.
func (u *Undelivered) checkResend(doc document, hasWork bool) error {
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
			return at("then", "then = %q is neither keep nor drop", r.Then)
		}
		if r.WellFor.D() > 24*time.Hour {
			return at("well_for", "well_for = %v is over 24h", r.WellFor.D())
		}
		if (r.From == "") != (r.To == "") {
			return at("from", "from and to must be set together")
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
		if !hasWork {
			return at("name", "messages are resent by background work, and the file has no [work]")
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
			rule.From, _ = parseTimeOfDay(r.From) // validated when the file was read
			rule.To, _ = parseTimeOfDay(r.To)
		}
		rules = append(rules, rule)
	}
	return rules
}

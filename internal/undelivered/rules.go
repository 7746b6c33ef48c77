package undelivered

import (
	"fmt"
	"slices"
	"time"
)

// Rule is a policy of automatic resends: which messages, when, and how fast. If several match a message, the first applies.
type Rule struct {
	Name    string
	Members []string // empty: all, as for Reasons and Classes
	Reasons []Reason
	Classes []string

	// Conditions: the receiver has been healthy for HealthyFor, and it is a time of day from From to To; or only on an operator's request.
	HealthyFor time.Duration
	From       time.Duration // since midnight, as is To; both 0: at any time
	To         time.Duration
	ManualOnly bool

	RateFraction  float64       // of the receiver's current rate; above 0, up to 1
	NewestFirst   bool          // else the oldest first
	MaxResends    int           // of one message; at least 1
	MaxAge        time.Duration // since the message ended first; 0: no limit
	Deadline      time.Duration // of a resent message, from its resend
	DropExhausted bool          // messages that reached MaxResends or MaxAge are dropped; else they stay
}

// Matches reports whether a rule applies to a message.
func (r *Rule) Matches(e *Entry) bool {
	return (len(r.Members) == 0 || slices.Contains(r.Members, e.Member)) && (len(r.Reasons) == 0 || slices.Contains(r.Reasons, e.Reason)) &&
		(len(r.Classes) == 0 || slices.Contains(r.Classes, e.Class))
}

// FindRule returns the first rule that matches a message; nil if none does.
func FindRule(rules []Rule, e *Entry) *Rule {
	for i := range rules {
		if rules[i].Matches(e) {
			return &rules[i]
		}
	}
	return nil
}

// Choice is the decision of the rules on a message.
type Choice int

// Choices.
const (
	ResendNow     Choice = iota
	ResendLater          // it is being resent; decide again later
	NeverResend          // it stays until an operator resolves or drops it
	DropEntry            // its rule drops it
	NoRuleApplies        // no rule matches, or its rule is manual only
)

// Choose decides on one message by the rules and by MayResend, and returns why it is not resent. window is how long the receiver remembers
// the keys of its class; now is Unix nanoseconds. manual is an operator's request, which overrides the rules' times and bounds but
// never MayResend.
func Choose(rules []Rule, e *Entry, window time.Duration, now int64, manual bool) (Choice, string) {
	switch e.State {
	case Resolved:
		return NeverResend, "it is settled"
	case Resending:
		return ResendLater, "it is on its way"
	case Stored:
	}
	if v, why := MayResend(e.History(), window, now); v == Forbidden {
		return NeverResend, why
	}
	if manual {
		return ResendNow, ""
	}
	if e.Ending == HandedBack {
		return NoRuleApplies, "it was handed back: its client was told to come again"
	}
	r := FindRule(rules, e)
	switch {
	case r == nil:
		return NoRuleApplies, "no rule is about it"
	case r.ManualOnly:
		return NoRuleApplies, "rule " + r.Name + " has it sent by hand only"
	case e.Resends >= r.MaxResends:
		return exhausted(r, fmt.Sprintf("it went again %d times, as often as rule %s has it", e.Resends, r.Name))
	case r.MaxAge > 0 && now-e.FirstEnd() > int64(r.MaxAge):
		return exhausted(r, "it is older than rule "+r.Name+" has it")
	}
	return ResendNow, ""
}

func exhausted(r *Rule, why string) (Choice, string) {
	if r.DropExhausted {
		return DropEntry, why
	}
	return NeverResend, why
}

// FirstEnd returns when the message ended first, in Unix nanoseconds.
func (e *Entry) FirstEnd() int64 {
	if e.FirstEndedAt > 0 {
		return e.FirstEndedAt
	}
	return e.EndedAt
}

// Open reports whether a time of day is within the rule's window.
func (r *Rule) Open(at time.Time) bool {
	if r.From == 0 && r.To == 0 {
		return true
	}
	since := at.Sub(time.Date(at.Year(), at.Month(), at.Day(), 0, 0, 0, 0, at.Location()))
	if r.From <= r.To {
		return since >= r.From && since < r.To
	}
	return since >= r.From || since < r.To
}

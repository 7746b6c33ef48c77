package undelivered

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Rule says which messages go again by themselves, when, and how fast. Where two fit one message the first counts.
type Rule struct {
	Name    string
	Members []string // empty: all, as with the next two
	Reasons []Reason
	Classes []string

	// When: the receiver has been well for so long, or it is that time of day, or only by hand.
	HealthyFor time.Duration
	From       time.Duration // since midnight, with To; both 0: at any time
	To         time.Duration
	ManualOnly bool

	RateFraction  float64       // of the pace that the receiver takes now; from above 0 to 1
	NewestFirst   bool          // first; else the oldest
	MaxResends    int           // times that one message goes again
	MaxAge        time.Duration // it goes again until so long after it ended first
	Deadline      time.Duration // it may then take so long
	DropExhausted bool          // what went so often, or is too old, is dropped; else it stays
}

// Matches reports whether a rule is about a message.
func (r *Rule) Matches(e *Entry) bool {
	return (len(r.Members) == 0 || slices.Contains(r.Members, e.Member)) && (len(r.Reasons) == 0 || slices.Contains(r.Reasons, e.Reason)) &&
		(len(r.Classes) == 0 || slices.Contains(r.Classes, e.Class))
}

// FindRule is the first rule that is about a message; nil if there is none.
func FindRule(rules []Rule, e *Entry) *Rule {
	for i := range rules {
		if rules[i].Matches(e) {
			return &rules[i]
		}
	}
	return nil
}

// Choice is what a rule makes of a message now.
type Choice int

// The choices.
const (
	ResendNow     Choice = iota
	ResendLater          // later, perhaps
	NeverResend          // it stays, to be looked at and settled
	DropEntry            // the rule has it dropped
	NoRuleApplies        // no rule is about it, or only by hand
)

// Choose decides on one message, by the rules and by MayGoAgain. window is its class's. byHand is an operator's wish, which
// passes over when a rule has it go and over the rule's bounds, but never over what is lawful.
func Choose(rules []Rule, e *Entry, window time.Duration, now int64, manual bool) (Choice, string) {
	switch e.State {
	case Resolved:
		return NeverResend, "it is settled"
	case Resending:
		return ResendLater, "it is on its way"
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

// FirstEnd is when the message ended first; Unix nanoseconds.
func (e *Entry) FirstEnd() int64 {
	if e.FirstEndedAt > 0 {
		return e.FirstEndedAt
	}
	return e.EndedAt
}

// Open reports whether a time of day is within a rule's.
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

// Receiver is what is known of a destination now.
type Receiver struct {
	Healthy    bool          // it serves, and no wait is asked for
	HealthyFor time.Duration // so long
	Rate       float64       // calls a second that it usually takes
	Waiting    int           // live messages for it that are held and not out
	InFlight   int           // resent ones that are held
}

// Pacer paces what goes again to one receiver: a share of its pace, one after the other until it has shown that it bears
// them, and nothing while live messages wait.
type Pacer struct {
	tokens    float64
	updatedAt time.Duration
	started   bool
	window    float64 // resent messages at once
}

const (
	minRate   = 0.2 // messages a second, of a receiver whose pace is not known
	maxBurst  = 2.0 // messages
	maxWindow = 8.0 // at once, at most
)

// Admit says how many may go now, by a rule, and if none why, and when to look again.
func (g *Pacer) Admit(now time.Duration, at time.Time, rule *Rule, r Receiver) (n int, why string, lookAgainAfter time.Duration) {
	share := max(rule.RateFraction*r.Rate, minRate)
	if !g.started {
		g.started, g.updatedAt, g.window = true, now, 1
	}
	g.tokens = min(g.tokens+share*max(0, now-g.updatedAt).Seconds(), maxBurst)
	g.updatedAt = max(g.updatedAt, now)
	switch {
	case !rule.Open(at):
		return 0, "not at this time of day", time.Minute
	case !r.Healthy:
		g.tokens, g.window = 0, 1 // it begins anew when it is well
		return 0, "the receiver is not well", time.Second
	case r.HealthyFor < rule.HealthyFor:
		g.tokens, g.window = 0, 1
		return 0, fmt.Sprintf("the receiver has been well for %v, %v are wanted", r.HealthyFor.Round(time.Second), rule.HealthyFor), min(rule.HealthyFor-r.HealthyFor, time.Second)
	case r.Waiting > 0:
		return 0, "live messages go first", 200 * time.Millisecond
	case float64(r.InFlight) >= g.window:
		return 0, "others are on their way", 100 * time.Millisecond
	case g.tokens < 1:
		return 0, "its share of the receiver's pace is used", time.Duration((1 - g.tokens) / share * float64(time.Second))
	}
	n = min(int(g.tokens), max(1, int(g.window)-r.InFlight))
	g.tokens -= float64(n)
	return n, "", 0
}

// RecordResult books how a resent message ended: each that is delivered lets one more be out at once, one that is not halves them.
func (g *Pacer) RecordResult(delivered bool) {
	if delivered {
		g.window = min(g.window+1/max(g.window, 1), maxWindow)
	} else {
		g.window = max(1, g.window/2)
	}
}

// CheckRules says what is wrong with rules.
func CheckRules(rules []Rule) (at int, err error) {
	for i := range rules {
		r := &rules[i]
		switch {
		case r.Name == "":
			return i, fmt.Errorf("it has no name")
		case slices.ContainsFunc(rules[:i], func(o Rule) bool { return o.Name == r.Name }):
			return i, fmt.Errorf("there is another rule %q", r.Name)
		case !(r.RateFraction > 0 && r.RateFraction <= 1):
			return i, fmt.Errorf("rule %s: share = %v is not above 0, and up to 1", r.Name, r.RateFraction)
		case r.MaxResends < 1 || r.MaxResends > 100:
			return i, fmt.Errorf("rule %s: most = %d is not from 1 to 100", r.Name, r.MaxResends)
		case r.Deadline < time.Second || r.Deadline > time.Hour:
			return i, fmt.Errorf("rule %s: deadline = %v is not from 1s to 1h", r.Name, r.Deadline)
		case r.From < 0 || r.To < 0 || r.From >= 24*time.Hour || r.To > 24*time.Hour:
			return i, fmt.Errorf("rule %s: from and to are times of day", r.Name)
		case slices.Contains(r.Reasons, ReasonHandedBack):
			return i, fmt.Errorf("rule %s: what was handed back is its client's; it goes again by hand only", r.Name)
		}
		for j := range rules[:i] {
			if ruleCovers(&rules[j], r) {
				return i, fmt.Errorf("rule %s is never reached: all that it is about rule %s is about", r.Name, rules[j].Name)
			}
		}
	}
	return 0, nil
}

// ruleCovers reports whether all that b is about a is about.
func ruleCovers(a, b *Rule) bool {
	return subset(b.Members, a.Members) && subset(b.Reasons, a.Reasons) && subset(b.Classes, a.Classes)
}

// subset reports whether a's are among b's; none stands for all.
func subset[T cmp.Ordered](a, b []T) bool {
	if len(b) == 0 {
		return true
	}
	if len(a) == 0 {
		return false
	}
	for _, x := range a {
		if !slices.Contains(b, x) {
			return false
		}
	}
	return true
}

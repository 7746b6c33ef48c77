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
	WellFor time.Duration
	From    time.Duration // since midnight, with To; both 0: at any time
	To      time.Duration
	ByHand  bool

	Share    float64       // of the pace that the receiver takes now; from above 0 to 1
	Newest   bool          // first; else the oldest
	Most     int           // times that one message goes again
	Age      time.Duration // it goes again until so long after it ended first
	Deadline time.Duration // it may then take so long
	Drop     bool          // what went so often, or is too old, is dropped; else it stays
}

// Fits reports whether a rule is about a message.
func (r *Rule) Fits(e *Entry) bool {
	return (len(r.Members) == 0 || slices.Contains(r.Members, e.Member)) && (len(r.Reasons) == 0 || slices.Contains(r.Reasons, e.Reason)) &&
		(len(r.Classes) == 0 || slices.Contains(r.Classes, e.Class))
}

// RuleOf is the first rule that is about a message; nil if there is none.
func RuleOf(rules []Rule, e *Entry) *Rule {
	for i := range rules {
		if rules[i].Fits(e) {
			return &rules[i]
		}
	}
	return nil
}

// Choice is what a rule makes of a message now.
type Choice int

// The choices.
const (
	GoAgain   Choice = iota
	NotYet           // later, perhaps
	NotEver          // it stays, to be looked at and settled
	DropIt           // the rule has it dropped
	NotByRule        // no rule is about it, or only by hand
)

// Choose decides on one message, by the rules and by MayGoAgain. window is its class's. byHand is an operator's wish, which
// passes over when a rule has it go and over the rule's bounds, but never over what is lawful.
func Choose(rules []Rule, e *Entry, window time.Duration, now int64, byHand bool) (Choice, string) {
	switch e.State {
	case Settled:
		return NotEver, "it is settled"
	case Resending:
		return NotYet, "it is on its way"
	}
	if v, why := MayGoAgain(e.History(), window, now); v == Never {
		return NotEver, why
	}
	if byHand {
		return GoAgain, ""
	}
	if e.How == HandedBack {
		return NotByRule, "it was handed back: its client was told to come again"
	}
	r := RuleOf(rules, e)
	switch {
	case r == nil:
		return NotByRule, "no rule is about it"
	case r.ByHand:
		return NotByRule, "rule " + r.Name + " has it sent by hand only"
	case e.Lives >= r.Most:
		return spent(r, fmt.Sprintf("it went again %d times, as often as rule %s has it", e.Lives, r.Name))
	case r.Age > 0 && now-e.First() > int64(r.Age):
		return spent(r, "it is older than rule "+r.Name+" has it")
	}
	return GoAgain, ""
}

func spent(r *Rule, why string) (Choice, string) {
	if r.Drop {
		return DropIt, why
	}
	return NotEver, why
}

// First is when the message ended first; Unix nanoseconds.
func (e *Entry) First() int64 {
	if e.Began > 0 {
		return e.Began
	}
	return e.Ended
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
	Well    bool          // it serves, and no wait is asked for
	For     time.Duration // so long
	Rate    float64       // calls a second that it usually takes
	Waiting int           // live messages for it that are held and not out
	Out     int           // resent ones that are held
}

// Gate paces what goes again to one receiver: a share of its pace, one after the other until it has shown that it bears
// them, and nothing while live messages wait.
type Gate struct {
	tokens float64
	at     time.Duration
	begun  bool
	window float64 // resent messages at once
}

const (
	gateLeast  = 0.2 // messages a second, of a receiver whose pace is not known
	gateBurst  = 2.0 // messages
	gateWindow = 8.0 // at once, at most
)

// Pass says how many may go now, by a rule, and if none why, and when to look again.
func (g *Gate) Pass(now time.Duration, at time.Time, rule *Rule, r Receiver) (n int, why string, again time.Duration) {
	share := max(rule.Share*r.Rate, gateLeast)
	if !g.begun {
		g.begun, g.at, g.window = true, now, 1
	}
	g.tokens = min(g.tokens+share*max(0, now-g.at).Seconds(), gateBurst)
	g.at = max(g.at, now)
	switch {
	case !rule.Open(at):
		return 0, "not at this time of day", time.Minute
	case !r.Well:
		g.tokens, g.window = 0, 1 // it begins anew when it is well
		return 0, "the receiver is not well", time.Second
	case r.For < rule.WellFor:
		g.tokens, g.window = 0, 1
		return 0, fmt.Sprintf("the receiver has been well for %v, %v are wanted", r.For.Round(time.Second), rule.WellFor), min(rule.WellFor-r.For, time.Second)
	case r.Waiting > 0:
		return 0, "live messages go first", 200 * time.Millisecond
	case float64(r.Out) >= g.window:
		return 0, "others are on their way", 100 * time.Millisecond
	case g.tokens < 1:
		return 0, "its share of the receiver's pace is used", time.Duration((1 - g.tokens) / share * float64(time.Second))
	}
	n = min(int(g.tokens), max(1, int(g.window)-r.Out))
	g.tokens -= float64(n)
	return n, "", 0
}

// Ended books how a resent message ended: each that is delivered lets one more be out at once, one that is not halves them.
func (g *Gate) Ended(delivered bool) {
	if delivered {
		g.window = min(g.window+1/max(g.window, 1), gateWindow)
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
		case !(r.Share > 0 && r.Share <= 1):
			return i, fmt.Errorf("rule %s: share = %v is not above 0, and up to 1", r.Name, r.Share)
		case r.Most < 1 || r.Most > 100:
			return i, fmt.Errorf("rule %s: most = %d is not from 1 to 100", r.Name, r.Most)
		case r.Deadline < time.Second || r.Deadline > time.Hour:
			return i, fmt.Errorf("rule %s: deadline = %v is not from 1s to 1h", r.Name, r.Deadline)
		case r.From < 0 || r.To < 0 || r.From >= 24*time.Hour || r.To > 24*time.Hour:
			return i, fmt.Errorf("rule %s: from and to are times of day", r.Name)
		case slices.Contains(r.Reasons, NotComeAgain):
			return i, fmt.Errorf("rule %s: what was handed back is its client's; it goes again by hand only", r.Name)
		}
		for j := range rules[:i] {
			if covers(&rules[j], r) {
				return i, fmt.Errorf("rule %s is never reached: all that it is about rule %s is about", r.Name, rules[j].Name)
			}
		}
	}
	return 0, nil
}

// covers reports whether all that b is about a is about.
func covers(a, b *Rule) bool {
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

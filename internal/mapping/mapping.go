// Package mapping maps an event to the class, tenant, destination, deadline and keys with which this sender delivers it, by
// ordered rules written by operators. It does no I/O and reads no clock.
package mapping

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"saffronyard.example/saffronyard/internal/cloudevents"
)

// Rule is one rule. The first rule whose conditions all hold applies; an empty condition always holds.
type Rule struct {
	Name string

	// Conditions. A condition that ends with * holds for values with the prefix before the *; any other holds for equal
	// values. Subject is split at slashes. A part such as {member} holds for any single non-empty part and captures it;
	// {rest...} as the last part captures the rest of the subject.
	Type, Source, Subject string
	Extensions            map[string]string

	// Refuse, if not empty, rejects the event with this text.
	Refuse string

	// Templates for the fields of the Target. They may contain {name} for a capture, {type}, {source}, {id}, {subject} and
	// {ext.NAME}.
	Class, Tenant, Destination, Key, Order string
	Deadline                               time.Duration // 0: the rules' default

	parts []part // of Subject, set by Prepare
}

// Prepare parses the subjects of checked rules in advance, which makes Find faster.
func (r *Rules) Prepare() {
	for i := range r.List {
		r.List[i].parts, _ = subjectParts(r.List[i].Subject) // Check has reported any error
	}
}

// capture is the name of a capture and its value.
type capture struct{ name, v string }

// Rules is the ordered list of rules with their defaults.
type Rules struct {
	List         []Rule
	Destinations map[string]uint32 // numbers by name; a name that is not in the map may be a number itself
	Deadline     time.Duration     // for rules without one
	Fallback     *Rule             // applies if no rule matches; nil: such events are rejected
}

// Target is the result of mapping an event.
type Target struct {
	Class, Tenant string
	Destination   uint32
	Key           string // idempotency key; "" for one derived from the event's identity
	Order         string // ordering key; "" for none
	Deadline      time.Duration
}

// maxDestination is the highest number of a destination.
const maxDestination = 1<<16 - 1

// RuleError reports an invalid rule, or a template that can't be filled in.
type RuleError struct{ detail string }

func ruleError(format string, args ...any) error {
	return &RuleError{detail: fmt.Sprintf(format, args...)}
}

// Error returns the setting and the problem with it.
func (e *RuleError) Error() string { return e.detail }

// Errors of rules with contradictory, missing or malformed settings.
var (
	errRefuseExcludes = errors.New("refuse excludes class, tenant, destination, key, order and deadline")
	errTargetNeeded   = errors.New("either class and destination, or refuse must be set")
	errOpenBrace      = errors.New("a { is not closed")
	errCloseBrace     = errors.New("a } closes nothing")
)

// Refusal is the reason why an event is rejected. Rule is the index of the rule that rejected it, -1 if none matched.
type Refusal struct {
	Rule int
	Text string
}

// Error returns the text for the client.
func (r *Refusal) Error() string { return r.Text }

// Check validates a rule. It returns an error for conditions that can't be parsed, contradictory or missing settings, and names in
// templates that are neither captured nor defined.
func (r *Rule) Check() error {
	parts, err := subjectParts(r.Subject)
	if err != nil {
		return fmt.Errorf("subject: %w", err)
	}
	for name, v := range map[string]string{"type": r.Type, "source": r.Source} {
		if strings.Contains(strings.TrimSuffix(v, "*"), "*") {
			return ruleError("%s = %q: a * is allowed only at the end", name, v)
		}
	}
	for name, v := range r.Extensions {
		if strings.Contains(strings.TrimSuffix(v, "*"), "*") {
			return ruleError("extensions.%s = %q: a * is allowed only at the end", name, v)
		}
		if name == "" || strings.Trim(name, "abcdefghijklmnopqrstuvwxyz0123456789") != "" {
			return ruleError("extensions: %q is not an extension name: use only lower-case letters and digits", name)
		}
		if slices.Contains(standard, name) {
			return ruleError("extensions: %s is a standard attribute, not an extension", name)
		}
	}
	var known []string
	for _, p := range parts {
		if p.capture == "" {
			continue
		}
		if slices.Contains(known, p.capture) {
			return ruleError("subject: {%s} is captured twice", p.capture)
		}
		known = append(known, p.capture)
	}
	if r.Refuse != "" {
		if r.Class+r.Tenant+r.Destination+r.Key+r.Order != "" || r.Deadline != 0 {
			return errRefuseExcludes
		}
		return nil
	}
	if r.Class == "" || r.Destination == "" {
		return errTargetNeeded
	}
	for _, f := range []struct{ name, text string }{{"class", r.Class}, {"tenant", r.Tenant}, {"destination", r.Destination}, {"key", r.Key}, {"order", r.Order}} {
		_, err := fill(f.text, func(name string) (string, bool) {
			ext, isExt := strings.CutPrefix(name, "ext.")
			return "", slices.Contains(known, name) || slices.Contains(variables, name) || isExt && ext != ""
		})
		if err != nil {
			return fmt.Errorf("%s = %q: %w", f.name, f.text, err)
		}
	}
	return nil
}

var (
	standard  = []string{"id", "source", "type", "subject", "specversion", "time", "dataschema", "datacontenttype", "data"}
	variables = []string{"type", "source", "id", "subject"}
)

// Reachable looks for an unreachable rule: one for which an earlier rule matches every event that it matches. It returns the indices of
// both. ok is false if all rules are reachable.
func (r *Rules) Reachable() (rule, before int, ok bool) {
	for i := range r.List {
		for j := range r.List[:i] {
			if r.List[j].covers(&r.List[i]) {
				return i, j, true
			}
		}
	}
	return 0, 0, false
}

// covers reports whether r is certain to match every event that other matches.
func (r *Rule) covers(other *Rule) bool {
	wider := func(a, b string) bool {
		p, open := strings.CutSuffix(a, "*")
		return a == "" || a == b || open && strings.HasPrefix(b, p)
	}
	if !wider(r.Type, other.Type) || !wider(r.Source, other.Source) || r.Subject != "" && r.Subject != other.Subject {
		return false
	}
	for name, v := range r.Extensions {
		if o, ok := other.Extensions[name]; !ok || !wider(v, o) {
			return false
		}
	}
	return true
}

// part is one part of a subject pattern: a text, a prefix or a capture.
type part struct {
	text    string // the exact text, or the prefix if open
	open    bool
	capture string // name of the capture, "" if it is none
	rest    bool   // the capture includes all later parts
}

func subjectParts(pattern string) ([]part, error) {
	if pattern == "" {
		return nil, nil
	}
	texts := strings.Split(pattern, "/")
	parts := make([]part, len(texts))
	for i, t := range texts {
		p := &parts[i]
		inner, isCapture := strings.CutPrefix(t, "{")
		switch {
		case isCapture:
			name, closed := strings.CutSuffix(inner, "}")
			name, p.rest = strings.CutSuffix(name, "...")
			if !closed || name == "" || strings.Trim(name, "abcdefghijklmnopqrstuvwxyz0123456789_") != "" || slices.Contains(variables, name) {
				return nil, ruleError("%q is not a valid capture: use {name} of lower-case letters, digits and _, other than %v", t, variables)
			}
			if p.rest && i < len(texts)-1 {
				return nil, ruleError("%q is allowed only at the end", t)
			}
			p.capture = name
		case strings.ContainsAny(t, "{}"):
			return nil, ruleError("%q: a capture must be a whole part", t)
		default:
			p.text, p.open = strings.CutSuffix(t, "*")
			if p.open && i < len(texts)-1 || strings.Contains(p.text, "*") {
				return nil, ruleError("%q: a * is allowed only at the end", t)
			}
		}
	}
	return parts, nil
}

// holds reports whether a condition holds for a value.
func holds(condition, v string) bool {
	if begin, open := strings.CutSuffix(condition, "*"); open {
		return strings.HasPrefix(v, begin)
	}
	return condition == "" || condition == v
}

// match reports whether all conditions hold, and returns the subject's captures. Only if explain is set, it returns the reason
// why the rule does not match.
func (r *Rule) match(e *cloudevents.Event, explain bool) (captured []capture, ok bool, why string) {
	mismatch := func(format string, args ...any) ([]capture, bool, string) {
		if explain {
			return nil, false, fmt.Sprintf(format, args...)
		}
		return nil, false, ""
	}
	if r.Type != "" && !holds(r.Type, e.Get("type")) {
		return mismatch("type %q is not %q", e.Get("type"), r.Type)
	}
	if r.Source != "" && !holds(r.Source, e.Get("source")) {
		return mismatch("source %q is not %q", e.Get("source"), r.Source)
	}
	for _, name := range sortedKeys(r.Extensions) {
		if v := e.Get(name); v == "" || !holds(r.Extensions[name], v) {
			return mismatch("extension %s %q is not %q", name, v, r.Extensions[name])
		}
	}
	if r.Subject == "" {
		return nil, true, ""
	}
	parts := r.parts
	if parts == nil {
		var err error
		if parts, err = subjectParts(r.Subject); err != nil {
			return mismatch("%v", err)
		}
	}
	subject := e.Get("subject")
	differs := func() ([]capture, bool, string) { return mismatch("subject %q is not %q", subject, r.Subject) }
	for i, p := range parts {
		if i > 0 {
			if subject == "" || subject[0] != '/' {
				return differs()
			}
			subject = subject[1:]
		}
		text := subject
		if n := strings.IndexByte(subject, '/'); n >= 0 && !p.rest && !p.open {
			text = subject[:n]
		}
		switch {
		case p.capture != "" && text == "", p.open && !strings.HasPrefix(text, p.text), p.capture == "" && !p.open && text != p.text:
			subject = e.Get("subject")
			return differs()
		case p.capture != "":
			captured = append(captured, capture{p.capture, text})
		}
		subject = subject[len(text):]
	}
	if subject != "" {
		subject = e.Get("subject")
		return differs()
	}
	return captured, true, ""
}

func sortedKeys(m map[string]string) []string {
	if len(m) == 0 {
		return nil
	}
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// fill replaces the {names} in a template by their values; {{ and }} stand for literal braces.
func fill(text string, value func(string) (string, bool)) (string, error) {
	if strings.IndexByte(text, '{') < 0 && strings.IndexByte(text, '}') < 0 {
		return text, nil
	}
	if n := len(text) - 1; text[0] == '{' && n > 1 && text[1] != '{' && strings.IndexByte(text, '}') == n { // the template is a single name
		if v, ok := value(text[1:n]); ok {
			return v, nil
		}
	}
	var b strings.Builder
	for i := 0; i < len(text); i++ {
		c := text[i]
		switch {
		case (c == '{' || c == '}') && i+1 < len(text) && text[i+1] == c:
			b.WriteByte(c)
			i++
		case c == '{':
			n := strings.IndexByte(text[i:], '}')
			if n < 0 {
				return "", errOpenBrace
			}
			name := text[i+1 : i+n]
			v, ok := value(name)
			if !ok {
				return "", ruleError("nothing is called {%s}", name)
			}
			b.WriteString(v)
			i += n
		case c == '}':
			return "", errCloseBrace
		default:
			b.WriteByte(c)
		}
	}
	return b.String(), nil
}

// Find maps an event. rule is the index of the rule that matched, len(List) for the fallback, -1 if none matched. The error is a
// *Refusal.
func (r *Rules) Find(e *cloudevents.Event) (t Target, rule int, err error) {
	for i := range r.List {
		if captured, ok, _ := r.List[i].match(e, false); ok {
			t, err := r.apply(&r.List[i], i, captured, e)
			return t, i, err
		}
	}
	if r.Fallback != nil {
		t, err := r.apply(r.Fallback, len(r.List), nil, e)
		return t, len(r.List), err
	}
	return Target{}, -1, &Refusal{-1, fmt.Sprintf("no rule fits an event of type %q, source %q, subject %q", e.Get("type"), e.Get("source"), e.Get("subject"))}
}

// Explain returns lines that say why each rule before the first match does not match, and then the result of the mapping.
func (r *Rules) Explain(e *cloudevents.Event) []string {
	var lines []string
	for i := range r.List {
		_, ok, why := r.List[i].match(e, true)
		if ok {
			lines = append(lines, r.Name(i)+": fits")
			break
		}
		lines = append(lines, r.Name(i)+": does not fit: "+why)
	}
	t, _, err := r.Find(e)
	if err != nil {
		return append(lines, "turned away: "+err.Error())
	}
	key := t.Key
	if key == "" {
		key = "the event's identity"
	}
	return append(lines, fmt.Sprintf("class %s, tenant %s, destination %d, deadline %v, key %s, order %s",
		t.Class, orNone(t.Tenant), t.Destination, t.Deadline, key, orNone(t.Order)))
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

// Name returns a display name for rule i: its name, or its number from 1.
func (r *Rules) Name(i int) string {
	switch {
	case i >= len(r.List):
		return "default"
	case r.List[i].Name != "":
		return "rule " + r.List[i].Name
	}
	return fmt.Sprintf("rule %d", i+1)
}

// apply returns the Target of an event by a rule.
func (r *Rules) apply(rule *Rule, i int, captured []capture, e *cloudevents.Event) (Target, error) {
	refuse := func(format string, args ...any) (Target, error) {
		return Target{}, &Refusal{i, r.Name(i) + ": " + fmt.Sprintf(format, args...)}
	}
	if rule.Refuse != "" {
		return refuse("%s", rule.Refuse)
	}
	lookup := func(name string) (string, bool) {
		for _, c := range captured {
			if c.name == name {
				return c.v, true
			}
		}
		if ext, ok := strings.CutPrefix(name, "ext."); ok {
			name = ext
		}
		v := e.Get(name)
		return v, v != ""
	}
	t := Target{Deadline: rule.Deadline}
	if t.Deadline == 0 {
		t.Deadline = r.Deadline
	}
	destination := ""
	for _, f := range [...]struct {
		name, text string
		into       *string
	}{{"class", rule.Class, &t.Class}, {"tenant", rule.Tenant, &t.Tenant}, {"destination", rule.Destination, &destination}, {"key", rule.Key, &t.Key}, {"order", rule.Order, &t.Order}} {
		if f.text == "" {
			continue
		}
		v, err := fill(f.text, lookup)
		if err != nil {
			return refuse("%s = %q: %v in this event", f.name, f.text, err)
		}
		*f.into = v
	}
	if n, ok := r.Destinations[destination]; ok {
		t.Destination = n
		return t, nil
	}
	n, err := strconv.ParseUint(destination, 10, 32)
	if err != nil || n > maxDestination {
		return refuse("destination %q is neither a number up to %d nor named in destinations", destination, maxDestination)
	}
	t.Destination = uint32(n)
	return t, nil
}

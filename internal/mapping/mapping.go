// Package mapping finds out what an event is to this sender: its class, tenant, destination, deadline and keys, by
// ordered rules that operators write. It does no I/O and knows no clock.
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

// Rule is one rule. The first whose conditions all hold is the one; an empty condition always holds.
type Rule struct {
	Name string

	// Conditions. One that ends with * holds for all that begin with what stands before it; any other, for what is
	// equal. Subject is split at slashes, and a part such as {member} holds for any one part that is not empty and
	// captures it; {rest...} as the last captures all that is left.
	Type, Source, Subject string
	Extensions            map[string]string

	// Refuse, if not empty, turns the event away with this text.
	Refuse string

	// What the event is, with {name} for what was captured, {type}, {source}, {id}, {subject} and {ext.NAME}.
	Class, Tenant, Destination, Key, Order string
	Deadline                               time.Duration // 0: the rules' default

	parts []part // of the subject, once it was prepared
}

// Prepare readies rules that were checked for Find, which is slower without.
func (r *Rules) Prepare() {
	for i := range r.List {
		r.List[i].parts, _ = subjectParts(r.List[i].Subject) // what can't be read was found by Check
	}
}

// capture is a name and what it stands for.
type capture struct{ name, v string }

// Rules is all of them.
type Rules struct {
	List         []Rule
	Destinations map[string]uint32 // numbers by name; a name that is a number stands for itself
	Deadline     time.Duration     // where a rule states none
	Fallback     *Rule             // where none matches; nil: such an event is rejected
}

// Target is what an event is to this sender.
type Target struct {
	Class, Tenant string
	Destination   uint32
	Key           string // idempotency key; "" for the event's identity
	Order         string // key of the order; "" for none
	Deadline      time.Duration
}

// maxDestination is the highest number of a destination.
const maxDestination = 1<<16 - 1

// RuleError is a rule that can't be as it is, or a template that can't be filled in.
type RuleError struct{ detail string }

func ruleError(format string, args ...any) error {
	return &RuleError{detail: fmt.Sprintf(format, args...)}
}

// Error names the setting and what is wrong with it.
func (e *RuleError) Error() string { return e.detail }

// Errors of rules that name too much or too little.
var (
	errRefuseExcludes = errors.New("refuse excludes class, tenant, destination, key, order and deadline")
	errTargetNeeded   = errors.New("class and destination are needed, or refuse")
	errOpenBrace      = errors.New("a { is not closed")
	errCloseBrace     = errors.New("a } closes nothing")
)

// Refusal is why an event is rejected. Rule is the index of the rule that did so, -1 where none matched.
type Refusal struct {
	Rule int
	Text string
}

// Error returns the text for the client.
func (r *Refusal) Error() string { return r.Text }

// Check returns a *RuleError for a rule that can't be as it is: conditions that can't be parsed, or names that nothing captures.
func (r *Rule) Check() error {
	parts, err := subjectParts(r.Subject)
	if err != nil {
		return fmt.Errorf("subject: %w", err)
	}
	for name, v := range map[string]string{"type": r.Type, "source": r.Source} {
		if strings.Contains(strings.TrimSuffix(v, "*"), "*") {
			return ruleError("%s = %q: a * stands at the end only", name, v)
		}
	}
	for name, v := range r.Extensions {
		if strings.Contains(strings.TrimSuffix(v, "*"), "*") {
			return ruleError("extensions.%s = %q: a * stands at the end only", name, v)
		}
		if name == "" || strings.Trim(name, "abcdefghijklmnopqrstuvwxyz0123456789") != "" {
			return ruleError("extensions: %q is no name of an extension: lower-case letters and digits", name)
		}
		if slices.Contains(standard, name) {
			return ruleError("extensions: %s is an attribute of every event and no extension", name)
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

// Reachable returns a rule that no event can reach, as a rule before it matches all that it matches; ok is false if there is none.
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

// covers reports whether r surely matches all that other matches.
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

// part is one part of a subject's pattern.
type part struct {
	text    string // equal to this, or, if open, beginning with it
	open    bool
	capture string // or any, captured by this name
	rest    bool   // with all behind it
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
				return nil, ruleError("%q is no capture: {name} of lower-case letters, digits and _, and none of %v", t, variables)
			}
			if p.rest && i < len(texts)-1 {
				return nil, ruleError("%q stands at the end only", t)
			}
			p.capture = name
		case strings.ContainsAny(t, "{}"):
			return nil, ruleError("%q: a capture is a part by itself", t)
		default:
			p.text, p.open = strings.CutSuffix(t, "*")
			if p.open && i < len(texts)-1 || strings.Contains(p.text, "*") {
				return nil, ruleError("%q: a * stands at the end only", t)
			}
		}
	}
	return parts, nil
}

// holds is whether a condition holds for a value.
func holds(condition, v string) bool {
	if begin, open := strings.CutSuffix(condition, "*"); open {
		return strings.HasPrefix(v, begin)
	}
	return condition == "" || condition == v
}

// match reports whether all conditions hold, with the subject's captures. It tells why not only if asked.
func (r *Rule) match(e *cloudevents.Event, tell bool) (captured []capture, ok bool, why string) {
	no := func(format string, args ...any) ([]capture, bool, string) {
		if tell {
			return nil, false, fmt.Sprintf(format, args...)
		}
		return nil, false, ""
	}
	if r.Type != "" && !holds(r.Type, e.Get("type")) {
		return no("type %q is not %q", e.Get("type"), r.Type)
	}
	if r.Source != "" && !holds(r.Source, e.Get("source")) {
		return no("source %q is not %q", e.Get("source"), r.Source)
	}
	for _, name := range sortedKeys(r.Extensions) {
		if v := e.Get(name); v == "" || !holds(r.Extensions[name], v) {
			return no("extension %s %q is not %q", name, v, r.Extensions[name])
		}
	}
	if r.Subject == "" {
		return nil, true, ""
	}
	parts := r.parts
	if parts == nil {
		var err error
		if parts, err = subjectParts(r.Subject); err != nil {
			return no("%v", err)
		}
	}
	subject := e.Get("subject")
	differs := func() ([]capture, bool, string) { return no("subject %q is not %q", subject, r.Subject) }
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

// fill replaces the {names} in a template by values. {{ and }} are braces.
func fill(text string, value func(string) (string, bool)) (string, error) {
	if strings.IndexByte(text, '{') < 0 && strings.IndexByte(text, '}') < 0 {
		return text, nil
	}
	if n := len(text) - 1; text[0] == '{' && n > 1 && text[1] != '{' && strings.IndexByte(text, '}') == n { // one name alone
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

// Find maps an event. rule is the place of the rule that fitted, len(List) for the fallback.
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

// Explain tells of each rule up to the first that matches why it does not, and then what that one makes of the event.
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

// Name is how a rule is called: by its name, or by its place.
func (r *Rules) Name(i int) string {
	switch {
	case i >= len(r.List):
		return "default"
	case r.List[i].Name != "":
		return "rule " + r.List[i].Name
	}
	return fmt.Sprintf("rule %d", i+1)
}

// apply fills in what a rule makes of an event.
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

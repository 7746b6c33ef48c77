package tierdemo

import (
	"fmt"
	"strings"
	"sync"
)

// Rule is a promise of the tier that a rehearsal checks.
type Rule int

// The rules.
const (
	TurnLost Rule = iota
	RunTwice
	RunRefused
	BudgetPassed
	Mixed
	ConfigurationLost
	ruleCount
)

var ruleNames = [ruleCount]string{"no turn is lost", "none runs twice", "none runs that was refused", "no budget is passed", "nothing is mixed",
	"acknowledged configurations are in force"}

func (r Rule) String() string { return ruleNames[r] }

// Verdict is what was found about a rule.
type Verdict struct {
	Rule    Rule
	Checked int      // times that it was looked at
	Broken  int      // times that it was broken
	How     []string // the first of them
}

const howMost = 5

// try is one request as a program sends it, with an id of its own.
type try struct {
	id         string
	program    *budget // of a turn; nil: a call of a tool
	path       string
	previous   string // turn that it goes on from
	input      string
	repeatable bool

	ran     int
	output  string // of a turn: data of its events, each with a line feed
	events  []string
	ended   bool // its endpoint has ended it whole
	kept    bool // its client has had it whole
	refused int  // status by which its client was promised that it does not run
}

// budget is what the turns of a program may generate together, in tokens.
type budget struct {
	limit, most, used int
}

// witness sees what programs send and get and what endpoints run, and finds rules that are broken. Programs and endpoints are
// of one process, so that it needs no messages: what an endpoint does is known here before its bytes leave.
type witness struct {
	mu       sync.Mutex
	tries    map[string]*try
	verdicts [ruleCount]Verdict
}

func newWitness() *witness {
	w := &witness{tries: map[string]*try{}}
	for r := range w.verdicts {
		w.verdicts[r].Rule = Rule(r)
	}
	return w
}

func (w *witness) verdict() []Verdict {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Verdict(nil), w.verdicts[:]...)
}

// check notes that a rule was looked at, and how it was broken if it was not kept. The caller holds mu.
func (w *witness) check(r Rule, kept bool, how string, args ...any) {
	v := &w.verdicts[r]
	v.Checked++
	if kept {
		return
	}
	v.Broken++
	if len(v.How) < howMost {
		v.How = append(v.How, fmt.Sprintf(how, args...))
	}
}

// checkOutside is check for whom does not hold mu.
func (w *witness) checkOutside(r Rule, kept bool, how string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.check(r, kept, how, args...)
}

// sent notes a try before it is sent.
func (w *witness) sent(t try) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tries[t.id] = &t
}

// chain is the text that stands before a turn's input: inputs and outputs of the turns that it goes on from, the oldest first.
func (w *witness) chain(previous string) string {
	var parts []string
	for t := w.tries[previous]; t != nil; t = w.tries[t.previous] {
		parts = append(parts, t.input+t.output)
	}
	var b strings.Builder
	for i := len(parts) - 1; i >= 0; i-- {
		b.WriteString(parts[i])
	}
	return b.String()
}

// ran notes that an endpoint of a service begins to run a request.
func (w *witness) ran(id, service, path, body string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.tries[id]
	w.check(Mixed, t != nil, "an endpoint ran %q, which nobody sent", id)
	if t == nil {
		return
	}
	t.ran++
	w.check(RunTwice, t.repeatable || t.ran == 1, "%s ran %d times", id, t.ran)
	w.check(RunRefused, t.refused == 0, "%s ran after %d", id, t.refused)
	w.check(Mixed, path == t.path && (service == modelService) == (t.program != nil), "%s for %s ran at %s of service %s", id, t.path, path, service)
	if t.program == nil {
		w.check(Mixed, body == t.input, "%s: the call's body was changed", id)
		return
	}
	want := w.chain(t.previous) + t.input
	w.check(Mixed, body == want, "%s: the turn's body is not its chain: %d bytes for %d", id, len(body), len(want))
	if body != want && t.previous != "" {
		w.check(TurnLost, strings.HasPrefix(body, w.chain(t.previous)), "%s: what came before %s is lacking", t.previous, id)
	}
}

// event notes data that an endpoint is about to send.
func (w *witness) event(id, data string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t := w.tries[id]; t != nil {
		t.events = append(t.events, data)
		t.output += data + "\n"
	}
}

// ended notes that an endpoint is about to end a request whole.
func (w *witness) ended(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t := w.tries[id]; t != nil {
		t.ended = true
	}
}

// got notes what a client had of a try. Its tokens are counted whether it is whole or not.
func (w *witness) got(id string, a answer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.tries[id]
	if t == nil {
		return
	}
	switch a.status {
	case 402, 408, 421, 429, 503:
		t.refused = a.status
		w.check(RunRefused, t.ran == 0, "%s was refused with %d, and had run", id, a.status)
	case 404, 410:
		if before := w.tries[t.previous]; before != nil && before.kept {
			w.check(TurnLost, false, "%s was whole, and is not known any more", t.previous)
		}
	}
	if a.status/100 != 2 {
		return
	}
	w.check(Mixed, a.signature == signature(id) && t.ran > 0, "%s got the answer %q", id, a.signature)
	if t.program == nil {
		if a.whole {
			w.check(Mixed, a.body == toolAnswer(id, t.input), "%s got another body", id)
		}
		return
	}
	prefix := len(a.events) <= len(t.events)
	for i := 0; prefix && i < len(a.events); i++ {
		prefix = a.events[i] == t.events[i]
	}
	w.check(Mixed, prefix && a.inOrder, "%s: its events are not those that its endpoint sent", id)
	if a.whole {
		w.check(Mixed, t.ended && len(a.events) == len(t.events), "%s: %d events of %d look whole", id, len(a.events), len(t.events))
		t.kept = true
		if t.previous != "" {
			w.check(TurnLost, true, "")
		}
	}
	b := t.program
	b.used += len(a.events) * tokensPerEvent
	w.check(BudgetPassed, b.used <= b.limit+b.most, "%d tokens of %d", b.used, b.limit)
}

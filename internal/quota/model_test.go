package quota

import (
	"fmt"
	"hash/maphash"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"saffronyard.example/saffronyard/internal/lease"
)

// The model plays one limit with the code that ships (Purse, Book) against every order of what can happen, breadth first: questions and
// answers are late, lost or come twice, holders stand still, use what they have at any moment, crash and come back; the authority
// is replaced by one that knows nothing, once the old one lends no more, while its answers are still under way. What a
// receiver sees is kept beside: in no span are there more uses than units.

const tick = time.Second

// fault is what a wrong program does.
type fault string

const (
	none          fault = ""
	fromAnswer    fault = "a loan is counted from its answer"
	fromFull      fault = "a new authority starts from full"
	noTail        fault = "what lapses does not rest"
	noRest        fault = "a unit is used again at once"
	checkedAtTick fault = "a loan is looked at when the holder wakes, not when it writes"
	oldAnswers    fault = "an answer to an older question is taken"
	oldQuestions  fault = "a question that was overtaken counts"
	halfPromise   fault = "what is let go is said to be free while it rests"
	lifeIgnored   fault = "a new process is taken for the old one"
	keepsMore     fault = "a holder goes on with more than it promised"
	claimsTwice   fault = "what is held is claimed, and the free units are lent as well"
)

type modelAsk struct {
	life  uint64
	at    time.Duration
	ask   Request
	epoch int
	heard bool
}

type modelLent struct {
	life  uint64
	seq   uint64
	at    time.Duration
	epoch int
	lent  Grant
}

type holder struct {
	life  uint64
	purse *Allowance
	seq   uint64
	at    time.Duration // when it asked last
	asked int           // under which epoch
	epoch int           // that it knows
	woke  time.Duration
	ask   *modelAsk
	lent  *modelLent
}

type world struct {
	now     int
	epoch   int
	book    *GrantTable
	holders [2]holder
	crashes int
	repeats int
	uses    []int // ticks of uses that are within a span
}

type model struct {
	fault   fault
	limit   Limit
	ticks   int
	epochs  int
	crashes int
	repeats int
	wants   [2]int64
}

var modelTerms = Terms{Duration: 2 * tick}

func (m *model) first() *world {
	w := &world{book: NewGrantTable(m.limit, modelTerms, 0)}
	for i := range w.holders {
		w.holders[i] = holder{life: 1, purse: NewAllowance(m.limit, 0, false, 0)}
	}
	return w
}

func (w *world) clock() time.Duration { return time.Duration(w.now+10) * tick }

func (w *world) clone() *world {
	c := *w
	c.uses = slices.Clone(w.uses)
	return &c
}

var seed = maphash.MakeSeed()

func (m *model) key(w *world) [2]uint64 {
	now := w.clock()
	b := []byte{byte(w.now), byte(w.epoch), byte(w.crashes), byte(w.repeats)}
	for _, u := range w.uses {
		b = append(b, byte(w.now-u), 'u')
	}
	b = w.book.AppendState(b, now)
	for i := range w.holders {
		h := &w.holders[i]
		b = h.purse.AppendState(append(b, byte(h.life), byte(h.seq), byte(h.asked), byte(h.epoch), byte((now-h.at)/tick)), now)
		if m.fault == checkedAtTick {
			b = append(b, byte(h.woke/tick))
		}
		if a := h.ask; a != nil && (!a.heard || w.repeats < m.repeats || m.fault == oldQuestions) {
			b = append(b, 'a', byte(a.life), byte((now-a.at)/tick), byte(a.epoch), byte(a.ask.Sequence), byte(a.ask.Held), byte(a.ask.Cooling), byte(a.ask.CoolingTime/(tick/4)), byte(a.ask.Wanted))
			if a.heard {
				b = append(b, 'h')
			}
		}
		if l := h.lent; l != nil {
			b = append(b, 'l', byte(l.life), byte((now-l.at)/tick), byte(l.epoch), byte(l.seq), byte(l.lent.Units), byte(l.lent.Duration/(tick/4)))
		}
	}
	return [2]uint64{maphash.Bytes(seed, b), maphash.Bytes(seed, append(b, '#'))}
}

func (m *model) next(w *world, visit func(what string, n *world, broken string)) {
	do := func(what string, change func(n *world) string) {
		n := w.clone()
		if broken := change(n); broken != "-" {
			visit(what, n, broken)
		}
	}
	if w.now < m.ticks {
		do("a second goes by", func(n *world) string {
			n.now++
			n.book = n.book.Clone() // what is over is let go of as it is looked at, and the clocks of two worlds differ
			for i := range n.holders {
				n.holders[i].purse = n.holders[i].purse.Clone()
			}
			n.uses = slices.DeleteFunc(n.uses, func(at int) bool { return time.Duration(n.now-at)*tick >= m.limit.Span })
			return ""
		})
	}
	if w.epoch < m.epochs {
		do("another authority begins", func(n *world) string {
			n.epoch++
			quiet := n.clock() + modelTerms.GracePeriod(m.limit)
			if m.fault == fromFull {
				quiet = 0
			}
			n.book = NewGrantTable(m.limit, modelTerms, quiet)
			return ""
		})
	}
	for i := range w.holders {
		m.holder(w, i, do)
	}
}

func (m *model) holder(w *world, i int, do func(string, func(*world) string)) {
	h := &w.holders[i]
	name := string(rune('a' + i))
	if h.epoch < w.epoch {
		do(name+" hears of the new authority", func(n *world) string {
			t := &n.holders[i]
			t.epoch, t.woke = n.epoch, n.clock()
			if m.fault != oldAnswers {
				t.at = -1 // its question is over
			}
			return ""
		})
	}
	if h.ask == nil || h.ask.at != w.clock() || h.ask.epoch != h.epoch || h.ask.life != h.life {
		for _, keep := range []int64{m.limit.Units, 0} {
			do(fmt.Sprintf("%s asks, and keeps up to %d", name, keep), func(n *world) string {
				t := &n.holders[i]
				t.purse = t.purse.Clone()
				t.seq++
				t.at, t.asked, t.woke = n.clock(), t.epoch, n.clock()
				before := t.purse.Clone()
				q := Request{Sequence: t.seq, Wanted: m.wants[i], MinUseful: 1}
				q.Held, q.Cooling, q.CoolingTime = t.purse.Relinquish(keep, n.clock())
				switch m.fault {
				case halfPromise:
					q.Cooling = 0
				case keepsMore:
					t.purse = before
				}
				t.ask = &modelAsk{t.life, t.at, q, t.epoch, false}
				return ""
			})
		}
	}
	if a := h.ask; a != nil && (!a.heard || w.repeats < m.repeats) && a.epoch == w.epoch {
		do("the authority hears "+name, func(n *world) string {
			t := &n.holders[i]
			n.book = n.book.Clone()
			q := *t.ask
			if q.heard {
				n.repeats++
			}
			q.heard = true
			t.ask = &q
			life := q.life
			if m.fault == lifeIgnored {
				life = 0
			}
			if m.fault == noTail || m.fault == noRest {
				n.book.limit.Span = 0
			}
			if acc := n.book.clients[lease.HolderID{Name: name, Incarnation: life}]; acc != nil && (m.fault == oldQuestions || m.fault == lifeIgnored) {
				acc.sequence = 0
			}
			if m.fault == claimsTwice && n.clock() < n.book.graceUntil {
				n.book.graceUntil = 0
			}
			l, ok := n.book.Grant(lease.HolderID{Name: name, Incarnation: life}, q.ask, n.clock())
			n.book.limit.Span = m.limit.Span
			if ok {
				t.lent = &modelLent{q.life, q.ask.Sequence, q.at, q.epoch, l}
			}
			return ""
		})
	}
	if l := h.lent; l != nil && l.life == h.life {
		do(name+" hears what it is lent", func(n *world) string {
			t := &n.holders[i]
			t.lent, t.woke = nil, n.clock()
			if m.fault != oldAnswers && (t.at != l.at || t.seq != l.seq || t.epoch != l.epoch) {
				return "" // not the answer to what it asked last
			}
			at := l.at
			if m.fault == fromAnswer {
				at = n.clock()
			}
			t.purse = t.purse.Clone()
			t.purse.Renew(l.lent.Units, at, l.lent.Duration, n.clock())
			return ""
		})
	}
	do(name+" uses a unit", func(n *world) string {
		t := &n.holders[i]
		t.purse = t.purse.Clone()
		now := n.clock()
		if m.fault == checkedAtTick {
			now = max(t.woke, t.purse.expiresAt-2*tick)
		}
		if m.fault == noRest {
			t.purse.usageLog, t.purse.cooling = nil, 0
		}
		if !t.purse.Take(1, now) {
			return "-"
		}
		n.uses = append(n.uses, n.now)
		if int64(len(n.uses)) > m.limit.Units {
			return fmt.Sprintf("%d uses in a span, of %d units", len(n.uses), m.limit.Units)
		}
		return ""
	})
	if w.crashes < m.crashes {
		do(name+" crashes and comes back", func(n *world) string {
			n.crashes++
			t := &n.holders[i]
			t.life++
			t.purse, t.at, t.woke = NewAllowance(m.limit, 0, false, n.clock()), -1, n.clock()
			t.seq = 0
			return ""
		})
	}
}

// explore walks the states that so many steps lead to, breadth first, and gives the first trace that breaks the limit.
func (m *model) explore(steps, most int) (layers []int, trace []string, why string) {
	type from struct {
		parent [2]uint64
		what   string
	}
	first := m.first()
	seen := map[[2]uint64]from{m.key(first): {}}
	for layer := []*world{first}; len(layer) > 0 && len(layers) < steps && len(seen) < most; {
		var below []*world
		for _, w := range layer {
			parent := m.key(w)
			m.next(w, func(what string, n *world, broken string) {
				if why != "" {
					return
				}
				k := m.key(n)
				if _, ok := seen[k]; ok && broken == "" {
					return
				}
				seen[k] = from{parent, what}
				if broken != "" {
					why = broken
					for f := (from{parent, what}); f.what != ""; f = seen[f.parent] {
						trace = append(trace, f.what)
					}
					slices.Reverse(trace)
					return
				}
				below = append(below, n)
			})
			if why != "" {
				return layers, trace, why
			}
		}
		layer, layers = below, append(layers, len(below))
	}
	return layers, nil, ""
}

func sum(all []int) (n int) {
	for _, v := range all {
		n += v
	}
	return n + 1
}

var one = Limit{Key: "x", Units: 1, Span: tick}

// No order of events breaks a limit, within the steps named. SAFFRONYARD_MODEL_STEPS goes further (docs/design/quota.md has counts).
func TestModelHolds(t *testing.T) {
	for name, m := range map[string]*model{
		"one unit":                  {limit: one, ticks: 6, wants: [2]int64{1, 1}},
		"one unit, a new authority": {limit: one, ticks: 5, epochs: 1, wants: [2]int64{1, 1}},
		"one unit, a crash":         {limit: one, ticks: 5, crashes: 1, repeats: 1, wants: [2]int64{1, 1}},
		"three units":               {limit: Limit{Key: "x", Units: 3, Span: tick}, ticks: 4, epochs: 1, wants: [2]int64{2, 3}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			steps := 9
			if n, err := strconv.Atoi(os.Getenv("SAFFRONYARD_MODEL_STEPS")); err == nil {
				steps = n
			}
			layers, trace, why := m.explore(steps, 1<<62)
			if why != "" {
				t.Fatalf("%s, after\n  %s", why, strings.Join(trace, "\n  "))
			}
			t.Logf("%d states within %d steps: %v", sum(layers), steps, layers)
		})
	}
}

// Each wrong program is found, by a shortest trace.
func TestModelFindsFaults(t *testing.T) {
	for _, f := range []fault{fromAnswer, fromFull, noTail, noRest, checkedAtTick, oldAnswers, oldQuestions, halfPromise, lifeIgnored, keepsMore, claimsTwice} {
		t.Run(string(f), func(t *testing.T) {
			t.Parallel()
			m := &model{fault: f, limit: one, ticks: 2, wants: [2]int64{1, 1}}
			switch f {
			case fromFull, claimsTwice, oldAnswers:
				m.epochs = 1
			case fromAnswer:
				m.ticks = 3
			case noTail:
				m.ticks, m.limit.Span = 3, 2*tick
			case lifeIgnored:
				m.crashes = 1
			case oldQuestions:
				m.repeats = 1
			}
			layers, trace, why := m.explore(40, 3_000_000)
			if why == "" {
				t.Fatalf("not found in %d states: %v", sum(layers), layers)
			}
			t.Logf("%d states, %d steps: %s\n  %s", sum(layers), len(trace), why, strings.Join(trace, "\n  "))
		})
	}
}

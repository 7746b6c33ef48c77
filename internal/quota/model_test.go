package quota

import (
	"fmt"
	"hash/maphash"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"saffronyard.example/saffronyard/internal/lease"
	"saffronyard.example/saffronyard/internal/modelcheck"
)

// The model plays one limit with the code that ships (Purse, Book) against every order of what can happen, breadth first: questions and
// answers are late, lost or come twice, clients stand still, use what they have at any moment, crash and restart; the owner
// is replaced by one that knows nothing, once the old one lends no more, while its answers are still under way. What a
// receiver sees is kept beside: in no span are there more uses than units.

const tick = time.Second

// fault is what a wrong program does.
type fault string

const (
	none                fault = ""
	countedFromReply    fault = "a loan is counted from its answer"
	noGracePeriod       fault = "a new authority starts from full"
	noReclaimDelay      fault = "what lapses does not rest"
	noCoolDown          fault = "a unit is used again at once"
	checkedAtWake       fault = "a loan is looked at when the holder wakes, not when it writes"
	staleReplies        fault = "an answer to an older question is taken"
	staleRequests       fault = "a question that was overtaken counts"
	coolingReportedFree fault = "what is let go is said to be free while it rests"
	incarnationIgnored  fault = "a new process is taken for the old one"
	keepsMoreThanTold   fault = "a holder goes on with more than it promised"
	confirmsAndGrants   fault = "what is held is claimed, and the free units are lent as well"
)

type modelRequest struct {
	incarnation uint64
	at          time.Duration
	request     Request
	epoch       int
	received    bool
}

type modelGrant struct {
	incarnation uint64
	sequence    uint64
	at          time.Duration
	epoch       int
	grant       Grant
}

type modelClient struct {
	incarnation  uint64
	allowance    *Allowance
	sequence     uint64
	requestedAt  time.Duration // when it asked last
	requestEpoch int           // under which epoch
	epoch        int           // that it knows
	wokeAt       time.Duration
	request      *modelRequest
	grant        *modelGrant
}

type world struct {
	now     int
	epoch   int
	table   *GrantTable
	clients [2]modelClient
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

// First is the state before the first step.
func (m *model) First() *world {
	w := &world{table: NewGrantTable(m.limit, modelTerms, 0)}
	for i := range w.clients {
		w.clients[i] = modelClient{incarnation: 1, allowance: NewAllowance(m.limit, 0, false, 0)}
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

// Key encodes the state as it matters from now on.
func (m *model) Key(w *world) modelcheck.Key {
	now := w.clock()
	b := []byte{byte(w.now), byte(w.epoch), byte(w.crashes), byte(w.repeats)}
	for _, u := range w.uses {
		b = append(b, byte(w.now-u), 'u')
	}
	b = w.table.AppendState(b, now)
	for i := range w.clients {
		h := &w.clients[i]
		b = h.allowance.AppendState(append(b, byte(h.incarnation), byte(h.sequence), byte(h.requestEpoch), byte(h.epoch), byte((now-h.requestedAt)/tick)), now)
		if m.fault == checkedAtWake {
			b = append(b, byte(h.wokeAt/tick))
		}
		if a := h.request; a != nil && (!a.received || w.repeats < m.repeats || m.fault == staleRequests) {
			b = append(b, 'a', byte(a.incarnation), byte((now-a.at)/tick), byte(a.epoch), byte(a.request.Sequence), byte(a.request.Held), byte(a.request.Cooling), byte(a.request.CoolingTime/(tick/4)), byte(a.request.Wanted))
			if a.received {
				b = append(b, 'h')
			}
		}
		if l := h.grant; l != nil {
			b = append(b, 'l', byte(l.incarnation), byte((now-l.at)/tick), byte(l.epoch), byte(l.sequence), byte(l.grant.Units), byte(l.grant.Duration/(tick/4)))
		}
	}
	return modelcheck.Key{maphash.Bytes(seed, b), maphash.Bytes(seed, append(b, '#'))}
}

// Next is all that can happen.
func (m *model) Next(w *world, visit func(what string, n *world, broken string)) {
	do := func(what string, change func(n *world) string) {
		n := w.clone()
		if broken := change(n); broken != "-" {
			visit(what, n, broken)
		}
	}
	if w.now < m.ticks {
		do("a second goes by", func(n *world) string {
			n.now++
			n.table = n.table.Clone() // what is over is let go of as it is looked at, and the clocks of two worlds differ
			for i := range n.clients {
				n.clients[i].allowance = n.clients[i].allowance.Clone()
			}
			n.uses = slices.DeleteFunc(n.uses, func(at int) bool { return time.Duration(n.now-at)*tick >= m.limit.Span })
			return ""
		})
	}
	if w.epoch < m.epochs {
		do("another authority begins", func(n *world) string {
			n.epoch++
			quiet := n.clock() + modelTerms.GracePeriod(m.limit)
			if m.fault == noGracePeriod {
				quiet = 0
			}
			n.table = NewGrantTable(m.limit, modelTerms, quiet)
			return ""
		})
	}
	for i := range w.clients {
		m.clientEvents(w, i, do)
	}
}

func (m *model) clientEvents(w *world, i int, do func(string, func(*world) string)) {
	h := &w.clients[i]
	name := string(rune('a' + i))
	if h.epoch < w.epoch {
		do(name+" hears of the new authority", func(n *world) string {
			t := &n.clients[i]
			t.epoch, t.wokeAt = n.epoch, n.clock()
			if m.fault != staleReplies {
				t.requestedAt = -1 // its question is over
			}
			return ""
		})
	}
	if h.request == nil || h.request.at != w.clock() || h.request.epoch != h.epoch || h.request.incarnation != h.incarnation {
		for _, keep := range []int64{m.limit.Units, 0} {
			do(fmt.Sprintf("%s asks, and keeps up to %d", name, keep), func(n *world) string {
				t := &n.clients[i]
				t.allowance = t.allowance.Clone()
				t.sequence++
				t.requestedAt, t.requestEpoch, t.wokeAt = n.clock(), t.epoch, n.clock()
				before := t.allowance.Clone()
				q := Request{Sequence: t.sequence, Wanted: m.wants[i], MinUseful: 1}
				q.Held, q.Cooling, q.CoolingTime = t.allowance.Relinquish(keep, n.clock())
				switch m.fault {
				case coolingReportedFree:
					q.Cooling = 0
				case keepsMoreThanTold:
					t.allowance = before
				default:
				}
				t.request = &modelRequest{t.incarnation, t.requestedAt, q, t.epoch, false}
				return ""
			})
		}
	}
	if a := h.request; a != nil && (!a.received || w.repeats < m.repeats) && a.epoch == w.epoch {
		do("the authority hears "+name, func(n *world) string {
			t := &n.clients[i]
			n.table = n.table.Clone()
			q := *t.request
			if q.received {
				n.repeats++
			}
			q.received = true
			t.request = &q
			life := q.incarnation
			if m.fault == incarnationIgnored {
				life = 0
			}
			if m.fault == noReclaimDelay || m.fault == noCoolDown {
				n.table.limit.Span = 0
			}
			if acc := n.table.clients[lease.HolderID{Name: name, Incarnation: life}]; acc != nil && (m.fault == staleRequests || m.fault == incarnationIgnored) {
				acc.sequence = 0
			}
			if m.fault == confirmsAndGrants && n.clock() < n.table.graceUntil {
				n.table.graceUntil = 0
			}
			l, ok := n.table.Grant(lease.HolderID{Name: name, Incarnation: life}, q.request, n.clock())
			n.table.limit.Span = m.limit.Span
			if ok {
				t.grant = &modelGrant{q.incarnation, q.request.Sequence, q.at, q.epoch, l}
			}
			return ""
		})
	}
	if l := h.grant; l != nil && l.incarnation == h.incarnation {
		do(name+" hears what it is lent", func(n *world) string {
			t := &n.clients[i]
			t.grant, t.wokeAt = nil, n.clock()
			if m.fault != staleReplies && (t.requestedAt != l.at || t.sequence != l.sequence || t.epoch != l.epoch) {
				return "" // not the answer to what it asked last
			}
			at := l.at
			if m.fault == countedFromReply {
				at = n.clock()
			}
			t.allowance = t.allowance.Clone()
			t.allowance.Renew(l.grant.Units, at, l.grant.Duration, n.clock())
			return ""
		})
	}
	do(name+" uses a unit", func(n *world) string {
		t := &n.clients[i]
		t.allowance = t.allowance.Clone()
		now := n.clock()
		if m.fault == checkedAtWake {
			now = max(t.wokeAt, t.allowance.expiresAt-2*tick)
		}
		if m.fault == noCoolDown {
			t.allowance.usageLog, t.allowance.cooling = nil, 0
		}
		if !t.allowance.Take(1, now) {
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
			t := &n.clients[i]
			t.incarnation++
			t.allowance, t.requestedAt, t.wokeAt = NewAllowance(m.limit, 0, false, n.clock()), -1, n.clock()
			t.sequence = 0
			return ""
		})
	}
}

var one = Limit{Key: "x", Units: 1, Span: tick}

// No order of events breaks a limit, within the steps named. SAFFRONYARD_MODEL_STEPS goes further (docs/design/quota.md has counts).
func TestModel_LimitHolds(t *testing.T) {
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
			r := modelcheck.Explore(m, steps, math.MaxInt)
			if r.Broken != "" {
				t.Fatalf("%s, after\n  %s", r.Broken, strings.Join(r.Trace, "\n  "))
			}
			t.Logf("%d states within %d steps: %v", r.States, steps, r.Layers)
		})
	}
}

// Each wrong program is found, by a shortest trace.
func TestModel_FindsFaults(t *testing.T) {
	for _, f := range []fault{countedFromReply, noGracePeriod, noReclaimDelay, noCoolDown, checkedAtWake, staleReplies, staleRequests, coolingReportedFree, incarnationIgnored, keepsMoreThanTold, confirmsAndGrants} {
		t.Run(string(f), func(t *testing.T) {
			t.Parallel()
			m := &model{fault: f, limit: one, ticks: 2, wants: [2]int64{1, 1}}
			switch f {
			case noGracePeriod, confirmsAndGrants, staleReplies:
				m.epochs = 1
			case countedFromReply:
				m.ticks = 3
			case noReclaimDelay:
				m.ticks, m.limit.Span = 3, 2*tick
			case incarnationIgnored:
				m.crashes = 1
			case staleRequests:
				m.repeats = 1
			default:
			}
			r := modelcheck.Explore(m, 40, 3_000_000)
			if r.Broken == "" {
				t.Fatalf("not found in %d states: %v", r.States, r.Layers)
			}
			t.Logf("%d states, %d steps: %s\n  %s", r.States, len(r.Trace), r.Broken, strings.Join(r.Trace, "\n  "))
		})
	}
}

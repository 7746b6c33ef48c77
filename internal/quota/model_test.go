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

// The model runs the production code of one limit (Allowance, GrantTable) under every order of events, breadth first: requests and replies
// are delayed, lost or duplicated; clients pause, use available units at any moment, crash and restart; the owner is replaced by one without
// its state, after the former owner has stopped granting but while its replies are still in flight. The model records the uses that a
// receiver sees: no span may contain more uses than the limit has units.

const tick = time.Second

// fault is a defect injected into the protocol.
type fault string

const (
	none                  fault = ""
	countedFromReply      fault = "a grant is counted from its reply"
	noGracePeriod         fault = "a new owner has no grace period"
	noReclaimDelay        fault = "units of an expired grant are free at once"
	noCoolDown            fault = "a used unit is available at once"
	checkedAtWake         fault = "a grant's expiry is checked when the client wakes, not when it uses a unit"
	staleReplies          fault = "a reply to an older request is applied"
	staleRequests         fault = "an overtaken request is applied"
	coolingReportedFree   fault = "cooling units are reported as free"
	incarnationIgnored    fault = "a new incarnation is treated as the former one"
	keepsMoreThanReported fault = "a client keeps more units than it reported"
	confirmsAndGrants     fault = "a new owner grants free units during its grace period"
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
	requestedAt time.Duration
	epoch       int
	grant       Grant
}

type modelClient struct {
	incarnation  uint64
	allowance    *Allowance
	sequence     uint64
	requestedAt  time.Duration // of its last request
	requestEpoch int           // of its last request
	epoch        int           // newest epoch that the client has received
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
	uses    []int // ticks of the uses within the last span
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

// First returns the initial state.
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

// Key encodes the state; states with the same possible futures have equal keys.
func (m *model) Key(w *world) modelcheck.Key {
	now := w.clock()
	b := []byte{byte(w.now), byte(w.epoch), byte(w.crashes), byte(w.repeats)}
	for _, u := range w.uses {
		b = append(b, byte(w.now-u), 'u')
	}
	b = w.table.AppendState(b, now)
	for i := range w.clients {
		c := &w.clients[i]
		b = c.allowance.AppendState(append(b, byte(c.incarnation), byte(c.sequence), byte(c.requestEpoch), byte(c.epoch), byte((now-c.requestedAt)/tick)), now)
		if m.fault == checkedAtWake {
			b = append(b, byte(c.wokeAt/tick))
		}
		if r := c.request; r != nil && (!r.received || w.repeats < m.repeats || m.fault == staleRequests) {
			b = append(b, 'a', byte(r.incarnation), byte((now-r.at)/tick), byte(r.epoch), byte(r.request.Sequence), byte(r.request.Held), byte(r.request.Cooling), byte(r.request.CoolingTime/(tick/4)), byte(r.request.Wanted))
			if r.received {
				b = append(b, 'h')
			}
		}
		if g := c.grant; g != nil {
			b = append(b, 'l', byte(g.incarnation), byte((now-g.requestedAt)/tick), byte(g.epoch), byte(g.sequence), byte(g.grant.Units), byte(g.grant.Duration/(tick/4)))
		}
	}
	return modelcheck.Key{maphash.Bytes(seed, b), maphash.Bytes(seed, append(b, '#'))}
}

// Next visits the results of all events that are possible in a state.
func (m *model) Next(w *world, visit func(step string, n *world, violation string)) {
	do := func(step string, change func(n *world) string) {
		n := w.clone()
		if violation := change(n); violation != "-" {
			visit(step, n, violation)
		}
	}
	if w.now < m.ticks {
		do("a second passes", func(n *world) string {
			n.now++
			n.table = n.table.Clone() // reading a table drops expired grants, and the clocks of the two worlds differ
			for i := range n.clients {
				n.clients[i].allowance = n.clients[i].allowance.Clone()
			}
			n.uses = slices.DeleteFunc(n.uses, func(at int) bool { return time.Duration(n.now-at)*tick >= m.limit.Span })
			return ""
		})
	}
	if w.epoch < m.epochs {
		do("a new owner starts", func(n *world) string {
			n.epoch++
			graceUntil := n.clock() + modelTerms.GracePeriod(m.limit)
			if m.fault == noGracePeriod {
				graceUntil = 0
			}
			n.table = NewGrantTable(m.limit, modelTerms, graceUntil)
			return ""
		})
	}
	for i := range w.clients {
		m.clientEvents(w, i, do)
	}
}

func (m *model) clientEvents(w *world, i int, do func(string, func(*world) string)) {
	c := &w.clients[i]
	name := string(rune('a' + i))
	if c.epoch < w.epoch {
		do(name+" receives the new epoch", func(n *world) string {
			c := &n.clients[i]
			c.epoch, c.wokeAt = n.epoch, n.clock()
			if m.fault != staleReplies {
				c.requestedAt = -1 // abandon the outstanding request
			}
			return ""
		})
	}
	if c.request == nil || c.request.at != w.clock() || c.request.epoch != c.epoch || c.request.incarnation != c.incarnation {
		for _, keep := range []int64{m.limit.Units, 0} {
			do(fmt.Sprintf("%s sends a request and keeps up to %d", name, keep), func(n *world) string {
				c := &n.clients[i]
				c.allowance = c.allowance.Clone()
				c.sequence++
				c.requestedAt, c.requestEpoch, c.wokeAt = n.clock(), c.epoch, n.clock()
				before := c.allowance.Clone()
				r := Request{Sequence: c.sequence, Wanted: m.wants[i], MinUseful: 1}
				r.Held, r.Cooling, r.CoolingTime = c.allowance.Relinquish(keep, n.clock())
				switch m.fault {
				case coolingReportedFree:
					r.Cooling = 0
				case keepsMoreThanReported:
					c.allowance = before
				default:
				}
				c.request = &modelRequest{c.incarnation, c.requestedAt, r, c.epoch, false}
				return ""
			})
		}
	}
	if r := c.request; r != nil && (!r.received || w.repeats < m.repeats) && r.epoch == w.epoch {
		do("the owner receives the request of "+name, func(n *world) string {
			c := &n.clients[i]
			n.table = n.table.Clone()
			r := *c.request
			if r.received {
				n.repeats++
			}
			r.received = true
			c.request = &r
			incarnation := r.incarnation
			if m.fault == incarnationIgnored {
				incarnation = 0
			}
			if m.fault == noReclaimDelay || m.fault == noCoolDown {
				n.table.limit.Span = 0
			}
			if client := n.table.clients[lease.HolderID{Name: name, Incarnation: incarnation}]; client != nil && (m.fault == staleRequests || m.fault == incarnationIgnored) {
				client.sequence = 0
			}
			if m.fault == confirmsAndGrants && n.clock() < n.table.graceUntil {
				n.table.graceUntil = 0
			}
			grant, ok := n.table.Grant(lease.HolderID{Name: name, Incarnation: incarnation}, r.request, n.clock())
			n.table.limit.Span = m.limit.Span
			if ok {
				c.grant = &modelGrant{r.incarnation, r.request.Sequence, r.at, r.epoch, grant}
			}
			return ""
		})
	}
	if g := c.grant; g != nil && g.incarnation == c.incarnation {
		do(name+" receives its grant", func(n *world) string {
			c := &n.clients[i]
			c.grant, c.wokeAt = nil, n.clock()
			if m.fault != staleReplies && (c.requestedAt != g.requestedAt || c.sequence != g.sequence || c.epoch != g.epoch) {
				return "" // not the reply to its last request
			}
			requestedAt := g.requestedAt
			if m.fault == countedFromReply {
				requestedAt = n.clock()
			}
			c.allowance = c.allowance.Clone()
			c.allowance.Renew(g.grant.Units, requestedAt, g.grant.Duration, n.clock())
			return ""
		})
	}
	do(name+" uses a unit", func(n *world) string {
		c := &n.clients[i]
		c.allowance = c.allowance.Clone()
		now := n.clock()
		if m.fault == checkedAtWake {
			now = max(c.wokeAt, c.allowance.expiresAt-2*tick)
		}
		if m.fault == noCoolDown {
			c.allowance.usageLog, c.allowance.cooling = nil, 0
		}
		if !c.allowance.Take(1, now) {
			return "-"
		}
		n.uses = append(n.uses, n.now)
		if int64(len(n.uses)) > m.limit.Units {
			return fmt.Sprintf("%d uses in a span with %d units", len(n.uses), m.limit.Units)
		}
		return ""
	})
	if w.crashes < m.crashes {
		do(name+" crashes and restarts", func(n *world) string {
			n.crashes++
			c := &n.clients[i]
			c.incarnation++
			c.allowance, c.requestedAt, c.wokeAt = NewAllowance(m.limit, 0, false, n.clock()), -1, n.clock()
			c.sequence = 0
			return ""
		})
	}
}

var oneUnit = Limit{Key: "x", Units: 1, Span: tick}

// Checks that no order of events within the number of steps exceeds a limit. SAFFRONYARD_MODEL_STEPS sets a larger number of steps
// (docs/design/quota.md has the counts of states).
func TestModel_LimitHolds(t *testing.T) {
	for name, m := range map[string]*model{
		"one unit":              {limit: oneUnit, ticks: 6, wants: [2]int64{1, 1}},
		"one unit, a new owner": {limit: oneUnit, ticks: 5, epochs: 1, wants: [2]int64{1, 1}},
		"one unit, a crash":     {limit: oneUnit, ticks: 5, crashes: 1, repeats: 1, wants: [2]int64{1, 1}},
		"three units":           {limit: Limit{Key: "x", Units: 3, Span: tick}, ticks: 4, epochs: 1, wants: [2]int64{2, 3}},
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

// Checks that the model finds each injected fault, with a shortest trace.
func TestModel_FindsFaults(t *testing.T) {
	for _, f := range []fault{countedFromReply, noGracePeriod, noReclaimDelay, noCoolDown, checkedAtWake, staleReplies, staleRequests, coolingReportedFree, incarnationIgnored, keepsMoreThanReported, confirmsAndGrants} {
		t.Run(string(f), func(t *testing.T) {
			t.Parallel()
			m := &model{fault: f, limit: oneUnit, ticks: 2, wants: [2]int64{1, 1}}
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

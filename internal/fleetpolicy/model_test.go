package fleetpolicy

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

	"google.golang.org/protobuf/proto"

	"saffronyard.example/saffronyard/internal/lease"
	"saffronyard.example/saffronyard/internal/modelcheck"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// The model runs leases and changes with the production code (Holder, Granter, Coordinator, Machine, View) through every order of
// events, breadth first, so that a fault is found by a shortest trace. The log is one list to which only the leader appends, as raft
// guarantees. Everything else is unrestricted: messages are late, lost or repeated, senders stall for any time, crash and restart, and
// a replaced leader continues to answer as if it led. A leader has applied all entries that it appended: it grants at the index that
// a linearizable read gives, which is never lower.

const tick = time.Second

var modelTerms = lease.Terms{Duration: 2 * tick}

// fault is a fault that is injected into the model.
type fault string

const (
	none                     fault = ""
	countedFromReply         fault = "the lease is counted from the reply"
	stagedBeforeSync         fault = "a change is reported as staged before it is on the disk"
	noWaitForExpiry          fault = "committed without waiting for leases to expire"
	formerLeaderAccepted     fault = "a grant of a former leader is accepted"
	noGracePeriod            fault = "a new leader has no grace period"
	requiredIndexIgnored     fault = "a lease counts before its required index is applied"
	actingIndexAhead         fault = "the acting index is reported before it is applied"
	freezeSkipped            fault = "committed as soon as it is staged"
	freezeIgnored            fault = "a frozen call is begun"
	leaseOutlivesProcess     fault = "a restarted process uses the lease of the former one"
	checkedAtWake            fault = "the lease is checked when the sender wakes, not when it writes"
	granterCountsFromRequest fault = "the granter counts the lease from before the grant"
)

// world is one state of the model.
type world struct {
	now          int
	log          string // a letter per entry: p propose, f freeze, c commit, a abort
	leader       modelLeader
	formerLeader *modelLeader // a replaced leader that continues to answer
	elections    int
	crashes      int
	senders      [3]modelSender
	repeats      int    // requests that were delivered twice
	newestActed  uint64 // the newest version that any sender was allowed to act under
}

type modelLeader struct {
	granter *lease.Granter
	coord   *Coordinator
	applied int
}

type modelSender struct {
	incarnation uint64
	applied     int    // entries of the log
	staged      uint64 // change on the disk
	reported    uint64 // change that it reported as staged
	holder      *lease.Holder
	wokeAt      int // time of its last event
	request     *modelRequest
	grant       *modelGrant
}

type modelRequest struct {
	incarnation uint64
	requestedAt time.Duration
	actingIndex int
	staged      uint64
	received    bool
}

type modelGrant struct {
	incarnation   uint64
	requestedAt   time.Duration
	requiredIndex uint64
}

type model struct {
	fault        fault
	senders      int
	ticks        int
	changes      int
	crashes      int
	maxElections int
	repeats      int
	wait         int                    // ticks until a change that is not staged is aborted; 0: a minute
	states       map[string]*modelState // by log
	names        [3]string
}

// modelState is the state that results from a log, and the view of a sender that has applied that log.
type modelState struct {
	*Machine
	view   *View
	frozen bool // the call that all changes affect is suspended
}

// machine returns the state that results from a log. It computes the state of each log once.
func (m *model) machine(log string) *modelState {
	if got := m.states[log]; got != nil {
		return got
	}
	ma := NewMachine()
	for i, step := range strings.Split(log, "") {
		index, c := uint64(i+1), &pb.PolicyCommand{}
		o := ma.state.OpenChange
		switch step {
		case "p":
			doc := []byte("[[route]]\ndestinations = [7]\nstate = \"closed\"\n")
			if ma.state.Version%2 == 1 { // consecutive versions differ for the same call
				doc = []byte("# open again\n")
			}
			c.Command = &pb.PolicyCommand_Propose{Propose: &pb.ProposePolicy{BaseVersion: ma.state.Version, Document: doc, StageTimeoutUs: m.waitUS()}}
		case "f":
			c.Command = &pb.PolicyCommand_Freeze{Freeze: &pb.ChangeStep{ChangeId: o.Id}}
		case "c":
			c.Command = &pb.PolicyCommand_Commit{Commit: &pb.ChangeStep{ChangeId: o.Id}}
		case "a":
			c.Command = &pb.PolicyCommand_Abort{Abort: &pb.ChangeStep{ChangeId: o.Id}}
		}
		body, err := proto.Marshal(c)
		if err != nil {
			panic(err)
		}
		if _, rejection, err := ma.Apply(index, body); err != nil || rejection != "" {
			panic(fmt.Sprint(log, i, rejection, err))
		}
	}
	st := &modelState{Machine: ma, view: ma.View(uint64(len(log)), Settings{})}
	st.frozen = st.view.Suspended.HasCall(Call{Destination: 7})
	m.states[log] = st
	return st
}

func (m *model) waitUS() int64 {
	if m.wait == 0 {
		return time.Minute.Microseconds()
	}
	return (time.Duration(m.wait) * tick).Microseconds()
}

// clone is a shallow copy: a step that changes a leader's or a holder's state clones that first.
func (w *world) clone() *world {
	c := *w
	return &c
}

func (l modelLeader) clone() modelLeader {
	return modelLeader{l.granter.Clone(), l.coord.Clone(), l.applied}
}

var seed = maphash.MakeSeed()

// Key is equal for states that have the same continuations. The property treats all senders alike: states that differ only by a
// permutation of senders have the same key.
func (m *model) Key(w *world) modelcheck.Key {
	now := w.clock()
	b := append(make([]byte, 0, 256), byte(w.now), byte(w.elections), byte(w.crashes), byte(w.repeats), byte(w.newestActed))
	b = append(b, w.log...)
	c := w.leader.coord
	b = append(w.leader.granter.AppendState(append(b, ';'), now, ""), byte(w.leader.applied), byte(c.change), byte(c.lastStep.change), byte(c.lastStep.at/tick))
	b = append(b, c.lastStep.step...)
	var each []string
	for i := range m.senders {
		s, name := &w.senders[i], m.names[i]
		var open []time.Duration
		if s.request != nil {
			open = append(open, s.request.requestedAt)
		}
		if s.grant != nil {
			open = append(open, s.grant.requestedAt)
		}
		e := s.holder.AppendState([]byte{byte(s.incarnation), byte(s.applied), byte(s.staged), byte(s.reported)}, now, open...)
		if m.fault == checkedAtWake {
			e = append(e, byte(s.wokeAt))
		}
		if a := s.request; a != nil && (!a.received || w.repeats < m.repeats) {
			e = append(e, 'a', byte(a.incarnation), byte(a.requestedAt/tick), byte(a.actingIndex), byte(a.staged))
			if a.received {
				e = append(e, 'h')
			}
		}
		if g := s.grant; g != nil && now-g.requestedAt < modelTerms.Duration {
			e = append(e, 'g', byte(g.incarnation), byte(g.requestedAt/tick), byte(g.requiredIndex))
		}
		e = w.leader.granter.AppendState(append(e, 'l'), now, name)
		for incarnation := range s.incarnation + 1 {
			if c.staged[lease.HolderID{Name: name, Incarnation: incarnation}] {
				e = append(e, 's', byte(incarnation))
			}
		}
		if w.formerLeader != nil && m.fault == formerLeaderAccepted {
			e = w.formerLeader.granter.AppendState(append(e, 'o', byte(w.formerLeader.applied)), now, name)
		}
		each = append(each, string(e))
	}
	slices.Sort(each)
	for _, e := range each {
		b = append(append(b, '|'), e...)
	}
	return modelcheck.Key{maphash.Bytes(seed, b), maphash.Bytes(seed, append(b, '#'))}
}

func (w *world) clock() time.Duration { return time.Duration(w.now+1) * tick }

// mayAct reports whether a sender may begin the call that all changes affect, and under which version.
func (m *model) mayAct(w *world, i int) (uint64, bool) {
	s := &w.senders[i]
	now := w.clock()
	if m.fault == checkedAtWake {
		now = time.Duration(s.wokeAt+1) * tick
	}
	applied := uint64(s.applied)
	if m.fault == requiredIndexIgnored {
		applied = 1 << 60
	}
	if s.holder == nil || s.holder.Until(applied) <= now {
		return 0, false
	}
	st := m.machine(w.log[:s.applied])
	if st.frozen && m.fault != freezeIgnored {
		return 0, false
	}
	return st.view.Version, true
}

// violation describes the violation of the property in a state; "": there is none.
func (m *model) violation(w *world) string {
	newest := w.newestActed
	for i := range m.senders {
		if v, may := m.mayAct(w, i); may {
			newest = max(newest, v)
		}
	}
	for i := range m.senders {
		if v, may := m.mayAct(w, i); may && v < newest {
			return fmt.Sprintf("%s may act under version %d after a sender could under version %d", m.names[i], v, newest)
		}
	}
	w.newestActed = newest
	return ""
}

// Next visits the successors of a state, each with the name of its event.
func (m *model) Next(w *world, visit func(what string, n *world, broken string)) {
	do := func(what string, change func(n *world) (broken string)) {
		n := w.clone()
		broken := change(n)
		if broken == "-" { // it changes nothing
			return
		}
		if broken == "" {
			broken = m.violation(n)
		}
		visit(what, n, broken)
	}
	if w.now < m.ticks {
		do("a second passes", func(n *world) string { n.now++; return "" })
	}
	if n := strings.Count(w.log, "p"); n < m.changes && m.machine(w.log).State().OpenChange == nil {
		do(fmt.Sprintf("change %d is proposed", n+1), func(n *world) string {
			n.log += "p"
			n.leader.applied = len(n.log)
			return ""
		})
	}
	if w.elections < m.maxElections {
		do("another voter becomes leader", func(n *world) string {
			n.elections++
			old := n.leader
			n.formerLeader = &old
			n.leader = modelLeader{lease.NewGranter(modelTerms, n.clock()), &Coordinator{}, len(n.log)}
			if m.fault == noGracePeriod {
				n.leader.granter = withoutGracePeriod()
			}
			return ""
		})
	}
	do("the leader decides", func(n *world) string { n.leader = n.leader.clone(); return m.decide(n) })
	for i := range m.senders {
		m.sender(w, i, do)
	}
}

// withoutGracePeriod is a granter without a grace period.
func withoutGracePeriod() *lease.Granter { return lease.NewGranter(modelTerms, -10*tick) }

func (m *model) decide(n *world) string {
	l := &n.leader
	st := m.machine(n.log[:l.applied]).State()
	granter := l.granter
	if m.fault == noWaitForExpiry {
		granter = withoutGracePeriod()
	}
	cmd, _ := l.coord.Step(n.clock(), st, granter)
	step := ""
	switch cmd.GetCommand().(type) {
	case *pb.PolicyCommand_Freeze:
		step = "f"
	case *pb.PolicyCommand_Commit:
		step = "c"
	case *pb.PolicyCommand_Abort:
		step = "a"
	default:
		return "-"
	}
	n.log += step
	l.applied = len(n.log)
	if step == "f" && m.fault == freezeSkipped {
		n.log += "c"
		l.applied++
	}
	if step == "c" {
		for i := range m.senders {
			if t := &n.senders[i]; t.holder.Until(uint64(t.applied)) > n.clock() && t.staged != st.OpenChange.Id {
				return fmt.Sprintf("%s holds a lease and has not staged the change", m.names[i])
			}
		}
	}
	return ""
}

// allFinished reports whether all changes are finished.
func (m *model) allFinished(w *world) bool {
	st := m.machine(w.log).State()
	return st.OpenChange == nil && len(st.History) == m.changes
}

func (m *model) sender(w *world, i int, do func(string, func(*world) string)) {
	s, name := &w.senders[i], m.names[i]
	if s.applied < len(w.log) {
		do(name+" applies an entry", func(n *world) string {
			t := &n.senders[i]
			t.applied++
			t.wokeAt = n.now
			if o := m.machine(n.log[:t.applied]).State().OpenChange; o != nil && m.fault != stagedBeforeSync {
				t.staged, t.reported = o.Id, o.Id
			}
			return ""
		})
	}
	state := m.machine(w.log[:s.applied]).State()
	if o := state.OpenChange; o != nil && s.staged < o.Id && m.fault == stagedBeforeSync {
		do(name+" stages the change", func(n *world) string {
			n.senders[i].staged, n.senders[i].reported = o.Id, o.Id
			n.senders[i].wokeAt = n.now
			return ""
		})
		if s.reported < o.Id {
			do(name+" reports the change as staged", func(n *world) string { n.senders[i].reported = o.Id; return "" })
		}
	}
	acts := s.applied
	if m.fault == actingIndexAhead {
		acts = len(w.log)
	}
	if m.fault == none && m.allFinished(w) {
		// The log does not grow any more. A lease granted from now on counts only for a sender that has applied all of the log.
	} else if s.request == nil || s.request.incarnation != s.incarnation || s.request.actingIndex != acts || s.request.staged != s.reported || s.request.requestedAt < w.clock() {
		do(name+" requests a lease", func(n *world) string {
			t := &n.senders[i]
			t.holder = t.holder.Clone()
			t.request = &modelRequest{t.incarnation, t.holder.Request(n.clock()), acts, t.reported, false}
			t.wokeAt = n.now
			return ""
		})
	}
	if s.request != nil && (!s.request.received || w.repeats < m.repeats) && !(m.fault == none && m.allFinished(w)) {
		do("the leader receives the request of "+name, func(n *world) string { n.leader = n.leader.clone(); return m.receiveRequest(n, &n.leader, i, true) })
		if w.formerLeader != nil {
			do("the former leader receives the request of "+name, func(n *world) string {
				old := n.formerLeader.clone()
				n.formerLeader = &old
				return m.receiveRequest(n, n.formerLeader, i, m.fault == formerLeaderAccepted)
			})
		}
	}
	if g := s.grant; g != nil && g.incarnation == s.incarnation {
		do(name+" receives its grant", func(n *world) string {
			t := &n.senders[i]
			requestedAt := g.requestedAt
			t.holder = t.holder.Clone()
			if m.fault == countedFromReply {
				requestedAt = t.holder.Request(n.clock())
			}
			t.holder.RecordGrant(requestedAt, g.requiredIndex, modelTerms.Duration, n.clock())
			t.grant = nil // a repeated reply has no effect: the request is answered
			t.wokeAt = n.now
			return ""
		})
	}
	if w.crashes < m.crashes {
		for _, old := range []bool{false, true} {
			what := " crashes and restarts"
			if old {
				if s.applied == 0 && s.staged == 0 {
					continue // an old folder has the same content
				}
				what += " with an old folder"
			}
			do(name+what, func(n *world) string {
				n.crashes++
				t := &n.senders[i]
				holder := lease.NewHolder(modelTerms)
				if m.fault == leaseOutlivesProcess {
					holder = t.holder
				}
				if old {
					t.applied, t.staged = 0, 0
				}
				*t = modelSender{incarnation: t.incarnation + 1, applied: t.applied, staged: t.staged, reported: t.staged, holder: holder, wokeAt: n.now, request: t.request, grant: t.grant}
				return ""
			})
		}
	}
}

// receiveRequest delivers a sender's request to the leader or to a former one; confirmed is whether a majority confirms the leadership.
func (m *model) receiveRequest(n *world, l *modelLeader, i int, confirmed bool) string {
	s := &n.senders[i]
	if s.request.received {
		n.repeats++
	}
	request := *s.request
	request.received = true
	s.request = &request
	holder := lease.HolderID{Name: m.names[i], Incarnation: s.request.incarnation}
	l.granter.RecordRequest(holder, uint64(s.request.actingIndex))
	if s.request.staged > 0 {
		l.coord.RecordStaged(holder, s.request.staged, "")
	}
	if !confirmed {
		return ""
	}
	if !l.coord.MayGrant(holder, uint64(s.request.actingIndex), m.machine(n.log[:l.applied]).State()) {
		return ""
	}
	at := n.clock()
	if m.fault == granterCountsFromRequest {
		at = s.request.requestedAt - tick
	}
	s.grant = &modelGrant{s.request.incarnation, s.request.requestedAt, l.granter.Grant(holder, uint64(l.applied), at)}
	return ""
}

// Three senders and two changes have too many states for a complete search: all states within a number of steps are checked.
func TestModel_HoldsWithinSteps(t *testing.T) {
	steps := 9
	if n, err := strconv.Atoi(os.Getenv("SAFFRONYARD_MODEL_STEPS")); err == nil {
		steps = n
	}
	t.Parallel()
	m := &model{senders: 3, ticks: 3, changes: 2, crashes: 1, repeats: 1}
	r := modelcheck.Reach(m, steps)
	if r.Broken != "" {
		t.Fatal(r.Broken)
	}
	t.Logf("%d states within %d steps: %v", r.States, steps, r.Layers)
	// The bound is high enough to find an injected fault: a search that can't reach any fault would prove nothing.
	faulty := *m
	faulty.fault, faulty.crashes, faulty.repeats = countedFromReply, 0, 0
	if r := modelcheck.Reach(&faulty, steps); r.Broken == "" {
		t.Errorf("within %d steps the fault of a lease that is counted from the reply is not found", steps)
	}
}

// First is the state before the first step.
func (m *model) First() *world {
	m.states = map[string]*modelState{}
	m.names = [3]string{"a", "b", "c"}
	w := &world{leader: modelLeader{lease.NewGranter(modelTerms, -10*tick), &Coordinator{}, 0}}
	for i := range m.senders {
		w.senders[i] = modelSender{incarnation: 1, holder: lease.NewHolder(modelTerms)}
	}
	return w
}

// No order of events violates the property: all states of small fleets within the given bounds are checked. SAFFRONYARD_MODEL=large
// checks larger fleets, which takes some minutes (docs/design/agreed.md has their counts).
func TestModel_Holds(t *testing.T) {
	small := map[string]*model{
		"two senders":                       {senders: 2, ticks: 3, changes: 1},
		"two senders, a deadline":           {senders: 2, ticks: 2, changes: 1, wait: 1},
		"two senders, new leaders":          {senders: 2, ticks: 2, changes: 1, maxElections: 1},
		"two senders, a crash and a repeat": {senders: 2, ticks: 2, changes: 1, crashes: 1, repeats: 1},
	}
	large := map[string]*model{
		"two senders, two changes":           {senders: 2, ticks: 3, changes: 2},
		"two senders, a crash, a new leader": {senders: 2, ticks: 2, changes: 1, crashes: 1, maxElections: 1},
		"two senders, two deadlines":         {senders: 2, ticks: 2, changes: 2, wait: 1},
		"three senders":                      {senders: 3, ticks: 2, changes: 1},
		"three senders, two changes":         {senders: 3, ticks: 2, changes: 2},
	}
	most := 2_000_000
	if os.Getenv("SAFFRONYARD_MODEL") == "large" {
		small, most = large, 100_000_000
	}
	for name, m := range small {
		t.Run(name, func(t *testing.T) {
			if most < 10_000_000 {
				t.Parallel()
			}
			r := modelcheck.Walk(m, most)
			if r.Broken != "" {
				t.Fatalf("%s, after\n  %s", r.Broken, strings.Join(r.Trace, "\n  "))
			}
			if r.States >= most {
				t.Errorf("more than %d states: not all were checked", most)
			}
			t.Logf("%d states", r.States)
		})
	}
}

// Each injected fault is found, by a shortest trace.
func TestModel_FindsFaults(t *testing.T) {
	for _, f := range []fault{countedFromReply, stagedBeforeSync, noWaitForExpiry, formerLeaderAccepted, noGracePeriod, requiredIndexIgnored, actingIndexAhead, freezeSkipped,
		freezeIgnored, leaseOutlivesProcess, checkedAtWake, granterCountsFromRequest} {
		t.Run(string(f), func(t *testing.T) {
			t.Parallel()
			m := &model{fault: f, senders: 2, ticks: 2, changes: 1}
			switch f {
			case formerLeaderAccepted, noGracePeriod:
				m.maxElections = 1
			case leaseOutlivesProcess, stagedBeforeSync:
				m.crashes = 1
			default:
			}
			r := modelcheck.Explore(m, math.MaxInt, 3_000_000)
			if r.Broken == "" {
				t.Fatalf("not found in %d states", r.States)
			}
			t.Logf("%d states, %d steps: %s\n  %s", r.States, len(r.Trace), r.Broken, strings.Join(r.Trace, "\n  "))
		})
	}
}

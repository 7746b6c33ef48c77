package consensus

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// The exploration enumerates all orders of the events of a few replicas, breadth-first. A replica's next state depends on its own events
// alone, so each is computed once (replicaState.next), and a state of the system is a few references. Clocks advance only by explicit
// ticks, so no order of messages is excluded by a time-out.

// explorer has the parameters and caches that all paths share.
type explorer struct {
	mutant        mutant
	addresses     []string
	seeds         []string
	losses        int
	partitions    map[[2]int]bool // calls over these links fail
	heartbeats    bool            // heartbeats and calls to join are delivered, too
	bodies        map[string]*body
	items         map[item]*item
	replicaStates map[string]*replicaState
	folders       map[string]int
	steps         int

	liveness       int // one state in this many is checked for liveness; 0: none
	livenessChecks int // states that passed the check
}

// body is a message, stored once.
type body struct {
	n int
	m proto.Message
}

// replicaState is one replica's state: replaying the events since its process started gives the same state.
type replicaState struct {
	n             int
	site          int
	disk          [][]byte // at the start
	begun         time.Duration
	events        []timedEvent
	folder        string
	now           time.Duration
	records       [][]byte // on disk now
	leadership    uint64   // epoch; 0: not primary
	swaps         []swap   // changes of members that it could begin now
	newestEpoch   uint64   // epoch of its newest leadership
	backups       []string // folders of the backups of its view, if it is primary
	preparedEpoch uint64
	visible       map[string]uint64
	next          map[eventKey]*replicaState // by event
	output        *output                    // of the last step
}

// eventKey identifies an event.
type eventKey struct {
	name      string
	id        uint64
	body      int
	powerLoss bool
}

// pathStep is one step of a path.
type pathStep struct {
	action, detail string
	item           *item
	site           int
}

// timedEvent is an event with its time.
type timedEvent struct {
	now time.Duration
	e   explorerEvent
}

// output is what a step sends.
type output struct {
	unsyncedCalls, calls []outgoingCall
	reply                proto.Message
	outcomes             []outcome
}

// explorerEvent is an event of a replica, or one of the following events, which only the exploration has.
type explorerEvent any

type (
	takeover struct{}                 // proposes itself at once, without a pre-vote
	lateTick struct{}                 // a tick after the lease has expired
	swap     struct{ in, out string } // change of members, by address, as a primary may propose it
)

const never = time.Duration(1) << 60

type stage int

const (
	requested stage = iota
	answered
	orphaned // the caller no longer waits for the reply
)

// item is a message in flight.
type item struct {
	from, to    int
	incarnation int // of the caller's process
	id          uint64
	request     *body
	reply       *body // nil: the call failed
	stage       stage
	n           int
}

// budget is how many events of each kind may still occur.
type budget struct{ takeovers, ticks, timeouts, duplicates, restarts, wipes, writes, confirms, swaps int8 }

const maxSites = 6

const maxOperations = 2 // of writes, and of confirms

var writes = [maxOperations]string{"w0", "w1"}

// systemState is a state of all replicas and messages.
type systemState struct {
	replicas          [maxSites]*replicaState
	incarnations      [maxSites]int
	net               []*item
	left              budget
	acknowledged      [maxOperations]uint64 // sequences
	acknowledgedUnder [maxOperations]uint64 // epochs in which they were acknowledged
	rejected          [maxOperations]bool
	began             [maxOperations]byte // of confirms: bit set of the writes that were acknowledged when they began
	parent            *systemState
	step              pathStep
}

// zeroSource is a random source from which every duration below four seconds is drawn as 0. It does not return 0, as drawing from 0 would
// never end.
type zeroSource struct{}

func (zeroSource) Uint64() uint64 { return 1 << 32 }

func newExplorer(p mutant, addresses ...string) *explorer {
	return &explorer{mutant: p, addresses: addresses, seeds: addresses[:3], losses: 1, partitions: make(map[[2]int]bool),
		bodies: make(map[string]*body), items: make(map[item]*item), replicaStates: make(map[string]*replicaState), folders: make(map[string]int)}
}

func (x *explorer) site(address string) int { return slices.Index(x.addresses, address) }

func (x *explorer) body(m proto.Message) *body {
	if m == nil {
		return nil
	}
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(err)
	}
	key := string(m.ProtoReflect().Descriptor().Name()) + string(b)
	if x.bodies[key] == nil {
		x.bodies[key] = &body{len(x.bodies) + 1, m}
	}
	return x.bodies[key]
}

func (x *explorer) item(i item) *item {
	i.n = 0
	if x.items[i] == nil {
		o := i
		o.n = len(x.items) + 1
		x.items[i] = &o
	}
	return x.items[i]
}

// explorerTiming returns the timing of a replica whose clock stands still: nothing waits for heartbeats or a grace period.
func explorerTiming() timing {
	t := newTiming(3*time.Second, 0)
	t.heartbeatInterval = 3
	return t
}

func (x *explorer) boot(disk [][]byte, site int, now time.Duration) *subject {
	var d durableState
	for _, r := range disk {
		if err := d.replay(r); err != nil {
			panic(err)
		}
	}
	a := x.addresses[site]
	m := newReplica(d, replicaConfig{self: &tierv1.Member{Address: a, Zone: "z" + a, Region: "r"}, seeds: x.seeds, toleratedLosses: x.losses, timing: explorerTiming(), jitterSeed: 1})
	m.random = rand.New(zeroSource{})
	m.now, m.candidacyAt, m.joinAt = now, never, never
	return &subject{replica: m, mutant: x.mutant, requests: make(map[uint64]proto.Message)}
}

// apply passes one event to a subject and returns its actions.
func (x *explorer) apply(s *subject, t timedEvent) *actions {
	var out *actions
	switch e := t.e.(type) {
	case takeover:
		s.replica.now, s.replica.actions = t.now, new(actions)
		if s.replica.primary == nil && s.replica.proposal == nil && slices.ContainsFunc(quorumSets(s.replica.newestView()), s.replica.isVoter) {
			s.replica.propose(reconfiguration{})
		}
		early := s.replica.actions
		if s.mutant.after != nil {
			s.mutant.after(s, early)
		}
		out = s.step(t.now)
		out.unsyncedCalls, out.calls = append(early.unsyncedCalls, out.unsyncedCalls...), append(early.calls, out.calls...)
		out.records, out.sync = append(early.records, out.records...), out.sync || early.sync
		for _, c := range early.unsyncedCalls {
			s.requests[c.id] = c.body
		}
	case lateTick:
		out = s.step(t.now, tick{})
	case swap:
		p := reconfiguration{add: &tierv1.Member{Folder: e.in + "0", Address: e.in, Zone: "z" + e.in, Region: "r"}}
		for _, v := range s.replica.primary.view.Members {
			if v.Address == e.out {
				p.remove = v
			}
		}
		s.replica.now, s.replica.actions = t.now, new(actions)
		s.replica.propose(p)
		out = s.replica.actions
		for _, c := range out.unsyncedCalls {
			s.requests[c.id] = c.body
		}
	case tick:
		if s.replica.primary != nil {
			s.replica.primary.proposeAt = 0
		}
		out = s.step(t.now, e)
	default:
		out = s.step(t.now, t.e.(event))
	}
	x.steps++
	s.replica.candidacyAt, s.replica.joinAt = never, never
	if s.replica.primary != nil {
		s.replica.primary.proposeAt = never // until a tick
	}
	return out
}

func (x *explorer) start(site int, disk [][]byte, genesis bool, now time.Duration, led uint64) *replicaState {
	if len(disk) == 0 {
		folder := fmt.Sprintf("%s%d", x.addresses[site], x.folders[x.addresses[site]])
		x.folders[x.addresses[site]] = 1 // at most one wipe of each site
		disk = [][]byte{encodeIdentity(identity{Folder: folder, Genesis: genesis, Seeds: x.seeds})}
	}
	l := *x.internState(&replicaState{site: site, disk: disk, begun: now, now: now, records: disk, newestEpoch: led}, x.boot(disk, site, now))
	l.output = new(output)
	return &l
}

// possibleSwaps returns the changes of members that a primary may begin. It begins one only under a view without former members.
func (x *explorer) possibleSwaps(m *replica) (list []swap) {
	if m.primary == nil || m.proposal != nil || len(m.primary.view.Former) > 0 {
		return nil
	}
	members := m.primary.view.Members
	for _, in := range x.addresses[len(x.seeds):] {
		if slices.ContainsFunc(members, func(v *tierv1.Member) bool { return v.Address == in }) {
			continue
		}
		for _, v := range members {
			if v.Address != m.self.Address {
				list = append(list, swap{in, v.Address})
			}
		}
	}
	return list
}

// internState returns the single instance of a state, after setting the fields that derive from the replica.
func (x *explorer) internState(l *replicaState, s *subject) *replicaState {
	l.folder = s.replica.Folder
	l.leadership, l.visible, l.swaps = 0, make(map[string]uint64), x.possibleSwaps(s.replica)
	l.preparedEpoch, l.backups = s.replica.preparedEpoch, nil
	data := s.replica.entries
	if s.replica.primary != nil {
		l.leadership, l.newestEpoch, data = s.replica.primary.view.Epoch, s.replica.primary.view.Epoch, s.replica.primary.committed
		l.backups = s.replica.primary.view.Backups
	}
	for k, e := range data {
		l.visible[k] = e.Sequence
	}
	key := x.digest(l, s)
	if known := x.replicaStates[key]; known != nil {
		return known
	}
	l.n, l.next = len(x.replicaStates)+1, make(map[eventKey]*replicaState)
	x.replicaStates[key] = l
	return l
}

// advance returns the state after one more event. With a power loss in the middle of the step, the calls that need not wait for the disk
// are sent, and nothing is synced.
func (x *explorer) advance(l *replicaState, name eventKey, e explorerEvent) *replicaState {
	powerLoss := name.powerLoss
	if to := l.next[name]; to != nil {
		return to
	}
	s := x.boot(l.disk, l.site, l.begun)
	for _, t := range l.events {
		x.apply(s, t)
	}
	now := l.now
	switch e.(type) {
	case tick:
		now += 16
	case lateTick:
		now += s.replica.timing.lease
	}
	out := x.apply(s, timedEvent{now, e})
	after := &output{unsyncedCalls: out.unsyncedCalls, calls: out.calls, outcomes: out.outcomes}
	for _, r := range out.replies {
		after.reply = r.body
	}
	var to *replicaState
	if powerLoss {
		after.calls, after.reply, after.outcomes = nil, nil, nil
		to = x.start(l.site, l.records, false, now, l.newestEpoch)
	} else {
		to = x.internState(&replicaState{site: l.site, disk: l.disk, begun: l.begun, events: append(slices.Clip(l.events), timedEvent{now, e}), now: now,
			records: append(slices.Clip(l.records), out.records...), newestEpoch: l.newestEpoch}, s)
	}
	// The state may be reached by several events: the output belongs to this one.
	reached := *to
	reached.output = after
	l.next[name] = &reached
	return &reached
}

func (w *systemState) with(step pathStep) *systemState {
	c := *w
	c.net, c.parent, c.step = slices.Clone(w.net), w, step
	return &c
}

func (x *explorer) path(w *systemState) (list []string) {
	for ; w != nil && w.step.action != ""; w = w.parent {
		list = append(list, x.describe(w.step))
	}
	slices.Reverse(list)
	return list
}

func (w *systemState) add(i *item) {
	at, _ := slices.BinarySearchFunc(w.net, i, func(a, b *item) int { return cmp.Compare(a.n, b.n) })
	w.net = slices.Insert(w.net, at, i)
}

func (w *systemState) remove(i *item) {
	if at := slices.Index(w.net, i); at >= 0 {
		w.net = slices.Delete(w.net, at, at+1)
	}
}

// move puts a site into its next state, sends its output and checks the invariants.
func (x *explorer) move(w *systemState, l *replicaState) error {
	before := w.replicas[l.site]
	w.replicas[l.site] = l
	for _, list := range [][]outgoingCall{l.output.unsyncedCalls, l.output.calls} {
		for _, c := range list {
			switch c.body.(type) {
			case *tierv1.HeartbeatRequest, *tierv1.JoinRequest:
				if !x.heartbeats {
					continue
				}
			}
			if to := x.site(c.address); to >= 0 && w.replicas[to] != nil {
				i := item{from: l.site, to: to, incarnation: w.incarnations[l.site], id: c.id, request: x.body(c.body)}
				if x.partitions[[2]int{l.site, to}] {
					i.stage, i.request = answered, nil
				}
				w.add(x.item(i))
			}
		}
	}
	for _, o := range l.output.outcomes {
		n := int(o.token)
		switch {
		case o.err == nil && n >= maxOperations: // a confirm
			for k, sequence := range w.acknowledged {
				if w.began[n-maxOperations]&(1<<k) != 0 && l.visible[writes[k]] != sequence {
					return fmt.Errorf("%s confirmed without w%d", l.folder, k)
				}
			}
		case o.err == nil:
			w.acknowledged[n], w.acknowledgedUnder[n] = o.sequence, l.newestEpoch
			for _, other := range w.replicas {
				if other != nil && other.site != l.site && other.leadership > l.newestEpoch && other.visible[writes[n]] != o.sequence {
					return fmt.Errorf("%s acknowledged w%d, which %s of a later epoch lacks", l.folder, n, other.folder)
				}
			}
		case errors.Is(o.err, ErrNotPrimary) && n < maxOperations:
			w.rejected[n] = true
		}
	}
	if l.leadership != 0 && l.leadership != before.leadership {
		for k, sequence := range w.acknowledged {
			if sequence > 0 && l.visible[writes[k]] != sequence && !(l.leadership < w.acknowledgedUnder[k] && w.superseded(l)) {
				return fmt.Errorf("%s begins epoch %d without w%d", l.folder, l.leadership, k)
			}
			if w.rejected[k] && l.visible[writes[k]] > 0 {
				return fmt.Errorf("%s serves w%d, which was rejected", l.folder, k)
			}
		}
		for _, other := range w.replicas {
			if other != nil && other.site != l.site && other.leadership == l.leadership {
				return fmt.Errorf("%s and %s both lead in epoch %d", l.folder, other.folder, l.leadership)
			}
		}
	}
	return nil
}

// superseded reports whether a leadership can never acknowledge or confirm anything, because one of its backups has prepared a higher
// epoch or is lost. A view and its successor may both be chosen before the proposer of the first view receives the reply that completes
// its majority. The leadership of the first view then begins in an epoch that is over, and only serves reads until its lease expires.
func (w *systemState) superseded(l *replicaState) bool {
	return slices.ContainsFunc(l.backups, func(folder string) bool {
		return !slices.ContainsFunc(w.replicas[:], func(o *replicaState) bool { return o != nil && o.folder == folder && o.preparedEpoch <= l.leadership })
	})
}

package consensus

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// simulation runs replicas in virtual time, with a simulated network, disks and clocks, and checks their invariants.
type simulation struct {
	now             time.Duration
	random          *rand.Rand
	queue           timedActions
	order           int
	sites           []*site
	partitions      map[[2]string]bool
	toleratedLosses int
	seeds           []string
	window          time.Duration
	mutant          mutant
	faultRate       float64 // fraction of the messages that are lost, duplicated or delayed
	rate            int     // bytes per second of each path; 0: no bound

	transferRate      int // expected by the replicas; 0: the constant transferRate
	chooseFault       func(n int) messageFault
	messages          int // messages sent
	folders           int
	token             uint64
	pendingOperations map[uint64]*operation
	pendingReplies    map[uint64]func(proto.Message)
	acknowledged      map[string]uint64 // key to sequence
	acknowledgedAt    map[string]time.Duration
	acknowledgedUnder map[string]uint64 // epoch
	rejected          map[string]bool
	chosen            map[uint64]*tierv1.View
	newestView        *tierv1.View
	wiped             map[string]bool
	onDeliver         func(to *site, body proto.Message) // called with each message that is delivered
	violations        []string
	trace             []string
}

type messageFault int

const (
	none messageFault = iota
	lost
	duplicated
	delayed
	replyLost
	receiverKilled
	receiverUnpowered
	receiverWiped
	senderKilled
	senderUnpowered
	senderWiped
	messageFaultCount
)

type operation struct {
	key   string // empty: a confirm
	began time.Duration
	site  *site
}

type timedAction struct {
	at    time.Duration
	order int
	do    func()
}
type timedActions []timedAction

func (q timedActions) Len() int { return len(q) }
func (q timedActions) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q timedActions) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *timedActions) Push(x any)   { *q = append(*q, x.(timedAction)) }
func (q *timedActions) Pop() any {
	o := *q
	x := o[len(o)-1]
	*q = o[:len(o)-1]
	return x
}

// site is one machine: its address, its disk and the process that runs there.
type site struct {
	simulation  *simulation
	member      *tierv1.Member
	replica     *replica // nil: no process
	subject     *subject
	incarnation int
	synced      [][]byte
	unsynced    [][]byte
	syncing     bool
	inbox       []event
	wakeAt      time.Duration
	removed     bool
	unpowered   bool // without power: calls to it hang
	paused      bool // stopped, as by SIGSTOP: nothing runs, events are queued
	stalled     bool // its disk hangs: a sync that has begun does not end
	deferred    []func()
	checkedView *tierv1.View
	newestEpoch uint64 // epoch of its newest leadership
}

func newSimulation(seed uint64, n, losses int) *simulation {
	w := &simulation{random: rand.New(rand.NewPCG(seed, 7)), partitions: make(map[[2]string]bool), toleratedLosses: losses, window: 3 * time.Second,
		pendingOperations: make(map[uint64]*operation), pendingReplies: make(map[uint64]func(proto.Message)), acknowledged: make(map[string]uint64), acknowledgedAt: make(map[string]time.Duration), acknowledgedUnder: make(map[string]uint64),
		rejected: make(map[string]bool), chosen: make(map[uint64]*tierv1.View), wiped: make(map[string]bool), now: time.Millisecond}
	for i := range n {
		w.sites = append(w.sites, &site{simulation: w, member: &tierv1.Member{Address: fmt.Sprint("a", i), Zone: fmt.Sprint("z", i%3), Region: "r"}})
		if i < 3 {
			w.seeds = append(w.seeds, fmt.Sprint("a", i))
		}
	}
	return w
}

func (w *simulation) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.queue, timedAction{w.now + d, w.order, do})
}

func (w *simulation) runUntil(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until && len(w.violations) == 0 {
		m := heap.Pop(&w.queue).(timedAction)
		w.now = m.at
		m.do()
	}
	if len(w.violations) == 0 {
		w.now = until
	}
}

func (w *simulation) recordViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
}

func (w *simulation) logf(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
}

func (w *simulation) site(address string) *site {
	for _, s := range w.sites {
		if s.member.Address == address {
			return s
		}
	}
	return nil
}

func (w *simulation) delay() time.Duration {
	return time.Millisecond + time.Duration(w.random.Int64N(int64(3*time.Millisecond)))
}

// start starts a process, with a new folder if the disk is empty.
func (s *site) start(bootstrap bool) {
	w := s.simulation
	if s.replica != nil || s.removed {
		return
	}
	s.unpowered = false
	var d durableState
	for _, r := range s.synced {
		if err := d.replay(r); err != nil {
			w.recordViolation("replay: %v", err)
		}
	}
	if d.Folder == "" {
		w.folders++
		d.identity = identity{Folder: fmt.Sprintf("f%d@%s", w.folders, s.member.Address), Seeds: w.seeds,
			Genesis: bootstrap && slices.Contains(w.seeds, s.member.Address)}
		s.synced = append(s.synced, encodeIdentity(d.identity))
	}
	s.incarnation++
	timing := newTiming(w.window, 1200*time.Millisecond)
	if w.transferRate > 0 {
		timing.transferRate = w.transferRate
	}
	s.replica = newReplica(d, replicaConfig{self: s.member, seeds: w.seeds, toleratedLosses: w.toleratedLosses, timing: timing, jitterSeed: w.random.Uint64()})
	s.replica.now = w.now
	s.replica.candidacyAt += w.now
	s.replica.joinAt += w.now
	s.subject = &subject{replica: s.replica, mutant: w.mutant, requests: make(map[uint64]proto.Message)}
	s.syncing, s.inbox, s.checkedView = false, nil, nil
	s.paused, s.stalled, s.deferred = false, false, nil
	w.logf("start %s", d.Folder)
	s.wake()
}

// stop ends the process. Written records survive, unless the machine loses power: then all or a tail of the unsynced records are lost.
func (s *site) stop(power bool) {
	if s.replica == nil {
		return
	}
	w := s.simulation
	w.logf("stop %s power=%v", s.replica.Folder, power)
	for t, o := range w.pendingOperations {
		if o.site == s {
			delete(w.pendingOperations, t)
		}
	}
	s.replica = nil
	s.incarnation++
	if power && len(s.unsynced) > 0 {
		s.unsynced = s.unsynced[:w.random.IntN(len(s.unsynced))]
	}
	s.synced, s.unsynced = append(s.synced, s.unsynced...), nil
}

// mayWipe reports whether the loss of one more disk is within the tolerated losses.
func (w *simulation) mayWipe() bool {
	if w.newestView == nil || len(w.newestView.Members) < 2*w.toleratedLosses+1 || len(w.newestView.Former) > 0 || len(w.newestView.Backups) < w.toleratedLosses {
		return false
	}
	views := []*tierv1.View{w.newestView}
	for _, s := range w.sites {
		if s.replica == nil {
			return false
		}
		if epochOf(s.replica.accepted) > w.newestView.Epoch {
			views = append(views, s.replica.accepted)
		}
	}
	// In each set of voters and among the replicas of the state, the lost disks, this one included, must not exceed the tolerated losses.
	for _, r := range views {
		n := 0
		for folder := range w.wiped {
			if isNamedIn(r, folder) {
				n++
			}
		}
		if n >= w.toleratedLosses {
			return false
		}
	}
	for _, set := range quorumSets(views...) {
		n := 0
		for _, v := range set {
			if v.Folder == "" || w.wiped[v.Folder] {
				n++
			}
		}
		if n >= w.toleratedLosses {
			return false
		}
	}
	return true
}

func (s *site) wipe() {
	if s.replica == nil {
		return
	}
	s.simulation.wiped[s.replica.Folder] = true
	s.stop(true)
	s.synced, s.unsynced = nil, nil
}

func (s *site) wake() {
	if s.replica == nil {
		return
	}
	at, incarnation := max(s.replica.nextStepAt(), s.simulation.now+time.Millisecond), s.incarnation
	s.wakeAt = at
	s.simulation.after(at-s.simulation.now, func() {
		if s.incarnation == incarnation && s.wakeAt == at && s.replica != nil {
			s.step(tick{})
		}
	})
}

func (s *site) step(events ...event) {
	s.inbox = append(s.inbox, events...)
	if s.syncing || s.replica == nil || s.paused {
		return
	}
	events, s.inbox = s.inbox, nil
	w := s.simulation
	out := s.subject.step(w.now, events...)
	for _, n := range out.transitions {
		w.logf("%s %s prepared=%d chosen=%d seq=%d", s.replica.Folder, n, s.replica.preparedEpoch, epochOf(s.replica.chosen), s.replica.sequence)
	}
	incarnation := s.incarnation
	for _, c := range out.unsyncedCalls {
		s.send(c)
		if s.incarnation != incarnation {
			return
		}
	}
	s.unsynced = append(s.unsynced, out.records...)
	finish := func() {
		s.syncing = false
		w.check(s)
		for _, o := range out.outcomes {
			w.outcome(s, o)
		}
		for _, r := range out.replies {
			replyTo := w.takeReply(r.token)
			replyTo(r.body)
			if s.incarnation != incarnation {
				return
			}
		}
		for _, c := range out.calls {
			s.send(c)
			if s.incarnation != incarnation {
				return
			}
		}
		if len(s.inbox) > 0 {
			s.step()
		} else {
			s.wake()
		}
	}
	if !out.sync {
		finish()
		return
	}
	s.syncing = true
	synced := func() {
		if s.incarnation != incarnation {
			return
		}
		s.synced, s.unsynced = append(s.synced, s.unsynced...), nil
		finish()
	}
	w.after(time.Millisecond+time.Duration(w.random.Int64N(int64(8*time.Millisecond))), func() {
		if s.incarnation == incarnation && (s.paused || s.stalled) {
			s.deferred = append(s.deferred, synced)
			return
		}
		synced()
	})
}

// resume ends a pause or a hanging disk. Deferred syncs complete first, then the events queued meanwhile are handled.
func (s *site) resume() {
	wasPaused := s.paused
	s.paused, s.stalled = false, false
	deferred, inbox := s.deferred, s.inbox
	s.deferred = nil
	if wasPaused && s.replica != nil && !s.syncing { // timers may run before any queued event is read
		s.inbox = nil
		s.step(tick{})
		if s.leads() {
			s.simulation.recordViolation("%s leads right after a pause", s.replica.Folder)
		}
		s.inbox = append(inbox, s.inbox...)
	}
	for _, do := range deferred {
		do()
	}
	if s.replica != nil && !s.syncing {
		s.step(tick{})
	}
}

func (w *simulation) takeReply(token uint64) func(proto.Message) {
	f := w.pendingReplies[token]
	delete(w.pendingReplies, token)
	if f == nil {
		return func(proto.Message) {}
	}
	return f
}

// send makes a call. Each call ends in a result, which is nil if no reply arrives within the time-out.
func (s *site) send(c outgoingCall) {
	w := s.simulation
	incarnation, ended := s.incarnation, false
	end := func(body proto.Message) {
		if s.incarnation == incarnation && !ended {
			ended = true
			s.step(callResult{c.id, body})
		}
	}
	w.after(c.timeout, func() { end(nil) })
	w.messages++
	to := w.site(c.address)
	kind := none
	if w.chooseFault != nil {
		kind = w.chooseFault(w.messages)
	} else if w.random.Float64() < w.faultRate {
		kind = messageFault(1 + w.random.IntN(int(replyLost)))
	}
	restart := func(x *site) { w.after(700*time.Millisecond, func() { x.start(false) }) }
	if to == nil || kind == lost || w.partitions[[2]string{s.member.Address, c.address}] {
		return
	}
	toIncarnation := to.incarnation
	deliver := func() {
		if to.replica == nil || to.incarnation != toIncarnation { // a connection ends with the process of the callee
			end(nil)
			return
		}
		w.token++
		token := w.token
		w.pendingReplies[token] = func(body proto.Message) {
			if kind == replyLost || w.partitions[[2]string{c.address, s.member.Address}] {
				return
			}
			w.after(w.delay(), func() { end(proto.Clone(body)) })
		}
		if w.onDeliver != nil {
			w.onDeliver(to, c.body)
		}
		to.step(incomingCall{token, proto.Clone(c.body)})
		switch kind {
		case receiverKilled:
			to.stop(false)
			restart(to)
		case receiverUnpowered:
			to.stop(true)
			restart(to)
		case receiverWiped:
			if w.mayWipe() {
				to.wipe()
				restart(to)
			}
		default: // other kinds act on the message or on its sender
		}
	}
	if to.replica == nil {
		if !to.unpowered {
			w.after(w.delay(), func() { end(nil) })
		}
		return
	}
	d := w.delay()
	if w.rate > 0 {
		d += time.Duration(proto.Size(c.body)) * time.Second / time.Duration(w.rate)
	}
	if kind == delayed {
		d += time.Duration(w.random.Int64N(int64(2 * time.Second)))
	}
	w.after(d, deliver)
	switch kind {
	case duplicated:
		w.after(d+time.Duration(w.random.Int64N(int64(time.Second))), deliver)
	case senderKilled:
		s.stop(false)
		restart(s)
	case senderUnpowered:
		s.stop(true)
		restart(s)
	case senderWiped:
		if w.mayWipe() {
			s.wipe()
			restart(s)
		}
	default: // other kinds act on the message or on its receiver
	}
}

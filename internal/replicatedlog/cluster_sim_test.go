package replicatedlog

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"saffronyard.example/saffronyard/internal/fleetpolicy"
	"saffronyard.example/saffronyard/internal/lease"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// sim is a fleet in virtual time: the production voters and replicas, with a network that delays, loses and blocks messages, disks with
// latency, and clocks that drift. A seed always gives the same run.
type sim struct {
	t           testing.TB
	rng         *rand.Rand
	now         time.Duration
	queue       eventQueue
	nextOrder   int
	voters      []*simVoter
	replicas    []*simReplica
	terms       lease.Terms
	loss        float64
	partitioned map[[2]int]bool // directions that are cut, by the indexes of sender and receiver: voters first, then replicas
	newestActed uint64          // newest version that any replica was allowed to act under
	bytes       int             // to and from replicas
	messages    int
}

type simVoter struct {
	voter          *Voter
	disk           *StoredLog
	up             bool
	incarnation    int
	feed           []*pb.Entry
	leader         uint64
	alarm          time.Duration
	rate           float64
	pending        map[uint64]func(Reply)
	lastReplyTo    uint64
	writes         int
	crashesAtWrite int // it crashes at its write of this number; if torn, the write is lost
	torn           bool
}

type simReplica struct {
	replica     *Replica
	incarnation int
	up          bool
	follows     int
	view        *fleetpolicy.View
	leaseUntil  time.Duration // on its own clock
	sentIndex   uint64        // up to which its voter has sent the log
	alarm       time.Duration
	rate        float64
	finished    map[uint64]uint64 // version by finished change
}

type simEvent struct {
	at    time.Duration
	order int
	do    func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(simEvent)) }

func (q *eventQueue) Pop() any {
	old := *q
	h := old[len(old)-1]
	*q = old[:len(old)-1]
	return h
}

type discardLogger struct{}

func (discardLogger) Debug(...any)              {}
func (discardLogger) Debugf(string, ...any)     {}
func (discardLogger) Info(...any)               {}
func (discardLogger) Infof(string, ...any)      {}
func (discardLogger) Warning(...any)            {}
func (discardLogger) Warningf(string, ...any)   {}
func (discardLogger) Error(...any)              {}
func (discardLogger) Errorf(string, ...any)     {}
func (discardLogger) Fatal(v ...any)            { panic(fmt.Sprint(v...)) }
func (discardLogger) Fatalf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
func (discardLogger) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (discardLogger) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }

var _ raft.Logger = discardLogger{}

func voterName(i int) string { return fmt.Sprintf("v%d", i) }

func newSim(t testing.TB, seed uint64, voters, replicas int) *sim {
	s := &sim{t: t, rng: rand.New(rand.NewPCG(seed, 1)), terms: lease.Terms{Duration: 3 * time.Second, MaxDrift: lease.DefaultDrift}, partitioned: map[[2]int]bool{}}
	conf := &raftpb.ConfState{}
	for i := range voters {
		conf.Voters = append(conf.Voters, VoterID(voterName(i)))
	}
	for i := range voters {
		s.voters = append(s.voters, &simVoter{disk: &StoredLog{HardState: &raftpb.HardState{}, ConfState: conf}, rate: 1 + 0.01*float64(i%3-1)})
		s.startVoter(i, map[string]PeerState{"all": {}})
	}
	for i := range replicas {
		s.replicas = append(s.replicas, &simReplica{rate: 1 + 0.01*float64(i%3-1), finished: map[uint64]uint64{}})
		s.startReplica(i)
	}
	return s
}

func (s *sim) after(d time.Duration, do func()) {
	s.nextOrder++
	heap.Push(&s.queue, simEvent{s.now + d, s.nextOrder, do})
}

// send delivers a message to another node after a delay, unless the direction is cut or the message is lost.
func (s *sim) send(from, to int, do func()) {
	if s.partitioned[[2]int{from, to}] || s.rng.Float64() < s.loss {
		return
	}
	s.after(time.Millisecond+time.Duration(s.rng.Int64N(int64(4*time.Millisecond))), do)
}

// startVoter starts a voter from its disk; peers are its peers' answers to the handshake.
func (s *sim) startVoter(i int, peers map[string]PeerState) {
	v := s.voters[i]
	saved := *v.disk
	core, _, err := NewVoter(VoterConfig{Name: voterName(i), Stored: &saved, Peers: peers, Terms: s.terms, Policy: fleetpolicy.NewMachine(), Logger: discardLogger{}})
	if err != nil {
		s.t.Fatal(err)
	}
	v.voter, v.up, v.feed, v.alarm, v.pending, v.leader = core, true, nil, 0, map[uint64]func(Reply){}, 0
	v.incarnation++
	s.stepVoter(i)
}

// handshake returns the answers of the other voters to the handshake; nil if one of them is down.
func (s *sim) handshake(i int) map[string]PeerState {
	answers := map[string]PeerState{}
	for j, v := range s.voters {
		if j == i {
			continue
		}
		if !v.up {
			return nil
		}
		h := PeerState{Term: v.voter.node.BasicStatus().HardState.GetTerm()}
		h.LastTerm, h.LastIndex = v.voter.lastEntry()
		if v.voter.isLeader() {
			h.MatchIndex = v.voter.node.Status().Progress[VoterID(voterName(i))].Match
		}
		answers[voterName(j)] = h
	}
	return answers
}

func (s *sim) stepVoter(i int, events ...VoterEvent) {
	v := s.voters[i]
	if !v.up {
		return
	}
	incarnation := v.incarnation
	clock := time.Duration(float64(s.now) * v.rate)
	actions, alarm := v.voter.Step(clock+time.Hour*time.Duration(i), events)
	disk := time.Duration(0)
	for _, a := range actions {
		switch a := a.(type) {
		case Persist:
			v.writes++
			if v.writes == v.crashesAtWrite {
				if !v.torn {
					s.persist(v.disk, a)
				}
				v.up = false
				s.after(700*time.Millisecond, func() { s.restartVoter(i) })
				return
			}
			s.persist(v.disk, a)
			disk += 500 * time.Microsecond
		case SendMessage:
			to := slices.IndexFunc(s.voters, func(o *simVoter) bool { return o.voter.id == a.Message.GetTo() })
			if to >= 0 {
				m := proto.Clone(a.Message).(*raftpb.Message)
				toIncarnation := s.voters[to].incarnation
				s.send(i, to, func() {
					if v.incarnation == incarnation && s.voters[to].incarnation == toIncarnation {
						s.stepVoter(to, MessageReceived{m})
					}
				})
			}
		case Reply:
			if f := v.pending[a.To]; f != nil {
				delete(v.pending, a.To)
				s.after(disk, func() { f(a) })
			}
		case Committed:
			if a.Snapshot != nil {
				v.feed = nil // runs are too short for a voter to take a snapshot
			}
			v.feed = append(v.feed, a.Entries...)
			s.after(disk, func() { s.sendLog(i) })
		case Status:
			v.leader = a.Leader
		}
	}
	if at := max(s.now+time.Microsecond, time.Duration(float64(alarm-time.Hour*time.Duration(i))/v.rate)); at != v.alarm {
		v.alarm = at
		s.after(at-s.now, func() {
			if v.incarnation == incarnation && v.alarm == at {
				s.stepVoter(i)
			}
		})
	}
}

func (s *sim) persist(disk *StoredLog, a Persist) {
	if a.HardState != nil {
		disk.HardState = proto.Clone(a.HardState).(*raftpb.HardState)
	}
	if a.ConfState != nil {
		disk.ConfState = a.ConfState
	}
	if n := len(a.Entries); n > 0 {
		first := a.Entries[0].GetIndex()
		disk.Entries = append(slices.Clone(disk.Entries[:first-1-disk.BaseIndex]), a.Entries...)
	}
}

// sendLog sends a voter's log to its followers.
func (s *sim) sendLog(i int) {
	for j, c := range s.replicas {
		if c.follows != i || !c.up {
			continue
		}
		if n := uint64(len(s.voters[i].feed)); n > c.sentIndex {
			p := &pb.LogChunk{Entries: s.voters[i].feed[c.sentIndex:n], CommitIndex: n}
			c.sentIndex = n
			s.count(p)
			incarnation := c.incarnation
			s.send(i, len(s.voters)+j, func() {
				if c.incarnation == incarnation {
					s.stepReplica(j, LogReceived{p})
				}
			})
		}
	}
}

func (s *sim) count(m proto.Message) {
	s.bytes += proto.Size(m)
	s.messages++
}

func (s *sim) startReplica(j int) {
	c := s.replicas[j]
	c.incarnation++
	c.up, c.sentIndex, c.view, c.leaseUntil = true, 0, nil, 0
	c.replica = NewReplica(fmt.Sprintf("s%d", j), uint64(c.incarnation), fleetpolicy.Settings{}, s.terms)
	c.follows = j % len(s.voters)
	s.stepReplica(j)
	s.resumeFollowing(j, c.incarnation)
}

// resumeFollowing resumes the log's stream from the replica's index each second. It turns to the next voter if the current one does not
// deliver.
func (s *sim) resumeFollowing(j, incarnation int) {
	c := s.replicas[j]
	if c.incarnation != incarnation {
		return
	}
	if c.replica.State().Index() < c.sentIndex || !s.voters[c.follows].up || s.partitioned[[2]int{c.follows, len(s.voters) + j}] {
		c.follows = (c.follows + 1) % len(s.voters)
	}
	c.sentIndex = min(c.replica.State().Index(), uint64(len(s.voters[c.follows].feed)))
	s.sendLog(c.follows)
	s.after(time.Second, func() { s.resumeFollowing(j, incarnation) })
}

func (s *sim) stepReplica(j int, events ...ReplicaEvent) {
	c := s.replicas[j]
	if !c.up {
		return
	}
	incarnation, node := c.incarnation, len(s.voters)+j
	clockOffset := time.Duration(j) * time.Minute
	clock := time.Duration(float64(s.now)*c.rate) + clockOffset
	actions, alarm := c.replica.Step(clock, events)
	deliver := func(d time.Duration, e ReplicaEvent) {
		s.after(d, func() {
			if c.incarnation == incarnation {
				s.stepReplica(j, e)
			}
		})
	}
	for _, a := range actions {
		switch a := a.(type) {
		case StageChange:
			deliver(2*time.Millisecond, ChangeStaged{ChangeID: a.ChangeID})
		case PublishView:
			c.view, c.leaseUntil = a.View, a.LeaseUntil
			if a.Drain {
				deliver(time.Millisecond, Drained{a.View.Index})
			}
		case SendLeaseRequest:
			s.count(a.Request)
			s.requestLease(node, c.follows, a.Request, true, func(reply Reply) {
				if r, ok := reply.Message.(*pb.LeaseReply); ok {
					s.count(r)
					deliver(0, LeaseGranted{a.RequestedAt, r.RequiredIndex, time.Duration(r.DurationUs) * time.Microsecond})
				}
			})
		case SubmitJoin:
			body, _ := proto.Marshal(a.Command)
			s.submit(node, c.follows, &pb.Command{Kind: KindJoin, Session: uint64(j+1)<<32 | uint64(c.incarnation), Sequence: 1, Body: body}, func(Reply) {})
		case LeaseExpired:
		}
	}
	for _, p := range c.replica.Policy().State().GetHistory() {
		c.finished[p.Id] = p.Version
	}
	s.checkVersions()
	if at := max(s.now+time.Microsecond, time.Duration(float64(alarm-clockOffset)/c.rate)); at != c.alarm {
		c.alarm = at
		s.after(at-s.now, func() {
			if c.incarnation == incarnation && c.alarm == at {
				s.stepReplica(j)
			}
		})
	}
}

// requestLease sends a lease request to a voter, which forwards it to the leader.
func (s *sim) requestLease(from, at int, r *pb.LeaseRequest, forward bool, answer func(Reply)) {
	s.callVoter(from, at, forward, func(to uint64) VoterEvent { return LeaseRequested{to, r} }, answer)
}

func (s *sim) submit(from, at int, c *pb.Command, answer func(Reply)) {
	s.callVoter(from, at, true, func(to uint64) VoterEvent { return CommandSubmitted{to, c} }, answer)
}

func (s *sim) callVoter(from, at int, forward bool, event func(uint64) VoterEvent, answer func(Reply)) {
	s.send(from, at, func() {
		v := s.voters[at]
		if !v.up {
			return
		}
		v.lastReplyTo++
		v.pending[v.lastReplyTo] = func(reply Reply) {
			if forward && errors.Is(reply.Err, ErrNotLeader) {
				lead := slices.IndexFunc(s.voters, func(o *simVoter) bool { return o.voter.id == v.leader })
				if lead >= 0 && lead != at {
					s.callVoter(at, lead, false, event, func(reply Reply) { s.send(at, from, func() { answer(reply) }) })
				}
				return
			}
			s.send(at, from, func() { answer(reply) })
		}
		s.stepVoter(at, event(v.lastReplyTo))
	})
}

// checkVersions checks the safety property: once a replica was allowed to begin the call that all changes affect under a version, no
// replica may begin that call under an older version.
func (s *sim) checkVersions() {
	newest := s.newestActed
	may := func(j int, c *simReplica) (uint64, bool) {
		clock := time.Duration(float64(s.now)*c.rate) + time.Duration(j)*time.Minute
		if !c.up || c.view == nil || c.leaseUntil <= clock || c.view.Suspended.HasDestination(7) {
			return 0, false
		}
		return c.view.Version, true
	}
	for j, c := range s.replicas {
		if v, ok := may(j, c); ok {
			newest = max(newest, v)
		}
	}
	if newest == s.newestActed {
		return
	}
	for j, c := range s.replicas {
		if v, ok := may(j, c); ok && v < newest {
			s.t.Fatalf("at %v s%d may act under version %d after another could under version %d", s.now, j, v, newest)
		}
	}
	s.newestActed = newest
}

func (s *sim) run(until time.Duration, done func() bool) bool {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		h := heap.Pop(&s.queue).(simEvent)
		s.now = h.at
		h.do()
		if done != nil && done() {
			return true
		}
	}
	s.now = until
	return done == nil
}

func (s *sim) actingCount() (n int) {
	for j, c := range s.replicas {
		if clock := time.Duration(float64(s.now)*c.rate) + time.Duration(j)*time.Minute; c.up && c.view != nil && c.leaseUntil > clock {
			n++
		}
	}
	return n
}

// propose proposes a change at a replica's voter; number is set to the change's id once the log has applied it.
func (s *sim) propose(at int, base uint64, number *uint64) {
	doc := "[[route]]\ndestinations = [7]\nstate = \"closed\"\n"
	if base%2 == 1 {
		doc = "# open\n"
	}
	body, _ := proto.Marshal(&pb.PolicyCommand{Command: &pb.PolicyCommand_Propose{Propose: &pb.ProposePolicy{BaseVersion: base, Document: []byte(doc), Author: "sim", StageTimeoutUs: 20e6}}})
	s.submit(len(s.voters)+at, s.replicas[at].follows, &pb.Command{Kind: KindPolicy, Session: s.rng.Uint64() | 1, Sequence: 1, Body: body}, func(reply Reply) {
		if r, ok := reply.Message.(*pb.SubmitReply); ok && r.Rejection == "" {
			*number = r.Index
		}
	})
}

// restartVoter starts a voter from its disk once all its peers answer the handshake.
func (s *sim) restartVoter(i int) {
	answers := s.handshake(i)
	if answers == nil {
		s.after(100*time.Millisecond, func() { s.restartVoter(i) })
		return
	}
	s.startVoter(i, answers)
}

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

// sim is a fleet in virtual time: voters and copies as they ship, with a network that delays, loses and cuts, disks that take a
// while, and clocks that run wrong. One seed gives one run.
type sim struct {
	t      testing.TB
	rng    *rand.Rand
	now    time.Duration
	queue  queue
	order  int
	voters []*simVoter
	copies []*simCopy
	terms  lease.Terms
	loss   float64
	cut    map[[2]int]bool // places: voters first, then copies
	acted  uint64          // newest version that anybody could act under
	bytes  int             // to and from copies
	words  int
}

type simVoter struct {
	core  *Voter
	saved *StoredLog // its disk
	up    bool
	life  int
	feed  []*pb.Entry
	lead  uint64
	alarm time.Duration
	rate  float64
	asked map[uint64]func(Reply)
	last  uint64
	saves int
	dies  int // with its save of this number, before that reaches the disk if torn
	torn  bool
}

type simCopy struct {
	copy    *Replica
	life    int
	up      bool
	follows int
	view    *fleetpolicy.View
	until   time.Duration // on its own clock
	at      uint64        // how far its voter has told it
	alarm   time.Duration
	rate    float64
	over    map[uint64]uint64 // change to version
}

type happening struct {
	at    time.Duration
	order int
	do    func()
}

type queue []happening

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *queue) Push(x any) { *q = append(*q, x.(happening)) }

func (q *queue) Pop() any {
	old := *q
	h := old[len(old)-1]
	*q = old[:len(old)-1]
	return h
}

type noLog struct{}

func (noLog) Debug(...any)              {}
func (noLog) Debugf(string, ...any)     {}
func (noLog) Info(...any)               {}
func (noLog) Infof(string, ...any)      {}
func (noLog) Warning(...any)            {}
func (noLog) Warningf(string, ...any)   {}
func (noLog) Error(...any)              {}
func (noLog) Errorf(string, ...any)     {}
func (noLog) Fatal(v ...any)            { panic(fmt.Sprint(v...)) }
func (noLog) Fatalf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
func (noLog) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (noLog) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }

var _ raft.Logger = noLog{}

func voterName(i int) string { return fmt.Sprintf("v%d", i) }

func newSim(t testing.TB, seed uint64, voters, copies int) *sim {
	s := &sim{t: t, rng: rand.New(rand.NewPCG(seed, 1)), terms: lease.Terms{Duration: 3 * time.Second, MaxDrift: lease.DefaultDrift}, cut: map[[2]int]bool{}}
	conf := &raftpb.ConfState{}
	for i := range voters {
		conf.Voters = append(conf.Voters, VoterID(voterName(i)))
	}
	for i := range voters {
		s.voters = append(s.voters, &simVoter{saved: &StoredLog{HardState: &raftpb.HardState{}, ConfState: conf}, rate: 1 + 0.01*float64(i%3-1)})
		s.startVoter(i, map[string]PeerState{"all": {}})
	}
	for i := range copies {
		s.copies = append(s.copies, &simCopy{rate: 1 + 0.01*float64(i%3-1), over: map[uint64]uint64{}})
		s.startCopy(i)
	}
	return s
}

func (s *sim) after(d time.Duration, do func()) {
	s.order++
	heap.Push(&s.queue, happening{s.now + d, s.order, do})
}

// send has something happen at another place after a delay, unless the way is cut or it is lost.
func (s *sim) send(from, to int, do func()) {
	if s.cut[[2]int{from, to}] || s.rng.Float64() < s.loss {
		return
	}
	s.after(time.Millisecond+time.Duration(s.rng.Int64N(int64(4*time.Millisecond))), do)
}

// startVoter starts one from its disk; heard are the others' answers to its hello.
func (s *sim) startVoter(i int, heard map[string]PeerState) {
	v := s.voters[i]
	saved := *v.saved
	core, _, err := NewVoter(VoterConfig{Name: voterName(i), Stored: &saved, Peers: heard, Terms: s.terms, Policy: fleetpolicy.NewMachine(), Logger: noLog{}})
	if err != nil {
		s.t.Fatal(err)
	}
	v.core, v.up, v.feed, v.alarm, v.asked, v.lead = core, true, nil, 0, map[uint64]func(Reply){}, 0
	v.life++
	s.stepVoter(i)
}

// hello gathers the others' answers, of those that run.
func (s *sim) hello(i int) map[string]PeerState {
	heard := map[string]PeerState{}
	for j, v := range s.voters {
		if j == i {
			continue
		}
		if !v.up {
			return nil
		}
		h := PeerState{Term: v.core.node.BasicStatus().HardState.GetTerm()}
		h.LastTerm, h.LastIndex = v.core.lastEntry()
		if v.core.isLeader() {
			h.MatchIndex = v.core.node.Status().Progress[VoterID(voterName(i))].Match
		}
		heard[voterName(j)] = h
	}
	return heard
}

func (s *sim) stepVoter(i int, events ...VoterEvent) {
	v := s.voters[i]
	if !v.up {
		return
	}
	life := v.life
	clock := time.Duration(float64(s.now) * v.rate)
	actions, alarm := v.core.Step(clock+time.Hour*time.Duration(i), events)
	disk := time.Duration(0)
	for _, a := range actions {
		switch a := a.(type) {
		case Persist:
			v.saves++
			if v.saves == v.dies {
				if !v.torn {
					s.save(v.saved, a)
				}
				v.up = false
				s.after(700*time.Millisecond, func() { s.comeBack(i) })
				return
			}
			s.save(v.saved, a)
			disk += 500 * time.Microsecond
		case SendMessage:
			to := slices.IndexFunc(s.voters, func(o *simVoter) bool { return o.core.id == a.Message.GetTo() })
			if to >= 0 {
				m := proto.Clone(a.Message).(*raftpb.Message)
				toLife := s.voters[to].life
				s.send(i, to, func() {
					if v.life == life && s.voters[to].life == toLife {
						s.stepVoter(to, MessageReceived{m})
					}
				})
			}
		case Reply:
			if f := v.asked[a.To]; f != nil {
				delete(v.asked, a.To)
				s.after(disk, func() { f(a) })
			}
		case Committed:
			if a.Snapshot != nil {
				v.feed = nil // none is taken in runs this short
			}
			v.feed = append(v.feed, a.Entries...)
			s.after(disk, func() { s.tell(i) })
		case Status:
			v.lead = a.Leader
		}
	}
	if at := max(s.now+time.Microsecond, time.Duration(float64(alarm-time.Hour*time.Duration(i))/v.rate)); at != v.alarm {
		v.alarm = at
		s.after(at-s.now, func() {
			if v.life == life && v.alarm == at {
				s.stepVoter(i)
			}
		})
	}
}

func (s *sim) save(disk *StoredLog, a Persist) {
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

// tell has a voter tell those that follow it.
func (s *sim) tell(i int) {
	for j, c := range s.copies {
		if c.follows != i || !c.up {
			continue
		}
		if n := uint64(len(s.voters[i].feed)); n > c.at {
			p := &pb.LogChunk{Entries: s.voters[i].feed[c.at:n], CommitIndex: n}
			c.at = n
			s.count(p)
			life := c.life
			s.send(i, len(s.voters)+j, func() {
				if c.life == life {
					s.stepCopy(j, LogReceived{p})
				}
			})
		}
	}
}

func (s *sim) count(m proto.Message) {
	s.bytes += proto.Size(m)
	s.words++
}

func (s *sim) startCopy(j int) {
	c := s.copies[j]
	c.life++
	c.up, c.at, c.view, c.until = true, 0, nil, 0
	c.copy = NewReplica(fmt.Sprintf("s%d", j), uint64(c.life), fleetpolicy.Settings{}, s.terms)
	c.follows = j % len(s.voters)
	s.stepCopy(j)
	s.tellAgain(j, c.life)
}

// tellAgain is the follower that notices silence: it asks again from where it stands.
func (s *sim) tellAgain(j, life int) {
	c := s.copies[j]
	if c.life != life {
		return
	}
	if c.copy.State().Index() < c.at || !s.voters[c.follows].up || s.cut[[2]int{c.follows, len(s.voters) + j}] {
		c.follows = (c.follows + 1) % len(s.voters)
	}
	c.at = min(c.copy.State().Index(), uint64(len(s.voters[c.follows].feed)))
	s.tell(c.follows)
	s.after(time.Second, func() { s.tellAgain(j, life) })
}

func (s *sim) stepCopy(j int, events ...ReplicaEvent) {
	c := s.copies[j]
	if !c.up {
		return
	}
	life, place := c.life, len(s.voters)+j
	ahead := time.Duration(j) * time.Minute
	clock := time.Duration(float64(s.now)*c.rate) + ahead
	actions, alarm := c.copy.Step(clock, events)
	back := func(d time.Duration, e ReplicaEvent) {
		s.after(d, func() {
			if c.life == life {
				s.stepCopy(j, e)
			}
		})
	}
	for _, a := range actions {
		switch a := a.(type) {
		case StageChange:
			back(2*time.Millisecond, ChangeStaged{ChangeID: a.ChangeID})
		case PublishView:
			c.view, c.until = a.View, a.LeaseUntil
			if a.Drain {
				back(time.Millisecond, Drained{a.View.Index})
			}
		case SendLeaseRequest:
			s.count(a.Request)
			s.ask(place, c.follows, a.Request, true, func(reply Reply) {
				if r, ok := reply.Message.(*pb.LeaseReply); ok {
					s.count(r)
					back(0, LeaseGranted{a.RequestedAt, r.RequiredIndex, time.Duration(r.DurationUs) * time.Microsecond})
				}
			})
		case SubmitJoin:
			body, _ := proto.Marshal(a.Command)
			s.submit(place, c.follows, &pb.Command{Kind: KindJoin, Session: uint64(j+1)<<32 | uint64(c.life), Sequence: 1, Body: body}, func(Reply) {})
		}
	}
	for _, p := range c.copy.Policy().State().GetHistory() {
		c.over[p.Id] = p.Version
	}
	s.check()
	if at := max(s.now+time.Microsecond, time.Duration(float64(alarm-ahead)/c.rate)); at != c.alarm {
		c.alarm = at
		s.after(at-s.now, func() {
			if c.life == life && c.alarm == at {
				s.stepCopy(j)
			}
		})
	}
}

// ask puts a question to a voter, which passes it on to the one that leads.
func (s *sim) ask(from, at int, r *pb.LeaseRequest, on bool, answer func(Reply)) {
	s.pass(from, at, on, func(to uint64) VoterEvent { return LeaseRequested{to, r} }, answer)
}

func (s *sim) submit(from, at int, c *pb.Command, answer func(Reply)) {
	s.pass(from, at, true, func(to uint64) VoterEvent { return CommandSubmitted{to, c} }, answer)
}

func (s *sim) pass(from, at int, on bool, event func(uint64) VoterEvent, answer func(Reply)) {
	s.send(from, at, func() {
		v := s.voters[at]
		if !v.up {
			return
		}
		v.last++
		v.asked[v.last] = func(reply Reply) {
			if on && errors.Is(reply.Err, ErrNotLeader) {
				lead := slices.IndexFunc(s.voters, func(o *simVoter) bool { return o.core.id == v.lead })
				if lead >= 0 && lead != at {
					s.pass(at, lead, false, event, func(reply Reply) { s.send(at, from, func() { answer(reply) }) })
				}
				return
			}
			s.send(at, from, func() { answer(reply) })
		}
		s.stepVoter(at, event(v.last))
	})
}

// check is the promise: nobody may act on the call that all changes touch under a version that another could act past.
func (s *sim) check() {
	newest := s.acted
	may := func(j int, c *simCopy) (uint64, bool) {
		clock := time.Duration(float64(s.now)*c.rate) + time.Duration(j)*time.Minute
		if !c.up || c.view == nil || c.until <= clock || c.view.Suspended.HasDestination(7) {
			return 0, false
		}
		return c.view.Version, true
	}
	for j, c := range s.copies {
		if v, ok := may(j, c); ok {
			newest = max(newest, v)
		}
	}
	if newest == s.acted {
		return
	}
	for j, c := range s.copies {
		if v, ok := may(j, c); ok && v < newest {
			s.t.Fatalf("at %v s%d may act under version %d, and %d is acted under", s.now, j, v, newest)
		}
	}
	s.acted = newest
}

func (s *sim) run(until time.Duration, done func() bool) bool {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		h := heap.Pop(&s.queue).(happening)
		s.now = h.at
		h.do()
		if done != nil && done() {
			return true
		}
	}
	s.now = until
	return done == nil
}

func (s *sim) acting() (n int) {
	for j, c := range s.copies {
		if clock := time.Duration(float64(s.now)*c.rate) + time.Duration(j)*time.Minute; c.up && c.view != nil && c.until > clock {
			n++
		}
	}
	return n
}

// propose hands a change in at a copy's voter; its number comes when the log has it.
func (s *sim) propose(at int, base uint64, number *uint64) {
	doc := "[[route]]\ndestinations = [7]\nstate = \"closed\"\n"
	if base%2 == 1 {
		doc = "# open\n"
	}
	body, _ := proto.Marshal(&pb.PolicyCommand{Command: &pb.PolicyCommand_Propose{Propose: &pb.ProposePolicy{BaseVersion: base, Document: []byte(doc), Author: "sim", StageTimeoutUs: 20e6}}})
	s.submit(len(s.voters)+at, s.copies[at].follows, &pb.Command{Kind: KindPolicy, Session: s.rng.Uint64() | 1, Sequence: 1, Body: body}, func(reply Reply) {
		if r, ok := reply.Message.(*pb.SubmitReply); ok && r.Rejection == "" {
			*number = r.Index
		}
	})
}

// comeBack starts a voter from its disk once all others answer its hello.
func (s *sim) comeBack(i int) {
	heard := s.hello(i)
	if heard == nil {
		s.after(100*time.Millisecond, func() { s.comeBack(i) })
		return
	}
	s.startVoter(i, heard)
}

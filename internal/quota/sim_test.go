package quota

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"saffronyard.example/saffronyard/internal/coordinator"
	"saffronyard.example/saffronyard/internal/lease"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// sim simulates a fleet in virtual time: it runs the production code in one goroutine over a network with random delays and losses, which
// are determined by a seed. Each sender's clock has its own offset and rate. Uses are counted at the receivers.
type sim struct {
	t                *testing.T
	rng              *rand.Rand
	now              time.Duration
	queue            eventQueue
	n                int
	terms            Terms
	limits           []Limit
	senders          []*simSender
	membership       *pb.MembershipState
	partitioned      map[[2]int]bool
	loss             float64
	uses             map[string][]time.Duration // times of the uses within the last span at the receiver, by limit
	counts           map[string]int             // of uses, by limit
	usesBySender     map[string]map[int]int     // counts of uses, by limit and sender
	violation        string
	sent             int
	bytes            int
	incarnations     uint64
	nextParticipants []*pb.Participant // nil: no membership is proposed
	changedAgain     bool              // another membership is to be proposed after this one
}

type simSender struct {
	s            *sim
	i            int
	name         string
	id           lease.HolderID
	rate         float64
	offset       time.Duration
	allowances   *Allowances
	client       *Client
	server       *Server
	events       []ClientEvent
	down         bool
	pausedUntil  time.Duration
	leaseUntil   time.Duration // end of its fleet lease, in true time
	proposedSeen uint64        // epoch of the newest proposed membership that it has received
	alarm        time.Duration // in true time
	load         map[string]*simLoad
}

// simLoad is the load of a sender on one limit: messages arrive at a rate and wait in a backlog.
type simLoad struct {
	every      time.Duration
	waiting    int64
	retryAt    time.Duration
	pacedUntil time.Duration
	stuck      bool // its calls never use units
}

type simEvent struct {
	at time.Duration
	n  int
	do func()
}
type eventQueue []simEvent

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].n < a[j].n
}
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)   { *a = append(*a, x.(simEvent)) }
func (a *eventQueue) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

func newSim(t *testing.T, seed uint64, n int, terms Terms, limits ...Limit) *sim {
	s := &sim{t: t, rng: rand.New(rand.NewPCG(seed, 1)), terms: terms, limits: limits, partitioned: map[[2]int]bool{}, uses: map[string][]time.Duration{}, counts: map[string]int{}, usesBySender: map[string]map[int]int{}}
	s.membership = &pb.MembershipState{}
	for i := range n {
		p := &simSender{s: s, i: i, name: fmt.Sprintf("n%03d", i), rate: 1 + (s.rng.Float64()*2-1)*terms.MaxDrift, offset: time.Duration(s.rng.Int64N(int64(time.Hour)))}
		s.senders = append(s.senders, p)
		p.start()
	}
	s.activate()
	return s
}

func (s *sim) at(d time.Duration, do func()) {
	s.n++
	heap.Push(&s.queue, simEvent{s.now + d, s.n, do})
}

// run processes events up to a time.
func (s *sim) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until && s.violation == "" {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.do()
	}
	s.now = until
}

const leaseLength = time.Second

// activate proposes a membership of all senders that hold a lease, and activates it once the fence has passed: once all senders that hold a
// lease have received the proposal.
func (s *sim) activate() {
	if s.nextParticipants != nil {
		s.changedAgain = true
		return
	}
	s.nextParticipants = []*pb.Participant{}
	for _, p := range s.senders {
		if !p.down && p.leaseUntil > s.now {
			s.nextParticipants = append(s.nextParticipants, &pb.Participant{Name: p.name, Incarnation: p.id.Incarnation})
		}
	}
	m := &pb.MembershipState{Epoch: s.membership.Epoch, Participants: s.membership.Participants, NextEpoch: s.membership.Epoch + 1, NextParticipants: s.nextParticipants}
	s.deliverMembership(m)
	var fence func()
	fence = func() {
		for _, p := range s.senders {
			if p.proposedSeen < m.NextEpoch && p.leaseUntil > s.now {
				s.at(10*time.Millisecond, fence)
				return
			}
		}
		s.membership, s.nextParticipants = &pb.MembershipState{Epoch: m.NextEpoch, Participants: s.nextParticipants}, nil
		s.deliverMembership(s.membership)
		if s.changedAgain {
			s.changedAgain = false
			s.activate()
		}
	}
	s.at(10*time.Millisecond, fence)
}

// deliverMembership delivers a membership to each sender with a random delay, and to a paused sender after it has resumed.
func (s *sim) deliverMembership(m *pb.MembershipState) {
	for _, p := range s.senders {
		incarnation := p.id.Incarnation
		var deliver func()
		deliver = func() {
			switch {
			case p.down || p.id.Incarnation != incarnation || m.Epoch < p.client.epoch:
			case p.pausedUntil > s.now:
				s.at(p.pausedUntil-s.now+s.delay(), deliver)
			default:
				p.proposedSeen = max(p.proposedSeen, m.NextEpoch)
				p.client.SetMembership(m)
				p.server.SetMembership(m, p.clock())
				p.step()
			}
		}
		s.at(time.Duration(s.rng.Int64N(int64(20*time.Millisecond))), deliver)
	}
}

// renew renews a sender's lease periodically, except while a membership is proposed that the sender has not received.
func (p *simSender) renew(incarnation uint64) {
	if p.down || p.id.Incarnation != incarnation {
		return
	}
	if p.pausedUntil <= p.s.now && (p.s.nextParticipants == nil || p.proposedSeen > p.s.membership.Epoch) {
		p.leaseUntil = p.s.now + leaseLength
	}
	p.s.at(100*time.Millisecond, func() { p.renew(incarnation) })
}

func (p *simSender) clock() time.Duration {
	return p.offset + time.Duration(float64(p.s.now)*p.rate)
}

func (p *simSender) start() {
	p.s.incarnations++
	p.id, p.down, p.load = lease.HolderID{Name: p.name, Incarnation: p.s.incarnations}, false, map[string]*simLoad{}
	p.allowances = NewAllowances(p.s.terms.MaxDrift, func(key string) { p.events = append(p.events, UnitsWanted{key}) })
	p.allowances.SetLimits(p.s.limits, func(Limit) bool { return false }, p.clock())
	p.client, p.server = NewClient(p.id, p.s.terms, p.allowances), NewServer(p.id, p.s.terms)
	p.server.SetLimits(p.s.limits, p.clock())
	p.alarm, p.proposedSeen = Never, 0
	p.renew(p.s.incarnations)
	if p.s.membership.Epoch > 0 {
		m := p.s.membership
		p.client.SetMembership(m)
		p.server.SetMembership(m, p.clock())
	}
}

// step steps the client with events and with those collected since the last step, and executes its actions.
func (p *simSender) step(events ...ClientEvent) {
	if p.down {
		return
	}
	if p.pausedUntil > p.s.now { // the events are processed when the sender resumes
		p.s.at(p.pausedUntil-p.s.now, func() { p.step(events...) })
		return
	}
	events = append(events, p.events...)
	p.events = nil
	actions, alarm := p.client.Step(p.clock(), events)
	if alarm != Never {
		at := max(0, time.Duration(float64(alarm-p.clock())/p.rate)) + time.Microsecond
		if due := p.s.now + at; due < p.alarm || p.alarm <= p.s.now {
			p.alarm = due
			p.s.at(at, func() {
				if p.alarm <= p.s.now {
					p.step()
				}
			})
		}
	}
	for _, a := range actions {
		switch a := a.(type) {
		case SendRequest:
			p.request(a)
		case SharesChanged:
			for _, key := range a.Keys {
				if l := p.load[key]; l != nil {
					incarnation := p.id.Incarnation
					p.s.at(0, func() {
						if p.id.Incarnation == incarnation {
							p.sendLoad(key, l)
						}
					})
				}
			}
		}
	}
}

func (s *sim) delay() time.Duration {
	return time.Millisecond + time.Duration(s.rng.Int64N(int64(4*time.Millisecond)))
}

// request delivers a request and its reply, unless one of them is lost.
func (p *simSender) request(r SendRequest) {
	s, incarnation := p.s, p.id.Incarnation
	to := s.senders[slices.IndexFunc(s.senders, func(o *simSender) bool { return o.name == r.To.Name })]
	s.sent++
	s.bytes += proto.Size(r.Request)
	if s.partitioned[[2]int{p.i, to.i}] || s.rng.Float64() < s.loss {
		return
	}
	var arrive func()
	arrive = func() {
		if to.down {
			return
		}
		if to.pausedUntil > s.now {
			s.at(to.pausedUntil-s.now, arrive)
			return
		}
		if to.leaseUntil <= s.now {
			return
		}
		reply, err := to.server.Grant(r.Request, to.clock())
		if err != nil || s.partitioned[[2]int{to.i, p.i}] || s.rng.Float64() < s.loss {
			return
		}
		s.sent++
		s.bytes += proto.Size(reply)
		s.at(s.delay(), func() {
			if p.id.Incarnation == incarnation {
				p.step(ReplyReceived{r.To.Name, r.Request.Sequence, reply})
			}
		})
	}
	s.at(s.delay(), arrive)
}

// addLoad lets messages arrive for a limit at a rate per second.
func (p *simSender) addLoad(key string, perSecond float64) *simLoad {
	l := p.load[key]
	if l == nil {
		l = &simLoad{}
		p.load[key] = l
	}
	former := l.every
	if l.every = 0; perSecond > 0 {
		l.every = time.Duration(float64(time.Second) / perSecond)
	}
	if former == 0 && l.every > 0 {
		incarnation := p.id.Incarnation
		var arrive func()
		arrive = func() {
			if p.id.Incarnation != incarnation || l.every == 0 {
				return
			}
			if p.pausedUntil <= p.s.now && l.waiting < 100 {
				l.waiting++
				p.allowances.AddWaiting(key, 1, 1)
				p.sendLoad(key, l)
			}
			p.s.at(time.Duration(p.s.rng.ExpFloat64()*float64(l.every)), arrive)
		}
		p.s.at(time.Duration(p.s.rng.Float64()*float64(l.every)), arrive)
	}
	return l
}

// sendLoad sends waiting messages as soon as units are available.
func (p *simSender) sendLoad(key string, l *simLoad) {
	s, incarnation := p.s, p.id.Incarnation
	if p.down || l.stuck {
		return
	}
	if p.pausedUntil <= s.now {
		for l.waiting > 0 && l.pacedUntil <= s.now { // paced evenly, as in package sender
			if ok, _ := p.allowances.Take([]Usage{{key, 1}}, p.clock()); !ok {
				break
			}
			l.waiting--
			if share, _ := p.allowances.Share(key, p.clock()); share.Units > 0 {
				l.pacedUntil = s.now + share.CoolDown/time.Duration(share.Units)
			}
			p.allowances.AddWaiting(key, -1, 1)
			s.at(time.Duration(s.rng.Int64N(int64(5*time.Millisecond))), func() { s.used(key, p.i) })
		}
		if len(p.events) > 0 {
			p.step()
		}
	}
	next := p.allowances.NextAvailable(key, p.clock())
	if l.waiting == 0 || next == Never || l.retryAt > s.now {
		return // until more messages arrive or units are granted
	}
	at := max(time.Millisecond, l.pacedUntil-s.now, time.Duration(float64(next-p.clock())/p.rate), p.pausedUntil-s.now)
	l.retryAt = s.now + at
	s.at(at, func() {
		if p.id.Incarnation == incarnation {
			p.sendLoad(key, l)
		}
	})
}

// used records a use at the receiver, and a violation if there are more uses in a span than units.
func (s *sim) used(key string, i int) {
	l := s.limits[slices.IndexFunc(s.limits, func(l Limit) bool { return l.Key == key })]
	u := append(s.uses[key], s.now)
	for len(u) > 0 && u[0] <= s.now-l.Span {
		u = u[1:]
	}
	s.uses[key] = u
	s.counts[key]++
	if s.usesBySender[key] == nil {
		s.usesBySender[key] = map[int]int{}
	}
	s.usesBySender[key][i]++
	if int64(len(u)) > l.Units && s.violation == "" {
		s.violation = fmt.Sprintf("at %v %s had %d uses in %v with %d units", s.now, key, len(u), l.Span, l.Units)
	}
}

var simTerms = Terms{Duration: 2 * time.Second, MaxDrift: 0.01}

func perSecond(key string, units int64) Limit {
	return Limit{Key: key, Units: units, Span: time.Second, TransitJitter: 10 * time.Millisecond}
}

// jain returns Jain's fairness index: 1 if all values are equal.
func jain(by map[int]int, n int) float64 {
	sum, squares := 0.0, 0.0
	for _, v := range by {
		sum += float64(v)
		squares += float64(v) * float64(v)
	}
	return sum * sum / (float64(n) * squares)
}

// Checks that, under partitions, pauses, crashes and message loss, a receiver sees in no span more uses than units, and that the fleet uses
// at least 80% of the available units after it has recovered.
func TestFleet_LimitsHoldUnderFaults(t *testing.T) {
	seeds := 40
	if os.Getenv("SAFFRONYARD_MODEL") == "large" {
		seeds = 2000
	}
	for seed := range uint64(seeds) {
		n := 2 + int(seed%7)
		limits := []Limit{perSecond("small", 1+int64(seed%4)), perSecond("large", 40)}
		s := newSim(t, seed, n, simTerms, limits...)
		for _, p := range s.senders {
			p.addLoad("small", 3)
			p.addLoad("large", 30)
		}
		restart := func(p *simSender) {
			if p.down {
				p.start()
				p.addLoad("small", 3)
				p.addLoad("large", 30)
				s.activate()
			}
		}
		for at := 5 * time.Second; at < 25*time.Second; at += time.Duration(s.rng.Int64N(int64(800 * time.Millisecond))) {
			s.run(at)
			p, o := s.senders[s.rng.IntN(n)], s.senders[s.rng.IntN(n)]
			duration := time.Duration(s.rng.Int64N(int64(4 * time.Second)))
			switch s.rng.IntN(8) {
			case 0, 1:
				s.partitioned[[2]int{p.i, o.i}] = true
				s.at(duration, func() { delete(s.partitioned, [2]int{p.i, o.i}) })
			case 2, 3:
				p.pausedUntil = max(p.pausedUntil, s.now+duration)
			case 4:
				p.down = true
				s.at(duration, func() { restart(p) })
				s.at(duration/2, s.activate)
			case 5:
				s.loss = 0.3
				s.at(duration, func() { s.loss = 0 })
			case 6: // a paused sender is removed from the membership and added again
				p.pausedUntil = max(p.pausedUntil, s.now+duration)
				s.at(duration/2, s.activate)
				s.at(duration+200*time.Millisecond, s.activate)
			case 7:
				s.activate()
			}
		}
		s.run(30 * time.Second)
		s.loss = 0
		clear(s.partitioned)
		for _, p := range s.senders {
			restart(p)
		}
		s.run(31 * time.Second)
		s.activate()
		s.run(38 * time.Second)
		clear(s.counts)
		s.run(48 * time.Second)
		if s.violation != "" {
			t.Fatalf("seed %d, %d senders: %s", seed, n, s.violation)
		}
		for _, l := range limits {
			want := min(float64(l.Units), float64(n)*map[string]float64{"small": 3, "large": 30}[l.Key])
			if got := float64(s.counts[l.Key]) / 10; got < 0.8*want {
				t.Errorf("seed %d, %d senders: after recovery %.1f units/s of %s used, of %.0f usable", seed, n, got, l.Key, want)
			}
		}
	}
}

// Checks which fraction of the usable units a healthy fleet uses, and logs it with Jain's index for the design note.
func TestFleet_Utilization(t *testing.T) {
	for _, c := range []struct {
		senders, units int64
		each           float64 // units wanted by each sender, per second
		least          float64 // minimum fraction of usable units that are used
	}{{3, 30, 30, 0.95}, {8, 100, 50, 0.95}, {30, 3, 2, 0.85}, {30, 300, 30, 0.95}, {5, 2, 3, 0.85}, {3, 100, 5, 0.97}} {
		s := newSim(t, 7, int(c.senders), simTerms, perSecond("x", c.units))
		for _, p := range s.senders {
			p.addLoad("x", c.each)
		}
		s.run(8 * time.Second)
		clear(s.counts)
		clear(s.usesBySender)
		s.run(68 * time.Second)
		want := min(float64(c.units), c.each*float64(c.senders))
		used := float64(s.counts["x"]) / 60 / want
		t.Logf("%d senders, %d units/s, %g units/s wanted by each: %.3f of the usable units used, Jain's index %.3f", c.senders, c.units, c.each, used, jain(s.usesBySender["x"], int(c.senders)))
		if used < c.least || s.violation != "" {
			t.Errorf("%d senders, %d units: %.3f of the usable units used, want %.2f; %s", c.senders, c.units, used, c.least, s.violation)
		}
	}
}

// Checks that shares follow demand. When demand moves from one sender to another, at least 80% of the limit must be used again after two
// seconds. After a crash of the owner at least 75% must be used in the first six seconds, and 95% from then on. A sender that requests units
// without using them must not keep them for long.
func TestFleet_SharesFollowDemand(t *testing.T) {
	used := func(s *sim, from, to time.Duration) float64 {
		s.run(from)
		clear(s.counts)
		s.run(to)
		if s.violation != "" {
			t.Fatal(s.violation)
		}
		return float64(s.counts["x"]) / (to - from).Seconds()
	}
	s := newSim(t, 3, 5, simTerms, perSecond("x", 40))
	at := 6 * time.Second
	for turn := range 6 {
		for i, p := range s.senders {
			p.addLoad("x", map[bool]float64{true: 80, false: 0}[i == turn%5])
			p.load["x"].waiting = 0
			p.allowances.SetWaiting(map[string]int64{})
		}
		if got := used(s, at+2*time.Second, at+4*time.Second); got < 0.8*40 {
			t.Errorf("2 s after shift %d of the demand %.1f units/s used, of 40", turn, got)
		}
		at += 4 * time.Second
	}
	s = newSim(t, 4, 5, simTerms, perSecond("x", 40))
	for _, p := range s.senders {
		p.addLoad("x", 40)
	}
	s.run(8 * time.Second)
	ownership := coordinator.NewOwnership(s.membership.Participants)
	owner := slices.IndexFunc(s.senders, func(p *simSender) bool { return p.name == ownership.Owner("x").Name })
	s.senders[owner].down = true
	s.at(1010*time.Millisecond, s.activate) // its lease has expired
	if got := used(s, 8*time.Second, 10*time.Second); got < 0.75*40 {
		t.Errorf("in the 2 s after the owner's crash %.1f units/s used, of 40", got)
	}
	if got := used(s, 10*time.Second, 14*time.Second); got < 0.75*40 {
		t.Errorf("2 s to 6 s after the owner's crash %.1f units/s used, of 40", got)
	}
	if got := used(s, 14*time.Second, 18*time.Second); got < 0.95*40 {
		t.Errorf("6 s after the owner's crash %.1f units/s used, of 40", got)
	}
	s = newSim(t, 5, 3, simTerms, perSecond("x", 30))
	s.senders[0].addLoad("x", 100).stuck = true
	s.run(6 * time.Second)
	for _, p := range s.senders[1:] {
		p.addLoad("x", 40)
	}
	if got := used(s, 12*time.Second, 20*time.Second); got < 0.9*30 {
		t.Errorf("beside a sender that uses no units %.1f units/s used, of 30", got)
	}
}

// Runs up to 300 senders with 5,000 limits, of which 20 are busy, and logs the messages and bytes per sender and the fairness of the shares.
func TestFleet_300Senders(t *testing.T) {
	sizes := []int{3, 30}
	if os.Getenv("SAFFRONYARD_MODEL") == "large" {
		sizes = []int{3, 10, 30, 100, 300}
	}
	for _, n := range sizes {
		var limits []Limit
		for i := range 5000 {
			limits = append(limits, perSecond(fmt.Sprintf("destination %d", i), int64(max(20, 2*n))))
		}
		s := newSim(t, 11, n, Terms{Duration: 4500 * time.Millisecond, MaxDrift: 0.01}, limits...)
		for _, p := range s.senders {
			for i := range 20 {
				p.addLoad(limits[i].Key, 1)
			}
		}
		s.run(10 * time.Second)
		s.sent, s.bytes = 0, 0
		clear(s.counts)
		s.run(20 * time.Second)
		used, idle, least := 0, int64(0), math.Inf(1)
		for i := range 20 {
			used += s.counts[limits[i].Key]
			least = min(least, jain(s.usesBySender[limits[i].Key], n))
		}
		for _, p := range s.senders {
			for _, st := range p.allowances.Statuses(p.clock()) {
				idle += st.Granted - st.InUse
			}
		}
		t.Logf("%d senders: each sends %.1f messages and %.0f bytes per second; %d calls per second; %d units idle, of %d; Jain's index at least %.3f", n, float64(s.sent)/10/float64(n),
			float64(s.bytes)/10/float64(n), used/10, idle, 20*limits[0].Units, least)
		if s.violation != "" || used == 0 {
			t.Errorf("%d senders: %d uses; %s", n, used, s.violation)
		}
	}
}

// Checks that shares respect MinUseful, are max-min fair and never exceed the available units.
func TestFairShares(t *testing.T) {
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 0))
		units, all := rng.Int64N(50), make([]Demand, 1+rng.IntN(8))
		needed := int64(0)
		for i := range all {
			all[i] = Demand{Units: rng.Int64N(20), MinUseful: 1 + rng.Int64N(3), HasTurn: rng.IntN(3) == 0}
			if all[i].Units > 0 {
				needed += all[i].MinUseful
			}
			if !all[i].HasTurn && rng.IntN(2) == 0 {
				all[i].WaitingSince = time.Duration(1 + rng.IntN(100))
			}
		}
		got, sum, want := FairShares(units, all), int64(0), int64(0)
		for i, s := range got {
			d := all[i]
			sum += s
			most := max(d.Units, d.MinUseful)
			if want += min(d.Units, most); d.Units == 0 && s > 0 || s < 0 || s > most || s > 0 && s < d.MinUseful {
				t.Fatalf("seed %d: share %d of %d units for %+v: %v", seed, s, units, d, got)
			}
			for j, o := range got { // if a client gets less than it wants, no other share is more than one unit larger, except to reach MinUseful
				if needed <= units && d.Units > s && o > s+1 && o > all[j].MinUseful {
					t.Fatalf("seed %d: share %d is unfair beside share %d: %v for %+v", seed, s, o, got, all)
				}
			}
		}
		if sum > units || needed <= units && sum < min(units, want) {
			t.Fatalf("seed %d: %d of %d units are shared, %d are wanted: %v for %+v", seed, sum, units, want, got, all)
		}
		for i, d := range all { // rotation: a waiting client must not be passed over for one that has waited less long and needs no fewer units
			for j, o := range all {
				if needed > units && d.Units > 0 && o.Units > 0 && !d.HasTurn && !o.HasTurn && d.WaitingSince > 0 && d.WaitingSince < o.WaitingSince && d.MinUseful <= o.MinUseful && got[i] == 0 && got[j] > 0 {
					t.Fatalf("seed %d: %+v is passed over for %+v: %v", seed, d, o, got)
				}
			}
		}
	}
}

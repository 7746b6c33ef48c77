package quota

import (
	"maps"
	"slices"
	"time"

	"saffronyard.example/saffronyard/internal/coordinator"
	"saffronyard.example/saffronyard/internal/lease"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// Events of an Asker.
type (
	// Poke is that units of a limit are wanted now.
	Poke struct{ Key string }
	// Relimited is that other things are limited, or otherwise.
	Relimited struct{}
	// Answered is what became of a question.
	Answered struct {
		To    string
		Seq   uint64
		Reply *pb.QuotaReply // nil: there is no answer
	}
)

// Actions of an Asker.
type (
	// Question goes to the authority of the limits that it names.
	Question struct {
		To      *pb.Participant
		Request *pb.QuotaRequest
		Within  time.Duration // an answer that comes later is none
	}
	// Changed is that what this sender may use of some limits is another.
	Changed struct{ Keys []string }
)

// Asker keeps a sender's purses filled: it asks the authorities for what is wanted, in time for what it holds not to lapse, and gives
// back what it does not need. Each authority has one question at a time: an answer counts only if no other was put since, as with
// each question this sender promises to go by no older answer.
type Asker struct {
	me    lease.HolderID
	terms Terms
	till  *Till

	epoch  uint64
	charge *coordinator.Ownership
	out    map[string]*question // by authority
	due    map[string]time.Duration
	keeps  map[string]int64 // units that it goes on with, as it was lent last
	wants  map[string]int64
	stands map[string]Share // as told
	lapses map[string]time.Duration
	seq    uint64
	lasts  func(time.Duration) time.Duration // a loan
}

type question struct {
	seq  uint64
	at   time.Duration
	keys []string
}

const (
	calmly  = 500 * time.Millisecond // a limit of which enough is held is asked about so often
	eagerly = 100 * time.Millisecond // and one of which more is wanted
	atOnce  = 5 * time.Millisecond   // after which something new is asked about
	keysAt  = 1000                   // limits in one question
)

// NewAsker makes one that knows of nobody to ask.
func NewAsker(me lease.HolderID, t Terms, till *Till) *Asker {
	return &Asker{me: me, terms: t, till: till, out: map[string]*question{}, due: map[string]time.Duration{}, keeps: map[string]int64{}, wants: map[string]int64{}, stands: map[string]Share{}, lapses: map[string]time.Duration{},
		lasts: func(d time.Duration) time.Duration { return d }}
}

// Wrong has a test make a wrong holder, whose loans last otherwise.
func (a *Asker) Wrong(lasts func(time.Duration) time.Duration) { a.lasts = lasts }

// Roster takes over who is in charge now. Questions to those of before are over.
func (a *Asker) Roster(s *pb.MembershipState) {
	if a.charge != nil && a.epoch == s.GetEpoch() {
		return
	}
	a.epoch, a.charge = s.GetEpoch(), coordinator.NewOwnership(s.GetParticipants())
	clear(a.out)
	for key := range a.due {
		a.due[key] = 0
	}
}

// Patience is how long an answer is waited for.
func (a *Asker) Patience() time.Duration { return min(a.terms.Length/4, 400*time.Millisecond) }

// Step takes events in and gives what is to be done.
func (a *Asker) Step(now time.Duration, events []any) (actions []any, alarm time.Duration) {
	touched := map[string]struct{}{} // limits of which this sender may use another share now
	for _, e := range events {
		switch e := e.(type) {
		case Relimited:
			for key := range *a.till.slots.Load() {
				touched[key] = struct{}{}
			}
			for key := range a.stands { // that are limited no longer
				touched[key] = struct{}{}
			}
		case Poke:
			if at, known := a.due[e.Key]; !known || at > now+atOnce {
				a.due[e.Key] = now
			}
		case Answered:
			a.answered(e, now, touched)
		}
	}
	for to, q := range a.out { // the answer is late: it is asked again
		if now-q.at >= a.Patience() {
			delete(a.out, to)
			for _, key := range q.keys {
				a.due[key] = now
			}
		}
	}
	by := map[string][]string{}
	alarm = Never
	for _, key := range slices.Sorted(maps.Keys(a.due)) {
		if a.till.slot(key) == nil {
			a.forget(key)
			continue
		}
		p := a.charge.Owner(key)
		if p == nil || a.out[p.Name] != nil {
			continue // as soon as that is over
		}
		if at := a.due[key]; at > now {
			alarm = min(alarm, at)
		} else if len(by[p.Name]) < keysAt {
			by[p.Name] = append(by[p.Name], key)
		}
	}
	for _, to := range slices.Sorted(maps.Keys(by)) {
		if q, ok := a.ask(to, by[to], now); ok {
			actions = append(actions, q)
		}
	}
	for _, q := range a.out {
		alarm = min(alarm, q.at+a.Patience())
	}
	for key, until := range a.lapses {
		if until <= now {
			touched[key] = struct{}{}
			delete(a.lapses, key)
		} else {
			alarm = min(alarm, until) // so that it is told when a share lapses
		}
	}
	if changed := a.changed(touched, now); len(changed) > 0 {
		actions = append(actions, Changed{changed})
	}
	return actions, alarm
}

// changed are those of some limits of which this sender may use another share than it was told.
func (a *Asker) changed(touched map[string]struct{}, now time.Duration) (keys []string) {
	for key := range touched {
		is, ok := a.till.Share(key, now)
		was, told := a.stands[key]
		switch {
		case !ok && !told || ok && told && was.Units == is.Units && was.Rest == is.Rest:
			continue
		case !ok:
			delete(a.stands, key)
		default:
			a.stands[key] = is
		}
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func (a *Asker) forget(key string) {
	delete(a.due, key)
	delete(a.keeps, key)
	delete(a.wants, key)
}

// ask makes the question to one authority.
func (a *Asker) ask(to string, keys []string, now time.Duration) (Question, bool) {
	a.seq++
	r := &pb.QuotaRequest{Name: a.me.Name, Incarnation: a.me.Incarnation, Epoch: a.epoch, Sequence: a.seq}
	var asked []string
	var part *pb.Participant
	for _, key := range keys {
		s := a.till.slot(key)
		part = a.charge.Owner(key)
		one, idle := s.question(key, a.keeps[key], now)
		a.wants[key] = one.Wanted
		if idle {
			a.forget(key) // until something waits for it
			continue
		}
		r.Demands, asked = append(r.Demands, one), append(asked, key)
		a.due[key] = now + eagerly
	}
	if len(asked) == 0 {
		return Question{}, false
	}
	r.ToIncarnation = part.Incarnation
	a.out[to] = &question{a.seq, now, asked}
	return Question{part, r, a.Patience()}, true
}

// question is what is said of one limit; idle is that there is nothing to say any more.
func (s *slot) question(key string, keep int64, now time.Duration) (q *pb.QuotaDemand, idle bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, q := s.purse, &pb.QuotaDemand{Key: key}
	lent, busy, _ := p.Holds(now)
	waiting := max(s.waiting.Load(), s.lacked)
	s.lacked = 0
	q.MinUseful = 1
	if s.limit.Sort == Bytes {
		q.MinUseful, s.most = s.most, max(1, s.most*9/10)
	}
	want := min(s.limit.most(), waiting+p.Pace(now)) // what was used of late is wanted again: so a want does not flap
	if s.limit.Sort == Daily {
		want = min(s.limit.Lendable(), waiting)
	}
	// Who has used little of what it had, though more waited, can't use it: its calls don't get through.
	switch {
	case waiting == 0 || lent > 0 && busy*2 >= lent:
		s.idle = 0
	case s.limit.Sort == Daily: // what it has used does not show in what it has
	case lent > q.MinUseful && s.idle == 0:
		s.idle = now
	}
	if s.idle > 0 && now-s.idle > 2*s.limit.Rest(0) {
		want = min(want, max(2*busy, q.MinUseful))
	}
	if s.turns && waiting == 0 {
		want = 0
	}
	q.Wanted = want
	if s.turns {
		keep = max(0, lent-busy) // what was used goes on to the next
	} else if want == 0 && waiting == 0 {
		keep = 0
	}
	q.Held, q.Cooling, q.CoolingUs = asked(p.Promise(keep, now))
	q.Spent = p.Spent()
	if s.told > 0 {
		q.ObservedLimit, q.ObservedAgeUs = s.told, (now - s.toldAt).Microseconds()
	}
	return q, want == 0 && lent == 0 && busy == 0 && waiting == 0
}

func asked(holds, rests int64, left time.Duration) (int64, int64, int64) {
	return holds, rests, left.Microseconds() + 1
}

// answered takes an answer over, if no other question was put since.
func (a *Asker) answered(e Answered, now time.Duration, touched map[string]struct{}) {
	q := a.out[e.To]
	if q == nil || q.seq != e.Seq {
		return
	}
	delete(a.out, e.To)
	if e.Reply == nil || e.Reply.Epoch != a.epoch {
		return // it is asked again soon
	}
	for _, l := range e.Reply.Grants {
		s := a.till.slot(l.Key)
		if s == nil || !slices.Contains(q.keys, l.Key) {
			continue
		}
		s.mu.Lock()
		before := s.purse.lent(now)
		s.turns = l.Rotating
		length := a.lasts(min(a.terms.Length, time.Duration(l.DurationUs)*time.Microsecond))
		s.purse.Lent(l.Units, q.at, length, now)
		waiting, lent, want := s.waiting.Load(), s.purse.lent(now), a.wants[l.Key]
		s.mu.Unlock()
		a.keeps[l.Key], touched[l.Key] = l.Units, struct{}{}
		if lent > 0 {
			a.lapses[l.Key] = q.at + length
		}
		if l.Units < before { // it is to let go of some: that it has done so is said at once
			a.due[l.Key] = now
			continue
		}
		next := calmly
		if want > lent && waiting > 0 {
			next = eagerly
			if again := time.Duration(l.RetryAfterUs) * time.Microsecond; again > 0 {
				next = min(max(again, atOnce), calmly)
			}
		}
		if q.at+next <= now {
			next = now - q.at + atOnce
		}
		a.due[l.Key] = min(q.at+next, max(now, q.at+a.terms.Length/3))
	}
}

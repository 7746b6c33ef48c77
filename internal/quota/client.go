package quota

import (
	"maps"
	"slices"
	"time"

	"saffronyard.example/saffronyard/internal/coordinator"
	"saffronyard.example/saffronyard/internal/lease"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// Client keeps a sender's purses filled: it asks the authorities for what is wanted, in time for what it holds not to lapse, and gives
// back what it does not need. Each authority has one question at a time: an answer counts only if no other was put since, as with
// each question this sender promises to go by no older answer.
type Client struct {
	me         lease.HolderID
	terms      Terms
	allowances *Allowances

	epoch         uint64
	ownership     *coordinator.Ownership
	outstanding   map[string]*pendingRequest // by authority
	dueAt         map[string]time.Duration
	granted       map[string]int64 // units that it goes on with, as it was lent last
	wanted        map[string]int64
	reported      map[string]Share // as told
	expiries      map[string]time.Duration
	sequence      uint64
	grantDuration func(time.Duration) time.Duration // a loan
}

type pendingRequest struct {
	sequence uint64
	sentAt   time.Duration
	keys     []string
}

const (
	idleInterval       = 500 * time.Millisecond // a limit of which enough is held is asked about so often
	busyInterval       = 100 * time.Millisecond // and one of which more is wanted
	minRequestInterval = 5 * time.Millisecond   // after which something new is asked about
	maxKeysPerRequest  = 1000                   // limits in one question
)

// NewClient makes one that knows of nobody to ask.
func NewClient(me lease.HolderID, t Terms, till *Allowances) *Client {
	return &Client{me: me, terms: t, allowances: till, outstanding: map[string]*pendingRequest{}, dueAt: map[string]time.Duration{}, granted: map[string]int64{}, wanted: map[string]int64{}, reported: map[string]Share{}, expiries: map[string]time.Duration{},
		grantDuration: func(d time.Duration) time.Duration { return d }}
}

// OverrideGrantDuration has a test make a wrong holder, whose loans last otherwise.
func (a *Client) OverrideGrantDuration(lasts func(time.Duration) time.Duration) {
	a.grantDuration = lasts
}

// SetMembership takes over who is in charge now. Questions to those of before are over.
func (a *Client) SetMembership(s *pb.MembershipState) {
	if a.ownership != nil && a.epoch == s.GetEpoch() {
		return
	}
	a.epoch, a.ownership = s.GetEpoch(), coordinator.NewOwnership(s.GetParticipants())
	clear(a.outstanding)
	for key := range a.dueAt {
		a.dueAt[key] = 0
	}
}

// Timeout is how long an answer is waited for.
func (a *Client) Timeout() time.Duration { return min(a.terms.Duration/4, 400*time.Millisecond) }

// Step takes events in and gives what is to be done.
func (a *Client) Step(now time.Duration, events []any) (actions []any, alarm time.Duration) {
	touched := map[string]struct{}{} // limits of which this sender may use another share now
	for _, e := range events {
		switch e := e.(type) {
		case LimitsChanged:
			for key := range *a.allowances.entries.Load() {
				touched[key] = struct{}{}
			}
			for key := range a.reported { // that are limited no longer
				touched[key] = struct{}{}
			}
		case UnitsWanted:
			if at, known := a.dueAt[e.Key]; !known || at > now+minRequestInterval {
				a.dueAt[e.Key] = now
			}
		case ReplyReceived:
			a.handleReply(e, now, touched)
		}
	}
	for to, q := range a.outstanding { // the answer is late: it is asked again
		if now-q.sentAt >= a.Timeout() {
			delete(a.outstanding, to)
			for _, key := range q.keys {
				a.dueAt[key] = now
			}
		}
	}
	by := map[string][]string{}
	alarm = Never
	for _, key := range slices.Sorted(maps.Keys(a.dueAt)) {
		if a.allowances.entry(key) == nil {
			a.forget(key)
			continue
		}
		p := a.ownership.Owner(key)
		if p == nil || a.outstanding[p.Name] != nil {
			continue // as soon as that is over
		}
		if at := a.dueAt[key]; at > now {
			alarm = min(alarm, at)
		} else if len(by[p.Name]) < maxKeysPerRequest {
			by[p.Name] = append(by[p.Name], key)
		}
	}
	for _, to := range slices.Sorted(maps.Keys(by)) {
		if q, ok := a.buildRequest(to, by[to], now); ok {
			actions = append(actions, q)
		}
	}
	for _, q := range a.outstanding {
		alarm = min(alarm, q.sentAt+a.Timeout())
	}
	for key, until := range a.expiries {
		if until <= now {
			touched[key] = struct{}{}
			delete(a.expiries, key)
		} else {
			alarm = min(alarm, until) // so that it is told when a share lapses
		}
	}
	if changed := a.changedShares(touched, now); len(changed) > 0 {
		actions = append(actions, SharesChanged{changed})
	}
	return actions, alarm
}

// changedShares are those of some limits of which this sender may use another share than it was told.
func (a *Client) changedShares(touched map[string]struct{}, now time.Duration) (keys []string) {
	for key := range touched {
		is, ok := a.allowances.Share(key, now)
		was, told := a.reported[key]
		switch {
		case !ok && !told || ok && told && was.Units == is.Units && was.CoolDown == is.CoolDown:
			continue
		case !ok:
			delete(a.reported, key)
		default:
			a.reported[key] = is
		}
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func (a *Client) forget(key string) {
	delete(a.dueAt, key)
	delete(a.granted, key)
	delete(a.wanted, key)
}

// buildRequest makes the question to one authority.
func (a *Client) buildRequest(to string, keys []string, now time.Duration) (SendRequest, bool) {
	a.sequence++
	r := &pb.QuotaRequest{Name: a.me.Name, Incarnation: a.me.Incarnation, Epoch: a.epoch, Sequence: a.sequence}
	var asked []string
	var part *pb.Participant
	for _, key := range keys {
		s := a.allowances.entry(key)
		part = a.ownership.Owner(key)
		one, idle := s.demand(key, a.granted[key], now)
		a.wanted[key] = one.Wanted
		if idle {
			a.forget(key) // until something waits for it
			continue
		}
		r.Demands, asked = append(r.Demands, one), append(asked, key)
		a.dueAt[key] = now + busyInterval
	}
	if len(asked) == 0 {
		return SendRequest{}, false
	}
	r.ToIncarnation = part.Incarnation
	a.outstanding[to] = &pendingRequest{a.sequence, now, asked}
	return SendRequest{part, r, a.Timeout()}, true
}

// handleReply takes an answer over, if no other question was put since.
func (a *Client) handleReply(e ReplyReceived, now time.Duration, touched map[string]struct{}) {
	q := a.outstanding[e.Owner]
	if q == nil || q.sequence != e.Sequence {
		return
	}
	delete(a.outstanding, e.Owner)
	if e.Reply == nil || e.Reply.Epoch != a.epoch {
		return // it is asked again soon
	}
	for _, l := range e.Reply.Grants {
		s := a.allowances.entry(l.Key)
		if s == nil || !slices.Contains(q.keys, l.Key) {
			continue
		}
		s.mu.Lock()
		before := s.allowance.grantedAt(now)
		s.rotating = l.Rotating
		length := a.grantDuration(min(a.terms.Duration, time.Duration(l.DurationUs)*time.Microsecond))
		s.allowance.Renew(l.Units, q.sentAt, length, now)
		waiting, lent, want := s.waiting.Load(), s.allowance.grantedAt(now), a.wanted[l.Key]
		s.mu.Unlock()
		a.granted[l.Key], touched[l.Key] = l.Units, struct{}{}
		if lent > 0 {
			a.expiries[l.Key] = q.sentAt + length
		}
		if l.Units < before { // it is to let go of some: that it has done so is said at once
			a.dueAt[l.Key] = now
			continue
		}
		next := idleInterval
		if want > lent && waiting > 0 {
			next = busyInterval
			if again := time.Duration(l.RetryAfterUs) * time.Microsecond; again > 0 {
				next = min(max(again, minRequestInterval), idleInterval)
			}
		}
		if q.sentAt+next <= now {
			next = now - q.sentAt + minRequestInterval
		}
		a.dueAt[l.Key] = min(q.sentAt+next, max(now, q.sentAt+a.terms.Duration/3))
	}
}

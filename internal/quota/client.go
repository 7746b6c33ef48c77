package quota

import (
	"maps"
	"slices"
	"time"

	"saffronyard.example/saffronyard/internal/coordinator"
	"saffronyard.example/saffronyard/internal/lease"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// Client renews a sender's allowances: it requests units from the owners of limits before its grants expire, and gives up units that it
// does not need. At most one request to each owner is outstanding. A reply is applied only if no later request was sent, because each
// request declares that no older reply will be applied. Client is stepped by one goroutine.
type Client struct {
	me         lease.HolderID
	terms      Terms
	allowances *Allowances

	epoch         uint64
	ownership     *coordinator.Ownership
	outstanding   map[string]*pendingRequest // by owner's name
	dueAt         map[string]time.Duration   // when a limit's next request is due, by key
	granted       map[string]int64           // units of the last grant, by key
	wanted        map[string]int64           // units wanted in the last request, by key
	reported      map[string]Share           // as announced by SharesChanged, by key
	expiries      map[string]time.Duration   // of grants, by key
	sequence      uint64
	grantDuration func(time.Duration) time.Duration // the identity function; a test may replace it
}

// pendingRequest is a request that has no reply yet.
type pendingRequest struct {
	sequence uint64
	sentAt   time.Duration
	keys     []string
}

const (
	idleInterval       = 500 * time.Millisecond // between requests for a limit of which enough units are held
	busyInterval       = 100 * time.Millisecond // between requests for a limit of which more units are wanted
	minRequestInterval = 5 * time.Millisecond   // minimum interval between requests with new demands
	maxKeysPerRequest  = 1000                   // limits in one request
)

// NewClient returns a client without a membership; see SetMembership.
func NewClient(me lease.HolderID, t Terms, allowances *Allowances) *Client {
	return &Client{me: me, terms: t, allowances: allowances, outstanding: map[string]*pendingRequest{}, dueAt: map[string]time.Duration{}, granted: map[string]int64{}, wanted: map[string]int64{}, reported: map[string]Share{}, expiries: map[string]time.Duration{},
		grantDuration: func(d time.Duration) time.Duration { return d }}
}

// OverrideGrantDuration replaces the duration of grants at this client. It injects faults in tests.
func (c *Client) OverrideGrantDuration(duration func(time.Duration) time.Duration) {
	c.grantDuration = duration
}

// SetMembership replaces the owners of limits. Outstanding requests are abandoned.
func (c *Client) SetMembership(s *pb.MembershipState) {
	if c.ownership != nil && c.epoch == s.GetEpoch() {
		return
	}
	c.epoch, c.ownership = s.GetEpoch(), coordinator.NewOwnership(s.GetParticipants())
	clear(c.outstanding)
	for key := range c.dueAt {
		c.dueAt[key] = 0
	}
}

// Timeout returns the time-out of a request.
func (c *Client) Timeout() time.Duration { return min(c.terms.Duration/4, 400*time.Millisecond) }

// Step processes events and returns the actions to execute. alarm is the time by which Step must be called again.
func (c *Client) Step(now time.Duration, events []ClientEvent) (actions []ClientAction, alarm time.Duration) {
	touched := map[string]struct{}{} // limits of which this sender's share may have changed
	for _, e := range events {
		c.handle(e, now, touched)
	}
	c.abandonLate(now)
	due, alarm := c.dueByOwner(now)
	for _, owner := range slices.Sorted(maps.Keys(due)) {
		if r, ok := c.buildRequest(owner, due[owner], now); ok {
			actions = append(actions, r)
		}
	}
	for _, r := range c.outstanding {
		alarm = min(alarm, r.sentAt+c.Timeout())
	}
	for key, at := range c.expiries {
		if at <= now {
			touched[key] = struct{}{}
			delete(c.expiries, key)
		} else {
			alarm = min(alarm, at) // to announce the expiry of the grant
		}
	}
	if changed := c.changedShares(touched, now); len(changed) > 0 {
		actions = append(actions, SharesChanged{changed})
	}
	return actions, alarm
}

func (c *Client) handle(event ClientEvent, now time.Duration, touched map[string]struct{}) {
	switch e := event.(type) {
	case LimitsChanged:
		for key := range *c.allowances.entries.Load() {
			touched[key] = struct{}{}
		}
		for key := range c.reported { // includes limits that do not exist any more
			touched[key] = struct{}{}
		}
	case UnitsWanted:
		if at, known := c.dueAt[e.Key]; !known || at > now+minRequestInterval {
			c.dueAt[e.Key] = now
		}
	case ReplyReceived:
		c.handleReply(e, now, touched)
	case Wake:
	}
}

// abandonLate abandons requests that have timed out and makes their limits due again.
func (c *Client) abandonLate(now time.Duration) {
	for owner, r := range c.outstanding {
		if now-r.sentAt >= c.Timeout() {
			delete(c.outstanding, owner)
			for _, key := range r.keys {
				c.dueAt[key] = now
			}
		}
	}
}

// dueByOwner returns the limits whose request is due, by owner, except those of owners with an outstanding request. next is when
// the next request is due.
func (c *Client) dueByOwner(now time.Duration) (due map[string][]string, next time.Duration) {
	due, next = map[string][]string{}, Never
	for _, key := range slices.Sorted(maps.Keys(c.dueAt)) {
		if c.allowances.entry(key) == nil {
			c.forget(key)
			continue
		}
		owner := c.ownership.Owner(key)
		if owner == nil || c.outstanding[owner.Name] != nil {
			continue // until the outstanding request ends
		}
		if at := c.dueAt[key]; at > now {
			next = min(next, at)
		} else if len(due[owner.Name]) < maxKeysPerRequest {
			due[owner.Name] = append(due[owner.Name], key)
		}
	}
	return due, next
}

// changedShares returns the limits in touched whose share differs from the share announced last.
func (c *Client) changedShares(touched map[string]struct{}, now time.Duration) (keys []string) {
	for key := range touched {
		share, limited := c.allowances.Share(key, now)
		former, announced := c.reported[key]
		switch {
		case !limited && !announced || limited && announced && former.Units == share.Units && former.CoolDown == share.CoolDown:
			continue
		case !limited:
			delete(c.reported, key)
		default:
			c.reported[key] = share
		}
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func (c *Client) forget(key string) {
	delete(c.dueAt, key)
	delete(c.granted, key)
	delete(c.wanted, key)
}

// buildRequest returns the request to one owner; ok is false if there is no demand to send.
func (c *Client) buildRequest(owner string, keys []string, now time.Duration) (request SendRequest, ok bool) {
	c.sequence++
	r := &pb.QuotaRequest{Name: c.me.Name, Incarnation: c.me.Incarnation, Epoch: c.epoch, Sequence: c.sequence}
	var requested []string
	var to *pb.Participant
	for _, key := range keys {
		to = c.ownership.Owner(key)
		d, idle := c.allowances.entry(key).demand(key, c.granted[key], now)
		c.wanted[key] = d.Wanted
		if idle {
			c.forget(key) // until units of the limit are wanted again
			continue
		}
		r.Demands, requested = append(r.Demands, d), append(requested, key)
		c.dueAt[key] = now + busyInterval
	}
	if len(requested) == 0 {
		return SendRequest{}, false
	}
	r.ToIncarnation = to.Incarnation
	c.outstanding[owner] = &pendingRequest{c.sequence, now, requested}
	return SendRequest{To: to, Request: r, Timeout: c.Timeout()}, true
}

// handleReply applies a reply, if no later request was sent.
func (c *Client) handleReply(e ReplyReceived, now time.Duration, touched map[string]struct{}) {
	r := c.outstanding[e.Owner]
	if r == nil || r.sequence != e.Sequence {
		return
	}
	delete(c.outstanding, e.Owner)
	if e.Reply == nil || e.Reply.Epoch != c.epoch {
		return // the limits are due again busyInterval after this request
	}
	for _, g := range e.Reply.Grants {
		if entry := c.allowances.entry(g.Key); entry != nil && slices.Contains(r.keys, g.Key) {
			touched[g.Key] = struct{}{}
			c.applyGrant(entry, g, r.sentAt, now)
		}
	}
}

// applyGrant renews an allowance by the reply to a request sent at sentAt, and schedules the next request.
func (c *Client) applyGrant(e *allowanceEntry, g *pb.QuotaGrant, sentAt, now time.Duration) {
	duration := c.grantDuration(min(c.terms.Duration, time.Duration(g.DurationUs)*time.Microsecond))
	e.mu.Lock()
	before := e.allowance.grantedAt(now)
	e.rotating = g.Rotating
	e.allowance.Renew(g.Units, sentAt, duration, now)
	waiting, granted := e.waiting.Load(), e.allowance.grantedAt(now)
	e.mu.Unlock()
	c.granted[g.Key] = g.Units
	if granted > 0 {
		c.expiries[g.Key] = sentAt + duration
	}
	if g.Units < before { // report at once that units were given up
		c.dueAt[g.Key] = now
		return
	}
	interval := idleInterval
	if c.wanted[g.Key] > granted && waiting > 0 {
		interval = busyInterval
		if retryAfter := time.Duration(g.RetryAfterUs) * time.Microsecond; retryAfter > 0 {
			interval = min(max(retryAfter, minRequestInterval), idleInterval)
		}
	}
	if sentAt+interval <= now {
		interval = now - sentAt + minRequestInterval
	}
	c.dueAt[g.Key] = min(sentAt+interval, max(now, sentAt+c.terms.Duration/3))
}

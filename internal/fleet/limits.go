package fleet

import (
	"context"
	"encoding/binary"
	"fmt"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"saffronyard.example/saffronyard/internal/fleetpolicy"
	"saffronyard.example/saffronyard/internal/lease"
	"saffronyard.example/saffronyard/internal/peers"
	"saffronyard.example/saffronyard/internal/quota"
	"saffronyard.example/saffronyard/internal/replicatedlog"
	"saffronyard.example/saffronyard/internal/worker"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// quotaNode is a sender's part in the fleet's limits: two duties, one that asks for units and one that lends those of the limits that
// the roster puts this sender in charge of. Calls take units from the till, in their own goroutines.
type quotaNode struct {
	node       *Node
	me         lease.HolderID
	terms      quota.Terms
	allowances *quota.Allowances
	reach      peers.RouteTable
	client     *worker.Worker[any, any]
	server     *worker.Worker[any, any]

	health *healthNode

	policyVersion uint64 // of the policy that the till goes by; the copy's duty alone has it
	rank          int
	published     bool

	healthState *pb.HealthState

	mu       sync.Mutex
	changed  map[string]struct{} // limits of which this sender may use another share, and nobody has heard so
	onChange func()
}

const (
	clientInboxSize = 4096 // events that wait for the asker: those of one limit are one
	serverInboxSize = 4096 // questions that wait for the lender
	pruneInterval   = time.Second
)

// Events of the two, besides those of package quota.
type (
	viewPublished  struct{}
	grantRequested struct {
		request *pb.QuotaRequest
		answer  chan grantResult
	}
	grantResult struct {
		reply *pb.QuotaReply
		err   error
	}
	reportRequested struct{ done chan []quota.Report }
	quotaDrawn      struct {
		quota.Draw
		units int64
	}
)

func newQuotaNode(n *Node) (*quotaNode, error) {
	reach, err := peers.NewRouteTable(n.cfg.Reach)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	l := &quotaNode{node: n, me: lease.HolderID{Name: n.cfg.Name, Incarnation: n.incarnation}, terms: quota.Terms{Duration: n.cfg.quotaDuration(), MaxDrift: n.cfg.quotaDrift()}, reach: reach, changed: map[string]struct{}{}}
	l.allowances = quota.NewAllowances(l.terms.MaxDrift, func(key string) { l.client.Inbox.Offer(quota.UnitsWanted{Key: key}) })
	asker := quota.NewClient(l.me, l.terms, l.allowances)
	if n.cfg.GrantDuration != nil {
		asker.OverrideGrantDuration(n.cfg.GrantDuration)
	}
	l.client = &worker.Worker[any, any]{Name: "limits, asking", Inbox: worker.NewRingBuffer[any]("limits, asking", clientInboxSize, worker.MergeByKey, clientEventKey), Stepper: &quotaClient{node: l, Client: asker}, Execute: l.executeClient}
	lender := quota.NewServer(l.me, l.terms)
	if n.cfg.Today == nil {
		n.cfg.Today = func() int64 { return time.Now().UTC().Unix() / int64(24*time.Hour/time.Second) }
	}
	if n.cfg.QuotaGrace != nil {
		lender.OverrideGracePeriod(n.cfg.QuotaGrace)
	}
	l.server = &worker.Worker[any, any]{Name: "limits, lending", Inbox: worker.NewRingBuffer[any]("limits, lending", serverInboxSize, worker.DropOldest, nil), Stepper: &quotaServer{node: l, Server: lender}, Execute: l.executeServer}
	l.health = newHealthNode(l)
	return l, nil
}

func (l *quotaNode) start() {
	l.node.group.Start(l.server, worker.StopWorker)
	l.node.group.Start(l.client, worker.StopWorker)
	l.node.group.Start(l.health.worker, worker.StopWorker)
}

// clientEventKey has events of one sort about one thing be one.
func clientEventKey(e any) string {
	switch e := e.(type) {
	case quota.UnitsWanted:
		return "k" + e.Key
	case quota.ReplyReceived:
		return "a" + e.Owner // of two answers the older one counts no more
	}
	return fmt.Sprintf("%T", e)
}

// setView takes over what is limited, before any call goes by it.
func (l *quotaNode) setView(v *fleetpolicy.View) {
	if l.published && v.Version == l.policyVersion && v.Rank == l.rank && v.Health == l.healthState {
		return
	}
	l.policyVersion, l.rank, l.healthState, l.published = v.Version, v.Rank, v.Health, true
	l.allowances.SetLimits(v.Limits(), func(q quota.Limit) bool { return v.Rank >= 0 && int64(v.Rank) < q.ReserveCount }, l.node.cfg.Now())
	l.client.Inbox.Offer(quota.LimitsChanged{})
}

// notifyView has both look at what is published.
func (l *quotaNode) notifyView() {
	l.server.Inbox.Offer(viewPublished{})
	l.client.Inbox.Offer(viewPublished{})
	l.health.worker.Inbox.Offer(viewPublished{})
}

// quotaClient is the asker as a duty.
type quotaClient struct {
	*quota.Client
	node       *quotaNode
	membership *pb.MembershipState
}

// Step takes events in, by the roster that is published.
func (a *quotaClient) Step(now time.Duration, events []any) ([]any, time.Duration) {
	if r := a.node.node.gate.generation.Load(); r != nil {
		if v := r.view.Load(); v.Membership != nil && v.Membership != a.membership {
			a.membership = v.Membership
			a.Client.SetMembership(v.Membership)
		}
	}
	return a.Client.Step(now, events)
}

func (l *quotaNode) executeClient(_ context.Context, a any) error {
	switch a := a.(type) {
	case quota.SendRequest:
		l.node.goBackground(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, a.Timeout)
			defer cancel()
			reply, err := l.request(ctx, a)
			if err != nil {
				l.node.log.Debug("fleet: nothing is lent", "by", a.To.Name, "err", err)
			}
			l.client.Inbox.Offer(quota.ReplyReceived{Owner: a.To.Name, Sequence: a.Request.Sequence, Reply: reply})
		})
	case quota.SharesChanged:
		l.mu.Lock()
		for _, key := range a.Keys {
			l.changed[key] = struct{}{}
		}
		told := l.onChange
		l.mu.Unlock()
		if told != nil {
			told()
		}
	}
	return nil
}

// request asks an authority, which may be this sender itself.
func (l *quotaNode) request(ctx context.Context, q quota.SendRequest) (*pb.QuotaReply, error) {
	q.Request.Cluster = l.node.cfg.Cluster
	if q.To.Name == l.me.Name {
		return l.grant(ctx, q.Request)
	}
	client, err := l.node.conns.client(l.reach.Resolve(q.To.Address))
	if err != nil {
		return nil, err
	}
	return client.Lend(ctx, q.Request)
}

// grant answers a holder.
func (l *quotaNode) grant(ctx context.Context, r *pb.QuotaRequest) (*pb.QuotaReply, error) {
	ask := grantRequested{r, make(chan grantResult, 1)}
	if !l.server.Inbox.Offer(ask) {
		return nil, status.Error(codes.Unavailable, "this sender is leaving")
	}
	select {
	case a := <-ask.answer:
		return a.reply, a.err
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	case <-l.node.ctx.Done():
		return nil, status.Error(codes.Unavailable, "this sender is leaving")
	}
}

// Lend is asked by holders.
func (s *service) Lend(ctx context.Context, r *pb.QuotaRequest) (*pb.QuotaReply, error) {
	if err := s.checkCluster(r.Cluster); err != nil {
		return nil, err
	}
	return s.n.quotas.grant(ctx, r)
}

// quotaServer is the lender as a duty.
type quotaServer struct {
	*quota.Server
	node          *quotaNode
	membership    *pb.MembershipState
	policyVersion uint64
	known         bool
	prunedAt      time.Duration

	healthState *pb.HealthState
}

// sendGrant goes back to who asked.
type sendGrant struct {
	to chan grantResult
	grantResult
}

// Step answers what has come, while this sender's own lease lasts and by what is published. The order matters: the events were taken before
// now, so that nobody asked after it; the lease is looked at before what it is on, which is then no older; and
// the clock is read again for when a roster was first seen, which is then no sooner than it began.
func (d *quotaServer) Step(now time.Duration, events []any) (actions []any, alarm time.Duration) {
	g := d.node.node.gate
	until := time.Duration(g.leaseUntil.Load())
	var v *fleetpolicy.View
	if r := g.generation.Load(); r != nil {
		v = r.view.Load()
	}
	acts := v != nil && v.Unfit == nil && v.Membership != nil && now < until
	if v != nil && v.Membership != nil {
		if v.Membership != d.membership {
			d.membership = v.Membership
			d.SetMembership(v.Membership, d.node.node.cfg.Now())
		}
		if v.Version != d.policyVersion || v.Health != d.healthState || !d.known {
			d.policyVersion, d.healthState, d.known = v.Version, v.Health, true
			d.SetLimits(v.Limits(), now)
		}
	}
	if now-d.prunedAt > pruneInterval {
		d.prunedAt = now
		d.Prune(now)
	}
	d.SetDay(d.node.node.cfg.Today())
	for _, e := range events {
		switch e := e.(type) {
		case quotaDrawn:
			d.AddDrawn(e.Draw, e.units)
		case grantRequested:
			var a grantResult
			if acts {
				a.reply, a.err = d.Grant(e.request, now)
			} else {
				a.err = status.Error(codes.Unavailable, "this sender has no lease: it lends nothing")
			}
			if a.err != nil {
				if _, coded := status.FromError(a.err); !coded {
					a.err = status.Error(codes.FailedPrecondition, a.err.Error())
				}
			}
			actions = append(actions, sendGrant{e.answer, a})
		case reportRequested:
			e.done <- d.Reports(now)
		}
	}
	for _, draw := range d.TakeDraws() {
		actions = append(actions, draw)
	}
	return actions, worker.Never
}

func (l *quotaNode) executeServer(_ context.Context, a any) error {
	switch a := a.(type) {
	case sendGrant:
		a.to <- a.grantResult
	case quota.Draw:
		l.node.goBackground(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, l.node.cfg.LeaseTerms.Duration)
			defer cancel()
			r, err := l.node.Submit(ctx, replicatedlog.KindMembership, &pb.MembershipCommand{Command: &pb.MembershipCommand_Draw{Draw: &pb.DrawQuota{Epoch: a.Epoch, Key: a.Key, Period: a.Period, Units: a.Units, Limit: a.Limit}}})
			units := int64(0)
			if err == nil && r.Rejection == "" {
				units, _ = binary.Varint(r.Result)
			} else { // what the log gave without our hearing of it is lost for the day
				l.node.log.Debug("fleet: nothing is drawn of a day's quota", "limit", a.Key, "err", err, "refused", r.GetRejection())
			}
			l.server.Inbox.Offer(quotaDrawn{a, units})
		})
	}
	return nil
}

// Admit asks at the moment of writing whether a call may be begun, and takes what it uses of limits. left is to be called when it is
// written, or will not be; over, if it is not nil, when it has ended, with whether it was written.
func (n *Node) Admit(c fleetpolicy.Call) (left func(), over func(written bool), why string) {
	left, why = n.gate.Admit(c)
	if why != "" {
		return nil, nil, why
	}
	v := n.gate.current()
	uses := v.Usages(c)
	if len(uses) == 0 {
		return left, nil, ""
	}
	if ok, lacks := n.quotas.allowances.Take(uses, n.cfg.Now()); !ok {
		left()
		return nil, nil, "no unit of the fleet's limit is here: " + lacks
	}
	return left, func(written bool) {
		if written {
			n.quotas.allowances.Release(uses, n.cfg.Now())
		} else {
			n.quotas.allowances.Undo(uses, n.cfg.Now())
		}
	}, ""
}

// AddBacklog notes that so many messages more, or fewer, wait to be sent that are under a policy's limits.
func (n *Node) AddBacklog(c fleetpolicy.Call, messages int64) {
	v := n.gate.current()
	if v == nil {
		return
	}
	for _, u := range v.Usages(c) {
		n.quotas.allowances.AddWaiting(u.Key, messages*u.Units, u.Units)
	}
}

// SetBacklog puts what waits in place of all that was noted.
func (n *Node) SetBacklog(waiting map[fleetpolicy.Call]int64) {
	v := n.gate.current()
	if v == nil {
		return
	}
	by := map[string]int64{}
	for c, messages := range waiting {
		for _, u := range v.Usages(c) {
			by[u.Key] += messages * u.Units
		}
	}
	n.quotas.allowances.SetWaiting(by)
}

// RateLimit is what this sender may send to a destination, in calls a second, and what all may. Limited is false if the policy sets no
// limit, and then the others say nothing.
type RateLimit struct {
	Destination uint32
	Limited     bool
	Own, Fleet  float64
}

// RateLimits are those of destinations whose pace has changed since they were asked for, or all that are limited.
func (n *Node) RateLimits(all bool) (paces []RateLimit) {
	v := n.gate.current()
	if v == nil {
		return nil
	}
	l := n.quotas
	l.mu.Lock()
	keys := make([]string, 0, len(l.changed))
	for key := range l.changed {
		keys = append(keys, key)
	}
	clear(l.changed)
	l.mu.Unlock()
	if all {
		keys = append(keys, l.allowances.Keys()...)
	}
	now := n.cfg.Now()
	by := map[uint32]bool{}
	for _, key := range keys {
		var d uint32 // limits of a destination by itself begin with its number
		if _, err := fmt.Sscanf(key, "destination %d", &d); err == nil {
			by[d] = true
		}
	}
	for _, d := range slices.Sorted(maps.Keys(by)) {
		p := RateLimit{Destination: d, Own: math.Inf(1), Fleet: math.Inf(1)}
		for _, q := range v.RateLimits(d) {
			if share, ok := l.allowances.Share(q.Key, now); ok { // the lowest counts
				p.Limited = true
				p.Own = min(p.Own, float64(share.Units)/share.CoolDown.Seconds())
				p.Fleet = min(p.Fleet, float64(max(q.Units, q.SlowStartUnits))/q.Span.Seconds())
			}
		}
		if !p.Limited {
			p.Own, p.Fleet = 0, 0
		}
		paces = append(paces, p)
	}
	return paces
}

// OnRateLimits has f called, from any goroutine, when paces have changed.
func (n *Node) OnRateLimits(f func()) {
	n.quotas.mu.Lock()
	defer n.quotas.mu.Unlock()
	n.quotas.onChange = f
}

// ObserveLimit is that a receiver has told this sender its limit, in calls a second.
func (n *Node) ObserveLimit(destination uint32, perSecond float64) {
	if v := n.gate.current(); v != nil {
		if q, ok := v.Policy.RateLimit(destination); ok && q.Adaptive {
			n.quotas.allowances.ObserveLimit(q.Key, perSecond, n.cfg.Now())
		}
	}
}

// LimitReport is a limit as this sender has it, and as its authority has it if that is this sender.
type LimitReport struct {
	Key         string        `json:"key"`
	Description string        `json:"limit"`
	Units       int64         `json:"units"`
	Owner       string        `json:"authority"`          // of the roster in force
	Granted     int64         `json:"holds"`              // this sender, now
	InUse       int64         `json:"busy"`               // of that, in use or at rest
	RemainingMS int64         `json:"left_ms"`            // of its loan
	Waiting     int64         `json:"waiting"`            // units of messages here
	Used        uint64        `json:"used"`               // by this process
	Rejected    uint64        `json:"refused"`            // calls of it that were not written for want of a unit
	Rotating    bool          `json:"turns,omitempty"`    // units go by turns
	Bound       string        `json:"bound"`              // what a receiver sees at the most
	Outstanding *int64        `json:"out,omitempty"`      // lent or at rest in all; at the authority
	GraceMS     int64         `json:"quiet_ms,omitempty"` // until the authority knows of all that is out
	Grants      []GrantReport `json:"lent,omitempty"`
}

// GrantReport is one process of a sender in the authority's book.
type GrantReport struct {
	Name        string `json:"name"`
	Units       int64  `json:"units"`
	Cooling     int64  `json:"rests"`
	RemainingMS int64  `json:"left_ms"`
	Wanted      int64  `json:"want"`
	WaitingMS   int64  `json:"waits_ms,omitempty"`
}

// Limits shows the fleet's limits as this sender has them.
func (n *Node) Limits(ctx context.Context) ([]LimitReport, error) {
	v := n.gate.current()
	if v == nil {
		return nil, status.Error(codes.Unavailable, "the fleet's policy is not known yet")
	}
	show := reportRequested{make(chan []quota.Report, 1)}
	n.quotas.server.Inbox.Offer(show)
	var books []quota.Report
	select {
	case books = <-show.done:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	now := n.cfg.Now()
	charge := v.Ownership()
	all := []LimitReport{}
	for _, s := range n.quotas.allowances.Statuses(now) {
		r := LimitReport{Key: s.Limit.Key, Description: fleetpolicy.DescribeLimit(s.Limit), Units: s.Limit.Units, Granted: s.Units, InUse: s.InUse, RemainingMS: s.Remaining.Milliseconds(), Waiting: s.Waiting,
			Used: s.Used, Rejected: s.Rejected, Rotating: s.Rotating, Bound: n.quotas.describeBound(s.Limit, len(v.Membership.GetParticipants()))}
		if p := charge.Owner(s.Limit.Key); p != nil {
			r.Owner = p.Name
		}
		if i := slices.IndexFunc(books, func(b quota.Report) bool { return b.Key == s.Limit.Key }); i >= 0 {
			b := books[i]
			r.Outstanding, r.GraceMS = &b.Outstanding, b.GraceRemaining.Milliseconds()
			for _, line := range b.Clients {
				r.Grants = append(r.Grants, GrantReport{line.Name, line.Units, line.Cooling, line.Remaining.Milliseconds(), line.Wanted, line.Waiting.Milliseconds()})
			}
		}
		all = append(all, r)
	}
	return all, nil
}

// describeBound is what a limit promises, for a fleet of so many senders.
func (l *quotaNode) describeBound(q quota.Limit, senders int) string {
	text := fmt.Sprintf("%d in any %v at the receiver", q.Units, q.Span)
	if q.Kind == quota.Daily {
		return fmt.Sprintf("%d in a day of the calendar of who is in charge; what is held as it ends may be used %v longer; what a sender holds that dies, and up to a hundredth for each authority that does, is lost for the day", q.Units, l.terms.Duration)
	}
	if q.Kind == quota.Concurrent {
		text = fmt.Sprintf("%d at once", q.Units)
	}
	if q.CutOffExtra > 0 {
		text += fmt.Sprintf(", and %d more for each sender that is cut off: %d if all %d are", q.CutOffExtra, q.WorstCase(senders), senders)
	}
	return text + fmt.Sprintf("; one that is cut off uses what it holds for %v at most, then %d; what it held is lent again %v after it asked last; a new authority lends anew after %v",
		l.terms.Duration, q.Reserve+q.CutOffExtra, l.terms.GracePeriod(q), l.terms.GracePeriod(q))
}

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

// limiting is a sender's part in the fleet's limits: two duties, one that asks for units and one that lends those of the limits that
// the roster puts this sender in charge of. Calls take units from the till, in their own goroutines.
type limiting struct {
	n     *Node
	me    lease.HolderID
	terms quota.Terms
	till  *quota.Till
	reach peers.RouteTable
	asks  *worker.Worker[any, any]
	lends *worker.Worker[any, any]

	evidence *evidence

	version uint64 // of the policy that the till goes by; the copy's duty alone has it
	rank    int
	known   bool

	verdicts *pb.HealthState

	mu      sync.Mutex
	changed map[string]struct{} // limits of which this sender may use another share, and nobody has heard so
	told    func()
}

const (
	pokesMost = 4096 // events that wait for the asker: those of one limit are one
	lendsMost = 4096 // questions that wait for the lender
	tidyEvery = time.Second
)

// Events of the two, besides those of package quota.
type (
	nudge   struct{}
	lendAsk struct {
		request *pb.QuotaRequest
		answer  chan lendAnswer
	}
	lendAnswer struct {
		reply *pb.QuotaReply
		err   error
	}
	showBooks struct{ done chan []quota.Report }
	drawn     struct {
		quota.Draw
		units int64
	}
)

func newLimiting(n *Node) (*limiting, error) {
	reach, err := peers.NewRouteTable(n.c.Reach)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	l := &limiting{n: n, me: lease.HolderID{Name: n.c.Name, Incarnation: n.life}, terms: quota.Terms{Length: n.c.lend(), Drift: n.c.limitsDrift()}, reach: reach, changed: map[string]struct{}{}}
	l.till = quota.NewTill(l.terms.Drift, func(key string) { l.asks.Inbox.Offer(quota.Poke{Key: key}) })
	asker := quota.NewAsker(l.me, l.terms, l.till)
	if n.c.Loan != nil {
		asker.Wrong(n.c.Loan)
	}
	l.asks = &worker.Worker[any, any]{Name: "limits, asking", Inbox: worker.NewRingBuffer[any]("limits, asking", pokesMost, worker.MergeByKey, pokeKey), Stepper: &asking{l: l, Asker: asker}, Execute: l.doAsk}
	lender := quota.NewLender(l.me, l.terms)
	if n.c.Day == nil {
		n.c.Day = func() int64 { return time.Now().UTC().Unix() / int64(24*time.Hour/time.Second) }
	}
	if n.c.Quiet != nil {
		lender.Wrong(n.c.Quiet)
	}
	l.lends = &worker.Worker[any, any]{Name: "limits, lending", Inbox: worker.NewRingBuffer[any]("limits, lending", lendsMost, worker.DropOldest, nil), Stepper: &lending{l: l, Lender: lender}, Execute: l.doLend}
	l.evidence = newEvidence(l)
	return l, nil
}

func (l *limiting) start() {
	l.n.group.Start(l.lends, worker.StopWorker)
	l.n.group.Start(l.asks, worker.StopWorker)
	l.n.group.Start(l.evidence.duty, worker.StopWorker)
}

// pokeKey has events of one sort about one thing be one.
func pokeKey(e any) string {
	switch e := e.(type) {
	case quota.Poke:
		return "k" + e.Key
	case quota.Answered:
		return "a" + e.To // of two answers the older one counts no more
	}
	return fmt.Sprintf("%T", e)
}

// published takes over what is limited, before any call goes by it.
func (l *limiting) published(v *fleetpolicy.View) {
	if l.known && v.Version == l.version && v.Rank == l.rank && v.Verdicts == l.verdicts {
		return
	}
	l.version, l.rank, l.verdicts, l.known = v.Version, v.Rank, v.Verdicts, true
	l.till.Limits(v.Limits(), func(q quota.Limit) bool { return v.Rank >= 0 && int64(v.Rank) < q.FloorFor }, l.n.c.Now())
	l.asks.Inbox.Offer(quota.Relimited{})
}

// nudge has both look at what is published.
func (l *limiting) nudge() {
	l.lends.Inbox.Offer(nudge{})
	l.asks.Inbox.Offer(nudge{})
	l.evidence.duty.Inbox.Offer(nudge{})
}

// asking is the asker as a duty.
type asking struct {
	*quota.Asker
	l      *limiting
	roster *pb.MembershipState
}

// Step takes events in, by the roster that is published.
func (a *asking) Step(now time.Duration, events []any) ([]any, time.Duration) {
	if r := a.l.n.gate.room.Load(); r != nil {
		if v := r.view.Load(); v.Roster != nil && v.Roster != a.roster {
			a.roster = v.Roster
			a.Asker.Roster(v.Roster)
		}
	}
	return a.Asker.Step(now, events)
}

func (l *limiting) doAsk(_ context.Context, a any) error {
	switch a := a.(type) {
	case quota.Question:
		l.n.aside(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, a.Within)
			defer cancel()
			reply, err := l.put(ctx, a)
			if err != nil {
				l.n.log.Debug("fleet: nothing is lent", "by", a.To.Name, "err", err)
			}
			l.asks.Inbox.Offer(quota.Answered{To: a.To.Name, Seq: a.Request.Sequence, Reply: reply})
		})
	case quota.Changed:
		l.mu.Lock()
		for _, key := range a.Keys {
			l.changed[key] = struct{}{}
		}
		told := l.told
		l.mu.Unlock()
		if told != nil {
			told()
		}
	}
	return nil
}

// put asks an authority, which may be this sender itself.
func (l *limiting) put(ctx context.Context, q quota.Question) (*pb.QuotaReply, error) {
	q.Request.Cluster = l.n.c.Cluster
	if q.To.Name == l.me.Name {
		return l.lend(ctx, q.Request)
	}
	client, err := l.n.wires.to(l.reach.Resolve(q.To.Address))
	if err != nil {
		return nil, err
	}
	return client.Lend(ctx, q.Request)
}

// lend answers a holder.
func (l *limiting) lend(ctx context.Context, r *pb.QuotaRequest) (*pb.QuotaReply, error) {
	ask := lendAsk{r, make(chan lendAnswer, 1)}
	if !l.lends.Inbox.Offer(ask) {
		return nil, status.Error(codes.Unavailable, "this sender is leaving")
	}
	select {
	case a := <-ask.answer:
		return a.reply, a.err
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	case <-l.n.ctx.Done():
		return nil, status.Error(codes.Unavailable, "this sender is leaving")
	}
}

// Lend is asked by holders.
func (s *service) Lend(ctx context.Context, r *pb.QuotaRequest) (*pb.QuotaReply, error) {
	if err := s.mine(r.Cluster); err != nil {
		return nil, err
	}
	return s.n.limits.lend(ctx, r)
}

// lending is the lender as a duty.
type lending struct {
	*quota.Lender
	l       *limiting
	roster  *pb.MembershipState
	version uint64
	known   bool
	tidied  time.Duration

	verdicts *pb.HealthState
}

// lendReply goes back to who asked.
type lendReply struct {
	to chan lendAnswer
	lendAnswer
}

// Step answers what has come, while this sender's own lease lasts and by what is published. The order matters: the events were taken before
// now, so that nobody asked after it; the lease is looked at before what it is on, which is then no older; and
// the clock is read again for when a roster was first seen, which is then no sooner than it began.
func (d *lending) Step(now time.Duration, events []any) (actions []any, alarm time.Duration) {
	g := d.l.n.gate
	until := time.Duration(g.until.Load())
	var v *fleetpolicy.View
	if r := g.room.Load(); r != nil {
		v = r.view.Load()
	}
	acts := v != nil && v.Unfit == nil && v.Roster != nil && now < until
	if v != nil && v.Roster != nil {
		if v.Roster != d.roster {
			d.roster = v.Roster
			d.Roster(v.Roster, d.l.n.c.Now())
		}
		if v.Version != d.version || v.Verdicts != d.verdicts || !d.known {
			d.version, d.verdicts, d.known = v.Version, v.Verdicts, true
			d.Limits(v.Limits(), now)
		}
	}
	if now-d.tidied > tidyEvery {
		d.tidied = now
		d.Tidy(now)
	}
	d.Day(d.l.n.c.Day())
	for _, e := range events {
		switch e := e.(type) {
		case drawn:
			d.Drawn(e.Draw, e.units)
		case lendAsk:
			var a lendAnswer
			if acts {
				a.reply, a.err = d.Lend(e.request, now)
			} else {
				a.err = status.Error(codes.Unavailable, "this sender has no lease: it lends nothing")
			}
			if a.err != nil {
				if _, coded := status.FromError(a.err); !coded {
					a.err = status.Error(codes.FailedPrecondition, a.err.Error())
				}
			}
			actions = append(actions, lendReply{e.answer, a})
		case showBooks:
			e.done <- d.Reports(now)
		}
	}
	for _, draw := range d.Draws() {
		actions = append(actions, draw)
	}
	return actions, worker.Never
}

func (l *limiting) doLend(_ context.Context, a any) error {
	switch a := a.(type) {
	case lendReply:
		a.to <- a.lendAnswer
	case quota.Draw:
		l.n.aside(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, l.n.c.Terms.Duration)
			defer cancel()
			r, err := l.n.Submit(ctx, replicatedlog.KindMembership, &pb.MembershipCommand{Command: &pb.MembershipCommand_Draw{Draw: &pb.DrawQuota{Epoch: a.Epoch, Key: a.Key, Period: a.Period, Units: a.Units, Limit: a.Most}}})
			units := int64(0)
			if err == nil && r.Rejection == "" {
				units, _ = binary.Varint(r.Result)
			} else { // what the log gave without our hearing of it is lost for the day
				l.n.log.Debug("fleet: nothing is drawn of a day's quota", "limit", a.Key, "err", err, "refused", r.GetRejection())
			}
			l.lends.Inbox.Offer(drawn{a, units})
		})
	}
	return nil
}

// Enter asks at the moment of writing whether a call may be begun, and takes what it uses of limits. left is to be called when it is
// written, or will not be; over, if it is not nil, when it has ended, with whether it was written.
func (n *Node) Enter(c fleetpolicy.Call) (left func(), over func(written bool), why string) {
	left, why = n.gate.Enter(c)
	if why != "" {
		return nil, nil, why
	}
	v := n.gate.current()
	uses := v.Uses(c)
	if len(uses) == 0 {
		return left, nil, ""
	}
	if ok, lacks := n.limits.till.Take(uses, n.c.Now()); !ok {
		left()
		return nil, nil, "no unit of the fleet's limit is here: " + lacks
	}
	return left, func(written bool) {
		if written {
			n.limits.till.Over(uses, n.c.Now())
		} else {
			n.limits.till.Undo(uses, n.c.Now())
		}
	}, ""
}

// Waits notes that so many messages more, or fewer, wait to be sent that are under a policy's limits.
func (n *Node) Waits(c fleetpolicy.Call, messages int64) {
	v := n.gate.current()
	if v == nil {
		return
	}
	for _, u := range v.Uses(c) {
		n.limits.till.Wait(u.Key, messages*u.Units, u.Units)
	}
}

// Recount puts what waits in place of all that was noted.
func (n *Node) Recount(waiting map[fleetpolicy.Call]int64) {
	v := n.gate.current()
	if v == nil {
		return
	}
	by := map[string]int64{}
	for c, messages := range waiting {
		for _, u := range v.Uses(c) {
			by[u.Key] += messages * u.Units
		}
	}
	n.limits.till.Recount(by)
}

// Pace is what this sender may send to a destination, in calls a second, and what all may. Limited is false if the policy sets no
// limit, and then the others say nothing.
type Pace struct {
	Destination uint32
	Limited     bool
	Mine, All   float64
}

// Paces are those of destinations whose pace has changed since they were asked for, or all that are limited.
func (n *Node) Paces(all bool) (paces []Pace) {
	v := n.gate.current()
	if v == nil {
		return nil
	}
	l := n.limits
	l.mu.Lock()
	keys := make([]string, 0, len(l.changed))
	for key := range l.changed {
		keys = append(keys, key)
	}
	clear(l.changed)
	l.mu.Unlock()
	if all {
		keys = append(keys, l.till.Keys()...)
	}
	now := n.c.Now()
	by := map[uint32]bool{}
	for _, key := range keys {
		var d uint32 // limits of a destination by itself begin with its number
		if _, err := fmt.Sscanf(key, "destination %d", &d); err == nil {
			by[d] = true
		}
	}
	for _, d := range slices.Sorted(maps.Keys(by)) {
		p := Pace{Destination: d, Mine: math.Inf(1), All: math.Inf(1)}
		for _, q := range v.Paced(d) {
			if share, ok := l.till.Share(q.Key, now); ok { // the lowest counts
				p.Limited = true
				p.Mine = min(p.Mine, float64(share.Units)/share.Rest.Seconds())
				p.All = min(p.All, float64(max(q.Units, q.RampTo))/q.Span.Seconds())
			}
		}
		if !p.Limited {
			p.Mine, p.All = 0, 0
		}
		paces = append(paces, p)
	}
	return paces
}

// OnPaces has f called, from any goroutine, when paces have changed.
func (n *Node) OnPaces(f func()) {
	n.limits.mu.Lock()
	defer n.limits.mu.Unlock()
	n.limits.told = f
}

// Told is that a receiver has told this sender its limit, in calls a second.
func (n *Node) Told(destination uint32, perSecond float64) {
	if v := n.gate.current(); v != nil {
		if q, ok := v.Policy.Paced(destination); ok && q.Learns {
			n.limits.till.Told(q.Key, perSecond, n.c.Now())
		}
	}
}

// LimitReport is a limit as this sender has it, and as its authority has it if that is this sender.
type LimitReport struct {
	Key       string       `json:"key"`
	Words     string       `json:"limit"`
	Units     int64        `json:"units"`
	Authority string       `json:"authority"`          // of the roster in force
	Holds     int64        `json:"holds"`              // this sender, now
	Busy      int64        `json:"busy"`               // of that, in use or at rest
	LeftMS    int64        `json:"left_ms"`            // of its loan
	Waiting   int64        `json:"waiting"`            // units of messages here
	Used      uint64       `json:"used"`               // by this process
	Refused   uint64       `json:"refused"`            // calls of it that were not written for want of a unit
	Turns     bool         `json:"turns,omitempty"`    // units go by turns
	Bound     string       `json:"bound"`              // what a receiver sees at the most
	Out       *int64       `json:"out,omitempty"`      // lent or at rest in all; at the authority
	QuietMS   int64        `json:"quiet_ms,omitempty"` // until the authority knows of all that is out
	Lent      []LentReport `json:"lent,omitempty"`
}

// LentReport is one process of a sender in the authority's book.
type LentReport struct {
	Name    string `json:"name"`
	Units   int64  `json:"units"`
	Rests   int64  `json:"rests"`
	LeftMS  int64  `json:"left_ms"`
	Want    int64  `json:"want"`
	WaitsMS int64  `json:"waits_ms,omitempty"`
}

// Limits shows the fleet's limits as this sender has them.
func (n *Node) Limits(ctx context.Context) ([]LimitReport, error) {
	v := n.gate.current()
	if v == nil {
		return nil, status.Error(codes.Unavailable, "the fleet's policy is not known yet")
	}
	show := showBooks{make(chan []quota.Report, 1)}
	n.limits.lends.Inbox.Offer(show)
	var books []quota.Report
	select {
	case books = <-show.done:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	now := n.c.Now()
	charge := v.Charge()
	all := []LimitReport{}
	for _, s := range n.limits.till.Stands(now) {
		r := LimitReport{Key: s.Limit.Key, Words: fleetpolicy.LimitWords(s.Limit), Units: s.Limit.Units, Holds: s.Units, Busy: s.Busy, LeftMS: s.Left.Milliseconds(), Waiting: s.Waiting,
			Used: s.Used, Refused: s.Refused, Turns: s.Turns, Bound: n.limits.bound(s.Limit, len(v.Roster.GetParticipants()))}
		if p := charge.Owner(s.Limit.Key); p != nil {
			r.Authority = p.Name
		}
		if i := slices.IndexFunc(books, func(b quota.Report) bool { return b.Key == s.Limit.Key }); i >= 0 {
			b := books[i]
			r.Out, r.QuietMS = &b.Out, b.Quiet.Milliseconds()
			for _, line := range b.Lines {
				r.Lent = append(r.Lent, LentReport{line.Name, line.Units, line.Rests, line.Left.Milliseconds(), line.Want, line.Waits.Milliseconds()})
			}
		}
		all = append(all, r)
	}
	return all, nil
}

// bound is what a limit promises, for a fleet of so many senders.
func (l *limiting) bound(q quota.Limit, senders int) string {
	text := fmt.Sprintf("%d in any %v at the receiver", q.Units, q.Span)
	if q.Sort == quota.Daily {
		return fmt.Sprintf("%d in a day of the calendar of who is in charge; what is held as it ends may be used %v longer; what a sender holds that dies, and up to a hundredth for each authority that does, is lost for the day", q.Units, l.terms.Length)
	}
	if q.Sort == quota.AtOnce {
		text = fmt.Sprintf("%d at once", q.Units)
	}
	if q.Over > 0 {
		text += fmt.Sprintf(", and %d more for each sender that is cut off: %d if all %d are", q.Over, q.Most(senders), senders)
	}
	return text + fmt.Sprintf("; one that is cut off uses what it holds for %v at most, then %d; what it held is lent again %v after it asked last; a new authority lends anew after %v",
		l.terms.Length, q.Floor+q.Over, l.terms.Quiet(q), l.terms.Quiet(q))
}

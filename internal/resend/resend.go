// Package resend has kept messages go again, by rule and by hand, as background work: what may go and when is decided by
// package undelivered; whether, where and when each is sent is decided by the module, as for any message.
//
// A message goes again in steps, each of which stands before the next: the store marks it as about to go, the sender takes
// it into its journal as its next life, it ends there, the recorder hears of that end, and the store books it. A process that
// is killed between any two leaves it in the journal, where it goes on, or marked in the store and in no journal, where it is
// kept again (Reconcile).
package resend

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"saffronyard.example/saffronyard/internal/undelivered"
	"saffronyard.example/saffronyard/internal/work"
	"saffronyard.example/saffronyard/internal/work/run"
)

// Sender is what it needs of the sender.
type Sender interface {
	// Receivers is what is known of destinations now.
	Receivers(ctx context.Context) (map[uint32]undelivered.Receiver, error)
	// Resend takes a message on; an error says that it did not.
	Resend(ctx context.Context, e undelivered.Entry, deadline time.Duration) error
	// InFlight is the messages that went again and have not been booked as ended.
	InFlight(ctx context.Context) (map[string]bool, error)
}

// Kinds of work.
const (
	FindMembersKind = "resend.look" // finds members of whom something is kept
	ResendKind      = "resend"      // has one member's messages go
	ExpireKind      = "undelivered.expire"
)

const (
	pageSize           = 200              // entries looked at in one slice
	recheckInterval    = 30 * time.Second // those that may not go are looked at again so often
	manualDeadline     = 28 * time.Second // what is sent by hand may take so long, where no rule says otherwise
	manualRateFraction = 0.5
	expireBatch        = 500 // entries dropped in one slice
)

// Engine has messages go again.
type Engine struct {
	Rules  []undelivered.Rule
	Window func(class string) time.Duration // how long keys of a class are remembered
	Store  func() (*undelivered.Store, error)
	Sender Sender
	Log    *slog.Logger
	Clock  func() time.Duration // does not go back
	Wall   func() time.Time

	mu         sync.Mutex
	reconciled bool
	pacers     map[uint32]*undelivered.Pacer
	scheduled  map[string]bool // members who have a job
	requested  []string        // those for whom the last look made one
	positions  map[string]position
	generation int // something ended, was wanted by hand, or the rules are others: what was passed over is looked at again
}

// position is how far a member's entries were looked at, none of which could go.
type position struct {
	after      undelivered.Key
	scannedAt  time.Duration
	generation int // as there had been then
}

// RecordResendEnd is told of each message that went again, as it has ended.
func (e *Engine) RecordResendEnd(x *undelivered.Entry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if g := e.pacers[x.Destination]; g != nil {
		g.RecordResult(x.Ending == undelivered.Delivered)
	}
	e.generation++
}

// SetRules changes the rules in service. What is on its way goes on; what has not gone yet goes by the new ones.
func (e *Engine) SetRules(rules []undelivered.Rule) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Rules = rules
	e.generation++
}

func (e *Engine) rules() []undelivered.Rule {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Rules
}

// Kinds are the kinds of work that it does.
func (e *Engine) Kinds() []*run.Kind {
	e.pacers, e.scheduled, e.positions = map[uint32]*undelivered.Pacer{}, map[string]bool{}, map[string]position{}
	return []*run.Kind{
		// Memory: the store says what is to be done. Repeat: what was marked is not marked again.
		{Name: FindMembersKind, Volatile: true, Idempotent: true, Slice: e.findMembers, Timer: &run.Timer{Schedule: work.Schedule{Every: time.Second, Missed: work.MissedOnce},
			Job: run.JobSpec{Kind: FindMembersKind, Owner: "resends", Priority: work.Normal, Lock: FindMembersKind}}},
		{Name: ResendKind, Volatile: true, Idempotent: true, Slice: e.resendMember},
		{Name: ExpireKind, Volatile: true, Idempotent: true, Slice: e.expire, Timer: &run.Timer{Schedule: work.Schedule{Every: time.Minute, Missed: work.MissedOnce},
			Job: run.JobSpec{Kind: ExpireKind, Owner: "undelivered", Priority: work.Low, Lock: ExpireKind, Resource: "undelivered store"}}},
	}
}

// findMembers finds members of whom something is kept and who have no job yet.
func (e *Engine) findMembers(ctx context.Context, t run.Task) (res run.Result, err error) {
	if t.Failures > 0 { // the jobs that it made last were not taken
		e.mu.Lock()
		for _, m := range e.requested {
			delete(e.scheduled, m)
		}
		e.mu.Unlock()
	}
	s, err := e.Store()
	if err != nil {
		return res, err
	}
	if !e.isReconciled() {
		held, err := e.Sender.InFlight(ctx)
		if err != nil {
			return res, err
		}
		n, err := s.Reconcile(held)
		if err != nil {
			return res, err
		}
		if n > 0 {
			e.Log.Info("messages that were about to go again as an earlier process ended are kept as before", "messages", n)
		}
		e.mu.Lock()
		e.reconciled = true
		e.mu.Unlock()
	}
	members, err := s.Members()
	if err != nil {
		return res, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requested = nil
	for _, m := range members {
		if !e.scheduled[m] {
			e.scheduled[m] = true
			e.requested = append(e.requested, m)
			res.Jobs = append(res.Jobs, run.JobSpec{Kind: ResendKind, Owner: m, Priority: work.Normal, SliceCost: work.Cost{work.Calls: 1}, Resource: "undelivered store"})
		}
	}
	return res, nil
}

func (e *Engine) isReconciled() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reconciled
}

// candidate is a message that may go, and the rule by which it does.
type candidate struct {
	key  undelivered.Key
	rule *undelivered.Rule
}

// resendMember has some of one member's messages go.
func (e *Engine) resendMember(ctx context.Context, t run.Task) (run.Result, error) {
	s, err := e.Store()
	if err != nil {
		return run.Result{}, err
	}
	receivers, err := e.Sender.Receivers(ctx)
	if err != nil {
		return run.Result{}, err
	}
	now, wall, rules := e.Clock(), e.Wall(), e.rules()
	e.mu.Lock()
	from := e.positions[t.Owner]
	if from.generation != e.generation || now-from.scannedAt > recheckInterval {
		from = position{scannedAt: now, generation: e.generation}
	}
	e.mu.Unlock()

	var drop []undelivered.Key
	going := map[uint32][]candidate{}
	last, n := from.after, 0
	newest := false
	err = s.List(undelivered.Filter{Member: t.Owner, After: from.after, Limit: pageSize}, func(k undelivered.Key, x undelivered.Entry) bool {
		n++
		switch choice, _ := undelivered.Choose(rules, &x, e.Window(x.Class), wall.UnixNano(), x.ResendRequested); choice {
		case undelivered.ResendNow:
			rule := undelivered.FindRule(rules, &x)
			if x.ResendRequested || rule == nil {
				rule = &undelivered.Rule{Name: "by hand", RateFraction: manualRateFraction, Deadline: manualDeadline}
			}
			newest = newest || rule.NewestFirst
			going[x.Destination] = append(going[x.Destination], candidate{k, rule})
		case undelivered.DropEntry:
			drop = append(drop, k)
		}
		last = k
		return true
	})
	if err != nil {
		return run.Result{}, err
	}
	if len(drop) > 0 {
		if _, err := s.Drop(drop); err != nil {
			return run.Result{}, err
		}
	}
	if len(going) == 0 { // none of these may go: the next ones are looked at, and at the end it rests
		e.mu.Lock()
		defer e.mu.Unlock()
		if n == pageSize {
			e.positions[t.Owner] = position{last, from.scannedAt, from.generation}
			return run.Result{More: true}, nil
		}
		e.positions[t.Owner] = position{scannedAt: now, generation: from.generation}
		delete(e.scheduled, t.Owner)
		return run.Result{}, nil
	}
	res := run.Result{More: true, Delay: time.Second}
	for dest, list := range going {
		e.mu.Lock()
		g := e.pacers[dest]
		if g == nil {
			g = &undelivered.Pacer{}
			e.pacers[dest] = g
		}
		may, _, again := g.Admit(now, wall, list[0].rule, receivers[dest])
		e.mu.Unlock()
		if may == 0 {
			res.Delay = min(res.Delay, max(again, 10*time.Millisecond))
			continue
		}
		res.Delay = min(res.Delay, 50*time.Millisecond)
		pick := list[:min(may, len(list))]
		if newest {
			pick = list[len(list)-min(may, len(list)):]
		}
		sent, err := e.handOver(ctx, s, pick)
		res.Used[work.Calls] += int64(sent)
		res.Used[work.Syncs]++
		if err != nil {
			return res, err
		}
	}
	return res, nil
}

// handOver marks entries of one destination, hands them over, and takes the mark back from those that the sender does not take.
func (e *Engine) handOver(ctx context.Context, s *undelivered.Store, pick []candidate) (sent int, err error) {
	var keys []undelivered.Key
	for _, c := range pick {
		keys = append(keys, c.key)
	}
	begun, err := s.BeginResend(keys)
	if err != nil {
		return 0, err
	}
	var back []undelivered.Key
	for i := range begun {
		x := begun[i]
		if err := e.Sender.Resend(ctx, x, pick[0].rule.Deadline); err != nil {
			e.Log.Debug("a kept message does not go again now", "message", x.Message, "why", err)
			back = append(back, undelivered.KeyOf(x.Message, x.EndedAt))
			continue
		}
		sent++
	}
	if len(back) > 0 {
		err = s.CancelResend(back)
	}
	return sent, err
}

// expire drops what is too old, a little at a time.
func (e *Engine) expire(context.Context, run.Task) (run.Result, error) {
	s, err := e.Store()
	if err != nil {
		return run.Result{}, err
	}
	n, more, err := s.Expire(e.Wall().UnixNano(), expireBatch)
	if n > 0 {
		e.Log.Info("undelivered messages are dropped: they are too old", "messages", n)
	}
	return run.Result{More: more, Used: work.Cost{work.Syncs: 1}}, err
}

// Plans says of entries what would become of them if an operator had them sent: nothing is changed.
func (e *Engine) Plans(f undelivered.Filter) ([]undelivered.ResendPlan, error) {
	s, err := e.Store()
	if err != nil {
		return nil, err
	}
	plans, rules := []undelivered.ResendPlan{}, e.rules()
	err = s.List(f, func(k undelivered.Key, x undelivered.Entry) bool {
		c, why := undelivered.Choose(rules, &x, e.Window(x.Class), e.Wall().UnixNano(), true)
		plans = append(plans, undelivered.ResendPlan{Name: k.String(), Member: x.Member, WillResend: c == undelivered.ResendNow, Why: why})
		return true
	})
	return plans, err
}

// RequestResend has entries go again by hand, as far as they may, or takes that back.
func (e *Engine) RequestResend(f undelivered.Filter, want bool) (n int, err error) {
	s, err := e.Store()
	if err != nil {
		return 0, err
	}
	var keys []undelivered.Key
	if err := s.List(f, func(k undelivered.Key, _ undelivered.Entry) bool { keys = append(keys, k); return true }); err != nil {
		return 0, err
	}
	n, err = s.RequestResend(keys, want)
	e.mu.Lock()
	e.generation++
	e.mu.Unlock()
	return n, err
}

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
	// Again takes a message on; an error says that it did not.
	Again(ctx context.Context, e undelivered.Entry, deadline time.Duration) error
	// Held is the messages that went again and have not been booked as ended.
	Held(ctx context.Context) (map[string]bool, error)
}

// Kinds of work.
const (
	Look   = "resend.look" // finds members of whom something is kept
	Member = "resend"      // has one member's messages go
	Expire = "undelivered.expire"
)

const (
	page       = 200              // entries looked at in one slice
	againAfter = 30 * time.Second // those that may not go are looked at again so often
	handed     = 28 * time.Second // what is sent by hand may take so long, where no rule says otherwise
	handShare  = 0.5
	expireMost = 500 // entries dropped in one slice
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
	gates      map[uint32]*undelivered.Gate
	active     map[string]bool // members who have a job
	asked      []string        // those for whom the last look made one
	passed     map[string]passed
	changes    int // something ended, was wanted by hand, or the rules are others: what was passed over is looked at again
}

// passed is how far a member's entries were looked at, none of which could go.
type passed struct {
	after   undelivered.Key
	at      time.Duration
	changes int // as there had been then
}

// Ended is told of each message that went again, as it has ended.
func (e *Engine) Ended(x *undelivered.Entry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if g := e.gates[x.Destination]; g != nil {
		g.Ended(x.How == undelivered.Delivered)
	}
	e.changes++
}

// SetRules changes the rules in service. What is on its way goes on; what has not gone yet goes by the new ones.
func (e *Engine) SetRules(rules []undelivered.Rule) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Rules = rules
	e.changes++
}

func (e *Engine) rules() []undelivered.Rule {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Rules
}

// Kinds are the kinds of work that it does.
func (e *Engine) Kinds() []*run.Kind {
	e.gates, e.active, e.passed = map[uint32]*undelivered.Gate{}, map[string]bool{}, map[string]passed{}
	return []*run.Kind{
		// Memory: the store says what is to be done. Repeat: what was marked is not marked again.
		{Name: Look, Memory: true, Repeat: true, Slice: e.look, Timer: &run.Timer{Schedule: work.Schedule{Every: time.Second, Missed: work.MissedOnce},
			Job: run.New{Kind: Look, Owner: "resends", Priority: work.Normal, Lock: Look}}},
		{Name: Member, Memory: true, Repeat: true, Slice: e.member},
		{Name: Expire, Memory: true, Repeat: true, Slice: e.expire, Timer: &run.Timer{Schedule: work.Schedule{Every: time.Minute, Missed: work.MissedOnce},
			Job: run.New{Kind: Expire, Owner: "undelivered", Priority: work.Low, Lock: Expire, Resource: "undelivered store"}}},
	}
}

// look finds members of whom something is kept and who have no job yet.
func (e *Engine) look(ctx context.Context, t run.Task) (res run.Result, err error) {
	if t.Fails > 0 { // the jobs that it made last were not taken
		e.mu.Lock()
		for _, m := range e.asked {
			delete(e.active, m)
		}
		e.mu.Unlock()
	}
	s, err := e.Store()
	if err != nil {
		return res, err
	}
	if !e.isReconciled() {
		held, err := e.Sender.Held(ctx)
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
	e.asked = nil
	for _, m := range members {
		if !e.active[m] {
			e.active[m] = true
			e.asked = append(e.asked, m)
			res.Jobs = append(res.Jobs, run.New{Kind: Member, Owner: m, Priority: work.Normal, Slice: work.Cost{work.Calls: 1}, Resource: "undelivered store"})
		}
	}
	return res, nil
}

func (e *Engine) isReconciled() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reconciled
}

// chosen is a message that may go, and the rule by which it does.
type chosen struct {
	key  undelivered.Key
	rule *undelivered.Rule
}

// member has some of one member's messages go.
func (e *Engine) member(ctx context.Context, t run.Task) (run.Result, error) {
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
	from := e.passed[t.Owner]
	if from.changes != e.changes || now-from.at > againAfter {
		from = passed{at: now, changes: e.changes}
	}
	e.mu.Unlock()

	var drop []undelivered.Key
	going := map[uint32][]chosen{}
	last, n := from.after, 0
	newest := false
	err = s.List(undelivered.Filter{Member: t.Owner, After: from.after, Most: page}, func(k undelivered.Key, x undelivered.Entry) bool {
		n++
		switch choice, _ := undelivered.Choose(rules, &x, e.Window(x.Class), wall.UnixNano(), x.Hand); choice {
		case undelivered.GoAgain:
			rule := undelivered.RuleOf(rules, &x)
			if x.Hand || rule == nil {
				rule = &undelivered.Rule{Name: "by hand", Share: handShare, Deadline: handed}
			}
			newest = newest || rule.Newest
			going[x.Destination] = append(going[x.Destination], chosen{k, rule})
		case undelivered.DropIt:
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
		if n == page {
			e.passed[t.Owner] = passed{last, from.at, from.changes}
			return run.Result{More: true}, nil
		}
		e.passed[t.Owner] = passed{at: now, changes: from.changes}
		delete(e.active, t.Owner)
		return run.Result{}, nil
	}
	res := run.Result{More: true, After: time.Second}
	for dest, list := range going {
		e.mu.Lock()
		g := e.gates[dest]
		if g == nil {
			g = &undelivered.Gate{}
			e.gates[dest] = g
		}
		may, _, again := g.Pass(now, wall, list[0].rule, receivers[dest])
		e.mu.Unlock()
		if may == 0 {
			res.After = min(res.After, max(again, 10*time.Millisecond))
			continue
		}
		res.After = min(res.After, 50*time.Millisecond)
		pick := list[:min(may, len(list))]
		if newest {
			pick = list[len(list)-min(may, len(list)):]
		}
		sent, err := e.send(ctx, s, pick)
		res.Used[work.Calls] += int64(sent)
		res.Used[work.Syncs]++
		if err != nil {
			return res, err
		}
	}
	return res, nil
}

// send marks entries of one destination, hands them over, and takes the mark back from those that the sender does not take.
func (e *Engine) send(ctx context.Context, s *undelivered.Store, pick []chosen) (sent int, err error) {
	var keys []undelivered.Key
	for _, c := range pick {
		keys = append(keys, c.key)
	}
	begun, err := s.Begin(keys)
	if err != nil {
		return 0, err
	}
	var back []undelivered.Key
	for i := range begun {
		x := begun[i]
		if err := e.Sender.Again(ctx, x, pick[0].rule.Deadline); err != nil {
			e.Log.Debug("a kept message does not go again now", "message", x.Message, "why", err)
			back = append(back, undelivered.KeyOf(x.Message, x.Ended))
			continue
		}
		sent++
	}
	if len(back) > 0 {
		err = s.Back(back)
	}
	return sent, err
}

// expire drops what is too old, a little at a time.
func (e *Engine) expire(context.Context, run.Task) (run.Result, error) {
	s, err := e.Store()
	if err != nil {
		return run.Result{}, err
	}
	n, more, err := s.Expire(e.Wall().UnixNano(), expireMost)
	if n > 0 {
		e.Log.Info("undelivered messages are dropped: they are too old", "messages", n)
	}
	return run.Result{More: more, Used: work.Cost{work.Syncs: 1}}, err
}

// Plans says of entries what would become of them if an operator had them sent: nothing is changed.
func (e *Engine) Plans(f undelivered.Filter) ([]undelivered.Plan, error) {
	s, err := e.Store()
	if err != nil {
		return nil, err
	}
	plans, rules := []undelivered.Plan{}, e.rules()
	err = s.List(f, func(k undelivered.Key, x undelivered.Entry) bool {
		c, why := undelivered.Choose(rules, &x, e.Window(x.Class), e.Wall().UnixNano(), true)
		plans = append(plans, undelivered.Plan{Name: k.String(), Member: x.Member, Goes: c == undelivered.GoAgain, Why: why})
		return true
	})
	return plans, err
}

// Want has entries go again by hand, as far as they may, or takes that back.
func (e *Engine) Want(f undelivered.Filter, want bool) (n int, err error) {
	s, err := e.Store()
	if err != nil {
		return 0, err
	}
	var keys []undelivered.Key
	if err := s.List(f, func(k undelivered.Key, _ undelivered.Entry) bool { keys = append(keys, k); return true }); err != nil {
		return 0, err
	}
	n, err = s.Want(keys, want)
	e.mu.Lock()
	e.changes++
	e.mu.Unlock()
	return n, err
}

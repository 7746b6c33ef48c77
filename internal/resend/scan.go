package resend

import (
	"context"
	"time"

	"saffronyard.example/saffronyard/internal/undelivered"
	"saffronyard.example/saffronyard/internal/work"
	"saffronyard.example/saffronyard/internal/work/run"
)

// position is how far a member's entries were scanned without finding any to resend.
type position struct {
	after      undelivered.Key
	scannedAt  time.Duration
	generation int // of the engine, as that scan began
}

// candidate is a message that may be resent, and the rule for it.
type candidate struct {
	key  undelivered.Key
	rule *undelivered.Rule
}

// scan has the rules' decisions on a page of one member's entries.
type scan struct {
	resend      map[uint32][]candidate // by destination
	newestFirst bool
	drop        []undelivered.Key
	last        undelivered.Key
	entries     int // scanned
}

// startPosition returns where the scan of a member's entries continues: at the beginning, if the generation has changed since the last scan
// or recheckInterval has passed.
func (e *Engine) startPosition(member string, now time.Duration) position {
	e.mu.Lock()
	defer e.mu.Unlock()
	from := e.positions[member]
	if from.generation != e.generation || now-from.scannedAt > recheckInterval {
		return position{scannedAt: now, generation: e.generation}
	}
	return from
}

// scanPage decides on the next page of a member's entries.
func (e *Engine) scanPage(s *undelivered.Store, member string, after undelivered.Key, rules []undelivered.Rule, wall time.Time) (scan, error) {
	page := scan{resend: map[uint32][]candidate{}, last: after}
	err := s.List(undelivered.Filter{Member: member, After: after, Limit: pageSize}, func(k undelivered.Key, x undelivered.Entry) bool {
		page.entries++
		switch choice, _ := undelivered.Choose(rules, &x, e.Window(x.Class), wall.UnixNano(), x.ResendRequested); choice {
		case undelivered.ResendNow:
			rule := undelivered.FindRule(rules, &x)
			if x.ResendRequested || rule == nil {
				rule = &undelivered.Rule{Name: "by hand", RateFraction: manualRateFraction, Deadline: manualDeadline}
			}
			page.newestFirst = page.newestFirst || rule.NewestFirst
			page.resend[x.Destination] = append(page.resend[x.Destination], candidate{k, rule})
		case undelivered.DropEntry:
			page.drop = append(page.drop, k)
		case undelivered.ResendLater, undelivered.NeverResend, undelivered.NoRuleApplies:
		}
		page.last = k
		return true
	})
	return page, err
}

// advance records that no entry of a page may be resent now: the next slice scans the next page, or the member's job ends after the last.
func (e *Engine) advance(member string, from position, page scan, now time.Duration) run.Result {
	e.mu.Lock()
	defer e.mu.Unlock()
	if page.entries == pageSize {
		e.positions[member] = position{page.last, from.scannedAt, from.generation}
		return run.Result{More: true}
	}
	e.positions[member] = position{scannedAt: now, generation: from.generation}
	delete(e.scheduled, member)
	return run.Result{}
}

// admit returns how many messages a destination's pacer admits now; if none, also after how long to call admit again.
func (e *Engine) admit(destination uint32, now time.Duration, wall time.Time, rule *undelivered.Rule, r undelivered.Receiver) (n int, retryAfter time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.pacers[destination]
	if p == nil {
		p = &undelivered.Pacer{}
		e.pacers[destination] = p
	}
	n, _, retryAfter = p.Admit(now, wall, rule, r)
	return n, retryAfter
}

// resendMember resends some of one member's messages. It scans one page of entries, drops those that a rule drops, and hands those
// that may be resent to the sender, as many for each destination as its pacer admits.
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
	from := e.startPosition(t.Owner, now)
	page, err := e.scanPage(s, t.Owner, from.after, rules, wall)
	if err != nil {
		return run.Result{}, err
	}
	if len(page.drop) > 0 {
		if _, err := s.Drop(page.drop); err != nil {
			return run.Result{}, err
		}
	}
	if len(page.resend) == 0 {
		return e.advance(t.Owner, from, page, now), nil
	}
	res := run.Result{More: true, Delay: time.Second}
	for destination, candidates := range page.resend {
		admitted, retryAfter := e.admit(destination, now, wall, candidates[0].rule, receivers[destination])
		if admitted == 0 {
			res.Delay = min(res.Delay, max(retryAfter, minRetryDelay))
			continue
		}
		res.Delay = min(res.Delay, nextPageDelay)
		picked := candidates[:min(admitted, len(candidates))]
		if page.newestFirst {
			picked = candidates[len(candidates)-min(admitted, len(candidates)):]
		}
		sent, err := e.handOver(ctx, s, picked)
		res.Used[work.Calls] += int64(sent)
		res.Used[work.Syncs]++
		if err != nil {
			return res, err
		}
	}
	return res, nil
}

// handOver marks entries of one destination as resending, hands them to the sender, and unmarks those that it does not accept.
func (e *Engine) handOver(ctx context.Context, s *undelivered.Store, picked []candidate) (sent int, err error) {
	var keys []undelivered.Key
	for _, c := range picked {
		keys = append(keys, c.key)
	}
	begun, err := s.BeginResend(keys)
	if err != nil {
		return 0, err
	}
	var rejected []undelivered.Key
	for i := range begun {
		x := begun[i]
		if err := e.Sender.Resend(ctx, x, picked[0].rule.Deadline); err != nil {
			e.Log.Debug("the sender did not accept a message for resend", "message", x.Message, "why", err)
			rejected = append(rejected, undelivered.KeyOf(x.Message, x.EndedAt))
			continue
		}
		sent++
	}
	if len(rejected) > 0 {
		err = s.CancelResend(rejected)
	}
	return sent, err
}

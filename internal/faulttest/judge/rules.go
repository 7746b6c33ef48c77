package judge

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"saffronyard.example/saffronyard/internal/faulttest/eventlog"
)

// checkLoss is rule 1: each message that a sender accepts ends exactly once and in time. If a sender's state folder is lost, its
// messages are lost with it. No message becomes overdue while its sender is down.
func checkLoss(d *day) tally {
	var t tally
	for _, name := range d.senderNames {
		for _, p := range d.senders[name] {
			if p.crash {
				t.breaks("sender %s ended by itself at %s", name, at(p.end))
			}
		}
	}
	for _, h := range d.submissions {
		if h.answered && h.answer.Status == 0 && h.answer.Detail == "closed" && !d.endedWithin(h.Sender, h.T, h.answer.T+ms(d.figures.Grace)) {
			t.breaks("message %s (%s), handed to %s at %s: its connection ended at %s without an answer", h.Msg, h.ID, h.Sender, at(h.T), at(h.answer.T))
		}
		if !h.accepted() {
			continue
		}
		due, judged := d.due(h)
		over, ended := h.endedAt()
		if lostAt, gone := d.stateLostAfter(h.Sender, h.T); gone && (!ended || over > lostAt) && lostAt < due {
			continue
		}
		if (!judged || d.end < due) && !ended {
			continue // the day ended before the message was due
		}
		t.tried++
		switch {
		case !ended:
			t.breaks("message %s (%s), taken on by %s at %s, was due by %s and has no end", h.Msg, h.ID, h.Sender, at(h.answer.T), at(due))
		case over > due:
			t.breaks("message %s (%s), taken on by %s at %s, was due by %s and ended at %s", h.Msg, h.ID, h.Sender, at(h.answer.T), at(due), at(over))
		}
		for i, n := range h.notices {
			if i > 0 && n.Outcome != h.notices[0].Outcome {
				t.breaks("message %s (%s) was %s by %s at %s and %s at %s", h.Msg, h.ID, h.notices[0].Outcome, h.Sender, at(h.notices[0].T), n.Outcome, at(n.T))
				break
			}
		}
		for _, c := range h.calls {
			if len(h.notices) > 0 && c.First > h.notices[0].T+ms(d.figures.Grace) {
				t.breaks("message %s (%s) was %s at %s and sent to %s at %s all the same", h.Msg, h.ID, h.notices[0].Outcome, at(h.notices[0].T), c.Endpoint, at(c.First))
				break
			}
		}
	}
	return t
}

// due returns when a message counts as lost: after its deadline and the graces or, if its sender is being restarted then, after the
// ready grace of the next process. judged is false if the sender never became ready again.
func (d *day) due(h *submission) (due int64, judged bool) {
	due = h.T + ms(h.Deadline+d.figures.AnswerGrace+d.figures.Grace)
	all := d.senders[h.Sender]
	for i, p := range all {
		gone := p.endingSince()
		if gone == 0 || due < gone || p.start > due {
			continue
		}
		if i+1 == len(all) || all[i+1].ready == 0 {
			return due, false
		}
		due = max(due, all[i+1].ready+ms(d.figures.ReadyGrace+d.figures.Grace))
	}
	return due, true
}

// stateLostAfter returns when a sender's state folder was first lost at or after a time.
func (d *day) stateLostAfter(sender string, t int64) (int64, bool) {
	for _, p := range d.senders[sender] {
		if p.stateLost && p.kill >= t {
			return p.kill, true
		}
	}
	return 0, false
}

// endedWithin reports whether a process of the sender was killed or ended in a time span.
func (d *day) endedWithin(sender string, from, to int64) bool {
	for _, p := range d.senders[sender] {
		for _, t := range []int64{p.kill, p.end} {
			if t > 0 && t >= from && t <= to {
				return true
			}
		}
	}
	return false
}

// checkRepeats is rule 2: a message that may have run is sent again only as its class allows, and a message that must not be repeated is
// handed back only if it certainly never ran.
func checkRepeats(d *day) tally {
	var t tally
	for _, e := range d.unknown {
		if e.State != "" {
			t.breaks("%s got a call at %s with the message %q that is not what was handed in: %s", e.Endpoint, at(e.T), e.ID, e.State)
			continue
		}
		t.breaks("%s got a call at %s with the message %q, which nobody handed in for it", e.Endpoint, at(e.T), e.ID)
	}
	for _, h := range d.submissions {
		class := d.figures.Classes[h.Class]
		if class.Effect == "safe" || h.unanswered() {
			continue
		}
		for _, c := range h.calls {
			if !c.served() && !c.notExecuted() {
				t.tried++
				break
			}
		}
		for i, c := range h.calls {
			for _, before := range h.calls[:i] {
				if !before.mayHaveRunAt(c.T) {
					continue
				}
				if class.Effect == "unsafe" {
					t.breaks("message %s (%s, %s) was sent to %s at %s and may have run; it was sent again to %s at %s", h.Msg, h.ID, h.Class,
						before.Endpoint, at(before.T), c.Endpoint, at(c.T))
				} else if late := c.T - before.T - ms(class.KeyWindow+d.figures.Grace); late > 0 {
					t.breaks("message %s (%s, %s) was sent to %s at %s and may have run; it was sent again to %s at %s, %.3f s after its key was forgotten",
						h.Msg, h.ID, h.Class, before.Endpoint, at(before.T), c.Endpoint, at(c.T), float64(late)/1e6)
				} else {
					continue
				}
				break
			}
		}
		if class.Effect != "unsafe" {
			continue
		}
		handBacks := h.notices
		if h.answer.Status == 429 || h.answer.Status == 503 {
			handBacks = append([]eventlog.Event{{T: h.answer.T, Outcome: "handed_back"}}, handBacks...)
		}
		for _, n := range handBacks {
			if n.Outcome != "handed_back" {
				continue
			}
			if i := slices.IndexFunc(h.calls, func(c *call) bool { return c.mayHaveRunAt(n.T) }); i >= 0 {
				t.breaks("message %s (%s, %s) was sent to %s at %s and may have run; it was handed back at %s", h.Msg, h.ID, h.Class,
					h.calls[i].Endpoint, at(h.calls[i].T), at(n.T))
				break
			}
		}
	}
	return t
}

// checkDraining is rule 3: after the grace, a sender starts no call to an endpoint that its list shows as draining or deleted. A call
// starts with its first byte.
func checkDraining(d *day) tally {
	var t tally
	type route struct{ sender, endpoint string }
	// span lasts from the list that shows an endpoint as draining or deleted to the list that shows it as serving again.
	type span struct {
		dest     int
		from, to int64
	}
	spans := map[route][]span{}
	var routes []route
	for _, e := range d.listSent {
		p := route{e.Sender, e.Endpoint}
		all := spans[p]
		open := len(all) > 0 && all[len(all)-1].to == math.MaxInt64
		switch {
		case e.State == "SERVING" && open:
			all[len(all)-1].to = e.T
		case e.State != "SERVING" && !open:
			if all == nil {
				routes = append(routes, p)
			}
			spans[p] = append(all, span{e.Dest, e.T, math.MaxInt64})
		}
	}
	grace := ms(d.figures.DrainGrace + d.figures.Grace)
	calls, dests := map[route][]*call{}, map[route][]*call{}
	key := func(sender string, dest int) route { return route{sender, fmt.Sprint(dest)} }
	for _, c := range d.calls {
		p := route{c.Sender, c.Endpoint}
		calls[p] = append(calls[p], c)
		dests[key(c.Sender, c.Dest)] = append(dests[key(c.Sender, c.Dest)], c)
	}
	accepted := map[route][]*submission{}
	for _, h := range d.submissions {
		if h.accepted() {
			accepted[key(h.Sender, h.Dest)] = append(accepted[key(h.Sender, h.Dest)], h)
		}
	}
	for _, p := range routes {
		for _, s := range spans[p] {
			in := func(at int64) bool { return at > s.from+grace && at < s.to }
			if slices.ContainsFunc(dests[key(p.sender, s.dest)], func(c *call) bool { return in(c.First) }) ||
				slices.ContainsFunc(accepted[key(p.sender, s.dest)], func(h *submission) bool { return in(h.answer.T) }) {
				t.tried++
			}
			for _, c := range calls[p] {
				if in(c.First) {
					t.breaks("%s was told at %s that %s drains or is gone, and sent %s (%s) there at %s", p.sender, at(s.from), p.endpoint, c.submission.Msg, c.ID, at(c.First))
				}
			}
		}
	}
	return t
}

// minHoldTime is how long a sender must have held a message for a receiver that takes no connections to count as having seen a call fail
// there: connections that are refused or never established leave no trace in the log.
const minHoldTime = 2_000_000 // microseconds

// checkRecovery is rule 4: after an outage a receiver gets no more load than its slow start allows, as far as senders knew of the outage.
func checkRecovery(d *day) tally {
	var t tally
	byDest := map[int][]*call{}
	for _, c := range d.calls {
		byDest[c.Dest] = append(byDest[c.Dest], c)
	}
	began := map[int]int64{}
	for i, e := range d.outages {
		if e.State != "off" {
			began[e.Dest] = e.T
			continue
		}
		until := min(d.end, e.T+ms(d.figures.SlowStart))
		for _, later := range d.outages[i+1:] {
			if later.Dest == e.Dest {
				until = min(until, later.T)
				break
			}
		}
		t.add(d.judgeRecovery(e, began[e.Dest], until, byDest[e.Dest]))
	}
	return t
}

func (t *tally) add(more tally) {
	if t.broken == 0 {
		t.evidence = more.evidence
	}
	t.tried += more.tried
	t.broken += more.broken
}

// judgeRecovery judges the recovery from one outage, which began at on and ended with the event off.
func (d *day) judgeRecovery(off eventlog.Event, on, until int64, calls []*call) tally {
	var t tally
	type runKey struct {
		sender string
		run    int
	}
	sawFailure := map[runKey]bool{}
	for _, c := range calls {
		// A call that the sender gave up also counts as a failure that it saw.
		if c.done && c.end.T >= on && c.end.T <= off.T && !(c.served() && c.end.Detail == "") {
			sawFailure[runKey{c.Sender, d.runAt(c.Sender, c.end.T)}] = true
		}
	}
	for _, h := range d.submissions {
		if h.Dest != off.Dest || !h.accepted() {
			continue
		}
		to := off.T
		if over, ok := h.endedAt(); ok {
			to = min(to, over)
		}
		if from := max(on, h.answer.T); to-from >= minHoldTime && d.runAt(h.Sender, from) == d.runAt(h.Sender, to) {
			sawFailure[runKey{h.Sender, d.runAt(h.Sender, from)}] = true
		}
	}
	span := ms(d.figures.FallSpan)
	var recent []*call
	broken := false
	for _, c := range calls {
		if c.T <= off.T || c.T >= until || c.With != 0 { // a call with several messages counts once
			continue
		}
		if sawFailure[runKey{c.Sender, c.run}] {
			t.tried = 1
		}
		recent = append(recent, c)
		for recent[0].T <= c.T-span {
			recent = recent[1:]
		}
		capacityShare := min(1, d.figures.SlowStartCapacity+(1-d.figures.SlowStartCapacity)*float64(c.T-off.T)/float64(max(1, ms(d.figures.SlowStart))))
		budget := d.figures.FallMultiple * capacityShare * off.Capacity * float64(d.figures.FallSpan) / 1000
		if float64(len(recent)) <= budget+max(4, math.Sqrt(budget)) || broken {
			continue
		}
		informed := 0
		for _, r := range recent {
			if sawFailure[runKey{r.Sender, r.run}] {
				informed++
			}
		}
		if 3*informed >= 2*len(recent) {
			broken = true
			t.breaks("receiver %s came back at %s; in the %.1f s before %s it got %d calls and bears %.1f, %d of them from senders that had seen calls fail there (last %s, %s, by %s)",
				d.receiver(off.Dest), at(off.T), float64(d.figures.FallSpan)/1000, at(c.T), len(recent), budget+max(4, math.Sqrt(budget)), informed, c.submission.Msg, c.ID, c.Sender)
		}
	}
	return t
}

func (d *day) receiver(dest int) string {
	if dest >= 0 && dest < len(d.figures.Receivers) {
		return d.figures.Receivers[dest].Name
	}
	return fmt.Sprint(dest)
}

// checkOrder is rule 5: the messages of an order key are sent one at a time and in the order in which their sender accepted them. The
// order is judged only where it is certain: one message was answered before the other was handed in.
func checkOrder(d *day) tally {
	var t tally
	type key struct {
		sender string
		run    int
		order  string
	}
	groups := map[key][]*submission{}
	var keys []key
	for _, h := range d.submissions {
		if h.Order == "" || !h.accepted() || !d.figures.Classes[h.Class].Ordered {
			continue
		}
		k := key{h.Sender, d.runAt(h.Sender, h.answer.T), h.Order}
		if groups[k] == nil {
			keys = append(keys, k)
		}
		groups[k] = append(groups[k], h)
	}
	for _, k := range keys {
		g := groups[k]
		slices.SortStableFunc(g, func(a, b *submission) int { return cmp.Compare(a.T, b.T) })
		for i, b := range g {
			for _, a := range g[:i] {
				d.judgePair(&t, a, b, a.answer.T < b.T)
			}
		}
	}
	return t
}

// judgePair judges two messages of a key; sure means that a was certainly accepted before b.
func (d *day) judgePair(t *tally, a, b *submission, sure bool) {
	if over, ok := a.endedAt(); sure && (!ok || over > b.answer.T) {
		t.tried++
	}
	for _, c := range b.calls {
		for _, e := range a.calls {
			// One at a time: no call of one message while a call of the other is in flight, nor within the rest time after a call that may
			// still run.
			if e.T <= c.T && (!e.done || e.end.T > c.T) {
				t.breaks("messages %s and %s of the key %s were both out: the first at %s to %s, the second at %s to %s", a.Msg, b.Msg, a.Order, at(e.T), e.Endpoint, at(c.T), c.Endpoint)
				return
			}
			if c.T < e.T && (!c.done || c.end.T > e.T) {
				t.breaks("messages %s and %s of the key %s were both out: the first at %s to %s, the second at %s to %s", b.Msg, a.Msg, a.Order, at(c.T), c.Endpoint, at(e.T), e.Endpoint)
				return
			}
			// The rest time begins when the sender ends the call. The log has the end of its connection, which is slightly later, so the
			// grace is subtracted.
			if e.T <= c.T && e.end.Detail != "" && !e.served() && c.T < e.end.T+ms(d.figures.OrderRest-d.figures.Grace) {
				t.breaks("message %s of the key %s was sent at %s, %.3f s after a call of %s that may still run ended; it must rest for %.3f s", b.Msg, a.Order, at(c.T),
					float64(c.T-e.end.T)/1e6, a.Msg, float64(d.figures.OrderRest)/1000)
				return
			}
			if sure && c.T < e.T {
				t.breaks("message %s of the key %s was sent at %s and %s, taken on before it, at %s", b.Msg, a.Order, at(c.T), a.Msg, at(e.T))
				return
			}
		}
		// The earlier message ended by a notice long after the later one was sent.
		if len(a.notices) > 0 && sure && a.notices[0].T > c.T+maxNoticeDelay {
			t.breaks("message %s of the key %s was sent at %s; %s, taken on before it, was %s only at %s", b.Msg, a.Order, at(c.T), a.Msg, a.notices[0].Outcome, at(a.notices[0].T))
			return
		}
	}
}

// maxNoticeDelay is how long a notice may take to arrive; microseconds.
const maxNoticeDelay = 1_000_000

// checkWaits is rule 6: a sender that got a 429 with a wait sends nothing to that receiver until the wait is over. Calls that arrive
// within WaitLetIn of the answer are allowed, and a restart of the sender ends a wait.
func checkWaits(d *day) tally {
	var t tally
	type route struct {
		sender string
		run    int
		dest   int
	}
	calls := map[route][]*call{}
	for _, c := range d.calls {
		p := route{c.Sender, c.run, c.Dest}
		calls[p] = append(calls[p], c)
	}
	for _, limited := range d.calls {
		if !limited.done || limited.end.Status != 429 || limited.end.WaitMS <= d.figures.WaitLetIn {
			continue
		}
		from, to := limited.end.T+ms(d.figures.WaitLetIn), limited.end.T+ms(limited.end.WaitMS)
		run := d.runAt(limited.Sender, limited.end.T)
		if d.runAt(limited.Sender, to) == run {
			t.tried++ // at least the refused message could have been sent
		}
		for _, c := range calls[route{limited.Sender, run, limited.Dest}] {
			if c.T > from && c.T < to {
				t.breaks("%s told %s at %s to wait %d ms; message %s (%s) came at %s", d.receiver(limited.Dest), limited.Sender, at(limited.end.T), limited.end.WaitMS, c.submission.Msg, c.ID, at(c.T))
				break
			}
		}
	}
	return t
}

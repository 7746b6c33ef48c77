package judge

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"saffronyard.example/saffronyard/internal/faulttest/eventlog"
)

// lost is rule 1: what a sender takes on gets one end, in time. A sender's folder that is lost takes its
// messages with it, and while a sender is away no end is overdue.
func lost(d *day) tally {
	var t tally
	for _, name := range d.names {
		for _, p := range d.senders[name] {
			if p.crash {
				t.breaks("sender %s ended by itself at %s", name, at(p.end))
			}
		}
	}
	for _, h := range d.hands {
		if h.answered && h.answer.Status == 0 && h.answer.Detail == "closed" && !d.endedWithin(h.Sender, h.T, h.answer.T+ms(d.figures.Grace)) {
			t.breaks("message %s (%s), handed to %s at %s: its connection ended at %s without an answer", h.Msg, h.ID, h.Sender, at(h.T), at(h.answer.T))
		}
		if !h.taken() {
			continue
		}
		due, judged := d.due(h)
		over, ended := h.over()
		if lostAt, gone := d.lostAfter(h.Sender, h.T); gone && (!ended || over > lostAt) && lostAt < due {
			continue
		}
		if (!judged || d.end < due) && !ended {
			continue // the day was over before
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

// due is when a message counts as lost: its time and the graces, or a little after its sender is back from
// a restart. judged is false if the sender never came back.
func (d *day) due(h *hand) (due int64, judged bool) {
	due = h.T + ms(h.Deadline+d.figures.AnswerGrace+d.figures.Grace)
	all := d.senders[h.Sender]
	for i, p := range all {
		gone := p.gone()
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

// lostAfter is when a sender's folder was first lost after a time.
func (d *day) lostAfter(sender string, t int64) (int64, bool) {
	for _, p := range d.senders[sender] {
		if p.lost && p.kill >= t {
			return p.kill, true
		}
	}
	return 0, false
}

// endedWithin is whether a process of the sender was killed or ended in a span.
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

// twice is rule 2: what may have run is sent again only as its class allows, and one that may not be
// repeated is handed back only if it surely never ran.
func twice(d *day) tally {
	var t tally
	for _, e := range d.unknown {
		if e.State != "" {
			t.breaks("%s got a call at %s with the message %q that is not what was handed in: %s", e.Endpoint, at(e.T), e.ID, e.State)
			continue
		}
		t.breaks("%s got a call at %s with the message %q, which nobody handed in for it", e.Endpoint, at(e.T), e.ID)
	}
	for _, h := range d.hands {
		class := d.figures.Classes[h.Class]
		if class.Effect == "safe" || h.void() {
			continue
		}
		for _, c := range h.calls {
			if !c.served() && !c.never() {
				t.tried++
				break
			}
		}
		for i, c := range h.calls {
			for _, before := range h.calls[:i] {
				if !before.doubtAt(c.T) {
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
		refused := h.notices
		if h.answer.Status == 429 || h.answer.Status == 503 {
			refused = append([]eventlog.Event{{T: h.answer.T, Outcome: "handed_back"}}, refused...)
		}
		for _, n := range refused {
			if n.Outcome != "handed_back" {
				continue
			}
			if i := slices.IndexFunc(h.calls, func(c *call) bool { return c.doubtAt(n.T) }); i >= 0 {
				t.breaks("message %s (%s, %s) was sent to %s at %s and may have run; it was handed back at %s", h.Msg, h.ID, h.Class,
					h.calls[i].Endpoint, at(h.calls[i].T), at(n.T))
				break
			}
		}
	}
	return t
}

// checkDraining is rule 3: nothing new to an endpoint once the sender has been told, after the grace. A send counts
// from its first byte.
func checkDraining(d *day) tally {
	var t tally
	type place struct{ sender, endpoint string }
	// since is when a sender was told that an endpoint drains or is gone, until it is told that it serves.
	type span struct {
		dest     int
		from, to int64
	}
	spans := map[place][]span{}
	var places []place
	for _, e := range d.listSent {
		p := place{e.Sender, e.Endpoint}
		all := spans[p]
		open := len(all) > 0 && all[len(all)-1].to == math.MaxInt64
		switch {
		case e.State == "SERVING" && open:
			all[len(all)-1].to = e.T
		case e.State != "SERVING" && !open:
			if all == nil {
				places = append(places, p)
			}
			spans[p] = append(all, span{e.Dest, e.T, math.MaxInt64})
		}
	}
	grace := ms(d.figures.DrainGrace + d.figures.Grace)
	calls, dests := map[place][]*call{}, map[place][]*call{}
	key := func(sender string, dest int) place { return place{sender, fmt.Sprint(dest)} }
	for _, c := range d.calls {
		p := place{c.Sender, c.Endpoint}
		calls[p] = append(calls[p], c)
		dests[key(c.Sender, c.Dest)] = append(dests[key(c.Sender, c.Dest)], c)
	}
	took := map[place][]*hand{}
	for _, h := range d.hands {
		if h.taken() {
			took[key(h.Sender, h.Dest)] = append(took[key(h.Sender, h.Dest)], h)
		}
	}
	for _, p := range places {
		for _, s := range spans[p] {
			in := func(at int64) bool { return at > s.from+grace && at < s.to }
			if slices.ContainsFunc(dests[key(p.sender, s.dest)], func(c *call) bool { return in(c.First) }) ||
				slices.ContainsFunc(took[key(p.sender, s.dest)], func(h *hand) bool { return in(h.answer.T) }) {
				t.tried++
			}
			for _, c := range calls[p] {
				if in(c.First) {
					t.breaks("%s was told at %s that %s drains or is gone, and sent %s (%s) there at %s", p.sender, at(s.from), p.endpoint, c.hand.Msg, c.ID, at(c.First))
				}
			}
		}
	}
	return t
}

// knows is how long a sender must have held a message for a receiver that takes no connections to count as
// having seen a call fail there: connections that are refused or never come up leave no trace here.
const knows = 2_000_000 // microseconds

// pushed is rule 4: after an outage a receiver gets no more than it bears, as far as senders knew of it.
func pushed(d *day) tally {
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
		t.add(d.returned(e, began[e.Dest], until, byDest[e.Dest]))
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

// returned judges one return: an outage that began at on ended with the event off.
func (d *day) returned(off eventlog.Event, on, until int64, calls []*call) tally {
	var t tally
	type who struct {
		sender string
		run    int
	}
	knew := map[who]bool{}
	for _, c := range calls {
		// A call that the sender gave up tells it as much as one that failed.
		if c.done && c.end.T >= on && c.end.T <= off.T && !(c.served() && c.end.Detail == "") {
			knew[who{c.Sender, d.runAt(c.Sender, c.end.T)}] = true
		}
	}
	for _, h := range d.hands {
		if h.Dest != off.Dest || !h.taken() {
			continue
		}
		to := off.T
		if over, ok := h.over(); ok {
			to = min(to, over)
		}
		if from := max(on, h.answer.T); to-from >= knows && d.runAt(h.Sender, from) == d.runAt(h.Sender, to) {
			knew[who{h.Sender, d.runAt(h.Sender, from)}] = true
		}
	}
	span := ms(d.figures.FallSpan)
	var recent []*call
	broken := false
	for _, c := range calls {
		if c.T <= off.T || c.T >= until || c.With != 0 { // a call with several messages is one
			continue
		}
		if knew[who{c.Sender, c.run}] {
			t.tried = 1
		}
		recent = append(recent, c)
		for recent[0].T <= c.T-span {
			recent = recent[1:]
		}
		warmth := min(1, d.figures.SlowStartCapacity+(1-d.figures.SlowStartCapacity)*float64(c.T-off.T)/float64(max(1, ms(d.figures.SlowStart))))
		budget := d.figures.FallMultiple * warmth * off.Capacity * float64(d.figures.FallSpan) / 1000
		if float64(len(recent)) <= budget+max(4, math.Sqrt(budget)) || broken {
			continue
		}
		from := 0
		for _, r := range recent {
			if knew[who{r.Sender, r.run}] {
				from++
			}
		}
		if 3*from >= 2*len(recent) {
			broken = true
			t.breaks("receiver %s came back at %s; in the %.1f s before %s it got %d calls and bears %.1f, %d of them from senders that had seen calls fail there (last %s, %s, by %s)",
				d.receiver(off.Dest), at(off.T), float64(d.figures.FallSpan)/1000, at(c.T), len(recent), budget+max(4, math.Sqrt(budget)), from, c.hand.Msg, c.ID, c.Sender)
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

// order is rule 5: the messages of a key go singly and in the sequence in which their sender took them on.
// What is surely known of that sequence is judged: one was answered before the other was handed in.
func order(d *day) tally {
	var t tally
	type key struct {
		sender string
		run    int
		order  string
	}
	groups := map[key][]*hand{}
	var keys []key
	for _, h := range d.hands {
		if h.Order == "" || !h.taken() || !d.figures.Classes[h.Class].Ordered {
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
		slices.SortStableFunc(g, func(a, b *hand) int { return cmp.Compare(a.T, b.T) })
		for i, b := range g {
			for _, a := range g[:i] {
				d.inTurn(&t, a, b, a.answer.T < b.T)
			}
		}
	}
	return t
}

// inTurn judges two messages of a key; sure says that a was taken on before b.
func (d *day) inTurn(t *tally, a, b *hand, sure bool) {
	if over, ok := a.over(); sure && (!ok || over > b.answer.T) {
		t.tried++
	}
	for _, c := range b.calls {
		for _, e := range a.calls {
			// Singly: no call of one while a call of the other is out, and a rest after one that may still run.
			if e.T <= c.T && (!e.done || e.end.T > c.T) {
				t.breaks("messages %s and %s of the key %s were both out: the first at %s to %s, the second at %s to %s", a.Msg, b.Msg, a.Order, at(e.T), e.Endpoint, at(c.T), c.Endpoint)
				return
			}
			if c.T < e.T && (!c.done || c.end.T > e.T) {
				t.breaks("messages %s and %s of the key %s were both out: the first at %s to %s, the second at %s to %s", b.Msg, a.Msg, a.Order, at(c.T), c.Endpoint, at(e.T), e.Endpoint)
				return
			}
			// The rest begins when the sender ends the call, and what is seen here is its connection's end, a little
			// later: the grace is taken off.
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
		// Never sent, or given up long after the later one went out.
		if len(a.notices) > 0 && sure && a.notices[0].T > c.T+noticeLate {
			t.breaks("message %s of the key %s was sent at %s; %s, taken on before it, was %s only at %s", b.Msg, a.Order, at(c.T), a.Msg, a.notices[0].Outcome, at(a.notices[0].T))
			return
		}
	}
}

// noticeLate is how long a notice may be on its way; microseconds.
const noticeLate = 1_000_000

// waits is rule 6: a sender that was told to wait sends nothing to that receiver until the wait is over.
// Calls that come right after the answer was written are let through, and a restart ends a wait.
func waits(d *day) tally {
	var t tally
	type place struct {
		sender string
		run    int
		dest   int
	}
	calls := map[place][]*call{}
	for _, c := range d.calls {
		p := place{c.Sender, c.run, c.Dest}
		calls[p] = append(calls[p], c)
	}
	for _, told := range d.calls {
		if !told.done || told.end.Status != 429 || told.end.WaitMS <= d.figures.WaitLetIn {
			continue
		}
		from, to := told.end.T+ms(d.figures.WaitLetIn), told.end.T+ms(told.end.WaitMS)
		run := d.runAt(told.Sender, told.end.T)
		if d.runAt(told.Sender, to) == run {
			t.tried++ // its message, at the least, was there to be sent
		}
		for _, c := range calls[place{told.Sender, run, told.Dest}] {
			if c.T > from && c.T < to {
				t.breaks("%s told %s at %s to wait %d ms; message %s (%s) came at %s", d.receiver(told.Dest), told.Sender, at(told.end.T), told.end.WaitMS, c.hand.Msg, c.ID, at(c.T))
				break
			}
		}
	}
	return t
}

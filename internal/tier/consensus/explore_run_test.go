package consensus

import (
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

func kind(m proto.Message) string {
	switch m.(type) {
	case *tierv1.PrepareRequest:
		return "promise"
	case *tierv1.AcceptRequest:
		return "accept"
	case *tierv1.WriteRequest:
		return "write"
	case *tierv1.HeartbeatRequest:
		return "heartbeat"
	case *tierv1.JoinRequest:
		return "join"
	}
	return "call"
}

func (x *explorer) describe(h pathStep) string {
	i := h.item
	if i == nil {
		return h.action + " at " + x.addresses[h.site] + h.detail
	}
	call := "call"
	if i.request != nil {
		call = kind(i.request.m)
	}
	return fmt.Sprintf("%s%s %s>%s%s", h.action, call, x.addresses[i.from], x.addresses[i.to], h.detail)
}

// deliver delivers a message. With powerLoss its receiver loses power in the middle of the step, with duplicate it will be delivered a
// second time.
func (x *explorer) deliver(w *systemState, i *item, powerLoss, duplicate bool) (*systemState, error) {
	if i.stage == answered {
		c := w.with(pathStep{action: "answer to ", item: i})
		c.remove(i)
		return c, x.move(c, x.answer(c, i, i.reply))
	}
	c := w.with(pathStep{action: "the ", item: i})
	c.remove(i)
	o := *i
	if duplicate {
		c.left.duplicates--
		c.step.detail = ", which will be delivered twice"
		o.stage = orphaned
		c.add(x.item(o))
	}
	l := x.advance(c.replicas[i.to], eventKey{"request", 0, i.request.n, powerLoss}, incomingCall{0, i.request.m})
	if powerLoss {
		c.left.restarts--
		c.step.detail = ", whose receiver loses power in the middle of the step"
		x.restarted(c, i.to)
	}
	if i.stage == requested {
		o.stage, o.reply = answered, x.body(l.output.reply)
		c.add(x.item(o))
	}
	return c, x.move(c, l)
}

func (x *explorer) answer(w *systemState, i *item, b *body) *replicaState {
	n, m := 0, proto.Message(nil)
	if b != nil {
		n, m = b.n, b.m
	}
	return x.advance(w.replicas[i.from], eventKey{"reply", i.id, n, false}, callResult{i.id, m})
}

// timeout ends a call; its request may still be delivered.
func (x *explorer) timeout(w *systemState, i *item) (*systemState, error) {
	c := w.with(pathStep{action: "time-out of ", item: i})
	c.left.timeouts--
	c.remove(i)
	if i.stage == requested {
		o := *i
		o.stage = orphaned
		c.add(x.item(o))
	}
	return c, x.move(c, x.answer(c, i, nil))
}

func (x *explorer) event(w *systemState, site int, name string, e explorerEvent) (*systemState, error) {
	c := w.with(pathStep{action: name, site: site})
	return c, x.move(c, x.advance(c.replicas[site], eventKey{name: name}, e))
}

func (x *explorer) restart(w *systemState, site int) (*systemState, error) {
	c := w.with(pathStep{action: "restart", site: site})
	c.left.restarts--
	l := c.replicas[site]
	if l.next[eventKey{name: "restart"}] == nil {
		l.next[eventKey{name: "restart"}] = x.start(site, l.records, false, l.now, l.newestEpoch)
	}
	x.restarted(c, site)
	return c, x.move(c, l.next[eventKey{name: "restart"}])
}

func (x *explorer) wipe(w *systemState, site int) (*systemState, error) {
	c := w.with(pathStep{action: "loss of the disk", site: site})
	c.left.wipes--
	l := c.replicas[site]
	if l.next[eventKey{name: "wipe"}] == nil {
		l.next[eventKey{name: "wipe"}] = x.start(site, nil, false, l.now, l.newestEpoch)
	}
	x.restarted(c, site)
	return c, x.move(c, l.next[eventKey{name: "wipe"}])
}

func (x *explorer) put(w *systemState, site int) (*systemState, error) {
	n := maxOperations - int(w.left.writes)
	w = w.with(pathStep{})
	w.left.writes--
	c, err := x.event(w, site, [maxOperations]string{"write w0", "write w1"}[n], putRequest{uint64(n), w.replicas[site].leadership,
		map[string][]byte{writes[n]: []byte("x")}})
	c.parent = w.parent // one transition, not two
	return c, err
}

func (x *explorer) confirm(w *systemState, site int) (*systemState, error) {
	n := maxOperations - int(w.left.confirms)
	w = w.with(pathStep{})
	w.left.confirms--
	for k, sequence := range w.acknowledged {
		if sequence > 0 {
			w.began[n] |= 1 << k
		}
	}
	c, err := x.event(w, site, [maxOperations]string{"confirm 0", "confirm 1"}[n], confirmRequest{uint64(maxOperations + n), w.replicas[site].leadership})
	c.parent = w.parent // one transition, not two
	return c, err
}

// successors yields all states that one more step leads to, until yield returns false.
func (x *explorer) successors(w *systemState, yield func(*systemState, error) bool) {
	for n, i := range w.net {
		if n > 0 && i == w.net[n-1] {
			continue
		}
		if !yield(x.deliver(w, i, false, false)) {
			return
		}
		if i.stage != answered && w.left.restarts > 0 && !yield(x.deliver(w, i, true, false)) {
			return
		}
		if i.stage == requested && w.left.duplicates > 0 && !yield(x.deliver(w, i, false, true)) {
			return
		}
		if (i.stage == requested || i.stage == answered && i.reply != nil) && w.left.timeouts > 0 && !yield(x.timeout(w, i)) {
			return
		}
	}
	for site, l := range w.replicas {
		if l == nil {
			continue
		}
		spend := func(name string, e explorerEvent, count func(*budget)) bool {
			c, err := x.event(w, site, name, e)
			count(&c.left)
			return yield(c, err)
		}
		if l.leadership == 0 && w.left.takeovers > 0 && !spend("take-over", takeover{}, func(b *budget) { b.takeovers-- }) {
			return
		}
		if l.leadership > 0 && w.left.ticks > 0 && !(spend("tick", tick{}, func(b *budget) { b.ticks-- }) &&
			spend("late tick", lateTick{}, func(b *budget) { b.ticks-- })) {
			return
		}
		if w.left.restarts > 0 && !yield(x.restart(w, site)) {
			return
		}
		if w.left.swaps > 0 {
			for _, q := range l.swaps {
				if !spend(fmt.Sprintf("swap of %s for %s", q.in, q.out), q, func(b *budget) { b.swaps-- }) {
					return
				}
			}
		}
		if w.left.wipes > 0 && strings.HasSuffix(l.folder, "0") && !yield(x.wipe(w, site)) {
			return
		}
		if l.leadership > 0 && w.left.writes > 0 && !yield(x.put(w, site)) {
			return
		}
		if l.leadership > 0 && w.left.confirms > 0 && !yield(x.confirm(w, site)) {
			return
		}
	}
}

// result is the result of an exploration.
type result struct {
	states, replicaStates, steps, depth int
	complete                            bool
	violation                           error
	path                                []string
}

func (r result) String() string {
	how := "all"
	if !r.complete {
		how = "bounded"
	}
	return fmt.Sprintf("%d states (%s), %d of single machines, depth %d", r.states, how, r.replicaStates, r.depth)
}

// explore goes breadth-first through at most limit states.
func (x *explorer) explore(from *systemState, limit int) (r result) {
	from.parent, from.step = nil, pathStep{}
	seen := map[string]struct{}{from.key(): {}}
	frontier := []*systemState{from}
	r.complete = true
	var toCheck []*systemState // for liveness
	defer func() { r.states, r.replicaStates, r.steps = len(seen), len(x.replicaStates), x.steps }()
	for ; len(frontier) > 0; r.depth++ {
		var next []*systemState
		for n, w := range frontier {
			frontier[n] = nil
			x.successors(w, func(c *systemState, err error) bool {
				if err != nil {
					r.violation, r.path = err, x.path(c)
					return false
				}
				k := c.key()
				if _, ok := seen[k]; ok {
					return true
				}
				if len(seen) >= limit {
					r.complete = false
					return true
				}
				seen[k] = struct{}{}
				next = append(next, c)
				if x.liveness > 0 && len(seen)%x.liveness == 0 {
					toCheck = append(toCheck, c)
				}
				return true
			})
			if r.violation != nil {
				return r
			}
		}
		frontier = next
	}
	for _, w := range toCheck { // after the exploration, as the checks add replica states
		if dead, err := x.checkLiveness(w); err != nil {
			r.violation, r.path = err, x.path(dead)
			return r
		}
	}
	return r
}

// restarted ends the calls of a process that has ended.
func (x *explorer) restarted(w *systemState, site int) {
	w.incarnations[site]++
	for _, i := range slices.Clone(w.net) {
		if i.from != site {
			continue
		}
		switch o := *i; i.stage {
		case requested:
			w.remove(i)
			o.stage = orphaned
			w.add(x.item(o))
		case answered:
			w.remove(i)
		case orphaned: // the caller no longer waits for the reply
		}
	}
}

package gateway_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"dockshift.example/dockshift/internal/tier/tiertest"
)

// fault is what happens to one message.
type fault struct {
	name string
	// call: to a call to the turn store.
	call func(m tiertest.Message, late func(func())) error
	// answer: to the endpoint's answer, of which say is the part before its end.
	answer func(a *tiertest.Arrival)
}

var faults = []fault{
	{name: "lost", call: func(m tiertest.Message, _ func(func())) error { return tiertest.ErrNet },
		answer: func(a *tiertest.Arrival) { a.Gone() }},
	{name: "silent", call: func(m tiertest.Message, _ func(func())) error { <-m.Ctx.Done(); return m.Ctx.Err() },
		answer: func(a *tiertest.Arrival) { a.Head(); a.Gone() }},
	{name: "reply lost", call: func(m tiertest.Message, _ func(func())) error { m.Serve(); return tiertest.ErrNet },
		answer: func(a *tiertest.Arrival) { a.Reset() }},
	{name: "doubled", call: func(m tiertest.Message, _ func(func())) error { m.Serve(); return m.Serve() },
		answer: func(a *tiertest.Arrival) { talk(a); talk(a) }},
	{name: "held", call: func(m tiertest.Message, late func(func())) error { late(func() { m.Serve() }); return tiertest.ErrNet },
		answer: func(a *tiertest.Arrival) { a.Say("HTTP/1.1 100 Continue\r\n\r\n"); talk(a) }},
	{name: "doubled late", call: func(m tiertest.Message, late func(func())) error { late(func() { m.Serve() }); return m.Serve() },
		answer: func(a *tiertest.Arrival) { talk(a); a.Close() }},
	{name: "cut", call: func(m tiertest.Message, _ func(func())) error { return tiertest.ErrNet },
		answer: func(a *tiertest.Arrival) { say(a, 1); a.Close() }},
	{name: "cut before its end", call: func(m tiertest.Message, _ func(func())) error { m.Serve(); <-m.Ctx.Done(); return m.Ctx.Err() },
		answer: func(a *tiertest.Arrival) { a.Head(); a.Event(1, "x"); a.Event(2, "x"); a.Close() }},
	{name: "another's", call: func(m tiertest.Message, _ func(func())) error { return tiertest.ErrNet },
		answer: func(a *tiertest.Arrival) {
			own := a.ID
			a.ID = "other"
			a.Answer(200, "", "other")
			a.ID = own
			talk(a)
		}},
}

// TestOneMessageAtATime spoils one message of a program of four turns, whose client tries again, and checks that no turn
// that was acknowledged whole is lost, that none runs twice, that each success has its stamp, and that a budget holds.
func TestOneMessageAtATime(t *testing.T) {
	for _, where := range []string{"Begin", "Settle", "Replicate", "answer"} {
		for _, f := range faults {
			for at := range 4 {
				if where == "Replicate" && f.call == nil {
					continue
				}
				t.Run(fmt.Sprintf("%s %d %s", where, at, f.name), func(t *testing.T) { program(t, where, at, f) })
			}
		}
	}
}

func program(t *testing.T, where string, at int, f fault) {
	t.Parallel()
	e := tiertest.NewEndpoint(t, "i-1", "s", talk)
	if where == "answer" {
		e.SetScript(func(a *tiertest.Arrival) {
			if a.Order == at {
				f.answer(a)
				return
			}
			talk(a)
		})
	}
	r := start(t, e)
	var mu sync.Mutex
	n := 0
	var late []func()
	via := func(m tiertest.Message) error {
		mu.Lock()
		hit := m.Method == where && n == at
		if m.Method == where {
			n++
		}
		mu.Unlock()
		if !hit {
			return m.Serve()
		}
		return f.call(m, func(again func()) {
			mu.Lock()
			late = append(late, again)
			mu.Unlock()
		})
	}
	for _, v := range r.turnStores.List {
		v.SetVia(via)
	}
	text := map[string]string{} // what a turn adds to the chain
	chain, previous, granted := "", "", 0
	const budget, most = 400, 3
	for i := range 4 {
		for try := 0; ; try++ {
			id := fmt.Sprintf("t-%d-%d", i, try)
			in := fmt.Sprintf("in %d;", i)
			got := r.do(turn(id, previous, "p", fmt.Sprintf("X-Deadline-Ms: 3000\r\nBudget: %d\r\nX-Token-Usage: 9,%d\r\n", budget, most), in))
			if granted += most; got.Err == nil && got.Status == 200 {
				whole(t, got, 200, events(said(id)...))
				text[id] = in + output(id)
				chain, previous = chain+text[id], id
				break
			}
			assert.Assert(t, got.Err != nil || got.Status == 502 || got.Status == 503 || got.Status == 504, "turn %d: %+v", i, got)
			assert.Assert(t, try < 20, "turn %d: %+v", i, got)
		}
		if i == 1 { // what was held comes now
			mu.Lock()
			now := late
			late = nil
			mu.Unlock()
			for _, again := range now {
				again()
			}
		}
	}
	mu.Lock()
	rest := late
	mu.Unlock()
	for _, again := range rest {
		again()
	}
	// sure asks as a client does, again after a promise: a machine that is busy may not be sure of its turn stores.
	sure := func(id, previous, fields string) (got tiertest.Reply, last string) {
		for try := range 20 {
			last = fmt.Sprintf("%s-%d", id, try)
			if got = r.do(turn(last, previous, "p", fields, "end")); got.Err == nil && got.Status != 503 {
				break
			}
		}
		return got, last
	}
	got, last := sure("t-last", previous, "")
	whole(t, got, 200, events(said(last)...))
	runs := map[string]int{}
	for _, a := range e.Arrivals() {
		runs[a.ID]++
		assert.Equal(t, runs[a.ID], 1, "%s ran twice", a.ID)
		assert.Assert(t, strings.HasPrefix(chain+"end", a.Text), a.Text)
		if a.ID == last {
			assert.Equal(t, a.Text, chain+"end")
		}
	}
	assert.Equal(t, runs[last], 1)
	// Of the budget, at most what was granted is gone, and at least what was handed in whole turns.
	const handed = 2 * 4
	over, _ := sure("t-over", "", fmt.Sprintf("Budget: %d\r\nX-Token-Usage: 9,%d\r\n", budget, budget-handed+1))
	assert.Equal(t, over.Status, 402, "%+v", over)
	room, _ := sure("t-room", "", fmt.Sprintf("Budget: %d\r\nX-Token-Usage: 9,%d\r\n", budget, budget-granted-2*20))
	assert.Equal(t, room.Status, 200, "%+v", room)
}

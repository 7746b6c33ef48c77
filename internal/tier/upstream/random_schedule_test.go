package upstream

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const seeds = 200

// runSeed makes one attempt with random parameters: a format of response, truncated or complete, early or not, on a new or a reused
// connection. It returns what is wrong, or "".
func (w *wireClient) runSeed(seed uint64) string {
	draw := rand.New(rand.NewPCG(seed, 18))
	forms := responseFormats()
	f := forms[draw.IntN(len(forms))]
	how := closeMode(draw.IntN(4))
	sent := draw.IntN(len(f.text) + 1)
	size := 4
	p := plan{read: -1, text: f.text, how: how, early: draw.IntN(3) == 0}
	if p.early {
		size = 256 << 10
	}
	if draw.IntN(2) == 0 || how == noClose {
		sent = len(f.text)
	}
	if how == noClose {
		if !f.complete(sent, how) { // nothing would end the call
			return ""
		}
		p.clean = f.reusable
	}
	if how == unresponsive && f.complete(sent, how) {
		return ""
	}
	p.sent = sent
	cause := unresponsiveCauses(how)[0]
	if wrong := w.attempt(fmt.Sprintf("%04d", seed), draw.IntN(2) == 0, &f, p, sent, size, cause); wrong != "" {
		return fmt.Sprintf("seed %d, %s, %v at byte %d, early %v: %s", seed, f.name, how, sent, p.early, wrong)
	}
	return ""
}

func TestCall_RandomSchedules(t *testing.T) {
	w := newWireClient(t)
	for seed := range uint64(seeds) {
		if wrong := w.runSeed(seed); wrong != "" {
			t.Fatal(wrong)
		}
	}
}

// fault selects what a naive call does wrong.
type fault struct {
	anyID        bool // the id is not compared
	keepAnyCount bool // a connection that carried a response to another request is kept
	keepUnread   bool // a connection with unread bytes after the response is kept
	keepEarly    bool // sending stops at a response, and the connection is kept although the body is not completely sent
	anyEnd       bool // any error completes a body without framing
	retryBroken  bool // a reset or a close is taken as proof that the request was not executed
}

// naive returns a call with the fault, built from the parts of Pool.Call.
func (f fault) naive(p *Pool) func(context.Context, Target, *Request) *Result {
	return func(ctx context.Context, target Target, q *Request) *Result {
		r := &Result{}
		c, opened, end, err := p.acquire(ctx, target, q.AttemptID, time.Now().Add(longWait))
		if r.NewConnection = opened; end != Complete {
			return r.end(end, err)
		}
		timeout := longWait
		if f.keepEarly { // the endpoint waits for a body that never comes
			timeout = 100 * time.Millisecond
		}
		c.SetDeadline(time.Now().Add(timeout))
		stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
		exchange := &exchange{pool: p, conn: c, ctx: ctx, result: r, stopCancel: stop}
		body, size, sent := q.Body, 0, 0
		for _, part := range body {
			size += len(part)
		}
		if f.keepEarly && size > maxCopiedBody {
			body = body[:len(body)/2]
		}
		for _, part := range body {
			sent += len(part)
		}
		r.Written = true
		c.recordRequest(q.AttemptID)
		n, _, err := write(c.TCPConn, q.appendHead(nil, target, size, time.Now()), body, sent)
		if r.connection.partlyWritten = err != nil; err != nil {
			r.Written = n > 0
			return exchange.end(outcomeOf(ctx, err), err)
		}
		if f.anyID {
			a, scratch, err := readHead(c.reader, nil) // of the first response received, to whichever attempt
			for err == nil && a.Status < 200 {
				a, scratch, err = readHead(c.reader, scratch)
			}
			if err != nil {
				return exchange.end(outcomeOf(ctx, unexpected(err)), err)
			}
			r.Response, r.identified = a, true
			b := newBody(c.reader, a, q.Method)
			if r.Body, err = b.readAll(1 << 20); err != nil {
				return exchange.end(outcomeOf(ctx, err), err)
			}
			c.responses++
			return exchange.end(Complete, nil)
		}
		a, err := exchange.readResponseHead(q)
		if err != nil {
			return exchange.end(outcomeOf(ctx, err), err)
		}
		r.Response, r.identified = a, true
		if a.Status/100 == 2 && a.Signature == "" {
			return exchange.end(Malformed, errMalformed)
		}
		b := newBody(c.reader, a, q.Method)
		if r.unframed = b.framing == byClose; r.unframed && !a.explicitClose {
			return exchange.end(Malformed, errMalformed)
		}
		if f.anyEnd && r.unframed {
			for err == nil {
				r.Body, err = b.read(r.Body)
			}
		} else if a.IsEventStream && b.framing == byClose {
			return exchange.end(Broken, errConnectionEnded)
		} else if r.Body, err = b.readAll(1 << 20); err != nil {
			return exchange.end(outcomeOf(ctx, err), err)
		}
		c.responses++
		if f.keepAnyCount {
			c.requests = c.responses
		}
		if f.keepUnread {
			c.reader.Discard(c.reader.Buffered())
		}
		return exchange.end(Complete, nil)
	}
}

// TestNaiveCall_WithoutFault: the naive call without a fault passes, so that the injected faults alone are what the next test detects.
func TestNaiveCall_WithoutFault(t *testing.T) {
	w := newWireClient(t)
	w.call = fault{}.naive(w.pool)
	for seed := range uint64(seeds) {
		if wrong := w.runSeed(seed); wrong != "" {
			t.Fatal(wrong)
		}
	}
}

// TestNaiveCall_InjectedFaultsDetected: each fault is detected by the same seeds that Pool.Call passes.
func TestNaiveCall_InjectedFaultsDetected(t *testing.T) {
	for name, f := range map[string]fault{
		"an id check left out":                       {anyID: true},
		"reused after a response to another request": {keepAnyCount: true},
		"reused with bytes behind the answer":        {keepUnread: true},
		"reused after an early answer":               {keepEarly: true},
		"an unframed answer ends with any error":     {anyEnd: true},
		"sent again on a reset after the first byte": {retryBroken: true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWireClient(t)
			if f.retryBroken {
				right := w.retry
				w.retry = func(r *Result) bool { return right(r) || r.Outcome == Broken }
			} else {
				w.call = f.naive(w.pool)
			}
			for seed := range uint64(seeds) {
				if wrong := w.runSeed(seed); wrong != "" {
					t.Log(wrong)
					return
				}
			}
			assert.Assert(t, false, "not detected within %d seeds", seeds)
		})
	}
}

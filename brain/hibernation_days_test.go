package brain_test

import (
	"testing"
	"time"

	"saffronyard.example/saffronyard/brain"
)

// attempt is one call of a message.
type attempt struct {
	message brain.MessageID
	n       int
}

// rules are what holds whatever is remembered: nothing goes to an endpoint that is not listed, nor during a
// retry-after, and each message ends once.
type rules struct {
	t      *testing.T
	seed   uint64
	ready  map[brain.EndpointID]brain.DestinationID
	closed map[brain.DestinationID]time.Duration
	apart  bool
	ended  map[brain.MessageID]bool
	out    map[attempt]brain.DestinationID // and where it was sent
	woken  int                             // sends after a quiet time in which a destination hibernates
	last   map[brain.DestinationID]time.Duration
}

func (r *rules) check(w *world, events []brain.Event, actions []brain.Action) {
	for _, e := range events {
		switch e := e.(type) {
		case brain.EndpointUpdate:
			if e.Complete && !e.Failed {
				clear(r.ready)
			}
			for _, line := range e.Endpoints {
				delete(r.ready, line.ID)
				if line.Ready {
					r.ready[line.ID] = line.Destination
				}
			}
		case brain.AttemptResult:
			k := attempt{e.Message, e.Attempt}
			if d, out := r.out[k]; out && e.RetryAfter > 0 { // a result that comes twice counts once
				r.closed[d] = max(r.closed[d], w.now+e.RetryAfter)
			}
			delete(r.out, k)
		}
	}
	for _, a := range actions {
		switch a := a.(type) {
		case brain.Send:
			d, ok := r.ready[a.Endpoint]
			if !ok || d != w.pending[a.Message].msg.Destination {
				r.t.Fatalf("seed %d at %v: message %d for %d is sent to endpoint %d, which is listed: %v, for %d", r.seed, w.now, a.Message, w.pending[a.Message].msg.Destination, a.Endpoint, ok, d)
			}
			if !r.apart && w.now < r.closed[d] {
				r.t.Fatalf("seed %d at %v: sent to %d, which asked to wait until %v", r.seed, w.now, d, r.closed[d])
			}
			if last, ok := r.last[d]; ok && w.now-last > w.s.HibernateAfter+time.Second {
				r.woken++
			}
			r.last[d] = w.now
			r.out[attempt{a.Message, w.pending[a.Message].sends}] = d
		case brain.Fail:
			r.end(w, a.Message)
		case brain.Reject:
			r.end(w, a.Message)
		}
	}
}

// restart forgets what a new process does not know: retry-afters and calls in flight.
func (r *rules) restart() {
	clear(r.closed)
	clear(r.out)
	clear(r.ready)
}

func (r *rules) end(w *world, id brain.MessageID) {
	if r.ended[id] {
		r.t.Fatalf("seed %d at %v: message %d ends twice", r.seed, w.now, id)
	}
	r.ended[id] = true
}

// With destinations that hibernate after a moment of quiet the rules hold all the same, and two such Brains
// decide alike.
func TestStep_RulesHoldWhileHibernating(t *testing.T) {
	woken := 0
	for seed := range uint64(600) {
		w := newWorld(t, seed)
		w.s.HibernateAfter = time.Duration(1+seed%4) * time.Second
		w.s.IdleConnTimeout = 500 * time.Millisecond
		w.make = func() (b, twin *brain.Brain) { return brain.New(w.s, seed), brain.New(w.s, seed) }
		w.rules = &rules{t: t, seed: seed, ready: map[brain.EndpointID]brain.DestinationID{}, closed: map[brain.DestinationID]time.Duration{},
			ended: map[brain.MessageID]bool{}, out: map[attempt]brain.DestinationID{}, last: map[brain.DestinationID]time.Duration{}}
		for _, k := range w.s.Kinds {
			w.rules.apart = w.rules.apart || k.PerEndpointRoutes
		}
		w.play(250)
		woken += w.rules.woken
	}
	if woken < 600 {
		t.Errorf("only %d calls woke a destination", woken)
	}
}

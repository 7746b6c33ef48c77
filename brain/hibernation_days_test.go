package brain_test

import (
	"testing"
	"time"

	"saffronyard.example/saffronyard/brain"
)

// attemptKey identifies an attempt of a message.
type attemptKey struct {
	message brain.MessageID
	n       int
}

// invariants checks what must hold whether or not destinations hibernate: nothing is sent to an endpoint that is not
// listed, nor during a retry-after, and each message ends once.
type invariants struct {
	t                 *testing.T
	seed              uint64
	ready             map[brain.EndpointID]brain.DestinationID
	retryAfterUntil   map[brain.DestinationID]time.Duration
	hasEndpointRoutes bool
	ended             map[brain.MessageID]bool
	inFlight          map[attemptKey]brain.DestinationID // with the destination of each attempt
	wakeUps           int                                // sends after an idle time in which a destination hibernates
	lastSent          map[brain.DestinationID]time.Duration
}

func (r *invariants) check(w *simulation, events []brain.Event, actions []brain.Action) {
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
			key := attemptKey{e.Message, e.Attempt}
			if d, inFlight := r.inFlight[key]; inFlight && e.RetryAfter > 0 { // a duplicate result counts once
				r.retryAfterUntil[d] = max(r.retryAfterUntil[d], w.now+e.RetryAfter)
			}
			delete(r.inFlight, key)
		}
	}
	for _, a := range actions {
		switch a := a.(type) {
		case brain.Send:
			d, ok := r.ready[a.Endpoint]
			if !ok || d != w.pending[a.Message].msg.Destination {
				r.t.Fatalf("seed %d at %v: message %d for destination %d is sent to endpoint %d, which is listed: %v, for destination %d", r.seed, w.now, a.Message, w.pending[a.Message].msg.Destination, a.Endpoint, ok, d)
			}
			if !r.hasEndpointRoutes && w.now < r.retryAfterUntil[d] {
				r.t.Fatalf("seed %d at %v: sent to destination %d, whose retry-after ends at %v", r.seed, w.now, d, r.retryAfterUntil[d])
			}
			if last, ok := r.lastSent[d]; ok && w.now-last > w.settings.HibernateAfter+time.Second {
				r.wakeUps++
			}
			r.lastSent[d] = w.now
			r.inFlight[attemptKey{a.Message, w.pending[a.Message].sends}] = d
		case brain.Fail:
			r.end(w, a.Message)
		case brain.Reject:
			r.end(w, a.Message)
		}
	}
}

// restart clears what a new process has no record of: retry-afters, calls in flight and the list.
func (r *invariants) restart() {
	clear(r.retryAfterUntil)
	clear(r.inFlight)
	clear(r.ready)
}

func (r *invariants) end(w *simulation, id brain.MessageID) {
	if r.ended[id] {
		r.t.Fatalf("seed %d at %v: message %d ends twice", r.seed, w.now, id)
	}
	r.ended[id] = true
}

// With destinations that hibernate after a short idle time the invariants hold, and two Brains with the same events decide
// the same.
func TestStep_RulesHoldWhileHibernating(t *testing.T) {
	wakeUps := 0
	for seed := range uint64(600) {
		w := newSimulation(t, seed)
		w.settings.HibernateAfter = time.Duration(1+seed%4) * time.Second
		w.settings.IdleConnTimeout = 500 * time.Millisecond
		w.newBrains = func() (b, replica *brain.Brain) { return brain.New(w.settings, seed), brain.New(w.settings, seed) }
		w.invariants = &invariants{t: t, seed: seed, ready: map[brain.EndpointID]brain.DestinationID{}, retryAfterUntil: map[brain.DestinationID]time.Duration{},
			ended: map[brain.MessageID]bool{}, inFlight: map[attemptKey]brain.DestinationID{}, lastSent: map[brain.DestinationID]time.Duration{}}
		for _, k := range w.settings.Kinds {
			w.invariants.hasEndpointRoutes = w.invariants.hasEndpointRoutes || k.PerEndpointRoutes
		}
		w.run(250)
		wakeUps += w.invariants.wakeUps
	}
	if wakeUps < 600 {
		t.Errorf("only %d calls woke up a destination", wakeUps)
	}
}

package brain

import (
	"slices"
	"testing"
	"time"
)

// recalls gives the recalls of a step.
func (r *rig) revocations(events ...Event) []Revoke {
	var all []Revoke
	for _, a := range r.b.Step(r.now, events) {
		switch a := a.(type) {
		case Revoke:
			all = append(all, a)
		case Send:
			r.sentAt[a.Message] = r.now
			r.attempts[a.Message]++
		}
	}
	return all
}

// widen serves calls side by side until so many may be in flight.
func (r *rig) growWindow(n int) {
	r.Helper()
	for range 50 {
		var all []Event
		for range n {
			all = append(all, r.message(0, 0, 0))
		}
		sends, most := r.step(all...), 0
		for len(sends) > 0 {
			most = max(most, len(sends))
			r.now += 50 * ms
			all = nil
			for _, s := range sends {
				all = append(all, r.result(s, Served))
			}
			sends = r.step(all...)
		}
		if most >= n {
			return
		}
	}
	r.Fatal("the window does not grow")
}

// Each reason for which a call that was sent would not be sent now, and what is none.
func TestRevoke_Reasons(t *testing.T) {
	for name, c := range map[string]struct {
		then func(r *rig, calls []Send) []Event
		want []RevokeReason // of the second and third call; the first is what the destination answers
	}{
		"a wait": {func(r *rig, c []Send) []Event {
			e := r.result(c[0], Rejected)
			e.RetryAfter = time.Second
			return []Event{e}
		}, []RevokeReason{RetryAfterReceived, RetryAfterReceived}},
		"a pause":   {func(r *rig, c []Send) []Event { return []Event{r.result(c[0], Rejected)} }, nil},
		"an answer": {func(r *rig, c []Send) []Event { return []Event{r.result(c[0], Served)} }, nil},
		"a drain":   {func(r *rig, c []Send) []Event { return []Event{EndpointUpdate{Endpoints: []Endpoint{{ID: 1}}}} }, []RevokeReason{EndpointRemoved, EndpointRemoved, EndpointRemoved}},
		"a list again": {func(r *rig, c []Send) []Event {
			return []Event{EndpointUpdate{Endpoints: []Endpoint{{ID: 1, Ready: true}}}}
		}, nil},
		"other's drain": {func(r *rig, c []Send) []Event { return []Event{EndpointUpdate{Endpoints: []Endpoint{{ID: 2}}}} }, nil},
		"withdrawn":     {func(r *rig, c []Send) []Event { return []Event{Withdrawn{c[1].Message}} }, []RevokeReason{MessagesEnded}},
		"an outage": {func(r *rig, c []Send) []Event {
			e := r.result(c[0], Rejected)
			e.RetryAfter = r.b.settings.OverloadWindow + time.Second // shut
			r.step(e)
			r.now += 2*r.b.settings.OverloadWindow + time.Second
			return []Event{r.message(0, 0, 0)}
		}, nil}, // they were recalled with the wait, once
	} {
		r := newRig(t, settings())
		r.growWindow(3)
		calls := r.step(r.message(0, 0, 0), r.message(0, 0, 0), r.message(0, 0, 0))
		if len(calls) != 3 {
			t.Fatalf("%s: %d calls", name, len(calls))
		}
		r.now += 10 * ms
		var got []RevokeReason
		for _, a := range r.revocations(c.then(r, calls)...) {
			got = append(got, a.Reason)
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
		if again := r.revocations(EndpointUpdate{Endpoints: []Endpoint{{ID: 1}}}); name == "a drain" && len(again) > 0 {
			t.Errorf("%s: recalled twice", name)
		}
	}
}

// In an outage a new probe revokes an earlier one that is still to be written.
func TestRevoke_NewProbeRevokesEarlierOne(t *testing.T) {
	r := newRig(t, settings())
	r.growWindow(5)
	var all []Event
	for range 9 {
		all = append(all, r.message(0, 0, 0))
	}
	r.step(all...)
	revoked, lastSent := map[MessageID]bool{}, MessageID(0)
	for range 200 { // nothing is answered
		r.now += 100 * ms
		for _, a := range r.b.Step(r.now, []Event{TimerFired{}}) {
			switch a := a.(type) {
			case Revoke:
				revoked[a.Message] = true
			case Send:
				lastSent = a.Message
			}
		}
	}
	if lastSent == 0 || revoked[lastSent] || len(revoked) != 8 {
		t.Errorf("recalled %v, the last one sent is %d", revoked, lastSent)
	}
}

// A call that was revoked in time counts as no attempt, however often; one that was not sent for another reason does.
func TestRevoke_CountsAsNoAttempt(t *testing.T) {
	for _, revoked := range []bool{true, false} {
		s := settings()
		s.MaxAttempts = 2
		r := newRig(t, s)
		m := r.message(2, 0, 0)
		sends := r.step(m)
		for range 5 {
			if len(sends) == 0 {
				break
			}
			e := r.result(sends[0], NotSent)
			e.Revoked = revoked
			r.step(e)
			for range 100 {
				r.now += 50 * ms
				if sends = r.step(TimerFired{}); len(sends) > 0 {
					break
				}
			}
		}
		if r.failed[m.ID] == revoked {
			t.Errorf("recalled %v: failed %v after %d tries", revoked, r.failed[m.ID], r.attempts[m.ID])
		}
	}
}

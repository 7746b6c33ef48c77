package brain

import (
	"slices"
	"testing"
	"time"
)

// revocations returns the Revoke actions of a step.
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

// growWindow serves concurrent calls to destination 0 until n of them may be in flight.
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

// A call in flight that would not be sent now is revoked, for each RevokeReason. Other events revoke no call.
func TestRevoke_Reasons(t *testing.T) {
	for name, c := range map[string]struct {
		then func(r *rig, calls []Send) []Event
		want []RevokeReason // of the calls left in flight; a result is that of the first call
	}{
		"retry-after": {func(r *rig, c []Send) []Event {
			e := r.result(c[0], Rejected)
			e.RetryAfter = time.Second
			return []Event{e}
		}, []RevokeReason{RetryAfterReceived, RetryAfterReceived}},
		"back-off":    {func(r *rig, c []Send) []Event { return []Event{r.result(c[0], Rejected)} }, nil},
		"served call": {func(r *rig, c []Send) []Event { return []Event{r.result(c[0], Served)} }, nil},
		"drain":       {func(r *rig, c []Send) []Event { return []Event{EndpointUpdate{Endpoints: []Endpoint{{ID: 1}}}} }, []RevokeReason{EndpointRemoved, EndpointRemoved, EndpointRemoved}},
		"unchanged list entry": {func(r *rig, c []Send) []Event {
			return []Event{EndpointUpdate{Endpoints: []Endpoint{{ID: 1, Ready: true}}}}
		}, nil},
		"drain of another endpoint": {func(r *rig, c []Send) []Event { return []Event{EndpointUpdate{Endpoints: []Endpoint{{ID: 2}}}} }, nil},
		"withdrawn":                 {func(r *rig, c []Send) []Event { return []Event{Withdrawn{c[1].Message}} }, []RevokeReason{MessagesEnded}},
		"outage": {func(r *rig, c []Send) []Event {
			e := r.result(c[0], Rejected)
			e.RetryAfter = r.b.settings.OverloadWindow + time.Second // begins an outage
			r.step(e)
			r.now += 2*r.b.settings.OverloadWindow + time.Second
			return []Event{r.message(0, 0, 0)}
		}, nil}, // the calls were revoked with the retry-after, only once
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
		if again := r.revocations(EndpointUpdate{Endpoints: []Endpoint{{ID: 1}}}); name == "drain" && len(again) > 0 {
			t.Errorf("%s: revoked twice", name)
		}
	}
}

// In an outage a new probe revokes an earlier one that was not written yet.
func TestRevoke_NewProbeRevokesEarlierOne(t *testing.T) {
	r := newRig(t, settings())
	r.growWindow(5)
	var all []Event
	for range 9 {
		all = append(all, r.message(0, 0, 0))
	}
	r.step(all...)
	revoked, lastSent := map[MessageID]bool{}, MessageID(0)
	for range 200 { // no call is answered
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
		t.Errorf("revoked %v, the last call sent is for message %d", revoked, lastSent)
	}
}

// An attempt that was revoked in time does not count against MaxAttempts, however often that happens. An attempt that was
// not sent for another reason counts.
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
			t.Errorf("revoked %v: failed %v after %d attempts", revoked, r.failed[m.ID], r.attempts[m.ID])
		}
	}
}

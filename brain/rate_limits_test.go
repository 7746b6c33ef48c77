package brain

import (
	"math"
	"testing"
	"time"
)

// Rule 5: a retry-after closes the destination to all messages; each result of a shared call may ask for a later end.
func TestRetryAfter_ClosesRoute(t *testing.T) {
	r := newRig(t, settings())
	m1, m2 := r.message(0, 2, 0), r.message(0, 2, 0)
	s := r.step(m1, m2)
	if len(s) < 2 || s[0].Endpoint != s[1].Endpoint {
		t.Fatalf("two messages to one route do not share a call: %+v", s)
	}
	if c := r.b.callsInFlight; c != 1 {
		t.Fatalf("a shared call holds %d slots", c)
	}
	e1, e2 := r.result(s[0], Rejected), r.result(s[1], Rejected)
	e1.RetryAfter, e2.RetryAfter = 300*ms, 400*ms
	r.step(e1)
	r.now += 10 * ms
	r.step(e2)
	waitEnds := r.now + 400*ms
	for r.now < waitEnds {
		for _, x := range r.step(r.message(0, 2, 0)) {
			if x.Endpoint == s[0].Endpoint {
				t.Fatalf("sent %v before the retry-after was over", waitEnds-r.now)
			}
		}
		r.now += 20 * ms
	}
}

// At a destination that is rated by the list but whose answers report no limit, the send rate stayed at half of the
// rating.
func TestSendRate_GrowsWithoutReportedLimit(t *testing.T) {
	set := settings()
	set.RatingIsLimit = true
	r := newRig(t, set)
	r.step(EndpointUpdate{Endpoints: []Endpoint{{ID: 1, Ready: true, Rating: 10}}})
	route := r.b.destinations[0].sharedRoute
	before := route.sendRate
	for range 20 {
		sends := r.step(r.message(0, 0, 0))
		r.now += 300 * ms
		for _, x := range sends {
			e := r.result(x, Served)
			e.LimitReported = true
			r.step(e)
		}
	}
	if route.sendRate <= before || route.sendRate > 10 {
		t.Fatalf("send rate %v, %v before", route.sendRate, before)
	}
}

// A limit of a few calls a second, divided among 300 senders, left each of them one call in half a minute.
func TestInitialSendRate_UsableByOneOfManySenders(t *testing.T) {
	r := fleetRig(t, 300)
	served := 0
	for range 4 {
		served += len(r.step(r.message(0, 0, 0)))
		r.now += 300 * ms
		for _, x := range r.sends[len(r.sends)-min(served, 1):] {
			e := r.result(x, Served)
			e.LimitReported, e.Remaining, e.Limit = true, 0.8, 5
			r.step(e)
		}
		r.now += 700 * ms
	}
	if n := len(r.sends); n < 4 {
		t.Fatalf("%d of 4 messages sent in 4 s under a limit of 5 a second", n)
	}
}

// sharedLimit is a token bucket that all senders share, with a burst of two seconds. Rejected calls take tokens like
// served ones: called at more than its rate all the time, it serves nothing at all.
type sharedLimit struct {
	rate, tokens float64
	at           time.Duration
}

const limitBurstSeconds = 2 // seconds

// remaining returns the fraction of the bucket that is left.
func (l *sharedLimit) remaining(now time.Duration) float64 {
	l.tokens = min(limitBurstSeconds*l.rate, l.tokens+l.rate*(now-l.at).Seconds())
	l.at = now
	return max(0, l.tokens/(limitBurstSeconds*l.rate))
}

func (l *sharedLimit) call(now time.Duration) (served bool) {
	l.remaining(now)
	served = l.tokens >= 1
	l.tokens = max(-limitBurstSeconds*l.rate, l.tokens-1)
	return served
}

// Eighty senders share a limit of 32 calls a second that rejected calls use up. Each gets 0.37 messages a second for the
// destination, a few of them several times that; for two seconds the fleet gets three times as many. The limit is
// sufficient except for that surge. Each sender by itself keeps to a call a second, and together they would exceed the
// limit for as long as any message waits.
func TestSendRate_FleetRecoversWhereRejectionsUseUpLimit(t *testing.T) {
	const senders, perSecond, limit = 80, 28.0, 32.0
	const start, until, reportLag = time.Hour, 60 * time.Second, 300 * ms
	s, list := fleetSettings(senders)
	s.MaxPending = 60
	brains := make([]*Brain, senders)
	for i := range brains {
		brains[i] = New(s, uint64(i+1))
		brains[i].Step(start, []Event{list})
	}
	var ended, inFlight []inFlightCall
	l := &sharedLimit{rate: limit, tokens: limitBurstSeconds * limit, at: start}
	reportedRemaining := [8]float64{} // the fraction left, newest first: senders get an old one
	id, due := MessageID(0), 0.0
	attempts := map[MessageID]int{}
	submitted, served, rejected := 0, 0, 0
	for now := start; now < start+until; now += 10 * ms {
		rate := perSecond
		if at := now - start; at >= 8*time.Second && at < 10*time.Second {
			rate *= 3
		}
		if tick := int(now / (10 * ms)); tick%5 == 0 {
			copy(reportedRemaining[1:], reportedRemaining[:])
			reportedRemaining[0] = l.remaining(now)
		}
		events := make([][]Event, senders)
		for due += rate / 100; due >= 1; due-- {
			id++
			i := int(id*37) % senders
			if id%4 == 0 { // a quarter of all messages goes to four of the senders
				i = int(id/4) % 4
			}
			events[i] = append(events[i], Message{ID: id, Destination: 0, Deadline: now + 12*time.Second})
			if now >= start+30*time.Second {
				submitted++
			}
		}
		ended, inFlight = splitEnded(now, inFlight)
		for _, c := range ended {
			events[c.sender] = append(events[c.sender], c.result)
		}
		for i, b := range brains {
			for _, a := range b.Step(now, append(events[i], TimerFired{})) {
				call, ok := a.(Send)
				if !ok {
					continue
				}
				result := AttemptResult{Message: call.Message, Attempt: attempts[call.Message], Endpoint: call.Endpoint, Outcome: Rejected,
					Elapsed: 60 * ms, LimitReported: true, Remaining: reportedRemaining[reportLag/(50*ms)], Limit: limit}
				attempts[call.Message]++
				if l.call(now) {
					result.Outcome, result.Final, result.Elapsed = Served, true, 150*ms
				}
				if now >= start+30*time.Second {
					if result.Outcome == Served {
						served++
					} else {
						rejected++
					}
				}
				inFlight = append(inFlight, inFlightCall{i, result, now + result.Elapsed})
			}
		}
	}
	t.Logf("from 30 s on: %d submitted, %d served, %d rejected", submitted, served, rejected)
	if served < submitted*9/10 {
		t.Errorf("%d of %d messages are served 20 s after the surge", served, submitted)
	}
	if rejected > submitted/10 {
		t.Errorf("%d calls are rejected for %d messages", rejected, submitted)
	}
}

// Rejections at a used-up limit are no evidence of an outage; those with most of the limit left are.
func TestRateLimit_UsedUpIsNoOutage(t *testing.T) {
	for _, c := range []struct {
		remaining float64
		want      routeState
	}{{0, healthy}, {0.2, healthy}, {0.9, outage}} {
		r := fleetRig(t, 80)
		for i := range 6 {
			m := MessageID(i + 1)
			r.now += 10 * time.Second
			for _, a := range r.b.Step(r.now, []Event{Message{ID: m, Destination: 0, Deadline: r.now + 12*time.Second}}) {
				if call, ok := a.(Send); ok {
					r.b.Step(r.now+60*ms, []Event{AttemptResult{Message: m, Endpoint: call.Endpoint, Outcome: Rejected, Elapsed: 60 * ms,
						LimitReported: true, Remaining: c.remaining, Limit: 32}})
				}
			}
			r.b.Step(r.now+70*ms, []Event{Withdrawn{m}})
		}
		if got := r.b.destinations[0].sharedRoute.state; got != c.want {
			t.Errorf("with %v of the limit left the state is %d, want %d", c.remaining, got, c.want)
		}
	}
}

// An answer that reports a nearly used-up allowance cuts the send rate before calls are rejected. The cut grows with the
// time since the last result, as a sender with few calls gets few reports. With more of the allowance left the rate is not
// cut, and it never falls below half of the even share.
func TestSendRate_CutWhereAllowanceIsScarce(t *testing.T) {
	const limit, evenShare = 32.0, 32.0 / 80
	for _, c := range []struct {
		remaining  float64
		gap        time.Duration
		minFactor  float64 // bounds of the send rate after the answer, as a factor of the one before
		maxFactor  float64
		checkFloor bool
	}{{0.05, 3 * time.Second, 0, 0.5, false}, {0.05, 100 * ms, 0, 1, false}, {0.2, 3 * time.Second, 1, 1, false}, {0.05, time.Minute, 0, 0.5, true}} {
		r := fleetRig(t, 80)
		serve := func(n int, remaining float64) {
			m := MessageID(n)
			for _, a := range r.b.Step(r.now, []Event{Message{ID: m, Destination: 0, Deadline: r.now + 12*time.Second}}) {
				if call, ok := a.(Send); ok {
					r.b.Step(r.now, []Event{AttemptResult{Message: m, Endpoint: call.Endpoint, Outcome: Served, Final: true, Elapsed: 40 * ms,
						LimitReported: true, Remaining: remaining, Limit: limit}})
					return
				}
			}
			t.Fatalf("message %d is not sent", n)
		}
		serve(1, 0.2)
		for n := 2; n < 6; n++ { // some calls, for a usual rate
			r.now += 2 * time.Second
			serve(n, 0.2)
		}
		before := r.b.destinations[0].sharedRoute.sendRate
		r.now += c.gap
		if c.gap < time.Second {
			r.b.destinations[0].sharedRoute.tokens = 1
		}
		serve(6, c.remaining)
		after := r.b.destinations[0].sharedRoute.sendRate
		if after < c.minFactor*before || after > c.maxFactor*before || after < evenShare/2 {
			t.Errorf("%v left after %v: the send rate changes from %v to %v", c.remaining, c.gap, before, after)
		}
		for n := 7; c.checkFloor && n < 40; n++ {
			r.now += 20 * time.Second
			serve(n, 0)
		}
		if got := r.b.destinations[0].sharedRoute.sendRate; c.checkFloor && math.Abs(got-evenShare/2) > 1e-9 {
			t.Errorf("the lowest send rate is %v, half of the even share is %v", got, evenShare/2)
		}
	}
}

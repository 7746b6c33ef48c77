package upstream

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// observations calls visit for every possible Observation, with representative statuses and surpluses, until visit returns false. It
// returns the number of calls.
func observations(visit func(Observation) bool) (n int) {
	statuses := []int{0, 100, 200, 201, 204, 301, 400, 401, 402, 403, 404, 408, 409, 410, 413, 421, 422, 429, 431, 500, 501, 502, 503, 504, 599, 600}
	const flags = 11
	outcomes := []Outcome{Complete, Broken, TimedOut, Streaming, Malformed, Canceled, NotSent, NoConnection, ConnectFailed} // the most error-prone first
	for _, end := range outcomes {
		for _, status := range statuses {
			for surplus := -1; surplus <= 1; surplus++ {
				for bits := range 1 << flags {
					flag := func(i int) bool { return bits>>i&1 == 1 }
					n++
					if !visit(Observation{Outcome: end, Status: status, SurplusResponses: surplus, Written: flag(0), Identified: flag(1), Signed: flag(2),
						NotExecuted: flag(3), Unframed: flag(4), ReplyStarted: flag(5), Turn: flag(6), PartlyWritten: flag(7), CloseAnnounced: flag(8), UnreadBytes: flag(9),
						CancelStarted: flag(10)}) {
						return n
					}
				}
			}
		}
	}
	want := len(statuses) * 3 * 1 << flags * len(outcomes)
	if n != want {
		panic("observations are left out")
	}
	return n
}

// brokenRule returns the name of the first rule that the disposition of an observation breaks, or "". The rules are those of the
// protocol, stated in terms of the observation alone and independently of the order of cases in Classify.
func brokenRule(o Observation, v Disposition) string {
	success := o.Status >= 200 && o.Status < 300
	final := o.Status >= 200 && o.Status < 600
	// The response belongs to this request and is complete: for a body without framing, the endpoint announced the close, and no
	// failed write can have consumed the connection's error.
	provenComplete := o.Outcome == Complete && o.Identified && (!o.Unframed || o.CloseAnnounced && !o.PartlyWritten)
	provenNotExecuted := provenComplete && final && !success && (o.NotExecuted || o.Status == 421)
	clean := !o.PartlyWritten && !o.CloseAnnounced && o.SurplusResponses == 0 && !o.UnreadBytes && !o.CancelStarted
	for _, rule := range []struct {
		name   string
		broken bool
	}{
		{"executed twice: a non-idempotent request with a byte written is retried without proof that it was not executed", v.MayRetry(false) && o.Written && !provenNotExecuted},
		{"executed twice: a non-idempotent request is retried although it may have been executed", v.MayRetry(false) && v.Execution != NotExecuted},
		{"a non-idempotent request may be retried, an idempotent one may not", v.MayRetry(false) && !v.MayRetry(true)},
		{"retried after a part of a response was sent to the client", v.MayRetry(true) && o.ReplyStarted && o.Written && !provenNotExecuted},
		{"retried after a complete success", v.MayRetry(true) && success && v.Reply == ForwardResponse},
		{"retried for a client that has closed its connection", v.MayRetry(true) && o.Outcome == Canceled},
		{"not executed, although a byte was written and the endpoint gave no proof", v.Execution == NotExecuted && o.Written && !provenNotExecuted},
		{"execution unknown although no byte was written", v.Execution != NotExecuted && !o.Written},
		{"503: promises that the request was not executed although it may have been", v.Reply == ServiceUnavailable && v.Execution != NotExecuted},
		{"503: a promise of the endpoint that the request was not executed is forwarded", v.Reply == ForwardResponse && (o.Status == 402 || o.Status == 408 || o.Status == 421 || o.Status == 429 || o.Status == 503)},
		{"turn: an endpoint's 404 or 410 is forwarded", v.Reply == ForwardResponse && o.Turn && (o.Status == 404 || o.Status == 410) && !o.NotExecuted},
		{"forwarded: a success that is unsigned, of another request or marked as not executed", v.Reply == ForwardResponse && success && !(o.Signed && o.Identified && !o.NotExecuted)},
		{"forwarded: a response to another request", v.Reply == ForwardResponse && !o.Identified},
		{"forwarded: an incomplete response", v.Reply == ForwardResponse && !provenComplete && !(o.Outcome == Streaming && success)},
		{"forwarded: an unframed response whose end proves nothing", v.Reply == ForwardResponse && o.Unframed && (!o.CloseAnnounced || o.PartlyWritten)},
		{"forwarded: a success for a request that was not completely sent", v.Reply == ForwardResponse && success && o.PartlyWritten},
		{"forwarded: a response that is not final", v.Reply == ForwardResponse && !final},
		{"a failure is streamed", v.Reply == ForwardResponse && !success && o.Outcome != Complete},
		{"a second response within a response", o.ReplyStarted && o.Written && v.Reply != AbortConnection && v.Reply != ForwardResponse && v.Reply != NoReply && !provenNotExecuted},
		{"connection aborted although no part of a response was sent", v.Reply == AbortConnection && !o.ReplyStarted},
		{"a reply to a client that has closed its connection, or none to one that has not", (v.Reply == NoReply) != (o.Outcome == Canceled)},
		{"504 although the time-out has not expired", v.Reply == GatewayTimeout && !(o.Outcome == TimedOut && o.Written)},
		{"a connection that is not clean is reused", v.Reuse == KeepConnection && !clean},
		{"a connection without a complete, framed response is reused", v.Reuse == KeepConnection && o.Written && !(provenComplete && !o.Unframed)},
		{"a connection of a failed or unfinished call is reused", v.Reuse == KeepConnection && (o.Outcome == Broken || o.Outcome == Malformed || o.Outcome == Streaming || o.Outcome == Canceled || o.Outcome == ConnectFailed)},
		{"a clean connection is closed", v.Reuse == CloseConnection && clean && (o.Written && provenComplete && !o.Unframed || !o.Written && o.Outcome == NotSent)},
	} {
		if rule.broken {
			return rule.name
		}
	}
	return ""
}

// TestClassify_KeepsRules checks the disposition of every observation against the rules.
func TestClassify_KeepsRules(t *testing.T) {
	broken := map[string]bool{}
	n := observations(func(o Observation) bool {
		v := Classify(o)
		if rule := brokenRule(o, v); rule != "" && !broken[rule] {
			broken[rule] = true
			t.Errorf("%s: %v %+v -> %v %v %v %+v", rule, o.Outcome, o, v.Execution, v.Reply, v.Reuse, v)
		}
		return true
	})
	t.Logf("%d observations", n)
}

// TestClassify_CoversAllObservations: each reply, reuse and execution occurs, so that the rules above don't hold vacuously.
func TestClassify_CoversAllObservations(t *testing.T) {
	replies, reuses, executions := map[ClientReply]int{}, map[Reuse]int{}, map[Execution]int{}
	retriedAfterWrite := 0
	observations(func(o Observation) bool {
		v := Classify(o)
		replies[v.Reply]++
		reuses[v.Reuse]++
		executions[v.Execution]++
		if v.RetryAny && o.Written {
			retriedAfterWrite++
		}
		return true
	})
	assert.Equal(t, len(replies), 6)
	assert.Equal(t, len(reuses), 2)
	assert.Equal(t, len(executions), 3)
	assert.Assert(t, retriedAfterWrite > 0)
}

// TestClassify_Reuse checks the reuse of a connection case by case.
func TestClassify_Reuse(t *testing.T) {
	complete := Observation{Outcome: Complete, Written: true, Status: 200, Signed: true, Identified: true}
	with := func(o Observation, change func(*Observation)) Observation { change(&o); return o }
	for _, tc := range []struct {
		name string
		o    Observation
		want Reuse
	}{
		{"one request, one response", complete, KeepConnection},
		{"a failure, complete", with(complete, func(o *Observation) { o.Status, o.Signed = 500, false }), KeepConnection},
		{"rejected, complete", with(complete, func(o *Observation) { o.Status, o.NotExecuted = 503, true }), KeepConnection},
		{"one response more than requests", with(complete, func(o *Observation) { o.SurplusResponses = 1 }), CloseConnection},
		{"one request more than responses", with(complete, func(o *Observation) { o.SurplusResponses = -1 }), CloseConnection},
		{"bytes after the response", with(complete, func(o *Observation) { o.UnreadBytes = true }), CloseConnection},
		{"early response, body not completely sent", with(complete, func(o *Observation) { o.PartlyWritten = true }), CloseConnection},
		{"the endpoint closes", with(complete, func(o *Observation) { o.CloseAnnounced = true }), CloseConnection},
		{"body ends with the connection", with(complete, func(o *Observation) { o.Unframed, o.CloseAnnounced = true, true }), CloseConnection},
		{"cancelled as the call ended", with(complete, func(o *Observation) { o.CancelStarted = true }), CloseConnection},
		{"response to another request", with(complete, func(o *Observation) { o.Identified = false }), CloseConnection},
		{"permit denied", Observation{Outcome: NotSent}, KeepConnection},
		{"permit denied, cancelled", Observation{Outcome: NotSent, CancelStarted: true}, CloseConnection},
		{"timed out before a byte was written", Observation{Outcome: TimedOut}, KeepConnection},
		{"timed out after the request was written", Observation{Outcome: TimedOut, Written: true}, CloseConnection},
		{"reset before a response", Observation{Outcome: Broken, Written: true}, CloseConnection},
		{"in use", with(complete, func(o *Observation) { o.Outcome = Streaming }), CloseConnection},
	} {
		assert.Equal(t, Classify(tc.o).Reuse, tc.want, tc.name)
	}
}

// TestClassify_MutantsDetected: each fault injected into Classify breaks a rule.
func TestClassify_MutantsDetected(t *testing.T) {
	for name, fault := range map[string]func(Observation, *Disposition){
		"retried on a reset after the first byte": func(o Observation, v *Disposition) { v.RetryAny = v.RetryAny || o.Outcome == Broken && !o.ReplyStarted },
		"retried on a time-out": func(o Observation, v *Disposition) {
			v.RetryAny = v.RetryAny || o.Outcome == TimedOut && !o.ReplyStarted
		},
		"X-Not-Executed trusted on an incomplete response": func(o Observation, v *Disposition) { v.RetryAny = v.RetryAny || o.Outcome == Broken && o.NotExecuted },
		"a 503 without X-Not-Executed trusted": func(o Observation, v *Disposition) {
			v.RetryAny = v.RetryAny || o.Outcome == Complete && o.Status == 503 && !o.ReplyStarted
		},
		"the attempt id ignored": func(o Observation, v *Disposition) {
			o.Identified = true
			*v = Classify(o)
		},
		"the signature ignored": func(o Observation, v *Disposition) {
			o.Signed = true
			*v = Classify(o)
		},
		"an unframed body trusted": func(o Observation, v *Disposition) {
			o.Unframed = false
			*v = Classify(o)
		},
		"the unsent part of the body ignored": func(o Observation, v *Disposition) {
			o.PartlyWritten = false
			*v = Classify(o)
		},
		"the count of responses ignored": func(o Observation, v *Disposition) {
			o.SurplusResponses = 0
			*v = Classify(o)
		},
		"bytes after the response ignored": func(o Observation, v *Disposition) {
			o.UnreadBytes = false
			*v = Classify(o)
		},
		"the cancellation ignored": func(o Observation, v *Disposition) {
			o.CancelStarted = false
			*v = Classify(o)
		},
		"a 429 forwarded": func(o Observation, v *Disposition) {
			if o.Outcome == Complete && o.Status == 429 {
				v.Reply = ForwardResponse
			}
		},
	} {
		found := ""
		observations(func(o Observation) bool {
			v := Classify(o)
			fault(o, &v)
			found = brokenRule(o, v)
			return found == ""
		})
		assert.Assert(t, found != "", "%s: not detected", name)
	}
}

func TestClassify_Rows(t *testing.T) {
	for _, tc := range []struct {
		o    Observation
		want string // execution, reply, whether retried if idempotent, whether retried if not
	}{
		{Observation{Outcome: NotSent}, "no refuse true true"},
		{Observation{Outcome: NoConnection}, "no refuse true true"},
		{Observation{Outcome: ConnectFailed}, "no refuse true true"},
		{Observation{Outcome: Broken}, "no refuse true true"},
		{Observation{Outcome: TimedOut}, "no refuse true true"},
		{Observation{Outcome: Canceled}, "no nothing false false"},
		{Observation{Outcome: Canceled, Written: true}, "unknown nothing false false"},
		{Observation{Outcome: Broken, Written: true}, "unknown bad_gateway true false"},
		{Observation{Outcome: Broken, Written: true, Status: 503, NotExecuted: true}, "unknown bad_gateway true false"},
		{Observation{Outcome: Broken, Written: true, Status: 200, Signed: true}, "yes bad_gateway true false"},
		{Observation{Outcome: Broken, Written: true, Status: 200, Signed: true, ReplyStarted: true}, "yes break_off false false"},
		{Observation{Outcome: Malformed, Written: true}, "unknown bad_gateway true false"},
		{Observation{Outcome: TimedOut, Written: true}, "unknown gateway_timeout true false"},
		{Observation{Outcome: TimedOut, Written: true, Status: 200, Signed: true, ReplyStarted: true}, "yes break_off false false"},
		{Observation{Outcome: Streaming, Written: true, Status: 200, Signed: true}, "yes pass_on false false"},
		{Observation{Outcome: Complete, Written: true, Status: 200, Signed: true}, "yes pass_on false false"},
		{Observation{Outcome: Complete, Written: true, Status: 200, Signed: true, ReplyStarted: true}, "yes pass_on false false"},
		{Observation{Outcome: Complete, Written: true, Status: 200}, "unknown bad_gateway true false"},
		{Observation{Outcome: Complete, Written: true, Status: 200, Signed: true, NotExecuted: true}, "unknown bad_gateway true false"},
		{Observation{Outcome: Complete, Written: true, Status: 503, NotExecuted: true}, "no refuse true true"},
		{Observation{Outcome: Complete, Written: true, Status: 429, NotExecuted: true}, "no refuse true true"},
		{Observation{Outcome: Complete, Written: true, Status: 421, NotExecuted: true}, "no refuse true true"},
		{Observation{Outcome: Complete, Written: true, Status: 421}, "no refuse true true"},
		{Observation{Outcome: Complete, Written: true, Status: 400, NotExecuted: true}, "no pass_on false false"},
		{Observation{Outcome: Complete, Written: true, Status: 400}, "yes pass_on false false"},
		{Observation{Outcome: Complete, Written: true, Status: 403}, "yes pass_on true false"},
		{Observation{Outcome: Complete, Written: true, Status: 404}, "yes pass_on false false"},
		{Observation{Outcome: Complete, Written: true, Status: 404, Turn: true}, "unknown bad_gateway true false"},
		{Observation{Outcome: Complete, Written: true, Status: 402}, "unknown bad_gateway true false"},
		{Observation{Outcome: Complete, Written: true, Status: 408}, "unknown bad_gateway true false"},
		{Observation{Outcome: Complete, Written: true, Status: 429}, "unknown bad_gateway true false"},
		{Observation{Outcome: Complete, Written: true, Status: 503}, "unknown bad_gateway true false"},
		{Observation{Outcome: Complete, Written: true, Status: 500}, "yes pass_on true false"},
		{Observation{Outcome: Complete, Written: true, Status: 504}, "yes pass_on true false"},
	} {
		tc.o.Identified = tc.o.Status != 0
		v := Classify(tc.o)
		assert.Equal(t, fmt.Sprint(v.Execution, v.Reply, v.MayRetry(true), v.MayRetry(false)), tc.want, "%v %+v", tc.o.Outcome, tc.o)
	}
}

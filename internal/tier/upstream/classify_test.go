package upstream

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// observations calls visit for every observation there is, statuses and surpluses by representatives, until that returns false.
func observations(visit func(Observation) bool) (n int) {
	statuses := []int{0, 100, 200, 201, 204, 301, 400, 401, 402, 403, 404, 408, 409, 410, 413, 421, 422, 429, 431, 500, 501, 502, 503, 504, 599, 600}
	const flags = 11
	ends := []Outcome{Complete, Broken, TimedOut, Streaming, Malformed, Canceled, NotSent, NoConnection, ConnectFailed} // those with most to get wrong first
	for _, end := range ends {
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
	want := len(statuses) * 3 * 1 << flags * len(ends)
	if n != want {
		panic("observations are left out")
	}
	return n
}

// brokenRule names the first rule that a verdict on an observation breaks, "" if there is none. The rules are those of the
// protocol, stated over what an onlooker knows; nothing here follows the order of the table.
func brokenRule(o Observation, v Disposition) string {
	success := o.Status >= 200 && o.Status < 300
	final := o.Status >= 200 && o.Status < 600
	// The response is this request's and all of it is here: for a body without framing the endpoint announced the end, and the
	// error of the connection can't have been taken by a write.
	provenWhole := o.Outcome == Complete && o.Identified && (!o.Unframed || o.CloseAnnounced && !o.PartlyWritten)
	saysNotRun := provenWhole && final && !success && (o.NotExecuted || o.Status == 421)
	clean := !o.PartlyWritten && !o.CloseAnnounced && o.SurplusResponses == 0 && !o.UnreadBytes && !o.CancelStarted
	for _, rule := range []struct {
		name   string
		broken bool
	}{
		{"TWICE: not idempotent, a byte written, no word that it has not run: sent again", v.MayRetry(false) && o.Written && !saysNotRun},
		{"TWICE: sent again though it has run", v.MayRetry(false) && v.Execution != NotExecuted},
		{"what isn't idempotent may go again, what is may not", v.MayRetry(false) && !v.MayRetry(true)},
		{"sent again after a part of an answer has gone to the client", v.MayRetry(true) && o.ReplyStarted && o.Written && !saysNotRun},
		{"sent again after a whole success", v.MayRetry(true) && success && v.Reply == ForwardResponse},
		{"sent again for a client that has left", v.MayRetry(true) && o.Outcome == Canceled},
		{"not run: no word of the endpoint's and a byte was written", v.Execution == NotExecuted && o.Written && !saysNotRun},
		{"unsure though no byte was written", v.Execution != NotExecuted && !o.Written},
		{"REFUSED: a promise for what may have run", v.Reply == ServiceUnavailable && v.Execution != NotExecuted},
		{"REFUSED: a promise of the endpoint's passed on", v.Reply == ForwardResponse && (o.Status == 402 || o.Status == 408 || o.Status == 421 || o.Status == 429 || o.Status == 503)},
		{"LOST: 404 or 410 of an endpoint passed on for a turn", v.Reply == ForwardResponse && o.Turn && (o.Status == 404 || o.Status == 410) && !o.NotExecuted},
		{"MIXED: a success without its stamp, of another request, or one not executed", v.Reply == ForwardResponse && success && !(o.Signed && o.Identified && !o.NotExecuted)},
		{"MIXED: passed on though it is another's", v.Reply == ForwardResponse && !o.Identified},
		{"MIXED: passed on though not whole", v.Reply == ForwardResponse && !provenWhole && !(o.Outcome == Streaming && success)},
		{"MIXED: passed on though its end proves nothing", v.Reply == ForwardResponse && o.Unframed && (!o.CloseAnnounced || o.PartlyWritten)},
		{"MIXED: a success for a request that was not sent whole", v.Reply == ForwardResponse && success && o.PartlyWritten},
		{"MIXED: passed on though it is no final answer", v.Reply == ForwardResponse && !final},
		{"a failure as a stream", v.Reply == ForwardResponse && !success && o.Outcome != Complete},
		{"a second answer inside an answer", o.ReplyStarted && o.Written && v.Reply != AbortConnection && v.Reply != ForwardResponse && v.Reply != NoReply && !saysNotRun},
		{"broken off with nothing said", v.Reply == AbortConnection && !o.ReplyStarted},
		{"an answer for a client that has left, or none for one that is there", (v.Reply == NoReply) != (o.Outcome == Canceled)},
		{"504 though the time was not over", v.Reply == GatewayTimeout && !(o.Outcome == TimedOut && o.Written)},
		{"a connection reused that is not clean", v.Reuse == KeepConnection && !clean},
		{"a connection reused whose answer did not come whole", v.Reuse == KeepConnection && o.Written && !(provenWhole && !o.Unframed)},
		{"a connection reused that broke", v.Reuse == KeepConnection && (o.Outcome == Broken || o.Outcome == Malformed || o.Outcome == Streaming || o.Outcome == Canceled || o.Outcome == ConnectFailed)},
		{"a clean connection thrown away", v.Reuse == CloseConnection && clean && (o.Written && provenWhole && !o.Unframed || !o.Written && o.Outcome == NotSent)},
	} {
		if rule.broken {
			return rule.name
		}
	}
	return ""
}

// TestClassify_KeepsRules holds the verdict on every observation against the rules.
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

// TestClassify_CoversAllObservations: each rule's verdicts occur, so that the rules above do not hold for want of cases.
func TestClassify_CoversAllObservations(t *testing.T) {
	replies, reuses, rans := map[ClientReply]int{}, map[Reuse]int{}, map[Execution]int{}
	once := 0
	observations(func(o Observation) bool {
		v := Classify(o)
		replies[v.Reply]++
		reuses[v.Reuse]++
		rans[v.Execution]++
		if v.RetryAny && o.Written {
			once++
		}
		return true
	})
	assert.Equal(t, len(replies), 6)
	assert.Equal(t, len(reuses), 2)
	assert.Equal(t, len(rans), 3)
	assert.Assert(t, once > 0)
}

// TestClassify_Reuse spells out the connection's part of the table.
func TestClassify_Reuse(t *testing.T) {
	whole := Observation{Outcome: Complete, Written: true, Status: 200, Signed: true, Identified: true}
	with := func(o Observation, change func(*Observation)) Observation { change(&o); return o }
	for _, tc := range []struct {
		name string
		o    Observation
		want Reuse
	}{
		{"one request, one answer", whole, KeepConnection},
		{"a failure, whole", with(whole, func(o *Observation) { o.Status, o.Signed = 500, false }), KeepConnection},
		{"rejected, whole", with(whole, func(o *Observation) { o.Status, o.NotExecuted = 503, true }), KeepConnection},
		{"an answer more than requests", with(whole, func(o *Observation) { o.SurplusResponses = 1 }), CloseConnection},
		{"a request more than answers", with(whole, func(o *Observation) { o.SurplusResponses = -1 }), CloseConnection},
		{"bytes behind the answer", with(whole, func(o *Observation) { o.UnreadBytes = true }), CloseConnection},
		{"early answer, body still due", with(whole, func(o *Observation) { o.PartlyWritten = true }), CloseConnection},
		{"the endpoint closes", with(whole, func(o *Observation) { o.CloseAnnounced = true }), CloseConnection},
		{"body ends with the connection", with(whole, func(o *Observation) { o.Unframed, o.CloseAnnounced = true, true }), CloseConnection},
		{"cancelled as it ended", with(whole, func(o *Observation) { o.CancelStarted = true }), CloseConnection},
		{"another's answer", with(whole, func(o *Observation) { o.Identified = false }), CloseConnection},
		{"permit refused", Observation{Outcome: NotSent}, KeepConnection},
		{"permit refused, cancelled", Observation{Outcome: NotSent, CancelStarted: true}, CloseConnection},
		{"overdue before a byte was written", Observation{Outcome: TimedOut}, KeepConnection},
		{"silent after the request", Observation{Outcome: TimedOut, Written: true}, CloseConnection},
		{"reset before an answer", Observation{Outcome: Broken, Written: true}, CloseConnection},
		{"in use", with(whole, func(o *Observation) { o.Outcome = Streaming }), CloseConnection},
	} {
		assert.Equal(t, Classify(tc.o).Reuse, tc.want, tc.name)
	}
}

// TestClassify_MutantsDetected: tables with one fault each break a rule.
func TestClassify_MutantsDetected(t *testing.T) {
	for name, fault := range map[string]func(Observation, *Disposition){
		"sent again on a reset after the first byte": func(o Observation, v *Disposition) { v.RetryAny = v.RetryAny || o.Outcome == Broken && !o.ReplyStarted },
		"sent again on silence": func(o Observation, v *Disposition) {
			v.RetryAny = v.RetryAny || o.Outcome == TimedOut && !o.ReplyStarted
		},
		"X-Not-Executed believed on half an answer": func(o Observation, v *Disposition) { v.RetryAny = v.RetryAny || o.Outcome == Broken && o.NotExecuted },
		"a bare 503 believed": func(o Observation, v *Disposition) {
			v.RetryAny = v.RetryAny || o.Outcome == Complete && o.Status == 503 && !o.ReplyStarted
		},
		"the id left out": func(o Observation, v *Disposition) {
			o.Identified = true
			*v = Classify(o)
		},
		"the stamp left out": func(o Observation, v *Disposition) {
			o.Signed = true
			*v = Classify(o)
		},
		"an unframed body believed": func(o Observation, v *Disposition) {
			o.Unframed = false
			*v = Classify(o)
		},
		"the body still due left out": func(o Observation, v *Disposition) {
			o.PartlyWritten = false
			*v = Classify(o)
		},
		"the count left out": func(o Observation, v *Disposition) {
			o.SurplusResponses = 0
			*v = Classify(o)
		},
		"bytes behind the answer left out": func(o Observation, v *Disposition) {
			o.UnreadBytes = false
			*v = Classify(o)
		},
		"the cancellation left out": func(o Observation, v *Disposition) {
			o.CancelStarted = false
			*v = Classify(o)
		},
		"a promise passed on": func(o Observation, v *Disposition) {
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
		assert.Assert(t, found != "", "%s is not found", name)
	}
}

func TestClassify_Rows(t *testing.T) {
	for _, tc := range []struct {
		o    Observation
		want string // ran, reply, whether again for idempotent ones and for others
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

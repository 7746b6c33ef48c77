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
	ends := []End{Whole, Broken, TimedOut, Streaming, Malformed, Abandoned, NotSent, NoRoom, ConnectFailed} // those with most to get wrong first
	for _, end := range ends {
		for _, status := range statuses {
			for surplus := -1; surplus <= 1; surplus++ {
				for bits := range 1 << flags {
					flag := func(i int) bool { return bits>>i&1 == 1 }
					n++
					if !visit(Observation{End: end, Status: status, Surplus: surplus, Written: flag(0), Identified: flag(1), Stamped: flag(2),
						NotExecuted: flag(3), Unframed: flag(4), Begun: flag(5), Turn: flag(6), BodyDue: flag(7), Closing: flag(8), Unread: flag(9),
						Cancelled: flag(10)}) {
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
func brokenRule(o Observation, v Verdict) string {
	success := o.Status >= 200 && o.Status < 300
	final := o.Status >= 200 && o.Status < 600
	// The answer is this request's and all of it is here: for a body without framing the endpoint announced the end, and the
	// error of the connection can't have been taken by a write.
	provenWhole := o.End == Whole && o.Identified && (!o.Unframed || o.Closing && !o.BodyDue)
	saysNotRun := provenWhole && final && !success && (o.NotExecuted || o.Status == 421)
	clean := !o.BodyDue && !o.Closing && o.Surplus == 0 && !o.Unread && !o.Cancelled
	for _, rule := range []struct {
		name   string
		broken bool
	}{
		{"TWICE: not idempotent, a byte written, no word that it has not run: sent again", v.Retry(false) && o.Written && !saysNotRun},
		{"TWICE: sent again though it has run", v.Retry(false) && v.Ran != No},
		{"what isn't idempotent may go again, what is may not", v.Retry(false) && !v.Retry(true)},
		{"sent again after a part of an answer has gone to the client", v.Retry(true) && o.Begun && o.Written && !saysNotRun},
		{"sent again after a whole success", v.Retry(true) && success && v.Reply == PassOn},
		{"sent again for a client that has left", v.Retry(true) && o.End == Abandoned},
		{"not run: no word of the endpoint's and a byte was written", v.Ran == No && o.Written && !saysNotRun},
		{"unsure though no byte was written", v.Ran != No && !o.Written},
		{"REFUSED: a promise for what may have run", v.Reply == Refuse && v.Ran != No},
		{"REFUSED: a promise of the endpoint's passed on", v.Reply == PassOn && (o.Status == 402 || o.Status == 408 || o.Status == 421 || o.Status == 429 || o.Status == 503)},
		{"LOST: 404 or 410 of an endpoint passed on for a turn", v.Reply == PassOn && o.Turn && (o.Status == 404 || o.Status == 410) && !o.NotExecuted},
		{"MIXED: a success without its stamp, of another request, or one not executed", v.Reply == PassOn && success && !(o.Stamped && o.Identified && !o.NotExecuted)},
		{"MIXED: passed on though it is another's", v.Reply == PassOn && !o.Identified},
		{"MIXED: passed on though not whole", v.Reply == PassOn && !provenWhole && !(o.End == Streaming && success)},
		{"MIXED: passed on though its end proves nothing", v.Reply == PassOn && o.Unframed && (!o.Closing || o.BodyDue)},
		{"MIXED: a success for a request that was not sent whole", v.Reply == PassOn && success && o.BodyDue},
		{"MIXED: passed on though it is no final answer", v.Reply == PassOn && !final},
		{"a failure as a stream", v.Reply == PassOn && !success && o.End != Whole},
		{"a second answer inside an answer", o.Begun && o.Written && v.Reply != BreakOff && v.Reply != PassOn && v.Reply != Nothing && !saysNotRun},
		{"broken off with nothing said", v.Reply == BreakOff && !o.Begun},
		{"an answer for a client that has left, or none for one that is there", (v.Reply == Nothing) != (o.End == Abandoned)},
		{"504 though the time was not over", v.Reply == GatewayTimeout && !(o.End == TimedOut && o.Written)},
		{"a connection reused that is not clean", v.Reuse == KeepConnection && !clean},
		{"a connection reused whose answer did not come whole", v.Reuse == KeepConnection && o.Written && !(provenWhole && !o.Unframed)},
		{"a connection reused that broke", v.Reuse == KeepConnection && (o.End == Broken || o.End == Malformed || o.End == Streaming || o.End == Abandoned || o.End == ConnectFailed)},
		{"a clean connection thrown away", v.Reuse == CloseConnection && clean && (o.Written && provenWhole && !o.Unframed || !o.Written && o.End == NotSent)},
	} {
		if rule.broken {
			return rule.name
		}
	}
	return ""
}

// TestTableKeepsTheRules holds the verdict on every observation against the rules.
func TestTableKeepsTheRules(t *testing.T) {
	broken := map[string]bool{}
	n := observations(func(o Observation) bool {
		v := Classify(o)
		if rule := brokenRule(o, v); rule != "" && !broken[rule] {
			broken[rule] = true
			t.Errorf("%s: %v %+v -> %v %v %v %+v", rule, o.End, o, v.Ran, v.Reply, v.Reuse, v)
		}
		return true
	})
	t.Logf("%d observations", n)
}

// TestTableHasNoHoles: each rule's verdicts occur, so that the rules above do not hold for want of cases.
func TestTableHasNoHoles(t *testing.T) {
	replies, reuses, rans := map[Reply]int{}, map[Reuse]int{}, map[Ran]int{}
	once := 0
	observations(func(o Observation) bool {
		v := Classify(o)
		replies[v.Reply]++
		reuses[v.Reuse]++
		rans[v.Ran]++
		if v.Once && o.Written {
			once++
		}
		return true
	})
	assert.Equal(t, len(replies), 6)
	assert.Equal(t, len(reuses), 2)
	assert.Equal(t, len(rans), 3)
	assert.Assert(t, once > 0)
}

// TestReuseRows spells out the connection's part of the table.
func TestReuseRows(t *testing.T) {
	whole := Observation{End: Whole, Written: true, Status: 200, Stamped: true, Identified: true}
	with := func(o Observation, change func(*Observation)) Observation { change(&o); return o }
	for _, tc := range []struct {
		name string
		o    Observation
		want Reuse
	}{
		{"one request, one answer", whole, KeepConnection},
		{"a failure, whole", with(whole, func(o *Observation) { o.Status, o.Stamped = 500, false }), KeepConnection},
		{"rejected, whole", with(whole, func(o *Observation) { o.Status, o.NotExecuted = 503, true }), KeepConnection},
		{"an answer more than requests", with(whole, func(o *Observation) { o.Surplus = 1 }), CloseConnection},
		{"a request more than answers", with(whole, func(o *Observation) { o.Surplus = -1 }), CloseConnection},
		{"bytes behind the answer", with(whole, func(o *Observation) { o.Unread = true }), CloseConnection},
		{"early answer, body still due", with(whole, func(o *Observation) { o.BodyDue = true }), CloseConnection},
		{"the endpoint closes", with(whole, func(o *Observation) { o.Closing = true }), CloseConnection},
		{"body ends with the connection", with(whole, func(o *Observation) { o.Unframed, o.Closing = true, true }), CloseConnection},
		{"cancelled as it ended", with(whole, func(o *Observation) { o.Cancelled = true }), CloseConnection},
		{"another's answer", with(whole, func(o *Observation) { o.Identified = false }), CloseConnection},
		{"permit refused", Observation{End: NotSent}, KeepConnection},
		{"permit refused, cancelled", Observation{End: NotSent, Cancelled: true}, CloseConnection},
		{"overdue before a byte was written", Observation{End: TimedOut}, KeepConnection},
		{"silent after the request", Observation{End: TimedOut, Written: true}, CloseConnection},
		{"reset before an answer", Observation{End: Broken, Written: true}, CloseConnection},
		{"in use", with(whole, func(o *Observation) { o.End = Streaming }), CloseConnection},
	} {
		assert.Equal(t, Classify(tc.o).Reuse, tc.want, tc.name)
	}
}

// TestPlantedTableFaultsAreFound: tables with one fault each break a rule.
func TestPlantedTableFaultsAreFound(t *testing.T) {
	for name, fault := range map[string]func(Observation, *Verdict){
		"sent again on a reset after the first byte": func(o Observation, v *Verdict) { v.Once = v.Once || o.End == Broken && !o.Begun },
		"sent again on silence":                      func(o Observation, v *Verdict) { v.Once = v.Once || o.End == TimedOut && !o.Begun },
		"X-Not-Executed believed on half an answer":  func(o Observation, v *Verdict) { v.Once = v.Once || o.End == Broken && o.NotExecuted },
		"a bare 503 believed":                        func(o Observation, v *Verdict) { v.Once = v.Once || o.End == Whole && o.Status == 503 && !o.Begun },
		"the id left out": func(o Observation, v *Verdict) {
			o.Identified = true
			*v = Classify(o)
		},
		"the stamp left out": func(o Observation, v *Verdict) {
			o.Stamped = true
			*v = Classify(o)
		},
		"an unframed body believed": func(o Observation, v *Verdict) {
			o.Unframed = false
			*v = Classify(o)
		},
		"the body still due left out": func(o Observation, v *Verdict) {
			o.BodyDue = false
			*v = Classify(o)
		},
		"the count left out": func(o Observation, v *Verdict) {
			o.Surplus = 0
			*v = Classify(o)
		},
		"bytes behind the answer left out": func(o Observation, v *Verdict) {
			o.Unread = false
			*v = Classify(o)
		},
		"the cancellation left out": func(o Observation, v *Verdict) {
			o.Cancelled = false
			*v = Classify(o)
		},
		"a promise passed on": func(o Observation, v *Verdict) {
			if o.End == Whole && o.Status == 429 {
				v.Reply = PassOn
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

func TestRows(t *testing.T) {
	for _, tc := range []struct {
		o    Observation
		want string // ran, reply, whether again for idempotent ones and for others
	}{
		{Observation{End: NotSent}, "no refuse true true"},
		{Observation{End: NoRoom}, "no refuse true true"},
		{Observation{End: ConnectFailed}, "no refuse true true"},
		{Observation{End: Broken}, "no refuse true true"},
		{Observation{End: TimedOut}, "no refuse true true"},
		{Observation{End: Abandoned}, "no nothing false false"},
		{Observation{End: Abandoned, Written: true}, "unknown nothing false false"},
		{Observation{End: Broken, Written: true}, "unknown bad_gateway true false"},
		{Observation{End: Broken, Written: true, Status: 503, NotExecuted: true}, "unknown bad_gateway true false"},
		{Observation{End: Broken, Written: true, Status: 200, Stamped: true}, "yes bad_gateway true false"},
		{Observation{End: Broken, Written: true, Status: 200, Stamped: true, Begun: true}, "yes break_off false false"},
		{Observation{End: Malformed, Written: true}, "unknown bad_gateway true false"},
		{Observation{End: TimedOut, Written: true}, "unknown gateway_timeout true false"},
		{Observation{End: TimedOut, Written: true, Status: 200, Stamped: true, Begun: true}, "yes break_off false false"},
		{Observation{End: Streaming, Written: true, Status: 200, Stamped: true}, "yes pass_on false false"},
		{Observation{End: Whole, Written: true, Status: 200, Stamped: true}, "yes pass_on false false"},
		{Observation{End: Whole, Written: true, Status: 200, Stamped: true, Begun: true}, "yes pass_on false false"},
		{Observation{End: Whole, Written: true, Status: 200}, "unknown bad_gateway true false"},
		{Observation{End: Whole, Written: true, Status: 200, Stamped: true, NotExecuted: true}, "unknown bad_gateway true false"},
		{Observation{End: Whole, Written: true, Status: 503, NotExecuted: true}, "no refuse true true"},
		{Observation{End: Whole, Written: true, Status: 429, NotExecuted: true}, "no refuse true true"},
		{Observation{End: Whole, Written: true, Status: 421, NotExecuted: true}, "no refuse true true"},
		{Observation{End: Whole, Written: true, Status: 421}, "no refuse true true"},
		{Observation{End: Whole, Written: true, Status: 400, NotExecuted: true}, "no pass_on false false"},
		{Observation{End: Whole, Written: true, Status: 400}, "yes pass_on false false"},
		{Observation{End: Whole, Written: true, Status: 403}, "yes pass_on true false"},
		{Observation{End: Whole, Written: true, Status: 404}, "yes pass_on false false"},
		{Observation{End: Whole, Written: true, Status: 404, Turn: true}, "unknown bad_gateway true false"},
		{Observation{End: Whole, Written: true, Status: 402}, "unknown bad_gateway true false"},
		{Observation{End: Whole, Written: true, Status: 408}, "unknown bad_gateway true false"},
		{Observation{End: Whole, Written: true, Status: 429}, "unknown bad_gateway true false"},
		{Observation{End: Whole, Written: true, Status: 503}, "unknown bad_gateway true false"},
		{Observation{End: Whole, Written: true, Status: 500}, "yes pass_on true false"},
		{Observation{End: Whole, Written: true, Status: 504}, "yes pass_on true false"},
	} {
		tc.o.Identified = tc.o.Status != 0
		v := Classify(tc.o)
		assert.Equal(t, fmt.Sprint(v.Ran, v.Reply, v.Retry(true), v.Retry(false)), tc.want, "%v %+v", tc.o.End, tc.o)
	}
}

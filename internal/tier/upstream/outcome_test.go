package upstream

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// TestWholeTable walks every row there is and holds each against the promises.
func TestWholeTable(t *testing.T) {
	statuses := []int{0, 100, 200, 201, 204, 301, 400, 401, 402, 403, 404, 408, 409, 410, 413, 421, 422, 429, 431, 500, 501, 502, 503, 504, 599, 600}
	bools := []bool{false, true}
	rows := 0
	for end := NotSent; end <= Abandoned; end++ {
		for _, status := range statuses {
			for _, written := range bools {
				for _, stamped := range bools {
					for _, notExecuted := range bools {
						for _, begun := range bools {
							for _, turn := range bools {
								o := Observation{end, written, status, stamped, notExecuted, begun, turn}
								row(t, o, Classify(o))
								rows++
							}
						}
					}
				}
			}
		}
	}
	assert.Equal(t, rows, 9*len(statuses)*32)
}

func row(t *testing.T, o Observation, v Verdict) {
	t.Helper()
	check := func(ok bool, rule string) {
		t.Helper()
		if !ok {
			t.Errorf("%s: %v %+v -> %v %v %+v", rule, o.End, o, v.Ran, v.Reply, v)
		}
	}
	whole := o.End == Whole
	success := o.Status/100 == 2
	saysNo := whole && !success && o.Status >= 200 && o.Status <= 599 && (o.NotExecuted || o.Status == 421)

	// TWICE: only what surely hasn't run goes out again unless it may run twice.
	check(!v.Once || v.Ran == No, "once")
	check(!v.Once || v.Again, "once without again")
	check(!(v.Again && o.Begun && o.Written), "again after the client has heard a part")
	check(v.Ran != No || !o.Written || saysNo, "no needs a word of the endpoint's")
	check(o.Written || v.Ran == No, "nothing was written")
	// REFUSED: a promise needs that it hasn't run.
	check(v.Reply != Refuse || v.Ran == No, "refusal of what may have run")
	if v.Reply == PassOn {
		check(v.Ran != Unknown && (whole || o.End == Streaming), "passed on what isn't sure")
		switch o.Status {
		case 402, 408, 421, 429, 503:
			check(false, "passed on as a promise")
		case 404, 410:
			check(!o.Turn, "LOST")
		}
		// MIXED
		check(!success || o.Stamped && !o.NotExecuted, "success without its stamp")
		check(success || whole, "failure not whole")
	}
	check(v.Reply != BreakOff || o.Begun, "break off with nothing said")
	check(!o.Begun || !o.Written || v.Reply == BreakOff || v.Reply == PassOn || v.Reply == Nothing, "another answer inside an answer")
	check((v.Reply == Nothing) == (o.End == Abandoned), "nobody there")
	check(v.Reply != GatewayTimeout || o.End == TimedOut && o.Written, "504 in time")
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
		v := Classify(tc.o)
		assert.Equal(t, fmt.Sprint(v.Ran, v.Reply, v.Retry(true), v.Retry(false)), tc.want, "%v %+v", tc.o.End, tc.o)
	}
}

package controlplane

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// outcome is what an operator knows of an order in the end.
type outcome string

const (
	confirmedOutcome outcome = "confirmed" // 200
	refusedOutcome   outcome = "refused"   // 4xx
	unknownOutcome   outcome = "unknown"   // no clear answer
)

// sentOrder is one order, from its first try to the last answer to it. It is known by its body.
type sentOrder struct {
	body           string
	on             string // the body that it builds on, as its operator knows it
	base, revision int64
	outcome        outcome
	begun, ended   time.Duration
}

// readBack is one answer to Configuration.Describe, by its body.
type readBack struct {
	body         string // empty: there is none
	begun, ended time.Duration
}

// repeated is an order sent once more, when it had its outcome already.
type repeated struct {
	order   *sentOrder
	outcome outcome
	calm    bool // nothing was wrong with the machines for long
}

// history is all that operators saw. Its check knows nothing of the code: only what operators may expect.
type history struct {
	orders  []*sentOrder
	reads   []readBack
	repeats []repeated
	last    string // body read back at the end, when nobody sends any more
}

// check follows the configurations back from the one read last, each by the base of its order: that is all that was ever
// taken. It gives an error for each rule that does not hold.
func (h history) check() (broken []error) {
	fail := func(format string, args ...any) {
		for i := range args {
			if body, is := args[i].(string); is {
				args[i] = label(body)
			}
		}
		broken = append(broken, fmt.Errorf(format, args...))
	}
	byBody := map[string]*sentOrder{}
	for _, o := range h.orders {
		byBody[o.body] = o
	}
	place := map[string]int{"": 0} // of what was taken, from the newest on below 0
	at := h.last
	for at != "" {
		o := byBody[at]
		if o == nil {
			fail("%q was read back, and nobody sent it", at)
			break
		}
		if _, again := place[at]; again {
			break
		}
		place[at] = -len(place)
		at = o.on
	}
	onBase := map[int64]string{}
	for _, o := range h.orders {
		_, taken := place[o.body]
		switch o.outcome {
		case confirmedOutcome:
			if !taken {
				fail("%q was confirmed and is lost", o.body)
			}
			if other, twice := onBase[o.base]; twice {
				fail("%q and %q were both confirmed on revision %d", o.body, other, o.base)
			}
			onBase[o.base] = o.body
		case refusedOutcome:
			if taken {
				fail("%q was taken and refused", o.body)
			}
		}
	}
	for _, r := range h.reads {
		position, taken := place[r.body]
		if r.body == "" {
			position = -len(place)
		} else if !taken {
			fail("%q was read back and is lost", r.body)
			continue
		}
		for _, o := range h.orders {
			if at, kept := place[o.body]; kept && o.outcome == confirmedOutcome && o.ended < r.begun && at > position {
				fail("%q was read back after %q was confirmed", r.body, o.body)
			}
		}
		for _, earlier := range h.reads {
			if at, kept := place[earlier.body]; kept && earlier.body != "" && earlier.ended < r.begun && at > position {
				fail("%q was read back after %q had been", r.body, earlier.body)
			}
		}
	}
	for _, again := range h.repeats {
		_, taken := place[again.order.body]
		switch {
		case again.outcome == refusedOutcome && taken:
			fail("%q was taken, and refused when it was sent again", again.order.body)
		case again.outcome == confirmedOutcome && !taken:
			fail("%q was acknowledged when it was sent again, and is not there", again.order.body)
		case again.outcome != confirmedOutcome && taken && again.calm:
			fail("%q was taken, and not acknowledged again in calm: %s", again.order.body, again.outcome)
		}
	}
	return broken
}

// label is a body's service, which names the operator and its order; or the whole, where it has none.
func label(body string) string {
	_, rest, found := strings.Cut(body, `"service_name":"`)
	if name, _, whole := strings.Cut(rest, `"`); found && whole {
		return name
	}
	return body
}

// counts tell what a history holds.
type counts struct{ confirmed, refused, unknown, reads, repeats, repeatsOpen int }

func (h history) count() (n counts) {
	for _, o := range h.orders {
		switch o.outcome {
		case confirmedOutcome:
			n.confirmed++
		case refusedOutcome:
			n.refused++
		default:
			n.unknown++
		}
	}
	n.reads = len(h.reads)
	for _, again := range h.repeats {
		n.repeats++
		if again.outcome == unknownOutcome {
			n.repeatsOpen++
		}
	}
	return n
}

// TestHistoryCheck shows that the check finds what it is there for.
func TestHistoryCheck(t *testing.T) {
	second := func(n int) time.Duration { return time.Duration(n) * time.Second }
	a := &sentOrder{"a", "", 0, 3, confirmedOutcome, second(1), second(2)}
	b := &sentOrder{"b", "a", 3, 5, unknownOutcome, second(3), second(4)}
	c := &sentOrder{"c", "b", 5, 6, confirmedOutcome, second(5), second(6)}
	x := &sentOrder{"x", "a", 3, 5, refusedOutcome, second(3), second(4)}
	all := []*sentOrder{a, b, x, c}
	for name, test := range map[string]struct {
		history history
		broken  int
	}{
		"right":                 {history{orders: all, last: "c", reads: []readBack{{"", 0, second(3)}, {"a", second(2), second(3)}, {"b", second(4), second(5)}}}, 0},
		"a confirmed is lost":   {history{orders: []*sentOrder{a, b, c}, last: "b"}, 1},
		"a taken is refused":    {history{orders: []*sentOrder{a, {"b", "a", 3, 5, refusedOutcome, second(3), second(4)}, c}, last: "c"}, 1},
		"two on one base":       {history{orders: []*sentOrder{a, b, c, {"y", "a", 3, 7, confirmedOutcome, second(3), second(4)}}, last: "c"}, 1},
		"read back what is old": {history{orders: all, last: "c", reads: []readBack{{"a", second(7), second(8)}}}, 1},
		"reads go back":         {history{orders: all, last: "c", reads: []readBack{{"b", second(3), second(4)}, {"a", second(5), second(6)}}}, 1},
		"read back, then lost":  {history{orders: all, last: "c", reads: []readBack{{"x", second(3), second(4)}}}, 1},
		"a repeat is refused":   {history{orders: all, last: "c", repeats: []repeated{{b, refusedOutcome, false}}}, 1},
		"a repeat is left open": {history{orders: all, last: "c", repeats: []repeated{{b, unknownOutcome, false}}}, 0},
		"and so it is in calm":  {history{orders: all, last: "c", repeats: []repeated{{b, unknownOutcome, true}}}, 1},
		"a repeat is made up":   {history{orders: all, last: "c", repeats: []repeated{{x, confirmedOutcome, false}}}, 1},
		"nobody sent it":        {history{orders: all, last: "z"}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			broken := test.history.check()
			assert.Equal(t, len(broken), test.broken, "%v", broken)
		})
	}
}

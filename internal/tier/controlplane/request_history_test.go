package controlplane

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// outcome is the result of a change as its operator sees it.
type outcome string

const (
	confirmedOutcome outcome = "confirmed" // 200
	rejectedOutcome  outcome = "rejected"  // 4xx
	unknownOutcome   outcome = "unknown"   // no final response
)

// sentChange is one change, from its first attempt to its last answer. Its body identifies it.
type sentChange struct {
	body           string
	baseBody       string // the body that the change builds on, as its operator read it
	base, revision int64
	outcome        outcome
	begun, ended   time.Duration
}

// observedRead is one answer to Configuration.Describe, by its body.
type observedRead struct {
	body         string // empty: there is no configuration
	begun, ended time.Duration
}

// repeatedChange is a change that was sent again after its outcome.
type repeatedChange struct {
	change        *sentChange
	outcome       outcome
	withoutFaults bool // no machine had a fault for a long time before
}

// requestHistory is all that operators observed. Its check uses only the guarantees to operators, nothing of the implementation.
type requestHistory struct {
	changes []*sentChange
	reads   []observedRead
	repeats []repeatedChange
	last    string // body read back at the end, after all traffic
}

// check follows the configurations back from the one read last, each by the base of its change: that chain is all that was ever
// accepted. It returns an error for each guarantee that is violated.
func (h requestHistory) check() (broken []error) {
	fail := func(format string, args ...any) {
		for i := range args {
			if body, ok := args[i].(string); ok {
				args[i] = label(body)
			}
		}
		broken = append(broken, fmt.Errorf(format, args...))
	}
	byBody := map[string]*sentChange{}
	for _, o := range h.changes {
		byBody[o.body] = o
	}
	positions := map[string]int{"": 0} // of the accepted bodies: -1 for the newest, and less for older ones
	at := h.last
	for at != "" {
		o := byBody[at]
		if o == nil {
			fail("%q was read back, but was never sent", at)
			break
		}
		if _, again := positions[at]; again {
			break
		}
		positions[at] = -len(positions)
		at = o.baseBody
	}
	onBase := map[int64]string{}
	for _, o := range h.changes {
		_, accepted := positions[o.body]
		switch o.outcome {
		case confirmedOutcome:
			if !accepted {
				fail("%q was confirmed and is lost", o.body)
			}
			if other, twice := onBase[o.base]; twice {
				fail("%q and %q were both confirmed on revision %d", o.body, other, o.base)
			}
			onBase[o.base] = o.body
		case rejectedOutcome:
			if accepted {
				fail("%q was accepted and rejected", o.body)
			}
		case unknownOutcome: // it may be in force or not
		}
	}
	for _, r := range h.reads {
		position, accepted := positions[r.body]
		if r.body == "" {
			position = -len(positions)
		} else if !accepted {
			fail("%q was read back and is lost", r.body)
			continue
		}
		for _, o := range h.changes {
			if at, accepted := positions[o.body]; accepted && o.outcome == confirmedOutcome && o.ended < r.begun && at > position {
				fail("%q was read back after %q was confirmed", r.body, o.body)
			}
		}
		for _, earlier := range h.reads {
			if at, accepted := positions[earlier.body]; accepted && earlier.body != "" && earlier.ended < r.begun && at > position {
				fail("%q was read back after the newer %q had been", r.body, earlier.body)
			}
		}
	}
	for _, again := range h.repeats {
		_, accepted := positions[again.change.body]
		switch {
		case again.outcome == rejectedOutcome && accepted:
			fail("%q was accepted, and rejected when it was sent again", again.change.body)
		case again.outcome == confirmedOutcome && !accepted:
			fail("%q was acknowledged when it was sent again, but was never accepted", again.change.body)
		case again.outcome != confirmedOutcome && accepted && again.withoutFaults:
			fail("%q was accepted, and not acknowledged again without faults: %s", again.change.body, again.outcome)
		}
	}
	return broken
}

// label returns the service of a body, which names the operator and its change, or the whole body if it has no service.
func label(body string) string {
	_, rest, found := strings.Cut(body, `"service_name":"`)
	if name, _, closed := strings.Cut(rest, `"`); found && closed {
		return name
	}
	return body
}

// requestCounts are the numbers of entries of a history.
type requestCounts struct{ confirmed, rejected, unknown, reads, repeats, repeatsUnknown int }

func (h requestHistory) count() (n requestCounts) {
	for _, o := range h.changes {
		switch o.outcome {
		case confirmedOutcome:
			n.confirmed++
		case rejectedOutcome:
			n.rejected++
		default:
			n.unknown++
		}
	}
	n.reads = len(h.reads)
	for _, again := range h.repeats {
		n.repeats++
		if again.outcome == unknownOutcome {
			n.repeatsUnknown++
		}
	}
	return n
}

// TestRequestHistory_Check checks that the check of a history finds each violation.
func TestRequestHistory_Check(t *testing.T) {
	second := func(n int) time.Duration { return time.Duration(n) * time.Second }
	a := &sentChange{"a", "", 0, 3, confirmedOutcome, second(1), second(2)}
	b := &sentChange{"b", "a", 3, 5, unknownOutcome, second(3), second(4)}
	c := &sentChange{"c", "b", 5, 6, confirmedOutcome, second(5), second(6)}
	x := &sentChange{"x", "a", 3, 5, rejectedOutcome, second(3), second(4)}
	all := []*sentChange{a, b, x, c}
	for name, test := range map[string]struct {
		history requestHistory
		broken  int
	}{
		"right":                       {requestHistory{changes: all, last: "c", reads: []observedRead{{"", 0, second(3)}, {"a", second(2), second(3)}, {"b", second(4), second(5)}}}, 0},
		"a confirmed change is lost":  {requestHistory{changes: []*sentChange{a, b, c}, last: "b"}, 1},
		"an accepted one is rejected": {requestHistory{changes: []*sentChange{a, {"b", "a", 3, 5, rejectedOutcome, second(3), second(4)}, c}, last: "c"}, 1},
		"two on one base":             {requestHistory{changes: []*sentChange{a, b, c, {"y", "a", 3, 7, confirmedOutcome, second(3), second(4)}}, last: "c"}, 1},
		"a read is stale":             {requestHistory{changes: all, last: "c", reads: []observedRead{{"a", second(7), second(8)}}}, 1},
		"reads are not monotonic":     {requestHistory{changes: all, last: "c", reads: []observedRead{{"b", second(3), second(4)}, {"a", second(5), second(6)}}}, 1},
		"read back, then lost":        {requestHistory{changes: all, last: "c", reads: []observedRead{{"x", second(3), second(4)}}}, 1},
		"a repeat is rejected":        {requestHistory{changes: all, last: "c", repeats: []repeatedChange{{b, rejectedOutcome, false}}}, 1},
		"a repeat is left open":       {requestHistory{changes: all, last: "c", repeats: []repeatedChange{{b, unknownOutcome, false}}}, 0},
		"open without faults":         {requestHistory{changes: all, last: "c", repeats: []repeatedChange{{b, unknownOutcome, true}}}, 1},
		"a rejected one acknowledged": {requestHistory{changes: all, last: "c", repeats: []repeatedChange{{x, confirmedOutcome, false}}}, 1},
		"read back, but never sent":   {requestHistory{changes: all, last: "z"}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			broken := test.history.check()
			assert.Equal(t, len(broken), test.broken, "%v", broken)
		})
	}
}

package undelivered

import (
	"strings"
	"testing"
	"time"
)

var outcomes = []Outcome{Unknown, Errored, Rejected, TimedOut, ConnectFailed, Reset, Cancelled, NotSent}

const second = int64(time.Second)

// histories calls f with every history of up to three attempts, a second apart, from a time.
func histories(from int64, f func([]Attempt)) {
	var all func(so []Attempt)
	all = func(so []Attempt) {
		f(so)
		if len(so) == 3 {
			return
		}
		for _, o := range outcomes {
			all(append(so[:len(so):len(so)], Attempt{At: from + int64(len(so))*second, Outcome: o}))
		}
	}
	all(nil)
}

// Every class, every history of up to three attempts, key windows and ages on both sides of them: held against the
// rule's own words, written down another way.
func TestMayResend_Exhaustively(t *testing.T) {
	const from = 1000 * second
	seen := map[Permission]int{}
	for _, effect := range []Effect{Safe, Keyed, Unsafe, "new"} {
		for _, ordered := range []bool{false, true} {
			for _, key := range []string{"", "k"} {
				for _, window := range []time.Duration{0, KeyExpiryMargin, 7500 * time.Millisecond, time.Hour} {
					histories(from, func(tries []Attempt) {
						for _, age := range []int64{-5 * second, -1, 0, second, 3 * second, 4*second + second/2 - 1, 4*second + second/2, 3600*second - int64(KeyExpiryMargin) - 1, 3600*second - int64(KeyExpiryMargin), 7200 * second} {
							h := History{Ending: GivenUp, EndedAt: from, Effect: effect, Ordered: ordered, Key: key, Attempts: tries}
							got, why := MayResend(h, window, from+age)
							seen[got]++
							mayHaveRun, since := false, int64(0)
							for i, a := range tries {
								if !strings.Contains("refused connect failed not sent", string(a.Outcome)) && !mayHaveRun {
									mayHaveRun, since = true, age-int64(i)*second
								}
							}
							want := Allowed
							if mayHaveRun {
								remembered := effect == Keyed && key != "" && age >= 0 && since >= 0 && since+int64(KeyExpiryMargin) < int64(window)
								if effect != Safe && !remembered {
									want = Forbidden
								}
							}
							if ordered {
								want = Forbidden
							}
							if got != want || (why == "") != (got == Allowed) {
								t.Fatalf("%s, ordered %v, key %q, window %v, age %v, %v: %d %q, want %d", effect, ordered, key, window, time.Duration(age), tries, got, why, want)
							}
						}
					})
				}
			}
		}
	}
	if seen[Allowed] == 0 || seen[Forbidden] == 0 {
		t.Error(seen)
	}
}

// Each history has one reason, of the list, and each reason a history.
func TestParseReason(t *testing.T) {
	seen := map[Reason]bool{}
	for _, how := range []string{GivenUp, HandedBack} {
		for _, effect := range []Effect{Safe, Keyed, Unsafe} {
			for _, ended := range []int64{5 * second, 30 * second} {
				histories(0, func(tries []Attempt) {
					r := ReasonOf(History{Ending: how, EndedAt: ended, Deadline: 28 * second, Effect: effect, Attempts: tries})
					if _, err := ParseReason(string(r)); err != nil {
						t.Fatal(err)
					}
					seen[r] = true
				})
			}
		}
	}
	for _, r := range Reasons() {
		if !seen[r] {
			t.Errorf("%s is the reason of nothing", r)
		}
	}
	if _, err := ParseReason("bored"); err == nil || !strings.Contains(err.Error(), "never-sent") {
		t.Error(err)
	}
}

func TestReasonOf(t *testing.T) {
	tries := func(o ...Outcome) []Attempt {
		var all []Attempt
		for _, x := range o {
			all = append(all, Attempt{Outcome: x})
		}
		return all
	}
	for _, c := range []struct {
		h    History
		want Reason
	}{
		{History{Ending: HandedBack, Attempts: tries(Rejected)}, ReasonHandedBack},
		{History{Ending: GivenUp, EndedAt: 1, Deadline: 5}, ReasonNeverSent},
		{History{Ending: GivenUp, EndedAt: 5, Deadline: 5}, ReasonExpired},
		{History{Ending: GivenUp, EndedAt: 1, Deadline: 5, Effect: Unsafe, Attempts: tries(Reset)}, ReasonUnsafeRetry},
		{History{Ending: GivenUp, EndedAt: 5, Deadline: 5, Effect: Unsafe, Attempts: tries(Reset)}, ReasonReset},
		{History{Ending: GivenUp, EndedAt: 1, Deadline: 5, Effect: Safe, Attempts: tries(Errored)}, ReasonErrored},
		{History{Ending: GivenUp, EndedAt: 5, Deadline: 5, Effect: Keyed, Attempts: tries(Rejected, Rejected)}, ReasonRejected},
		{History{Ending: GivenUp, EndedAt: 5, Deadline: 5, Effect: Keyed, Attempts: tries(Rejected, ConnectFailed)}, ReasonConnectFailed},
		{History{Ending: GivenUp, EndedAt: 5, Deadline: 5, Effect: Keyed, Attempts: tries(TimedOut, ConnectFailed)}, ReasonTimedOut},
		{History{Ending: GivenUp, EndedAt: 5, Deadline: 5, Effect: Keyed, Attempts: tries(Errored, Unknown)}, ReasonUnknown},
		{History{Ending: GivenUp, EndedAt: 5, Deadline: 5, Effect: Safe, Attempts: tries(Cancelled)}, ReasonTimedOut},
		{History{Ending: GivenUp, EndedAt: 5, Deadline: 5, Effect: Safe, Attempts: tries(NotSent)}, ReasonRejected},
	} {
		if got := ReasonOf(c.h); got != c.want {
			t.Errorf("%+v: %s, want %s", c.h, got, c.want)
		}
	}
}

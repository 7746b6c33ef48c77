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

// MayResend agrees with a second implementation of the rule for every effect, every history of up to three attempts, and ages on both
// sides of the key windows.
func TestMayResend_Exhaustively(t *testing.T) {
	const from = 1000 * second
	seen := map[Permission]int{}
	for _, effect := range []Effect{Safe, Keyed, Unsafe, "new"} {
		for _, ordered := range []bool{false, true} {
			for _, key := range []string{"", "k"} {
				for _, window := range []time.Duration{0, KeyExpiryMargin, 7500 * time.Millisecond, time.Hour} {
					histories(from, func(attempts []Attempt) {
						for _, age := range []int64{-5 * second, -1, 0, second, 3 * second, 4*second + second/2 - 1, 4*second + second/2, 3600*second - int64(KeyExpiryMargin) - 1, 3600*second - int64(KeyExpiryMargin), 7200 * second} {
							h := History{Ending: GivenUp, EndedAt: from, Effect: effect, Ordered: ordered, Key: key, Attempts: attempts}
							got, why := MayResend(h, window, from+age)
							seen[got]++
							mayHaveRun, since := false, int64(0)
							for i, a := range attempts {
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
								t.Fatalf("%s, ordered %v, key %q, window %v, age %v, %v: %d %q, want %d", effect, ordered, key, window, time.Duration(age), attempts, got, why, want)
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

// Each history has a reason that ParseReason accepts, and each reason has a history.
func TestParseReason(t *testing.T) {
	seen := map[Reason]bool{}
	for _, ending := range []string{GivenUp, HandedBack} {
		for _, effect := range []Effect{Safe, Keyed, Unsafe} {
			for _, ended := range []int64{5 * second, 30 * second} {
				histories(0, func(attempts []Attempt) {
					r := ReasonOf(History{Ending: ending, EndedAt: ended, Deadline: 28 * second, Effect: effect, Attempts: attempts})
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
			t.Errorf("no history has the reason %s", r)
		}
	}
	if _, err := ParseReason("bored"); err == nil || !strings.Contains(err.Error(), "never-sent") {
		t.Error(err)
	}
}

func TestReasonOf(t *testing.T) {
	attempts := func(o ...Outcome) []Attempt {
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
		{History{Ending: HandedBack, Attempts: attempts(Rejected)}, ReasonHandedBack},
		{History{Ending: GivenUp, EndedAt: 1, Deadline: 5}, ReasonNeverSent},
		{History{Ending: GivenUp, EndedAt: 5, Deadline: 5}, ReasonExpired},
		{History{Ending: GivenUp, EndedAt: 1, Deadline: 5, Effect: Unsafe, Attempts: attempts(Reset)}, ReasonUnsafeRetry},
		{History{Ending: GivenUp, EndedAt: 5, Deadline: 5, Effect: Unsafe, Attempts: attempts(Reset)}, ReasonReset},
		{History{Ending: GivenUp, EndedAt: 1, Deadline: 5, Effect: Safe, Attempts: attempts(Errored)}, ReasonErrored},
		{History{Ending: GivenUp, EndedAt: 5, Deadline: 5, Effect: Keyed, Attempts: attempts(Rejected, Rejected)}, ReasonRejected},
		{History{Ending: GivenUp, EndedAt: 5, Deadline: 5, Effect: Keyed, Attempts: attempts(Rejected, ConnectFailed)}, ReasonConnectFailed},
		{History{Ending: GivenUp, EndedAt: 5, Deadline: 5, Effect: Keyed, Attempts: attempts(TimedOut, ConnectFailed)}, ReasonTimedOut},
		{History{Ending: GivenUp, EndedAt: 5, Deadline: 5, Effect: Keyed, Attempts: attempts(Errored, Unknown)}, ReasonUnknown},
		{History{Ending: GivenUp, EndedAt: 5, Deadline: 5, Effect: Safe, Attempts: attempts(Cancelled)}, ReasonTimedOut},
		{History{Ending: GivenUp, EndedAt: 5, Deadline: 5, Effect: Safe, Attempts: attempts(NotSent)}, ReasonRejected},
	} {
		if got := ReasonOf(c.h); got != c.want {
			t.Errorf("%+v: %s, want %s", c.h, got, c.want)
		}
	}
}

package policytest

import (
	"fmt"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"saffronyard.example/saffronyard/internal/faulttest/eventlog"
)

// Grace is the maximum delay between a call and the time that the event log records for it, caused by the kit itself.
const Grace = 100 * time.Millisecond

// Verdict is what the checker found.
type Verdict struct {
	Broken  []string
	Calls   int // number of checked calls
	Commits int
	Aborts  int
	Refused int
	Unknown int
	// Switches has, for each version after the first under which calls were made, the gap between the last call under the previous
	// version and the first call under the new version.
	Switches []time.Duration
	// CommitTimes has, for each committed change, the time from the proposal until the version was first seen in force at a sender.
	CommitTimes []time.Duration
}

// Check checks the rules for a day: no sender calls under a version after another sender was seen at the next version, each change
// takes effect on all senders or on none, and the results that operators received are linearizable.
func Check(r *Result) Verdict {
	var v Verdict
	if len(slices.Compact(slices.Clone(r.FinalHistories))) > 1 {
		v.broken("senders report different policy histories: %q", r.FinalHistories)
	}
	last := uint64(0)
	for n := range r.Seen {
		last = max(last, n)
	}
	proposed := v.checkChanges(r)
	for n := uint64(1); n <= last; n++ {
		if _, ok := proposed[n]; !ok {
			v.broken("version %d is in force, but was never proposed or was rejected", n)
		}
	}
	v.checkCalls(r, proposed, last)
	if ok := porcupine.CheckOperations(policyModel, operations(r.Changes)); !ok {
		v.broken("the results of the operators' commands are not linearizable: %+v", r.Changes)
	}
	return v
}

// broken records the violation of a rule.
func (v *Verdict) broken(format string, args ...any) {
	v.Broken = append(v.Broken, fmt.Sprintf(format, args...))
}

// checkChanges counts the changes by outcome and returns the earliest time at which each version can have been proposed.
func (v *Verdict) checkChanges(r *Result) (proposed map[uint64]time.Duration) {
	proposed = map[uint64]time.Duration{}
	for _, c := range r.Changes {
		switch {
		case !c.Known:
			v.Unknown++
		case c.Refused != "":
			v.Refused++
			continue
		case c.Aborted:
			v.Aborts++
			continue
		default:
			v.Commits++
			if c.Version != c.Base+1 {
				v.broken("a change based on version %d committed as version %d", c.Base, c.Version)
			}
			v.CommitTimes = append(v.CommitTimes, r.Seen[c.Version]-c.Asked)
		}
		if at, ok := proposed[c.Base+1]; !ok || c.Asked < at {
			proposed[c.Base+1] = c.Asked
		}
	}
	return proposed
}

// checkCalls goes through the calls in the order of their first bytes. A call to receiver d must have been started under a version
// that does not close this receiver, that was proposed by then, and that had not been seen replaced by then. Each version from the
// first on leaves exactly one receiver open.
func (v *Verdict) checkCalls(r *Result, proposed map[uint64]time.Duration, last uint64) {
	calls := slices.DeleteFunc(slices.Clone(r.Events), func(e eventlog.Event) bool { return e.Kind != eventlog.Call })
	slices.SortStableFunc(calls, func(a, b eventlog.Event) int { return int(a.First - b.First) })
	version, firstCall, previousCall := uint64(0), time.Duration(0), time.Duration(0)
	for _, e := range calls {
		t := time.Duration(e.First) * time.Microsecond
		v.Calls++
		allowed := func(n uint64) bool {
			if n > 0 && (uint64(e.Dest) == n%2 || t < proposed[n]) {
				return false
			}
			replaced, is := r.Seen[n+1]
			return !is || t <= replaced+Grace
		}
		next := version
		for next <= last && !allowed(next) {
			next++
		}
		switch {
		case next != version && version > 0 && t <= firstCall+Grace && allowed(version-1):
			// a call under the previous version that was recorded late, within Grace
		case next <= last && next > version:
			if version > 0 {
				v.Switches = append(v.Switches, t-previousCall)
			}
			version, firstCall = next, t
		case next > last:
			seen, is := r.Seen[version+1]
			v.broken("at %v %s called receiver %d, which no version in force allowed; current version %d (next version first seen at %v, seen: %v; first call under the current version at %v)", t, e.Sender, e.Dest, version, seen, is, firstCall)
		}
		previousCall = t
	}
}

// policyModel models the policy as operators see it: a version, which a change based on it increments.
var policyModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, _, output any) (bool, any) {
		s, c := state.(uint64), output.(Change)
		switch {
		case !c.Known: // unknown outcome: operations marks the change as known if a later version shows that it was committed
			return true, s
		case c.Refused != "" && c.InForce > 0:
			return s == c.InForce && s != c.Base, s
		case c.Refused != "", c.Aborted:
			return true, s
		}
		return s == c.Base && c.Version == c.Base+1, c.Version
	},
	Equal: func(a, b any) bool { return a == b },
}

// operations returns the commands with their start and end times. A change with unknown outcome counts as committed if a later
// version exists and no other change has committed its version.
func operations(changes []Change) []porcupine.Operation {
	committed := map[uint64]bool{}
	for _, c := range changes {
		if c.Known && c.Version > 0 {
			committed[c.Version] = true
		}
	}
	newest := uint64(0)
	for n := range committed {
		newest = max(newest, n)
	}
	var ops []porcupine.Operation
	for i, c := range changes {
		end := int64(c.Acknowledged)
		if !c.Known {
			end = int64(time.Hour)
			if n := c.Base + 1; n < newest && !committed[n] {
				committed[n], c.Known, c.Version = true, true, n
			}
		}
		ops = append(ops, porcupine.Operation{ClientId: i, Input: c.Base, Output: c, Call: int64(c.Asked), Return: end})
	}
	return ops
}

package policytest

import (
	"fmt"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"saffronyard.example/saffronyard/internal/faulttest/eventlog"
)

// Grace is how much later than it came a call may stand in the log: the kit's own lateness.
const Grace = 100 * time.Millisecond

// Verdict is what the checker found.
type Verdict struct {
	Broken  []string
	Calls   int // that were judged
	Commits int
	Aborts  int
	Refused int
	Unknown int
	// Switches is, for each version that calls came under, how long no touched call came anywhere between it and the one before.
	Switches []time.Duration
	// Takes is from the proposal to the first sender that has it in force.
	Takes []time.Duration
}

// Check judges a day: no call under a version after another sender was seen under the next one, every change everywhere or
// nowhere, and what operators were told fits one order of their commands.
func Check(r *Result) Verdict {
	var v Verdict
	if len(slices.Compact(slices.Clone(r.FinalHistories))) > 1 {
		v.broken("senders tell different pasts: %q", r.FinalHistories)
	}
	last := uint64(0)
	for n := range r.Seen {
		last = max(last, n)
	}
	proposed := v.checkChanges(r)
	for n := uint64(1); n <= last; n++ {
		if _, ok := proposed[n]; !ok {
			v.broken("version %d is in force, and nobody has proposed it, or it was refused", n)
		}
	}
	v.checkCalls(r, proposed, last)
	if ok := porcupine.CheckOperations(commands, operations(r.Changes)); !ok {
		v.broken("no order of the commands fits what operators were told: %+v", r.Changes)
	}
	return v
}

// broken records a rule that did not hold.
func (v *Verdict) broken(format string, args ...any) {
	v.Broken = append(v.Broken, fmt.Sprintf(format, args...))
}

// checkChanges counts the changes by their ends and returns the earliest time at which each version can have been proposed.
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
				v.broken("a change made from version %d made version %d", c.Base, c.Version)
			}
			v.Takes = append(v.Takes, r.Seen[c.Version]-c.Asked)
		}
		if at, ok := proposed[c.Base+1]; !ok || c.Asked < at {
			proposed[c.Base+1] = c.Asked
		}
	}
	return proposed
}

// checkCalls walks through the calls by the time of their first byte. A call for receiver d is begun under a version that leaves
// it open: one that was proposed by then, and was not seen to be replaced by then. From the first version on each leaves one open.
func (v *Verdict) checkCalls(r *Result, proposed map[uint64]time.Duration, last uint64) {
	calls := slices.DeleteFunc(slices.Clone(r.Events), func(e eventlog.Event) bool { return e.Kind != eventlog.Call })
	slices.SortStableFunc(calls, func(a, b eventlog.Event) int { return int(a.First - b.First) })
	version, begun, before := uint64(0), time.Duration(0), time.Duration(0)
	for _, e := range calls {
		t := time.Duration(e.First) * time.Microsecond
		v.Calls++
		fits := func(n uint64) bool {
			if n > 0 && (uint64(e.Dest) == n%2 || t < proposed[n]) {
				return false
			}
			replaced, is := r.Seen[n+1]
			return !is || t <= replaced+Grace
		}
		next := version
		for next <= last && !fits(next) {
			next++
		}
		switch {
		case next != version && version > 0 && t <= begun+Grace && fits(version-1):
			// written down a little late
		case next <= last && next > version:
			if version > 0 {
				v.Switches = append(v.Switches, t-before)
			}
			version, begun = next, t
		case next > last:
			seen, is := r.Seen[version+1]
			v.broken("at %v %s called receiver %d; version %d was in force by then (first seen at %v, %v; first called under at %v)", t, e.Sender, e.Dest, version, seen, is, begun)
		}
		before = t
	}
}

// commands is the policy as operators see it: a version that each change raises by one, if it was made from it.
var commands = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, _, output any) (bool, any) {
		s, c := state.(uint64), output.(Change)
		switch {
		case !c.Known: // it may have taken hold, or not: operations has both
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

// operations are the commands with the times at which they began and were known to be over. One of which nobody heard the end
// took hold if its version is there and no other has made it.
func operations(changes []Change) []porcupine.Operation {
	made := map[uint64]bool{}
	for _, c := range changes {
		if c.Known && c.Version > 0 {
			made[c.Version] = true
		}
	}
	top := uint64(0)
	for n := range made {
		top = max(top, n)
	}
	var ops []porcupine.Operation
	for i, c := range changes {
		end := int64(c.Acknowledged)
		if !c.Known {
			end = int64(time.Hour)
			if n := c.Base + 1; n < top && !made[n] {
				made[n], c.Known, c.Version = true, true, n
			}
		}
		ops = append(ops, porcupine.Operation{ClientId: i, Input: c.Base, Output: c, Call: int64(c.Asked), Return: end})
	}
	return ops
}

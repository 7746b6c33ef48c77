package work

import (
	"time"
)

// Schedule says when a timed job is due, and Missed what happens to scheduled times that were missed.
type (
	// Schedule is either an interval or a time of day.
	Schedule struct {
		Every  time.Duration // 0: at a time of day
		At     time.Duration // since midnight
		Zone   *time.Location
		Missed Missed
	}
	// Missed is the policy for scheduled times at which no process ran.
	Missed int
)

// The policies for missed times: one run, one for each, or none.
const (
	MissedOnce Missed = iota // one run, however many were missed
	MissedAll                // a run for each, up to maxMissedRuns
	MissedNone               // no run; the next scheduled time is the next run
)

// maxMissedRuns bounds the runs for missed times: a clock that was years off must not cause thousands of runs.
const maxMissedRuns = 100

// Due returns how many runs are due now; newLast, the scheduled time to remember as that of the last run; and next, when to call Due again.
// last is the scheduled time of the run before (not the moment at which it ran); zero if there was none. After the clock was set back
// nothing is due until it reaches last again.
func (s *Schedule) Due(last, now time.Time) (runs int, newLast, next time.Time) {
	if last.IsZero() { // the first time: nothing is missed
		return 0, now, s.after(now)
	}
	newLast = last // after the clock was set back, the loop below does nothing until the clock reaches this time again
	for t := s.after(last); !t.After(now); t = s.after(t) {
		if runs++; runs > maxMissedRuns {
			if s.Every > 0 { // the other runs are skipped; the phase of the interval stays the same
				newLast = last.Add(now.Sub(last) / s.Every * s.Every)
			} else {
				newLast = now
			}
			break
		}
		newLast = t
	}
	next = s.after(newLast)
	switch {
	case runs == 0:
	case s.Missed == MissedOnce:
		runs = 1
	case s.Missed == MissedNone:
		// A run that has just become due is not a missed one.
		if now.Sub(newLast) > missedRunGrace {
			runs = 0
		} else {
			runs = 1
		}
	default:
		runs = min(runs, maxMissedRuns)
	}
	return runs, newLast, next
}

// missedRunGrace is how late a run may be and still not be a missed one.
const missedRunGrace = time.Minute

// after returns the first scheduled time after t.
func (s *Schedule) after(t time.Time) time.Time {
	if s.Every > 0 {
		return t.Add(s.Every)
	}
	local := t.In(s.Zone)
	for day := range 3 {
		if at := wallTime(local.Year(), local.Month(), local.Day()+day, s.At, s.Zone); at.After(t) {
			return at
		}
	}
	return t.Add(24 * time.Hour)
}

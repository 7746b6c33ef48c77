package work

import (
	"time"
)

// Schedule is when a timed job is due, and Missed what becomes of times that were missed.
type (
	// Schedule is either an interval or a time of day.
	Schedule struct {
		Every  time.Duration // 0: at a time of day
		At     time.Duration // since midnight
		Zone   *time.Location
		Missed Missed
	}
	// Missed is what becomes of times at which no process ran.
	Missed int
)

// What becomes of missed times: one run, one for each, or none.
const (
	MissedOnce Missed = iota // however many were missed
	MissedAll                // each of them
	MissedNone               // the next one is the next
)

// maxMissedRuns bounds how many missed ones are run: a clock that was years off is no reason for thousands.
const maxMissedRuns = 100

// Due returns how many runs are due now; newLast, the scheduled time to remember as that of the last run; and next, when to look again.
// last is the scheduled time of the run before (not the moment at which it ran); zero if there was none. After the clock was set back
// nothing is due until it has come to last again.
func (s *Schedule) Due(last, now time.Time) (runs int, newLast, next time.Time) {
	if last.IsZero() { // the first time: nothing is missed
		return 0, now, s.after(now)
	}
	newLast = last // a clock that was set back comes to nothing below until it has come to this again
	for t := s.after(last); !t.After(now); t = s.after(t) {
		if runs++; runs > maxMissedRuns {
			if s.Every > 0 { // the others are skipped, and the phase is kept
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
		// The one whose time has just come is not a missed one.
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

// after is the first time of the schedule after one.
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

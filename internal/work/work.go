// Package work decides what background work runs when, free of I/O and clocks: which job is next, by priority, fairness
// between owners and budgets in several currencies; when what failed is tried again; how much live traffic leaves to it.
//
// A Scheduler is told what happens, with the time, and says what is to be done, as package brain does.
package work

import (
	"fmt"
	"time"
)

// Currency is something that a slice uses up.
type Currency int

// The currencies.
const (
	Loop      Currency = iota // nanoseconds of the loop that owns the messages
	CPU                       // nanoseconds
	DiskRead                  // bytes
	DiskWrite                 // bytes
	Syncs                     // of files
	Net                       // bytes
	Calls                     // to receivers
	Currencies
)

// CurrencyNames are the words for them.
func CurrencyNames() []string {
	return []string{"loop", "cpu", "disk_read", "disk_write", "syncs", "net", "calls"}
}

func (c Currency) String() string {
	if c < 0 || c >= Currencies {
		return fmt.Sprintf("currency %d", int(c))
	}
	return CurrencyNames()[c]
}

// Cost is an amount in each currency.
type Cost [Currencies]int64

// Add adds an amount; none is ever negative.
func (c *Cost) Add(o Cost) {
	for i := range c {
		c[i] += max(0, o[i])
	}
}

// Priority is how urgent a job is.
type Priority int

// The priorities.
const (
	Urgent Priority = iota // somebody waits for it
	High
	Normal
	Low
	priorities
)

// PriorityNames are the words for them.
func PriorityNames() []string { return []string{"urgent", "high", "normal", "low"} }

func (p Priority) String() string {
	if p < 0 || p >= priorities {
		return fmt.Sprintf("priority %d", int(p))
	}
	return PriorityNames()[p]
}

// ID names a job.
type ID uint64

// Job is a piece of background work. It is done in slices.
type Job struct {
	ID        ID
	Kind      string
	Owner     string // a member, or a subsystem
	Priority  Priority
	Earliest  time.Duration // it may not begin before
	Deadline  time.Duration // it should be done by; 0: none. It orders jobs of one owner and priority, and ends none
	SliceCost Cost          // what one slice is said to use
	Remaining time.Duration // how long all of it is said to take
	Lock      string        // held by one job at a time, from its first slice to its end; empty: none
	Resource  string        // what it leans on: a disk, a peer, a receiver; empty: nothing
	Size      int64         // bytes that it takes in memory and store
	Depth     int           // of jobs made by jobs
}

// Bounds of a scheduler, and what a kind, an owner and all of it may use.
type (
	// Limits bound what is held.
	Limits struct {
		Jobs      int   // of all
		Bytes     int64 // of all
		OwnerJobs int   // of one owner
		Depth     int   // jobs made by jobs made by jobs
		Running   int   // slices at once
	}
	// Rate is how much may be used: tokens a second, and how many may be saved up. No rate: no bound.
	Rate struct {
		PerSecond float64
		Burst     float64
	}
	// Rates are those of all currencies.
	Rates [Currencies]Rate
	// Kind is what is known of a kind of jobs.
	Kind struct {
		Rates   Rates   // guaranteed to it
		Running int     // slices at once; 0: as many as there may be
		Window  *Window // it runs only within; nil: always
		Retry   Retry
	}
	// Settings are all of a scheduler's.
	Settings struct {
		Limits  Limits
		Rates   Rates              // of all work together, scaled by what pressure leaves
		Owners  Rates              // of each owner
		Weights map[string]float64 // of owners; 1 for all others
		Kinds   map[string]Kind
		Breaker Breaker
	}
)

// Window is a span of the day, in a time zone's own time. From after To reaches over midnight.
type Window struct {
	From, To time.Duration // since midnight
	Zone     *time.Location
}

// Open reports whether a time is within, and when it next is, if not.
func (w *Window) Open(t time.Time) (open bool, next time.Time) {
	if w == nil {
		return true, t
	}
	local := t.In(w.Zone)
	since := time.Duration(local.Hour())*time.Hour + time.Duration(local.Minute())*time.Minute + time.Duration(local.Second())*time.Second + time.Duration(local.Nanosecond())
	if w.From <= w.To && since >= w.From && since < w.To || w.From > w.To && (since >= w.From || since < w.To) {
		return true, t
	}
	for day := range 3 {
		if at := wallTime(local.Year(), local.Month(), local.Day()+day, w.From, w.Zone); at.After(t) {
			return false, at
		}
	}
	return false, t.Add(24 * time.Hour)
}

// wallTime is a time of day on a day. One that a clock set ahead leaves out is the first moment after the gap; of one that comes
// twice it is the first.
func wallTime(year int, month time.Month, day int, since time.Duration, zone *time.Location) time.Time {
	h, m, s := int(since/time.Hour), int(since/time.Minute)%60, int(since/time.Second)%60
	t := time.Date(year, month, day, h, m, s, 0, zone)
	if t.Hour() != h || t.Minute() != m { // it is left out: Date gives a moment off by the gap, on either side
		_, before := t.Add(-6 * time.Hour).Zone()
		_, after := t.Add(6 * time.Hour).Zone()
		gap := time.Duration(after-before) * time.Second
		for probe := t.Add(-gap); probe.Before(t.Add(2 * gap)); probe = probe.Add(time.Minute) { // whole minutes, in all zones of today
			if _, off := probe.Zone(); off == after {
				return probe.Truncate(time.Minute)
			}
		}
		return t
	}
	if first := t.Add(-time.Hour); first.Hour() == h && first.Minute() == m { // the earlier one of two
		return first
	}
	return t
}

// Every, At and Missed are when a timed job is due.
type (
	// Schedule is either every so long, or at a time of day.
	Schedule struct {
		Every  time.Duration // 0: at a time of day
		At     time.Duration // since midnight
		Zone   *time.Location
		Missed Missed
	}
	// Missed is what becomes of times at which nobody was there.
	Missed int
)

// The ways.
const (
	MissedOnce Missed = iota // however many were missed
	MissedAll                // each of them
	MissedNone               // the next one is the next
)

// maxMissedRuns bounds how many missed ones are run: a clock that was years off is no reason for thousands.
const maxMissedRuns = 100

// Due says how many runs are due at a time, given the wall time of the run before, which is that of the schedule and not
// of the moment at which it was run; and what to remember as the last one, and when to look again. A clock that was set
// back has nothing due until it has come to the last one again.
func (s *Schedule) Due(last, now time.Time) (runs int, newLast, next time.Time) {
	if last.IsZero() { // the first time: nothing is missed
		return 0, now, s.after(now)
	}
	newLast = last // a clock that was set back comes to nothing below until it has come to this again
	for t := s.after(last); !t.After(now); t = s.after(t) {
		if runs++; runs > maxMissedRuns {
			if s.Every > 0 { // the rest are left out, and the rhythm is kept
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

package work

import (
	"time"
)

// Window is a span of the day, in the time of a zone. If From is after To it spans midnight.
type Window struct {
	From, To time.Duration // since midnight
	Zone     *time.Location
}

// Open reports whether a time is within the window; if not, next is when it opens. A nil window is always open.
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

// wallTime returns a time of day on a date. If the clock is set ahead and skips that time, it returns the first moment after the gap; if
// the time occurs twice, it returns the first.
func wallTime(year int, month time.Month, day int, since time.Duration, zone *time.Location) time.Time {
	h, m, s := int(since/time.Hour), int(since/time.Minute)%60, int(since/time.Second)%60
	t := time.Date(year, month, day, h, m, s, 0, zone)
	if t.Hour() != h || t.Minute() != m { // the time is skipped: time.Date returns a moment off by the gap, on either side
		_, before := t.Add(-6 * time.Hour).Zone()
		_, after := t.Add(6 * time.Hour).Zone()
		gap := time.Duration(after-before) * time.Second
		for probe := t.Add(-gap); probe.Before(t.Add(2 * gap)); probe = probe.Add(time.Minute) { // all current zones change at whole minutes
			if _, off := probe.Zone(); off == after {
				return probe.Truncate(time.Minute)
			}
		}
		return t
	}
	if first := t.Add(-time.Hour); first.Hour() == h && first.Minute() == m { // the time occurs twice
		return first
	}
	return t
}

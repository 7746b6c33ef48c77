package work

import (
	"testing"
	"time"
)

func mustZone(t *testing.T, name string) *time.Location {
	t.Helper()
	z, err := time.LoadLocation(name)
	if err != nil {
		t.Skip("no time zone data: ", err)
	}
	return z
}

// Schedules on days of 23 and 25 hours, after missed times, and with clocks that jump.
func TestSchedule_Due(t *testing.T) {
	berlin := mustZone(t, "Europe/Berlin")
	at := func(text string) time.Time {
		t.Helper()
		v, err := time.ParseInLocation("2006-01-02 15:04:05", text, berlin)
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
	half := Schedule{At: 2*time.Hour + 30*time.Minute, Zone: berlin}
	for _, c := range []struct{ after, want string }{
		{"2026-03-28 12:00:00", "2026-03-29 03:00:00 +0200"}, // 02:30 is skipped: the first moment after the gap
		{"2026-03-29 12:00:00", "2026-03-30 02:30:00 +0200"},
		{"2026-10-24 12:00:00", "2026-10-25 02:30:00 +0200"}, // 02:30 occurs twice: the first
		{"2026-12-31 12:00:00", "2027-01-01 02:30:00 +0100"},
	} {
		if got := half.after(at(c.after)).Format("2006-01-02 15:04:05 -0700"); got != c.want {
			t.Errorf("after %s: %s, want %s", c.after, got, c.want)
		}
	}
	first := half.after(at("2026-10-24 12:00:00"))
	if second := half.after(first); second.Format("2006-01-02 15:04") != "2026-10-26 02:30" {
		t.Errorf("the run after the one on the day of 25 hours is at %v", second)
	}
	// One run on each day of a year, whatever the day's length.
	day := Schedule{At: 2*time.Hour + 30*time.Minute, Zone: berlin, Missed: MissedAll}
	last, n := at("2026-01-01 00:00:00"), 0
	for now := last; now.Before(at("2027-01-01 00:00:00")); now = now.Add(17 * time.Minute) {
		var runs int
		runs, last, _ = day.Due(last, now)
		n += runs
	}
	if n != 365 {
		t.Errorf("%d runs in a year", n)
	}

	every := func(m Missed) Schedule { return Schedule{Every: time.Hour, Missed: m} }
	begin := at("2026-06-01 00:00:00")
	for name, c := range map[string]struct {
		s    Schedule
		now  time.Time
		runs int
		last time.Time
	}{
		"not yet":                      {every(MissedOnce), begin.Add(59 * time.Minute), 0, begin},
		"just now":                     {every(MissedNone), begin.Add(time.Hour), 1, begin.Add(time.Hour)},
		"five missed, once":            {every(MissedOnce), begin.Add(5*time.Hour + 10*time.Minute), 1, begin.Add(5 * time.Hour)},
		"five missed, all":             {every(MissedAll), begin.Add(5*time.Hour + 10*time.Minute), 5, begin.Add(5 * time.Hour)},
		"five missed, none":            {every(MissedNone), begin.Add(5*time.Hour + 10*time.Minute), 0, begin.Add(5 * time.Hour)},
		"the clock is set back":        {every(MissedAll), begin.Add(-3 * time.Hour), 0, begin},
		"the clock was years off":      {every(MissedAll), begin.Add(3 * 365 * 24 * time.Hour), maxMissedRuns, begin.Add(3 * 365 * 24 * time.Hour)},
		"an hour ahead, for the first": {Schedule{Every: time.Minute, Missed: MissedOnce}, begin.Add(time.Hour), 1, begin.Add(time.Hour)},
	} {
		runs, last, next := c.s.Due(begin, c.now)
		if runs != c.runs || !last.Equal(c.last) || !next.After(last) {
			t.Errorf("%s: %d runs, last %v, next %v", name, runs, last, next)
		}
	}
	// The clock is set ahead by an hour and back: the runs of that hour are not repeated.
	s := every(MissedOnce)
	s.Every = 10 * time.Minute
	runs, last, _ := s.Due(begin, begin.Add(time.Hour))
	again := 0
	for now := begin; now.Before(begin.Add(time.Hour)); now = now.Add(time.Minute) {
		var n int
		n, last, _ = s.Due(last, now)
		again += n
	}
	if runs != 1 || again != 0 {
		t.Error(runs, again)
	}
	if runs, last, next := s.Due(time.Time{}, begin); runs != 0 || !last.Equal(begin) || !next.Equal(begin.Add(10*time.Minute)) {
		t.Error("without a previous run:", runs, last, next)
	}
}

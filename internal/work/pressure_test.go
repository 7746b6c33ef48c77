package work

import (
	"testing"
	"time"
)

// plant is live traffic and background work on one machine: a signal, over its target, that grows with both.
func plant(live, allow float64) LoadSignals {
	return LoadSignals{TurnLate: time.Duration((live + 0.6*allow) * float64(5*time.Millisecond))}
}

// response is what the controller gives over time, every 100 ms, to a live load.
func response(p *Pressure, from, to time.Duration, live func(time.Duration) float64) (allow []float64) {
	a := p.Allowance()
	for now := from; now < to; now += 100 * time.Millisecond {
		a = p.Step(now, plant(live(now), a))
		allow = append(allow, a)
	}
	return allow
}

// A step: down to the floor within 600 ms, all of it back within 5 s of its end.
func TestPressure_Step(t *testing.T) {
	p := &Pressure{Targets: DefaultTargets()}
	load := func(now time.Duration) float64 {
		if now >= 10*sec && now < 20*sec {
			return 2
		}
		return 0.1
	}
	got := response(p, 0, 40*sec, load)
	if got[99] != 1 {
		t.Errorf("before it %v", got[99])
	}
	if got[106] != minAllowance || got[199] != minAllowance {
		t.Errorf("600 ms into it %v, at its end %v", got[106], got[199])
	}
	if got[200+50] < 0.95 {
		t.Errorf("5 s after it %v", got[250])
	}
	if name, over := p.Worst(); name != "turns" || over > decreaseAbove {
		t.Error(name, over)
	}
}

// Under a load that leaves room for a part of it, it finds that part and stays near: it goes over the target for at most one
// look at a time, and the work that is done is at least nine tenths of what there is room for.
func TestPressure_FindsSpareCapacity(t *testing.T) {
	for _, live := range []float64{0.2, 0.5, 0.7, 0.9} {
		p := &Pressure{Targets: DefaultTargets()}
		got := response(p, 0, 120*sec, func(time.Duration) float64 { return live })
		sum, over, most, swings := 0.0, 0, 0, 0
		settled := got[200:]
		for i, a := range settled {
			sum += a
			if live+0.6*a > 1 {
				over++
				most = max(most, over)
			} else {
				over = 0
			}
			if i > 0 && a < settled[i-1] {
				swings++
			}
		}
		room := min(1, (1-live)/0.6)
		calm := min(1, (increaseBelow-live)/0.6) // it stops growing within the dead band
		if mean := sum / float64(len(settled)); mean < 0.9*max(calm, minAllowance) || mean > room+0.05 {
			t.Errorf("live %v: it gives %.3f, there is room for %.3f", live, mean, room)
		}
		if most > 1 || swings > 5 {
			t.Errorf("live %v: over its target for %d looks in a row, %d swings in 100 s", live, most, swings)
		}
	}
}

// A ramp is followed, and a square wave of a second neither drives it to nothing between nor lets it stand over the target.
func TestPressure_RampAndWave(t *testing.T) {
	p := &Pressure{Targets: DefaultTargets()}
	got := response(p, 0, 60*sec, func(now time.Duration) float64 { return now.Seconds() / 60 * 1.5 })
	for i, a := range got {
		live := float64(i) / 600 * 1.5
		if live < 0.15 && a < 0.9 || live > 1.05 && i > 430 && a > minAllowance {
			t.Fatalf("live %.2f: %v", live, a)
		}
	}
	p = &Pressure{Targets: DefaultTargets()}
	wave := func(now time.Duration) float64 {
		if now/sec%2 == 0 {
			return 0.9
		}
		return 0.1
	}
	over := 0
	got = response(p, 0, 60*sec, wave)
	for i, a := range got[100:] {
		if wave(time.Duration(i+100)*100*time.Millisecond)+0.6*a > 1 {
			over++
		}
	}
	if over > len(got)/20 {
		t.Errorf("over its target in %d of %d looks", over, len(got))
	}
}

func mustZone(t *testing.T, name string) *time.Location {
	t.Helper()
	z, err := time.LoadLocation(name)
	if err != nil {
		t.Skip("no zone data here: ", err)
	}
	return z
}

// Times of day on days of 23 and 25 hours, over restarts, and with clocks that jump.
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
		{"2026-03-28 12:00:00", "2026-03-29 03:00:00 +0200"}, // 02:30 does not exist: the first moment after the gap
		{"2026-03-29 12:00:00", "2026-03-30 02:30:00 +0200"},
		{"2026-10-24 12:00:00", "2026-10-25 02:30:00 +0200"}, // it comes twice: the first
		{"2026-12-31 12:00:00", "2027-01-01 02:30:00 +0100"},
	} {
		if got := half.after(at(c.after)).Format("2006-01-02 15:04:05 -0700"); got != c.want {
			t.Errorf("after %s: %s, want %s", c.after, got, c.want)
		}
	}
	first := half.after(at("2026-10-24 12:00:00"))
	if second := half.after(first); second.Format("2006-01-02 15:04") != "2026-10-26 02:30" {
		t.Errorf("on the day of 25 hours it comes again at %v", second)
	}
	// A year of days, each once, whatever the day's length.
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
	// Set ahead by an hour, and back: what ran in that hour does not run again.
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
		t.Error("the first time:", runs, last, next)
	}
}

func TestWindow_Open(t *testing.T) {
	berlin := mustZone(t, "Europe/Berlin")
	night := &Window{From: 22 * time.Hour, To: 5 * time.Hour, Zone: berlin}
	day := &Window{From: 9 * time.Hour, To: 17*time.Hour + 30*time.Minute, Zone: berlin}
	for _, c := range []struct {
		w    *Window
		at   string
		open bool
		next string
	}{
		{night, "2026-06-01 23:00", true, ""}, {night, "2026-06-01 04:59", true, ""}, {night, "2026-06-01 05:00", false, "2026-06-01 22:00"},
		{day, "2026-06-01 09:00", true, ""}, {day, "2026-06-01 17:30", false, "2026-06-02 09:00"}, {day, "2026-06-01 08:00", false, "2026-06-01 09:00"},
		{nil, "2026-06-01 08:00", true, ""},
	} {
		at, _ := time.ParseInLocation("2006-01-02 15:04", c.at, berlin)
		open, next := c.w.Open(at)
		if open != c.open || !open && next.Format("2006-01-02 15:04") != c.next {
			t.Errorf("%+v at %s: %v, %v", c.w, c.at, open, next)
		}
	}
}

package work

import (
	"testing"
	"time"
)

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

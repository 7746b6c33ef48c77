package sender

import (
	"testing"
	"time"

	"saffronyard.example/saffronyard/brain"
	st "saffronyard.example/saffronyard/internal/sendertest"
)

// A message from the journal is handled by the stricter of the rule at its acceptance and the current settings, whatever the index of
// its class in them. Messages of a class that had been removed were given up without an attempt, and those of a class that had become
// idempotent were repeated.
func TestRepeatRules_OfEarlierProcess(t *testing.T) {
	t.Parallel()
	const window = 7500 * time.Millisecond // of class keyed in the settings
	tests := []struct {
		name    string
		class   string
		key     string
		effect  string // as stored in the journal, "" by an earlier version
		window  time.Duration
		tried   time.Duration // time from an attempt to the start of the subtest, which may wait for others for longer than a window; 0: no attempt
		status  int           // status of the endpoint's response to each call
		calls   int
		outcome string // outcome in the notice; "" for no notice
	}{
		{"as it was", "keyed", "k", "keyed", window, 0, 200, 1, ""},
		{"of an earlier version", "keyed", "k", "", 0, 0, 200, 1, ""},
		{"gone, and never tried", "gone", "k", "keyed", window, 0, 200, 1, ""},
		{"gone, of an earlier version, never tried", "gone", "k", "", 0, 0, 200, 1, ""},
		{"gone, of an earlier version, may have run", "gone", "k", "", 0, time.Second, 200, 0, outcomeGivenUp},
		{"gone, keyed, may have run", "gone", "k", "keyed", window, time.Second, 200, 1, ""},
		{"gone, keyed, its window is over", "gone", "k", "keyed", window, time.Minute, 200, 0, outcomeGivenUp},
		{"gone, safe, may have run", "gone", "", "safe", 0, time.Minute, 200, 1, ""},
		{"unsafe then, safe now", "safe", "k", "unsafe", 0, 0, 500, 1, outcomeGivenUp},
		{"unsafe then, safe now, may have run", "safe", "k", "unsafe", 0, time.Second, 200, 0, outcomeGivenUp},
		{"keyed then, unsafe now, may have run", "unsafe", "k", "keyed", window, time.Second, 200, 0, outcomeGivenUp},
		{"safe then, keyed now, without a key", "keyed", "", "safe", 0, time.Second, 200, 0, outcomeGivenUp},
		{"a shorter window then", "keyed", "k", "keyed", time.Second, 3 * time.Second, 200, 0, outcomeGivenUp},
		{"a longer window then", "keyed", "k", "keyed", time.Hour, time.Minute, 200, 0, outcomeGivenUp},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			e := st.NewEndpoint(t, st.Status(tt.status))
			p := st.NewPlatform(t, e.Addr)
			dir := t.TempDir()
			var attempts []attemptRecord
			if tt.tried > 0 {
				attempts = []attemptRecord{{At: newClock().now() - tt.tried, Endpoint: "s-0"}}
			}
			leaveMessages(t, dir, 1, outageSnapshot{}, func(_ int, r *record) {
				r.Class, r.Key, r.Effect, r.KeyWindow, r.Attempts = tt.class, tt.key, tt.effect, tt.window, attempts
			})
			addr := run(t, p, func(c *Config) { c.StateDir = dir })
			if tt.outcome != "" {
				if n := st.Receive(t, p.Notices); n.Message != "m0" || n.Outcome != tt.outcome {
					t.Errorf("notice %+v", n)
				}
			}
			for range tt.calls {
				e.Next(t)
			}
			st.Submit(t, addr, st.Submission{ID: "next", Class: "keyed", Destination: 0, Deadline: 15 * time.Second}) // a class of the settings is not affected
			if c := e.Next(t); c.ID != "next" {
				t.Errorf("unexpected call of %s", c.ID)
			}
		})
	}
}

// Equal rules share one additional class of the module, and the given settings are not changed.
func TestRepeatRules_AddedClasses(t *testing.T) {
	c := &Config{Classes: []string{"a", "b"}, Zones: []string{"x", "y"}}
	c.Settings.Classes = []brain.Class{{Idempotency: brain.Idempotent, Value: 2}, {Idempotency: brain.IdempotentByKey, IdempotencyKeyTTL: time.Second, IdempotencyKeyZonal: true, Value: 3}}
	given := c.Settings.Classes
	for i, tt := range []struct {
		m    record
		want int
	}{
		{record{Class: "a", Effect: "safe"}, 0},
		{record{Class: "b", Effect: "keyed", KeyWindow: time.Second, KeyInZone: true, Key: "k"}, 1},
		{record{Class: "b", Effect: "keyed", KeyWindow: time.Minute, Key: "k"}, 1}, // the current window and scope are stricter
		{record{Class: "gone", Effect: "unsafe"}, 2},
		{record{Class: "other", Key: "k"}, 2},
		{record{Class: "a", Effect: "keyed", KeyWindow: time.Second, Key: "k"}, 3},
		{record{Class: "a", Effect: "keyed", KeyWindow: time.Second, KeyInZone: true, Key: "k"}, 4},
		{record{Class: "a", Effect: "keyed", KeyWindow: time.Second, Key: "k2"}, 3},
		{record{Class: "gone", Effect: "unsafe", OrderKey: "o"}, 5},
	} {
		if got := c.classOf(&storedMessage{record: tt.m}); got != tt.want {
			t.Errorf("%d: %+v gets class %d, want %d: %+v", i, tt.m, got, tt.want, c.Settings.Classes)
		}
	}
	if len(given) != 2 || given[0].Idempotency != brain.Idempotent || c.Settings.Classes[5].Ordered != true {
		t.Error("the given settings have changed")
	}
	for _, tt := range []struct {
		t    attemptRecord
		want int
	}{{attemptRecord{Zone: 1}, 1}, {attemptRecord{Zone: 1, ZoneName: "x"}, 0}, {attemptRecord{Zone: 1, ZoneName: "y"}, 1}, {attemptRecord{Zone: 1, ZoneName: "gone"}, -1}} {
		if got := c.zoneOf(tt.t); got != tt.want {
			t.Errorf("%+v ran in zone %d, want %d", tt.t, got, tt.want)
		}
	}
}

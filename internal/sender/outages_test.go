package sender

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"saffronyard.example/saffronyard/brain"
	st "saffronyard.example/saffronyard/internal/sendertest"
)

// newResumedSender creates a sender and lets it resume what its state folder contains; it does not listen.
func newResumedSender(t *testing.T, p *st.Platform, edit func(*Config)) *Sender {
	t.Helper()
	s := newTestSender(t, p, edit)
	s.resume(t.Context())
	return s
}

// leaveMessages writes a journal as an earlier process leaves it: with messages, and with the outages that it stored last.
func leaveMessages(t *testing.T, dir string, messages int, outages outageSnapshot, edit func(n int, r *record)) {
	t.Helper()
	j := openTestJournal(t, dir, 1<<20)
	for n := range messages {
		r := record{ID: fmt.Sprintf("m%d", n), Class: "keyed", Key: "k", Tenant: "acme", Deadline: newClock().now() + 15*time.Second}
		if edit != nil {
			edit(n, &r)
		}
		if _, err := j.insertAndFlush(r); err != nil {
			t.Fatal(err)
		}
	}
	if err := j.saveRates([]brain.UsualRate{{Destination: 0, Rate: 4}}, outages); err != nil {
		t.Fatal(err)
	}
	if err := j.close(); err != nil {
		t.Fatal(err)
	}
}

// A process that restarted while a receiver was out of service or recovering sent all accepted messages for that receiver at once.
// When seven in ten senders of a fleet did so, a cold receiver got up to 204 calls more than its budget allows (measured in a test of
// package brain).
func TestOutages_SurviveRestart(t *testing.T) {
	t.Parallel()
	now := newClock().now()
	ago := func(d time.Duration) time.Duration { return now - d }
	tests := []struct {
		name    string
		outages outageSnapshot
		want    brain.Health // of destination 0 in the next process
	}{
		{"out", outageSnapshot{ago(time.Second), []outage{{Dest: 0, Began: ago(9 * time.Second), Rate: 4}}}, brain.Unhealthy},
		{"comes back", outageSnapshot{ago(time.Second), []outage{{Dest: 0, Began: ago(9 * time.Second), RecoveringSince: ago(2 * time.Second), Rate: 4}}}, brain.WarmingUp},
		{"came back long ago", outageSnapshot{ago(time.Second), []outage{{Dest: 0, Began: ago(time.Minute), RecoveringSince: ago(40 * time.Second), Rate: 4}}}, brain.HealthUnknown},
		{"written long ago", outageSnapshot{ago(time.Hour), []outage{{Dest: 0, Began: ago(2 * time.Hour), Rate: 4}}}, brain.HealthUnknown},
		{"another receiver", outageSnapshot{ago(time.Second), []outage{{Dest: 9, Began: ago(9 * time.Second), Rate: 4}}}, brain.HealthUnknown},
		{"an endpoint that is not listed", outageSnapshot{ago(time.Second), []outage{{Dest: 0, Endpoint: "s-9", Began: ago(9 * time.Second)}}}, brain.HealthUnknown},
		{"a clock that ran ahead", outageSnapshot{now + time.Hour, []outage{{Dest: 0, Began: now + time.Hour, Rate: 4}}}, brain.Unhealthy},
		{"none", outageSnapshot{}, brain.HealthUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			p := st.NewPlatform(t, st.NewEndpoint(t, st.Unresponsive).Addr)
			dir := t.TempDir()
			leaveMessages(t, dir, 12, tt.outages, nil)
			s := newResumedSender(t, p, func(c *Config) { c.StateDir = dir })
			if s.pending != 12 {
				t.Fatalf("%d messages are resumed", s.pending)
			}
			got := brain.HealthUnknown
			for _, k := range s.brain.Outages() {
				got = k.Health
				if k.Destination != 0 || k.Rate < 4 {
					t.Errorf("outage %+v", k)
				}
			}
			if got != tt.want {
				t.Errorf("the destination is %v, want %v", got, tt.want)
			}
		})
	}
}

// The journal stores the outages that the module reports, up to a limit in bytes, and a compaction preserves them.
func TestOutages_InJournal(t *testing.T) {
	dir := t.TempDir()
	o := outageSnapshot{at: 5 * time.Second}
	for n := range 200 {
		o.list = append(o.list, outage{Dest: uint32(n), Began: time.Second, Rate: float64(n)})
	}
	leaveMessages(t, dir, 0, o, nil)
	for range 2 { // the second reads what the first has compacted
		j := openTestJournal(t, dir, 1<<20)
		n := len(j.outages.list)
		if j.outages.at != o.at || n == 0 || n == 200 || j.outages.list[7] != o.list[192] || j.rates[0] != 4 {
			t.Fatalf("outages %+v, rates %v", j.outages, j.rates)
		}
		if raw, _ := json.Marshal(j.outages.list); len(raw) > maxOutageReserve {
			t.Errorf("the outages take %d bytes", len(raw))
		}
		j.close()
	}
	if small := openTestJournal(t, t.TempDir(), 12<<10); small.reserved > 4<<10 {
		t.Errorf("of a budget of 12 KiB %d bytes are reserved", small.reserved)
	}
}

// A sender stores an outage that it has observed itself: consecutive failed calls are enough.
func TestOutages_AreRecorded(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.Reset)
	p := st.NewPlatform(t, e.Addr)
	s := newTestSender(t, p, nil)
	addr, stop := serving(t, s)
	for n := range 3 {
		st.Submit(t, addr, st.Submission{ID: fmt.Sprintf("m%d", n), Class: "safe", Destination: 0, Deadline: 15 * time.Second})
		e.Next(t)
	}
	journal := s.journal.path
	waitForText(t, journal, `"outages":[{"dest":0,"began":`)
	stop()
}

// waitForText waits until a file contains a text.
func waitForText(t *testing.T, path, text string) {
	t.Helper()
	for over := time.Now().Add(st.Wait); ; time.Sleep(10 * time.Millisecond) {
		raw, err := os.ReadFile(path)
		if err == nil && strings.Contains(string(raw), text) {
			return
		}
		if time.Now().After(over) {
			t.Fatalf("%s does not contain %s in time", path, text)
		}
	}
}

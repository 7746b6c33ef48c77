package sender

import (
	"bytes"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"strings"
	"testing"

	"saffronyard.example/saffronyard/internal/membership"
	st "saffronyard.example/saffronyard/internal/sendertest"
)

func servingList(ids ...string) (list []Target) {
	for _, id := range ids {
		list = append(list, Target{ID: id, Addr: "127.0.0.1:1", State: membership.Serving})
	}
	return list
}

// states returns a list as id=state, ordered by id.
func states(list []Target) (all []string) {
	for _, t := range list {
		all = append(all, t.ID+"="+t.State)
	}
	slices.Sort(all)
	return all
}

// A restarted process starts with the newer of the stored list and the configuration's, if both are from the same address.
func TestStoredList_SurvivesRestart(t *testing.T) {
	const here, there = "127.0.0.1:1", "127.0.0.1:2"
	known := Targets{Version: 3, Servers: servingList("a", "b")}
	for _, c := range []struct {
		name    string
		updates []membership.Update
		from    string
		want    []string
		version int64
	}{
		{"no update", nil, here, []string{"a=SERVING", "b=SERVING"}, 3},
		{"an endpoint drained, one deleted and one added, after the configuration's list",
			[]membership.Update{{Version: 5, Servers: append(servingList("c"), Target{ID: "a", State: membership.Draining}, Target{ID: "b", State: membership.Deleted})}},
			here, []string{"a=DRAINING", "c=SERVING"}, 5},
		{"a complete list without one endpoint", []membership.Update{{Version: 5, Full: true, Servers: servingList("a", "b")}, {Version: 6, Full: true, Servers: servingList("b")}},
			here, []string{"b=SERVING"}, 6},
		{"an older list than the configuration's", []membership.Update{{Version: 2, Full: true, Servers: servingList("z")}}, here, []string{"a=SERVING", "b=SERVING"}, 3},
		{"from another address", []membership.Update{{Version: 90, Full: true, Servers: append(servingList("b", "c"), Target{ID: "a", State: membership.Draining})}},
			there, []string{"a=DRAINING", "b=SERVING"}, -1},
	} {
		dir := t.TempDir()
		j := openTestJournal(t, dir, 1<<20)
		j.initList(here, known, known.Version)
		for _, u := range c.updates {
			j.saveList(here, u)
		}
		acceptTestMessage(t, j, "m")
		for _, source := range []string{"as after a kill", "from a compacted file"} {
			j = openTestJournal(t, dir, 1<<20)
			list, version := j.endpoints.startingPoint(known, c.from)
			if got := states(list.Servers); !slices.Equal(got, c.want) || version != c.version {
				t.Errorf("%s, %s: list %v at version %d, want %v at version %d", c.name, source, got, version, c.want, c.version)
			}
			if len(j.byID) != 1 {
				t.Errorf("%s, %s: the journal has %d messages", c.name, source, len(j.byID))
			}
		}
	}
	if !slices.Equal(states(known.Servers), []string{"a=SERVING", "b=SERVING"}) {
		t.Error("the configuration's own list was changed")
	}
}

// A list that is too long is dropped completely, takes no space from messages, and is stored again once it is short enough.
func TestStoredList_TooLong(t *testing.T) {
	j := openTestJournal(t, t.TempDir(), 1<<20)
	free := j.reserved
	var many []Target
	for i := range 2000 {
		many = append(many, servingList(fmt.Sprintf("endpoint-%d", i))...)
	}
	j.saveList("x", membership.Update{Version: 1, Full: true, Servers: servingList("a")})
	j.saveList("x", membership.Update{Version: 2, Full: true, Servers: many})
	if j.endpoints.record() != nil || j.reserved != free {
		t.Errorf("%d lines are stored in %d bytes, want none", len(j.endpoints.lines), j.reserved-free)
	}
	j.saveList("x", membership.Update{Version: 3, Servers: servingList("b")}) // changes to a list that is not stored
	if list, _ := j.endpoints.startingPoint(Targets{}, "x"); len(list.Servers) != 0 {
		t.Errorf("an incomplete list is stored: %v", list.Servers)
	}
	j.saveList("x", membership.Update{Version: 4, Full: true, Servers: servingList("a", "b")})
	if list, version := j.endpoints.startingPoint(Targets{}, "x"); len(list.Servers) != 2 || version != 4 {
		t.Errorf("%d lines at version %d", len(list.Servers), version)
	}
	most := many[:j.endpoints.maxBytes*3/4/(j.endpoints.size/2)]
	for version := range int64(2) { // a change of every line must not count the old lines too
		for i := range most {
			most[i].State = []string{membership.Serving, membership.Draining}[version]
		}
		j.saveList("x", membership.Update{Version: 5 + version, Full: true, Servers: slices.Clone(most)})
		if list, _ := j.endpoints.startingPoint(Targets{}, "x"); len(list.Servers) != len(most) {
			t.Errorf("%d of %d lines are stored", len(list.Servers), len(most))
		}
	}
}

// If a record of the list is corrupt, only that record is lost, and no message.
func TestStoredList_CorruptRecord(t *testing.T) {
	dir := t.TempDir()
	j := openTestJournal(t, dir, 1<<20)
	acceptTestMessage(t, j, "m")
	sizeBefore := j.size
	j.saveList("x", membership.Update{Version: 1, Full: true, Servers: servingList("a")})
	if err := j.flush(); err != nil {
		t.Fatal(err)
	}
	raw, err := os.ReadFile(j.path)
	if err != nil {
		t.Fatal(err)
	}
	for n := sizeBefore; n < int64(len(raw))-1; n += 3 {
		corrupted := slices.Clone(raw)
		corrupted[n] ^= 1
		if err := os.WriteFile(j.path, corrupted, 0o600); err != nil {
			t.Fatal(err)
		}
		if k := openTestJournal(t, dir, 1<<20); k.byID["m"] == nil || k.endpoints.record() != nil || k.corruptLines != 1 {
			t.Fatalf("byte %d corrupted: %d messages, list %v, %d corrupt lines reported", n, len(k.byID), k.endpoints.record(), k.corruptLines)
		}
	}
}

// A journal with an unreadable line is reported in one log line; a last line torn by a kill is normal and is not reported.
func TestJournal_CorruptLinesAreLogged(t *testing.T) {
	for _, c := range []struct {
		name string
		tail string
		want int
	}{{"corrupt", "00000000 {\"op\":\"take\"}\n", 1}, {"torn", "00000000 {\"op\":", 0}} {
		s := &Config{StateDir: t.TempDir(), Discovery: "127.0.0.1:1", Limits: Limits{Sockets: 256, DiskMB: 3}}
		j := openTestJournal(t, s.StateDir, 1<<20)
		acceptTestMessage(t, j, "m")
		j.close()
		f, err := os.OpenFile(j.path, os.O_APPEND|os.O_WRONLY, 0)
		if err != nil {
			t.Fatal(err)
		}
		f.WriteString(c.tail)
		f.Close()
		var lines bytes.Buffer
		sender, err := New(s, slog.New(slog.NewTextHandler(&lines, nil)))
		if err != nil {
			t.Fatal(err)
		}
		if got := strings.Count(lines.String(), "can't be read"); got != c.want || sender.journal.byID["m"] == nil {
			t.Errorf("%s: %d log lines report it, want %d:\n%s", c.name, got, c.want, lines.String())
		}
	}
}

// When many senders restart, each delays its request for the list. Until the list arrives, an endpoint that drained under the
// earlier process gets no call, whatever the configuration's older list says, and the messages of the journal are sent elsewhere.
func TestStoredList_DrainSurvivesRestart(t *testing.T) {
	t.Parallel()
	old, other := st.NewEndpoint(t, st.Status(200)), st.NewEndpoint(t, st.Status(200))
	p := st.NewPlatform(t, old.Addr)
	run(t, p, func(c *Config) {
		c.Settings.Senders = 80
		leaveMessage(t, c, old, func(j *journal) {
			drained, other := listedAt("s-0", old), listedAt("s-1", other)
			drained.State = membership.Draining
			j.saveList(c.Discovery, membership.Update{Version: 9, Full: true, Servers: []Target{drained, other}})
		})
	})
	awaitDelivery(t, other, old)
	if q := st.Receive(t, p.Lists); q != "after=9&wait_ms=0" {
		t.Errorf("the query to discovery is %q", q)
	}
}

package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	st "saffronyard.example/saffronyard/internal/sendertest"
	"saffronyard.example/saffronyard/internal/undelivered"
)

// runUndelivered runs an undelivered command, checks its exit code and returns its output.
func runUndelivered(t *testing.T, want int, args ...string) string {
	t.Helper()
	var out, errs bytes.Buffer
	if code := undeliveredCommand(args, func(string) string { return "" }, &out, &errs); code != want {
		t.Fatalf("%v: exit %d, %s%s", args, code, out.String(), errs.String())
	}
	return out.String() + errs.String()
}

// A sender stores messages that fail, and the command line lists, shows, counts, exports, settles and drops them. The store
// can still be read after the sender was killed, and from a copy.
func TestUndeliveredCommand(t *testing.T) {
	bad := st.NewEndpoint(t, st.Reset)
	p := st.NewPlatform(t, bad.Addr)
	state := t.TempDir()
	folder := filepath.Join(state, "undelivered")
	file := write(t, "[undelivered]\nbytes = 1048576\n")
	s := start(t, p, state, "-features", file)
	for _, id := range []string{"a", "b", "c"} {
		st.Submit(t, s.addr, st.Submission{ID: id, Class: "unsafe", Destination: 0, Deadline: 15 * time.Second})
		if n := st.Receive(t, p.Notices); n.Outcome != "given_up" {
			t.Fatalf("%+v", n)
		}
	}
	list := func(args ...string) []undelivered.Named {
		t.Helper()
		var all []undelivered.Named
		for line := range strings.Lines(runUndelivered(t, 0, append([]string{"list", "-json"}, args...)...)) {
			var n undelivered.Named
			if err := json.Unmarshal([]byte(line), &n); err != nil {
				t.Fatalf("%s: %v", line, err)
			}
			all = append(all, n)
		}
		return all
	}
	wait := func(n int) (all []undelivered.Named) {
		t.Helper()
		for end := time.Now().Add(st.Wait); ; time.Sleep(5 * time.Millisecond) {
			if all = list("-folder", folder); len(all) == n {
				return all
			}
			if time.Now().After(end) {
				t.Fatalf("%d entries, want %d", len(all), n)
			}
		}
	}
	all := wait(3)
	if all[0].Message != "a" || all[0].Reason != undelivered.ReasonUnsafeRetry || all[0].Body != nil {
		t.Errorf("%+v", all[0])
	}
	if info, err := os.Stat(filepath.Join(folder, undelivered.SocketName)); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("the socket: %v %v", info, err)
	}
	for _, c := range []struct{ want, args string }{
		{"repeat-unlawful", "list"}, {"it may have run", "show " + all[0].Name}, {"acme    repeat-unlawful  3     0", "count"},
		{`"body":"Ym9keSBvZiBh"`, "export -most 1"}, {"settled", "settle -by ann -why paid " + all[0].Name}, {"by ann: paid", "show " + all[0].Name},
		{"1 of 1 dropped", "drop " + all[1].Name}, {"acme    repeat-unlawful  2     1", "count"},
	} {
		words := strings.Fields(c.args)
		if out := runUndelivered(t, 0, append([]string{words[0], "-folder", folder}, words[1:]...)...); !strings.Contains(out, c.want) {
			t.Errorf("%s: %s", c.args, out)
		}
	}
	if got := list("-folder", folder, "-member", "other"); len(got) != 0 {
		t.Errorf("%v", got)
	}
	if got := list("-folder", folder, "-reason", "repeat-unlawful", "-class", "unsafe", "-since", "1h", "-most", "1"); len(got) != 1 {
		t.Errorf("%v", got)
	}
	for _, c := range []struct{ want, args string }{
		{"there is no reason", "list -reason bored"}, {"neither a time", "list -since yesterday"}, {"32 hexadecimal", "show x"},
		{"settled by ann", "settle -by bob -why so " + all[0].Name}, {"needs who", "settle " + all[2].Name},
		{"not found", "show " + all[1].Name}, {"EDGE_STATE is not set", "list"}, {"no sender answers", "list -folder " + t.TempDir()},
		{"no such file", "list -store /no/such/file"},
	} {
		words := strings.Fields(c.args)
		if !strings.Contains(c.args, "-folder") && !strings.Contains(c.want, "EDGE_STATE") {
			words = append([]string{words[0], "-folder", folder}, words[1:]...)
		}
		if out := runUndelivered(t, 1, words...); !strings.Contains(out, c.want) {
			t.Errorf("%s: %s", c.args, out)
		}
	}
	for _, args := range [][]string{nil, {"-json"}, {"list", "-none"}, {"show"}, {"list", all[0].Name}, {"bake"}} {
		runUndelivered(t, 2, args...)
	}
	s.Process.Kill()
	s.Wait()
	copied := filepath.Join(t.TempDir(), "copy.db")
	raw, err := os.ReadFile(filepath.Join(folder, undelivered.FileName))
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(copied, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	if got := list("-store", copied); len(got) != 2 || got[0].State != undelivered.Resolved {
		t.Errorf("%+v", got)
	}
	start(t, p, state, "-features", file)
	wait(2)
}

package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	st "saffronyard.example/saffronyard/internal/sendertest"
	"saffronyard.example/saffronyard/internal/undelivered"
)

// effects counts a receiver's calls and their effects: a call with a key that the receiver remembers has no further effect.
type effects struct {
	mu    sync.Mutex
	calls map[string]int
	done  map[string]int       // effects, by message
	keys  map[string]time.Time // first seen
	delay time.Duration
}

const keyWindow = 7500 * time.Millisecond // of the tests' classes

func (e *effects) answer(c st.Call, nc net.Conn) bool {
	e.mu.Lock()
	e.calls[c.ID]++
	if at, ok := e.keys[c.Key]; !ok || strings.HasPrefix(c.ID, "unsafe") || time.Since(at) > keyWindow {
		e.done[c.ID]++
		e.keys[c.Key] = time.Now()
	}
	e.mu.Unlock()
	time.Sleep(e.delay)
	return st.Status(200)(c, nc)
}

func (e *effects) counts(id string) (calls, done int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.calls[id], e.done[id]
}

// storeUndelivered fills a store as after an outage: with messages of each class that never ran and messages that may have run.
func storeUndelivered(t *testing.T, folder string, each int) (ids []string) {
	t.Helper()
	if err := os.MkdirAll(folder, 0o700); err != nil {
		t.Fatal(err)
	}
	s, err := undelivered.Open(filepath.Join(folder, undelivered.FileName), undelivered.Limits{MaxBytes: 1 << 24})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	now := time.Now()
	var all []undelivered.Entry
	for _, class := range []string{"safe", "keyed", "unsafe"} {
		for _, outcome := range []undelivered.Outcome{undelivered.Rejected, undelivered.TimedOut} {
			for i := range each {
				id := fmt.Sprintf("%s-%s-%d", class, strings.ReplaceAll(string(outcome), " ", "-"), i)
				e := undelivered.Entry{Message: id, Member: "acme", Class: class, Key: "key-" + id, Body: []byte("body of " + id), Ending: undelivered.GivenUp,
					Effect: undelivered.Effect(class), AcceptedAt: now.Add(-time.Hour).UnixNano(), EndedAt: now.Add(-time.Hour + time.Duration(len(all))*time.Millisecond).UnixNano(), Deadline: now.Add(-time.Hour).UnixNano(),
					Attempts: []undelivered.Attempt{{At: now.Add(-time.Hour).UnixNano(), Endpoint: "s-0", Outcome: outcome}}}
				e.Reason = undelivered.ReasonOf(e.History())
				all = append(all, e)
				ids = append(ids, id)
			}
		}
	}
	if err := s.Record(all, now.UnixNano()); err != nil {
		t.Fatal(err)
	}
	return ids
}

const resendFile = `[work]
[undelivered]
[[undelivered.resend]]
name = "all"
well_for = "10ms"
share = 1.0
most = 50
deadline = "10s"
`

// A rule resends undelivered messages during live traffic while the sender is killed repeatedly. No message whose class forbids a
// repeat has its effect twice, and all messages that may be resent are sent in the end. SAFFRONYARD_RESENDS sets the number of
// messages of each of six kinds, and so the duration of the test; SAFFRONYARD_KILLS sets the number of kills.
func TestResend_SurvivesKills(t *testing.T) {
	each, kills := 12, 5
	fmt.Sscan(os.Getenv("SAFFRONYARD_RESENDS"), &each)
	fmt.Sscan(os.Getenv("SAFFRONYARD_KILLS"), &kills)
	r := &effects{calls: map[string]int{}, done: map[string]int{}, keys: map[string]time.Time{}, delay: 3 * time.Millisecond}
	e := st.NewEndpoint(t, r.answer)
	go func() {
		for range e.Calls { // the channel's buffer holds only a thousand calls
		}
	}()
	p := st.NewPlatform(t, e.Addr)
	go func() {
		for range p.Lists {
		}
	}()
	state := t.TempDir()
	ids := storeUndelivered(t, filepath.Join(state, "undelivered"), each)
	file := filepath.Join(t.TempDir(), "features.toml")
	if err := os.WriteFile(file, []byte(resendFile), 0o600); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	seed := uint64(time.Now().UnixNano())
	t.Log("seed", seed)
	rnd := rand.New(rand.NewPCG(seed, 0))
	live, n := 0, 0
	delivered := func() (n int) {
		for _, id := range ids {
			if calls, _ := r.counts(id); calls > 0 {
				n++
			}
		}
		return n
	}
	for kill := 0; ; kill++ {
		c := start(t, p, state, "-features", file)
		until := time.Now().Add(time.Duration(300+rnd.IntN(1200)) * time.Millisecond)
		for kill < kills && time.Now().Before(until) || kill >= kills {
			id := fmt.Sprintf("live-%d", n)
			n++
			if resp, _ := st.Do(t, st.Request(t, c.addr, st.Submission{ID: id, Class: "safe", Destination: 0, Deadline: 10 * time.Second, Body: "b"})); resp.StatusCode == 202 {
				live++
			}
			time.Sleep(time.Duration(rnd.IntN(4)) * time.Millisecond)
			if kill < kills {
				continue
			}
			// The last process runs until all messages that may be resent have been sent.
			out.Reset()
			if code := undeliveredCommand([]string{"list", "-folder", filepath.Join(state, "undelivered"), "-json"}, os.Getenv, &out, os.Stderr); code != 0 {
				t.Fatal(code)
			}
			remaining := 0
			for _, line := range strings.Split(out.String(), "\n") {
				if strings.Contains(line, `"state":"resending"`) || strings.Contains(line, `"class":"safe"`) || strings.Contains(line, "-refused-") && !strings.Contains(line, `"outcome":"unknown"`) {
					remaining++
				}
			}
			if remaining == 0 {
				break
			}
			if time.Now().After(until.Add(st.Wait + time.Duration(each)*time.Second)) {
				t.Fatalf("%d are not sent again, %d are\n%s", remaining, delivered(), out.String())
			}
			time.Sleep(20 * time.Millisecond)
		}
		c.Process.Kill()
		c.Wait()
		if kill >= kills {
			break
		}
	}
	notExecuted := 0
	for _, id := range ids {
		calls, done := r.counts(id)
		stored := strings.Contains(out.String(), `"message":"`+id+`"`)
		mayRepeat := strings.HasPrefix(id, "safe")
		switch {
		case strings.Contains(id, "timed-out") && !mayRepeat && calls > 0:
			t.Errorf("%s may have run, and was sent again", id)
		case !mayRepeat && done > 1:
			t.Errorf("%s had its effect %d times in %d calls", id, done, calls)
		case done == 0 && !stored:
			t.Errorf("%s is lost", id)
		case done == 0:
			notExecuted++
		}
	}
	// These are the messages that may not be resent, and at most one or two for each kill, whose calls were in flight at the kill.
	if bound := 2*each + 10*kills; notExecuted > bound {
		t.Errorf("%d had no effect, want at most %d", notExecuted, bound)
	}
	t.Logf("%d undelivered messages, %d kills, %d live messages; %d were resent", len(ids), kills, live, delivered())
}

// Manual resending: a dry run lists what would be resent, nothing is resent without a rule or a command, and messages that
// must not be repeated are never resent.
func TestResend_Manual(t *testing.T) {
	r := &effects{calls: map[string]int{}, done: map[string]int{}, keys: map[string]time.Time{}}
	e := st.NewEndpoint(t, r.answer)
	p := st.NewPlatform(t, e.Addr)
	state := t.TempDir()
	folder := filepath.Join(state, "undelivered")
	storeUndelivered(t, folder, 1)
	file := filepath.Join(t.TempDir(), "features.toml")
	if err := os.WriteFile(file, []byte("[work]\n[undelivered]\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	start(t, p, state, "-features", file)
	run := func(args ...string) string {
		t.Helper()
		var out, errs bytes.Buffer
		if code := undeliveredCommand(append(args, "-folder", folder), os.Getenv, &out, &errs); code != 0 {
			t.Fatalf("%v: %d %s", args, code, &errs)
		}
		return out.String()
	}
	dry := run("resend", "-dry-run")
	for _, want := range []string{"4 would go again", "1 would not: it may have run, and its class may not be repeated", "1 would not: it may have run, and the receiver may have forgotten its key"} {
		if !strings.Contains(dry, want) {
			t.Errorf("%s\nwant %q", dry, want)
		}
	}
	if len(e.Calls) > 0 {
		t.Error("a message was resent without a rule or a command")
	}
	if got := run("resend", "-class", "unsafe"); !strings.Contains(got, "2 are to go again") {
		t.Error(got)
	}
	if c := e.Next(t); c.ID != "unsafe-refused-0" || c.Body != "body of unsafe-refused-0" {
		t.Errorf("%+v", c)
	}
	if got := run("resend", "-stop"); !strings.Contains(got, "are stopped") {
		t.Error(got)
	}
	for deadline := time.Now().Add(st.Wait); !strings.Contains(run("count"), "1 were delivered after"); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal(run("count"))
		}
	}
	var out, errs bytes.Buffer
	if code := workCommand([]string{"list", "-state", state}, os.Getenv, &out, &errs); code != 0 || !strings.Contains(out.String(), "resend") {
		t.Errorf("%d %s%s", code, &out, &errs)
	}
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{nil, 2, "saffronyard work list"}, {[]string{"list", "x"}, 2, "saffronyard work list"}, {[]string{"pause"}, 2, "saffronyard work"}, {[]string{"show", "x"}, 2, "not a job number"},
		{[]string{"show", "999", "-state", state}, 2, "saffronyard work"}, {[]string{"show", "-state", state, "999"}, 1, "no such job"}, {[]string{"pause", "-state", state, "-kind", "resend"}, 0, ""},
		{[]string{"list", "-state", state}, 0, "paused"}, {[]string{"resume", "-state", state, "-kind", "resend"}, 0, ""}, {[]string{"drop", "-state", state, "77"}, 0, ""},
		{[]string{"list", "-state", state, "-json"}, 0, `"allow":`}, {[]string{"list", "-state", filepath.Join(state, "none")}, 1, "no sender answers"},
	} {
		var out, errs bytes.Buffer
		code := workCommand(c.args, func(string) string { return "" }, &out, &errs)
		if code != c.code || !strings.Contains(out.String()+errs.String(), c.want) {
			t.Errorf("%q: %d, %s%s; want %d, %q", c.args, code, &out, &errs, c.code, c.want)
		}
	}
}

// A rule changed by SIGHUP while the sender runs applies from then on; a file that can't be read changes nothing.
func TestResend_RulesChangeInService(t *testing.T) {
	r := &effects{calls: map[string]int{}, done: map[string]int{}, keys: map[string]time.Time{}}
	e := st.NewEndpoint(t, r.answer)
	p := st.NewPlatform(t, e.Addr)
	state := t.TempDir()
	storeUndelivered(t, filepath.Join(state, "undelivered"), 1)
	file := filepath.Join(t.TempDir(), "features.toml")
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(strings.Replace(resendFile, "most = 50", "most = 50\nby_hand = true", 1))
	c := start(t, p, state, "-features", file)
	waitForResendJob := func() { // waits until the engine has looked at the stored messages, twice
		t.Helper()
		for deadline := time.Now().Add(st.Wait); ; time.Sleep(20 * time.Millisecond) {
			var out, errs bytes.Buffer
			workCommand([]string{"list", "-state", state}, os.Getenv, &out, &errs)
			if strings.Contains(out.String(), "\nresend ") {
				return
			}
			if time.Now().After(deadline) {
				t.Fatal(out.String(), errs.String())
			}
		}
	}
	waitForResendJob()
	write("[work]\nnonsense = 1\n")
	c.Process.Signal(syscall.SIGHUP)
	waitForResendJob()
	if len(e.Calls) > 0 {
		t.Fatalf("%+v was resent, but the rule allows only manual resending", <-e.Calls)
	}
	write(resendFile)
	c.Process.Signal(syscall.SIGHUP)
	if c := e.Next(t); !strings.Contains("safe-refused-0 safe-timed-out-0 keyed-refused-0 unsafe-refused-0", c.ID) { // any of the messages that may be resent
		t.Errorf("%s was resent", c.ID)
	}
}

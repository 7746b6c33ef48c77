package main

import (
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"
	"time"

	"saffronyard.example/saffronyard/internal/faulttest/fleet"
	st "saffronyard.example/saffronyard/internal/sendertest"
)

// TestMain runs the sender instead of the tests if a test has started this program as a sender process.
func TestMain(m *testing.M) {
	if os.Getenv("SAFFRONYARD_TEST_CHILD") != "" {
		switch wrong := os.Getenv("SAFFRONYARD_TEST_WRONG"); wrong {
		case "":
		case "full":
			overrideFleetConfig = skipQuotaGrace
		case os.Getenv("EDGE_NAME"):
			overrideFleetConfig = slowClock
		case os.Getenv("EDGE_NAME") + " keeps":
			overrideFleetConfig = keepExpiredGrants
		}
		main()
		return
	}
	os.Exit(m.Run())
}

// process is a sender that can be killed.
type process struct {
	*exec.Cmd
	addr   string
	config string // path of its configuration file
}

// configure writes a configuration file.
func configure(t *testing.T, file string, p *st.Platform, state string) {
	t.Helper()
	configureWith(t, file, st.Config(p, state))
}

func configureWith(t *testing.T, file string, c map[string]any) {
	t.Helper()
	raw, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		t.Fatal(err)
	}
}

// start runs a sender and waits until it is ready.
func start(t *testing.T, p *st.Platform, state string, args ...string) *process {
	t.Helper()
	return startWith(t, st.Config(p, state), state, args...)
}

func startWith(t *testing.T, settings map[string]any, state string, args ...string) *process {
	t.Helper()
	addr, err := fleet.FreeAddr("127.0.0.1") // below the ports that endpoints of other tests listen on
	if err != nil {
		t.Fatal(err)
	}
	config := filepath.Join(t.TempDir(), "config.json")
	configureWith(t, config, settings)
	c := &process{exec.Command(os.Args[0], args...), addr, config}
	c.Env = append(os.Environ(), "SAFFRONYARD_TEST_CHILD=1", "GORACE=atexit_sleep_ms=0", "EDGE_CONFIG="+config, "EDGE_LISTEN="+addr, "EDGE_STATE="+state)
	c.Stderr = os.Stderr
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Process.Kill(); c.Wait() })
	for end := time.Now().Add(st.Wait); ; time.Sleep(10 * time.Millisecond) {
		resp, err := http.Get("http://" + addr + "/-/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return c
			}
		}
		if time.Now().After(end) {
			t.Fatal("the sender does not become ready")
		}
	}
}

// Accepted messages survive a kill: a message whose call was in flight is sent again with its id, key and body if its class
// allows a repeat, and ends with a notice if not. Delivered messages stay delivered.
func TestDaemon_KillAndRestart(t *testing.T) {
	silent := st.NewEndpoint(t, st.Unresponsive)
	good := st.NewEndpoint(t, st.Status(200))
	p := st.NewPlatform(t, good.Addr, silent.Addr, silent.Addr)
	state := t.TempDir()
	s := start(t, p, state)
	st.Submit(t, s.addr, st.Submission{ID: "done", Class: "unsafe", Destination: 0, Deadline: 15 * time.Second})
	good.Next(t)
	st.Submit(t, s.addr, st.Submission{ID: "keyed", Class: "keyed", Destination: 1, Deadline: 15 * time.Second})
	first := silent.Next(t)
	st.Submit(t, s.addr, st.Submission{ID: "unsafe", Class: "unsafe", Destination: 2, Deadline: 15 * time.Second})
	silent.Next(t)
	// The sender reads the answer to "done" at some later time, so a second message is delivered before the journal is checked.
	st.Submit(t, s.addr, st.Submission{ID: "done-2", Class: "unsafe", Destination: 0, Deadline: 15 * time.Second})
	good.Next(t)
	waitFor(t, filepath.Join(state, "messages.journal"), 2, `"how":"delivered"`)
	s.Process.Kill()
	s.Wait()

	again := st.NewEndpoint(t, st.Status(200))
	p.Change(st.Target("s-1", again.Addr, 1, "SERVING"))
	start(t, p, state)
	if c := again.Next(t); c.ID != "keyed" || c.Key != first.Key || c.Body != first.Body {
		t.Errorf("resumed as %+v, was %+v", c, first)
	}
	if n := st.Receive(t, p.Notices); n.Message != "unsafe" || n.Outcome != "given_up" {
		t.Errorf("notice %+v", n)
	}
	select {
	case c := <-good.Calls:
		t.Errorf("%s was delivered and is sent again", c.ID)
	default:
	}
}

// waitFor waits until a file contains a text at least the given number of times.
func waitFor(t *testing.T, file string, times int, text string) {
	t.Helper()
	for end := time.Now().Add(st.Wait); ; time.Sleep(5 * time.Millisecond) {
		raw, _ := os.ReadFile(file)
		n := 0
		for i := 0; i+len(text) <= len(raw); i++ {
			if string(raw[i:i+len(text)]) == text {
				n++
			}
		}
		if n >= times {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%s contains %q %d times", file, text, n)
		}
	}
}

// After SIGTERM new clients are still served, on connections that are closed after the answer. The process exits by itself in
// time, and the next process finishes the pending messages.
func TestDaemon_Terminate(t *testing.T) {
	silent := st.NewEndpoint(t, st.Unresponsive)
	good := st.NewEndpoint(t, st.Status(200))
	p := st.NewPlatform(t, good.Addr, silent.Addr)
	state := t.TempDir()
	settings := st.Config(p, state)
	widenKeyWindow(settings)
	s := startWith(t, settings, state)
	st.Submit(t, s.addr, st.Submission{ID: "slow", Class: "keyed", Destination: 1, Deadline: 19 * time.Second})
	silent.Next(t)
	began := time.Now()
	if err := s.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	// Clients still connect for a while, and each gets its answer.
	closes := 0
	for n := 0; time.Since(began) < time.Second; n++ {
		r := st.Request(t, s.addr, st.Submission{ID: "late" + strconv.Itoa(n), Class: "keyed", Destination: 0, Deadline: 15 * time.Second, Body: "late"})
		resp, body := st.Do(t, r)
		if resp.StatusCode != http.StatusAccepted {
			t.Fatalf("after SIGTERM: %s %s", resp.Status, body)
		}
		good.Next(t)
		if resp.Close {
			closes++
		}
		time.Sleep(5 * time.Millisecond)
	}
	if closes == 0 {
		t.Error("connections are kept open after SIGTERM")
	}
	if err := s.Wait(); err != nil {
		t.Errorf("the process exits with %v", err)
	}
	if took := time.Since(began); took > 3700*time.Millisecond {
		t.Errorf("the process exited after %v", took)
	}
	again := st.NewEndpoint(t, st.Status(200))
	p.Change(st.Target("s-1", again.Addr, 1, "SERVING"))
	startWith(t, settings, state)
	if c := again.Next(t); c.ID != "slow" {
		t.Errorf("resumed %+v", c)
	}
}

// SIGHUP makes the sender read its configuration again. It queries discovery at its new address at once, for the complete
// list and then for changes, and sends pending notices there, also those that the old address did not accept. The new file
// must take precedence over EDGE_DISCOVERY, which is from the start of the process. A file that can't be read changes
// nothing. A sender that does not catch SIGHUP is ended by it.
func TestDaemon_Reload(t *testing.T) {
	e := st.NewEndpoint(t, st.Status(500))
	moved := st.NewEndpoint(t, st.Status(200))
	old := st.NewPlatform(t, e.Addr)
	state := t.TempDir()
	t.Setenv("EDGE_DISCOVERY", old.Addr)
	s := start(t, old, state)
	hup := func() {
		t.Helper()
		if err := s.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	old.RejectNotices(true)
	st.Submit(t, s.addr, st.Submission{ID: "doubt", Class: "unsafe", Destination: 0, Deadline: 15 * time.Second})
	e.Next(t)
	waitFor(t, filepath.Join(state, "messages.journal"), 1, `"how":"given_up"`)

	for name, text := range map[string]string{"no JSON": "{", "no discovery": `{"settings":{}}`} {
		if err := os.WriteFile(s.config, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		hup()
		if resp, _ := st.Do(t, st.Request(t, s.addr, st.Submission{ID: "x", Class: "safe", Destination: 0, Deadline: 0, Body: ""})); resp.StatusCode != http.StatusInternalServerError {
			t.Errorf("%s: a message past its deadline is answered %s", name, resp.Status)
		}
	}
	other := st.NewPlatform(t, moved.Addr)
	configure(t, s.config, other, state)
	hup()
	if q := st.Receive(t, other.Lists); q != "" {
		t.Errorf("the first query to the new address is %q", q)
	}
	if q := st.Receive(t, other.Lists); q != "after=1&wait_ms=2000" {
		t.Errorf("the second query to the new address is %q", q)
	}
	if n := st.Receive(t, other.Notices); n.Message != "doubt" || n.Outcome != "given_up" {
		t.Errorf("notice %+v", n)
	}
	st.Submit(t, s.addr, st.Submission{ID: "next", Class: "keyed", Destination: 0, Deadline: 15 * time.Second})
	if c := moved.Next(t); c.ID != "next" {
		t.Errorf("the new list's endpoint got %+v", c)
	}
	for len(old.Lists) > 0 {
		<-old.Lists
	}
	other.Change(st.Target("s-5", e.Addr, 5, "SERVING"))
	st.Receive(t, other.Lists)
	if len(old.Lists) > 0 {
		t.Error("the old address is still queried")
	}
}

func TestDaemon_UnreadableConfiguration(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(`{"settings":{"step":"soon"}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), "SAFFRONYARD_TEST_CHILD=1", "EDGE_CONFIG="+file)
	out, err := c.CombinedOutput()
	if err == nil || len(out) == 0 {
		t.Errorf("%v: %s", err, out)
	}
}

// widenKeyWindow lets messages of the class "keyed" be repeated until their deadline. With the usual window of 7.5 s, a process that is
// delayed at its start by a slow disk would correctly give up the messages that it resumes.
func widenKeyWindow(settings map[string]any) {
	for _, service := range settings["settings"].(map[string]any)["services"].([]any) {
		service.(map[string]any)["dedupWindow"] = 20000.0
	}
}

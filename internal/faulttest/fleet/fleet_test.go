package fleet

import (
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"saffronyard.example/saffronyard/internal/faulttest/eventlog"
)

// The test binary itself also acts as the sender process; the sender's name selects its behaviour.
func TestMain(m *testing.M) {
	if how := os.Getenv("EDGE_NAME"); strings.HasPrefix(how, "as-") {
		play(how)
	}
	os.Exit(m.Run())
}

func play(how string) {
	if how == "as-crash" {
		os.Exit(3)
	}
	config, err := os.ReadFile(os.Getenv("EDGE_CONFIG"))
	state := os.Getenv("EDGE_STATE")
	if err != nil || !strings.Contains(string(config), state) {
		os.Exit(4)
	}
	if how == "as-stubborn" {
		signal.Ignore(syscall.SIGTERM)
	}
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go func() {
		for range hup {
			raw, _ := os.ReadFile(os.Getenv("EDGE_CONFIG"))
			os.WriteFile(filepath.Join(state, "reloaded"), raw, 0o644)
		}
	}()
	f, err := os.OpenFile(filepath.Join(state, "starts"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		os.Exit(5)
	}
	f.WriteString("x")
	http.ListenAndServe(os.Getenv("EDGE_LISTEN"), http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	os.Exit(6)
}

func start(t *testing.T, how string) (*Sender, *eventlog.Log) {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	log := eventlog.New(nil, nil)
	log.Restart()
	addr, err := FreeAddr("127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	s, err := New(Config{Name: "as-" + how, Listen: addr, Folder: t.TempDir(), Command: []string{self}, Log: log,
		Configure: func(int, bool) (map[string]any, error) { return map[string]any{"discovery": "x:1"}, nil }})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, log
}

func kinds(log *eventlog.Log) string {
	var all []string
	for _, e := range log.Events() {
		all = append(all, strings.TrimSpace(string(e.Kind)+" "+e.Detail))
	}
	return strings.Join(all, ", ")
}

func starts(t *testing.T, s *Sender) int {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(s.state(), "starts"))
	if err != nil {
		t.Fatal(err)
	}
	return len(raw)
}

// The state folder survives a kill and a restart, but not the loss of the machine.
func TestKillAndLose(t *testing.T) {
	t.Parallel()
	s, log := start(t, "sender")
	for _, step := range []func() error{func() error { return s.Start(true) }, func() error { return s.Kill(false) }, func() error { return s.Start(false) }} {
		if err := step(); err != nil {
			t.Fatal(err)
		}
	}
	if n := starts(t, s); n != 2 || !s.Ready() || !s.Accepts() {
		t.Errorf("%d starts recorded in the state folder, ready %v", n, s.Ready())
	}
	if err := s.Kill(true); err != nil {
		t.Fatal(err)
	}
	if s.Ready() || s.Running() || s.Accepts() {
		t.Error("the sender runs although it was killed")
	}
	if err := s.Start(true); err != nil {
		t.Fatal(err)
	}
	if n := starts(t, s); n != 1 {
		t.Errorf("%d starts recorded since the state folder was emptied", n)
	}
	if got := kinds(log); got != "start new, ready, kill, exit, start, ready, kill lost, exit, start new, ready" {
		t.Error(got)
	}
	if cpu, memory := s.Used(); cpu <= 0 || memory <= 0 {
		t.Errorf("used %v, %d", cpu, memory)
	}
}

// A process that ends by itself counts as crashed; one that the kit ends does not.
func TestCrash(t *testing.T) {
	t.Parallel()
	s, log := start(t, "crash")
	if err := s.Start(true); err == nil || !strings.Contains(err.Error(), s.Log()) {
		t.Errorf("%v", err)
	}
	if got := kinds(log); got != "start new, exit crash" {
		t.Error(got)
	}
}

func TestTerm(t *testing.T) {
	t.Parallel()
	s, log := start(t, "sender")
	if err := s.Start(true); err != nil {
		t.Fatal(err)
	}
	s.Term()
	if got := kinds(log); got != "start new, ready, term, exit" {
		t.Error(got)
	}
}

// A process that ignores SIGTERM is killed after TermTime.
func TestTermThenKill(t *testing.T) {
	t.Parallel()
	s, log := start(t, "stubborn")
	if err := s.Start(true); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	s.Term()
	if took := time.Since(began); took < TermTime {
		t.Errorf("killed after %v", took)
	}
	if got := kinds(log); got != "start new, ready, term, kill, exit" {
		t.Error(got)
	}
}

// The new configuration is completely written before SIGHUP arrives.
func TestReload(t *testing.T) {
	t.Parallel()
	s, _ := start(t, "sender")
	if err := s.Reload(map[string]any{}); err == nil {
		t.Error("no error for the reload of a sender that does not run")
	}
	if err := s.Start(true); err != nil {
		t.Fatal(err)
	}
	if err := s.Reload(map[string]any{"discovery": "moved:2"}); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		raw, err := os.ReadFile(filepath.Join(s.state(), "reloaded"))
		if err == nil && strings.Contains(string(raw), "moved:2") {
			break
		}
		if time.Now().After(end) {
			t.Fatal("not reloaded")
		}
	}
	if !s.Ready() {
		t.Error("the sender is no longer ready")
	}
}

// A closed sender is not started again.
func TestClosed(t *testing.T) {
	t.Parallel()
	s, log := start(t, "sender")
	s.Close()
	if err := s.Start(true); err != nil || s.Running() || kinds(log) != "" {
		t.Errorf("%v, %s", err, kinds(log))
	}
}

// A snapshot has the state folder as it was when taken, and restoring it removes later changes. A suspended process still exists but
// does not answer until it is resumed.
func TestSender_SuspendAndOldFolder(t *testing.T) {
	t.Parallel()
	s, log := start(t, "sender")
	if err := s.RestoreSnapshot(); err == nil || !strings.Contains(err.Error(), "no copy") {
		t.Errorf("restored without a copy: %v", err)
	}
	for _, step := range []func() error{func() error { return s.Start(true) }, s.SaveSnapshot, func() error { return s.Kill(false) }, func() error { return s.Start(false) }} {
		if err := step(); err != nil {
			t.Fatal(err)
		}
	}
	if n := starts(t, s); n != 2 {
		t.Errorf("%d starts recorded in the state folder", n)
	}
	if err := s.RestoreSnapshot(); err == nil || !strings.Contains(err.Error(), "runs") {
		t.Errorf("restored while a process runs: %v", err)
	}
	s.Suspend()
	client := http.Client{Timeout: 200 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	if resp, err := client.Get("http://" + s.Listen); err == nil {
		resp.Body.Close()
		t.Error("the sender answers while it is suspended")
	}
	s.Resume()
	client.Timeout = 20 * time.Second
	resp, err := client.Get("http://" + s.Listen)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	for _, step := range []func() error{func() error { return s.Kill(false) }, s.RestoreSnapshot, func() error { return s.Start(false) }} {
		if err := step(); err != nil {
			t.Fatal(err)
		}
	}
	if n := starts(t, s); n != 2 { // the one in the copy, and this one
		t.Errorf("%d starts recorded in the restored folder", n)
	}
	if got := kinds(log); got != "start new, ready, folder kept, kill, exit, start, ready, pause, pause, kill, exit, folder old, start, ready" {
		t.Error(got)
	}
}

// FreeAddr returns addresses that lie below the ephemeral ports, are free, and differ.
func TestFreeAddr(t *testing.T) {
	seen := map[string]bool{}
	for range 200 {
		addr, err := FreeAddr("127.0.0.1")
		if err != nil {
			t.Fatal(err)
		}
		_, text, _ := net.SplitHostPort(addr)
		port, _ := strconv.Atoi(text)
		if seen[addr] || port < firstFreePort || port >= firstFreePort+freePortCount {
			t.Errorf("%s is returned, after %d others", addr, len(seen))
		}
		seen[addr] = true
		l, err := net.Listen("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		l.Close()
	}
	if _, err := FreeAddr("192.0.2.1"); err == nil {
		t.Error("no error for an address of another machine")
	}
}

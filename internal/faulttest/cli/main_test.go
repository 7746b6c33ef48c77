package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"saffronyard.example/saffronyard/internal/faulttest/eventlog"
	"saffronyard.example/saffronyard/internal/faulttest/judge"
)

// programs are the sender and the fault-test command, built once for all tests, so that tests run them as a user does.
var programs struct {
	once              sync.Once
	sender, faultTest string
	err               error
}

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "rehearse-test-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Setenv("TMPDIR", dir) // removes what the tests leave behind
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

func buildPrograms(t *testing.T) (sender, faultTest string) {
	t.Helper()
	programs.once.Do(func() {
		dir := os.Getenv("TMPDIR")
		build := exec.Command("go", "build", "-o", dir+"/", "saffronyard.example/saffronyard/cmd/saffronyard", "saffronyard.example/saffronyard/cmd/fault-test")
		if out, err := build.CombinedOutput(); err != nil {
			programs.err = fmt.Errorf("%w: %s", err, out)
		}
		programs.sender, programs.faultTest = filepath.Join(dir, "saffronyard"), filepath.Join(dir, programName)
	})
	if programs.err != nil {
		t.Fatal(programs.err)
	}
	return programs.sender, programs.faultTest
}

// call runs a subcommand in this process.
func runCommand(t *testing.T, args ...string) (code int, out, errs string) {
	t.Helper()
	var o, e bytes.Buffer
	code = command(context.Background(), args, &o, &e)
	return code, o.String(), e.String()
}

// slowMachine is the grace of days that are played on a busy machine, whose load must not change their verdict.
const slowMachine = 300 * time.Millisecond

// maxDayAttempts is the maximum number of times that a day is played while it is inconclusive because the kit ran late. A conclusive
// day is not repeated, whatever its verdict is.
const maxDayAttempts = 8

// The judge reports each wrong sender for the rule that it breaks and for no other rule, and passes the right sender.
func TestSelftest(t *testing.T) {
	_, faultTest := buildPrograms(t)
	var out bytes.Buffer
	code, err := selftestWith(context.Background(), faultTest, 4, maxDayAttempts, slowMachine, &out)
	t.Log("\n" + out.String())
	if err != nil || code != judge.ExitPass {
		t.Fatalf("exit %d: %v", code, err)
	}
	if n := strings.Count(out.String(), "found out"); n != 6 || strings.Count(out.String(), "green") != 1 {
		t.Errorf("%d wrong senders detected, want 6 and one passing sender", n)
	}
}

// unexpectedVerdict reports a trial whose verdict does not match the sender's fault: an undetected fault, a violation of another rule,
// a failed right sender or a rule without a chance.
func TestSelftestThatMisses(t *testing.T) {
	result := func(broken int) judge.Report {
		var r judge.Report
		for rule := 1; rule <= 6; rule++ {
			v := judge.Pass
			if rule == broken {
				v = judge.Fail
			}
			r.Results = append(r.Results, judge.Result{Rule: rule, Verdict: v})
		}
		return r
	}
	for name, c := range map[string]struct {
		trial trial
		right bool
	}{
		"found out":       {trial{rule: 3, verdict: result(3)}, true},
		"green":           {trial{rule: 0, verdict: result(0)}, true},
		"not found out":   {trial{rule: 3, verdict: result(0)}, false},
		"wrong rule":      {trial{rule: 3, verdict: result(4)}, false},
		"right one fails": {trial{rule: 0, verdict: result(1)}, false},
		"no chance":       {trial{rule: 0, verdict: judge.Report{Results: []judge.Result{{Rule: 1, Verdict: judge.NotTried}}}}, false},
	} {
		if why := c.trial.unexpectedVerdict(); (why == "") != c.right {
			t.Errorf("%s: %q", name, why)
		}
	}
}

// Two short days against the real sender pass: one with brief faults of receivers, one with restarts of senders. The verdict and the
// report made again from the event log are the same.
func TestShortDays(t *testing.T) {
	sender, _ := buildPrograms(t)
	dir := t.TempDir()
	log, page := filepath.Join(dir, "events.jsonl"), filepath.Join(dir, "report.html")
	code, out, errs := runCommand(t, "run", "-sender", sender, "-quiet", "-tries", strconv.Itoa(maxDayAttempts), "-log", log, "-report", page, "testdata/troubles.toml", "testdata/senders.toml")
	t.Log("\n" + out + errs)
	if code != judge.ExitPass {
		t.Fatalf("exit %d", code)
	}
	for _, rule := range []string{"1", "2", "3", "4", "5", "6"} {
		if !regexp.MustCompile(`(?m)^  ` + rule + `  .* PASS `).MatchString(out) {
			t.Errorf("rule %s did not pass on either day", rule)
		}
	}
	if !strings.Contains(out, "1 receivers woke with a burst; the last to be served as usual, r4, was after") {
		t.Error("the burst is not in the report")
	}
	for _, name := range []string{"troubles", "senders"} {
		log := strings.Replace(log, ".jsonl", "-"+name+".jsonl", 1)
		if code, again, _ := runCommand(t, "judge", log); code != judge.ExitPass || !strings.Contains(out, strings.SplitN(again, "worst 10 s", 2)[0]) {
			t.Errorf("judge on the event log of %s: exit %d:\n%s", name, code, again)
		}
		page := strings.Replace(page, ".html", "-"+name+".html", 1)
		was, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		if code, _, _ := runCommand(t, "report", log, page+"2"); code != 0 {
			t.Errorf("report: exit %d", code)
		}
		if is, err := os.ReadFile(page + "2"); err != nil || !bytes.Equal(is, was) {
			t.Errorf("the report made again from the event log of %s differs: %v", name, err)
		}
		checkProcessesEnded(t, log)
	}
}

// checkProcessesEnded checks that every process that a day's event log records as started has ended.
func checkProcessesEnded(t *testing.T, path string) {
	t.Helper()
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	events, _, err := eventlog.Read(f, path)
	if err != nil {
		t.Fatal(err)
	}
	starts, exits := 0, 0
	for _, e := range events {
		switch e.Kind {
		case eventlog.Start:
			starts++
		case eventlog.Exit:
			exits++
		default: // other events say nothing about processes
		}
	}
	if starts == 0 || starts != exits {
		t.Errorf("%s: %d processes started and %d ended", path, starts, exits)
	}
}

// A day whose sender exits before it is ready is inconclusive, and a sender program that does not exist is a bad argument: neither
// must count as a pass.
func TestSenderThatCannotRun(t *testing.T) {
	code, _, errs := runCommand(t, "run", "-quiet", "-sender", "/bin/false", "testdata/troubles.toml")
	if code != judge.ExitInconclusive || !strings.Contains(errs, "before it was ready") {
		t.Errorf("exit %d: %s", code, errs)
	}
	code, _, errs = runCommand(t, "run", "-quiet", "-sender", "/no/such/program", "testdata/troubles.toml")
	if code != judge.ExitScript || !strings.Contains(errs, "/no/such/program") {
		t.Errorf("exit %d: %s", code, errs)
	}
}

func TestBadUse(t *testing.T) {
	dir := t.TempDir()
	bad := filepath.Join(dir, "bad.toml")
	over := filepath.Join(dir, "over.toml")
	torn := filepath.Join(dir, "torn.jsonl")
	for path, text := range map[string]string{bad: "[day]\nseconds = 3\nsecnds = 4\n", over: "[[sender]]\ndo = \"kill\"\nwhich = \"n0\"\n", torn: "{\"kind\":\"end\"}\nnoise\n"} {
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range []struct {
		args []string
		want string
	}{
		{nil, "fault-test plays a day"},
		{[]string{"dance"}, `unknown command "dance"`},
		{[]string{"run", "-nosuch"}, "nosuch"},
		{[]string{"run", bad}, bad + ":3: unknown key"},
		{[]string{"run", over}, "laid over a day"},
		{[]string{"run", filepath.Join(dir, "none.toml")}, "none.toml"},
		{[]string{"judge"}, "want 1 arguments, got 0"},
		{[]string{"judge", torn}, torn + ":2: not an event"},
		{[]string{"list", dir + "/nowhere"}, "no scripts in"},
		{[]string{"up", bad}, bad + ":3"},
		{[]string{mutantCommand, "nothing"}, "configuration"},
	} {
		code, out, errs := runCommand(t, c.args...)
		if c.args != nil && c.args[0] == mutantCommand {
			c.want = "no fault is called"
		}
		if code != judge.ExitScript || !strings.Contains(out+errs, c.want) {
			t.Errorf("%v: exit %d, %s%s", c.args, code, out, errs)
		}
	}
}

func TestListAndPlan(t *testing.T) {
	code, out, errs := runCommand(t, "list", "../../../rehearsals")
	if code != 0 || strings.Count(out, "\n") < 16 || !strings.Contains(out, "holiday-peak") || !strings.Contains(out, "laid over a day") {
		t.Errorf("exit %d: %s%s", code, out, errs)
	}
	args := []string{"run", "-plan", "../../../rehearsals/hang.toml", "../../../rehearsals/over/kill-n0.toml", "../../../rehearsals/slow.toml"}
	code, first, _ := runCommand(t, args...)
	_, second, _ := runCommand(t, args...)
	if code != 0 || first != second || !strings.Contains(first, "hang+kill-n0: ") || !strings.Contains(first, "kill") || !strings.Contains(first, "\nslow: ") {
		t.Errorf("exit %d: %s", code, first)
	}
	_, other, _ := runCommand(t, append([]string{"run", "-plan", "-seed", "99"}, args[2:]...)...)
	if other == first {
		t.Error("another seed gives the same plan")
	}
	code, both, _ := runCommand(t, "run", "-plan", "-together", "../../../rehearsals/hang.toml", "../../../rehearsals/slow.toml")
	if code != 0 || !strings.Contains(both, "hang+slow: ") || !strings.Contains(both, "trouble hang") || !strings.Contains(both, "trouble slow") {
		t.Errorf("exit %d: %s", code, both)
	}
}

// SIGINT ends a day and its processes, and the event log has the events up to then.
func TestInterrupted(t *testing.T) {
	sender, faultTest := buildPrograms(t)
	log := filepath.Join(t.TempDir(), "events.jsonl")
	cmd := exec.Command(faultTest, "run", "-sender", sender, "-log", log, "testdata/troubles.toml")
	var errs, out syncBuffer
	cmd.Stderr, cmd.Stdout = &errs, &out
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	waitFor(t, "no progress line", func() bool { return regexp.MustCompile(` [1-9]\d* asked`).MatchString(errs.String()) })
	cmd.Process.Signal(syscall.SIGINT)
	err := cmd.Wait()
	if cmd.ProcessState.ExitCode() != judge.ExitInconclusive || !strings.Contains(out.String(), "broken off") {
		t.Errorf("%v: %s", err, out.String())
	}
	checkProcessesEnded(t, log)
	if code, out, _ := runCommand(t, "judge", log); code != judge.ExitInconclusive || !strings.Contains(out, "the log ends before the day does") {
		t.Errorf("judge on the log of an interrupted day: exit %d: %s", code, out)
	}
}

// When the kit is killed with SIGKILL, its senders end too.
func TestKilledKit(t *testing.T) {
	sender, faultTest := buildPrograms(t)
	logs := t.TempDir()
	cmd := exec.Command(faultTest, "run", "-sender", sender, "-logs", logs, "testdata/troubles.toml")
	var errs syncBuffer
	cmd.Stderr = &errs
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "no progress line", func() bool { return strings.Contains(errs.String(), "asked") })
	cmd.Process.Kill()
	cmd.Wait()
	raw, err := os.ReadFile(filepath.Join(logs, "troubles", "n0", "config.json"))
	if err != nil {
		t.Fatal(err)
	}
	var c struct{ Listen string }
	if err := json.Unmarshal(raw, &c); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the sender still runs after the kit was killed", func() bool {
		resp, err := http.Get("http://" + c.Listen + "/-/ready")
		if err == nil {
			resp.Body.Close()
		}
		return err != nil
	})
}

// The up command prints the addresses and a curl command to hand a message in. A message that is handed in that way arrives and is printed.
func TestUp(t *testing.T) {
	sender, faultTest := buildPrograms(t)
	cmd := exec.Command(faultTest, "up", "-sender", sender, "-for", "60s")
	var out syncBuffer
	cmd.Stdout, cmd.Stderr = &out, &out
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	waitFor(t, "no curl line", func() bool {
		return strings.Contains(out.String(), "curl -i") && strings.Contains(out.String(), "^C ends it")
	})
	addr := regexp.MustCompile(`-d hello http://(\S+)/api`).FindStringSubmatch(out.String())
	headers := regexp.MustCompile(`-H "([\w-]+): ([^"]*)"`).FindAllStringSubmatch(out.String(), -1)
	if addr == nil || len(headers) != 6 {
		t.Fatalf("the curl command has no address or not 6 headers: %s", out.String())
	}
	r, err := http.NewRequest(http.MethodPost, "http://"+addr[1]+"/api", strings.NewReader("hello"))
	if err != nil {
		t.Fatal(err)
	}
	for _, h := range headers {
		r.Header.Set(h[1], strings.ReplaceAll(h[2], "$(date +%s%N)", "by-hand"))
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	if resp.StatusCode != http.StatusAccepted {
		t.Fatalf("the message was answered %s, want 202", resp.Status)
	}
	waitFor(t, "the message has not arrived", func() bool { return strings.Contains(out.String(), "message by-hand ended there: 200") })
	cmd.Process.Signal(syscall.SIGINT)
	if err := cmd.Wait(); err != nil {
		t.Errorf("%v: %s", err, out.String())
	}
}

type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(60 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

// On a day with all CloudEvents formats mixed, faults, a kill and a restart, every rule holds and every event arrives as its client
// sent it.
func TestShortDayOfEvents(t *testing.T) {
	sender, _ := buildPrograms(t)
	log := filepath.Join(t.TempDir(), "events.jsonl")
	code, out, errs := runCommand(t, "run", "-sender", sender, "-quiet", "-tries", strconv.Itoa(maxDayAttempts), "-log", log, "testdata/forms.toml")
	t.Log("\n" + out + errs)
	if code != judge.ExitPass {
		t.Fatalf("exit %d", code)
	}
	checkProcessesEnded(t, log)
}

// deviations reports answers, worth and delivery times that lie outside the spread of the plain runs, and nothing else.
func TestOutside(t *testing.T) {
	result := func(share, p50 float64, statuses ...string) *variantResult {
		p := &variantResult{variant: variant{name: "x"}, firstAnswers: map[string]string{}}
		p.sum.ServedFraction, p.sum.Latency50 = share, p50
		for i, f := range statuses {
			p.firstAnswers[fmt.Sprint(i)] = f
		}
		return p
	}
	answers := func(n int, f string) []string {
		all := make([]string, 100)
		for i := range all {
			if all[i] = "202"; i < n {
				all[i] = f
			}
		}
		return all
	}
	plain := []*variantResult{result(0.95, 0.2, answers(0, "")...), result(0.97, 0.22, answers(3, "503")...)}
	for name, c := range map[string]struct {
		run  *variantResult
		want string
	}{
		"the same":   {result(0.96, 0.21, answers(4, "503")...), ""},
		"answers":    {result(0.96, 0.21, answers(9, "422")...), "9 messages were answered otherwise"},
		"less worth": {result(0.93, 0.21, answers(0, "")...), "93.00% of the worth"},
		"more worth": {result(0.99, 0.21, answers(0, "")...), "99.00% of the worth"},
		"slower":     {result(0.96, 0.3, answers(0, "")...), "within 0.300 s"},
		"no answers": {result(0, 0, answers(100, "0")...), "100 messages"},
	} {
		got := strings.Join(deviations(plain, []*variantResult{c.run}, 0.01), "\n")
		if c.want == "" && got != "" || !strings.Contains(got, c.want) {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
	}
}

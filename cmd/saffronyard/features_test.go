package main

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	st "saffronyard.example/saffronyard/internal/sendertest"
)

func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "saffronyard.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// 'check' prints what a file enables, and reports errors with file, line and key.
func TestCheckCommand(t *testing.T) {
	for text, c := range map[string]struct {
		code int
		want string
	}{
		"":                                {0, "nothing is on"},
		"[quiet]\nfold_after = \"90s\"\n": {0, "destinations fold after 1m30s"},
		"[quiet]\nfold = 3\n":             {2, `saffronyard.toml:2: unknown key "quiet.fold"`},
	} {
		var out, errs bytes.Buffer
		if code := checkCommand([]string{write(t, text)}, &out, &errs); code != c.code || !strings.Contains(out.String()+errs.String(), c.want) {
			t.Errorf("%q: %d, %s%s", text, code, out.String(), errs.String())
		}
	}
	event := write(t, `{"specversion":"1.0","id":"1","source":"/s","type":"card","subject":"7"}`)
	other := write(t, `{"specversion":"1.0","id":"1","source":"/s","type":"other"}`)
	broken := write(t, `{"specversion":"1.0","id":"1","source":"/s"}`)
	rules := write(t, "[events]\n[[events.rule]]\nname = \"cards\"\ntype = \"card\"\nclass = \"safe\"\ndestination = \"{subject}\"\n")
	for _, c := range []struct {
		file, event string
		code        int
		want        []string
	}{
		{rules, event, 0, []string{"rule cards: fits", "class safe, tenant none, destination 7"}},
		{rules, other, 1, []string{`rule cards: does not fit: type "other" is not "card"`, "turned away: no rule fits"}},
		{rules, broken, 2, []string{"attribute type is missing"}},
		{rules, event + "x", 2, []string{"no such file"}},
		{write(t, ""), event, 1, []string{"events are off"}},
	} {
		var out, errs bytes.Buffer
		code := checkCommand([]string{"-event", c.event, c.file}, &out, &errs)
		for _, want := range c.want {
			if code != c.code || !strings.Contains(out.String()+errs.String(), want) {
				t.Errorf("%d, %s%s; want %d and %q", code, out.String(), errs.String(), c.code, want)
			}
		}
	}
	var out, errs bytes.Buffer
	if code := checkCommand(nil, &out, &errs); code != 2 || !strings.Contains(errs.String(), "FILE") {
		t.Errorf("without a file: %d, %s", code, errs.String())
	}
}

// A sender with an invalid features file does not start and reports the position of the error. Unknown arguments are an error as well.
func TestDaemon_FeaturesFile(t *testing.T) {
	p := st.NewPlatform(t)
	dir := t.TempDir()
	config := filepath.Join(dir, "config.json")
	configure(t, config, p, dir)
	for text, c := range map[string]struct {
		code int
		want string
	}{"[quiet]\n\nfold_after = \"soon\"\n": {1, "saffronyard.toml:3:"}, "[quite]\n": {1, "unknown key"},
		"[events]\n[[events.rule]]\nclass = \"nothing\"\ndestination = \"1\"\n":                                         {1, `class \"nothing\"`},
		"[events]\nremember_most = 100000\n[[events.rule]]\nclass = \"safe\"\ntenant = \"acme\"\ndestination = \"1\"\n": {1, "remember_most = 100000 takes"}} {
		cmd := exec.Command(os.Args[0], "-features", write(t, text))
		cmd.Env = append(os.Environ(), "SAFFRONYARD_TEST_CHILD=1", "EDGE_CONFIG="+config)
		out, _ := cmd.CombinedOutput()
		if cmd.ProcessState.ExitCode() != c.code || !strings.Contains(string(out), c.want) {
			t.Errorf("%q: exit %d, %s", text, cmd.ProcessState.ExitCode(), out)
		}
	}
	cmd := exec.Command(os.Args[0], "serve")
	cmd.Env = append(os.Environ(), "SAFFRONYARD_TEST_CHILD=1", "EDGE_CONFIG="+config)
	if out, _ := cmd.CombinedOutput(); cmd.ProcessState.ExitCode() != 2 || !strings.Contains(string(out), "serve") {
		t.Errorf("an unknown argument: %s", out)
	}
}

package main

import (
	"bytes"
	"io"
	"os"
	"strings"
	"testing"
)

// Run through cobra, the flag commands have the same output and exit code as without it, for any arguments.
func TestCommand_FlagCommandsRunUnchanged(t *testing.T) {
	getenv := func(string) string { return "" }
	for _, words := range [][]string{{"check"}, {"check", "-event"}, {"check", "/no/such/file"}, {"check", "../../deploy/saffronyard.toml"}, {"zone"}, {"zone", "burn"},
		{"zone", "check", "/no/such/file"}, {"work", "list"}, {"work", "-h"}, {"undelivered", "list", "-state", "/no/such"}, {"peers", "-state", "/no/such"},
		{"knowledge", "seven"}, {"knowledge", "-json", "-state", t.TempDir(), "7"}} {
		var out, errs, o, e bytes.Buffer
		got := command(words, getenv, strings.NewReader(""), &out, &errs)
		want := -1
		for _, flagCmd := range flagCommands {
			if flagCmd.name == words[0] {
				want = flagCmd.run(words[1:], getenv, strings.NewReader(""), &o, &e)
			}
		}
		if got != want || out.String() != o.String() || errs.String() != e.String() {
			t.Errorf("%q: exit %d, %q %q; without cobra %d, %q %q", words, got, out.String(), errs.String(), want, o.String(), e.String())
		}
	}
	if isCommand("burn") || isCommand("-features") || !isCommand("policy") {
		t.Error("isCommand is wrong for burn, -features or policy")
	}
	var out bytes.Buffer
	if code := command([]string{"help"}, getenv, nil, &out, io.Discard); code != 0 || !strings.Contains(out.String(), "undelivered") || !strings.Contains(out.String(), "policy") {
		t.Errorf("exit %d, %s", code, out.String())
	}
}

// The log is text or one JSON object a line; any other format is rejected.
func TestNewLogger_Formats(t *testing.T) {
	stderr := os.Stderr
	defer func() { os.Stderr = stderr }()
	for format, want := range map[string]string{"text": `msg=here n=7`, "json": `"msg":"here","n":7}`} {
		r, w, err := os.Pipe()
		if err != nil {
			t.Fatal(err)
		}
		os.Stderr = w
		log, err := newLogger(format, nil)
		if err != nil {
			t.Fatal(err)
		}
		log.Info("here", "n", 7)
		w.Close()
		if raw, _ := io.ReadAll(r); !strings.Contains(string(raw), want) {
			t.Errorf("%s: %s", format, raw)
		}
	}
	if _, err := newLogger("xml", nil); err == nil {
		t.Error("format xml is accepted")
	}
}

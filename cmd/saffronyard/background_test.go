package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	st "saffronyard.example/saffronyard/internal/sendertest"
)

// Background work writes snapshots of the knowledge about receivers, and the next process reads the last snapshot.
func TestBackground_WritesKnowledgeSnapshots(t *testing.T) {
	e := st.NewEndpoint(t, st.Status(200))
	p := st.NewPlatform(t, e.Addr)
	state := t.TempDir()
	file := filepath.Join(t.TempDir(), "features.toml")
	if err := os.WriteFile(file, []byte("[work]\n[knowledge]\nevery = \"500ms\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	c := start(t, p, state, "-features", file)
	st.Submit(t, c.addr, st.Submission{ID: "m", Class: "safe", Destination: 0, Deadline: 10 * time.Second})
	e.Next(t)
	list := func() string {
		var out, errs bytes.Buffer
		workCommand([]string{"list", "-state", state}, os.Getenv, &out, &errs)
		return out.String() + errs.String()
	}
	for deadline := time.Now().Add(st.Wait); !strings.Contains(list(), "knowledge.snapshot"); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal(list())
		}
	}
	for deadline := time.Now().Add(st.Wait); ; time.Sleep(20 * time.Millisecond) {
		if info, err := os.Stat(filepath.Join(state, "knowledge")); err == nil && info.Size() > 60 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("no snapshot was written")
		}
	}
	c.Process.Kill() // a killed process writes nothing at its end
	c.Wait()
	c = start(t, p, state, "-features", file)
	var out, errs bytes.Buffer
	if code := knowledgeCommand([]string{"-state", state, "0"}, os.Getenv, &out, &errs); code != 0 || !strings.Contains(out.String(), "earlier") {
		t.Errorf("%d %s%s", code, &out, &errs)
	}
	terminated := time.Now()
	c.Process.Signal(syscall.SIGTERM)
	if err := c.Wait(); err != nil || time.Since(terminated) > 3700*time.Millisecond {
		t.Errorf("the process ended after %v: %v", time.Since(terminated), err)
	}
}

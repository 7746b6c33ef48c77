package main

import (
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	st "saffronyard.example/saffronyard/internal/sendertest"
)

const eventRules = "[events]\n[[events.rule]]\nsubject = \"{dest}\"\nclass = \"{type}\"\ntenant = \"acme\"\ndestination = \"{dest}\"\ndeadline = \"15s\"\n"

// submitEvent submits an event and returns the status and the body of the answer.
func submitEvent(t *testing.T, addr, id, class string, dest int) (int, string) {
	t.Helper()
	body := fmt.Sprintf(`{"specversion":"1.0","id":%q,"source":"/s","type":%q,"subject":"%d","data":{"n":1}}`, id, class, dest)
	r, err := http.NewRequest("POST", "http://"+addr+"/events", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Content-Type", "application/cloudevents+json")
	resp, text := st.Do(t, r)
	return resp.StatusCode, text
}

// A sender is killed with one event delivered, one in flight, and one in flight that may not be repeated. After the restart
// a client that submits an event again gets the outcome of its first submission, and the receivers see one effect of each event.
func TestEvents_SurviveKill(t *testing.T) {
	silent := st.NewEndpoint(t, st.Unresponsive)
	good := st.NewEndpoint(t, st.Status(200))
	p := st.NewPlatform(t, good.Addr, silent.Addr, silent.Addr)
	state, file := t.TempDir(), write(t, eventRules)
	s := start(t, p, state, "-features", file)
	submitUntil := func(addr, id, class string, dest, status int) {
		t.Helper()
		for end := time.Now().Add(st.Wait); ; time.Sleep(5 * time.Millisecond) {
			got, text := submitEvent(t, addr, id, class, dest)
			if got == status {
				return
			}
			if got != http.StatusAccepted || time.Now().After(end) {
				t.Fatalf("%s is answered %d %s, want %d", id, got, text, status)
			}
		}
	}
	submitUntil(s.addr, "done", "unsafe", 0, 202)
	good.Next(t)
	submitUntil(s.addr, "done", "unsafe", 0, 200)
	submitUntil(s.addr, "out", "keyed", 1, 202)
	first := silent.Next(t)
	submitUntil(s.addr, "once", "unsafe", 2, 202)
	silent.Next(t)
	s.Process.Kill()
	s.Wait()

	again := st.NewEndpoint(t, st.Status(200))
	p.Change(st.Target("s-1", again.Addr, 1, "SERVING"))
	s = start(t, p, state, "-features", file)
	submitUntil(s.addr, "done", "unsafe", 0, 200)
	submitUntil(s.addr, "once", "unsafe", 2, 500)
	submitUntil(s.addr, "out", "keyed", 1, 200)
	if c := again.Next(t); c.Key != first.Key || c.ID != first.ID || c.Header.Get("Ce-Id") != "out" || c.Body != `{"n":1}` {
		t.Errorf("resumed as %+v, was %+v", c, first)
	}
	if n := st.Receive(t, p.Notices); n.Outcome != "given_up" {
		t.Errorf("%+v", n)
	}
	if len(good.Calls)+len(again.Calls)+len(silent.Calls) != 0 {
		t.Error("there are further calls")
	}
	waitFor(t, filepath.Join(state, "messages.journal"), 1, `"how":"delivered"`)
}

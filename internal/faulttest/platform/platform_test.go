package platform

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"saffronyard.example/saffronyard/internal/faulttest/eventlog"
)

const testTimeout = 20 * time.Second

type notice struct{ sender, id, outcome string }

func start(t *testing.T) (*Platform, *eventlog.Log, string, func() []notice) {
	t.Helper()
	log := eventlog.New(nil, nil)
	log.Restart()
	var mu sync.Mutex
	var all []notice
	p := New(log, func() string { return "127.0.0.1" }, func(sender, id, outcome string, retry time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		all = append(all, notice{sender, id, fmt.Sprint(outcome, retry)})
	})
	t.Cleanup(p.Close)
	addr, err := p.Open("n0")
	if err != nil {
		t.Fatal(err)
	}
	return p, log, addr, func() []notice { mu.Lock(); defer mu.Unlock(); return append([]notice(nil), all...) }
}

func get(t *testing.T, addr, query string) (Targets, int) {
	t.Helper()
	resp, err := http.Get("http://" + addr + "/api/targets" + query)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var list Targets
	if resp.StatusCode == http.StatusOK {
		if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
			t.Fatal(err)
		}
	}
	return list, resp.StatusCode
}

func target(id string, cell int, state string) Target {
	return Target{ID: id, Addr: "127.0.0.1:1", Cell: cell, State: state}
}

// listSent returns the endpoint states that the log records as sent to senders with the given note, in order.
func listSent(log *eventlog.Log, note string) (lines []string) {
	for _, e := range log.Events() {
		if e.Kind == eventlog.ListSent && e.Detail == note {
			lines = append(lines, e.Endpoint+" "+e.State)
		}
	}
	return lines
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

// The complete list omits deleted endpoints, a watch returns changes including deletions, and the log has the states that a sender
// got.
func TestListAndWatch(t *testing.T) {
	p, log, addr, _ := start(t)
	p.Set(target("a", 0, Serving))
	p.Set(target("b", 1, Serving))
	list, _ := get(t, addr, "")
	if list.Version != 2 || !list.Full || len(list.Servers) != 2 {
		t.Fatalf("%+v", list)
	}
	answer := make(chan Targets, 1)
	go func() {
		l, _ := get(t, addr, "?after=2&wait_ms=20000")
		answer <- l
	}()
	eventually(t, "no watch is open", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.feeds["n0"].watching == 1
	})
	p.Set(target("a", 0, Deleted))
	if l := <-answer; l.Version != 3 || l.Full || len(l.Servers) != 1 || l.Servers[0].State != Deleted {
		t.Errorf("%+v", l)
	}
	if l, _ := get(t, addr, "?after=1&wait_ms=0"); len(l.Servers) != 2 {
		t.Errorf("changes since version 1: %+v", l)
	}
	if l, _ := get(t, addr, "?after=3&wait_ms=10"); l.Version != 3 || l.Servers == nil || len(l.Servers) != 0 {
		t.Errorf("watch without changes: %+v", l)
	}
	if l, _ := get(t, addr, ""); len(l.Servers) != 1 {
		t.Errorf("complete list: %+v", l)
	}
	eventually(t, "the states that the sender got are not in the log", func() bool {
		return strings.Join(listSent(log, ""), ", ") == "a SERVING, b SERVING, a DELETED"
	})
}

// A complete list that omits an endpoint counts as a notification of its deletion.
func TestCompleteList_OmitsRemovedEndpoints(t *testing.T) {
	p, log, addr, _ := start(t)
	p.Set(target("a", 0, Serving))
	get(t, addr, "")
	p.Set(target("a", 0, Draining))
	p.Set(target("a", 0, Deleted))
	get(t, addr, "")
	eventually(t, "the log lacks states that the sender got", func() bool { return strings.Join(listSent(log, ""), ", ") == "a SERVING, a DELETED" })
}

// While discovery is down, requests fail and watches end, but notices are accepted. Afterwards requests succeed again.
func TestDown(t *testing.T) {
	p, _, addr, notices := start(t)
	status := make(chan int, 1)
	go func() {
		_, s := get(t, addr, "?after=0&wait_ms=20000")
		status <- s
	}()
	eventually(t, "no watch is open", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.feeds["n0"].watching == 1
	})
	p.Down(true)
	if s := <-status; s != http.StatusServiceUnavailable {
		t.Errorf("the watch ends with %d, want 503", s)
	}
	fresh := http.Client{Transport: &http.Transport{DisableKeepAlives: true}} // on a reused connection the client would retry
	if resp, err := fresh.Get("http://" + addr + "/api/targets"); err == nil {
		resp.Body.Close()
		t.Errorf("the next request ends with %s, want a broken connection", resp.Status)
	}
	if _, s := get(t, addr, ""); s != http.StatusServiceUnavailable {
		t.Errorf("the request after that ends with %d, want 503", s)
	}
	resp, err := http.Post("http://"+addr+"/v1/notices", "", strings.NewReader(`{"message":"m","outcome":"given_up"}`))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent || len(notices()) != 1 {
		t.Errorf("notices while discovery is down: %s", resp.Status)
	}
	p.Down(false)
	if _, s := get(t, addr, ""); s != http.StatusOK {
		t.Errorf("after discovery is up again, a request ends with %d", s)
	}
}

// After a move the new address serves requests, the old one accepts no new connections, and a watch that is open there ends.
func TestMove(t *testing.T) {
	p, _, addr, _ := start(t)
	watch := make(chan error, 1)
	go func() {
		resp, err := http.Get("http://" + addr + "/api/targets?after=0&wait_ms=20000")
		if err == nil {
			_, err = io.ReadAll(resp.Body)
			resp.Body.Close()
		}
		watch <- err
	}()
	eventually(t, "no watch is open", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.feeds["n0"].watching == 1
	})
	next, err := p.Move("n0")
	if err != nil {
		t.Fatal(err)
	}
	p.Set(target("a", 0, Serving))
	if l, _ := get(t, next, ""); len(l.Servers) != 1 {
		t.Errorf("%+v", l)
	}
	<-watch // answered or cut off, at the latest when the connections to the old address are closed
	eventually(t, "the old address still accepts connections", func() bool {
		c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := c.Get("http://" + addr + "/api/targets")
		if err == nil {
			resp.Body.Close()
		}
		return err != nil
	})
	if p.Addr("n0") != next {
		t.Error("Addr does not return the new address")
	}
}

// A restarted process gets the list as its sender last got it; a fresh sender gets the current list.
func TestKnown(t *testing.T) {
	p, log, addr, _ := start(t)
	p.Set(target("a", 0, Serving))
	if l := p.Started("n0", 1, true); len(l.Servers) != 1 || l.Servers[0].State != Serving {
		t.Errorf("fresh sender: %+v", l)
	}
	p.Set(target("a", 0, Draining))
	p.Set(target("b", 0, Serving))
	if l := p.Started("n0", 2, false); len(l.Servers) != 1 || l.Servers[0].State != Serving || l.Version != 1 {
		t.Errorf("list after a restart: %+v", l)
	}
	get(t, addr, "")
	eventually(t, "the log lacks states that the sender got", func() bool { return len(listSent(log, "")) == 2 })
	if l := p.Started("n0", 3, false); len(l.Servers) != 2 || l.Servers[0].State != Draining {
		t.Errorf("list after a restart: %+v", l)
	}
	if l := p.Started("n0", 4, true); len(l.Servers) != 2 {
		t.Errorf("sender after the loss of its machine: %+v", l)
	}
}

func TestUnreadableNotices(t *testing.T) {
	_, log, addr, notices := start(t)
	for _, text := range []string{"noise", `{"message":"","outcome":"given_up"}`, `{"message":"m","outcome":"lost"}`,
		`{"message":"m","outcome":"handed_back","retry_in_ms":-5}`, `{"message":"m","outcome":"given_up"}{"mess`} {
		resp, err := http.Post("http://"+addr+"/v1/notices", "", strings.NewReader(text))
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusBadRequest {
			t.Errorf("notice %q: %s, want 400", text, resp.Status)
		}
	}
	if n := notices(); len(n) != 0 {
		t.Errorf("unreadable notices were accepted: %v", n)
	}
	n := 0
	for _, e := range log.Events() {
		if e.Outcome == "unreadable" {
			n++
		}
	}
	if n != 5 {
		t.Errorf("%d unreadable notices in the log, want 5", n)
	}
	resp, err := http.Post("http://"+addr+"/v1/notices", "", strings.NewReader("{\"message\":\"a\",\"outcome\":\"given_up\"}\n{\"message\":\"b\",\"outcome\":\"handed_back\",\"retry_in_ms\":500}\n"))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if n := fmt.Sprint(notices()); n != "[{n0 a given_up0s} {n0 b handed_back500ms}]" {
		t.Errorf("%s", n)
	}
}

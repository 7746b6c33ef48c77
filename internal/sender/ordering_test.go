package sender

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"saffronyard.example/saffronyard/brain"
	st "saffronyard.example/saffronyard/internal/sendertest"
)

// orderedClass adds an ordered class.
func orderedClass(c *Config) {
	c.Classes = append(c.Classes, "ordered")
	c.Settings.Classes = append(c.Settings.Classes, brain.Class{LatencyTarget: 2500 * time.Millisecond, Deadline: 20 * time.Second,
		Idempotency: brain.Idempotent, Ordered: true, Value: 1, LateValue: 0.5})
}

// gatedDestinations starts two destinations; calls to the first are answered once release is closed.
func gatedDestinations(t *testing.T) (first, second *st.Endpoint, p *st.Platform, release chan struct{}) {
	release = make(chan struct{})
	first = st.NewEndpoint(t, func(c st.Call, nc net.Conn) bool {
		<-release
		return st.Status(200)(c, nc)
	})
	second = st.NewEndpoint(t, st.Status(200))
	return first, second, st.NewPlatform(t, first.Addr, second.Addr), release
}

// checkOrder checks that b, with the same key as a, waits for a's end, while c, which has no key, does not wait.
func checkOrder(t *testing.T, addr string, first, second *st.Endpoint, release chan struct{}) {
	t.Helper()
	if c := first.Next(t); c.ID != "a" {
		t.Fatalf("the first destination got %s", c.ID)
	}
	if resp, text := st.Do(t, st.Request(t, addr, st.Submission{ID: "c", Class: "ordered", Destination: 1, Deadline: 15 * time.Second, Body: "c"})); resp.StatusCode != http.StatusAccepted {
		t.Fatalf("message c is answered %s %s", resp.Status, text)
	}
	if c := second.Next(t); c.ID != "c" {
		t.Errorf("%s was sent while an earlier message with its key was in flight", c.ID)
	}
	close(release)
	if c := second.Next(t); c.ID != "b" {
		t.Errorf("after the first message of the key %s was sent", c.ID)
	}
}

func submitOrdered(t *testing.T, addr, id, key string, dest int) {
	t.Helper()
	r := st.Request(t, addr, st.Submission{ID: id, Class: "ordered", Destination: dest, Deadline: 15 * time.Second, Body: id})
	r.Header.Set("X-Order-Key", key)
	if resp, text := st.Do(t, r); resp.StatusCode != http.StatusAccepted {
		t.Fatalf("%s %s", resp.Status, text)
	}
}

// Messages with the same key are sent one at a time, in the order in which they were accepted, whatever their destinations.
func TestOrderingKey(t *testing.T) {
	t.Parallel()
	first, second, p, release := gatedDestinations(t)
	addr := run(t, p, orderedClass)
	submitOrdered(t, addr, "a", "k", 0)
	submitOrdered(t, addr, "b", "k", 1)
	checkOrder(t, addr, first, second, release)
}

// The order survives a restart: the key is in the journal, also in a compacted one.
func TestOrderingKey_SurvivesRestart(t *testing.T) {
	t.Parallel()
	first, second, p, release := gatedDestinations(t)
	addr := run(t, p, func(c *Config) {
		orderedClass(c)
		j := openTestJournal(t, c.StateDir, 1<<20)
		for dest, id := range []string{"a", "b"} {
			if _, err := j.insertAndFlush(record{ID: id, Class: "ordered", Tenant: "acme", OrderKey: "k", Dest: uint32(dest), Deadline: newClock().now() + 15*time.Second}); err != nil {
				t.Fatal(err)
			}
		}
		if err := j.compact(); err != nil {
			t.Fatal(err)
		}
		if err := j.close(); err != nil {
			t.Fatal(err)
		}
	})
	checkOrder(t, addr, first, second, release)
}

// An ordering key that is too long to be stored is rejected; in a class without an order the key is ignored.
func TestOrderingKey_Bounds(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.Status(200))
	addr := run(t, st.NewPlatform(t, e.Addr), orderedClass)
	for class, status := range map[string]int{"ordered": http.StatusBadRequest, "safe": http.StatusAccepted} {
		r := st.Request(t, addr, st.Submission{ID: class, Class: class, Destination: 0, Deadline: 15 * time.Second, Body: "x"})
		r.Header.Set("X-Order-Key", strings.Repeat("k", maxNameBytes+1))
		if resp, text := st.Do(t, r); resp.StatusCode != status {
			t.Errorf("class %s: %s %q", class, resp.Status, text)
		}
	}
}

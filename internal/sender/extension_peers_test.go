package sender

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/knowledge"
	"saffronyard.example/saffronyard/internal/peers"
	st "saffronyard.example/saffronyard/internal/sendertest"
)

// queryAdmin decodes the answer to a query over a sender's admin socket.
func queryAdmin(t *testing.T, state, path string, into any) {
	t.Helper()
	client := http.Client{Timeout: st.Wait, Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "unix", filepath.Join(state, SocketName))
		}}}
	resp, err := client.Get("http://sender" + path)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Fatal(resp.Status)
	}
	if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
		t.Fatal(err)
	}
}

func hasFact(t *testing.T, state, sort, source, text string) bool {
	t.Helper()
	var facts []KnownFact
	queryAdmin(t, state, "/knowledge?receiver=0", &facts)
	for _, f := range facts {
		if f.Kind == sort && f.Source == source && strings.Contains(f.Says, text) {
			return true
		}
	}
	return false
}

// startIn runs a sender with its state in a given folder, for a test that ends the sender itself and reuses the folder.
func startIn(t *testing.T, p *st.Platform, state string, edit func(*Config)) (addr string, leave func()) {
	t.Helper()
	s := newTestSender(t, p, func(c *Config) {
		c.StateDir = state
		c.Knowledge = &Knowledge{Interval: 500 * time.Millisecond, MaxBytes: 64 << 10}
		edit(c)
	})
	addr, stop := serving(t, s)
	leave = sync.OnceFunc(stop)
	t.Cleanup(leave)
	return addr, leave
}

// rateLimitingEndpoint is an endpoint that answers its first call with a wait and serves the others.
func rateLimitingEndpoint(t *testing.T, wait time.Duration) *st.Endpoint {
	first := make(chan struct{}, 1)
	first <- struct{}{}
	return st.NewEndpoint(t, func(c st.Call, nc net.Conn) bool {
		select {
		case <-first:
			return st.Status(429, "X-RateLimit-Wait-Ms: "+strings.TrimSuffix(wait.String(), "s")+"000")(c, nc)
		default:
			return st.Status(200)(c, nc)
		}
	})
}

// A process respects the wait that an endpoint demanded of an earlier process, because it reads that process's snapshot. If the
// snapshot is damaged, only this knowledge is lost.
func TestKnowledge_OfEarlierProcess(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		damage func(path string) error
		waits  bool
	}{"intact": {func(string) error { return nil }, true}, "damaged": {func(path string) error { return os.WriteFile(path, []byte("SYKNOW"), 0o600) }, false},
		"none": {os.Remove, false}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const wait = 3 * time.Second
			e := rateLimitingEndpoint(t, wait)
			p := st.NewPlatform(t, e.Addr)
			state := t.TempDir()
			addr, leave := startIn(t, p, state, func(*Config) {})
			st.Submit(t, addr, st.Submission{ID: "first", Class: "keyed", Destination: 0, Deadline: 15 * time.Second})
			e.Next(t)
			from := time.Now()
			until(t, func() bool { return hasFact(t, state, "wait", "self", "asked for a wait") })
			leave()
			if err := c.damage(filepath.Join(state, knowledgeFileName)); err != nil {
				t.Fatal(err)
			}
			startIn(t, p, state, func(*Config) {})
			e.Next(t)
			// The first process received the response at about the time from, so the bound is 50 ms below the wait.
			if waits := time.Since(from) >= wait-50*time.Millisecond; waits != c.waits {
				t.Errorf("the next call came %v after a wait of %v was asked for", time.Since(from), wait)
			}
		})
	}
}

// A new sender respects a wait that an endpoint demanded of another sender, and reports that sender as the source.
func TestPeers_ShareObservations(t *testing.T) {
	t.Parallel()
	const wait = 5 * time.Second
	e := rateLimitingEndpoint(t, wait)
	p := st.NewPlatform(t, e.Addr)
	withPeers := func(name string, seeds ...string) func(*Config) {
		return func(c *Config) {
			c.Name = name
			c.Peers = &peers.Config{Name: name, Incarnation: 1, Cluster: "test", Listen: "127.0.0.1:0", Exchange: "127.0.0.1:0", Seeds: seeds}
		}
	}
	oldState, newState := t.TempDir(), t.TempDir()
	old, _ := startIn(t, p, oldState, withPeers("old"))
	st.Submit(t, old, st.Submission{ID: "first", Class: "keyed", Destination: 0, Deadline: 15 * time.Second})
	e.Next(t)
	from := time.Now()
	until(t, func() bool { return hasFact(t, oldState, "wait", "self", "asked for a wait") })
	var report PeersReport
	queryAdmin(t, oldState, "/peers", &report)
	if report.Name != "old" || report.Cluster != "test" || report.OwnFacts == 0 {
		t.Errorf("%+v", report)
	}
	fresh, _ := startIn(t, p, newState, withPeers("fresh", membershipAt(t, oldState)))
	until(t, func() bool { return hasFact(t, newState, "wait", "old", "asked for a wait") })
	st.Submit(t, fresh, st.Submission{ID: "second", Class: "keyed", Destination: 0, Deadline: 15 * time.Second})
	e.Next(t)
	if got := time.Since(from); got < wait-50*time.Millisecond {
		t.Errorf("a call came %v after a wait of %v was asked for", got, wait)
	}
	queryAdmin(t, newState, "/peers", &report)
	if len(report.Members) != 1 || report.Members[0].Name != "old" || report.FactsBySource["old"] == 0 {
		t.Errorf("%+v", report)
	}
}

// membershipAt is the address of a sender's membership, as the sender reports it.
func membershipAt(t *testing.T, state string) string {
	t.Helper()
	var r PeersReport
	queryAdmin(t, state, "/peers", &r)
	return r.Address
}

// Facts on a receiver that come before the list names it go to the module once it does. Facts on a receiver that is never listed are
// dropped once they are not trusted any more. The module gets a single observation for each receiver.
func TestPeers_FactsBeforeEndpointListed(t *testing.T) {
	s := newTestSender(t, st.NewPlatform(t), nil)
	p := &peersExtension{s: s, view: knowledge.NewView(10), reports: knowledge.NewReports(10), unlisted: map[knowledge.Subject]struct{}{}}
	now := s.clock.now()
	fact := func(dest uint32, endpoint string) knowledge.Fact {
		return knowledge.Fact{Subject: knowledge.Subject{Destination: dest, Endpoint: endpoint}, Kind: knowledge.Health, ObservedAt: now, Calls: 1,
			Source: knowledge.Source{Name: "a", Incarnation: 1}, Value: knowledge.Value{State: knowledge.Unhealthy, Since: now}}
	}
	own := fact(3, "")
	own.Source = knowledge.Source{}
	if got := p.handle(peerFacts{[]knowledge.Fact{fact(3, ""), fact(4, "e4"), own}}, now); len(got) != 0 {
		t.Errorf("the module gets observations of receivers that are not listed: %+v", got)
	}
	s.endpoints.Apply(Targets{Servers: []Target{{ID: "e3", Addr: "127.0.0.1:1", Destination: 3, State: "SERVING"}}}, false, s.config.endpointNames(), s.pool)
	got := p.onListUpdate(now)
	if len(got) != 1 || got[0].(brain.Observation).Destination != 3 || got[0].(brain.Observation).Health != brain.Unhealthy || got[0].(brain.Observation).Local {
		t.Errorf("%+v", got)
	}
	s.endpoints.Apply(Targets{Servers: []Target{{ID: "e4", Addr: "127.0.0.1:1", Destination: 9, State: "SERVING"}}}, false, s.config.endpointNames(), s.pool)
	if got := p.onListUpdate(now); len(got) != 0 {
		t.Errorf("the module gets observations of an endpoint that serves another receiver: %+v", got)
	}
	if len(p.unlisted) != 1 {
		t.Errorf("subjects that are not listed: %v", p.unlisted)
	}
}

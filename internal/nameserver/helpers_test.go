package nameserver

import (
	"context"
	"encoding/base64"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/miekg/dns"

	"saffronyard.example/saffronyard/internal/membership"
)

const testTimeout = 20 * time.Second // bound on waiting for an expected event

func secret(seed string) string {
	return base64.StdEncoding.EncodeToString([]byte(seed + strings.Repeat("x", 32)))
}

func mustParseKeys(t testing.TB, lines ...string) []Key {
	t.Helper()
	keys, err := parseKeys("keys", strings.Join(lines, "\n"))
	if err != nil {
		t.Fatal(err)
	}
	return keys
}

func testKeys(t testing.TB) []Key {
	return mustParseKeys(t, "ops. hmac-sha256 "+secret("ops"), "xfer. hmac-sha512 "+secret("xfer"))
}

// replaceFile replaces a file by a rename, as many editors do.
func replaceFile(t testing.TB, path, text string) {
	t.Helper()
	if err := os.WriteFile(path+"~", []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+"~", path); err != nil {
		t.Fatal(err)
	}
}

// testConfig returns a configuration with one zone, example., from a file in dir. Key ops may change it and key xfer transfer it.
func testConfig(t testing.TB, dir string) *Config {
	t.Helper()
	path := filepath.Join(dir, "example.zone")
	if _, err := os.Stat(path); err != nil {
		replaceFile(t, path, zoneText)
	}
	return &Config{Listen: "127.0.0.1:0", Folder: filepath.Join(dir, "state"), Keys: testKeys(t), Spans: membership.DefaultFollowerConfig(),
		Zones:   []ZoneConfig{{Name: "example.", File: path, TransferKeys: []string{"xfer."}, Updates: []Update{{Key: "ops.", Grant: grantAll()}}}},
		Members: []membership.Member{{Destination: 7, Name: "hooks.example.", Port: 80, Weight: 1}}}
}

func startService(t testing.TB, c *Config) *Service {
	t.Helper()
	s, err := Start(c, discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

// endpointRecorder records the endpoints that a service reports.
type endpointRecorder struct {
	mu     sync.Mutex
	states map[string]string // state by address
	change chan struct{}
}

func recordEndpoints(t testing.TB, s *Service) *endpointRecorder {
	f := &endpointRecorder{states: map[string]string{}, change: make(chan struct{}, 1000)}
	take := func(u membership.Update) {
		f.mu.Lock()
		for _, l := range u.Servers {
			f.states[l.Addr] = l.State
		}
		f.mu.Unlock()
		f.change <- struct{}{}
	}
	take(s.Initial())
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Follow(ctx, take)
	}()
	t.Cleanup(func() { stop(); <-done })
	return f
}

// waitForServing waits until exactly the given addresses are serving.
func (f *endpointRecorder) waitForServing(t testing.TB, want ...string) {
	t.Helper()
	over := time.After(testTimeout)
	for {
		f.mu.Lock()
		var got []string
		for a, state := range f.states {
			if state == membership.Serving {
				got = append(got, strings.TrimSuffix(a, ":80"))
			}
		}
		f.mu.Unlock()
		slices.Sort(got)
		if slices.Equal(got, want) {
			return
		}
		select {
		case <-f.change:
		case <-over:
			t.Fatalf("serving %v, want %v", got, want)
		}
	}
}

// roundTrip sends a message, signed if key is not empty, and returns the answer.
func roundTrip(t testing.TB, addr, network, key string, keys []Key, m *dns.Msg) *dns.Msg {
	t.Helper()
	ring := NewKeyring(keys)
	m.Id = dns.Id()
	if key != "" {
		if err := ring.Sign(m, key, time.Now().Unix()); err != nil {
			t.Fatal(err)
		}
	}
	c := dns.Client{Net: network, Timeout: testTimeout, TsigProvider: ring, UDPSize: 4096}
	r, _, err := c.Exchange(m, addr)
	if err != nil && r == nil {
		t.Fatal(err)
	}
	return r
}

func insertUpdate(name, addr string) *dns.Msg {
	m := new(dns.Msg).SetUpdate("example.")
	rr, _ := dns.NewRR(name + " 60 IN A " + addr)
	m.Insert([]dns.RR{rr})
	return m
}

// setAddr is setAddrIn for the zone example.
func setAddr(t testing.TB, name, addr string) *dns.Msg { return setAddrIn(t, "example.", name, addr) }

func addressesOf(s *Service, name string) []string {
	var out []string
	for _, rr := range s.zones["example."].current.Load().Set(name, dns.TypeA) {
		out = append(out, rr.(*dns.A).A.String())
	}
	return out
}

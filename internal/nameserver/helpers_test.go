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

const wait = 20 * time.Second // for what should come

func secret(seed string) string {
	return base64.StdEncoding.EncodeToString([]byte(seed + strings.Repeat("x", 32)))
}

func keysOf(t testing.TB, lines ...string) []Key {
	t.Helper()
	keys, err := parseKeys("keys", strings.Join(lines, "\n"))
	if err != nil {
		t.Fatal(err)
	}
	return keys
}

func usualKeys(t testing.TB) []Key {
	return keysOf(t, "ops. hmac-sha256 "+secret("ops"), "xfer. hmac-sha512 "+secret("xfer"))
}

// put writes a file as an editor does that replaces it.
func put(t testing.TB, path, text string) {
	t.Helper()
	if err := os.WriteFile(path+"~", []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+"~", path); err != nil {
		t.Fatal(err)
	}
}

// updated is a configuration with one zone, example., from a file in dir, which key ops may change and key xfer transfer.
func updated(t testing.TB, dir string) *Config {
	t.Helper()
	path := filepath.Join(dir, "example.zone")
	if _, err := os.Stat(path); err != nil {
		put(t, path, zoneText)
	}
	return &Config{Listen: "127.0.0.1:0", Folder: filepath.Join(dir, "state"), Keys: usualKeys(t), Spans: membership.DefaultFollowerConfig(),
		Zones:   []ZoneConfig{{Name: "example.", File: path, TransferKeys: []string{"xfer."}, Updates: []Update{{Key: "ops.", Grant: everything()}}}},
		Members: []membership.Member{{Destination: 7, Name: "hooks.example.", Port: 80, Weight: 1}}}
}

func begun(t testing.TB, c *Config) *Service {
	t.Helper()
	s, err := Start(c, quiet())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

// followed is what a service tells, as a list.
type followed struct {
	mu     sync.Mutex
	list   map[string]string // state by address
	change chan struct{}
}

func following(t testing.TB, s *Service) *followed {
	f := &followed{list: map[string]string{}, change: make(chan struct{}, 1000)}
	take := func(u membership.Update) {
		f.mu.Lock()
		for _, l := range u.Servers {
			f.list[l.Addr] = l.State
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

// until waits for addresses to be served, and no others.
func (f *followed) until(t testing.TB, want ...string) {
	t.Helper()
	over := time.After(wait)
	for {
		f.mu.Lock()
		var got []string
		for a, state := range f.list {
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
			t.Fatalf("served are %v, want %v", got, want)
		}
	}
}

// asked sends a message, signed by a key if one is named, and gives the answer.
func asked(t testing.TB, addr, network, key string, keys []Key, m *dns.Msg) *dns.Msg {
	t.Helper()
	ring := NewKeyring(keys)
	m.Id = dns.Id()
	if key != "" {
		if err := ring.Sign(m, key, time.Now().Unix()); err != nil {
			t.Fatal(err)
		}
	}
	c := dns.Client{Net: network, Timeout: wait, TsigProvider: ring, UDPSize: 4096}
	r, _, err := c.Exchange(m, addr)
	if err != nil && r == nil {
		t.Fatal(err)
	}
	return r
}

func insert(name, addr string) *dns.Msg {
	m := new(dns.Msg).SetUpdate("example.")
	rr, _ := dns.NewRR(name + " 60 IN A " + addr)
	m.Insert([]dns.RR{rr})
	return m
}

func replaceWith(t testing.TB, name, addr string) *dns.Msg { return moved(t, "example.", name, addr) }

func addressesOf(s *Service, name string) []string {
	var out []string
	for _, rr := range s.zones["example."].current.Load().Set(name, dns.TypeA) {
		out = append(out, rr.(*dns.A).A.String())
	}
	return out
}

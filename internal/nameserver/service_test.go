package nameserver

import (
	"context"
	"encoding/base64"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/miekg/dns"

	"saffronyard.example/saffronyard/internal/membership"
	"saffronyard.example/saffronyard/internal/zone"
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

// A member moves by an update, is told of at once, and stays moved over a restart; the zone's file gets it, too.
func TestService_FollowsUpdate(t *testing.T) {
	dir := t.TempDir()
	c := updated(t, dir)
	s := begun(t, c)
	f := following(t, s)
	f.until(t, "127.0.0.2")
	if r := asked(t, s.Address(), "tcp", "ops.", c.Keys, replaceWith(t, "hooks.example.", "127.0.0.3")); r.Rcode != dns.RcodeSuccess {
		t.Fatal(r)
	}
	f.until(t, "127.0.0.3")
	if r := asked(t, s.Address(), "udp", "", nil, new(dns.Msg).SetQuestion("HOOKS.example.", dns.TypeA)); len(r.Answer) != 1 || !r.Authoritative {
		t.Fatal(r)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	s = begun(t, updated(t, dir)) // between an update's answer and its effect elsewhere: as if killed, the file is old
	if got := s.Initial().Servers; len(got) != 1 || got[0].Addr != "127.0.0.3:80" {
		t.Fatalf("after a restart it is at %v", got)
	}
	z := s.zones["example."]
	if !z.isFileBehind() {
		t.Fatal("the file is not known to be behind")
	}
	if err := z.writeFile(); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(c.Zones[0].File)
	if err != nil || !strings.Contains(string(text), "127.0.0.3") || z.isFileBehind() {
		t.Fatalf("the file has %s (%v)", text, err)
	}
	if info, err := os.Stat(c.Zones[0].File); err != nil || info.Mode().Perm() != 0o644 {
		t.Error("the file's mode is another", info.Mode(), err)
	}
}

// Who may change what: each refusal has its code, and leaves nothing in the zone.
func TestServer_RejectsUpdate(t *testing.T) {
	dir := t.TempDir()
	c := updated(t, dir)
	c.Zones[0].Updates = []Update{{Key: "ops.", Grant: zone.Grant{Names: []string{"hooks.example."}, Types: []uint16{dns.TypeA}}}}
	s := begun(t, c)
	stale := func(m *dns.Msg, at time.Duration, fudge uint16) *dns.Msg {
		m.Id = dns.Id()
		m.SetTsig("ops.", dns.HmacSHA256, fudge, time.Now().Add(at).Unix())
		return m
	}
	ring := NewKeyring(c.Keys)
	exchange := func(m *dns.Msg) *dns.Msg {
		t.Helper()
		client := dns.Client{Net: "tcp", Timeout: wait, TsigProvider: ring}
		r, _, err := client.Exchange(m, s.Address())
		if r == nil {
			t.Fatal(err)
		}
		return r
	}
	other := keysOf(t, "ops. hmac-sha256 "+secret("wrong"), "stranger. hmac-sha256 "+secret("s"))
	before := s.zones["example."].current.Load().Zone
	for _, c := range []struct {
		name        string
		r           *dns.Msg
		rcode, tsig int
	}{
		{"unsigned", asked(t, s.Address(), "tcp", "", nil, insert("hooks.example.", "127.0.0.9")), dns.RcodeRefused, -1},
		{"a key that is not there", asked(t, s.Address(), "tcp", "stranger.", other, insert("hooks.example.", "127.0.0.9")), dns.RcodeNotAuth, dns.RcodeBadKey},
		{"a wrong secret", asked(t, s.Address(), "tcp", "ops.", other, insert("hooks.example.", "127.0.0.9")), dns.RcodeNotAuth, dns.RcodeBadSig},
		{"a key that may not change the zone", asked(t, s.Address(), "tcp", "xfer.", c.Keys, insert("hooks.example.", "127.0.0.9")), dns.RcodeRefused, 0},
		{"a name that it may not", asked(t, s.Address(), "tcp", "ops.", c.Keys, insert("ns.example.", "127.0.0.9")), dns.RcodeRefused, 0},
		{"a zone that is not here", asked(t, s.Address(), "tcp", "ops.", c.Keys, func() *dns.Msg { m := insert("x.other.", "127.0.0.9"); m.Question[0].Name = "other."; return m }()), dns.RcodeNotAuth, 0},
		{"six minutes old", exchange(stale(insert("hooks.example.", "127.0.0.9"), -6*time.Minute, 300)), dns.RcodeNotAuth, dns.RcodeBadTime},
		{"six minutes ahead", exchange(stale(insert("hooks.example.", "127.0.0.9"), 6*time.Minute, 300)), dns.RcodeNotAuth, dns.RcodeBadTime},
		{"a fudge of hours", exchange(stale(insert("hooks.example.", "127.0.0.9"), -6*time.Minute, 65000)), dns.RcodeNotAuth, dns.RcodeBadTime},
	} {
		tsig := -1
		if sig := c.r.IsTsig(); sig != nil {
			tsig = int(sig.Error)
		}
		if c.r.Rcode != c.rcode || tsig != c.tsig {
			t.Errorf("%s: %s, TSIG %d; want %s, %d", c.name, dns.RcodeToString[c.r.Rcode], tsig, dns.RcodeToString[c.rcode], c.tsig)
		}
	}
	// A repeat: the very same octets, sent again when the zone is another.
	m := replaceWith(t, "hooks.example.", "127.0.0.5")
	m.SetTsig("ops.", dns.HmacSHA256, 300, time.Now().Unix())
	raw, _, err := dns.TsigGenerateWithProvider(m, ring, "", false)
	if err != nil {
		t.Fatal(err)
	}
	for i, want := range []int{dns.RcodeSuccess, dns.RcodeNotAuth} {
		conn, err := dns.DialTimeout("tcp", s.Address(), wait)
		if err != nil {
			t.Fatal(err)
		}
		conn.Write(raw)
		conn.SetReadDeadline(time.Now().Add(wait))
		r, err := conn.ReadMsg()
		if r == nil || r.Rcode != want {
			t.Fatalf("sent for the %d. time: %v %v", i+1, r, err)
		}
		conn.Close()
		if i == 0 {
			if r := asked(t, s.Address(), "tcp", "ops.", c.Keys, replaceWith(t, "hooks.example.", "127.0.0.6")); r.Rcode != dns.RcodeSuccess {
				t.Fatal(r)
			}
		}
	}
	d := zone.Diff(before, s.zones["example."].current.Load().Zone)
	if got := addressesOf(s, "hooks.example."); !slices.Equal(got, []string{"127.0.0.6"}) || d.To != 12 || d.Records() != 4 {
		t.Errorf("a trace was left: %v %+v", got, d)
	}
}

// Keys change in service: both work while both are there, and the old one does no more when it is gone.
func TestService_SetKeys(t *testing.T) {
	c := updated(t, t.TempDir())
	c.Keys = append(c.Keys, keysOf(t, "new. hmac-sha384 "+secret("new"))...)
	c.Zones[0].Updates = append(c.Zones[0].Updates, Update{Key: "new.", Grant: everything()})
	s := begun(t, c)
	if r := asked(t, s.Address(), "udp", "new.", c.Keys, insert("a.example.", "127.0.0.9")); r.Rcode != dns.RcodeSuccess {
		t.Error(r)
	}
	changed := keysOf(t, "ops. hmac-sha256 "+secret("another"), "xfer. hmac-sha512 "+secret("xfer"), "new. hmac-sha384 "+secret("new"))
	if err := s.SetKeys(changed); err != nil {
		t.Fatal(err)
	}
	if r := asked(t, s.Address(), "udp", "ops.", c.Keys, insert("b.example.", "127.0.0.9")); r.Rcode != dns.RcodeNotAuth {
		t.Error("the old secret works still", r)
	}
	if r := asked(t, s.Address(), "udp", "ops.", changed, insert("b.example.", "127.0.0.9")); r.Rcode != dns.RcodeSuccess {
		t.Error("the new secret does not work", r)
	}
	if err := s.SetKeys(changed[1:]); err == nil || !strings.Contains(err.Error(), "ops.") {
		t.Error("a key that the settings name was taken away", err)
	}
}

func TestReadKeys(t *testing.T) {
	for text, want := range map[string]string{"a b": "keys:1: a line is", "\n\na hmac-md5 xx": "keys:3: algorithm", "a hmac-sha256 !!": "no base64",
		"a hmac-sha256 eHg=": "2 bytes", "a hmac-sha256 " + secret("a") + "\nA. hmac-sha1 " + secret("b"): "keys:2: key a. is there twice"} {
		if _, err := parseKeys("keys", text); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), secret("a")) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// Our answers and transfers as the library's own client reads them: whole, by differences, and from our own secondary.
func TestServer_Transfers(t *testing.T) {
	dir := t.TempDir()
	c := updated(t, dir)
	var text strings.Builder
	text.WriteString(zoneText)
	for i := range 3000 { // many messages
		fmt.Fprintf(&text, "h%d 300 IN TXT \"%s\"\n", i, strings.Repeat("t", 30))
	}
	put(t, c.Zones[0].File, text.String())
	s := begun(t, c)
	read := func(m *dns.Msg) ([]dns.RR, error) {
		ring := NewKeyring(c.Keys)
		if err := ring.Sign(m, "xfer.", time.Now().Unix()); err != nil {
			t.Fatal(err)
		}
		tr := dns.Transfer{TsigProvider: ring, ReadTimeout: wait}
		ch, err := tr.In(m, s.Address())
		if err != nil {
			return nil, err
		}
		var rrs []dns.RR
		for e := range ch {
			if e.Error != nil {
				return rrs, e.Error
			}
			rrs = append(rrs, e.RR...)
		}
		return rrs, nil
	}
	rrs, err := read(new(dns.Msg).SetAxfr("example."))
	if err != nil {
		t.Fatal(err)
	}
	first, _, err := zone.FromTransfer("example.", nil, rrs)
	if err != nil || zone.Diff(first, s.zones["example."].current.Load().Zone).Records() > 0 {
		t.Fatal("another zone", err)
	}
	for i := range 3 {
		if r := asked(t, s.Address(), "tcp", "ops.", c.Keys, replaceWith(t, "hooks.example.", fmt.Sprintf("127.0.1.%d", i))); r.Rcode != dns.RcodeSuccess {
			t.Fatal(r)
		}
	}
	soa := first.SOA()
	rrs, err = read(new(dns.Msg).SetIxfr("example.", soa.Serial, soa.Ns, soa.Mbox))
	if err != nil {
		t.Fatal(err)
	}
	next, deltas, err := zone.FromTransfer("example.", first, rrs)
	if err != nil || len(deltas) != 3 || len(rrs) > 20 || zone.Diff(next, s.zones["example."].current.Load().Zone).Records() > 0 {
		t.Fatalf("%d records, %d differences, %v", len(rrs), len(deltas), err)
	}
	for key, want := range map[string]int{"": dns.RcodeRefused, "ops.": dns.RcodeRefused} {
		if r := asked(t, s.Address(), "tcp", key, c.Keys, new(dns.Msg).SetAxfr("example.")); r.Rcode != want || len(r.Answer) > 0 {
			t.Errorf("key %q: %v", key, r)
		}
	}
	// A secondary of ours, told by NOTIFY, with a restart of its own in between.
	second := &Config{Listen: "127.0.0.1:0", Folder: filepath.Join(dir, "second"), Keys: c.Keys, Spans: c.Spans, Members: c.Members,
		Zones: []ZoneConfig{{Name: "example.", Primary: s.Address(), Key: "xfer."}}}
	two := begun(t, second)
	f := following(t, two)
	f.until(t, "127.0.1.2")
	third := &Config{Listen: "127.0.0.1:0", Folder: filepath.Join(dir, "state"), Keys: c.Keys, Spans: c.Spans, Zones: c.Zones, Members: c.Members}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	third.Listen = second.Zones[0].Primary
	third.Zones[0].Notify, third.Zones[0].NotifyKey = []string{two.Address()}, "xfer."
	s = begun(t, third)
	if r := asked(t, s.Address(), "tcp", "ops.", c.Keys, replaceWith(t, "hooks.example.", "127.0.1.77")); r.Rcode != dns.RcodeSuccess {
		t.Fatal(r)
	}
	f.until(t, "127.0.1.77")
	if err := two.Close(); err != nil {
		t.Fatal(err)
	}
	s.Close() // the primary is gone: what a restarted secondary holds is what it held
	two = begun(t, second)
	if got := two.Initial().Servers; len(got) != 1 || got[0].Addr != "127.0.1.77:80" {
		t.Errorf("after a restart without its primary: %v", got)
	}
}

// Each way in which a zone's file is not one, while it is followed: the last good version stays.
func TestService_FollowsFile(t *testing.T) {
	dir := t.TempDir()
	c := updated(t, dir)
	c.Zones[0].Updates = nil
	path := c.Zones[0].File
	s := begun(t, c)
	f := following(t, s)
	f.until(t, "127.0.0.2")
	z := s.zones["example."]
	for name, text := range map[string]string{"empty": "", "blank": "\n\n", "no SOA": "ns 300 IN A 127.0.0.1\n", "torn": zoneText[:len(zoneText)-3], "no line end": strings.TrimSuffix(zoneText, "\n"),
		"rubbish": "\x00\x01\x02\n", "serial back": strings.Replace(strings.Replace(zoneText, "h 10", "h 9", 1), "0.0.2", "0.0.9", 1)} {
		put(t, path, text)
		if err := z.loadFile(); err == nil || z.lastFault == "" {
			t.Errorf("%s: taken", name)
		}
		if got := addressesOf(s, "hooks.example."); !slices.Equal(got, []string{"127.0.0.2"}) {
			t.Errorf("%s: at %v", name, got)
		}
	}
	os.Remove(path)
	if err := z.loadFile(); !isNotExist(err) {
		t.Error("a file that is gone:", err)
	}
	// Now by itself: replaced, and then written in place in two halves.
	put(t, path, strings.Replace(strings.Replace(zoneText, "h 10", "h 20", 1), "0.0.2", "0.0.3", 1))
	f.until(t, "127.0.0.3")
	next := strings.Replace(strings.Replace(zoneText, "h 10", "h 30", 1), "hooks 300 IN A 127.0.0.2", "hooks 300 IN A 127.0.0.4", 1)
	file, err := os.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	half := strings.Index(next, "hooks")
	file.WriteString(next[:half]) // it ends with a line end, and has no hooks
	file.Sync()
	file.WriteString(next[half:])
	file.Close()
	f.until(t, "127.0.0.4")
	put(t, path, strings.Replace(next, "127.0.0.4", "127.0.0.5", 1)) // the serial was forgotten
	f.until(t, "127.0.0.5")
	if got := z.current.Load().Serial(); got != 31 {
		t.Errorf("serial %d", got)
	}
	if err := os.WriteFile(filepath.Join(dir, "more.inc"), []byte("hooks 300 IN A 127.0.0.6\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	put(t, path, strings.Replace(zoneText, "h 10", "h 40", 1)+"$INCLUDE more.inc\n")
	f.until(t, "127.0.0.2", "127.0.0.6")
	put(t, filepath.Join(dir, "more.inc"), "hooks 300 IN A 127.0.0.7\n") // the file itself has not changed
	f.until(t, "127.0.0.2", "127.0.0.7")
}

// A file that is edited by hand while updates come: both are kept, also when the edit comes in the moment of writing.
func TestZoneFile_HandEdit(t *testing.T) {
	dir := t.TempDir()
	c := updated(t, dir)
	path := c.Zones[0].File
	g := everything()
	d := &editingDisk{}
	s, err := start(c, quiet(), d)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	z := s.zones["example."]
	if err := z.update(moved(t, "example.", "a.example.", "127.0.2.1"), &g); err != nil {
		t.Fatal(err)
	}
	put(t, path, zoneText+"b 300 IN A 127.0.2.2\n")
	if err := z.writeFile(); err != nil {
		t.Fatal(err)
	}
	text, _ := os.ReadFile(path)
	if a, b := addressesOf(s, "a.example."), addressesOf(s, "b.example."); len(a) != 1 || len(b) != 1 || !strings.Contains(string(text), "127.0.2.1") || !strings.Contains(string(text), "127.0.2.2") {
		t.Fatalf("%v %v\n%s", a, b, text)
	}
	if err := z.update(moved(t, "example.", "c.example.", "127.0.2.3"), &g); err != nil {
		t.Fatal(err)
	}
	d.before = func() { // between the last look and the exchange
		put(t, path, string(text)+"d 300 IN A 127.0.2.4\n")
	}
	if err := z.writeFile(); err != nil {
		t.Fatal(err)
	}
	text, _ = os.ReadFile(path)
	for name, addr := range map[string]string{"a.example.": "127.0.2.1", "b.example.": "127.0.2.2", "c.example.": "127.0.2.3", "d.example.": "127.0.2.4"} {
		if got := addressesOf(s, name); !slices.Equal(got, []string{addr}) || !strings.Contains(string(text), addr) {
			t.Errorf("%s is at %v; the file is\n%s", name, got, text)
		}
	}
	// What can't be read is not written over.
	if err := z.update(moved(t, "example.", "e.example.", "127.0.2.5"), &g); err != nil {
		t.Fatal(err)
	}
	put(t, path, "half a thou")
	if err := z.writeFile(); err == nil {
		t.Error("a file that is being written was written over")
	}
	if now, _ := os.ReadFile(path); string(now) != "half a thou" {
		t.Errorf("%s", now)
	}
	os.Remove(path)
	if err := z.writeFile(); err != nil {
		t.Error(err)
	}
	if now, _ := os.ReadFile(path); !strings.Contains(string(now), "127.0.2.5") {
		t.Errorf("%s", now)
	}
}

// editingDisk calls before, once, just as a file is exchanged.
type editingDisk struct {
	osDisk
	before func()
}

func (d *editingDisk) Exchange(a, b string) error {
	if f := d.before; f != nil {
		d.before = nil
		f()
	}
	return d.osDisk.Exchange(a, b)
}

// ---- Histories

// The zone as porcupine is told of it: one address of one name; an update sets it, or sets it if it is as named.
type op struct {
	set, only string // set: the new address, "" for a question; only: the prerequisite, "" for none
}

// Concurrent updates, questions and transfers are as if each came at one moment between its sending and its answer.
func TestService_RandomHistories(t *testing.T) {
	c := updated(t, t.TempDir())
	s := begun(t, c)
	model := porcupine.Model{
		Init: func() any { return "127.0.0.2" },
		Step: func(state, input, output any) (bool, any) {
			in, out := input.(op), output.(string)
			switch {
			case in.set == "":
				return out == state, state
			case in.only != "" && in.only != state:
				return out == "refused", state
			}
			return out == "ok", in.set
		},
	}
	var mu sync.Mutex
	var history []porcupine.Operation
	begin := time.Now()
	var group sync.WaitGroup
	for client := range 6 {
		group.Add(1)
		go func() {
			defer group.Done()
			ring := NewKeyring(c.Keys)
			last := "127.0.0.2"
			for i := range 25 {
				var in op
				var out string
				call := time.Since(begin).Nanoseconds()
				switch (client + i) % 4 {
				case 0, 1:
					in = op{set: fmt.Sprintf("127.1.%d.%d", client, i)}
					m := replaceWith(t, "hooks.example.", in.set)
					if i%3 == 0 {
						in.only = last
						rr, _ := dns.NewRR("hooks.example. 0 IN A " + last)
						m.Used([]dns.RR{rr})
						m = wired(t, m)
					}
					switch r := asked(t, s.Address(), []string{"udp", "tcp"}[i%2], "ops.", c.Keys, m); r.Rcode {
					case dns.RcodeSuccess:
						out = "ok"
					case dns.RcodeNXRrset:
						out = "refused"
					default:
						t.Errorf("%v", r)
						return
					}
				case 2:
					r := asked(t, s.Address(), "udp", "", nil, new(dns.Msg).SetQuestion("hooks.example.", dns.TypeA))
					out = r.Answer[0].(*dns.A).A.String()
					last = out
				case 3:
					m := new(dns.Msg).SetAxfr("example.")
					ring.Sign(m, "xfer.", time.Now().Unix())
					ch, err := (&dns.Transfer{TsigProvider: ring, ReadTimeout: wait}).In(m, s.Address())
					if err != nil {
						t.Error(err)
						return
					}
					for e := range ch {
						for _, rr := range e.RR {
							if a, ok := rr.(*dns.A); ok && a.Hdr.Name == "hooks.example." {
								out = a.A.String()
							}
						}
						if e.Error != nil && strings.Contains(e.Error.Error(), "rcode") { // more transfers at once than are given
							out = "none"
						}
					}
					if out == "none" || out == "" {
						continue
					}
				}
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: time.Since(begin).Nanoseconds()})
				mu.Unlock()
			}
		}()
	}
	group.Wait()
	if len(history) < 100 {
		t.Fatalf("%d operations", len(history))
	}
	if result := porcupine.CheckOperationsTimeout(model, history, wait); result != porcupine.Ok {
		t.Errorf("%d operations: %v", len(history), result)
	}
	// The checker can fail: one answer is another.
	for i, o := range history {
		if o.Input.(op).set == "" {
			history[i].Output = "127.9.9.9"
			break
		}
	}
	if porcupine.CheckOperationsTimeout(model, history, wait) != porcupine.Illegal {
		t.Error("a wrong history passes")
	}
}

// ---- Those who do not mean well

// An answer to an unsigned question by UDP is no longer than a few times the question.
func TestServer_DoesNotAmplify(t *testing.T) {
	c := updated(t, t.TempDir())
	var text strings.Builder
	text.WriteString(zoneText)
	for i := range 100 {
		fmt.Fprintf(&text, "big 300 IN TXT \"%d %s\"\n", i, strings.Repeat("t", 100))
		fmt.Fprintf(&text, "some 300 IN A 127.0.3.%d\n", i%20)
	}
	put(t, c.Zones[0].File, text.String())
	s := begun(t, c)
	for _, kind := range []uint16{dns.TypeTXT, dns.TypeANY, dns.TypeA, dns.TypeIXFR, dns.TypeAXFR} {
		for _, name := range []string{"big.example.", "some.example.", "example.", "nope.example."} {
			for _, edns := range []uint16{0, 512, 4096, 65535} {
				m := new(dns.Msg).SetQuestion(name, kind)
				if edns > 0 {
					m.SetEdns0(edns, true)
				}
				raw, err := m.Pack()
				if err != nil {
					t.Fatal(err)
				}
				conn, err := net.Dial("udp", s.Address())
				if err != nil {
					t.Fatal(err)
				}
				conn.Write(raw)
				conn.SetReadDeadline(time.Now().Add(wait))
				b := make([]byte, 1<<16)
				n, err := conn.Read(b)
				conn.Close()
				if err != nil {
					t.Fatal(err)
				}
				if n > max(minUDPBytes, maxAmplification*len(raw)) {
					t.Errorf("%s %s, EDNS %d: %d bytes for %d", name, dns.Type(kind), edns, n, len(raw))
				}
				r := new(dns.Msg)
				if err := r.Unpack(b[:n]); err != nil {
					t.Fatal(err)
				}
				if kind == dns.TypeTXT && name == "big.example." && !r.Truncated {
					t.Error("it is not said that the answer is cut off")
				}
			}
		}
	}
	if r := asked(t, s.Address(), "tcp", "", nil, new(dns.Msg).SetQuestion("big.example.", dns.TypeTXT)); len(r.Answer) != 100 {
		t.Errorf("by TCP %d records", len(r.Answer))
	}
}

// Connections that say nothing, or half a message, and floods: who asks is answered still, and no more is held than stated.
func TestServer_Floods(t *testing.T) {
	c := updated(t, t.TempDir())
	s := begun(t, c)
	question := func(network string) {
		t.Helper()
		if r := asked(t, s.Address(), network, "", nil, new(dns.Msg).SetQuestion("hooks.example.", dns.TypeA)); len(r.Answer) != 1 {
			t.Fatal(r)
		}
	}
	var conns []net.Conn
	defer func() {
		for _, c := range conns {
			c.Close()
		}
	}()
	for i := range 2 * maxTCPConns {
		conn, err := net.Dial("tcp", s.Address())
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, conn)
		if i%2 == 0 {
			conn.Write([]byte{0xff, 0xff, 1, 2, 3}) // 64 KiB are announced
		}
		if i%100 == 99 {
			question("tcp")
		}
	}
	s.server.listener.mu.Lock()
	held := len(s.server.listener.conns)
	s.server.listener.mu.Unlock()
	if held > maxTCPConns {
		t.Errorf("%d connections are held", held)
	}
	flood, err := net.Dial("udp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer flood.Close()
	raw, _ := new(dns.Msg).SetQuestion("hooks.example.", dns.TypeA).Pack()
	for i := range 20_000 {
		b := slices.Clone(raw)
		switch i % 4 {
		case 0:
			b = b[:i%len(raw)]
		case 1: // a name that points to itself
			b = append(b[:12], 0xc0, 12, 0, 1, 0, 1)
		case 2: // counts of what is not there
			b[6], b[7], b[8], b[9] = 0xff, 0xff, 0xff, 0xff
		}
		flood.Write(b)
	}
	var r *dns.Msg
	for range 20 { // a question by UDP may be lost in a flood, as any
		if r, _, err = (&dns.Client{Timeout: time.Second}).Exchange(new(dns.Msg).SetQuestion("hooks.example.", dns.TypeA), s.Address()); err == nil {
			break
		}
	}
	if err != nil || len(r.Answer) != 1 {
		t.Fatal(r, err)
	}
	question("tcp")
}

func TestConfig_Check(t *testing.T) {
	dir := t.TempDir()
	for want, edit := range map[string]func(*Config){
		"no zone's name":        func(c *Config) { c.Zones[0].Name = "Example." },
		"twice":                 func(c *Config) { c.Zones = append(c.Zones, c.Zones[0]) },
		"one of them":           func(c *Config) { c.Zones[0].Primary = "127.0.0.1:53" },
		"updated there":         func(c *Config) { c.Zones[0].File, c.Zones[0].Primary = "", "127.0.0.1:53" },
		"there is no key nope.": func(c *Config) { c.Zones[0].TransferKeys = []string{"nope."} },
		"may change no name":    func(c *Config) { c.Zones[0].Updates[0].Names = nil },
		"no name within":        func(c *Config) { c.Zones[0].Updates[0].Names = []string{"x.other."} },
		"no address:port":       func(c *Config) { c.Zones[0].Notify = []string{"127.0.0.1"} },
		"no absolute name":      func(c *Config) { c.Members[0].Name = "hooks" },
		"a port is named":       func(c *Config) { c.Members[0].Port = 0 },
	} {
		c := updated(t, dir)
		edit(c)
		if _, err := Start(c, quiet()); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
	}
}

// writer takes answers in place of a socket, and verifies as the server would.
type writer struct {
	status error
	sent   int
}

func (w *writer) LocalAddr() net.Addr         { return &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)} }
func (w *writer) RemoteAddr() net.Addr        { return &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)} }
func (w *writer) WriteMsg(m *dns.Msg) error   { _, err := m.Pack(); w.sent++; return err }
func (w *writer) Write(b []byte) (int, error) { w.sent++; return len(b), nil }
func (w *writer) Close() error                { return nil }
func (w *writer) TsigStatus() error           { return w.status }
func (w *writer) TsigTimersOnly(bool)         {}
func (w *writer) Hijack()                     {}

// No message, signed or not, ends a handler by a panic.
func FuzzServe(f *testing.F) {
	c := updated(f, f.TempDir())
	s, err := Start(c, quiet())
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { s.Close() })
	var told strings.Builder
	s.server.log = slog.New(slog.NewTextHandler(&told, &slog.HandlerOptions{Level: slog.LevelError}))
	ring := NewKeyring(c.Keys)
	for _, m := range []*dns.Msg{new(dns.Msg).SetQuestion("hooks.example.", dns.TypeA), replaceWith(f, "hooks.example.", "127.0.0.9"), new(dns.Msg).SetNotify("example."),
		new(dns.Msg).SetAxfr("example."), new(dns.Msg).SetIxfr("example.", 10, "a.", "b.")} {
		raw, _ := m.Pack()
		f.Add(raw)
		ring.Sign(m, "ops.", time.Now().Unix())
		raw, _, _ = dns.TsigGenerateWithProvider(m, ring, "", false)
		f.Add(raw)
		f.Add(raw[:12])
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		m := new(dns.Msg)
		if m.Unpack(raw) != nil {
			return
		}
		w := &writer{}
		if m.IsTsig() != nil {
			w.status = dns.TsigVerifyWithProvider(raw, s.keys, "", false)
		}
		for _, udp := range []bool{true, false} {
			s.server.serve(w, m, udp)
		}
		if told.Len() > 0 {
			t.Fatal(told.String())
		}
	})
}

// What an answer rests on beyond its own name: a wildcard, what hides it, a cut, the end of each, a CNAME's target.
func TestService_AnswerDependencies(t *testing.T) {
	c := updated(t, t.TempDir())
	put(t, c.Zones[0].File, zoneText+"*.w 300 IN A 127.0.0.20\nalias 300 IN CNAME target\ntarget 300 IN A 127.0.0.30\nd.deep 300 IN A 127.0.0.40\n")
	c.Members = nil
	for i, name := range []string{"a.b.w.example.", "alias.example.", "d.deep.example.", "new.example."} {
		c.Members = append(c.Members, membership.Member{Destination: uint32(i), Name: name, Port: 80, Weight: 1})
	}
	s := begun(t, c)
	f := following(t, s)
	f.until(t, "127.0.0.20", "127.0.0.30", "127.0.0.40")
	update := func(edit func(m *dns.Msg)) {
		t.Helper()
		m := new(dns.Msg).SetUpdate("example.")
		edit(m)
		if r := asked(t, s.Address(), "tcp", "ops.", c.Keys, m); r.Rcode != dns.RcodeSuccess {
			t.Fatal(r)
		}
	}
	add := func(text string) func(*dns.Msg) {
		return func(m *dns.Msg) { m.Insert([]dns.RR{rrOf(t, text)}) }
	}
	gone := func(name string) func(*dns.Msg) {
		return func(m *dns.Msg) { m.RemoveName([]dns.RR{&dns.ANY{Hdr: dns.RR_Header{Name: name}}}) }
	}
	update(add("x.b.w.example. 60 IN TXT hides")) // b.w is there now, so the wildcard does not speak for a.b.w
	f.until(t, "127.0.0.30", "127.0.0.40")
	update(gone("x.b.w.example."))
	f.until(t, "127.0.0.20", "127.0.0.30", "127.0.0.40")
	update(gone("*.w.example."))
	f.until(t, "127.0.0.30", "127.0.0.40")
	update(add("*.example. 60 IN A 127.0.0.50")) // b.w is nowhere, w neither: this one speaks for both
	f.until(t, "127.0.0.30", "127.0.0.40", "127.0.0.50")
	update(gone("*.example."))
	f.until(t, "127.0.0.30", "127.0.0.40")
	update(add("target.example. 60 IN A 127.0.0.31"))
	f.until(t, "127.0.0.30", "127.0.0.31", "127.0.0.40")
	update(add("deep.example. 60 IN NS ns.other.")) // a cut: nobody here says where d.deep is, so it stays where it was
	update(add("new.example. 60 IN A 127.0.0.60"))
	f.until(t, "127.0.0.30", "127.0.0.31", "127.0.0.40", "127.0.0.60")
	for _, m := range s.Report().Members {
		if m.Name == "d.deep.example." && (m.Answer != "SERVFAIL" || !m.Retained) {
			t.Errorf("%+v", m)
		}
	}
}

// Questions, signed updates and whole transfers of 10,000 records a second, over loopback, by one who asks.
func BenchmarkServer(b *testing.B) {
	c := updated(b, b.TempDir())
	var text strings.Builder
	text.WriteString(zoneText)
	for i := range 10_000 {
		fmt.Fprintf(&text, "h%d 300 IN A 10.0.%d.%d\n", i, i>>8, i&255)
	}
	put(b, c.Zones[0].File, text.String())
	s, err := Start(c, quiet())
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	ring := NewKeyring(c.Keys)
	var conn *dns.Conn
	asked := 0
	exchange := func(b *testing.B, m *dns.Msg) {
		if asked%(maxTCPQueries/2) == 0 { // the server ends a connection after so many
			var err error
			if conn, err = dns.DialTimeout("tcp", s.Address(), wait); err != nil {
				b.Fatal(err)
			}
		}
		asked++
		client := dns.Client{Net: "tcp", Timeout: wait, TsigProvider: ring}
		if r, _, err := client.ExchangeWithConn(m, conn); err != nil || r.Rcode != dns.RcodeSuccess {
			b.Fatal(r, err)
		}
	}
	b.Run("question", func(b *testing.B) {
		for range b.N {
			exchange(b, new(dns.Msg).SetQuestion("h77.example.", dns.TypeA))
		}
	})
	b.Run("update", func(b *testing.B) {
		for i := range b.N {
			m := replaceWith(b, "hooks.example.", fmt.Sprintf("127.2.%d.%d", i>>8&255, i&255))
			m.Id = dns.Id()
			ring.Sign(m, "ops.", time.Now().Unix())
			client := dns.Client{Timeout: wait, TsigProvider: ring} // the library signs one message a connection rightly
			if r, _, err := client.Exchange(m, s.Address()); err != nil || r.Rcode != dns.RcodeSuccess {
				b.Fatal(r, err)
			}
		}
	})
	b.Run("transfer", func(b *testing.B) {
		for range b.N {
			m := new(dns.Msg).SetAxfr("example.")
			ring.Sign(m, "xfer.", time.Now().Unix())
			ch, err := (&dns.Transfer{TsigProvider: ring, ReadTimeout: wait}).In(m, s.Address())
			if err != nil {
				b.Fatal(err)
			}
			n := 0
			for e := range ch {
				if e.Error != nil {
					b.Fatal(e.Error)
				}
				n += len(e.RR)
			}
			if n < 10_000 {
				b.Fatal(n)
			}
		}
	})
}

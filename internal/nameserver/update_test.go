package nameserver

import (
	"slices"
	"testing"
	"time"

	"github.com/miekg/dns"

	"saffronyard.example/saffronyard/internal/zone"
)

// Updates without permission and replays are rejected with the right response code and TSIG error, and change nothing.
func TestServer_RejectsUpdate(t *testing.T) {
	dir := t.TempDir()
	c := testConfig(t, dir)
	c.Zones[0].Updates = []Update{{Key: "ops.", Grant: zone.Grant{Names: []string{"hooks.example."}, Types: []uint16{dns.TypeA}}}}
	s := startService(t, c)
	stale := func(m *dns.Msg, at time.Duration, fudge uint16) *dns.Msg {
		m.Id = dns.Id()
		m.SetTsig("ops.", dns.HmacSHA256, fudge, time.Now().Add(at).Unix())
		return m
	}
	ring := NewKeyring(c.Keys)
	exchange := func(m *dns.Msg) *dns.Msg {
		t.Helper()
		client := dns.Client{Net: "tcp", Timeout: testTimeout, TsigProvider: ring}
		r, _, err := client.Exchange(m, s.Address())
		if r == nil {
			t.Fatal(err)
		}
		return r
	}
	other := mustParseKeys(t, "ops. hmac-sha256 "+secret("wrong"), "stranger. hmac-sha256 "+secret("s"))
	before := s.zones["example."].current.Load().Zone
	for _, c := range []struct {
		name        string
		r           *dns.Msg
		rcode, tsig int
	}{
		{"unsigned", roundTrip(t, s.Address(), "tcp", "", nil, insertUpdate("hooks.example.", "127.0.0.9")), dns.RcodeRefused, -1},
		{"unknown key", roundTrip(t, s.Address(), "tcp", "stranger.", other, insertUpdate("hooks.example.", "127.0.0.9")), dns.RcodeNotAuth, dns.RcodeBadKey},
		{"a wrong secret", roundTrip(t, s.Address(), "tcp", "ops.", other, insertUpdate("hooks.example.", "127.0.0.9")), dns.RcodeNotAuth, dns.RcodeBadSig},
		{"a key that may not change the zone", roundTrip(t, s.Address(), "tcp", "xfer.", c.Keys, insertUpdate("hooks.example.", "127.0.0.9")), dns.RcodeRefused, 0},
		{"a name outside the grant", roundTrip(t, s.Address(), "tcp", "ops.", c.Keys, insertUpdate("ns.example.", "127.0.0.9")), dns.RcodeRefused, 0},
		{"a zone that is not served", roundTrip(t, s.Address(), "tcp", "ops.", c.Keys, func() *dns.Msg { m := insertUpdate("x.other.", "127.0.0.9"); m.Question[0].Name = "other."; return m }()), dns.RcodeNotAuth, 0},
		{"six minutes old", exchange(stale(insertUpdate("hooks.example.", "127.0.0.9"), -6*time.Minute, 300)), dns.RcodeNotAuth, dns.RcodeBadTime},
		{"six minutes ahead", exchange(stale(insertUpdate("hooks.example.", "127.0.0.9"), 6*time.Minute, 300)), dns.RcodeNotAuth, dns.RcodeBadTime},
		{"a fudge of hours", exchange(stale(insertUpdate("hooks.example.", "127.0.0.9"), -6*time.Minute, 65000)), dns.RcodeNotAuth, dns.RcodeBadTime},
	} {
		tsig := -1
		if sig := c.r.IsTsig(); sig != nil {
			tsig = int(sig.Error)
		}
		if c.r.Rcode != c.rcode || tsig != c.tsig {
			t.Errorf("%s: %s, TSIG %d; want %s, %d", c.name, dns.RcodeToString[c.r.Rcode], tsig, dns.RcodeToString[c.rcode], c.tsig)
		}
	}
	// A replay: the same octets are sent again after another update has changed the zone.
	m := setAddr(t, "hooks.example.", "127.0.0.5")
	m.SetTsig("ops.", dns.HmacSHA256, 300, time.Now().Unix())
	raw, _, err := dns.TsigGenerateWithProvider(m, ring, "", false)
	if err != nil {
		t.Fatal(err)
	}
	for i, want := range []int{dns.RcodeSuccess, dns.RcodeNotAuth} {
		conn, err := dns.DialTimeout("tcp", s.Address(), testTimeout)
		if err != nil {
			t.Fatal(err)
		}
		conn.Write(raw)
		conn.SetReadDeadline(time.Now().Add(testTimeout))
		r, err := conn.ReadMsg()
		if r == nil || r.Rcode != want {
			t.Fatalf("transmission %d: %v %v", i+1, r, err)
		}
		conn.Close()
		if i == 0 {
			if r := roundTrip(t, s.Address(), "tcp", "ops.", c.Keys, setAddr(t, "hooks.example.", "127.0.0.6")); r.Rcode != dns.RcodeSuccess {
				t.Fatal(r)
			}
		}
	}
	d := zone.Diff(before, s.zones["example."].current.Load().Zone)
	if got := addressesOf(s, "hooks.example."); !slices.Equal(got, []string{"127.0.0.6"}) || d.To != 12 || d.Records() != 4 {
		t.Errorf("a rejected update changed the zone: %v %+v", got, d)
	}
}

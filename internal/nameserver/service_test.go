package nameserver

import (
	"os"
	"strings"
	"testing"

	"github.com/miekg/dns"

	"saffronyard.example/saffronyard/internal/membership"
)

// An update that moves a member changes the endpoints at once, survives a restart, and is written back into the zone's file.
func TestService_FollowsUpdate(t *testing.T) {
	dir := t.TempDir()
	c := testConfig(t, dir)
	s := startService(t, c)
	f := recordEndpoints(t, s)
	f.waitForServing(t, "127.0.0.2")
	if r := roundTrip(t, s.Address(), "tcp", "ops.", c.Keys, setAddr(t, "hooks.example.", "127.0.0.3")); r.Rcode != dns.RcodeSuccess {
		t.Fatal(r)
	}
	f.waitForServing(t, "127.0.0.3")
	if r := roundTrip(t, s.Address(), "udp", "", nil, new(dns.Msg).SetQuestion("HOOKS.example.", dns.TypeA)); len(r.Answer) != 1 || !r.Authoritative {
		t.Fatal(r)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	s = startService(t, testConfig(t, dir)) // the update is not written back yet, as after a crash: the file is old
	if got := s.Initial().Servers; len(got) != 1 || got[0].Addr != "127.0.0.3:80" {
		t.Fatalf("the endpoints after a restart are %v", got)
	}
	z := s.zones["example."]
	if !z.isFileBehind() {
		t.Fatal("the file is not marked as behind")
	}
	if err := z.writeFile(); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(c.Zones[0].File)
	if err != nil || !strings.Contains(string(text), "127.0.0.3") || z.isFileBehind() {
		t.Fatalf("the file has %s (%v)", text, err)
	}
	if info, err := os.Stat(c.Zones[0].File); err != nil || info.Mode().Perm() != 0o644 {
		t.Error("the file's mode has changed", info.Mode(), err)
	}
}

// Members are resolved again when a name changes on which their answers depend: a wildcard, a name that hides a wildcard, a zone cut, or
// a CNAME's target.
func TestService_AnswerDependencies(t *testing.T) {
	c := testConfig(t, t.TempDir())
	replaceFile(t, c.Zones[0].File, zoneText+"*.w 300 IN A 127.0.0.20\nalias 300 IN CNAME target\ntarget 300 IN A 127.0.0.30\nd.deep 300 IN A 127.0.0.40\n")
	c.Members = nil
	for i, name := range []string{"a.b.w.example.", "alias.example.", "d.deep.example.", "new.example."} {
		c.Members = append(c.Members, membership.Member{Destination: uint32(i), Name: name, Port: 80, Weight: 1})
	}
	s := startService(t, c)
	f := recordEndpoints(t, s)
	f.waitForServing(t, "127.0.0.20", "127.0.0.30", "127.0.0.40")
	update := func(edit func(m *dns.Msg)) {
		t.Helper()
		m := new(dns.Msg).SetUpdate("example.")
		edit(m)
		if r := roundTrip(t, s.Address(), "tcp", "ops.", c.Keys, m); r.Rcode != dns.RcodeSuccess {
			t.Fatal(r)
		}
	}
	add := func(text string) func(*dns.Msg) {
		return func(m *dns.Msg) { m.Insert([]dns.RR{rrOf(t, text)}) }
	}
	removeName := func(name string) func(*dns.Msg) {
		return func(m *dns.Msg) { m.RemoveName([]dns.RR{&dns.ANY{Hdr: dns.RR_Header{Name: name}}}) }
	}
	update(add("x.b.w.example. 60 IN TXT hides")) // b.w exists now, so the wildcard does not apply to a.b.w
	f.waitForServing(t, "127.0.0.30", "127.0.0.40")
	update(removeName("x.b.w.example."))
	f.waitForServing(t, "127.0.0.20", "127.0.0.30", "127.0.0.40")
	update(removeName("*.w.example."))
	f.waitForServing(t, "127.0.0.30", "127.0.0.40")
	update(add("*.example. 60 IN A 127.0.0.50")) // neither b.w nor w exists, so this wildcard applies to a.b.w and to new
	f.waitForServing(t, "127.0.0.30", "127.0.0.40", "127.0.0.50")
	update(removeName("*.example."))
	f.waitForServing(t, "127.0.0.30", "127.0.0.40")
	update(add("target.example. 60 IN A 127.0.0.31"))
	f.waitForServing(t, "127.0.0.30", "127.0.0.31", "127.0.0.40")
	update(add("deep.example. 60 IN NS ns.other.")) // a zone cut: d.deep can't be resolved here, so it keeps its address
	update(add("new.example. 60 IN A 127.0.0.60"))
	f.waitForServing(t, "127.0.0.30", "127.0.0.31", "127.0.0.40", "127.0.0.60")
	for _, m := range s.Report().Members {
		if m.Name == "d.deep.example." && (m.Answer != "SERVFAIL" || !m.Retained) {
			t.Errorf("%+v", m)
		}
	}
}

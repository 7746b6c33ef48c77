package nameserver

import (
	"os"
	"strings"
	"testing"

	"github.com/miekg/dns"

	"saffronyard.example/saffronyard/internal/membership"
)

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

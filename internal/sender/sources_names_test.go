package sender

import (
	"encoding/base64"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/miekg/dns"

	"saffronyard.example/saffronyard/internal/membership"
	"saffronyard.example/saffronyard/internal/nameserver"
	st "saffronyard.example/saffronyard/internal/sendertest"
	"saffronyard.example/saffronyard/internal/zone"
)

// namedMembers is a name server with a zone that key "ops." may update; _hooks._tcp.example. lists the endpoints of destination 0.
type namedMembers struct {
	t    testing.TB
	c    *nameserver.Config
	svc  *nameserver.Service
	ring *nameserver.Keyring
}

func newNamed(t testing.TB, dir string, members ...membership.Member) *namedMembers {
	t.Helper()
	path, keys := filepath.Join(dir, "example.zone"), filepath.Join(dir, "keys")
	for name, text := range map[string]string{path: "@ 300 IN SOA ns h 1 60 10 300 60\n@ 300 IN NS ns\nhere 300 IN A 127.0.0.1\nhooks 300 IN A 127.0.0.1\n",
		keys: "ops. hmac-sha256 " + base64.StdEncoding.EncodeToString([]byte(strings.Repeat("k", 32)))} {
		if _, err := os.Stat(name); err != nil {
			if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
	}
	ring, err := nameserver.ReadKeys(keys)
	if err != nil {
		t.Fatal(err)
	}
	if members == nil {
		members = []membership.Member{{Name: "_hooks._tcp.example.", SRV: true, Kind: "plain", Zone: "a", Weight: 1}}
	}
	n := &namedMembers{t: t, ring: nameserver.NewKeyring(ring), c: &nameserver.Config{Listen: "127.0.0.1:0", Folder: filepath.Join(dir, "zones"), Keys: ring,
		Spans: membership.DefaultFollowerConfig(), Members: members,
		Zones: []nameserver.ZoneConfig{{Name: "example.", File: path, Updates: []nameserver.Update{{Key: "ops.", Grant: zone.Grant{Names: []string{"*.example."}}}}}}}}
	if n.svc, err = nameserver.Start(n.c, slog.New(slog.DiscardHandler)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { n.svc.Close() })
	return n
}

// names returns a function that adds the name server to a sender's configuration.
func (n *namedMembers) names(p membership.Precedence) func(*Config) {
	return func(c *Config) {
		c.Names = &NameSource{Source: n.svc, Initial: n.svc.Initial(), Destinations: n.svc.Destinations(), Fallback: p, Report: func() any { return n.svc.Report() }}
	}
}

// pointTo sets the addresses of the member by a signed update, and returns the time at which that was acknowledged.
func (n *namedMembers) pointTo(addrs ...string) time.Time {
	n.t.Helper()
	m := new(dns.Msg).SetUpdate("example.")
	m.RemoveRRset([]dns.RR{&dns.ANY{Hdr: dns.RR_Header{Name: "_hooks._tcp.example.", Rrtype: dns.TypeSRV}}})
	for _, a := range addrs {
		_, port, _ := net.SplitHostPort(a)
		rr, err := dns.NewRR("_hooks._tcp.example. 60 IN SRV 0 1 " + port + " here.example.")
		if err != nil {
			n.t.Fatal(err)
		}
		m.Insert([]dns.RR{rr})
	}
	if err := n.ring.Sign(m, "ops.", time.Now().Unix()); err != nil {
		n.t.Fatal(err)
	}
	c := dns.Client{Net: "tcp", Timeout: st.Wait, TsigProvider: n.ring}
	r, _, err := c.Exchange(m, n.svc.Address())
	if err != nil || r.Rcode != dns.RcodeSuccess {
		n.t.Fatal(r, err)
	}
	return time.Now()
}

// The last address is removed while one message is in flight and others wait: no new call goes there, the call in flight is completed,
// the others wait for a new address, and one whose deadline passes before that is given up with a notice.
func TestNames_LastAddressRemoved(t *testing.T) {
	answer := make(chan struct{})
	old := st.NewEndpoint(t, func(c st.Call, nc net.Conn) bool {
		<-answer
		return st.Status(200)(c, nc)
	})
	next := st.NewEndpoint(t, st.Status(200))
	n := newNamed(t, t.TempDir())
	n.pointTo(old.Addr)
	p := st.NewPlatform(t)
	addr := run(t, p, n.names(membership.NamesFirst))
	st.Submit(t, addr, st.Submission{ID: "out", Class: "unsafe", Destination: 0, Deadline: 15 * time.Second})
	old.Next(t)
	n.pointTo() // no address is left
	for over := time.Now().Add(st.Wait); !slices.ContainsFunc(n.svc.Report().Members[0].Lines, func(l membership.Target) bool { return l.State == membership.Dropped }); {
		if time.Now().After(over) {
			t.Fatal("the address is not dropped")
		}
		time.Sleep(time.Millisecond)
	}
	st.Submit(t, addr, st.Submission{ID: "short", Class: "unsafe", Destination: 0, Deadline: 300 * time.Millisecond})
	st.Submit(t, addr, st.Submission{ID: "waits", Class: "unsafe", Destination: 0, Deadline: 15 * time.Second})
	if got := st.Receive(t, p.Notices); got.Message != "short" || got.Outcome != "given_up" {
		t.Errorf("notice %+v", got)
	}
	close(answer)
	n.pointTo(next.Addr)
	if c := next.Next(t); c.ID != "waits" {
		t.Error(c.ID)
	}
	st.Submit(t, addr, st.Submission{ID: "after", Class: "unsafe", Destination: 0, Deadline: 15 * time.Second})
	if c := next.Next(t); c.ID != "after" {
		t.Error(c.ID)
	}
	if len(old.Calls) > 0 {
		t.Errorf("the old address got %s", (<-old.Calls).ID)
	}
	select {
	case got := <-p.Notices:
		t.Errorf("unexpected notice %+v", got)
	default:
	}
}

// An address that is listed by two names, by one of them twice, and by discovery under its own id is one endpoint; it serves until the
// last of them has dropped it.
func TestNames_ListedBySeveralSources(t *testing.T) {
	e, other := st.NewEndpoint(t, st.Status(200)), st.NewEndpoint(t, st.Status(200))
	_, port, _ := net.SplitHostPort(e.Addr)
	number, _ := strconv.ParseUint(port, 10, 16)
	n := newNamed(t, t.TempDir(), membership.Member{Name: "_hooks._tcp.example.", SRV: true, Kind: "plain", Zone: "a", Weight: 1},
		membership.Member{Name: "hooks.example.", Port: uint16(number), Kind: "plain", Zone: "a", Weight: 1})
	n.pointTo(e.Addr, e.Addr)
	s := newTestSender(t, st.NewPlatform(t, e.Addr), n.names(membership.Both))
	s.step(t.Context(), s.initialListEvents())
	if len(s.endpoints.ByID) != 1 {
		t.Fatalf("the address is %d endpoints", len(s.endpoints.ByID))
	}
	endpointNumber := s.endpoints.ByID["s-0"].Number
	apply := func(from membership.Source, u membership.Update) {
		s.step(t.Context(), []brainEvent{s.applyListUpdate(listUpdate{from, u})})
	}
	apply(membership.Discovery, membership.Update{Full: true}) // discovery drops it
	if got := s.endpoints.ByID["s-0"]; got == nil || got.Number != endpointNumber || !got.Entry.Ready {
		t.Fatalf("after discovery dropped the endpoint it is %+v", got)
	}
	follower := membership.NewFollower(n.c.Members, n.c.Spans)
	found := func(addr string) membership.Answer {
		return membership.Answer{Result: membership.Found, Addresses: []membership.Address{{AddrPort: mustParse(t, addr)}}}
	}
	follower.Step(0, []membership.Observation{{Member: 0, Answer: found(e.Addr)}, {Member: 1, Answer: found(e.Addr)}})
	apply(membership.Names, membership.Update{Servers: follower.Step(time.Second, []membership.Observation{{Member: 0, Answer: found(other.Addr)}})})
	if got := s.endpoints.ByID["s-0"]; !got.Entry.Ready || len(s.endpoints.ByID) != 2 {
		t.Error("one of two names dropped the endpoint, and it does not serve")
	}
	apply(membership.Names, membership.Update{Servers: follower.Step(2*time.Second, []membership.Observation{{Member: 1, Answer: found(other.Addr)}})})
	if got := s.endpoints.ByID["s-0"]; got == nil || got.Entry.Ready {
		t.Error("both names dropped the endpoint, and it still serves, or is removed already")
	}
	apply(membership.Names, membership.Update{Servers: follower.Step(3*time.Second, []membership.Observation{{Member: 1, Answer: found(e.Addr)}})})
	if got := s.endpoints.ByID["s-0"]; got.Number != endpointNumber || !got.Entry.Ready {
		t.Error("the address was listed again, and is another endpoint or does not serve")
	}
	apply(membership.Names, membership.Update{Servers: follower.Step(4*time.Second, []membership.Observation{{Member: 1, Answer: found(other.Addr)}})})
	apply(membership.Names, membership.Update{Servers: follower.Step(time.Hour, nil)})
	if s.endpoints.ByID["s-0"] != nil {
		t.Error("the endpoint is not removed")
	}
}

// A keyed message may have run at an address that names listed. The next process gets that address from discovery, under another id; it
// sends the message again with the same key, and treats it as one that may have run.
func TestNames_HistoryOfAddressSurvives(t *testing.T) {
	calls := make(chan st.Call, 10)
	unanswered := make(chan struct{}, 1)
	unanswered <- struct{}{}
	e := st.NewEndpoint(t, func(c st.Call, nc net.Conn) bool {
		calls <- c
		select {
		case <-unanswered:
			return st.Unresponsive(c, nc)
		default:
			return st.Status(200)(c, nc)
		}
	})
	dir := t.TempDir()
	state := filepath.Join(dir, "state")
	if err := os.MkdirAll(state, 0o755); err != nil {
		t.Fatal(err)
	}
	n := newNamed(t, dir)
	n.pointTo(e.Addr)
	p := st.NewPlatform(t)
	s := newTestSender(t, p, func(c *Config) { c.StateDir = state; n.names(membership.NamesFirst)(c) })
	addr, stop := serving(t, s)
	st.Submit(t, addr, st.Submission{ID: "m", Class: "keyed", Destination: 0, Deadline: 15 * time.Second})
	first := st.Receive(t, calls)
	stop()
	p.Change(st.Target("s-9", e.Addr, 0, "SERVING"))
	s = newTestSender(t, p, func(c *Config) { c.StateDir = state })
	pending := s.journal.pending()
	if len(pending) != 1 || len(pending[0].Attempts) != 1 || !strings.HasPrefix(pending[0].Attempts[0].Endpoint, "dns:0:") {
		t.Fatalf("pending messages %+v", pending)
	}
	if f, may := pending[0].firstPossibleRun(); !may || f.At == 0 {
		t.Error("the journal does not show that the message may have run")
	}
	_, stop = serving(t, s)
	defer stop()
	if again := st.Receive(t, calls); again.ID != "m" || again.Key != first.Key || again.Key == "" {
		t.Errorf("the repeat is %+v, the first call %+v", again, first)
	}
}

// The report that the command line queries.
func TestNames_Report(t *testing.T) {
	n := newNamed(t, t.TempDir())
	n.pointTo("127.0.0.1:9")
	state := t.TempDir()
	_ = run(t, st.NewPlatform(t), func(c *Config) { c.StateDir = state; n.names(membership.NamesFirst)(c) })
	var r nameserver.Report
	queryAdmin(t, state, "/zones", &r)
	if len(r.Zones) != 1 || r.Zones[0].State != "held" || len(r.Members) != 1 || r.Counts["updates"] != 1 {
		t.Errorf("report %+v", r)
	}
}

func mustParse(t *testing.T, addr string) netip.AddrPort {
	t.Helper()
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// A member whose name has no address yet exists nevertheless: its messages wait for the first address.
func TestNames_MemberWithoutAddress(t *testing.T) {
	e, other := st.NewEndpoint(t, st.Status(200)), st.NewEndpoint(t, st.Status(200))
	n := newNamed(t, t.TempDir())
	p := st.NewPlatform(t)
	p.Change(st.Target("s-1", other.Addr, 1, "SERVING"))
	addr := run(t, p, n.names(membership.NamesFirst))
	st.Submit(t, addr, st.Submission{ID: "early", Class: "unsafe", Destination: 0, Deadline: 15 * time.Second})
	n.pointTo(e.Addr)
	if c := e.Next(t); c.ID != "early" {
		t.Error(c.ID)
	}
}

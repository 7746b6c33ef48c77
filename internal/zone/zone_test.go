package zone

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"testing/fstest"
	"time"

	"github.com/miekg/dns"
	"pgregory.net/rapid"
)

// Serial arithmetic of RFC 1982 3.2 with 32 bits, and the examples of its section 5 scaled to 32 bits.
func TestSerials(t *testing.T) {
	for _, c := range []struct {
		a, b uint32
		want bool
	}{{1, 0, true}, {0, 1, false}, {0, 0, false}, {0, 1<<32 - 1, true}, {1<<31 - 1, 0, true}, {1 << 31, 0, false}, {0, 1 << 31, false}, {100, 1<<32 - 100, true}} {
		if NewerSerial(c.a, c.b) != c.want {
			t.Errorf("%d newer than %d: want %v", c.a, c.b, c.want)
		}
	}
	if NextSerial(1<<32-1) != 1 {
		t.Error("the serial after 4294967295 is not 1: 0 must be skipped")
	}
}

// The example of RFC 4034 6.1, and labels that contain the octets 0 and 1, which keys use as terminator and escape.
func TestCanonicalOrder(t *testing.T) {
	names := []string{"example.", "a.example.", "yljkjljk.a.example.", `Z.a.example.`, "zABC.a.EXAMPLE.", "z.example.", `\001.z.example.`, "*.z.example.", `\200.z.example.`}
	for i := 1; i < len(names); i++ {
		if bytes.Compare(key(Name(names[i-1])), key(Name(names[i]))) >= 0 {
			t.Errorf("%s is not before %s", names[i-1], names[i])
		}
	}
	for _, pair := range [][2]string{{`\000.example.`, `\001.example.`}, {`a\000.example.`, `a.example.`}, {`a\.b.example.`, "a.b.example."}} {
		if a, b := key(pair[0]), key(pair[1]); bytes.HasPrefix(a, b) || bytes.HasPrefix(b, a) {
			t.Errorf("%s and %s: the key of one is a prefix of the other's", pair[0], pair[1])
		}
	}
	for name, want := range map[string]bool{"example.": true, "a.example.": true, "aexample.": false, `a\.example.`: false, `a\\.example.`: true, ".": false} {
		if Within("example.", name) != want {
			t.Errorf("%s within example.: want %v", name, want)
		}
	}
}

func TestAnswer(t *testing.T) {
	z := parse(t, base+"loop 300 IN CNAME loop2\nloop2 300 IN CNAME loop\nout 300 IN CNAME x.other.\nchain 300 IN CNAME alias\nx.wild 300 IN TXT \"here\"\nxwild 300 IN A 192.0.2.7\n*.cw 300 IN CNAME www\n")
	for _, c := range []struct {
		name   string
		kind   uint16
		rcode  int
		answer string // types of the answer
		ns     string // and of the authority section
		next   string
	}{
		{"www", dns.TypeA, 0, "A A", "", ""},
		{"WWW", dns.TypeA, 0, "A A", "", ""},
		{"www", dns.TypeAAAA, 0, "", "SOA", ""},
		{"nope", dns.TypeA, dns.RcodeNameError, "", "SOA", ""},
		{"b", dns.TypeA, 0, "", "SOA", ""}, // empty non-terminal
		{"alias", dns.TypeA, 0, "CNAME A A", "", ""},
		{"alias", dns.TypeCNAME, 0, "CNAME", "", ""},
		{"chain", dns.TypeA, 0, "CNAME CNAME A A", "", ""},
		{"loop", dns.TypeA, 0, "CNAME CNAME", "", ""},
		{"out", dns.TypeA, 0, "CNAME", "", "x.other."},
		{"any.wild", dns.TypeA, 0, "A", "", ""},
		{"deep.any.wild", dns.TypeA, 0, "A", "", ""},
		{"x.wild", dns.TypeA, 0, "", "SOA", ""},                    // the name exists, so the wildcard does not apply
		{"y.x.wild", dns.TypeA, dns.RcodeNameError, "", "SOA", ""}, // the closest encloser has no wildcard
		{"q.cw", dns.TypeA, 0, "CNAME A A", "", ""},                // a wildcard's CNAME
		{"sub", dns.TypeA, 0, "", "NS", ""},                        // a referral
		{"h.sub", dns.TypeA, 0, "", "NS", ""},                      // below the delegation
		{"sub", dns.TypeDS, 0, "", "SOA", ""},                      // RFC 4035 3.1.4.1: the parent zone answers for DS
		{"@", dns.TypeNS, 0, "NS", "", ""},
		{"www", dns.TypeANY, 0, "A A", "", ""},
	} {
		name := c.name + ".example."
		if c.name == "@" {
			name = "example."
		}
		r := z.Answer(name, c.kind)
		kinds := func(rrs []dns.RR) string {
			var s []string
			for _, rr := range rrs {
				s = append(s, dns.Type(rr.Header().Rrtype).String())
			}
			return strings.Join(s, " ")
		}
		if r.Rcode != c.rcode || kinds(r.Answer) != c.answer || kinds(r.Ns) != c.ns || r.Next != c.next {
			t.Errorf("%s %s: %d, %q, %q, %q", c.name, dns.Type(c.kind), r.Rcode, kinds(r.Answer), kinds(r.Ns), r.Next)
		}
		if c.ns == "NS" && (r.Authority || len(r.Additional) != 1) || c.ns != "NS" && !r.Authority {
			t.Errorf("%s: authority %v, additional %v", c.name, r.Authority, r.Additional)
		}
		for _, rr := range r.Answer {
			if c.name == "any.wild" && rr.Header().Name != "any.wild.example." {
				t.Error("the answer has the wildcard's name, not the queried name")
			}
		}
	}
	if soa := z.Answer("nope.example.", dns.TypeA).Ns[0]; soa.Header().Ttl != 60 {
		t.Errorf("the time to live of a negative answer is %d s, want 60 (RFC 2308 3)", soa.Header().Ttl)
	}
}

func TestParse(t *testing.T) {
	soa := "@ 300 IN SOA ns h 1 1 1 1 1\n@ 300 IN NS ns\n"
	for _, c := range []struct{ text, want string }{
		{"", "no SOA"},
		{"@ 300 IN NS ns\n", "no SOA"},
		{"@ 300 IN SOA ns h 1 1 1 1 1\n", "no NS"},
		{soa + "@ 300 IN SOA ns h 2 1 1 1 1\n", "second SOA"},
		{soa + "x 300 IN SOA ns h 2 1 1 1 1\n", "apex"},
		{soa + "x 300 IN A 1.2.3\n", "members.zone:"},
		{soa + "\n\nx 300 IN NOPE 1.2.3\n", "line: 5"},
		{soa + "x 300 CH A 192.0.2.1\n", "class"},
		{soa + "x.other. 300 IN A 192.0.2.1\n", "not within"},
		{soa + "x 300 IN CNAME y\nx 300 IN A 192.0.2.1\n", "CNAME beside A"},
		{soa + "x 300 IN CNAME y\nx 300 IN CNAME z\n", "2 CNAME"},
		{soa + "$INCLUDE ../secret\n", "secret"},
		{soa + "$INCLUDE /etc/passwd\n", "passwd"},
		{soa + "$INCLUDE loop.zone\n", "deep"},
		{soa + "$INCLUDE folder\n", "not a regular file"},
		{soa + "$GENERATE 1-70000 h$ A 192.0.2.1\n", "members.zone"},
		{soa + strings.Repeat("x 300 IN A 192.0.2.1\ny 300 IN A 192.0.2.1\n", 1) + "$GENERATE 1-30 h$ A 192.0.2.1\n", "more than 20"},
	} {
		files := fstest.MapFS{"loop.zone": {Data: []byte("$INCLUDE loop.zone\n")}, "folder/x": {}}
		z, err := Parse(strings.NewReader(c.text), "example.", "members.zone", files, 20)
		if err == nil || z != nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: %v, want %q", c.text, err, c.want)
		}
	}
	files := fstest.MapFS{"more/one.zone": {Data: []byte("one A 192.0.2.1\n$INCLUDE two.zone\n")}, "more/two.zone": {Data: []byte("two A 192.0.2.2\n")}}
	z, err := Parse(strings.NewReader("$ORIGIN example.\n$TTL 60\n"+soa+"$INCLUDE more/one.zone\n$GENERATE 1-3 h$ A 192.0.2.$\n"), "example.", "members.zone", files, 100)
	if err != nil {
		t.Fatal(err)
	}
	if z.Records() != 7 || len(z.Set("two.example.", dns.TypeA)) != 1 || len(z.Set("h3.example.", dns.TypeA)) != 1 {
		t.Error(texts(z.List()))
	}
	var text bytes.Buffer
	if err := z.Write(&text); err != nil {
		t.Fatal(err)
	}
	again, err := Parse(&text, "example.", "written", nil, 100)
	if err != nil || Diff(z, again).Records() > 0 {
		t.Errorf("the written file does not parse to the same zone: %v", err)
	}
	// os.Root refuses a link that leads out of its folder; the name server parses with the file system of an os.Root.
	dir := t.TempDir()
	if err := os.Symlink("/etc/passwd", filepath.Join(dir, "link.zone")); err != nil {
		t.Fatal(err)
	}
	root, err := os.OpenRoot(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer root.Close()
	fsys := root.FS()
	if _, err := Parse(strings.NewReader(soa+"$INCLUDE link.zone\n"), "example.", "members.zone", fsys, 20); err == nil || strings.Contains(err.Error(), "root:") {
		t.Errorf("a link out of the folder: %v", err)
	}
}

func TestNext(t *testing.T) {
	z := parse(t, base)
	other := parse(t, strings.Replace(base, "192.0.2.2", "192.0.2.20", 1))
	for name, c := range map[string]struct {
		read   *Zone
		what   FileChange
		serial uint32
	}{"same": {parse(t, base), Same, 0}, "newer": {other.WithSerial(11), Newer, 11}, "the serial was forgotten": {other, SerialReused, 11}, "backwards": {other.WithSerial(9), Backwards, 0}} {
		next, what := NextVersion(z, c.read)
		if what != c.what || next != nil && next.Serial() != c.serial || (next == nil) != (c.serial == 0) {
			t.Errorf("%s: %v %v", name, what, next)
		}
	}
}

// A manual edit is merged with concurrent updates: both are applied, the edit wins for sets that both changed, and the serial is newer.
func TestRebase(t *testing.T) {
	b := parse(t, base)
	up := func(z *Zone, updates ...string) *Zone {
		after, _, err := z.Update(message(t, "example.", nil, updates), nil)
		if err != nil {
			t.Fatal(err)
		}
		return after
	}
	now := up(b, "n1 60 IN A 192.0.2.31", "www ANY TXT", "a.b ANY A")
	edited := up(up(b, "n2 60 IN A 192.0.2.32"), "a.b 300 IN A 192.0.2.40", "ns 300 IN A 192.0.2.41").WithSerial(10) // edited without a new serial
	got, changed, err := Rebase(b, edited, now)
	if err != nil || !changed {
		t.Fatal(changed, err)
	}
	want := up(now, "n2 60 IN A 192.0.2.32", "a.b 300 IN A 192.0.2.4", "a.b 300 IN A 192.0.2.40", "ns 300 IN A 192.0.2.41")
	if !slices.Equal(texts(got.List()), texts(want.List())) || !NewerSerial(got.Serial(), now.Serial()) {
		t.Errorf("%d %q", got.Serial(), texts(got.List()))
	}
	if got, changed, err := Rebase(b, b, now); got != now || changed || err != nil {
		t.Error("a file without edits counts as a change", err)
	}
	if got, _, _ := Rebase(b, b.WithSerial(500), now); got.Serial() != 500 {
		t.Error("the newer serial of the edited file is not used")
	}
	if _, _, err := Rebase(b, up(b, "alias ANY ANY", "alias 300 IN A 192.0.2.50"), now); err != nil {
		t.Error(err)
	}
}

func TestHistory(t *testing.T) {
	h := History{MaxVersions: 3, MaxRecords: 100}
	for s := uint32(1); s <= 5; s++ {
		h.Add(&Delta{From: s, To: s + 1, Added: make([]dns.RR, 2)})
	}
	if _, ok := h.Since(2); ok {
		t.Error("the history has more than MaxVersions differences")
	}
	if d, ok := h.Since(3); !ok || len(d) != 3 {
		t.Error(d, ok)
	}
	h.Add(&Delta{From: 6, To: 7, Added: make([]dns.RR, 99)})
	if d, ok := h.Since(5); ok || len(h.deltas) != 1 {
		t.Error("the history has more than MaxRecords records", len(d))
	}
	h.Add(&Delta{From: 50, To: 51})
	if _, ok := h.Since(6); ok {
		t.Error("the history has differences from before a gap")
	}
}

// A difference that is truncated at any byte, or has a flipped bit in any byte, is rejected.
func TestTornDelta(t *testing.T) {
	z := parse(t, base)
	after, _, err := z.Update(message(t, "example.", nil, []string{"n 60 IN A 192.0.2.9", "www ANY ANY"}), nil)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := Diff(z, after).Append([]byte("xx"))
	if err != nil {
		t.Fatal(err)
	}
	raw = raw[2:]
	for i := range raw {
		if _, _, err := ReadDelta(raw[:i]); !errors.Is(err, ErrTruncated) {
			t.Fatalf("truncated at %d: %v", i, err)
		}
		bad := bytes.Clone(raw)
		bad[i] ^= 0x10
		if d, _, err := ReadDelta(bad); err == nil {
			t.Fatalf("bit flipped at %d: %v", i, d)
		}
	}
}

func FuzzReadDelta(f *testing.F) {
	z := parse(f, base)
	raw, _ := (&Delta{From: 1, To: 2, Removed: z.List()[:2], Added: z.List()[2:]}).Append(nil)
	f.Add(raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		if d, n, err := ReadDelta(raw); err == nil {
			again, err := d.Append(nil)
			if err != nil || n > len(raw) {
				t.Fatal(n, err)
			}
			if _, _, err := ReadDelta(again); err != nil {
				t.Fatal(err)
			}
			z.Apply(d)
		}
	})
}

func FuzzUpdate(f *testing.F) {
	z := parse(f, base)
	for _, m := range []*dns.Msg{message(f, "example.", []string{"www ANY A"}, []string{"n 60 IN A 192.0.2.9", "www ANY ANY", "ns NONE A 192.0.2.1"})} {
		raw, _ := m.Pack()
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		m := new(dns.Msg)
		if m.Unpack(raw) != nil {
			return
		}
		after, changed, err := z.Update(m, nil)
		if err != nil {
			return
		}
		if err := after.check(); err != nil {
			t.Fatal(err)
		}
		if changed != (after != z) {
			t.Fatal("changed does not match whether Update returned another version")
		}
		for _, q := range m.Ns {
			after.Answer(q.Header().Name, q.Header().Rrtype)
		}
	})
}

// A transfer that is truncated at any record, or has surplus records, is rejected.
func TestTransfers(t *testing.T) {
	z := parse(t, base)
	next, _, err := z.Update(message(t, "example.", nil, []string{"www ANY A", "n 60 IN A 192.0.2.9"}), nil)
	if err != nil {
		t.Fatal(err)
	}
	full := append(next.List(), next.SOA())
	incremental := Incremental(next, []*Delta{Diff(z, next)})
	for i := range full {
		if _, _, err := FromTransfer("example.", z, full[:i]); err == nil && i != 1 {
			t.Errorf("full transfer truncated at %d: accepted", i)
		}
	}
	for i := range incremental {
		if _, _, err := FromTransfer("example.", z, incremental[:i]); err == nil {
			t.Errorf("incremental transfer truncated at %d: accepted", i)
		}
	}
	if got, _, err := FromTransfer("example.", z, []dns.RR{z.SOA()}); got != z || err != nil {
		t.Error("an answer with only the SOA of the current version is rejected", err)
	}
	for name, rrs := range map[string][]dns.RR{"records after its end": append(slices.Clone(full), next.List()...), "another zone's SOA": {rr(t, "x.other. 1 IN SOA a. b. 1 1 1 1 1")},
		"a newer serial alone": {next.SOA()}, "no SOA first": full[1:]} {
		if _, _, err := FromTransfer("example.", z, rrs); !errors.Is(err, ErrTransfer) {
			t.Errorf("%s: %v", name, err)
		}
	}
	for what, d := range map[string]*Delta{"removes a missing record": {From: 10, To: 11, Removed: []dns.RR{z.SOA(), rr(t, "gone 1 IN A 192.0.2.1")}, Added: []dns.RR{next.SOA()}},
		"adds an existing record": {From: 10, To: 11, Removed: []dns.RR{z.SOA()}, Added: []dns.RR{next.SOA(), z.Set("ns.example.", dns.TypeA)[0]}}} {
		if got, err := z.Apply(d); !errors.Is(err, ErrDeltaMismatch) {
			t.Errorf("a difference that %s: %v, %v", what, got, err)
		}
	}
	if _, _, err := FromTransfer("example.", next, incremental); !errors.Is(err, ErrDeltaMismatch) {
		t.Errorf("differences from another version: %v", err)
	}
	if _, _, err := FromTransfer("example.", nil, incremental); !errors.Is(err, ErrTransfer) {
		t.Errorf("differences without a current version: %v", err)
	}
}

func TestReplays(t *testing.T) {
	r := Replays{MaxEntries: 2}
	const s = time.Second
	see := func(mac string, now time.Duration, repeat, full bool) {
		t.Helper()
		if gotRepeat, gotFull := r.Seen("K.", mac, now, now+10*s); gotRepeat != repeat || gotFull != full {
			t.Errorf("%s at %v: repeat %v, full %v", mac, now, gotRepeat, gotFull)
		}
	}
	see("a", 0, false, false)
	see("a", 10*s, true, false)
	see("b", 5*s, false, false)
	see("c", 6*s, false, true) // full: rejected and not recorded
	see("c", 7*s, false, true)
	see("c", 11*s, false, false) // "a" has expired
	see("b", 11*s, true, false)
	if repeat, _ := r.Seen("k.", "b", 11*s, 0); !repeat {
		t.Error("key names must be compared without case")
	}
}

// Scripts of a secondary: each step is an event, the actions that must follow, and the time of the next step.
func TestSecondary(t *testing.T) {
	soa := func(serial uint32) *dns.SOA { return &dns.SOA{Serial: serial, Refresh: 60, Retry: 10, Expire: 300} }
	serial := func(n uint32) SecondaryEvent { return SecondaryEvent{Serial: &n} }
	notify := func(n uint32) SecondaryEvent { return SecondaryEvent{Notified: &n} }
	version := func(n uint32) SecondaryEvent { return SecondaryEvent{Version: soa(n)} }
	failed, misfit, tick := SecondaryEvent{Failed: true}, SecondaryEvent{DeltaRejected: true}, SecondaryEvent{}
	type step struct {
		at    int // seconds
		event SecondaryEvent
		does  []SecondaryAction
		next  int // seconds; -1: no timer is set
	}
	do := func(a ...SecondaryAction) []SecondaryAction { return a }
	for name, steps := range map[string][]step{
		"a full transfer, then SOA queries": {{0, tick, do(TransferFull), -1}, {1, version(5), nil, 61}, {60, tick, nil, 61}, {61, tick, do(QuerySerial), 301}, {61, serial(5), nil, 121},
			{121, tick, do(QuerySerial), 361}, {121, serial(6), do(TransferIncremental), 361}, {122, version(6), nil, 182}},
		"the backoff doubles before any version":      {{0, tick, do(TransferFull), -1}, {0, failed, nil, 1}, {1, tick, do(TransferFull), -1}, {1, failed, nil, 3}, {3, tick, do(TransferFull), -1}, {3, failed, nil, 7}},
		"a NOTIFY queries the SOA at once":            {{0, tick, do(TransferFull), -1}, {0, version(5), nil, 60}, {10, notify(6), do(QuerySerial), 300}, {10, serial(6), do(TransferIncremental), 300}},
		"a NOTIFY of the current serial does nothing": {{0, tick, do(TransferFull), -1}, {0, version(5), nil, 60}, {10, notify(5), nil, 60}},
		"a NOTIFY without a serial queries the SOA":   {{0, tick, do(TransferFull), -1}, {0, version(5), nil, 60}, {10, notify(0), do(QuerySerial), 300}},
		"NOTIFYs during a request are coalesced":      {{0, tick, do(TransferFull), -1}, {0, notify(9), nil, -1}, {0, notify(10), nil, -1}, {1, version(9), do(QuerySerial), 301}, {1, serial(9), nil, 61}},
		"a full transfer after a rejected difference": {{0, tick, do(TransferFull), -1}, {0, version(5), nil, 60}, {60, tick, do(QuerySerial), 300}, {60, serial(7), do(TransferIncremental), 300}, {60, misfit, do(TransferFull), 300}, {61, version(7), nil, 121}},
		"an older serial is ignored":                  {{0, tick, do(TransferFull), -1}, {0, version(5), nil, 60}, {60, tick, do(QuerySerial), 300}, {60, serial(4), nil, 120}},
		"an unreachable primary: expired, and back": {{0, tick, do(TransferFull), -1}, {0, version(5), nil, 60}, {60, tick, do(QuerySerial), 300}, {65, failed, nil, 75}, {75, tick, do(QuerySerial), 300}, {80, failed, nil, 90},
			{300, tick, do(Expire, QuerySerial), -1}, {301, failed, nil, 311}, {311, tick, do(QuerySerial), -1}, {311, serial(5), nil, 371}},
		"an older serial is accepted once expired": {{0, tick, do(TransferFull), -1}, {0, version(5), nil, 60}, {300, tick, do(Expire, QuerySerial), -1}, {301, serial(2), do(TransferIncremental), -1}},
		"it expires while a transfer hangs":        {{0, tick, do(TransferFull), -1}, {0, version(5), nil, 60}, {60, tick, do(QuerySerial), 300}, {60, serial(6), do(TransferIncremental), 300}, {300, tick, do(Expire), -1}, {310, version(6), nil, 370}},
		"an unsolicited answer is ignored":         {{0, serial(9), do(TransferFull), -1}, {0, version(5), nil, 60}, {1, version(9), nil, 60}, {1, failed, nil, 60}},
	} {
		t.Run(name, func(t *testing.T) {
			s := Secondary{Bounds: DefaultBounds()}
			for i, c := range steps {
				does := s.Step(time.Duration(c.at)*time.Second, c.event)
				next := int(s.Next() / time.Second)
				if s.Next() == time.Duration(1<<63-1) {
					next = -1
				}
				if !slices.Equal(does, c.does) || next != c.next {
					t.Fatalf("step %d: does %v, next %d; want %v, %d", i+1, does, next, c.does, c.next)
				}
			}
		})
	}
	s := Secondary{Bounds: DefaultBounds()}
	s.Resume(1000*time.Second, soa(5), 299*time.Second) // from an earlier process
	if got := s.Step(1000*time.Second, tick); !slices.Equal(got, do(QuerySerial)) || s.Next() != 1001*time.Second {
		t.Error(got, s.Next())
	}
	if got := s.Step(1001*time.Second, tick); !slices.Equal(got, do(Expire)) || !s.Expired() {
		t.Error(got)
	}
}

// Invariants under random events: at most one request is in flight, a timer or a request is always pending, and a version is served for
// no longer than its expire time after the last confirmation.
func TestSecondary_Invariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Secondary{Bounds: DefaultBounds()}
		now, confirmed, out := time.Duration(0), time.Duration(-1), 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "seconds")) * time.Second
			n := uint32(rapid.IntRange(0, 5).Draw(t, "serial"))
			e := []SecondaryEvent{{}, {Serial: &n}, {Version: &dns.SOA{Serial: n, Refresh: 60, Retry: 10, Expire: 300}}, {Failed: true}, {DeltaRejected: true}, {Notified: &n}}[rapid.IntRange(0, 5).Draw(t, "event")]
			asking, before := s.request, s.serial
			acts := s.Step(now, e)
			if asking == transferring && e.Version != nil || asking == askingSerial && s.hasVersion && e.Serial != nil && n == before {
				confirmed = now
				if s.expired {
					t.Fatal("the zone is still expired although the primary confirmed its version")
				}
			}
			if ended := asking == askingSerial && (e.Serial != nil || e.Failed) || asking == transferring && (e.Version != nil || e.Failed || e.DeltaRejected); ended {
				out--
			}
			for _, a := range acts {
				if a != Expire {
					out++
				}
			}
			if out < 0 || out > 1 || (out == 1) != (s.request != idle) {
				t.Fatalf("%d requests in flight", out)
			}
			if s.request == idle && s.Next() == time.Duration(1<<63-1) {
				t.Fatal("neither a request nor a timer is pending")
			}
			if s.hasVersion && !s.expired && confirmed >= 0 && now >= confirmed+300*time.Second {
				t.Fatalf("served at %v, confirmed last at %v", now, confirmed)
			}
		}
	})
}

func BenchmarkZone(b *testing.B) {
	for _, n := range []int{2_000, 20_000, 200_000} {
		var text strings.Builder
		text.WriteString("@ 300 IN SOA ns h 1 1 1 1 1\n@ 300 IN NS ns\n")
		for i := range n {
			fmt.Fprintf(&text, "h%d 300 IN A 10.%d.%d.%d\n", i, i>>16, i>>8&255, i&255)
		}
		var z *Zone
		b.Run(fmt.Sprintf("load/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				z, _ = Parse(strings.NewReader(text.String()), "example.", "bench", nil, n+10)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/record")
		})
		m := message(b, "example.", []string{"h7 ANY A"}, []string{"h7 ANY A", "h7 60 IN A 192.0.2.1", "h8 60 IN A 192.0.2.1"})
		b.Run(fmt.Sprintf("update/%d", n), func(b *testing.B) {
			for range b.N {
				after, _, err := z.Update(m, nil)
				if err != nil {
					b.Fatal(err)
				}
				DiffNames(z, after, []string{"h7.example.", "h8.example."})
			}
		})
		b.Run(fmt.Sprintf("answer/%d", n), func(b *testing.B) {
			for range b.N {
				z.Answer("h7.example.", dns.TypeA)
			}
		})
	}
}

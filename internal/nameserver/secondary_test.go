package nameserver

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/miekg/dns"

	"saffronyard.example/saffronyard/internal/membership"
	"saffronyard.example/saffronyard/internal/zone"
)

// fakePrimary is a primary whose answers are set by a test. transfer writes the messages of the answer to a transfer request to the
// connection.
type fakePrimary struct {
	t    *testing.T
	addr string
	keys *Keyring

	mu       sync.Mutex
	serial   func(q *dns.Msg) *dns.Msg // answers queries for the SOA; nil: no answer is sent
	transfer func(q *dns.Msg, c net.Conn)
	requests chan string // the types of received requests
}

func newFakePrimary(t *testing.T, keys []Key) *fakePrimary {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p, err := net.ListenPacket("udp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	primary := &fakePrimary{t: t, addr: l.Addr().String(), keys: NewKeyring(keys), requests: make(chan string, 10_000)}
	t.Cleanup(func() { l.Close(); p.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go primary.serve(c)
		}
	}()
	go func() {
		b := make([]byte, 4096)
		for {
			n, from, err := p.ReadFrom(b)
			if err != nil {
				return
			}
			q := new(dns.Msg)
			if q.Unpack(b[:n]) != nil {
				continue
			}
			primary.requests <- "SOA"
			primary.mu.Lock()
			answer := primary.serial
			primary.mu.Unlock()
			if answer == nil {
				continue
			}
			if r := answer(q); r != nil {
				if raw := primary.pack(r, q); raw != nil {
					p.WriteTo(raw, from)
				}
			}
		}
	}()
	return primary
}

// pack returns an answer in wire format, signed if both the request and the answer have a TSIG record.
func (l *fakePrimary) pack(r, q *dns.Msg) []byte {
	if r.IsTsig() != nil && q.IsTsig() != nil {
		raw, _, err := dns.TsigGenerateWithProvider(r, l.keys, q.IsTsig().MAC, false)
		if err != nil {
			l.t.Error(err)
		}
		return raw
	}
	raw, err := r.Pack()
	if err != nil {
		l.t.Error(err)
	}
	return raw
}

func (l *fakePrimary) serve(c net.Conn) {
	defer c.Close()
	for {
		var size [2]byte
		if _, err := io.ReadFull(c, size[:]); err != nil {
			return
		}
		raw := make([]byte, binary.BigEndian.Uint16(size[:]))
		if _, err := io.ReadFull(c, raw); err != nil {
			return
		}
		q := new(dns.Msg)
		if q.Unpack(raw) != nil {
			return
		}
		kind := dns.Type(q.Question[0].Qtype).String()
		l.requests <- kind
		l.mu.Lock()
		transfer, serial := l.transfer, l.serial
		l.mu.Unlock()
		if kind == "SOA" {
			if serial != nil {
				send(c, l.pack(serial(q), q))
			}
			continue
		}
		transfer(q, c)
		return
	}
}

func send(c net.Conn, raw []byte) {
	c.Write(append(binary.BigEndian.AppendUint16(nil, uint16(len(raw))), raw...))
}

// setAnswers sets the answers: the serial of the SOA, and for a transfer rrs without the last omit records, with perMessage records in a
// message.
func (l *fakePrimary) setAnswers(serial uint32, rrs []dns.RR, perMessage, omit int, sign bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setAnswersLocked(serial, rrs, perMessage, omit, sign)
}

// setAnswersLocked is setAnswers for callers that hold mu.
func (l *fakePrimary) setAnswersLocked(serial uint32, rrs []dns.RR, perMessage, omit int, sign bool) {
	mark := func(r *dns.Msg) *dns.Msg {
		if sign {
			r.SetTsig("xfer.", dns.HmacSHA512, 300, time.Now().Unix())
		}
		return r
	}
	l.serial = func(q *dns.Msg) *dns.Msg {
		r := new(dns.Msg).SetReply(q)
		r.Answer = []dns.RR{&dns.SOA{Hdr: dns.RR_Header{Name: "example.", Rrtype: dns.TypeSOA, Class: dns.ClassINET}, Ns: "ns.", Mbox: "h.", Serial: serial}}
		return mark(r)
	}
	l.transfer = func(q *dns.Msg, c net.Conn) {
		mac := ""
		if q.IsTsig() != nil {
			mac = q.IsTsig().MAC
		}
		first := true
		for list := rrs[:len(rrs)-omit]; len(list) > 0; first = false {
			n := min(perMessage, len(list))
			r := mark(new(dns.Msg).SetReply(q))
			r.Answer, list = list[:n], list[n:]
			var raw []byte
			var err error
			if sign {
				raw, mac, err = dns.TsigGenerateWithProvider(r, l.keys, mac, !first)
			} else {
				raw, err = r.Pack()
			}
			if err != nil {
				l.t.Error(err)
			}
			send(c, raw)
		}
	}
}

// waitForRequest waits for a request of a type.
func (l *fakePrimary) waitForRequest(kind string) {
	l.t.Helper()
	over := time.After(testTimeout)
	for {
		select {
		case k := <-l.requests:
			if k == kind {
				return
			}
		case <-over:
			l.t.Fatalf("no request of type %s was received", kind)
		}
	}
}

func zoneAt(t *testing.T, serial int, addr string) *zone.Zone {
	return parseZone(t, strings.Replace(strings.Replace(zoneText, "h 10 60 10", fmt.Sprintf("h %d 1 1", serial), 1), "127.0.0.2", addr, 1))
}

func axfr(z *zone.Zone) []dns.RR { return append(z.List(), z.SOA()) }

// A primary with invalid answers, such as truncated transfers, old serials, wrong signatures or none, does not change the endpoints of
// members. They follow once its answers are valid again.
func TestSecondary_FaultyPrimary(t *testing.T) {
	keys := testKeys(t)
	good, later := zoneAt(t, 10, "127.0.0.2"), zoneAt(t, 20, "127.0.0.3")
	bad := zoneAt(t, 20, "127.0.0.66")
	fast := zone.Bounds{MinRefresh: 30 * time.Millisecond, MaxRefresh: 30 * time.Millisecond, MinRetry: 30 * time.Millisecond, MaxRetry: 30 * time.Millisecond, MinExpire: time.Hour}
	wrong := mustParseKeys(t, "xfer. hmac-sha512 "+secret("another"))
	for name, fault := range map[string]struct {
		kind string // the type of request that must be received twice to show that the first answer was processed
		do   func(l *fakePrimary)
	}{
		"truncated":               {"IXFR", func(l *fakePrimary) { l.setAnswersLocked(20, axfr(bad), 2, 1, true) }},
		"a single SOA":            {"IXFR", func(l *fakePrimary) { l.setAnswersLocked(20, axfr(bad)[:1], 1, 0, true) }},
		"an old serial":           {"SOA", func(l *fakePrimary) { l.setAnswersLocked(9, axfr(bad), 2, 0, true) }},
		"a zone without SOA":      {"IXFR", func(l *fakePrimary) { l.setAnswersLocked(20, bad.List()[1:], 2, 0, true) }},
		"signed with another key": {"SOA", func(l *fakePrimary) { l.keys.Set(wrong); l.setAnswersLocked(20, axfr(bad), 2, 0, true) }},
		"not signed":              {"SOA", func(l *fakePrimary) { l.setAnswersLocked(20, axfr(bad), 2, 0, false) }},
		"a transfer not signed": {"IXFR", func(l *fakePrimary) {
			l.setAnswersLocked(20, axfr(bad), 2, 0, false)
			unsigned := l.transfer
			l.setAnswersLocked(20, axfr(bad), 2, 0, true)
			l.transfer = unsigned
		}},
		"another zone": {"AXFR", func(l *fakePrimary) { l.setAnswersLocked(20, []dns.RR{other(t), other(t)}, 2, 0, true) }},
		"records outside of the zone": {"IXFR", func(l *fakePrimary) {
			l.setAnswersLocked(20, append([]dns.RR{bad.SOA(), rrOf(t, "x.other. 1 IN A 127.0.0.66")}, bad.SOA()), 9, 0, true)
		}},
		"records after its end": {"AXFR", func(l *fakePrimary) { l.setAnswersLocked(20, slices.Concat(axfr(bad)[:3], axfr(bad)), 100, 0, true) }},
		"differences that do not apply": {"AXFR", func(l *fakePrimary) {
			l.setAnswersLocked(20, []dns.RR{bad.SOA(), good.SOA(), rrOf(t, "gone.example. 1 IN A 127.0.0.66"), bad.SOA(), bad.SOA()}, 9, 0, true)
		}},
		"it refuses": {"SOA", func(l *fakePrimary) {
			l.setAnswersLocked(20, axfr(bad), 2, 0, true)
			l.serial = func(q *dns.Msg) *dns.Msg {
				r := new(dns.Msg).SetRcode(q, dns.RcodeRefused)
				r.SetTsig("xfer.", dns.HmacSHA512, 300, time.Now().Unix())
				return r
			}
		}},
		"rubbish": {"IXFR", func(l *fakePrimary) {
			l.setAnswersLocked(20, axfr(bad), 2, 0, true)
			l.transfer = func(_ *dns.Msg, c net.Conn) { c.Write([]byte(strings.Repeat("\x01\xff", 500))) }
		}},
		"it closes at once": {"IXFR", func(l *fakePrimary) {
			l.setAnswersLocked(20, axfr(bad), 2, 0, true)
			l.transfer = func(_ *dns.Msg, c net.Conn) {}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := newFakePrimary(t, keys)
			l.setAnswers(10, axfr(good), 100, 0, true)
			s := startService(t, &Config{Folder: t.TempDir(), Keys: keys, Spans: membership.DefaultFollowerConfig(),
				Zones:   []ZoneConfig{{Name: "example.", Primary: l.addr, Key: "xfer.", Bounds: &fast}},
				Members: []membership.Member{{Destination: 7, Name: "hooks.example.", Port: 80, Weight: 1}}})
			f := recordEndpoints(t, s)
			f.waitForServing(t, "127.0.0.2")
			l.mu.Lock()
			fault.do(l)
			l.mu.Unlock()
			for len(l.requests) > 0 {
				<-l.requests
			}
			l.waitForRequest(fault.kind)
			l.waitForRequest(fault.kind) // the answer to the first request has been processed
			f.waitForServing(t, "127.0.0.2")
			l.keys.Set(keys)
			l.setAnswers(30, axfr(later.WithSerial(30)), 2, 0, true)
			f.waitForServing(t, "127.0.0.3")
		})
	}
}

func other(t *testing.T) dns.RR { return rrOf(t, "other. 1 IN SOA a. b. 20 1 1 1 1") }

func rrOf(t *testing.T, text string) dns.RR {
	t.Helper()
	rr, err := dns.NewRR(text)
	if err != nil {
		t.Fatal(err)
	}
	return rr
}

// A destination has no endpoints until the first transfer from its primary. A truncated answer by UDP is retried by TCP. When the primary
// does not answer until the zone expires, members keep their addresses and queries are answered SERVFAIL.
func TestSecondary_AbsentPrimary(t *testing.T) {
	l := newFakePrimary(t, nil)
	fast := zone.Bounds{MinRefresh: 20 * time.Millisecond, MaxRefresh: 20 * time.Millisecond, MinRetry: 20 * time.Millisecond, MaxRetry: 20 * time.Millisecond, MinExpire: 300 * time.Millisecond}
	l.mu.Lock()
	l.transfer = func(_ *dns.Msg, c net.Conn) {}
	l.mu.Unlock()
	z := parseZone(t, strings.Replace(zoneText, "60 10 300 60", "1 1 0 1", 1))
	s := startService(t, &Config{Listen: "127.0.0.1:0", Folder: t.TempDir(), Spans: membership.DefaultFollowerConfig(),
		Zones:   []ZoneConfig{{Name: "example.", Primary: l.addr, Bounds: &fast}},
		Members: []membership.Member{{Destination: 7, Name: "hooks.example.", Port: 80, Weight: 1}}})
	if got := s.Report().Members[0]; got.Answer != "time-out" || len(s.Initial().Servers) > 0 {
		t.Errorf("%+v", got)
	}
	f := recordEndpoints(t, s)
	l.waitForRequest("AXFR")
	l.waitForRequest("AXFR")
	l.setAnswers(10, axfr(z), 100, 0, false)
	f.waitForServing(t, "127.0.0.2")
	l.mu.Lock()
	valid := l.serial
	l.mu.Unlock()
	truncated := func(q *dns.Msg) *dns.Msg {
		r := valid(q)
		r.Truncated = true
		return r
	}
	l.mu.Lock()
	l.serial = truncated
	l.mu.Unlock()
	l.waitForRequest("SOA")
	l.mu.Lock()
	l.serial = nil // no answers from now on
	l.mu.Unlock()
	expired := func(want bool) {
		t.Helper()
		over := time.After(testTimeout)
		for s.zones["example."].current.Load().expired != want {
			select {
			case <-over:
				t.Fatalf("expired is not %v", want)
			case <-time.After(5 * time.Millisecond):
			}
		}
	}
	expired(true)
	if r := roundTrip(t, s.Address(), "udp", "", nil, new(dns.Msg).SetQuestion("hooks.example.", dns.TypeA)); r.Rcode != dns.RcodeServerFailure {
		t.Error(r)
	}
	f.waitForServing(t, "127.0.0.2")
	if got := s.Report(); got.Members[0].Answer != "SERVFAIL" || !got.Members[0].Retained || got.Zones[0].State != "expired" {
		t.Errorf("%+v", got)
	}
	l.setAnswers(10, axfr(z), 100, 0, false)
	expired(false)
	f.waitForServing(t, "127.0.0.2")
}

// A NOTIFY is accepted only from the primary, and triggers a refresh at once.
func TestNotifier(t *testing.T) {
	keys := testKeys(t)
	l := newFakePrimary(t, keys)
	l.setAnswers(10, axfr(zoneAt(t, 10, "127.0.0.2")), 100, 0, true)
	slow := zone.DefaultBounds()
	slow.MinRefresh = time.Minute
	s := startService(t, &Config{Listen: "127.0.0.1:0", Folder: t.TempDir(), Keys: keys, Spans: membership.DefaultFollowerConfig(),
		Zones:   []ZoneConfig{{Name: "example.", Primary: l.addr, Key: "xfer.", Bounds: &slow}},
		Members: []membership.Member{{Destination: 7, Name: "hooks.example.", Port: 80, Weight: 1}}})
	f := recordEndpoints(t, s)
	f.waitForServing(t, "127.0.0.2")
	l.setAnswers(20, axfr(zoneAt(t, 20, "127.0.0.3")), 100, 0, true)
	for key, want := range map[string]int{"": dns.RcodeRefused, "ops.": dns.RcodeRefused, "xfer.": dns.RcodeSuccess} {
		if r := roundTrip(t, s.Address(), "udp", key, keys, new(dns.Msg).SetNotify("example.")); r.Rcode != want {
			t.Errorf("key %q: %v", key, r)
		}
	}
	if r := roundTrip(t, s.Address(), "udp", "xfer.", keys, new(dns.Msg).SetNotify("other.")); r.Rcode != dns.RcodeNotAuth {
		t.Error(r)
	}
	f.waitForServing(t, "127.0.0.3")
}

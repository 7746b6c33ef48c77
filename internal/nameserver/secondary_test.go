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

// liar is a primary whose answers a test writes: transfer gives the messages of an answer, each as it goes on the wire,
// from the question and its signature.
type liar struct {
	t    *testing.T
	addr string
	keys *Keyring

	mu       sync.Mutex
	serial   func(q *dns.Msg) *dns.Msg // answers to questions for the SOA; nil: none comes
	transfer func(q *dns.Msg, c net.Conn)
	asked    chan string // the types of questions, as they come
}

func newLiar(t *testing.T, keys []Key) *liar {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p, err := net.ListenPacket("udp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	p2 := &liar{t: t, addr: l.Addr().String(), keys: NewKeyring(keys), asked: make(chan string, 10_000)}
	t.Cleanup(func() { l.Close(); p.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p2.serve(c)
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
			p2.asked <- "SOA"
			p2.mu.Lock()
			answer := p2.serial
			p2.mu.Unlock()
			if answer == nil {
				continue
			}
			if r := answer(q); r != nil {
				if raw := p2.packed(r, q); raw != nil {
					p.WriteTo(raw, from)
				}
			}
		}
	}()
	return p2
}

// packed is an answer on the wire, signed if the question is and the answer says so.
func (l *liar) packed(r, q *dns.Msg) []byte {
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

func (l *liar) serve(c net.Conn) {
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
		l.asked <- kind
		l.mu.Lock()
		transfer, serial := l.transfer, l.serial
		l.mu.Unlock()
		if kind == "SOA" {
			if serial != nil {
				send(c, l.packed(serial(q), q))
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

// gives sets what it answers: a serial, and records in messages of so many, of which the last ones are left out.
func (l *liar) gives(serial uint32, rrs []dns.RR, each, without int, sign bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.give(serial, rrs, each, without, sign)
}

// give is gives for who holds mu.
func (l *liar) give(serial uint32, rrs []dns.RR, each, without int, sign bool) {
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
		for list := rrs[:len(rrs)-without]; len(list) > 0; first = false {
			n := min(each, len(list))
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

// until waits for a question of a type.
func (l *liar) until(kind string) {
	l.t.Helper()
	over := time.After(wait)
	for {
		select {
		case k := <-l.asked:
			if k == kind {
				return
			}
		case <-over:
			l.t.Fatalf("no question for %s came", kind)
		}
	}
}

func zoneAt(t *testing.T, serial int, addr string) *zone.Zone {
	return parseZone(t, strings.Replace(strings.Replace(zoneText, "h 10 60 10", fmt.Sprintf("h %d 1 1", serial), 1), "127.0.0.2", addr, 1))
}

func fullTransfer(z *zone.Zone) []dns.RR { return append(z.List(), z.SOA()) }

// A primary that lies, is late, cuts transfers short, answers old serials, signs wrongly or not at all, truncates: members
// stay where they were, and follow when it is sound again.
func TestSecondary_LyingPrimary(t *testing.T) {
	keys := usualKeys(t)
	good, moved := zoneAt(t, 10, "127.0.0.2"), zoneAt(t, 20, "127.0.0.3")
	evil := zoneAt(t, 20, "127.0.0.66")
	fast := zone.Bounds{MinRefresh: 30 * time.Millisecond, MaxRefresh: 30 * time.Millisecond, MinRetry: 30 * time.Millisecond, MaxRetry: 30 * time.Millisecond, MinExpire: time.Hour}
	wrong := keysOf(t, "xfer. hmac-sha512 "+secret("another"))
	for name, lie := range map[string]struct {
		kind string // of the question after which it has had its effect, twice
		do   func(l *liar)
	}{
		"cut short":               {"IXFR", func(l *liar) { l.give(20, fullTransfer(evil), 2, 1, true) }},
		"nothing but its SOA":     {"IXFR", func(l *liar) { l.give(20, fullTransfer(evil)[:1], 1, 0, true) }},
		"an old serial":           {"SOA", func(l *liar) { l.give(9, fullTransfer(evil), 2, 0, true) }},
		"a zone without SOA":      {"IXFR", func(l *liar) { l.give(20, evil.List()[1:], 2, 0, true) }},
		"signed with another key": {"SOA", func(l *liar) { l.keys.Set(wrong); l.give(20, fullTransfer(evil), 2, 0, true) }},
		"not signed":              {"SOA", func(l *liar) { l.give(20, fullTransfer(evil), 2, 0, false) }},
		"a transfer not signed": {"IXFR", func(l *liar) {
			l.give(20, fullTransfer(evil), 2, 0, false)
			unsigned := l.transfer
			l.give(20, fullTransfer(evil), 2, 0, true)
			l.transfer = unsigned
		}},
		"another zone": {"AXFR", func(l *liar) { l.give(20, []dns.RR{other(t), other(t)}, 2, 0, true) }},
		"records outside of it": {"IXFR", func(l *liar) {
			l.give(20, append([]dns.RR{evil.SOA(), rrOf(t, "x.other. 1 IN A 127.0.0.66")}, evil.SOA()), 9, 0, true)
		}},
		"more behind its end": {"AXFR", func(l *liar) { l.give(20, slices.Concat(fullTransfer(evil)[:3], fullTransfer(evil)), 100, 0, true) }},
		"differences that do not fit": {"AXFR", func(l *liar) {
			l.give(20, []dns.RR{evil.SOA(), good.SOA(), rrOf(t, "gone.example. 1 IN A 127.0.0.66"), evil.SOA(), evil.SOA()}, 9, 0, true)
		}},
		"it refuses": {"SOA", func(l *liar) {
			l.give(20, fullTransfer(evil), 2, 0, true)
			l.serial = func(q *dns.Msg) *dns.Msg {
				r := new(dns.Msg).SetRcode(q, dns.RcodeRefused)
				r.SetTsig("xfer.", dns.HmacSHA512, 300, time.Now().Unix())
				return r
			}
		}},
		"rubbish": {"IXFR", func(l *liar) {
			l.give(20, fullTransfer(evil), 2, 0, true)
			l.transfer = func(_ *dns.Msg, c net.Conn) { c.Write([]byte(strings.Repeat("\x01\xff", 500))) }
		}},
		"it closes at once": {"IXFR", func(l *liar) {
			l.give(20, fullTransfer(evil), 2, 0, true)
			l.transfer = func(_ *dns.Msg, c net.Conn) {}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := newLiar(t, keys)
			l.gives(10, fullTransfer(good), 100, 0, true)
			s := begun(t, &Config{Folder: t.TempDir(), Keys: keys, Spans: membership.DefaultFollowerConfig(),
				Zones:   []ZoneConfig{{Name: "example.", Primary: l.addr, Key: "xfer.", Bounds: &fast}},
				Members: []membership.Member{{Destination: 7, Name: "hooks.example.", Port: 80, Weight: 1}}})
			f := following(t, s)
			f.until(t, "127.0.0.2")
			l.mu.Lock()
			lie.do(l)
			l.mu.Unlock()
			for len(l.asked) > 0 {
				<-l.asked
			}
			l.until(lie.kind)
			l.until(lie.kind) // what the first one got has had its effect
			f.until(t, "127.0.0.2")
			l.keys.Set(keys)
			l.gives(30, fullTransfer(moved.WithSerial(30)), 2, 0, true)
			f.until(t, "127.0.0.3")
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

// A primary that is never there: the destination waits; one that truncates its answer by UDP is asked by TCP; one that falls
// silent for longer than the zone may be served: members keep their addresses, questions are answered SERVFAIL.
func TestSecondary_AbsentPrimary(t *testing.T) {
	l := newLiar(t, nil)
	fast := zone.Bounds{MinRefresh: 20 * time.Millisecond, MaxRefresh: 20 * time.Millisecond, MinRetry: 20 * time.Millisecond, MaxRetry: 20 * time.Millisecond, MinExpire: 300 * time.Millisecond}
	l.mu.Lock()
	l.transfer = func(_ *dns.Msg, c net.Conn) {}
	l.mu.Unlock()
	z := parseZone(t, strings.Replace(zoneText, "60 10 300 60", "1 1 0 1", 1))
	s := begun(t, &Config{Listen: "127.0.0.1:0", Folder: t.TempDir(), Spans: membership.DefaultFollowerConfig(),
		Zones:   []ZoneConfig{{Name: "example.", Primary: l.addr, Bounds: &fast}},
		Members: []membership.Member{{Destination: 7, Name: "hooks.example.", Port: 80, Weight: 1}}})
	if got := s.Report().Members[0]; got.Answer != "time-out" || len(s.Initial().Servers) > 0 {
		t.Errorf("%+v", got)
	}
	f := following(t, s)
	l.until("AXFR")
	l.until("AXFR")
	l.gives(10, fullTransfer(z), 100, 0, false)
	f.until(t, "127.0.0.2")
	l.mu.Lock()
	sound := l.serial
	l.mu.Unlock()
	cut := func(q *dns.Msg) *dns.Msg {
		r := sound(q)
		r.Truncated = true
		return r
	}
	l.mu.Lock()
	l.serial = cut
	l.mu.Unlock()
	l.until("SOA")
	l.mu.Lock()
	l.serial = nil // and then silence
	l.mu.Unlock()
	expired := func(want bool) {
		t.Helper()
		over := time.After(wait)
		for s.zones["example."].current.Load().expired != want {
			select {
			case <-over:
				t.Fatalf("expired is not %v", want)
			case <-time.After(5 * time.Millisecond):
			}
		}
	}
	expired(true)
	if r := asked(t, s.Address(), "udp", "", nil, new(dns.Msg).SetQuestion("hooks.example.", dns.TypeA)); r.Rcode != dns.RcodeServerFailure {
		t.Error(r)
	}
	f.until(t, "127.0.0.2")
	if got := s.Report(); got.Members[0].Answer != "SERVFAIL" || !got.Members[0].Retained || got.Zones[0].State != "expired" {
		t.Errorf("%+v", got)
	}
	l.gives(10, fullTransfer(z), 100, 0, false)
	expired(false)
	f.until(t, "127.0.0.2")
}

// A NOTIFY counts from the primary only, and has the zone asked for at once.
func TestNotifier(t *testing.T) {
	keys := usualKeys(t)
	l := newLiar(t, keys)
	l.gives(10, fullTransfer(zoneAt(t, 10, "127.0.0.2")), 100, 0, true)
	slow := zone.DefaultBounds()
	slow.MinRefresh = time.Minute
	s := begun(t, &Config{Listen: "127.0.0.1:0", Folder: t.TempDir(), Keys: keys, Spans: membership.DefaultFollowerConfig(),
		Zones:   []ZoneConfig{{Name: "example.", Primary: l.addr, Key: "xfer.", Bounds: &slow}},
		Members: []membership.Member{{Destination: 7, Name: "hooks.example.", Port: 80, Weight: 1}}})
	f := following(t, s)
	f.until(t, "127.0.0.2")
	l.gives(20, fullTransfer(zoneAt(t, 20, "127.0.0.3")), 100, 0, true)
	for key, want := range map[string]int{"": dns.RcodeRefused, "ops.": dns.RcodeRefused, "xfer.": dns.RcodeSuccess} {
		if r := asked(t, s.Address(), "udp", key, keys, new(dns.Msg).SetNotify("example.")); r.Rcode != want {
			t.Errorf("key %q: %v", key, r)
		}
	}
	if r := asked(t, s.Address(), "udp", "xfer.", keys, new(dns.Msg).SetNotify("other.")); r.Rcode != dns.RcodeNotAuth {
		t.Error(r)
	}
	f.until(t, "127.0.0.3")
}

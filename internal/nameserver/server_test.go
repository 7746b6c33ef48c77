package nameserver

import (
	"fmt"
	"log/slog"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/miekg/dns"
)

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

// writer takes answers in place of a socket, and verifies as the server would.
type writer struct {
	status error
	sent   int
}

func (w *writer) LocalAddr() net.Addr { return &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)} }

func (w *writer) RemoteAddr() net.Addr { return &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)} }

func (w *writer) WriteMsg(m *dns.Msg) error { _, err := m.Pack(); w.sent++; return err }

func (w *writer) Write(b []byte) (int, error) { w.sent++; return len(b), nil }

func (w *writer) Close() error { return nil }

func (w *writer) TsigStatus() error { return w.status }

func (w *writer) TsigTimersOnly(bool) {}

func (w *writer) Hijack() {}

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

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

// An answer to an unsigned question by UDP is at most maxAmplification times as long as the question, or minUDPBytes if that is more.
func TestServer_DoesNotAmplify(t *testing.T) {
	c := testConfig(t, t.TempDir())
	var text strings.Builder
	text.WriteString(zoneText)
	for i := range 100 {
		fmt.Fprintf(&text, "big 300 IN TXT \"%d %s\"\n", i, strings.Repeat("t", 100))
		fmt.Fprintf(&text, "some 300 IN A 127.0.3.%d\n", i%20)
	}
	replaceFile(t, c.Zones[0].File, text.String())
	s := startService(t, c)
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
				conn.SetReadDeadline(time.Now().Add(testTimeout))
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
					t.Error("the answer is truncated without the TC bit")
				}
			}
		}
	}
	if r := roundTrip(t, s.Address(), "tcp", "", nil, new(dns.Msg).SetQuestion("big.example.", dns.TypeTXT)); len(r.Answer) != 100 {
		t.Errorf("by TCP %d records", len(r.Answer))
	}
}

// Idle connections, incomplete messages and floods of malformed messages do not prevent answers to valid clients, and the bound on open
// connections holds.
func TestServer_Floods(t *testing.T) {
	c := testConfig(t, t.TempDir())
	s := startService(t, c)
	question := func(network string) {
		t.Helper()
		if r := roundTrip(t, s.Address(), network, "", nil, new(dns.Msg).SetQuestion("hooks.example.", dns.TypeA)); len(r.Answer) != 1 {
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
			conn.Write([]byte{0xff, 0xff, 1, 2, 3}) // the length prefix says 65,535 bytes
		}
		if i%100 == 99 {
			question("tcp")
		}
	}
	s.server.listener.mu.Lock()
	open := len(s.server.listener.conns)
	s.server.listener.mu.Unlock()
	if open > maxTCPConns {
		t.Errorf("%d connections are open, more than maxTCPConns", open)
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
		case 1: // a compression pointer to itself
			b = append(b[:12], 0xc0, 12, 0, 1, 0, 1)
		case 2: // counts of records that the message does not contain
			b[6], b[7], b[8], b[9] = 0xff, 0xff, 0xff, 0xff
		}
		flood.Write(b)
	}
	var r *dns.Msg
	for range 20 { // any question by UDP may be dropped during a flood
		if r, _, err = (&dns.Client{Timeout: time.Second}).Exchange(new(dns.Msg).SetQuestion("hooks.example.", dns.TypeA), s.Address()); err == nil {
			break
		}
	}
	if err != nil || len(r.Answer) != 1 {
		t.Fatal(r, err)
	}
	question("tcp")
}

// responseRecorder is a dns.ResponseWriter that counts answers; status is the result of verifying the request's TSIG.
type responseRecorder struct {
	status error
	sent   int
}

func (w *responseRecorder) LocalAddr() net.Addr { return &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)} }

func (w *responseRecorder) RemoteAddr() net.Addr { return &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)} }

func (w *responseRecorder) WriteMsg(m *dns.Msg) error { _, err := m.Pack(); w.sent++; return err }

func (w *responseRecorder) Write(b []byte) (int, error) { w.sent++; return len(b), nil }

func (w *responseRecorder) Close() error { return nil }

func (w *responseRecorder) TsigStatus() error { return w.status }

func (w *responseRecorder) TsigTimersOnly(bool) {}

func (w *responseRecorder) Hijack() {}

// No message, signed or unsigned, makes a handler panic.
func FuzzServe(f *testing.F) {
	c := testConfig(f, f.TempDir())
	s, err := Start(c, discardLogger())
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { s.Close() })
	var errorLog strings.Builder
	s.server.log = slog.New(slog.NewTextHandler(&errorLog, &slog.HandlerOptions{Level: slog.LevelError}))
	ring := NewKeyring(c.Keys)
	for _, m := range []*dns.Msg{new(dns.Msg).SetQuestion("hooks.example.", dns.TypeA), setAddr(f, "hooks.example.", "127.0.0.9"), new(dns.Msg).SetNotify("example."),
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
		w := &responseRecorder{}
		if m.IsTsig() != nil {
			w.status = dns.TsigVerifyWithProvider(raw, s.keys, "", false)
		}
		for _, udp := range []bool{true, false} {
			s.server.serve(w, m, udp)
		}
		if errorLog.Len() > 0 {
			t.Fatal(errorLog.String())
		}
	})
}

// Throughput of queries, signed updates and full transfers of 10,000 records over loopback with one client.
func BenchmarkServer(b *testing.B) {
	c := testConfig(b, b.TempDir())
	var text strings.Builder
	text.WriteString(zoneText)
	for i := range 10_000 {
		fmt.Fprintf(&text, "h%d 300 IN A 10.0.%d.%d\n", i, i>>8, i&255)
	}
	replaceFile(b, c.Zones[0].File, text.String())
	s, err := Start(c, discardLogger())
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	ring := NewKeyring(c.Keys)
	var conn *dns.Conn
	sent := 0
	exchange := func(b *testing.B, m *dns.Msg) {
		if sent%(maxTCPQueries/2) == 0 { // the server closes a connection after maxTCPQueries messages
			var err error
			if conn, err = dns.DialTimeout("tcp", s.Address(), testTimeout); err != nil {
				b.Fatal(err)
			}
		}
		sent++
		client := dns.Client{Net: "tcp", Timeout: testTimeout, TsigProvider: ring}
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
			m := setAddr(b, "hooks.example.", fmt.Sprintf("127.2.%d.%d", i>>8&255, i&255))
			m.Id = dns.Id()
			ring.Sign(m, "ops.", time.Now().Unix())
			client := dns.Client{Timeout: testTimeout, TsigProvider: ring} // the library signs only one message per connection correctly
			if r, _, err := client.Exchange(m, s.Address()); err != nil || r.Rcode != dns.RcodeSuccess {
				b.Fatal(r, err)
			}
		}
	})
	b.Run("transfer", func(b *testing.B) {
		for range b.N {
			m := new(dns.Msg).SetAxfr("example.")
			ring.Sign(m, "xfer.", time.Now().Unix())
			ch, err := (&dns.Transfer{TsigProvider: ring, ReadTimeout: testTimeout}).In(m, s.Address())
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

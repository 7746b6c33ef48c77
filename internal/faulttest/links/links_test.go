package links

import (
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"testing"
	"time"
)

const (
	timeout      = 20 * time.Second
	noDataWindow = 100 * time.Millisecond // data that has not arrived by then counts as blocked; blocked data never arrives, however long the wait
)

// echo starts a server that returns each byte, and returns its address.
func echo(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { defer c.Close(); io.Copy(c, c) }()
		}
	}()
	return l.Addr().String()
}

type recorder struct {
	sync.Mutex
	all []string
}

func (n *recorder) record(from, to, what string) {
	n.Lock()
	defer n.Unlock()
	n.all = append(n.all, from+">"+to+" "+what)
}

func linked(t *testing.T) (*Net, string, *recorder) {
	t.Helper()
	var recorded recorder
	n := New(1, recorded.record)
	t.Cleanup(n.Close)
	addr, err := n.Link("a", "b", echo(t))
	if err != nil {
		t.Fatal(err)
	}
	return n, addr, &recorded
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

func expect(t *testing.T, c net.Conn, want string) {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(timeout))
	b := make([]byte, len(want))
	if n, err := io.ReadFull(c, b); err != nil || string(b) != want {
		t.Fatalf("got %q, want %q: %v", b[:n], want, err)
	}
}

// expectNothing checks that no byte arrives within noDataWindow.
func expectNothing(t *testing.T, c net.Conn) {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(noDataWindow))
	var b [1]byte
	if n, err := c.Read(b[:]); n > 0 || errors.Is(err, io.EOF) {
		t.Fatalf("got %d bytes (%v), want none", n, err)
	}
}

// Data on a blocked direction is held back, and arrives completely and in order after the heal.
func TestNet_BlockedAndHealed(t *testing.T) {
	for name, c := range map[string]struct {
		from, to string
		is       Condition
		first    string // the part of "hello" that arrives despite the condition
	}{
		"silent, there":             {"a", "b", Condition{Blocked: true}, ""},
		"silent, back":              {"b", "a", Condition{Blocked: true}, ""},
		"frozen within, there":      {"a", "b", Condition{Freeze: 2}, "he"},
		"frozen within, on its way": {"b", "a", Condition{Freeze: 3}, "hel"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n, addr, _ := linked(t)
			conn := dial(t, addr)
			send(t, conn, "x")
			expect(t, conn, "x")
			n.Set(c.from, c.to, c.is)
			send(t, conn, "hello")
			expect(t, conn, c.first)
			expectNothing(t, conn)
			n.Heal()
			expect(t, conn, "hello"[len(c.first):])
		})
	}
}

// A blocked direction leaves connection attempts without an answer, and a refusing one refuses them; existing connections stay up. A
// heal ends both.
func TestNewConnections(t *testing.T) {
	n, addr, recorded := linked(t)
	existing := dial(t, addr)
	send(t, existing, "x")
	expect(t, existing, "x")
	n.Set("a", "b", Condition{Refuse: true})
	if c, err := net.Dial("tcp", addr); err == nil {
		c.Close()
		t.Fatal("a connection was accepted")
	}
	send(t, existing, "still")
	expect(t, existing, "still")
	n.Set("a", "b", Condition{Blocked: true})
	pending := dial(t, addr) // the kernel accepts it for the proxy, which has not dialled the target yet
	send(t, pending, "late")
	expectNothing(t, pending)
	n.Heal()
	expect(t, pending, "late")
	n.Reset("a", "b")
	existing.SetReadDeadline(time.Now().Add(timeout))
	if _, err := existing.Read(make([]byte, 1)); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("after a reset: %v", err)
	}
	want := []string{"a>b refuse", "a>b cut", "a>b heal", "a>b reset"}
	if !slices.Equal(recorded.all, want) {
		t.Errorf("recorded %q", recorded.all)
	}
}

// A delay and a rate limit keep the order and lose nothing, and take at least the time that they are set to.
func TestSlow(t *testing.T) {
	for name, c := range map[string]struct {
		is    Condition
		least time.Duration
	}{
		"delay":   {Condition{Delay: 60 * time.Millisecond, Jitter: 20 * time.Millisecond}, 60 * time.Millisecond},
		"trickle": {Condition{Rate: 100}, 60 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n, addr, _ := linked(t)
			n.Set("a", "b", c.is)
			conn := dial(t, addr)
			from := time.Now()
			for _, w := range []string{"one", "two", "three"} {
				send(t, conn, w)
			}
			expect(t, conn, "onetwothree")
			if got := time.Since(from); got < c.least {
				t.Errorf("the data already arrived after %v", got)
			}
		})
	}
}

// Tests under each condition how many datagrams arrive of a hundred, repeated ones included, and whether they arrive in order.
func TestDatagrams(t *testing.T) {
	for name, c := range map[string]struct {
		is          Condition
		least, most int // datagrams that arrive, of 100 sent
		ordered     bool
	}{
		"sound":   {Condition{}, 100, 100, true},
		"cut":     {Condition{Blocked: true}, 0, 0, true},
		"loss":    {Condition{Loss: 0.5}, 30, 70, true},
		"repeat":  {Condition{Repeat: 0.5}, 130, 170, true},
		"reorder": {Condition{Reorder: 0.5}, 100, 100, false},
	} {
		t.Run(name, func(t *testing.T) {
			n := New(1, nil)
			defer n.Close()
			at, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
			if err != nil {
				t.Fatal(err)
			}
			defer at.Close()
			addr, err := n.LinkUDP("a", "b", at.LocalAddr().String())
			if err != nil {
				t.Fatal(err)
			}
			conn, err := net.Dial("udp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			n.Set("a", "b", c.is)
			for i := range 100 {
				if _, err := conn.Write([]byte{byte(i)}); err != nil {
					t.Fatal(err)
				}
				time.Sleep(100 * time.Microsecond)
			}
			n.Set("a", "b", Condition{})
			time.Sleep(4 * reorderDelay) // the delayed datagrams have arrived
			conn.Write([]byte{200})
			var got []byte
			for {
				b := make([]byte, 1)
				at.SetReadDeadline(time.Now().Add(timeout))
				_, from, err := at.ReadFromUDP(b)
				if err != nil {
					t.Fatal(err)
				}
				if b[0] == 200 {
					at.WriteToUDP([]byte{201}, from)
					break
				}
				got = append(got, b[0])
			}
			if len(got) < c.least || len(got) > c.most || slices.IsSorted(got) != c.ordered {
				t.Errorf("%d datagrams arrived, in order %v", len(got), slices.IsSorted(got))
			}
			expect(t, conn, string([]byte{201})) // an answer reaches the sender
		})
	}
}

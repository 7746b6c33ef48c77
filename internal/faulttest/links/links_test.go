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
	patience = 20 * time.Second
	noData   = 100 * time.Millisecond // a word that has not come by then is held up; what is cut never comes, however long
)

// echo answers each byte with itself, at an address.
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

type notes struct {
	sync.Mutex
	all []string
}

func (n *notes) add(from, to, what string) {
	n.Lock()
	defer n.Unlock()
	n.all = append(n.all, from+">"+to+" "+what)
}

func linked(t *testing.T) (*Net, string, *notes) {
	t.Helper()
	var told notes
	n := New(1, told.add)
	t.Cleanup(n.Close)
	addr, err := n.Link("a", "b", echo(t))
	if err != nil {
		t.Fatal(err)
	}
	return n, addr, &told
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

func say(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

func hear(t *testing.T, c net.Conn, want string) {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(patience))
	b := make([]byte, len(want))
	if n, err := io.ReadFull(c, b); err != nil || string(b) != want {
		t.Fatalf("%q came, %q was wanted: %v", b[:n], want, err)
	}
}

// quiet is that no byte comes while a condition lasts.
func quiet(t *testing.T, c net.Conn) {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(noData))
	var b [1]byte
	if n, err := c.Read(b[:]); n > 0 || errors.Is(err, io.EOF) {
		t.Fatalf("%d bytes came, %v", n, err)
	}
}

// What is cut is held either way, and comes whole and in order when the way is healed.
func TestNet_BlockedAndHealed(t *testing.T) {
	for name, c := range map[string]struct {
		from, to string
		is       Condition
		first    string // of "hello" comes all the same
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
			say(t, conn, "x")
			hear(t, conn, "x")
			n.Set(c.from, c.to, c.is)
			say(t, conn, "hello")
			hear(t, conn, c.first)
			quiet(t, conn)
			n.Heal()
			hear(t, conn, "hello"[len(c.first):])
		})
	}
}

// A cut way swallows attempts to connect, a refusing one turns them away; what is up stays so. Both end with the heal.
func TestNewConnections(t *testing.T) {
	n, addr, told := linked(t)
	old := dial(t, addr)
	say(t, old, "x")
	hear(t, old, "x")
	n.Set("a", "b", Condition{Refuse: true})
	if c, err := net.Dial("tcp", addr); err == nil {
		c.Close()
		t.Fatal("a connection came up")
	}
	say(t, old, "still")
	hear(t, old, "still")
	n.Set("a", "b", Condition{Blocked: true})
	fresh := dial(t, addr) // by the kernel, as far as the proxy
	say(t, fresh, "late")
	quiet(t, fresh)
	n.Heal()
	hear(t, fresh, "late")
	n.Reset("a", "b")
	old.SetReadDeadline(time.Now().Add(patience))
	if _, err := old.Read(make([]byte, 1)); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("after a reset: %v", err)
	}
	want := []string{"a>b refuse", "a>b cut", "a>b heal", "a>b reset"}
	if !slices.Equal(told.all, want) {
		t.Errorf("told %q", told.all)
	}
}

// Delay and trickle keep the order and lose nothing; neither is quicker than it says.
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
				say(t, conn, w)
			}
			hear(t, conn, "onetwothree")
			if got := time.Since(from); got < c.least {
				t.Errorf("it came after %v", got)
			}
		})
	}
}

// Datagrams under each condition: how many of a hundred come, how often, and in order or not.
func TestDatagrams(t *testing.T) {
	for name, c := range map[string]struct {
		is          Condition
		least, most int // that come, of 100
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
			time.Sleep(4 * reorderTime) // what was overtaken has come
			conn.Write([]byte{200})
			var got []byte
			for {
				b := make([]byte, 1)
				at.SetReadDeadline(time.Now().Add(patience))
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
				t.Errorf("%d came, in order %v", len(got), slices.IsSorted(got))
			}
			hear(t, conn, string([]byte{201})) // and an answer comes back
		})
	}
}

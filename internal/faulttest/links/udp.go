package links

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Datagrams go over a link of their own. What is cut is lost, not held, as nobody sends it again; Loss, Repeat and Reorder
// strike each by itself.

const (
	maxDatagram  = 64 << 10
	reorderTime  = 5 * time.Millisecond // one that is overtaken comes so much later
	bindAttempts = 20                   // ports, until one is free for TCP and UDP
	maxFlows     = 1024                 // sockets of senders that are told apart at once; further ones are not carried
)

// LinkBoth opens the ways for connections and for datagrams at one address, as membership wants it.
func (n *Net) LinkBoth(from, to, target string) (string, error) {
	for try := 0; ; try++ {
		in, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return "", fmt.Errorf("link %s to %s: %w", from, to, err)
		}
		tcp, err := net.Listen("tcp", in.LocalAddr().String())
		if err != nil { // another has the port for TCP
			in.Close()
			if try < bindAttempts {
				continue
			}
			return "", fmt.Errorf("link %s to %s: %w", from, to, err)
		}
		if _, err := n.linkUDP(from, to, target, in); err != nil {
			tcp.Close()
			return "", err
		}
		return n.link(from, to, target, tcp), nil
	}
}

// LinkUDP opens the way by which from's datagrams reach the other at target, and gives the address to send to in target's place.
// What the other answers goes back the way it came.
func (n *Net) LinkUDP(from, to, target string) (string, error) {
	in, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return "", fmt.Errorf("link %s to %s: %w", from, to, err)
	}
	return n.linkUDP(from, to, target, in)
}

func (n *Net) linkUDP(from, to, target string, in *net.UDPConn) (string, error) {
	dest, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		in.Close()
		return "", fmt.Errorf("link %s to %s: %w", from, to, err)
	}
	l := &udpLink{net: n, in: in, to: dest, forth: n.way(from, to), back: n.way(to, from), flows: map[string]*net.UDPConn{}, rng: n.draws(from, to, 0)}
	n.mu.Lock()
	n.closers = append(n.closers, l.close)
	n.mu.Unlock()
	n.done.Add(1)
	go func() {
		defer n.done.Done()
		l.carry()
	}()
	return in.LocalAddr().String(), nil
}

type udpLink struct {
	net         *Net
	in          *net.UDPConn
	to          *net.UDPAddr
	forth, back *way

	mu    sync.Mutex
	rng   *rand.Rand
	flows map[string]*net.UDPConn // by where it came from
	over  bool
}

func (l *udpLink) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.over = true
	l.in.Close()
	for _, f := range l.flows {
		f.Close()
	}
}

// carry passes on what comes, and what is answered.
func (l *udpLink) carry() {
	b := make([]byte, maxDatagram)
	for {
		n, from, err := l.in.ReadFromUDP(b)
		if err != nil {
			return
		}
		if out := l.flow(from); out != nil {
			l.pass(l.forth, append([]byte(nil), b[:n]...), func(d []byte) { out.Write(d) })
		}
	}
}

func (l *udpLink) flow(from *net.UDPAddr) *net.UDPConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := from.String()
	if f := l.flows[key]; f != nil || l.over || len(l.flows) >= maxFlows {
		return f
	}
	out, err := net.DialUDP("udp", nil, l.to)
	if err != nil {
		return nil
	}
	l.flows[key] = out
	l.net.done.Add(1)
	go func() {
		defer l.net.done.Done()
		b := make([]byte, maxDatagram)
		for {
			n, err := out.Read(b)
			if err != nil { // nobody listens there: the next datagram may find somebody
				if l.ended() {
					return
				}
				time.Sleep(time.Millisecond)
				continue
			}
			l.pass(l.back, append([]byte(nil), b[:n]...), func(d []byte) { l.in.WriteToUDP(d, from) })
		}
	}()
	return out
}

func (l *udpLink) ended() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.over
}

// pass does to one datagram what the way's condition says.
func (l *udpLink) pass(w *way, d []byte, send func([]byte)) {
	c, _, _ := w.now()
	l.mu.Lock()
	lost, again, late := l.rng.Float64() < c.Loss, l.rng.Float64() < c.Repeat, l.rng.Float64() < c.Reorder
	jitter := time.Duration(0)
	if c.Jitter > 0 {
		jitter = time.Duration(l.rng.Int64N(int64(c.Jitter)))
	}
	l.mu.Unlock()
	if c.Blocked || c.Refuse || lost {
		return
	}
	delay := c.Delay + jitter
	if late {
		delay += reorderTime
	}
	deliver := func() { send(d) }
	for range 1 + btoi(again) {
		if delay == 0 {
			deliver()
		} else {
			time.AfterFunc(delay, deliver)
		}
	}
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

package links

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Datagrams go over a link of their own. A blocked direction drops them instead of holding them back, as nothing retransmits them. Loss,
// Repeat and Reorder are drawn for each datagram.

const (
	maxDatagram  = 64 << 10
	reorderDelay = 5 * time.Millisecond // additional delay of a datagram that is overtaken
	bindAttempts = 20                   // ports tried until one is free for both TCP and UDP
	maxFlows     = 1024                 // source addresses with a socket each; datagrams from further ones are dropped
)

// LinkBoth opens links for connections and for datagrams at the same address, as membership requires.
func (n *Net) LinkBoth(from, to, target string) (string, error) {
	for try := 0; ; try++ {
		in, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return "", fmt.Errorf("link %s to %s: %w", from, to, err)
		}
		tcp, err := net.Listen("tcp", in.LocalAddr().String())
		if err != nil { // the port is in use for TCP
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

// LinkUDP opens a link by which from's datagrams reach the other at target, and returns the address to send to instead of target.
// Answers go back to the address that the datagram came from.
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
	l := &udpLink{net: n, in: in, to: dest, forth: n.direction(from, to), back: n.direction(to, from), flows: map[string]*net.UDPConn{}, rng: n.newRand(from, to, 0)}
	n.mu.Lock()
	n.closers = append(n.closers, l.close)
	n.mu.Unlock()
	n.done.Add(1)
	go func() {
		defer n.done.Done()
		l.forward()
	}()
	return in.LocalAddr().String(), nil
}

type udpLink struct {
	net         *Net
	in          *net.UDPConn
	to          *net.UDPAddr
	forth, back *direction

	mu     sync.Mutex
	rng    *rand.Rand
	flows  map[string]*net.UDPConn // by source address
	closed bool
}

func (l *udpLink) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.in.Close()
	for _, f := range l.flows {
		f.Close()
	}
}

// forward forwards the datagrams of all flows; each flow forwards its answers.
func (l *udpLink) forward() {
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
	if f := l.flows[key]; f != nil || l.closed || len(l.flows) >= maxFlows {
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
			if err != nil { // nothing listens at the target; it may listen by the next datagram
				if l.isClosed() {
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

func (l *udpLink) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// pass applies the direction's condition to one datagram.
func (l *udpLink) pass(w *direction, d []byte, send func([]byte)) {
	c, _, _ := w.current()
	l.mu.Lock()
	lost, repeated, reordered := l.rng.Float64() < c.Loss, l.rng.Float64() < c.Repeat, l.rng.Float64() < c.Reorder
	jitter := time.Duration(0)
	if c.Jitter > 0 {
		jitter = time.Duration(l.rng.Int64N(int64(c.Jitter)))
	}
	l.mu.Unlock()
	if c.Blocked || c.Refuse || lost {
		return
	}
	delay := c.Delay + jitter
	if reordered {
		delay += reorderDelay
	}
	deliver := func() { send(d) }
	for range 1 + btoi(repeated) {
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
